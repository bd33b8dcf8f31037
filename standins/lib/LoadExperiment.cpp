// Runs scenarios and measurements on fleets that are started for them.
#include "standins/lib/LoadExperiment.h"

#include "standins/lib/LoadScore.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <fstream>
#include <iterator>
#include <sstream>
#include <thread>
#include <unistd.h>

namespace peridotquay::standins {

namespace {

// Addresses at which the hosts accept callers, by data centre.
std::vector<DataCentreHosts> HostsByDataCentre(Fleet& aFleet)
{
  std::vector<DataCentreHosts> dataCentres(aFleet.Settings().profile_.sites_.size());
  for (const FleetHost& host : aFleet.Hosts()) {
    dataCentres[host.site_].push_back(host.callers_);
  }
  return dataCentres;
}

// Applies the events of a scenario at their times, on its own thread, so that a slow command
// doesn't delay the load.
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
        lastEventStartedAt_ = ToSeconds(Clock::now() - aStart);
        auto applied = event.apply_(fleet_);
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

  // Valid after Join.
  std::optional<Error> failure_;             ///< Error of the event that ended the sequence.
  std::optional<double> lastEventStartedAt_; ///< In seconds of the run.

private:
  const Scenario& scenario_;
  Fleet& fleet_;
  std::thread thread_;
};

FleetSettings MakeFleetSettings(const ExperimentSettings& aSettings)
{
  FleetSettings settings;
  settings.binaries_ = aSettings.binaries_;
  settings.profile_ = aSettings.profile_;
  settings.naive_ = aSettings.naive_;
  settings.seed_ = aSettings.seed_;
  return settings;
}

// Configuration version in force on a host; 0 if the host doesn't answer.
std::uint64_t ActiveVersion(const Fleet& aFleet, std::size_t aHost)
{
  const auto json = nlohmann::json::parse(aFleet.Status(aHost), nullptr, false);
  return json.is_object() ? json.value("version", std::uint64_t{ 0 }) : 0;
}

// CPU time that a process has used, in seconds.
double CpuSeconds(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/stat");
  std::string text((std::istreambuf_iterator<char>(file)), std::istreambuf_iterator<char>());
  // The process name in parentheses may contain spaces, so fields are counted from after it. The 11
  // fields from the state to the major faults of children precede the user and system time.
  std::istringstream fields(text.substr(text.rfind(')') + 2));
  std::string skipped;
  for (int i = 0; i < 11; ++i) {
    fields >> skipped;
  }
  double user = 0;
  double system = 0;
  fields >> user >> system;
  return (user + system) / static_cast<double>(::sysconf(_SC_CLK_TCK));
}

// Resident memory of a process, in units of 10^6 bytes.
double ResidentMegabytes(pid_t aProcess)
{
  std::ifstream file("/proc/" + std::to_string(aProcess) + "/statm");
  double totalPages = 0;
  double residentPages = 0;
  file >> totalPages >> residentPages;
  return residentPages * static_cast<double>(::sysconf(_SC_PAGESIZE)) / 1e6;
}

} // namespace

Result<std::vector<double>> MeasureConfigChangeTimes(const ExperimentSettings& aSettings,
                                                     int aCount)
{
  constexpr Duration kTimeout = seconds(10);
  Fleet fleet(MakeFleetSettings(aSettings));
  BOOST_OUTCOME_TRYV(fleet.Start());
  FleetProfile profile = aSettings.profile_;
  std::uint64_t version = ActiveVersion(fleet, 0);
  std::vector<double> changeSeconds;
  for (int i = 0; i < aCount; ++i) {
    profile.accounts_[0].rate_ = 100 + i;
    const TimePoint changeStartedAt = Clock::now();
    const CommandResult applied = fleet.Apply(BaseConfiguration(profile), false);
    if (applied.status_ != 0) {
      return Fail(ErrorCode::kPlatformUnavailable, "quayctl apply", applied.output_);
    }
    ++version;
    for (std::size_t host = 0; host < fleet.Hosts().size(); ++host) {
      while (ActiveVersion(fleet, host) < version) {
        if (Clock::now() - changeStartedAt > kTimeout) {
          return Fail(ErrorCode::kDeadlineExceeded,
                      fleet.Hosts()[host].name_,
                      "configuration change not in force within 10 s");
        }
        std::this_thread::sleep_for(milliseconds(2));
      }
    }
    changeSeconds.push_back(ToSeconds(Clock::now() - changeStartedAt));
  }
  return changeSeconds;
}

