// The demonstration that `make demo` runs.
#include "standins/lib/LoadDemo.h"

#include "standins/lib/LoadReport.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace peridotquay::standins {

namespace {

// Times from the start of the load.
constexpr double kRateChangeAtSeconds = 4;
constexpr double kKillAtSeconds = 9;
constexpr double kWithdrawAtSeconds = 14;
constexpr double kDurationSeconds = 20;

// Time after a host's death in which requests that were on their way to it may fail.
constexpr double kKillRecoverySeconds = 5;

// Indices of the account whose key is withdrawn and of the one whose rate is lowered.
constexpr std::size_t kWithdrawnAccount = 3;
constexpr std::size_t kLoweredAccount = 4;

// One check of the printed table.
struct TableRow
{
  std::string label_;
  std::string value_;
  std::string bound_;
  bool holds_ = false;
};

std::string FormatNumber(double aValue, int aDigits)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDigits) << aValue;
  return text.str();
}

// Prints a line and flushes it.
void PrintProgress(const std::string& aText)
{
  std::cout << aText << std::endl;
}

// Results of the commands that changed the fleet, and when they ended, in seconds of the run.
struct FleetChanges
{
  CommandResult applied_;
  CommandResult withdrawn_;
  double appliedAt_ = 0;
  double withdrawnAt_ = 0;
};

// Changes the configuration, kills a host and withdraws a key at the planned times.
FleetChanges ApplyChanges(Fleet& aFleet, TimePoint aStart)
{
  FleetChanges changes;
  const auto wait = [aStart](double aSeconds) {
    std::this_thread::sleep_until(
      aStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds)));
  };
  const auto now = [aStart] { return ToSeconds(Clock::now() - aStart); };
  FleetProfile lowered = aFleet.Settings().profile_;
  lowered.accounts_[kLoweredAccount].rate_ = 1;
  wait(kRateChangeAtSeconds);
  PrintProgress("  " + FormatNumber(now(), 1) + " s: lowering the rate of " +
                lowered.accounts_[kLoweredAccount].name_ + " to 1 request/s");
  changes.applied_ = aFleet.Apply(BaseConfiguration(lowered));
  changes.appliedAt_ = now();
  wait(kKillAtSeconds);
  PrintProgress("  " + FormatNumber(now(), 1) + " s: killing host " + aFleet.Hosts()[1].name_);
  aFleet.KillHost(1);
  wait(kWithdrawAtSeconds);
  const FleetAccount& account = lowered.accounts_[kWithdrawnAccount];
  PrintProgress("  " + FormatNumber(now(), 1) + " s: withdrawing the key of " + account.name_);
  changes.withdrawn_ = aFleet.WithdrawKey(account.key_);
  changes.withdrawnAt_ = now();
  return changes;
}

// Latest arrival of an account's served requests, in seconds of the run; 0 if none was served.
double LastServedAt(const LoadResult& aResult, std::size_t aAccount)
{
  double last = 0;
  for (const LoadRecord& record : aResult.records_) {
    if (record.served_ && record.arrival_.account_ == aAccount) {
      last = std::max(last, record.arrival_.scheduledAt_);
    }
  }
  return last;
}

// Latest arrival after aFrom whose first attempt failed, among accounts that keep their rate and
// key; aFrom if there is none.
double LastFailureAt(const LoadResult& aResult, double aFrom)
{
  double last = aFrom;
  for (const LoadRecord& record : aResult.records_) {
    const bool affected =
      record.arrival_.account_ == kWithdrawnAccount || record.arrival_.account_ == kLoweredAccount;
    if (!affected && !record.firstErrorType_.empty()) {
      last = std::max(last, record.arrival_.scheduledAt_);
    }
  }
  return last;
}

// Served fraction of the requests that arrived in [aFrom, aTo), over accounts that keep their rate
// and key.
double UnaffectedServedFraction(const LoadResult& aResult, double aFrom, double aTo)
{
  double total = 0;
  double served = 0;
  for (const LoadRecord& record : aResult.records_) {
    const bool affected =
      record.arrival_.account_ == kWithdrawnAccount || record.arrival_.account_ == kLoweredAccount;
    if (!affected && record.arrival_.scheduledAt_ >= aFrom && record.arrival_.scheduledAt_ < aTo) {
      total += 1;
      served += record.served_ ? 1 : 0;
    }
  }
  return total > 0 ? served / total : 0;
}

