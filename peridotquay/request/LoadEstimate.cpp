// Predicts calls at a target as arrivals and departures since its last report, and distributes
// calls so that the predicted utilisations become equal. Weighting load information by its age
// follows Dahlin, "Interpreting Stale Load Information" (IEEE TPDS 2000); the comparison of two
// sampled targets follows Mitzenmacher, "How Useful Is Old Information?" (IEEE TPDS 2000).
#include "peridotquay/request/LoadEstimate.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

/// Weight of a new sample in the moving average of the duration of work.
constexpr double kWorkWeight = 0.05;

/// Larger samples count as this multiple of the mean.
constexpr double kMaxWorkSample = 2;

/// Bounds of the stated duration of work, so that a false one can't make a target's predicted load
/// vanish or keep all calls away from it.
constexpr double kMinWorkPercent = 20;
constexpr double kMaxWorkPercent = 2000;

/// Longest time since the last refresh that counts in the share of farther targets, so that a host
/// with few calls doesn't jump.
constexpr double kMaxStepSeconds = 0.2;

/// Part of its share by slots that each target gets at least, so that it has answers that state its
/// recovery.
constexpr double kMinShareFraction = 0.02;

/// Least part of the calls that is assumed to stay near, so that the rate of all calls, which is
/// derived from those that stay, remains finite.
constexpr double kMinStaying = 0.1;

double ReportedCalls(const LoadReport& aReport)
{
  return static_cast<double>(aReport.running_) + aReport.queued_;
}

/// Moves the expected calls of a target to aNow.
void Advance(TargetLoadEstimate& aEstimate, double aSlots, double aWorkSeconds, TimePoint aNow)
{
  const double elapsed = ToSeconds(aNow - aEstimate.advancedAt_);
  if (elapsed <= 0) {
    return;
  }
  aEstimate.advancedAt_ = aNow;
  const double equilibrium = std::min(aSlots, aEstimate.inflow_ * aWorkSeconds);
  if (aEstimate.calls_ > aSlots) {
    const double change = (aEstimate.inflow_ - aSlots / aWorkSeconds) * elapsed;
    aEstimate.calls_ = std::max(equilibrium, aEstimate.calls_ + change);
    return;
  }
  aEstimate.calls_ =
    equilibrium + (aEstimate.calls_ - equilibrium) * std::exp(-elapsed / aWorkSeconds);
}

/// Sums over the targets of one data centre or tier.
struct LoadSum
{
  double slots_ = 0;
  double calls_ = 0;
  double perSecond_ = 0;     ///< Calls that end per second.
  double ratePerSecond_ = 0; ///< Calls that all slots end per second.
  double deficits_ = 0;

  /// A target counts with the fraction aWeight, because one in slow start can't take the calls
  /// that its slots suggest.
  void Add(const ServiceTarget& aTarget, double aWeight)
  {
    slots_ += aWeight * aTarget.slots_;
    calls_ += aWeight * aTarget.estimate_->calls_;
    perSecond_ += std::min(aTarget.estimate_->calls_, aTarget.slots_) / aTarget.workSeconds_;
    ratePerSecond_ += aWeight * aTarget.slots_ / aTarget.workSeconds_;
  }
  double Utilisation() const { return slots_ > 0 ? calls_ / slots_ : 0; }
};

/// Calls that the target lacks, after the correction time, to the utilisation aMean.
double Deficit(const ServiceTarget& aTarget, double aMean, double aHorizon)
{
  const double calls = aTarget.estimate_->calls_;
  const double ending =
    std::min(calls, aTarget.slots_) * (1 - std::exp(-aHorizon / aTarget.workSeconds_));
  const double least = kMinShareFraction * aTarget.slots_ * aHorizon / aTarget.workSeconds_;
  return std::max(least, aMean * aTarget.slots_ - calls + ending);
}

