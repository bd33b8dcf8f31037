// The history checker must fail on a planted fault of each kind, and only for that property.
#include "standins/lib/HistoryCheck.h"

#include <catch2/catch.hpp>

#include <functional>

using namespace peridotquay::standins;

namespace {

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

// A correct history: a chain of two with one retry, a refusal, an unknown outcome.
History Correct()
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

void CheckFailsOnly(HistoryProperty aProperty, const std::function<void(History&)>& aPlant)
{
  History history = Correct();
  aPlant(history);
  const HistoryResult result = CheckHistory(history.calls_, history.executions_);
  INFO(HistoryPropertyName(aProperty));
  CHECK_FALSE(result.Holds());
  CHECK(result.violations_.size() == kHistoryProperties);
  for (const auto& [property, count] : result.violations_) {
    CHECK(count == (property == aProperty ? 1 : 0));
  }
  CHECK(result.examples_.size() == 1);
}

} // namespace

// Guards against a checker that rejects a correct history.
TEST_CASE("a correct history passes", "[history]")
{
  const History history = Correct();
  const HistoryResult result = CheckHistory(history.calls_, history.executions_);
  CHECK(result.Holds());
  CHECK(result.mostRetries_ == 1);
  CHECK(result.executions_ == 5);
}

// Guards against a checker that is blind to a property.
TEST_CASE("each planted fault is found", "[history]")
{
  // The second execution has no tag, so that only the request id repeats.
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
                 [](History& aHistory) { aHistory.calls_[0].rightBody_ = false; });
  CheckFailsOnly(HistoryProperty::kOwnAnswer,
                 [](History& aHistory) { aHistory.executions_[0].wrongDeeperAnswers_ = 1; });
  CheckFailsOnly(HistoryProperty::kWithinBudget, [](History& aHistory) {
    aHistory.executions_.push_back(Execution("d-1", "/deep?tag=1.0&from=a-1"));
  });
  // A refused attempt is an attempt.
  CheckFailsOnly(HistoryProperty::kWithinBudget, [](History& aHistory) {
    aHistory.executions_.push_back(Execution("d-1", "/deep?tag=1.0&from=a-1"));
    aHistory.executions_.back().executionStatus_ = ExecutionStatus::kRefused;
  });
}

// Guards against counting the first attempts of a deeper level as retries.
TEST_CASE("a retried level makes new first attempts below it", "[history]")
{
  History history = Correct();
  history.calls_[0].budget_ = 1;
  history.executions_ = { Execution("a-1", "/top?tag=1.0"),
                          Execution("b-1", "/deep?tag=1.0&from=a-1"),
                          Execution("a-2", "/top?tag=1.0"),
                          Execution("b-2", "/deep?tag=1.0&from=a-2") };
  CHECK(CheckHistory(history.calls_, history.executions_).Holds());
}
