// Computes and formats the results of one load run.
#include "standins/lib/LoadReport.h"

#include "standins/lib/LoadScore.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <iomanip>
#include <sstream>

namespace peridotquay::standins {

namespace {

// Whether the status of the first attempt means that the request was refused.
bool Refused(const LoadRecord& aRecord)
{
  return aRecord.firstStatus_ == 401 || aRecord.firstStatus_ == 403 ||
         aRecord.firstStatus_ == 429 || aRecord.firstStatus_ == 503;
}

// Offered and served requests of a phase, by account.
struct AccountCounts
{
  std::vector<double> offered_;
  std::vector<double> served_;
};

AccountCounts CountByAccount(const LoadPlan& aPlan, const LoadResult& aResult, std::size_t aPhase)
{
  AccountCounts counts;
  counts.offered_.assign(aPlan.accounts_.size(), 0);
  counts.served_.assign(aPlan.accounts_.size(), 0);
  for (const LoadRecord& record : aResult.records_) {
    if (record.arrival_.phase_ == aPhase) {
      counts.offered_[record.arrival_.account_] += 1;
      counts.served_[record.arrival_.account_] += record.served_ ? 1 : 0;
    }
  }
  return counts;
}

// Max-min fair number of requests of each account in a phase. An account's demand is what it
// offered, limited to its rate, or nothing after its key was withdrawn.
std::vector<double> FairPhaseShares(const Scenario& aScenario,
                                    const FleetProfile& aProfile,
                                    const LoadPlan& aPlan,
                                    const AccountCounts& aCounts,
                                    std::size_t aPhase)
{
  const LoadPhase& phase = aScenario.phases_[aPhase];
  const bool slow = phase.name_ == "trigger";
  const double capacity =
    CapacityPerSecond(aProfile, slow ? aScenario.slowFactor_ : 1) * phase.durationSeconds_;
  std::vector<double> demands;
  std::vector<double> weights;
  for (std::size_t i = 0; i < aPlan.accounts_.size(); ++i) {
    const bool withdrawn =
      aScenario.withdrawnAccount_ == i && (phase.name_ == "trigger" || phase.name_ == "after");
    const double allowed = withdrawn ? 0 : aPlan.accounts_[i].rate_ * phase.durationSeconds_;
    demands.push_back(std::min(aCounts.offered_[i], allowed));
    weights.push_back(aPlan.accounts_[i].rate_);
  }
  return FairShares(capacity, demands, weights);
}

PhaseReport ReportPhase(const LoadPlan& aPlan, const LoadResult& aResult, std::size_t aPhase)
{
  PhaseReport report;
  report.name_ = aPlan.phases_[aPhase].name_;
  report.durationSeconds_ = aPlan.phases_[aPhase].durationSeconds_;
  std::vector<double> latencies;
  double critical = 0;
  double criticalServed = 0;
  for (const LoadRecord& record : aResult.records_) {
    if (record.arrival_.phase_ != aPhase) {
      continue;
    }
    ++report.offered_;
    if (record.served_) {
      ++report.served_;
      latencies.push_back(record.latencySeconds_ * 1000);
    }
    if (aPlan.classes_[record.arrival_.class_].critical_) {
      critical += 1;
      criticalServed += record.served_ ? 1 : 0;
    }
    if (!record.firstErrorType_.empty()) {
      ++report.errors_[record.firstErrorType_];
    }
  }
  report.p50Ms_ = Percentile(latencies, 0.5);
  report.p99Ms_ = Percentile(latencies, 0.99);
  report.criticalServedFraction_ = critical > 0 ? criticalServed / critical : 1;
  return report;
}

// Number of served requests whose answer came during the phase, whenever they were scheduled.
double CountCompletedIn(const LoadPlan& aPlan, const LoadResult& aResult, std::size_t aPhase)
{
  double start = 0;
  for (std::size_t i = 0; i < aPhase; ++i) {
    start += aPlan.phases_[i].durationSeconds_;
  }
  const double end = start + aPlan.phases_[aPhase].durationSeconds_;
  return static_cast<double>(std::count_if(
    aResult.records_.begin(), aResult.records_.end(), [start, end](const LoadRecord& aRecord) {
      const double completed = aRecord.arrival_.scheduledAt_ + aRecord.latencySeconds_;
      return aRecord.served_ && completed >= start && completed < end;
    }));
}

// Counts wrongful refusals and shed critical requests.
void CountRefusals(LoadReport& aReport,
                   const Scenario& aScenario,
                   const LoadPlan& aPlan,
                   const LoadResult& aResult)
{
  for (const LoadRecord& record : aResult.records_) {
    const LoadPhase& phase = aPlan.phases_[record.arrival_.phase_];
    // The targets may still be busy with requests of an overloaded phase before this one.
    const bool afterOverload =
      record.arrival_.phase_ > 0 && aPlan.phases_[record.arrival_.phase_ - 1].overloaded_;
    if (phase.name_ != "warm-up" && !phase.overloaded_ && !afterOverload &&
        aScenario.misbehavingAccount_ != record.arrival_.account_) {
      ++aReport.admissibleRequests_;
      aReport.wrongfulRefusals_ += Refused(record) ? 1 : 0;
    }
    if (aPlan.classes_[record.arrival_.class_].critical_) {
      ++aReport.criticalRequests_;
      aReport.criticalShed_ +=
        record.firstStatus_ == 503 && record.firstErrorType_ == "shed" ? 1 : 0;
    }
  }
}

} // namespace

LoadReport MakeReport(const Scenario& aScenario,
                      const FleetProfile& aProfile,
                      const LoadPlan& aPlan,
                      const LoadResult& aResult,
                      const std::vector<TargetExecution>& aExecutions,
                      std::optional<double> aWithdrawnAt)
{
  LoadReport report;
  std::size_t fairnessPhase = 0;
  for (std::size_t i = 0; i < aPlan.phases_.size(); ++i) {
    PhaseReport phase = ReportPhase(aPlan, aResult, i);
    const AccountCounts counts = CountByAccount(aPlan, aResult, i);
    for (const double share : FairPhaseShares(aScenario, aProfile, aPlan, counts, i)) {
      phase.ideal_ += share;
    }
    const double served = aPlan.phases_[i].overloaded_ ? CountCompletedIn(aPlan, aResult, i)
                                                       : static_cast<double>(phase.served_);
    phase.goodput_ = phase.ideal_ > 0 ? served / phase.ideal_ : 1;
    report.phases_.push_back(std::move(phase));
    if (aPlan.phases_[i].name_ == "trigger") {
      report.hasTrigger_ = true;
      fairnessPhase = i;
    } else if (aPlan.phases_[i].name_ == "before") {
      fairnessPhase = i;
    }
  }
  const AccountCounts counts = CountByAccount(aPlan, aResult, fairnessPhase);
  const auto shares = FairPhaseShares(aScenario, aProfile, aPlan, counts, fairnessPhase);
  for (std::size_t i = 0; i < shares.size(); ++i) {
    const double fraction = shares[i] > 0 ? counts.served_[i] / shares[i] : 1;
    if (fraction < report.worstAccountShare_ || report.worstAccount_.empty()) {
      report.worstAccountShare_ = fraction;
      report.worstAccount_ = aPlan.accounts_[i].name_;
    }
  }
  CountRefusals(report, aScenario, aPlan, aResult);
  if (report.hasTrigger_) {
    std::vector<RequestSample> requests;
    for (const LoadRecord& record : aResult.records_) {
      // Refusals of the misbehaving account are correct and say nothing about recovery.
      if (aScenario.misbehavingAccount_ != record.arrival_.account_) {
        requests.push_back({ record.arrival_.scheduledAt_, record.served_ });
      }
    }
    const double before =
      ServedFraction(requests, PhaseStart(aScenario, "before"), PhaseStart(aScenario, "trigger"));
    report.recoverySeconds_ = RecoverySeconds(
      requests, PhaseStart(aScenario, "after"), PhaseStart(aScenario, ""), before, 0.98);
  }
  if (aScenario.withdrawnAccount_ && aWithdrawnAt) {
    report.withdrawnKeyServedSeconds_ = 0;
    for (const LoadRecord& record : aResult.records_) {
      if (record.arrival_.account_ == *aScenario.withdrawnAccount_ && record.served_) {
        report.withdrawnKeyServedSeconds_ = std::max(*report.withdrawnKeyServedSeconds_,
                                                     record.arrival_.scheduledAt_ - *aWithdrawnAt);
      }
    }
  }
  report.maxStartLagMs_ = aResult.maxStartLagSeconds_ * 1000;
  report.failedIdRequests_ = aResult.failedIdRequests_;
  report.history_ = CheckHistory(aResult.calls_, aExecutions);
  return report;
}

std::string ReportJson(const LoadReport& aReport)
{
  nlohmann::json json;
  for (const PhaseReport& phase : aReport.phases_) {
    json["phases"].push_back({ { "name", phase.name_ },
                               { "seconds", phase.durationSeconds_ },
                               { "offered", phase.offered_ },
                               { "served", phase.served_ },
                               { "ideal", phase.ideal_ },
                               { "goodput", phase.goodput_ },
                               { "p50_ms", phase.p50Ms_ },
                               { "p99_ms", phase.p99Ms_ },
                               { "critical_served", phase.criticalServedFraction_ },
                               { "errors", phase.errors_ } });
  }
  json["recovery_s"] =
    aReport.recoverySeconds_ ? nlohmann::json(*aReport.recoverySeconds_) : nlohmann::json();
  json["worst_account"] = { { "account", aReport.worstAccount_ },
                            { "share", aReport.worstAccountShare_ } };
  json["wrongful_refusals"] = { { "count", aReport.wrongfulRefusals_ },
                                { "of", aReport.admissibleRequests_ } };
  json["critical_shed"] = { { "count", aReport.criticalShed_ },
                            { "of", aReport.criticalRequests_ } };
  if (aReport.withdrawnKeyServedSeconds_) {
    json["withdrawn_served_s"] = *aReport.withdrawnKeyServedSeconds_;
  }
  json["generator_lag_ms"] = aReport.maxStartLagMs_;
  json["lost_id_requests"] = aReport.failedIdRequests_;
  json["history"]["calls"] = aReport.history_.calls_;
  json["history"]["executions"] = aReport.history_.executions_;
  json["history"]["most_retries"] = aReport.history_.maxCallTreeRetries_;
  json["history"]["holds"] = aReport.history_.Holds();
  json["history"]["examples"] = aReport.history_.examples_;
  for (const auto& [property, count] : aReport.history_.violations_) {
    json["history"]["violations"][std::string(HistoryPropertyName(property))] = count;
  }
  return json.dump();
}

std::string ReportText(const LoadReport& aReport, const std::string& aPrefix)
{
  std::ostringstream text;
  text << std::fixed;
  for (const PhaseReport& phase : aReport.phases_) {
    text << aPrefix << std::setw(8) << phase.name_ << std::setprecision(0) << ": offered "
         << static_cast<double>(phase.offered_) / phase.durationSeconds_ << "/s, served "
         << static_cast<double>(phase.served_) / phase.durationSeconds_ << "/s, ideal "
         << phase.ideal_ / phase.durationSeconds_ << "/s, goodput " << std::setprecision(3)
         << phase.goodput_ << ", critical served " << phase.criticalServedFraction_
         << std::setprecision(0) << ", p50 " << phase.p50Ms_ << " ms, p99 " << phase.p99Ms_
         << " ms";
    for (const auto& [type, count] : phase.errors_) {
      text << ", " << type << " " << count;
    }
    text << "\n";
  }
  text << std::setprecision(3);
  if (aReport.hasTrigger_) {
    text << aPrefix << "recovery: ";
    if (aReport.recoverySeconds_) {
      text << *aReport.recoverySeconds_ << " s\n";
    } else {
      text << "none within the run\n";
    }
  }
  text << aPrefix << "worst-served account: " << aReport.worstAccount_ << ", "
       << aReport.worstAccountShare_ << " of its fair share\n";
  text << aPrefix << "wrongful refusals: " << aReport.wrongfulRefusals_ << " of "
       << aReport.admissibleRequests_ << "; critical shed: " << aReport.criticalShed_ << " of "
       << aReport.criticalRequests_ << "\n";
  if (aReport.withdrawnKeyServedSeconds_) {
    text << aPrefix << "withdrawn key last served " << *aReport.withdrawnKeyServedSeconds_
         << " s after the withdrawal began\n";
  }
  text << aPrefix << "history: " << (aReport.history_.Holds() ? "holds" : "FAILS") << ", "
       << aReport.history_.calls_ << " calls, " << aReport.history_.executions_
       << " executions, most retries " << aReport.history_.maxCallTreeRetries_ << "\n";
  for (const std::string& example : aReport.history_.examples_) {
    text << aPrefix << "  " << example << "\n";
  }
  text << aPrefix << "generator lag at most " << std::setprecision(1) << aReport.maxStartLagMs_
       << " ms\n";
  return text.str();
}

} // namespace peridotquay::standins
