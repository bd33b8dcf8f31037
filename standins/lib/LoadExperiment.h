// Runs scenarios on fleets of their own.
#pragma once

#include "standins/lib/LoadReport.h"

#include <string>
#include <vector>

namespace peridotquay::standins {

struct ExperimentSettings
{
  std::string binaries_;
  FleetProfile profile_;
  std::string scenario_;
  std::uint64_t seed_ = 1;
  bool naive_ = false;
};

/// Starts a fleet, runs the scenario, stops the fleet. Errors: those of Fleet::Start, kNotFound for
/// an unknown scenario, and those of the scenario's events.
Result<LoadReport> RunExperiment(const ExperimentSettings& aSettings);

/// Latency of calls through two hosts and of direct calls to the same target, at one rate.
struct LatencyComparison
{
  double rate_ = 0; ///< Calls a second.
  double directP50Ms_ = 0;
  double directP99Ms_ = 0;
  double proxiedP50Ms_ = 0;
  double proxiedP99Ms_ = 0;
  std::uint64_t failed_ = 0; ///< Calls that weren't answered with 200.
};

/// Measures by turns: direct, through, direct, ... at 253 and 2,530 calls a second.
Result<std::vector<LatencyComparison>> MeasureLatency(const std::string& aBinaries,
                                                      std::uint64_t aSeed,
                                                      int aTurns,
                                                      bool aNaive);

/// Seconds from the start of `quayctl apply` until every host has the version in force, for each of
/// aCount changes on a quiet fleet.
Result<std::vector<double>> MeasureConfigChangeTimes(const ExperimentSettings& aSettings,
                                                     int aCount);

/// Cost of a node without traffic.
struct IdleNodeCost
{
  double meanCpuFraction_ = 0; ///< Part of a core, mean over the nodes.
  double maxCpuFraction_ = 0;
  double maxResidentMegabytes_ = 0; ///< Resident memory of the largest node.
};

/// Measures over aSeconds on a fleet without calls.
Result<IdleNodeCost> MeasureIdleCost(const ExperimentSettings& aSettings, int aSeconds);

} // namespace peridotquay::standins
