// Power of two choices among the nearest usable targets, or among all targets in proportion to the
// shares of LoadEstimate.h where targets state their duration of work.
#include "peridotquay/request/RouteChoice.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <limits>

namespace peridotquay {

namespace {

/// Weight of a new latency in the moving average.
constexpr double kLatencyWeight = 0.1;

/// The latency average halves in this time without new answers. A slow target gets few calls, so
/// without the decay it would be avoided long after it recovered.
constexpr double kLatencyHalfLifeSeconds = 2.0;

/// Added to latencies so that differences far below a millisecond don't affect the choice.
constexpr double kLatencyBaseSeconds = 0.001;

/// A guard's load report older than this is ignored.
constexpr Duration kMaxReportAge = seconds(1);

/// Larger reported loads count as this one.
constexpr double kMaxReportedLoad = 2.0;

/// Weight of the load that guards report in the cost of a target.
constexpr double kReportedLoadWeight = 0.5;

/// Weight of the load that targets announce; small, because it lags and may be false.
constexpr double kAnnouncedLoadWeight = 0.05;

/// A target that refused a call is avoided for this long.
constexpr Duration kRefusalPause = milliseconds(20);

/// A target is avoided if its failure fraction exceeds that of the service's best target by more
/// than this. Only the excess counts: failures that all targets share have their cause elsewhere,
/// for example in a service that they all call.
constexpr double kMaxExcessFailureFraction = 0.12;

/// A reported failure fraction halves in this time, so that an avoided target is tried again.
constexpr double kFailureHalfLifeSeconds = 2.0;

/// Counts of refused and all attempts halve in this time.
constexpr double kRefusalHalfLifeSeconds = 5.0;

/// Part of its share that a target gets at least however many calls it refuses, so that its
/// recovery is seen.
constexpr double kMinUnrefusedFraction = 0.1;

/// A tier whose latency exceeds this fraction of the objective is skipped if the latency of a
/// farther tier is below kMuchFasterFraction of it.
constexpr double kSlowObjectiveFraction = 0.8;
constexpr double kMuchFasterFraction = 0.5;

/// Fraction of its share that a target gets at the beginning of its slow start.
constexpr double kMinSlowStartFraction = 0.02;

const TargetStats* FindStats(const RoutingState& aState, const Target& aTarget)
{
  const auto found = aState.stats_.find(aTarget.host_);
  if (found == aState.stats_.end() || found->second.incarnation_ != aTarget.incarnation_) {
    return nullptr;
  }
  return &found->second;
}

/// Distance of a target: 0 for the node's own data centre, 1 for its region, 2 for other regions.
std::size_t Tier(const RoutingState& aState, const Target& aTarget)
{
  if (aTarget.dataCentre_ == aState.dataCentre_) {
    return 0;
  }
  return aTarget.region_ == aState.region_ ? 1 : 2;
}

/// Fraction of its full share that the target gets at aNow.
double SlowStartFraction(const RoutingSettings& aSettings, const Target& aTarget, TimePoint aNow)
{
  if (aSettings.slowStartPeriod_ <= Duration::zero()) {
    return 1;
  }
  const double fraction =
    ToSeconds(aNow - aTarget.readySince_) / ToSeconds(aSettings.slowStartPeriod_);
  return std::clamp(fraction, kMinSlowStartFraction, 1.0);
}

/// Load that the target's guard reported within kMaxReportAge; 0 if it reported none.
double RecentLoad(const TargetStats* aStats, TimePoint aNow)
{
  return aStats != nullptr && aNow - aStats->reportedAt_ < kMaxReportAge ? aStats->reportedLoad_
                                                                         : 0;
}

/// Reported failure fraction of the target, reduced by the age of the report.
double RecentFailureFraction(const TargetStats* aStats, TimePoint aNow)
{
  if (aStats == nullptr || aStats->failureFraction_ <= 0) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(aNow - aStats->reportedAt_));
  return aStats->failureFraction_ * std::exp2(-age / kFailureHalfLifeSeconds);
}

/// Moving average of the latency in seconds, reduced by the age of its latest sample.
double RecentLatency(const TargetStats& aStats, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aStats.latencyUpdatedAt_));
  return aStats.latencySeconds_ * std::exp2(-age / kLatencyHalfLifeSeconds);
}

