// Results of one load run, as numbers, JSON and text.
#pragma once

#include "standins/lib/HistoryCheck.h"
#include "standins/lib/LoadRunner.h"
#include "standins/lib/LoadScenario.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Results of one phase. A request belongs to the phase in which it was scheduled.
struct PhaseReport
{
  std::string name_;
  double durationSeconds_ = 0;
  std::uint64_t offered_ = 0; ///< Scheduled requests.
  std::uint64_t served_ = 0;  ///< Requests with a complete and correct answer within the deadline.
  /// Requests that could be served at most, given the offered load, the rates and the capacity.
  double ideal_ = 0;
  /// Served requests divided by ideal_. In an overloaded phase, those are counted whose answers
  /// came during the phase, instead of served_.
  double goodput_ = 0;
  double p50Ms_ = 0; ///< Latency of served requests, from the scheduled arrival.
  double p99Ms_ = 0;
  double criticalServedFraction_ = 1;           ///< Of the critical requests; 1 if there were none.
  std::map<std::string, std::uint64_t> errors_; ///< Failed first attempts, by error type.
};

/// Results of a run.
struct LoadReport
{
  std::vector<PhaseReport> phases_;
  /// From the end of phase "trigger"; empty without that phase or if the fleet didn't recover.
  std::optional<double> recoverySeconds_;
  bool hasTrigger_ = false;
  /// Client account with the smallest served fraction of its fair share in phase "trigger", or in
  /// "before" if there is no trigger.
  std::string worstAccount_;
  double worstAccountShare_ = 1; ///< Served requests of worstAccount_ divided by its fair share.
  std::uint64_t wrongfulRefusals_ = 0; ///< Admissible requests whose first attempt was refused.
  /// Requests outside of the warm-up, overloaded phases and the phases directly after those, from
  /// accounts other than the scenario's misbehaving one.
  std::uint64_t admissibleRequests_ = 0;
  std::uint64_t criticalShed_ = 0; ///< Critical requests whose first attempt was shed.
  std::uint64_t criticalRequests_ = 0;
  /// From the start of the withdrawal to the last arrival that was served with the withdrawn key.
  std::optional<double> withdrawnKeyServedSeconds_;
  double maxStartLagMs_ = 0; ///< Largest delay with which the load generator started a request.
  std::uint64_t failedIdRequests_ = 0; ///< Failed fetches of request ids.
  HistoryResult history_;
};

/// Computes the results. aWithdrawnAt is the time at which the command that withdraws the key was
/// started, in seconds of the run.
LoadReport MakeReport(const Scenario& aScenario,
                      const FleetProfile& aProfile,
                      const LoadPlan& aPlan,
                      const LoadResult& aResult,
                      const std::vector<TargetExecution>& aExecutions,
                      std::optional<double> aWithdrawnAt);

/// Returns the report as a JSON object.
std::string ReportJson(const LoadReport& aReport);

/// Returns the report as readable lines that start with the prefix.
std::string ReportText(const LoadReport& aReport, const std::string& aPrefix);

} // namespace peridotquay::standins
