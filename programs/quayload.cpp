// quayload, the load generator and experiment tool: lists and runs scenarios, compares the product
// with a naive baseline and shows a demo.
#include "standins/lib/LoadDemo.h"
#include "standins/lib/LoadExperiment.h"
#include "standins/lib/LoadScore.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <filesystem>
#include <iostream>

ABSL_FLAG(std::string, scenario, "steady", "a scenario of `quayload list`");
ABSL_FLAG(std::string, profile, "foundry", "foundry or landesamt");
ABSL_FLAG(uint64_t, seed, 1, "seed of arrivals, service times and all random choices");
ABSL_FLAG(int, turns, 1, "number of runs, with consecutive seeds from --seed on");
ABSL_FLAG(bool, naive, false, "run: use the naive baseline instead of the product");
ABSL_FLAG(bool, json, false, "print one JSON object");
ABSL_FLAG(std::string, binaries, "", "folder of the other programs; by default that of quayload");

namespace {

// Maximum time from the start of a key's withdrawal until the last request with the key is served.
constexpr double kMaxWithdrawnKeySeconds = 3;

using namespace peridotquay;
using namespace peridotquay::standins;

// Exit codes.
constexpr int kExitFailed = 1;          // The experiment could not be run.
constexpr int kExitBadArguments = 2;    // Wrong arguments.
constexpr int kExitGuaranteeBroken = 3; // The product broke a guarantee.

// Mean, minimum and maximum of the results of several runs.
struct Spread
{
  double mean_ = 0;
  double min_ = 0;
  double max_ = 0;
};

Spread ComputeSpread(const std::vector<double>& aValues)
{
  Spread spread;
  if (aValues.empty()) {
    return spread;
  }
  for (const double value : aValues) {
    spread.mean_ += value / static_cast<double>(aValues.size());
  }
  spread.min_ = *std::min_element(aValues.begin(), aValues.end());
  spread.max_ = *std::max_element(aValues.begin(), aValues.end());
  return spread;
}

nlohmann::json SpreadJson(const std::vector<double>& aValues)
{
  const Spread spread = ComputeSpread(aValues);
  return { { "mean", spread.mean_ }, { "least", spread.min_ }, { "most", spread.max_ } };
}

std::string BinariesFolder()
{
  const std::string given = absl::GetFlag(FLAGS_binaries);
  return given.empty() ? std::filesystem::read_symlink("/proc/self/exe").parent_path().string()
                       : given;
}

// Goodput of the phase that the scenario tests: "trigger", or "before" if the scenario has no
// trigger.
double MainPhaseGoodput(const LoadReport& aReport)
{
  const std::string wanted = aReport.hasTrigger_ ? "trigger" : "before";
  double goodput = 0;
  for (const PhaseReport& phase : aReport.phases_) {
    if (phase.name_ == wanted) {
      goodput = phase.goodput_;
    }
  }
  return goodput;
}

int ListScenarios()
{
  const FleetProfile profile = FindProfile("foundry");
  nlohmann::json json;
  for (const std::string& name : ScenarioNames()) {
    const std::string description = MakeScenario(name, profile)->description_;
    json.push_back({ { "scenario", name }, { "description", description } });
    if (!absl::GetFlag(FLAGS_json)) {
      std::cout << name << std::string(20 - name.size(), ' ') << description << "\n";
    }
  }
  const std::vector<std::pair<std::string, std::string>> measurements = {
    { "latency", "added latency of calls through two hosts, alternating with direct calls" },
    { "changes", "time until configuration changes are in force on every host" },
    { "quiet", "CPU and memory use of nodes without traffic" },
  };
  for (const auto& [name, description] : measurements) {
    json.push_back({ { "scenario", name }, { "description", description } });
    if (!absl::GetFlag(FLAGS_json)) {
      std::cout << name << std::string(20 - name.size(), ' ') << description << "\n";
    }
  }
  if (absl::GetFlag(FLAGS_json)) {
    std::cout << json.dump(2) << "\n";
  }
  return 0;
}

nlohmann::json LatencyJson(const std::vector<LatencyComparison>& aTurns)
{
  nlohmann::json json;
  // The call rates of MeasureLatency, per second.
  for (const double rate : { 253.0, 2530.0 }) {
    nlohmann::json entry{ { "rate", rate } };
    std::vector<double> p50;
    std::vector<double> p99;
    std::vector<double> ratio;
    std::uint64_t failed = 0;
    for (const LatencyComparison& turn : aTurns) {
      if (turn.rate_ == rate) {
        p50.push_back(turn.proxiedP50Ms_ - turn.directP50Ms_);
        p99.push_back(turn.proxiedP99Ms_ - turn.directP99Ms_);
        ratio.push_back(turn.directP99Ms_ > 0 ? turn.proxiedP99Ms_ / turn.directP99Ms_ : 0);
        failed += turn.failed_;
        entry["turns"].push_back({ { "direct_p50_ms", turn.directP50Ms_ },
                                   { "direct_p99_ms", turn.directP99Ms_ },
                                   { "through_p50_ms", turn.proxiedP50Ms_ },
                                   { "through_p99_ms", turn.proxiedP99Ms_ } });
      }
    }
    entry["added_p50_ms"] = SpreadJson(p50);
    entry["added_p99_ms"] = SpreadJson(p99);
    entry["p99_ratio"] = SpreadJson(ratio);
    entry["failed"] = failed;
    json.push_back(entry);
  }
  return json;
}

int RunLatency(bool aCompare)
{
  nlohmann::json json{ { "scenario", "latency" }, { "seed", absl::GetFlag(FLAGS_seed) } };
  const int turns = std::max(absl::GetFlag(FLAGS_turns), 3);
  for (const bool naive : { false, true }) {
    if (naive ? !aCompare && !absl::GetFlag(FLAGS_naive)
              : !aCompare && absl::GetFlag(FLAGS_naive)) {
      continue;
    }
    const auto measured = MeasureLatency(BinariesFolder(), absl::GetFlag(FLAGS_seed), turns, naive);
    if (!measured) {
      std::cerr << "quayload: " << Describe(measured.assume_error()) << "\n";
      return kExitFailed;
    }
    json[naive ? "naive" : "product"] = LatencyJson(measured.assume_value());
  }
  std::cout << json.dump(2) << "\n";
  return 0;
}

int RunChanges(const ExperimentSettings& aSettings)
{
  constexpr int kChangeCount = 30;
  const auto measured = MeasureConfigChangeTimes(aSettings, kChangeCount);
  if (!measured) {
    std::cerr << "quayload: " << Describe(measured.assume_error()) << "\n";
    return kExitFailed;
  }
  const auto& changeSeconds = measured.assume_value();
  const auto withinOneSecond = std::count_if(
    changeSeconds.begin(), changeSeconds.end(), [](double aSeconds) { return aSeconds <= 1; });
  const nlohmann::json json{ { "scenario", "changes" },
                             { "changes", changeSeconds.size() },
                             { "within_1_s", withinOneSecond },
                             { "p50_s", Percentile(changeSeconds, 0.5) },
                             { "longest_s", Percentile(changeSeconds, 1) } };
  std::cout << json.dump(2) << "\n";
  return 0;
}

int RunQuiet(const ExperimentSettings& aSettings)
{
  constexpr int kMeasurementSeconds = 10;
  const auto measured = MeasureIdleCost(aSettings, kMeasurementSeconds);
  if (!measured) {
    std::cerr << "quayload: " << Describe(measured.assume_error()) << "\n";
    return kExitFailed;
  }
  const IdleNodeCost& cost = measured.assume_value();
  const nlohmann::json json{ { "scenario", "quiet" },
                             { "mean_core", cost.meanCpuFraction_ },
                             { "most_core", cost.maxCpuFraction_ },
                             { "most_megabytes", cost.maxResidentMegabytes_ } };
  std::cout << json.dump(2) << "\n";
  return 0;
}

// Runs the scenario with the product or the naive baseline, or with both alternately if aCompare.
int RunScenario(bool aCompare)
{
  ExperimentSettings settings;
  settings.binaries_ = BinariesFolder();
  settings.profile_ = FindProfile(absl::GetFlag(FLAGS_profile));
  settings.scenario_ = absl::GetFlag(FLAGS_scenario);
  if (settings.profile_.name_.empty()) {
    std::cerr << "quayload: --profile: foundry or landesamt\n";
    return kExitBadArguments;
  }
  if (settings.scenario_ == "latency") {
    return RunLatency(aCompare);
  }
  settings.seed_ = absl::GetFlag(FLAGS_seed);
  if (settings.scenario_ == "changes") {
    return RunChanges(settings);
  }
  if (settings.scenario_ == "quiet") {
    return RunQuiet(settings);
  }
  const bool asJson = absl::GetFlag(FLAGS_json);
  nlohmann::json json{ { "scenario", settings.scenario_ },
                       { "profile", settings.profile_.name_ },
                       { "scale", settings.profile_.scaleDescription_ },
                       { "seed", absl::GetFlag(FLAGS_seed) },
                       { "capacity_per_s", CapacityPerSecond(settings.profile_) } };
  if (!asJson) {
    std::cout << settings.scenario_ << " on " << settings.profile_.name_ << ", capacity "
              << CapacityPerSecond(settings.profile_)
              << " whole requests/s\nscale: " << settings.profile_.scaleDescription_ << std::endl;
  }
  std::vector<double> product;
  std::vector<double> naive;
  bool guaranteesHold = true;
  for (int turn = 0; turn < absl::GetFlag(FLAGS_turns); ++turn) {
    settings.seed_ = absl::GetFlag(FLAGS_seed) + static_cast<std::uint64_t>(turn);
    for (const bool isNaive : { false, true }) {
      if (!aCompare && isNaive != absl::GetFlag(FLAGS_naive)) {
        continue;
      }
      settings.naive_ = isNaive;
      const auto report = RunExperiment(settings);
      if (!report) {
        std::cerr << "quayload: " << Describe(report.assume_error()) << "\n";
        return report.assume_error().code_ == ErrorCode::kNotFound ? kExitBadArguments
                                                                   : kExitFailed;
      }
      const LoadReport& value = report.assume_value();
      (isNaive ? naive : product).push_back(MainPhaseGoodput(value));
      const bool keyStoppedInTime =
        value.withdrawnKeyServedSeconds_.value_or(0) <= kMaxWithdrawnKeySeconds;
      guaranteesHold = guaranteesHold && (isNaive || (value.history_.Holds() && keyStoppedInTime));
      auto entry = nlohmann::json::parse(ReportJson(value));
      entry["seed"] = settings.seed_;
      json[isNaive ? "naive" : "product"].push_back(entry);
      if (!asJson) {
        std::cout << (isNaive ? "naive" : "product") << ", seed " << settings.seed_ << "\n"
                  << ReportText(value, "  ") << std::flush;
      }
    }
  }
  json["goodput"]["product"] = SpreadJson(product);
  json["goodput"]["naive"] = SpreadJson(naive);
  if (aCompare) {
    const double naiveMean = ComputeSpread(naive).mean_;
    json["goodput"]["ratio"] =
      naiveMean > 0 ? nlohmann::json(ComputeSpread(product).mean_ / naiveMean) : nlohmann::json();
  }
  if (asJson) {
    std::cout << json.dump(2) << "\n";
  } else if (aCompare) {
    std::cout << "goodput of the ideal: " << json["goodput"].dump() << "\n";
  }
  return guaranteesHold ? 0 : kExitGuaranteeBroken;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage("quayload list | run | compare | demo [flags]");
  const std::vector<char*> words = absl::ParseCommandLine(aCount, aArguments);
  const std::string command = words.size() == 2 ? words[1] : "";
  if (command == "list") {
    return ListScenarios();
  }
  if (command == "run" || command == "compare") {
    return RunScenario(command == "compare");
  }
  if (command == "demo") {
    return RunDemo(BinariesFolder(), absl::GetFlag(FLAGS_seed));
  }
  std::cerr << "usage: quayload list | run | compare | demo [--scenario NAME] [--profile NAME] "
               "[--seed N] [--turns N] [--naive] [--json]\n";
  return kExitBadArguments;
}