/// Expected cost of one more call at the target; the target with the lower cost is chosen.
double Cost(const Target& aTarget, const TargetStats* aStats, TimePoint aNow)
{
  double cost = 1 + kAnnouncedLoadWeight * std::clamp(aTarget.announcedLoad_, 0.0, 1.0);
  double latency = 0;
  if (aStats != nullptr) {
    cost *= 1 + kReportedLoadWeight * std::clamp(RecentLoad(aStats, aNow), 0.0, kMaxReportedLoad);
    latency = RecentLatency(*aStats, aNow);
    cost *= 1 + aStats->inFlight_;
  }
  return cost * (latency + kLatencyBaseSeconds);
}

/// Hosts that are ejected at aNow, at most maxEjectedFraction_ of the service. If more are due,
/// those whose ejection ends last are kept out.
std::vector<HostId> EjectedHosts(const RoutingState& aState,
                                 const std::vector<Target>& aTargets,
                                 TimePoint aNow)
{
  std::vector<std::pair<const TargetStats*, HostId>> ejected;
  for (const Target& target : aTargets) {
    const TargetStats* stats = FindStats(aState, target);
    if (stats != nullptr && stats->ejectedUntil_ > aNow) {
      ejected.emplace_back(stats, target.host_);
    }
  }
  const auto maxEjected = static_cast<std::size_t>(
    std::floor(aState.settings_.maxEjectedFraction_ * static_cast<double>(aTargets.size())));
  if (ejected.size() > maxEjected) {
    std::stable_sort(ejected.begin(), ejected.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first->ejectedUntil_ > aRight.first->ejectedUntil_;
    });
    ejected.resize(maxEjected);
  }
  std::vector<HostId> hosts;
  hosts.reserve(ejected.size());
  for (auto& entry : ejected) {
    hosts.push_back(std::move(entry.second));
  }
  return hosts;
}

bool Accepts(const Target& aTarget)
{
  return aTarget.state_ == TargetState::kCold || aTarget.state_ == TargetState::kReady;
}

bool Contains(const std::vector<HostId>& aHosts, const HostId& aHost)
{
  return std::find(aHosts.begin(), aHosts.end(), aHost) != aHosts.end();
}

using Candidates = std::vector<const Target*>;

/// Keeps each target in slow start with the probability of its current fraction. Returns all
/// candidates if none would be left.
Candidates SampleSlowStarting(RoutingState& aState, const Candidates& aCandidates, TimePoint aNow)
{
  Candidates kept;
  for (const Target* target : aCandidates) {
    const double fraction = SlowStartFraction(aState.settings_, *target, aNow);
    if (fraction >= 1 || RandomFraction(aState.random_) < fraction) {
      kept.push_back(target);
    }
  }
  return kept.empty() ? aCandidates : kept;
}

/// Draws two different random candidates and returns the cheaper one. aCandidates must not be
/// empty.
const Target* ChooseOfTwo(RoutingState& aState, const Candidates& aCandidates, TimePoint aNow)
{
  const Candidates candidates = SampleSlowStarting(aState, aCandidates, aNow);
  const std::size_t first = RandomIndex(aState.random_, candidates.size());
  if (candidates.size() == 1) {
    return candidates[first];
  }
  std::size_t second = RandomIndex(aState.random_, candidates.size() - 1);
  second += second >= first ? 1 : 0;
  const Target* one = candidates[first];
  const Target* two = candidates[second];
  const double costOne = Cost(*one, FindStats(aState, *one), aNow);
  const double costTwo = Cost(*two, FindStats(aState, *two), aNow);
  return costTwo < costOne ? two : one;
}

