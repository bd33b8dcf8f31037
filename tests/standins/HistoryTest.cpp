// Tests of the history check: a violation of each property is found, and only for that property.
#include "standins/lib/HistoryCheck.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace peridotquay::standins;

namespace {

// Input of a check.
struct History
{
  std::vector<HistoryCall> calls_;
  std::vector<TargetExecution> executions_;
};

TargetExecution Execution(std::string aId, std::string aPath, std::string aRequestId = {})
{
  TargetExecution execution;
  execution.id_ = std::move(aId);
  execution.path_ = std::move(aPath);
  execution.requestId_ = std::move(aRequestId);
  execution.executionStatus_ = ExecutionStatus::kAnswered;
  return execution;
}

// A history without violations: a call through two targets with one retry, a refused call, a call
// with an unknown outcome and one without an answer.
History CorrectHistory()
{
  History history;
  history.calls_ = { { "1.0", "id-1", "ran", 200, true, 1 },
                     { "2.0", "", "not-run", 503, true, 3 },
                     { "3.0", "id-3", "unknown", 504, true, 0 },
                     { "4.0", "", "", 0, true, 0 } };
  history.executions_ = { Execution("a-1", "/top?tag=1.0", "id-1"),
                          Execution("b-1", "/deep?tag=1.0&from=a-1"),
                          Execution("c-1", "/deep?tag=1.0&from=a-1"),
                          Execution("a-2", "/top?tag=3.0", "id-3"),
                          Execution("a-3", "/top?tag=2.0") };
  history.executions_.back().executionStatus_ = ExecutionStatus::kRefused;
  return history;
}

// Checks that the injected fault is found as one violation of the property and of no other.
void CheckFailsOnly(HistoryProperty aProperty, const std::function<void(History&)>& aInjectFault)
{
  History history = CorrectHistory();
  aInjectFault(history);
  const HistoryResult result = CheckHistory(history.calls_, history.executions_);
  INFO(HistoryPropertyName(aProperty));
  CHECK_FALSE(result.Holds());
  CHECK(result.violations_.size() == kHistoryPropertyCount);
  for (const auto& [property, count] : result.violations_) {
    CHECK(count == (property == aProperty ? 1 : 0));
  }
  CHECK(result.examples_.size() == 1);
}

} // namespace

// Guards against a check that reports violations in a correct history.
TEST_CASE("a correct history passes", "[history]")
{
  const History history = CorrectHistory();
  const HistoryResult result = CheckHistory(history.calls_, history.executions_);
  CHECK(result.Holds());
  CHECK(result.maxCallTreeRetries_ == 1);
  CHECK(result.executions_ == 5);
}

// Guards against a check that doesn't detect violations of a property, or counts them under
// another.
TEST_CASE("each violation is found under its own property", "[history]")
{
  // The added execution has no tag, so it repeats the request id but isn't a retry.
  CheckFailsOnly(HistoryProperty::kRunsAtMostOnce, [](History& aHistory) {
    aHistory.executions_.push_back(Execution("d-1", "/top", "id-1"));
  });
  CheckFailsOnly(HistoryProperty::kNotRunIsTrue, [](History& aHistory) {
    aHistory.executions_.back().executionStatus_ = ExecutionStatus::kCancelled;
  });
  CheckFailsOnly(HistoryProperty::kUnknownIs504,
                 [](History& aHistory) { aHistory.calls_[2].status_ = 502; });
  CheckFailsOnly(HistoryProperty::kUnknownIs504,
                 [](History& aHistory) { aHistory.calls_[2].outcome_ = "ran"; });
  CheckFailsOnly(HistoryProperty::kNoKeySeen,
                 [](History& aHistory) { aHistory.executions_[1].hasKeyHeader_ = true; });
  CheckFailsOnly(HistoryProperty::kOwnAnswer,
                 [](History& aHistory) { aHistory.calls_[0].correctBody_ = false; });
  CheckFailsOnly(HistoryProperty::kOwnAnswer,
                 [](History& aHistory) { aHistory.executions_[0].wrongDeeperAnswers_ = 1; });
  CheckFailsOnly(HistoryProperty::kWithinBudget, [](History& aHistory) {
    aHistory.executions_.push_back(Execution("d-1", "/deep?tag=1.0&from=a-1"));
  });
  // A refused attempt counts as an attempt too.
  CheckFailsOnly(HistoryProperty::kWithinBudget, [](History& aHistory) {
    aHistory.executions_.push_back(Execution("d-1", "/deep?tag=1.0&from=a-1"));
    aHistory.executions_.back().executionStatus_ = ExecutionStatus::kRefused;
  });
}

// Guards against counting the first attempts at the next target, one for each execution of a
// retried call, as retries.
TEST_CASE("first attempts below a retried call don't count as retries", "[history]")
{
  History history = CorrectHistory();
  history.calls_[0].retryBudget_ = 1;
  history.executions_ = { Execution("a-1", "/top?tag=1.0"),
                          Execution("b-1", "/deep?tag=1.0&from=a-1"),
                          Execution("a-2", "/top?tag=1.0"),
                          Execution("b-2", "/deep?tag=1.0&from=a-2") };
  CHECK(CheckHistory(history.calls_, history.executions_).Holds());
}
