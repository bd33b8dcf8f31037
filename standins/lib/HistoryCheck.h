// Checks the promises of the design page over callers' records and targets' execution logs.
#pragma once

#include "standins/lib/TargetExecution.h"

#include <cstdint>
#include <map>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// One HTTP request of a caller. A caller's repeat is a request of its own with another tag.
struct HistoryCall
{
  std::string tag_;         ///< Query parameter "tag"; unique.
  std::string requestId_;   ///< Header Quay-Request-Id; empty if none was sent.
  std::string outcome_;     ///< Header Quay-Outcome of the answer; empty without an answer.
  unsigned status_ = 0;     ///< 0 without a whole answer.
  bool correctBody_ = true; ///< With status 200: the body is the one computed from the request.
  std::uint32_t retryBudget_ = 0; ///< Retries allowed in the whole chain.
};

/// Promises that are checked. The names are those of the output.
enum class HistoryProperty : std::uint8_t
{
  kRunsAtMostOnce, ///< A request id has at most one started execution.
  kNotRunIsTrue,   ///< A call answered "not-run" has no started execution.
  kUnknownIs504,   ///< Status 504 and outcome "unknown" only come together.
  kNoKeySeen,      ///< No target saw a key.
  kOwnAnswer,      ///< Every whole answer belongs to its own request, also of deeper calls.
  kWithinBudget    ///< Retries in the call tree of a call are within its budget.
};

/// "runs-at-most-once", "not-run-is-true", "unknown-is-504", "no-key-seen", "own-answer" or
/// "within-budget".
std::string_view HistoryPropertyName(HistoryProperty aProperty);

inline constexpr int kHistoryPropertyCount = 6;

struct HistoryResult
{
  std::map<HistoryProperty, std::uint64_t> violations_; ///< All properties, also those with 0.
  std::vector<std::string> examples_;                   ///< At most 10, with tag or request id.
  std::uint64_t calls_ = 0;
  std::uint64_t executions_ = 0;
  std::uint64_t maxCallTreeRetries_ = 0; ///< Largest number of retries in one call tree.
  bool Holds() const;
};

/// Checks a run. Retries are counted from the executions: requests of one tag with the same path
/// that come from the same execution (or from the caller) are one first attempt and its retries.
HistoryResult CheckHistory(const std::vector<HistoryCall>& aCalls,
                           const std::vector<TargetExecution>& aExecutions);

} // namespace peridotquay::standins
