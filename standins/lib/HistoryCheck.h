// Checks the guarantees of docs/design.md against callers' records and targets' execution logs.
#pragma once

#include "standins/lib/TargetExecution.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// One HTTP request of a caller. A retry by the caller is a request of its own with another tag.
struct HistoryCall
{
  std::string tag_;         ///< Unique query parameter "tag"; empty: not looked up in the logs.
  std::string requestId_;   ///< Header Quay-Request-Id; empty if none was sent.
  std::string outcome_;     ///< Header Quay-Outcome of the answer; empty if absent.
  unsigned status_ = 0;     ///< 0 without a complete answer.
  bool correctBody_ = true; ///< Whether a body with status 200 belongs to the request.
  std::uint32_t retryBudget_ = 0; ///< Retries allowed in the whole call tree.
};

/// Guarantees that are checked.
enum class HistoryProperty : std::uint8_t
{
  kRunsAtMostOnce, ///< A request id has at most one started execution.
  kNotRunIsTrue,   ///< A call answered "not-run" has no started execution.
  kUnknownIs504,   ///< Status 504 and outcome "unknown" occur only together.
  kNoKeySeen,      ///< No target received a caller's key.
  kOwnAnswer,      ///< Every answer belongs to its request, also for deeper calls.
  kWithinBudget    ///< The retries in a call tree don't exceed its retry budget.
};

/// Returns the printed name: "runs-at-most-once", "not-run-is-true", "unknown-is-504",
/// "no-key-seen", "own-answer" or "within-budget".
std::string_view HistoryPropertyName(HistoryProperty aProperty);

inline constexpr int kHistoryPropertyCount = 6;

/// Result of a check.
struct HistoryResult
{
  std::map<HistoryProperty, std::uint64_t> violations_; ///< All properties, including those with 0.
  std::vector<std::string> examples_; ///< At most 10, with tag, request id or execution id.
  std::uint64_t calls_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t maxCallTreeRetries_ = 0; ///< Maximum number of retries in one call tree.

  /// Whether there are no violations.
  bool Holds() const;
};

/// Checks a run. Retries are counted from the executions: those with equal paths are a first
/// attempt and its retries, because the query names the tag and the calling execution, if there is
/// one.
HistoryResult CheckHistory(const std::vector<HistoryCall>& aCalls,
                           const std::vector<TargetExecution>& aExecutions);

} // namespace peridotquay::standins