// Number of an account's requests from aFrom on whose first attempt failed with the error type.
std::uint64_t CountErrors(const LoadResult& aResult,
                          std::size_t aAccount,
                          const std::string& aType,
                          double aFrom)
{
  return static_cast<std::uint64_t>(
    std::count_if(aResult.records_.begin(), aResult.records_.end(), [&](const LoadRecord& aRecord) {
      return aRecord.arrival_.account_ == aAccount && aRecord.firstErrorType_ == aType &&
             aRecord.arrival_.scheduledAt_ >= aFrom;
    }));
}

TableRow AtLeast(std::string aLabel, double aMeasured, double aBound)
{
  return { std::move(aLabel),
           FormatNumber(aMeasured, 3),
           ">= " + FormatNumber(aBound, 3),
           aMeasured >= aBound };
}

TableRow AtMost(std::string aLabel, double aMeasured, double aBound)
{
  return { std::move(aLabel),
           FormatNumber(aMeasured, 2),
           "<= " + FormatNumber(aBound, 2),
           aMeasured <= aBound };
}

// Checks the results of the run.
std::vector<TableRow> EvaluateRun(const LoadResult& aResult,
                                  const FleetChanges& aChanges,
                                  const HistoryResult& aHistory,
                                  const FleetProfile& aProfile)
{
  const std::string lowered = aProfile.accounts_[kLoweredAccount].name_;
  const std::string withdrawn = aProfile.accounts_[kWithdrawnAccount].name_;
  std::vector<TableRow> rows;
  rows.push_back(AtLeast(
    "served before the changes", UnaffectedServedFraction(aResult, 0, kRateChangeAtSeconds), 0.98));
  rows.push_back({ "rate change (exit status of quayctl)",
                   std::to_string(aChanges.applied_.status_),
                   "0",
                   aChanges.applied_.status_ == 0 });
  rows.push_back(AtMost("rate change in force everywhere, s", aChanges.applied_.runSeconds_, 5));
  const auto overRate =
    static_cast<double>(CountErrors(aResult, kLoweredAccount, "over-rate", aChanges.appliedAt_));
  rows.push_back(AtLeast("refusals \"over-rate\" of " + lowered + " afterwards", overRate, 1));
  rows.push_back(AtLeast(
    "served while the host dies",
    UnaffectedServedFraction(aResult, kKillAtSeconds, kKillAtSeconds + kKillRecoverySeconds),
    0.95));
  rows.push_back(AtLeast(
    "served after the host died",
    UnaffectedServedFraction(aResult, kKillAtSeconds + kKillRecoverySeconds, kDurationSeconds),
    0.98));
  rows.push_back(AtMost("last first attempt hit by the host's death, s after it",
                        LastFailureAt(aResult, kKillAtSeconds) - kKillAtSeconds,
                        kKillRecoverySeconds));
  rows.push_back({ "key withdrawal (exit status of quayctl)",
                   std::to_string(aChanges.withdrawn_.status_),
                   "0",
                   aChanges.withdrawn_.status_ == 0 });
  // The killed host can't confirm the withdrawal, so quayctl waits until its freshness bound has
  // passed.
  rows.push_back(AtMost("withdrawal reported in force, a host unreachable, s",
                        aChanges.withdrawn_.runSeconds_,
                        aProfile.keyFreshnessBoundMs_ / 1000.0 + 5));
  rows.push_back(
    AtMost("key of " + withdrawn + " last served after the command began, s",
           std::max(0.0, LastServedAt(aResult, kWithdrawnAccount) - kWithdrawAtSeconds),
           3));
  const auto refused = static_cast<double>(
    CountErrors(aResult, kWithdrawnAccount, "withdrawn-key", kWithdrawAtSeconds) +
    CountErrors(aResult, kWithdrawnAccount, "unknown-key", kWithdrawAtSeconds));
  rows.push_back(AtLeast("refusals of " + withdrawn + " afterwards", refused, 1));
  std::uint64_t violations = 0;
  for (const auto& [property, count] : aHistory.violations_) {
    violations += count;
  }
  rows.push_back({ "broken promises in " + std::to_string(aHistory.executions_) + " executions",
                   std::to_string(violations),
                   "0",
                   violations == 0 && aHistory.executions_ > 0 });
  return rows;
}