/// Whether at least one candidate reports a load below aLoad.
bool IsAnyBelowLoad(const RoutingState& aState,
                    const Candidates& aCandidates,
                    double aLoad,
                    TimePoint aNow)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), [&](const Target* aTarget) {
    return RecentLoad(FindStats(aState, *aTarget), aNow) < aLoad;
  });
}

/// Lowest recent latency of the candidates in seconds; 0 if one of them has no stats, infinity
/// without candidates.
double MinLatency(const RoutingState& aState, const Candidates& aCandidates, TimePoint aNow)
{
  double lowest = std::numeric_limits<double>::infinity();
  for (const Target* target : aCandidates) {
    const TargetStats* stats = FindStats(aState, *target);
    lowest = std::min(lowest, stats == nullptr ? 0 : RecentLatency(*stats, aNow));
  }
  return lowest;
}

/// Reported loads from which a call leaves the data centre and the region.
struct SpillBounds
{
  double withinRegion_;
  double betweenRegions_;
};

SpillBounds SpillBoundsFor(const RoutingState& aState,
                           const std::array<Candidates, 3>& aTiers,
                           Duration aObjective,
                           TimePoint aNow)
{
  const RoutingSettings& settings = aState.settings_;
  SpillBounds bounds{ settings.spillLoadWithinRegion_, settings.spillLoadBetweenRegions_ };
  double latency = std::numeric_limits<double>::infinity();
  for (const Candidates& tier : aTiers) {
    latency = std::min(latency, MinLatency(aState, tier, aNow));
  }
  if (aObjective <= Duration::zero() || latency <= 0 || std::isinf(latency)) {
    return bounds;
  }
  // At a load of 1 + w, a call queues for about w times the latency.
  const double slack = std::max(0.0, ToSeconds(aObjective) / latency - 1);
  bounds.withinRegion_ = std::clamp(1 + settings.slackFractionWithinRegion_ * slack,
                                    bounds.withinRegion_,
                                    std::max(bounds.withinRegion_, settings.maxSpillLoad_));
  bounds.betweenRegions_ = std::clamp(1 + settings.slackFractionBetweenRegions_ * slack,
                                      bounds.betweenRegions_,
                                      std::max(bounds.betweenRegions_, settings.maxSpillLoad_));
  return bounds;
}

/// Empties each tier whose targets are too slow for the objective if a farther tier is much faster
/// and has targets without a queue.
void RemoveSlowTiers(const RoutingState& aState,
                     std::array<Candidates, 3>& aTiers,
                     Duration aObjective,
                     TimePoint aNow)
{
  if (aObjective <= Duration::zero()) {
    return;
  }
  for (std::size_t near = 0; near + 1 < aTiers.size(); ++near) {
    const double latency = MinLatency(aState, aTiers[near], aNow);
    if (aTiers[near].empty() || latency <= kSlowObjectiveFraction * ToSeconds(aObjective)) {
      continue;
    }
    for (std::size_t far = near + 1; far < aTiers.size(); ++far) {
      if (MinLatency(aState, aTiers[far], aNow) < kMuchFasterFraction * latency &&
          IsAnyBelowLoad(aState, aTiers[far], aState.settings_.spillLoadWithinRegion_, aNow)) {
        aTiers[near].clear();
        break;
      }
    }
  }
}

/// The nearest tier with a target below the load bounds; the targets of all tiers if there is none.
/// All targets of the tier are returned, also those above the bound, so that a target that falsely
/// reports a low load doesn't draw the traffic of its tier.
Candidates NearestBelowLoad(const RoutingState& aState,
                            const std::array<Candidates, 3>& aTiers,
                            const SpillBounds& aBounds,
                            TimePoint aNow)
{
  for (const double load : { aBounds.withinRegion_, aBounds.betweenRegions_ }) {
    for (std::size_t tier = 0; tier < 2; ++tier) {
      if (IsAnyBelowLoad(aState, aTiers[tier], load, aNow)) {
        return aTiers[tier];
      }
    }
  }
  if (IsAnyBelowLoad(aState, aTiers[2], aState.settings_.spillLoadWithinRegion_, aNow)) {
    return aTiers[2];
  }
  Candidates all;
  for (const Candidates& tier : aTiers) {
    all.insert(all.end(), tier.begin(), tier.end());
  }
  return all;
}

