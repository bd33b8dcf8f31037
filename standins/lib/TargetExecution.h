// Execution log of a stand-in target, and its JSON form.
#pragma once

#include "peridotquay/process/Error.h"

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay::standins {

/// Status of a request at a target; stored as a number in the JSON form.
enum class ExecutionStatus : std::uint8_t
{
  kRunning,          ///< Runs or waits for a slot.
  kAnswered,         ///< Ran to its end with a whole answer.
  kRefused,          ///< Answered 503 with "Quay-Outcome: not-run"; never started.
  kCancelled,        ///< The caller closed the connection while it ran.
  kExpired,          ///< Its deadline passed while it ran; answered with 504.
  kDeeperCallFailed, ///< A deeper call failed; answered with 502 or 504.
  kAnswerTruncated   ///< A fault cut the answer in the middle.
};

/// A request that the target received. Times are microseconds of the machine's monotonic clock, so
/// the logs of several targets on one machine can be merged.
struct TargetExecution
{
  std::string id_;        ///< Execution id, unique in the fleet.
  std::string requestId_; ///< Header Quay-Request-Id; empty if absent.
  std::string path_;      ///< Request target with query.
  std::string clientAccount_;
  std::string importance_;
  std::string retryBudget_;              ///< Header Quay-Retry-Budget as received.
  bool hasKeyHeader_ = false;            ///< Whether the request had a header Quay-Key.
  bool hasCallHeader_ = false;           ///< Whether the request had a header Quay-Call.
  std::uint32_t wrongDeeperAnswers_ = 0; ///< Answers to its deeper calls with 200 and a wrong body.
  ExecutionStatus executionStatus_ = ExecutionStatus::kRunning;
  std::int64_t startUs_ = 0; ///< When it got its slot or was refused.
  std::int64_t endUs_ = 0;   ///< 0 while it runs.
  bool operator==(const TargetExecution&) const = default;

  /// Whether the target began to work on it.
  bool Started() const { return executionStatus_ != ExecutionStatus::kRefused; }
};

/// Returns the executions as a JSON array.
std::string WriteExecutions(const std::vector<TargetExecution>& aExecutions);

/// Parses the output of WriteExecutions. Errors: kSyntax.
Result<std::vector<TargetExecution>> ParseExecutions(std::string_view aJson);

} // namespace peridotquay::standins
