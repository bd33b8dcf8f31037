// Experiments and measurements, each on a fleet that is started for it.
#pragma once

#include "standins/lib/LoadReport.h"

#include <string>
#include <vector>

namespace peridotquay::standins {

struct ExperimentSettings
{
  std::string binaries_; ///< Folder with quayd, quayctl and the stand-ins.
  FleetProfile profile_;
  std::string scenario_; ///< A name of ScenarioNames.
  std::uint64_t seed_ = 1;
  bool naive_ = false; ///< Uses the naive baseline instead of the product.
};

/// Starts a fleet, runs the scenario and stops the fleet. Errors: those of Fleet::Start, kNotFound
/// for an unknown scenario, and those of the scenario's events.
Result<LoadReport> RunExperiment(const ExperimentSettings& aSettings);

/// Latency of calls through two hosts ("proxied") and of direct calls to the same target, at one
/// rate.
struct LatencyComparison
{
  double rate_ = 0; ///< Calls per second.
  double directP50Ms_ = 0;
  double directP99Ms_ = 0;
  double proxiedP50Ms_ = 0;
  double proxiedP99Ms_ = 0;
  std::uint64_t failed_ = 0; ///< Calls without status 200, direct and proxied.
};

/// Measures direct and proxied calls alternately at 253 and 2,530 calls per second. Each repetition
/// gives one comparison for each rate. Errors: those of Fleet::Start.
Result<std::vector<LatencyComparison>> MeasureLatency(const std::string& aBinaries,
                                                      std::uint64_t aSeed,
                                                      int aRepetitions,
                                                      bool aNaive);

/// Measures the seconds from the start of `quayctl apply` until the new version is in force on
/// every host, for each of aCount changes on a fleet without traffic. Errors: those of
/// Fleet::Start, kPlatformUnavailable if quayctl fails, kDeadlineExceeded for a change that takes
/// over 10 s.
Result<std::vector<double>> MeasureConfigChangeTimes(const ExperimentSettings& aSettings,
                                                     int aCount);

/// CPU and memory use of nodes without traffic.
struct IdleNodeCost
{
  double meanCpuFraction_ = 0;      ///< Fraction of a core, mean over the nodes.
  double maxCpuFraction_ = 0;       ///< Fraction of a core, of the busiest node.
  double maxResidentMegabytes_ = 0; ///< Of the node that uses most memory.
};

/// Measures for aSeconds on a fleet without traffic. Errors: those of Fleet::Start.
Result<IdleNodeCost> MeasureIdleCost(const ExperimentSettings& aSettings, int aSeconds);

} // namespace peridotquay::standins
