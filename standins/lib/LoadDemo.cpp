// The demonstration of `make demo`.
#include "standins/lib/LoadDemo.h"

#include "standins/lib/LoadReport.h"

#include <algorithm>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

namespace peridotquay::standins {

namespace {

// Times of the demonstration in seconds of the load.
constexpr double kChangeAt = 4;
constexpr double kKillAt = 9;
constexpr double kWithdrawAt = 14;
constexpr double kEnd = 20;

// Requests that were on their way to the killed host when it died may fail; others find their way.
constexpr double kKillSettles = 5;

constexpr std::size_t kWithdrawn = 3;
constexpr std::size_t kLowered = 4;

struct Row
{
  std::string what_;
  std::string found_;
  std::string limit_;
  bool holds_ = false;
};

std::string Text(double aValue, int aDigits)
{
  std::ostringstream text;
  text << std::fixed << std::setprecision(aDigits) << aValue;
  return text.str();
}

void Progress(const std::string& aText)
{
  std::cout << aText << std::endl;
}

// What the thread that changes the fleet found out.
struct Changes
{
  CommandResult applied_;
  CommandResult withdrawn_;
  double appliedAt_ = 0;
  double withdrawnAt_ = 0;
};

Changes MakeChanges(Fleet& aFleet, TimePoint aStart)
{
  Changes changes;
  const auto wait = [aStart](double aSeconds) {
    std::this_thread::sleep_until(
      aStart + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds)));
  };
  const auto now = [aStart] { return ToSeconds(Clock::now() - aStart); };
  FleetProfile lowered = aFleet.Settings().profile_;
  lowered.accounts_[kLowered].rate_ = 1;
  wait(kChangeAt);
  Progress("  " + Text(now(), 1) + " s: lowering the rate of " + lowered.accounts_[kLowered].name_ +
           " to 1 request/s");
  changes.applied_ = aFleet.Apply(BaseConfiguration(lowered));
  changes.appliedAt_ = now();
  wait(kKillAt);
  Progress("  " + Text(now(), 1) + " s: killing host " + aFleet.Hosts()[1].name_);
  aFleet.KillHost(1);
  wait(kWithdrawAt);
  const FleetAccount& account = lowered.accounts_[kWithdrawn];
  Progress("  " + Text(now(), 1) + " s: withdrawing the key of " + account.name_);
  changes.withdrawn_ = aFleet.WithdrawKey(account.key_);
  changes.withdrawnAt_ = now();
  return changes;
}

double LastServed(const LoadResult& aResult, std::size_t aAccount)
{
  double last = 0;
  for (const LoadRecord& record : aResult.records_) {
    if (record.served_ && record.arrival_.account_ == aAccount) {
      last = std::max(last, record.arrival_.at_);
    }
  }
  return last;
}

// Latest arrival that failed at first, of accounts that neither change nor withdrawal concerns.
double LastFailure(const LoadResult& aResult, double aFrom)
{
  double last = aFrom;
  for (const LoadRecord& record : aResult.records_) {
    const bool concerned =
      record.arrival_.account_ == kWithdrawn || record.arrival_.account_ == kLowered;
    if (!concerned && !record.firstError_.empty()) {
      last = std::max(last, record.arrival_.at_);
    }
  }
  return last;
}

// Part of the requests that were served, over accounts that neither change nor withdrawal concerns.
double ServedOfOthers(const LoadResult& aResult, double aFrom, double aTo)
{
  double all = 0;
  double served = 0;
  for (const LoadRecord& record : aResult.records_) {
    const bool concerned =
      record.arrival_.account_ == kWithdrawn || record.arrival_.account_ == kLowered;
    if (!concerned && record.arrival_.at_ >= aFrom && record.arrival_.at_ < aTo) {
      all += 1;
      served += record.served_ ? 1 : 0;
    }
  }
  return all > 0 ? served / all : 0;
}

std::uint64_t CountErrors(const LoadResult& aResult,
                          std::size_t aAccount,
                          const std::string& aType,
                          double aFrom)
{
  return static_cast<std::uint64_t>(
    std::count_if(aResult.records_.begin(), aResult.records_.end(), [&](const LoadRecord& aRecord) {
      return aRecord.arrival_.account_ == aAccount && aRecord.firstError_ == aType &&
             aRecord.arrival_.at_ >= aFrom;
    }));
}

Row AtLeast(std::string aWhat, double aFound, double aLimit)
{
  return { std::move(aWhat), Text(aFound, 3), ">= " + Text(aLimit, 3), aFound >= aLimit };
}