/// Stats of the target's incarnation; null if a call was sent to another one since.
TargetStats* FindOrCreateStats(RoutingState& aState, const Target& aTarget)
{
  const auto [entry, isNew] = aState.stats_.try_emplace(aTarget.host_);
  TargetStats& stats = entry->second;
  if (isNew) {
    stats.incarnation_ = aTarget.incarnation_;
  }
  return stats.incarnation_ == aTarget.incarnation_ ? &stats : nullptr;
}

void RecordLatency(TargetStats& aStats, Duration aLatency, TimePoint aNow)
{
  const double latency = std::max(0.0, ToSeconds(aLatency));
  aStats.latencySeconds_ =
    aStats.latencySeconds_ <= 0
      ? latency
      : aStats.latencySeconds_ + kLatencyWeight * (latency - aStats.latencySeconds_);
  aStats.latencyUpdatedAt_ = aNow;
}

/// Adds failures and ejects the target when enough are consecutive.
void RecordFailures(const RoutingSettings& aSettings,
                    TargetStats& aStats,
                    std::uint32_t aFailures,
                    TimePoint aNow)
{
  // Calls sent before the ejection may fail during it. They must not prolong it.
  if (aStats.ejectedUntil_ > aNow) {
    return;
  }
  aStats.consecutiveFailures_ += aFailures;
  if (aStats.consecutiveFailures_ < aSettings.failuresToEject_) {
    return;
  }
  Duration ejection = aSettings.firstEjection_;
  for (std::uint32_t i = 0; i < aStats.consecutiveEjections_ && ejection < aSettings.maxEjection_;
       ++i) {
    ejection *= 2;
  }
  aStats.ejectedUntil_ = aNow + std::min(ejection, aSettings.maxEjection_);
  ++aStats.consecutiveEjections_;
  // A single failure after the ejection ejects the target again.
  aStats.consecutiveFailures_ = aSettings.failuresToEject_ > 0 ? aSettings.failuresToEject_ - 1 : 0;
}

/// Makes the next choice derive the shares of the service's targets anew.
void RequestRefresh(RoutingState& aState, const ServiceId& aService)
{
  if (const auto table = aState.loads_.find(aService); table != aState.loads_.end()) {
    table->second.load_.refreshDue_ = true;
  }
}

void RecordOutcome(TargetStats& aStats, bool aRefused, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aStats.outcomesUpdatedAt_));
  const double weight = std::exp2(-age / kRefusalHalfLifeSeconds);
  aStats.refusals_ = aStats.refusals_ * weight + (aRefused ? 1 : 0);
  aStats.outcomes_ = aStats.outcomes_ * weight + 1;
  aStats.outcomesUpdatedAt_ = aNow;
}

/// Fraction of the recent attempts at the target that it refused. Nearly 0 with few attempts, so
/// that a target without recent ones is tried again.
double RecentRefusalFraction(const TargetStats& aStats, TimePoint aNow)
{
  if (aStats.refusals_ <= 0) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(aNow - aStats.outcomesUpdatedAt_));
  const double weight = std::exp2(-age / kRefusalHalfLifeSeconds);
  return aStats.refusals_ * weight / (aStats.outcomes_ * weight + 1);
}

/// Draws of a target by its share before a call falls back to the choice among all targets.
constexpr int kMaxDraws = 6;

/// Whether a report of a target counts for its service. Once one target of a service stated its
/// duration of work, the counts of all its targets are used.
bool IsReportUsed(const RoutingState& aState, const ServiceId& aService, const LoadReport& aReport)
{
  switch (aState.settings_.evenLoad_) {
    case FeatureMode::kStated:
      return aReport.limit_ > 0 && (aReport.workPercent_ > 0 || aState.loads_.contains(aService));
    case FeatureMode::kAlways:
      return aReport.limit_ > 0;
    case FeatureMode::kOff:
      break;
  }
  return false;
}

