// Runs scenarios on fleets of their own.
#include "standins/lib/LoadExperiment.h"

#include "standins/lib/LoadScore.h"

#include <boost/outcome/try.hpp>

#include <thread>

namespace peridotquay::standins {

namespace {

std::vector<LoadEntry> Entries(Fleet& aFleet)
{
  std::vector<LoadEntry> entries(aFleet.Settings().profile_.sites_.size());
  for (const FleetHost& host : aFleet.Hosts()) {
    entries[host.site_].push_back(host.callers_);
  }
  return entries;
}

// Applies a scenario's events at their times on a thread of its own, so that a slow command doesn't
// delay the load.
class EventThread
{
public:
  EventThread(const Scenario& aScenario, Fleet& aFleet)
    : scenario_(aScenario)
    , fleet_(aFleet)
  {
  }

  ~EventThread() { Join(); }

  void Start(TimePoint aStart)
  {
    thread_ = std::thread([this, aStart] {
      for (const ScenarioEvent& event : scenario_.events_) {
        std::this_thread::sleep_until(
          aStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(event.at_)));
        auto applied = event.apply_(fleet_);
        lastDone_ = ToSeconds(Clock::now() - aStart);
        if (!applied) {
          failure_ = applied.assume_error();
          return;
        }
      }
    });
  }

  void Join()
  {
    if (thread_.joinable()) {
      thread_.join();
    }
  }

  /// Valid after Join.
  std::optional<Error> failure_;
  std::optional<double> lastDone_; ///< When the last event had been applied, in seconds of the run.

private:
  const Scenario& scenario_;
  Fleet& fleet_;
  std::thread thread_;
};

} // namespace

Result<LoadReport> RunExperiment(const ExperimentSettings& aSettings)
{
  const auto scenario = MakeScenario(aSettings.scenario_, aSettings.profile_);
  if (!scenario) {
    return Fail(ErrorCode::kNotFound, aSettings.scenario_, "see `quayload list`");
  }
  FleetSettings settings;
  settings.binaries_ = aSettings.binaries_;
  settings.profile_ = aSettings.profile_;
  settings.naive_ = aSettings.naive_;
  settings.links_ = scenario->links_;
  settings.seed_ = aSettings.seed_;
  Fleet fleet(settings);
  BOOST_OUTCOME_TRYV(fleet.Start());
  const LoadPlan plan = MakePlan(*scenario, aSettings.profile_, aSettings.seed_);
  EventThread events(*scenario, fleet);
  const LoadResult result =
    RunLoad(plan, Entries(fleet), [&events](TimePoint aStart) { events.Start(aStart); });
  events.Join();
  if (events.failure_) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(*events.failure_);
  }
  return MakeReport(
    *scenario, aSettings.profile_, plan, result, fleet.Executions(), events.lastDone_);
}

Result<std::vector<LatencyTurn>> MeasureLatency(const std::string& aBinaries,
                                                std::uint64_t aSeed,
                                                int aTurns,
                                                bool aNaive)
{
  // The first part of each block opens connections and isn't counted.
  constexpr double kWarmSeconds = 0.5;
  constexpr double kBlockSeconds = 2.5;
  FleetSettings settings;
  settings.binaries_ = aBinaries;
  settings.profile_ = FindProfile("pair");
  settings.seed_ = aSeed;
  settings.naive_ = aNaive;
  Fleet fleet(settings);
  BOOST_OUTCOME_TRYV(fleet.Start());
  const FleetHost& first = fleet.Hosts()[0];
  const FleetHost& second = fleet.Hosts()[1];
  const std::string path = "/" + settings.profile_.services_[1].name_ + "/work";
  const auto run = [&](const Address& aServer, double aRate, std::uint64_t aBlock) {
    LoadPlan plan;
    plan.phases_ = { { "block", kBlockSeconds, 1, {}, false } };
    plan.classes_ = { { path, true, false, 1 } };
    plan.accounts_ = { { "bursa", settings.profile_.accounts_[0].key_, 1, 0 } };
    plan.baseRate_ = aRate;
    plan.run_ = "b" + std::to_string(aBlock);
    plan.seed_ = aSeed + aBlock;
    return RunLoad(plan, { { aServer } }, [](TimePoint) {});
  };
  std::vector<LatencyTurn> turns;
  std::uint64_t block = 0;
  for (const double rate : { 253.0, 2530.0 }) {
    for (int turn = 0; turn < aTurns; ++turn) {
      LatencyTurn result;
      result.rate_ = rate;
      for (const bool direct : { true, false }) {
        const LoadResult load = run(direct ? second.target_ : first.callers_, rate, ++block);
        std::vector<double> times;
        for (const LoadRecord& record : load.records_) {
          if (record.lastStatus_ != 200) {
            ++result.failed_;
          } else if (record.arrival_.at_ >= kWarmSeconds) {
            times.push_back(record.seconds_ * 1000);
          }
        }
        (direct ? result.directP50Ms_ : result.throughP50Ms_) = Percentile(times, 0.5);
        (direct ? result.directP99Ms_ : result.throughP99Ms_) = Percentile(times, 0.99);
      }
      turns.push_back(result);
    }
  }
  return turns;
}

} // namespace peridotquay::standins