Row AtMost(std::string aWhat, double aFound, double aLimit)
{
  return { std::move(aWhat), Text(aFound, 2), "<= " + Text(aLimit, 2), aFound <= aLimit };
}

std::vector<Row> Judge(const LoadResult& aResult,
                       const Changes& aChanges,
                       const HistoryResult& aHistory,
                       const FleetProfile& aProfile)
{
  const std::string lowered = aProfile.accounts_[kLowered].name_;
  const std::string withdrawn = aProfile.accounts_[kWithdrawn].name_;
  std::vector<Row> rows;
  rows.push_back(AtLeast("served before the changes", ServedOfOthers(aResult, 0, kChangeAt), 0.98));
  rows.push_back({ "rate change (exit status of quayctl)",
                   std::to_string(aChanges.applied_.status_),
                   "0",
                   aChanges.applied_.status_ == 0 });
  rows.push_back(AtMost("rate change in force everywhere, s", aChanges.applied_.seconds_, 5));
  const auto overRate =
    static_cast<double>(CountErrors(aResult, kLowered, "over-rate", aChanges.appliedAt_));
  rows.push_back(AtLeast("refusals \"over-rate\" of " + lowered + " afterwards", overRate, 1));
  rows.push_back(AtLeast(
    "served while the host dies", ServedOfOthers(aResult, kKillAt, kKillAt + kKillSettles), 0.95));
  rows.push_back(AtLeast(
    "served after the host died", ServedOfOthers(aResult, kKillAt + kKillSettles, kEnd), 0.98));
  rows.push_back(AtMost("last first attempt hit by the host's death, s after it",
                        LastFailure(aResult, kKillAt) - kKillAt,
                        kKillSettles));
  rows.push_back({ "key withdrawal (exit status of quayctl)",
                   std::to_string(aChanges.withdrawn_.status_),
                   "0",
                   aChanges.withdrawn_.status_ == 0 });
  // The killed host can't confirm, so its freshness bound has to pass first.
  rows.push_back(AtMost("withdrawal reported in force, a host unreachable, s",
                        aChanges.withdrawn_.seconds_,
                        aProfile.keyFreshnessBoundMs_ / 1000.0 + 5));
  rows.push_back(AtMost("key of " + withdrawn + " last served after the command began, s",
                        std::max(0.0, LastServed(aResult, kWithdrawn) - kWithdrawAt),
                        3));
  const auto refused =
    static_cast<double>(CountErrors(aResult, kWithdrawn, "withdrawn-key", kWithdrawAt) +
                        CountErrors(aResult, kWithdrawn, "unknown-key", kWithdrawAt));
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
        if (!record.firstError_.empty()) {
          ++errors[record.firstError_];
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
  Progress("demo: starting a fleet of 16 hosts in 2 regions (scale: " + profile.scaleDescription_ +
           ")");
  const TimePoint begun = Clock::now();
  const auto started = fleet.Start();
  if (!started) {
    std::cerr << "demo: " << Describe(started.assume_error()) << "\n";
    return 1;
  }
  Progress("demo: every host serves after " + Text(ToSeconds(Clock::now() - begun), 1) + " s");
  Scenario scenario;
  scenario.phases_ = { { "demo", kEnd, 0.3, {}, false } };
  const LoadPlan plan = MakePlan(scenario, profile, aSeed);
  Progress("demo: " + Text(plan.baseRate_ * 0.3, 0) + " requests/s, 4 services deep, for " +
           Text(kEnd, 0) + " s");
  std::vector<LoadEntry> entries(profile.sites_.size());
  for (const FleetHost& host : fleet.Hosts()) {
    entries[host.site_].push_back(host.callers_);
  }
  Changes changes;
  std::thread changer;
  const LoadResult result = RunLoad(plan, entries, [&](TimePoint aStart) {
    changer = std::thread([&, aStart] { changes = MakeChanges(fleet, aStart); });
  });
  changer.join();
  const HistoryResult history = CheckHistory(result.calls_, fleet.Executions());
  const std::size_t clean = fleet.Stop();
  PrintTraffic(result, profile);
  auto rows = Judge(result, changes, history, profile);
  rows.push_back({ "nodes that left with status 0", std::to_string(clean), "15", clean == 15 });
  bool holds = true;
  std::cout << "\n";
  for (const Row& row : rows) {
    std::cout << std::left << std::setw(52) << row.what_ << std::right << std::setw(9) << row.found_
              << std::setw(11) << row.limit_ << "  " << (row.holds_ ? "holds" : "FAILS") << "\n";
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