/// Discards the load of another target of the same host process, which keeps its incarnation when
/// its target is replaced.
void ResetLoadOfOther(TargetStats& aStats, const Target& aTarget)
{
  if (aStats.loadInstance_ != aTarget.instance_) {
    aStats.loadInstance_ = aTarget.instance_;
    aStats.load_ = {};
  }
}

/// Connects the table to the view and to the stats of the targets.
void BuildTable(RoutingState& aState, ServiceTable& aTable, const std::vector<Target>& aTargets)
{
  aTable.firstTarget_ = aTargets.data();
  aTable.targetCount_ = aTargets.size();
  aTable.owner_ = &aState;
  aTable.stats_.clear();
  aTable.load_.targets_.clear();
  aTable.load_.refreshDue_ = true;
  std::vector<const DataCentreId*> groups;
  for (const Target& target : aTargets) {
    TargetStats& stats = aState.stats_[target.host_];
    if (stats.incarnation_ != target.incarnation_) {
      stats = {};
      stats.incarnation_ = target.incarnation_;
    }
    ResetLoadOfOther(stats, target);
    const auto group = std::find_if(groups.begin(), groups.end(), [&](const DataCentreId* aGroup) {
      return *aGroup == target.dataCentre_;
    });
    ServiceTarget entry;
    entry.estimate_ = &stats.load_;
    entry.tier_ = Tier(aState, target);
    entry.group_ = static_cast<std::size_t>(group - groups.begin());
    entry.announcedSlots_ = target.slots_;
    if (group == groups.end()) {
      groups.push_back(&target.dataCentre_);
    }
    aTable.load_.targets_.push_back(entry);
    aTable.stats_.push_back(&stats);
  }
  aTable.load_.groupCount_ = groups.size();
}

/// Sets which fraction of its share each target may get.
void SetAllowed(const RoutingState& aState,
                ServiceTable& aTable,
                const std::vector<Target>& aTargets,
                TimePoint aNow)
{
  double minFailureFraction = 1;
  double minRefusalFraction = 1;
  bool anyEjected = false;
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    if (Accepts(aTargets[i])) {
      minFailureFraction =
        std::min(minFailureFraction, RecentFailureFraction(aTable.stats_[i], aNow));
      minRefusalFraction =
        std::min(minRefusalFraction, RecentRefusalFraction(*aTable.stats_[i], aNow));
      anyEjected = anyEjected || aTable.stats_[i]->ejectedUntil_ > aNow;
    }
  }
  const std::vector<HostId> ejected =
    anyEjected ? EjectedHosts(aState, aTargets, aNow) : std::vector<HostId>{};
  for (std::size_t i = 0; i < aTargets.size(); ++i) {
    const Target& target = aTargets[i];
    const bool usable = Accepts(target) && (!anyEjected || !Contains(ejected, target.host_)) &&
                        RecentFailureFraction(aTable.stats_[i], aNow) <=
                          minFailureFraction + kMaxExcessFailureFraction;
    // Refusals that all targets share have another cause, so only the excess counts.
    aTable.load_.targets_[i].unrefused_ = std::max(
      kMinUnrefusedFraction,
      1 - std::max(0.0, RecentRefusalFraction(*aTable.stats_[i], aNow) - minRefusalFraction));
    aTable.load_.targets_[i].allowed_ =
      usable ? SlowStartFraction(aState.settings_, target, aNow) : 0;
  }
}

