// Tests of the results of a load run, computed from synthetic records.
#include "standins/lib/LoadReport.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::standins;

namespace {

// A run whose planned requests are all served after 0.3 s unless a test changes their records.
struct PlannedRun
{
  FleetProfile profile_ = FindProfile("foundry");
  Scenario scenario_;
  LoadPlan plan_;
  LoadResult result_;

  explicit PlannedRun(const std::string& aScenario)
    : scenario_(*MakeScenario(aScenario, profile_))
    , plan_(MakePlan(scenario_, profile_, 1))
  {
    for (const Arrival& arrival : PlanArrivals(plan_)) {
      LoadRecord record;
      record.arrival_ = arrival;
      record.served_ = true;
      record.latencySeconds_ = 0.3;
      record.firstStatus_ = record.lastStatus_ = 200;
      record.attempts_ = 1;
      result_.records_.push_back(record);
    }
  }

  void Refuse(LoadRecord& aRecord, unsigned aStatus, const std::string& aType)
  {
    aRecord.served_ = false;
    aRecord.firstStatus_ = aRecord.lastStatus_ = aStatus;
    aRecord.firstErrorType_ = aType;
  }

  bool IsIn(const LoadRecord& aRecord, const std::string& aPhase) const
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

// Guards against an ideal that exceeds the offered load or the capacity.
TEST_CASE("goodput is relative to the minimum of offered load, rates and capacity", "[report]")
{
  const PlannedRun run("surge");
  const LoadReport report = run.Report();
  const PhaseReport& before = Phase(report, "before");
  CHECK(before.ideal_ == Approx(static_cast<double>(before.offered_)));
  CHECK(before.goodput_ == Approx(1));
  const PhaseReport& trigger = Phase(report, "trigger");
  CHECK(trigger.ideal_ == Approx(CapacityPerSecond(run.profile_) * trigger.durationSeconds_));
  // The records say that all of twice the capacity was served, so goodput is far above 1.
  CHECK(trigger.goodput_ > 1.8);
}

// Guards against counting requests for an overloaded phase that the capacity of the next phase
// served.
TEST_CASE("answers after the end of an overloaded phase don't count for it", "[report]")
{
  PlannedRun run("surge");
  const double end = PhaseStart(run.scenario_, "after");
  for (LoadRecord& record : run.result_.records_) {
    if (run.IsIn(record, "trigger")) {
      record.latencySeconds_ = end + 0.1 - record.arrival_.scheduledAt_;
    }
  }
  // The only answers in the phase are to requests that arrived just before it.
  CHECK(Phase(run.Report(), "trigger").goodput_ < 0.05);
}

// Guards against counting refusals of the misbehaving account, refusals in the warm-up, and
// failures that aren't refusals.
TEST_CASE("only refusals of admissible requests are wrongful", "[report]")
{
  PlannedRun run("greedy-account");
  REQUIRE(run.scenario_.misbehavingAccount_.has_value());
  CHECK(run.Report().wrongfulRefusals_ == 0);
  std::uint64_t wrongfulRefusals = 0;
  for (LoadRecord& record : run.result_.records_) {
    const bool isMisbehaving = record.arrival_.account_ == *run.scenario_.misbehavingAccount_;
    if (isMisbehaving || run.IsIn(record, "warm-up")) {
      run.Refuse(record, 429, "over-rate");
    } else if (wrongfulRefusals < 5 && run.IsIn(record, "before")) {
      run.Refuse(record, 503, "shed");
      ++wrongfulRefusals;
    } else if (record.arrival_.account_ == 0 && run.IsIn(record, "after")) {
      // Status 504 is a failure, not a refusal.
      run.Refuse(record, 504, "outcome-unknown");
    }
  }
  const LoadReport report = run.Report();
  CHECK(report.wrongfulRefusals_ == 5);
  CHECK(report.admissibleRequests_ > 1000);
}

// Guards against a report that misses a starved account or shed critical requests.
TEST_CASE("a starved account and shed critical requests are reported", "[report]")
{
  PlannedRun run("surge");
  std::uint64_t critical = 0;
  for (LoadRecord& record : run.result_.records_) {
    if (run.IsIn(record, "trigger") && record.arrival_.account_ == 5) {
      const bool isCritical = run.plan_.classes_[record.arrival_.class_].critical_;
      critical += isCritical ? 1 : 0;
      run.Refuse(record, 503, "shed");
    }
  }
  const LoadReport report = run.Report();
  CHECK(report.worstAccount_ == run.plan_.accounts_[5].name_);
  CHECK(report.worstAccountShare_ == 0);
  CHECK(critical > 0);
  CHECK(report.criticalShed_ == critical);
}

// Guards against reporting a recovery although requests fail until the end of the run.
TEST_CASE("a fleet that doesn't recover has no recovery time", "[report]")
{
  PlannedRun run("deep-slow");
  CHECK(run.Report().recoverySeconds_ == 0);
  for (LoadRecord& record : run.result_.records_) {
    if (run.IsIn(record, "after")) {
      run.Refuse(record, 503, "shed");
    }
  }
  CHECK_FALSE(run.Report().recoverySeconds_.has_value());
}
