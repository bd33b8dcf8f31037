// Tests of the figures of a load run, from records written by hand.
#include "standins/lib/LoadReport.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::standins;

namespace {

// A run whose requests arrive evenly at the planned mean rates and are all served after 0.3 s.
struct Run
{
  FleetProfile profile_ = FindProfile("foundry");
  Scenario scenario_;
  LoadPlan plan_;
  LoadResult result_;

  explicit Run(const std::string& aScenario)
    : scenario_(*MakeScenario(aScenario, profile_))
    , plan_(MakePlan(scenario_, profile_, 1))
  {
    for (const Arrival& arrival : PlanArrivals(plan_)) {
      LoadRecord record;
      record.arrival_ = arrival;
      record.served_ = true;
      record.seconds_ = 0.3;
      record.firstStatus_ = record.lastStatus_ = 200;
      record.attempts_ = 1;
      result_.records_.push_back(record);
    }
  }

  void Refuse(LoadRecord& aRecord, unsigned aStatus, const std::string& aType)
  {
    aRecord.served_ = false;
    aRecord.firstStatus_ = aRecord.lastStatus_ = aStatus;
    aRecord.firstError_ = aType;
  }

  bool In(const LoadRecord& aRecord, const std::string& aPhase) const
  {
    return plan_.phases_[aRecord.arrival_.phase_].name_ == aPhase;
  }

  LoadReport Report() const
  {
    return MakeReport(scenario_, profile_, plan_, result_, {}, std::nullopt);
  }
};

const PhaseReport& Phase(const LoadReport& aReport, const std::string& aName)
{
  for (const PhaseReport& phase : aReport.phases_) {
    if (phase.name_ == aName) {
      return phase;
    }
  }
  FAIL("no phase " + aName);
  return aReport.phases_.front();
}

} // namespace

// Guards against an ideal that is higher than what was offered, or above the capacity.
TEST_CASE("goodput compares with the least of offer, rates and capacity", "[report]")
{
  const Run run("surge");
  const LoadReport report = run.Report();
  const PhaseReport& before = Phase(report, "before");
  CHECK(before.ideal_ == Approx(static_cast<double>(before.offered_)));
  CHECK(before.goodput_ == Approx(1));
  const PhaseReport& trigger = Phase(report, "trigger");
  CHECK(trigger.ideal_ == Approx(CapacityPerSecond(run.profile_) * trigger.seconds_));
  // Everything was served although twice the capacity was offered: goodput shows the impossible.
  CHECK(trigger.goodput_ > 1.8);
}

// Guards against a surge that is credited with what the next phase's capacity served.
TEST_CASE("late completions don't count for an overloaded phase", "[report]")
{
  Run run("surge");
  const double end = PhaseStart(run.scenario_, "after");
  for (LoadRecord& record : run.result_.records_) {
    if (run.In(record, "trigger")) {
      record.seconds_ = end + 0.1 - record.arrival_.at_;
    }
  }
  // The only completions in the phase are those of requests from just before it.
  CHECK(Phase(run.Report(), "trigger").goodput_ < 0.05);
}

// Guards against refusals that are counted for the wrong account, phase or status.
TEST_CASE("only refusals without cause are wrongful", "[report]")
{
  Run run("greedy-account");
  REQUIRE(run.scenario_.culprit_.has_value());
  CHECK(run.Report().wrongfulRefusals_ == 0);
  std::uint64_t wronged = 0;
  for (LoadRecord& record : run.result_.records_) {
    const bool culprit = record.arrival_.account_ == *run.scenario_.culprit_;
    if (culprit || run.In(record, "warm-up")) {
      run.Refuse(record, 429, "over-rate");
    } else if (wronged < 5 && run.In(record, "before")) {
      run.Refuse(record, 503, "shed");
      ++wronged;
    } else if (record.arrival_.account_ == 0 && run.In(record, "after")) {
      // A failure, not a refusal.
      run.Refuse(record, 504, "outcome-unknown");
    }
  }
  const LoadReport report = run.Report();
  CHECK(report.wrongfulRefusals_ == 5);
  CHECK(report.wrongfulOf_ > 1000);
}

// Guards against a starved account or a shed critical request that the figures don't show.
TEST_CASE("a starved account and shed critical requests show", "[report]")
{
  Run run("surge");
  std::uint64_t critical = 0;
  for (LoadRecord& record : run.result_.records_) {
    if (run.In(record, "trigger") && record.arrival_.account_ == 5) {
      const bool isCritical = run.plan_.classes_[record.arrival_.class_].critical_;
      critical += isCritical ? 1 : 0;
      run.Refuse(record, 503, "shed");
    }
  }
  const LoadReport report = run.Report();
  CHECK(report.worstAccount_ == run.plan_.accounts_[5].name_);
  CHECK(report.worstShare_ == 0);
  CHECK(critical > 0);
  CHECK(report.criticalShed_ == critical);
}

// Guards against a recovery that is reported although the fleet stays down.
TEST_CASE("a fleet that stays down has no recovery time", "[report]")
{
  Run run("deep-slow");
  CHECK(run.Report().recoverySeconds_ == 0);
  for (LoadRecord& record : run.result_.records_) {
    if (run.In(record, "after")) {
      run.Refuse(record, 503, "shed");
    }
  }
  CHECK_FALSE(run.Report().recoverySeconds_.has_value());
}