Result<IdleNodeCost> MeasureIdleCost(const ExperimentSettings& aSettings, int aSeconds)
{
  Fleet fleet(MakeFleetSettings(aSettings));
  BOOST_OUTCOME_TRYV(fleet.Start());
  std::vector<double> cpuSecondsBefore;
  const TimePoint startedAt = Clock::now();
  for (const FleetHost& host : fleet.Hosts()) {
    cpuSecondsBefore.push_back(CpuSeconds(host.node_.Id()));
  }
  std::this_thread::sleep_for(seconds(aSeconds));
  const double elapsedSeconds = ToSeconds(Clock::now() - startedAt);
  IdleNodeCost cost;
  for (std::size_t i = 0; i < cpuSecondsBefore.size(); ++i) {
    const pid_t process = fleet.Hosts()[i].node_.Id();
    const double fraction = (CpuSeconds(process) - cpuSecondsBefore[i]) / elapsedSeconds;
    cost.meanCpuFraction_ += fraction / static_cast<double>(cpuSecondsBefore.size());
    cost.maxCpuFraction_ = std::max(cost.maxCpuFraction_, fraction);
    cost.maxResidentMegabytes_ = std::max(cost.maxResidentMegabytes_, ResidentMegabytes(process));
  }
  return cost;
}

Result<LoadReport> RunExperiment(const ExperimentSettings& aSettings)
{
  const auto scenario = MakeScenario(aSettings.scenario_, aSettings.profile_);
  if (!scenario) {
    return Fail(ErrorCode::kNotFound, aSettings.scenario_, "see `quayload list`");
  }
  FleetSettings settings = MakeFleetSettings(aSettings);
  settings.links_ = scenario->links_;
  Fleet fleet(settings);
  BOOST_OUTCOME_TRYV(fleet.Start());
  const LoadPlan plan = MakePlan(*scenario, aSettings.profile_, aSettings.seed_);
  EventThread events(*scenario, fleet);
  const LoadResult result =
    RunLoad(plan, HostsByDataCentre(fleet), [&events](TimePoint aStart) { events.Start(aStart); });
  events.Join();
  if (events.failure_) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(*events.failure_);
  }
  return MakeReport(
    *scenario, aSettings.profile_, plan, result, fleet.Executions(), events.lastEventStartedAt_);
}

Result<std::vector<LatencyComparison>> MeasureLatency(const std::string& aBinaries,
                                                      std::uint64_t aSeed,
                                                      int aRepetitions,
                                                      bool aNaive)
{
  // Each block is a load run. Its warm-up opens connections and doesn't count.
  constexpr double kWarmUpSeconds = 0.5;
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
    plan.tagPrefix_ = "b" + std::to_string(aBlock);
    plan.seed_ = aSeed + aBlock;
    return RunLoad(plan, { { aServer } }, [](TimePoint) {});
  };
  std::vector<LatencyComparison> comparisons;
  std::uint64_t block = 0;
  for (const double rate : { 253.0, 2530.0 }) {
    for (int repetition = 0; repetition < aRepetitions; ++repetition) {
      LatencyComparison result;
      result.rate_ = rate;
      for (const bool direct : { true, false }) {
        const LoadResult load = run(direct ? second.target_ : first.callers_, rate, ++block);
        std::vector<double> latenciesMs;
        for (const LoadRecord& record : load.records_) {
          if (record.lastStatus_ != 200) {
            ++result.failed_;
          } else if (record.arrival_.scheduledAt_ >= kWarmUpSeconds) {
            latenciesMs.push_back(record.latencySeconds_ * 1000);
          }
        }
        (direct ? result.directP50Ms_ : result.proxiedP50Ms_) = Percentile(latenciesMs, 0.5);
        (direct ? result.directP99Ms_ : result.proxiedP99Ms_) = Percentile(latenciesMs, 0.99);
      }
      comparisons.push_back(result);
    }
  }
  return comparisons;
}

} // namespace peridotquay::standins