/// Chooses the better of two targets that are drawn by their shares; null if the service isn't
/// distributed by load, or no draw hits a target that this call may use.
const Target* ChooseByShares(RoutingState& aState,
                             const TargetView& aView,
                             const ServiceId& aService,
                             const std::vector<Target>& aTargets,
                             const std::vector<HostId>& aExclude,
                             const TargetFilter& aFilter,
                             TimePoint aNow)
{
  const auto found = aState.loads_.find(aService);
  if (found == aState.loads_.end() || aState.settings_.evenLoad_ == FeatureMode::kOff) {
    return nullptr;
  }
  ServiceTable& table = found->second;
  if (table.firstTarget_ != aTargets.data() || table.targetCount_ != aTargets.size() ||
      table.owner_ != &aState) {
    BuildTable(aState, table, aTargets);
  }
  const LoadEstimateSettings& settings = aState.settings_.estimate_;
  if (table.load_.refreshDue_ || aNow - table.load_.refreshedAt_ >= settings.refreshInterval_) {
    table.load_.refreshDue_ = false;
    SetAllowed(aState, table, aTargets, aNow);
    RefreshShares(settings, table.load_, aView.hosts_.size(), aNow);
  }
  if (!table.load_.stated_ && aState.settings_.evenLoad_ == FeatureMode::kStated) {
    return nullptr;
  }
  const std::size_t tier = DrawTier(table.load_, aState.random_);
  if (tier == kTierCount) {
    return nullptr;
  }
  std::optional<std::size_t> best;
  std::uint32_t drawn = 0;
  for (int draw = 0; draw < kMaxDraws && drawn < settings.comparedTargets_; ++draw) {
    const std::size_t position = DrawTarget(table.load_, tier, aState.random_);
    if (table.stats_[position]->refusedUntil_ > aNow ||
        (!aExclude.empty() && Contains(aExclude, aTargets[position].host_)) ||
        !MayReach(aFilter, aView, aTargets[position])) {
      continue;
    }
    ++drawn;
    if (!best ||
        ExpectedWait(table.load_.targets_[position]) < ExpectedWait(table.load_.targets_[*best])) {
      best = position;
    }
  }
  return best ? &aTargets[*best] : nullptr;
}

void ApplyReport(RoutingState& aState,
                 const ServiceId& aService,
                 TargetStats& aStats,
                 const LoadReport& aReport,
                 TimePoint aMeasuredAt)
{
  if (IsReportUsed(aState, aService, aReport)) {
    ApplyLoadReport(aStats.load_, aReport, aMeasuredAt);
    aState.loads_.try_emplace(aService);
  }
}

} // namespace

bool AllowsRegion(const std::vector<RegionId>* aRegions, const RegionId& aRegion)
{
  return aRegions == nullptr || aRegions->empty() ||
         std::find(aRegions->begin(), aRegions->end(), aRegion) != aRegions->end();
}

bool MayReach(const TargetFilter& aFilter, const TargetView& aView, const Target& aTarget)
{
  return !aView.evacuated_.contains(aTarget.dataCentre_) &&
         AllowsRegion(aFilter.routeRegions_, aTarget.region_) &&
         AllowsRegion(aFilter.accountRegions_, aTarget.region_) &&
         AllowsRegion(aFilter.currentRouteRegions_, aTarget.region_) &&
         AllowsRegion(aFilter.currentAccountRegions_, aTarget.region_);
}

