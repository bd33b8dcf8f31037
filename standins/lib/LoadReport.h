// Figures of one load run.
#pragma once

#include "standins/lib/HistoryCheck.h"
#include "standins/lib/LoadRunner.h"
#include "standins/lib/LoadScenario.h"

#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Figures of one phase. Except for goodput_, requests belong to the phase in which they were
/// scheduled.
struct PhaseReport
{
  std::string name_;
  double seconds_ = 0;
  std::uint64_t offered_ = 0;
  std::uint64_t served_ = 0; ///< Whole right answers within the deadline.
  double ideal_ = 0;         ///< Most that could have been served, by rates and capacity.
  double goodput_ = 0;       ///< served_ / ideal_.
  double p50Ms_ = 0;         ///< Of served requests, from the scheduled arrival.
  double p99Ms_ = 0;
  double criticalServed_ = 1;                   ///< Part of the critical requests that were served.
  std::map<std::string, std::uint64_t> errors_; ///< First answers other than 200, by error type.
};

struct LoadReport
{
  std::vector<PhaseReport> phases_;
  std::optional<double> recoverySeconds_; ///< After "trigger" ends; empty if it did not recover.
  bool hasTrigger_ = false;
  std::string worstAccount_;
  double worstShare_ = 1; ///< Served over max-min fair share of the worst-served client account.
  std::uint64_t wrongfulRefusals_ =
    0; ///< First answer refused, account within its rate, no overload.
  std::uint64_t wrongfulOf_ = 0;
  std::uint64_t criticalShed_ = 0; ///< Critical requests shed at their first host or target.
  std::uint64_t criticalOf_ = 0;
  std::optional<double> withdrawnKeyServedSeconds_; ///< Latest arrival served after its withdrawal.
  double worstLagMs_ = 0;                           ///< Of the load generator itself.
  std::uint64_t lostIds_ = 0;
  HistoryResult history_;
};

/// Computes the figures. aWithdrawnAt: when the command that withdraws the key was started, in
/// seconds of the run.
LoadReport MakeReport(const Scenario& aScenario,
                      const FleetProfile& aProfile,
                      const LoadPlan& aPlan,
                      const LoadResult& aResult,
                      const std::vector<TargetExecution>& aExecutions,
                      std::optional<double> aWithdrawnAt);

/// The report as a JSON object.
std::string ReportJson(const LoadReport& aReport);

/// The report as lines for people, each with the prefix.
std::string ReportText(const LoadReport& aReport, const std::string& aPrefix);

} // namespace peridotquay::standins