void RefreshLeaving(const LoadEstimateSettings& aSettings,
                    ServiceLoad& aLoad,
                    const std::array<LoadSum, kTierCount>& aTiers,
                    double aHorizon,
                    Duration aElapsed)
{
  LoadSum region = aTiers[0];
  region.slots_ += aTiers[1].slots_;
  region.calls_ += aTiers[1].calls_;
  region.perSecond_ += aTiers[1].perSecond_;
  const double elapsed = std::min(kMaxStepSeconds, ToSeconds(aElapsed));
  const std::array<const LoadSum*, 2> nearer{ &aTiers[0], &region };
  for (std::size_t i = 0; i < nearer.size(); ++i) {
    const LoadSum& farther = aTiers[i + 1];
    if (farther.slots_ <= 0) {
      // An excess that nobody can take must not count later, when farther targets appear.
      aLoad.leavingIntegral_[i] = 0;
      aLoad.leaving_[i] = 0;
      aLoad.leavingMean_[i] = 0;
      continue;
    }
    const double bound =
      std::max(aSettings.leaveUtilisation_[i], farther.Utilisation() + aSettings.distancePrice_[i]);
    const double excess = nearer[i]->Utilisation() - bound;
    // The farther targets take what already leaves and what is free beyond that, up to a full tier
    // or to queues as long as the nearer ones. Their loads show calls that left only after the
    // horizon, so the fraction is averaged over it.
    const double level = std::max(1.0, nearer[i]->Utilisation() - aSettings.distancePrice_[i]);
    const double freePerSecond = (level - farther.Utilisation()) * farther.ratePerSecond_;
    double& mean = aLoad.leavingMean_[i];
    mean += (aLoad.leaving_[i] - mean) * (1 - std::exp(-elapsed / aHorizon));
    const double sentPerSecond =
      nearer[i]->perSecond_ / std::max(kMinStaying, 1 - aLoad.leavingMean_[i]);
    const double limit =
      sentPerSecond <= 0 ? 1 : std::clamp(mean + freePerSecond / sentPerSecond, 0.0, 1.0);
    // The integral finds the share that a lasting excess needs; the direct part reacts at once.
    aLoad.leavingIntegral_[i] = std::clamp(
      aLoad.leavingIntegral_[i] + excess * elapsed / ToSeconds(aSettings.shareTime_), 0.0, limit);
    aLoad.leaving_[i] =
      std::clamp(aLoad.leavingIntegral_[i] + aSettings.directShare_ * excess, 0.0, limit);
  }
}

} // namespace

bool ApplyLoadReport(TargetLoadEstimate& aEstimate,
                     const LoadReport& aReport,
                     TimePoint aMeasuredAt)
{
  if (aMeasuredAt <= aEstimate.measuredAt_) {
    return false;
  }
  aEstimate.report_ = aReport;
  aEstimate.measuredAt_ = aMeasuredAt;
  aEstimate.advancedAt_ = aMeasuredAt;
  aEstimate.calls_ = ReportedCalls(aReport);
  for (const TimePoint sentAt : aEstimate.recentSends_) {
    aEstimate.calls_ += sentAt > aMeasuredAt ? 1 : 0;
  }
  return true;
}

void AddSentCall(TargetLoadEstimate& aEstimate, TimePoint aNow)
{
  aEstimate.calls_ += 1;
  aEstimate.ownCalls_ += 1;
  aEstimate.recentSends_.at(aEstimate.nextSend_) = aNow;
  aEstimate.nextSend_ =
    static_cast<std::uint32_t>((aEstimate.nextSend_ + 1) % aEstimate.recentSends_.size());
}

void RecordWork(ServiceLoad& aLoad, double aSeconds, std::uint32_t aWorkPercent)
{
  const double usual =
    aSeconds * 100 / std::clamp<double>(aWorkPercent, kMinWorkPercent, kMaxWorkPercent);
  double& mean = aLoad.usualWorkSeconds_;
  // The bound keeps a target that states a false speed from distorting the mean.
  mean = mean <= 0 ? usual : mean + kWorkWeight * (std::min(usual, kMaxWorkSample * mean) - mean);
}