std::optional<Target> ChooseTarget(RoutingState& aState,
                                   const TargetView& aView,
                                   const ServiceId& aService,
                                   const std::vector<HostId>& aExclude,
                                   TimePoint aNow,
                                   Duration aObjective,
                                   const TargetFilter& aFilter)
{
  const auto found = aView.targets_.find(aService);
  if (found == aView.targets_.end()) {
    return std::nullopt;
  }
  if (!aState.loads_.empty()) {
    if (const Target* target =
          ChooseByShares(aState, aView, aService, found->second, aExclude, aFilter, aNow)) {
      return *target;
    }
  }
  const std::vector<HostId> ejected = EjectedHosts(aState, found->second, aNow);

  double minFailureFraction = 1;
  for (const Target& target : found->second) {
    if (Accepts(target) && MayReach(aFilter, aView, target)) {
      minFailureFraction =
        std::min(minFailureFraction, RecentFailureFraction(FindStats(aState, target), aNow));
    }
  }

  // By tier: usable targets, and targets that refused a call recently. The lists are tried in the
  // order usable, refusing, failing, ejected.
  std::array<Candidates, 3> usable;
  std::array<Candidates, 3> refusing;
  Candidates failing;
  Candidates ejectedTargets;
  for (const Target& target : found->second) {
    if (!Accepts(target) || Contains(aExclude, target.host_) || !MayReach(aFilter, aView, target)) {
      continue;
    }
    const TargetStats* stats = FindStats(aState, target);
    if (Contains(ejected, target.host_)) {
      ejectedTargets.push_back(&target);
    } else if (RecentFailureFraction(stats, aNow) >
               minFailureFraction + kMaxExcessFailureFraction) {
      failing.push_back(&target);
    } else if (stats != nullptr && stats->refusedUntil_ > aNow) {
      refusing[Tier(aState, target)].push_back(&target);
    } else {
      usable[Tier(aState, target)].push_back(&target);
    }
  }
  RemoveSlowTiers(aState, usable, aObjective, aNow);
  const SpillBounds bounds = SpillBoundsFor(aState, usable, aObjective, aNow);
  if (const Candidates nearest = NearestBelowLoad(aState, usable, bounds, aNow); !nearest.empty()) {
    return *ChooseOfTwo(aState, nearest, aNow);
  }
  for (const Candidates& candidates : refusing) {
    if (!candidates.empty()) {
      return *ChooseOfTwo(aState, candidates, aNow);
    }
  }
  if (!failing.empty()) {
    return *ChooseOfTwo(aState, failing, aNow);
  }
  // No other target is left for this call: an ejected one is better than none.
  if (!ejectedTargets.empty()) {
    return *ChooseOfTwo(aState, ejectedTargets, aNow);
  }
  return std::nullopt;
}

void RecordCallSent(RoutingState& aState, const Target& aTarget, TimePoint aNow)
{
  // Calls are sent to the newest incarnation, which is a lower one if the host's clock was set
  // back.
  TargetStats& stats = aState.stats_[aTarget.host_];
  if (stats.incarnation_ != aTarget.incarnation_) {
    stats = {};
    stats.incarnation_ = aTarget.incarnation_;
  }
  ++stats.inFlight_;
  ResetLoadOfOther(stats, aTarget);
  AddSentCall(stats.load_, aNow);
}

void RecordCallEnded(RoutingState& aState,
                     const Target& aTarget,
                     AttemptResult aResult,
                     Duration aLatency,
                     double aLoad,
                     TimePoint aNow,
                     const LoadReport* aReport)
{
  TargetStats* stats = FindOrCreateStats(aState, aTarget);
  if (stats == nullptr) {
    return;
  }
  const TimePoint ejectedUntil = stats->ejectedUntil_;
  stats->inFlight_ -= stats->inFlight_ > 0 ? 1 : 0;
  if (aResult == AttemptResult::kAnswered || aResult == AttemptResult::kRefused) {
    RecordOutcome(*stats, aResult == AttemptResult::kRefused, aNow);
  }
  if (aLoad >= 0) {
    stats->reportedLoad_ = aLoad;
    stats->reportedAt_ = aNow;
  }
  if (aReport != nullptr && stats->loadInstance_ == aTarget.instance_) {
    ApplyReport(aState, aTarget.service_, *stats, *aReport, aNow);
    const auto table = aState.loads_.find(aTarget.service_);
    // The time of a call that may have waited isn't a duration of work.
    if (aResult == AttemptResult::kAnswered && aReport->queued_ == 0 &&
        table != aState.loads_.end()) {
      RecordWork(table->second.load_,
                 ToSeconds(aLatency),
                 aReport->workPercent_ == 0 ? 100 : aReport->workPercent_);
    }
  }
  switch (aResult) {
    case AttemptResult::kAnswered:
      RecordLatency(*stats, aLatency, aNow);
      stats->consecutiveFailures_ = 0;
      stats->consecutiveEjections_ = 0;
      stats->refusedUntil_ = {};
      break;
    case AttemptResult::kRefused:
      // A refusal shows that the target is alive. Its latency isn't recorded: refusing is faster
      // than running a call.
      stats->consecutiveFailures_ = 0;
      stats->refusedUntil_ = aNow + kRefusalPause;
      break;
    case AttemptResult::kTimedOut:
      RecordLatency(*stats, aLatency, aNow);
      RecordFailures(aState.settings_, *stats, 1, aNow);
      break;
    case AttemptResult::kFailed:
      RecordFailures(aState.settings_, *stats, 1, aNow);
      break;
    case AttemptResult::kUnreachable:
      RecordFailures(aState.settings_, *stats, aState.settings_.failuresToEject_, aNow);
      break;
    case AttemptResult::kCancelled:
      break;
  }
  if (stats->ejectedUntil_ != ejectedUntil) {
    RequestRefresh(aState, aTarget.service_);
  }
}