// Prints the requests of each account by result.
void PrintTraffic(const LoadResult& aResult, const FleetProfile& aProfile)
{
  std::cout << "\n"
            << std::left << std::setw(10) << "account" << std::right << std::setw(10) << "requests"
            << std::setw(10) << "served"
            << "  refused or failed at first, by reason\n";
  for (std::size_t i = 0; i < aProfile.accounts_.size(); ++i) {
    std::uint64_t all = 0;
    std::uint64_t served = 0;
    std::map<std::string, std::uint64_t> errors;
    for (const LoadRecord& record : aResult.records_) {
      if (record.arrival_.account_ == i) {
        ++all;
        served += record.served_ ? 1 : 0;
        if (!record.firstErrorType_.empty()) {
          ++errors[record.firstErrorType_];
        }
      }
    }
    std::cout << std::left << std::setw(10) << aProfile.accounts_[i].name_ << std::right
              << std::setw(10) << all << std::setw(10) << served << " ";
    for (const auto& [type, count] : errors) {
      std::cout << " " << type << " " << count;
    }
    std::cout << "\n";
  }
}

} // namespace

int RunDemo(const std::string& aBinaries, std::uint64_t aSeed)
{
  FleetSettings settings;
  settings.binaries_ = aBinaries;
  settings.profile_ = FindProfile("foundry");
  settings.seed_ = aSeed;
  Fleet fleet(settings);
  const FleetProfile profile = settings.profile_;
  PrintProgress(
    "demo: starting a fleet of 16 hosts in 2 regions (scale: " + profile.scaleDescription_ + ")");
  const TimePoint startedAt = Clock::now();
  const auto started = fleet.Start();
  if (!started) {
    std::cerr << "demo: " << Describe(started.assume_error()) << "\n";
    return 1;
  }
  PrintProgress("demo: every host serves after " +
                FormatNumber(ToSeconds(Clock::now() - startedAt), 1) + " s");
  Scenario scenario;
  scenario.phases_ = { { "demo", kDurationSeconds, 0.3, {}, false } };
  const LoadPlan plan = MakePlan(scenario, profile, aSeed);
  PrintProgress("demo: " + FormatNumber(plan.baseRate_ * 0.3, 0) +
                " requests/s, 4 services deep, for " + FormatNumber(kDurationSeconds, 0) + " s");
  std::vector<DataCentreHosts> dataCentres(profile.sites_.size());
  for (const FleetHost& host : fleet.Hosts()) {
    dataCentres[host.site_].push_back(host.callers_);
  }
  FleetChanges changes;
  std::thread changeThread;
  const LoadResult result = RunLoad(plan, dataCentres, [&](TimePoint aStart) {
    changeThread = std::thread([&, aStart] { changes = ApplyChanges(fleet, aStart); });
  });
  changeThread.join();
  const HistoryResult history = CheckHistory(result.calls_, fleet.Executions());
  const std::size_t cleanExits = fleet.Stop();
  PrintTraffic(result, profile);
  auto rows = EvaluateRun(result, changes, history, profile);
  rows.push_back(
    { "nodes that left with status 0", std::to_string(cleanExits), "15", cleanExits == 15 });
  bool holds = true;
  std::cout << "\n";
  for (const TableRow& row : rows) {
    std::cout << std::left << std::setw(52) << row.label_ << std::right << std::setw(9)
              << row.value_ << std::setw(11) << row.bound_ << "  "
              << (row.holds_ ? "holds" : "FAILS") << "\n";
    holds = holds && row.holds_;
  }
  for (const std::string& example : history.examples_) {
    std::cout << "  " << example << "\n";
  }
  if (changes.applied_.status_ != 0) {
    std::cout << changes.applied_.output_ << "\n";
  }
  if (changes.withdrawn_.status_ != 0) {
    std::cout << changes.withdrawn_.output_ << "\n";
  }
  std::cout << (holds ? "demo: every figure holds" : "demo: FAILED") << std::endl;
  return holds ? 0 : 1;
}

} // namespace peridotquay::standins