void RefreshShares(const LoadEstimateSettings& aSettings,
                   ServiceLoad& aLoad,
                   std::size_t aHosts,
                   TimePoint aNow)
{
  const Duration sinceRefresh =
    aLoad.refreshedAt_ == TimePoint{} ? Duration::zero() : aNow - aLoad.refreshedAt_;
  aLoad.refreshedAt_ = aNow;
  const double usualWork = std::max(
    1e-3, aLoad.usualWorkSeconds_ > 0 ? aLoad.usualWorkSeconds_ : ToSeconds(aSettings.usualWork_));
  const auto isKnown = [&](const ServiceTarget& aTarget) {
    return aTarget.estimate_->report_.limit_ > 0 &&
           aNow - aTarget.estimate_->measuredAt_ < aSettings.maxReportAge_;
  };

  std::vector<LoadSum> reported(aLoad.groupCount_);
  for (const ServiceTarget& target : aLoad.targets_) {
    if (isKnown(target)) {
      reported[target.group_].slots_ += target.estimate_->report_.limit_;
      reported[target.group_].calls_ += ReportedCalls(target.estimate_->report_);
    }
  }
  LoadSum known;
  double ages = 0;
  std::size_t knownCount = 0;
  aLoad.stated_ = false;
  for (ServiceTarget& target : aLoad.targets_) {
    if (!isKnown(target)) {
      continue;
    }
    const LoadReport& report = target.estimate_->report_;
    aLoad.stated_ = aLoad.stated_ || report.workPercent_ > 0;
    target.slots_ = target.unrefused_ * report.limit_;
    const double percent =
      report.workPercent_ == 0
        ? 100
        : std::clamp<double>(report.workPercent_, kMinWorkPercent, kMaxWorkPercent);
    // A short duration is believed only while the target isn't busier than the others: one that
    // states a false speed gets at most its share by slots.
    const bool isBusy =
      ReportedCalls(report) > reported[target.group_].Utilisation() * target.slots_;
    target.workSeconds_ = usualWork * (isBusy ? std::max(100.0, percent) : percent) / 100;
    target.estimate_->ownCalls_ *= std::exp(-ToSeconds(sinceRefresh) / target.workSeconds_);
    Advance(*target.estimate_, target.slots_, target.workSeconds_, aNow);
    known.Add(target, 1);
    ages += ToSeconds(aNow - target.estimate_->measuredAt_);
    ++knownCount;
  }
  // Part of the calls that other hosts send.
  const double otherHosts =
    aHosts <= 1 ? 0 : static_cast<double>(aHosts - 1) / static_cast<double>(aHosts);
  const double meanSlots = knownCount == 0 ? 1 : known.slots_ / static_cast<double>(knownCount);
  for (ServiceTarget& target : aLoad.targets_) {
    if (isKnown(target)) {
      continue;
    }
    target.slots_ =
      target.unrefused_ * (target.announcedSlots_ > 0 ? target.announcedSlots_ : meanSlots);
    target.workSeconds_ = usualWork;
    target.estimate_->ownCalls_ *= std::exp(-ToSeconds(sinceRefresh) / usualWork);
    // Without a report, other hosts are assumed to load it as the mean; own calls are known.
    target.estimate_->calls_ =
      otherHosts * known.Utilisation() * target.slots_ + target.estimate_->ownCalls_;
    target.estimate_->advancedAt_ = aNow;
  }

  std::vector<LoadSum> groups(aLoad.groupCount_);
  std::array<LoadSum, kTierCount> tiers;
  for (const ServiceTarget& target : aLoad.targets_) {
    if (target.allowed_ > 0) {
      groups[target.group_].Add(target, target.allowed_);
      tiers.at(target.tier_).Add(target, target.allowed_);
    }
  }
  const double meanAge = knownCount == 0 ? 0 : ages / static_cast<double>(knownCount);
  const double horizon = ToSeconds(aSettings.correctionTime_) + meanAge;
  for (auto& cumulative : aLoad.cumulative_) {
    cumulative.clear();
  }
  for (std::size_t i = 0; i < aLoad.targets_.size(); ++i) {
    ServiceTarget& target = aLoad.targets_[i];
    target.share_ = 0;
    if (target.allowed_ <= 0) {
      target.estimate_->inflow_ = 0;
      continue;
    }
    LoadSum& group = groups[target.group_];
    const double deficit = Deficit(target, group.Utilisation(), horizon);
    target.estimate_->inflow_ = deficit * target.allowed_;
    group.deficits_ += deficit * target.allowed_;
    // A tier may hold several data centres, whose targets are evened out too.
    target.share_ =
      target.allowed_ * Deficit(target, tiers.at(target.tier_).Utilisation(), horizon);
    auto& cumulative = aLoad.cumulative_.at(target.tier_);
    cumulative.emplace_back((cumulative.empty() ? 0 : cumulative.back().first) + target.share_, i);
  }
  // Calls that end equal calls that begin, over the time in which the load changes little.
  for (ServiceTarget& target : aLoad.targets_) {
    const LoadSum& group = groups[target.group_];
    target.estimate_->inflow_ *=
      group.deficits_ > 0 ? otherHosts * group.perSecond_ / group.deficits_ : 0;
  }
  for (std::size_t tier = 0; tier < kTierCount; ++tier) {
    aLoad.utilisation_.at(tier) = tiers.at(tier).Utilisation();
  }
  RefreshLeaving(aSettings, aLoad, tiers, horizon + usualWork, sinceRefresh);
}

double ExpectedWait(const ServiceTarget& aTarget)
{
  const double excess = (aTarget.estimate_->calls_ + 1 - aTarget.slots_) / aTarget.slots_;
  return excess > 0 ? excess * aTarget.workSeconds_ : excess;
}

std::size_t DrawTier(const ServiceLoad& aLoad, std::uint64_t& aRandom)
{
  const auto hasTargets = [&](std::size_t aTier) { return !aLoad.cumulative_.at(aTier).empty(); };
  const bool inRegion = hasTargets(0) || hasTargets(1);
  if (hasTargets(2) &&
      (!inRegion || (aLoad.leaving_[1] > 0 && RandomFraction(aRandom) < aLoad.leaving_[1]))) {
    return 2;
  }
  if (hasTargets(1) &&
      (!hasTargets(0) || (aLoad.leaving_[0] > 0 && RandomFraction(aRandom) < aLoad.leaving_[0]))) {
    return 1;
  }
  return hasTargets(0) ? 0 : kTierCount;
}

std::size_t DrawTarget(const ServiceLoad& aLoad, std::size_t aTier, std::uint64_t& aRandom)
{
  const auto& cumulative = aLoad.cumulative_.at(aTier);
  const double at = RandomFraction(aRandom) * cumulative.back().first;
  const auto found = std::upper_bound(
    cumulative.begin(), cumulative.end() - 1, at, [](double aAt, const auto& aEntry) {
      return aAt < aEntry.first;
    });
  return found->second;
}

} // namespace peridotquay