void RecordFailureFraction(RoutingState& aState,
                           const Target& aTarget,
                           double aFraction,
                           TimePoint aNow)
{
  if (TargetStats* stats = FindOrCreateStats(aState, aTarget)) {
    // Smaller changes wait for the next refresh, because each refresh costs processor time.
    if (std::abs(aFraction - stats->failureFraction_) > kMaxExcessFailureFraction / 2) {
      RequestRefresh(aState, aTarget.service_);
    }
    stats->failureFraction_ = std::clamp(aFraction, 0.0, 1.0);
    stats->reportedAt_ = aNow;
  }
}

void RecordLoadReport(RoutingState& aState,
                      const TargetView& aView,
                      const HostId& aHost,
                      Incarnation aIncarnation,
                      const LoadReport& aReport,
                      TimePoint aMeasuredAt)
{
  if (aState.settings_.evenLoad_ == FeatureMode::kOff || aReport.limit_ == 0) {
    return;
  }
  const auto known = aState.stats_.find(aHost);
  if (known != aState.stats_.end() && known->second.incarnation_ == aIncarnation &&
      known->second.load_.measuredAt_ != TimePoint{}) {
    ApplyLoadReport(known->second.load_, aReport, aMeasuredAt);
    return;
  }
  // The first report: the view tells to which service the target belongs.
  for (const auto& [service, targets] : aView.targets_) {
    for (const Target& target : targets) {
      if (target.host_ == aHost && target.incarnation_ == aIncarnation) {
        if (TargetStats* stats = FindOrCreateStats(aState, target)) {
          ResetLoadOfOther(*stats, target);
          ApplyReport(aState, service, *stats, aReport, aMeasuredAt);
        }
        return;
      }
    }
  }
}

bool IsLoadEven(const RoutingState& aState, const ServiceId& aService)
{
  const auto table = aState.loads_.find(aService);
  return table != aState.loads_.end() && aState.settings_.evenLoad_ != FeatureMode::kOff &&
         (table->second.load_.stated_ || aState.settings_.evenLoad_ == FeatureMode::kAlways);
}

void RemoveAbsentHosts(RoutingState& aState, const TargetView& aView)
{
  std::erase_if(aState.loads_,
                [&aView](const auto& aEntry) { return !aView.targets_.contains(aEntry.first); });
  // The targets and the stats to which the tables refer may be gone.
  for (auto& [service, table] : aState.loads_) {
    table.firstTarget_ = nullptr;
  }
  std::erase_if(aState.stats_, [&aView](const auto& aEntry) {
    if (aEntry.second.inFlight_ > 0) {
      return false;
    }
    return std::none_of(
      aView.targets_.begin(), aView.targets_.end(), [&aEntry](const auto& aService) {
        return std::any_of(
          aService.second.begin(), aService.second.end(), [&aEntry](const Target& aTarget) {
            return aTarget.host_ == aEntry.first;
          });
      });
  });
}

} // namespace peridotquay
