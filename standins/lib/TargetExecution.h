// One entry of the execution log of a stand-in target, and its JSON form.
#pragma once

#include "peridotquay/process/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay::standins {

/// How a request at a target ended.
enum class ExecutionStatus : std::uint8_t
{
  kRunning,
  kAnswered,         ///< Whole answer written.
  kRefused,          ///< 503 "not run"; never started.
  kCancelled,        ///< The caller closed the connection.
  kExpired,          ///< Its deadline passed while it ran.
  kDeeperCallFailed, ///< A deeper call failed; answered with 502 or 504.
  kAnswerTruncated   ///< The answer was cut by a fault.
};

/// A request as the target saw it. Times are microseconds of the machine's monotonic clock, so logs
/// of several targets on one machine can be merged.
struct TargetExecution
{
  std::string id_;        ///< Unique in the fleet.
  std::string requestId_; ///< Header Quay-Request-Id; empty if absent.
  std::string path_;      ///< Request target with query.
  std::string clientAccount_;
  std::string importance_;
  std::string retryBudget_;              ///< Header Quay-Retry-Budget as seen.
  bool hasKeyHeader_ = false;            ///< Whether a header Quay-Key arrived.
  bool hasCallHeader_ = false;           ///< Whether a header Quay-Call arrived.
  std::uint32_t wrongDeeperAnswers_ = 0; ///< Deeper answers with status 200 and a wrong body.
  ExecutionStatus executionStatus_ = ExecutionStatus::kRunning;
  std::int64_t startUs_ = 0;
  std::int64_t endUs_ = 0; ///< 0 while running.
  bool operator==(const TargetExecution&) const = default;

  /// Whether any work was done.
  bool Started() const { return executionStatus_ != ExecutionStatus::kRefused; }
};

/// JSON array of the entries.
std::string WriteExecutions(const std::vector<TargetExecution>& aExecutions);

/// Parses what WriteExecutions wrote. Errors: kSyntax.
Result<std::vector<TargetExecution>> ParseExecutions(std::string_view aJson);

} // namespace peridotquay::standins
