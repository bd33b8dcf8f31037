// Power of two choices over the nearest usable targets.
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

/// An average without new answers halves in this time. A slow target gets few calls, so that
/// without this it would stay marked as slow after it recovered.
constexpr double kLatencyHalfLife = 2.0;

/// Added to latencies so that differences far below a millisecond don't decide.
constexpr double kLatencyBase = 0.001;

/// A load that a guard reported longer ago is ignored.
constexpr Duration kReportLifetime = seconds(1);

/// Largest load that counts, reported or announced.
constexpr double kLargestLoad = 2.0;

/// Influence of the load that guards report, compared with a target's own calls in flight.
constexpr double kReportedWeight = 0.5;

/// Influence of the load that targets announce; small, because it lags and may be false.
constexpr double kAnnouncedWeight = 0.05;

/// A target that refused is avoided this long.
constexpr Duration kRefusalPause = milliseconds(20);

/// A target is avoided if the part of its answers that fail is so much larger than that of the
/// service's best target: a failure that all share comes from elsewhere.
constexpr double kFailingPart = 0.12;

/// A reported part of failures halves in this time, so that an avoided target is tried again.
constexpr double kFailedHalfLife = 2.0;

/// A target that takes more than this part of the objective is too slow if a farther one takes less
/// than kMuchFaster of its time.
constexpr double kTooSlow = 0.8;
constexpr double kMuchFaster = 0.5;

/// Least part of its share that a target gets at the start of its ramp.
constexpr double kLeastRamp = 0.02;

const TargetStats* FindStats(const RoutingState& aState, const Target& aTarget)
{
  const auto found = aState.stats_.find(aTarget.host_);
  if (found == aState.stats_.end() || found->second.incarnation_ != aTarget.incarnation_) {
    return nullptr;
  }
  return &found->second;
}

/// 0 for the node's own data centre, 1 for its region, 2 for all others.
std::size_t Tier(const RoutingState& aState, const Target& aTarget)
{
  if (aTarget.dataCentre_ == aState.dataCentre_) {
    return 0;
  }
  return aTarget.region_ == aState.region_ ? 1 : 2;
}

/// Part of its full share that the target gets at present.
double Ramp(const RoutingSettings& aSettings, const Target& aTarget, TimePoint aNow)
{
  if (aSettings.ramp_ <= Duration::zero()) {
    return 1;
  }
  const double part = ToSeconds(aNow - aTarget.readySince_) / ToSeconds(aSettings.ramp_);
  return std::clamp(part, kLeastRamp, 1.0);
}

/// Load as the target's guard reported it lately; 0 if it didn't.
double RecentLoad(const TargetStats* aStats, TimePoint aNow)
{
  return aStats != nullptr && aNow - aStats->reported_ < kReportLifetime ? aStats->reportedLoad_
                                                                         : 0;
}

/// Part of the target's answers that fail; an old report counts less.
double RecentFailures(const TargetStats* aStats, TimePoint aNow)
{
  if (aStats == nullptr || aStats->failedPart_ <= 0) {
    return 0;
  }
  const double age = std::max(0.0, ToSeconds(aNow - aStats->reported_));
  return aStats->failedPart_ * std::exp2(-age / kFailedHalfLife);
}

/// Moving average of the latency; an old one counts less.
double RecentLatency(const TargetStats& aStats, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aStats.answered_));
  return aStats.latencySeconds_ * std::exp2(-age / kLatencyHalfLife);
}

/// Expected cost of one more call; the least wins.
double Cost(const Target& aTarget, const TargetStats* aStats, TimePoint aNow)
{
  double cost = 1 + kAnnouncedWeight * std::clamp(aTarget.announcedLoad_, 0.0, 1.0);
  double latency = 0;
  if (aStats != nullptr) {
    cost *= 1 + kReportedWeight * std::clamp(RecentLoad(aStats, aNow), 0.0, kLargestLoad);
    latency = RecentLatency(*aStats, aNow);
    cost *= 1 + aStats->inFlight_;
  }
  return cost * (latency + kLatencyBase);
}

/// Targets that are ejected at aNow, at most the allowed part of the service. The ones that were
/// ejected most often stay out.
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
  const auto most = static_cast<std::size_t>(
    std::floor(aState.settings_.maxEjectedFraction_ * static_cast<double>(aTargets.size())));
  if (ejected.size() > most) {
    std::stable_sort(ejected.begin(), ejected.end(), [](const auto& aLeft, const auto& aRight) {
      return aLeft.first->ejectedUntil_ > aRight.first->ejectedUntil_;
    });
    ejected.resize(most);
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

/// Keeps each ramping target with the probability of its present part; keeps all if none is left.
Candidates ThinOutRamping(RoutingState& aState, const Candidates& aCandidates, TimePoint aNow)
{
  Candidates kept;
  for (const Target* target : aCandidates) {
    const double ramp = Ramp(aState.settings_, *target, aNow);
    if (ramp >= 1 || RandomFraction(aState.random_) < ramp) {
      kept.push_back(target);
    }
  }
  return kept.empty() ? aCandidates : kept;
}

/// The better of two different random candidates. aCandidates must not be empty.
const Target* PickOfTwo(RoutingState& aState, const Candidates& aCandidates, TimePoint aNow)
{
  const Candidates candidates = ThinOutRamping(aState, aCandidates, aNow);
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

/// Whether some target reports a load below the bound.
bool HasRoom(const RoutingState& aState,
             const Candidates& aCandidates,
             double aLoad,
             TimePoint aNow)
{
  return std::any_of(aCandidates.begin(), aCandidates.end(), [&](const Target* aTarget) {
    return RecentLoad(FindStats(aState, *aTarget), aNow) < aLoad;
  });
}

/// Least recent latency of the candidates in seconds; 0 if one of them has none.
double BestLatency(const RoutingState& aState, const Candidates& aCandidates, TimePoint aNow)
{
  double best = std::numeric_limits<double>::infinity();
  for (const Target* target : aCandidates) {
    const TargetStats* stats = FindStats(aState, *target);
    best = std::min(best, stats == nullptr ? 0 : RecentLatency(*stats, aNow));
  }
  return best;
}

/// Loads from which a call leaves the data centre and the region.
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
  SpillBounds bounds{ settings.spillWithinRegion_, settings.spillBetweenRegions_ };
  double latency = std::numeric_limits<double>::infinity();
  for (const Candidates& tier : aTiers) {
    latency = std::min(latency, BestLatency(aState, tier, aNow));
  }
  if (aObjective <= Duration::zero() || latency <= 0 || std::isinf(latency)) {
    return bounds;
  }
  // At a load of 1 + w, a call waits about w times the latency.
  const double spare = std::max(0.0, ToSeconds(aObjective) / latency - 1);
  bounds.withinRegion_ = std::clamp(1 + settings.waitWithinRegion_ * spare,
                                    bounds.withinRegion_,
                                    std::max(bounds.withinRegion_, settings.highestSpill_));
  bounds.betweenRegions_ = std::clamp(1 + settings.waitBetweenRegions_ * spare,
                                      bounds.betweenRegions_,
                                      std::max(bounds.betweenRegions_, settings.highestSpill_));
  return bounds;
}

/// Empties each tier whose targets are too slow for the objective while a farther tier is much
/// faster.
void LeaveSlowTiers(const RoutingState& aState,
                    std::array<Candidates, 3>& aTiers,
                    Duration aObjective,
                    TimePoint aNow)
{
  if (aObjective <= Duration::zero()) {
    return;
  }
  for (std::size_t near = 0; near + 1 < aTiers.size(); ++near) {
    const double latency = BestLatency(aState, aTiers[near], aNow);
    if (aTiers[near].empty() || latency <= kTooSlow * ToSeconds(aObjective)) {
      continue;
    }
    for (std::size_t far = near + 1; far < aTiers.size(); ++far) {
      if (BestLatency(aState, aTiers[far], aNow) < kMuchFaster * latency &&
          HasRoom(aState, aTiers[far], aState.settings_.spillWithinRegion_, aNow)) {
        aTiers[near].clear();
        break;
      }
    }
  }
}

/// The nearest tier that has room; all targets if calls queue everywhere. A tier stays whole, so
/// that a target that reports too little load doesn't draw all of its traffic.
Candidates NearestWithRoom(const RoutingState& aState,
                           const std::array<Candidates, 3>& aTiers,
                           const SpillBounds& aBounds,
                           TimePoint aNow)
{
  for (const double load : { aBounds.withinRegion_, aBounds.betweenRegions_ }) {
    for (std::size_t tier = 0; tier < 2; ++tier) {
      if (HasRoom(aState, aTiers[tier], load, aNow)) {
        return aTiers[tier];
      }
    }
  }
  if (HasRoom(aState, aTiers[2], aState.settings_.spillWithinRegion_, aNow)) {
    return aTiers[2];
  }
  Candidates all;
  for (const Candidates& tier : aTiers) {
    all.insert(all.end(), tier.begin(), tier.end());
  }
  return all;
}

/// Stats of the target's incarnation; null if a later incarnation is known already.
TargetStats* StatsFor(RoutingState& aState, const Target& aTarget)
{
  TargetStats& stats = aState.stats_[aTarget.host_];
  if (stats.incarnation_ > aTarget.incarnation_) {
    return nullptr;
  }
  if (stats.incarnation_ < aTarget.incarnation_) {
    stats = {};
    stats.incarnation_ = aTarget.incarnation_;
  }
  return &stats;
}

void NoteLatency(TargetStats& aStats, Duration aLatency, TimePoint aNow)
{
  const double latency = std::max(0.0, ToSeconds(aLatency));
  aStats.latencySeconds_ =
    aStats.latencySeconds_ <= 0
      ? latency
      : aStats.latencySeconds_ + kLatencyWeight * (latency - aStats.latencySeconds_);
  aStats.answered_ = aNow;
}

/// Counts failures and ejects the target when there are enough in a row.
void NoteFailure(const RoutingSettings& aSettings,
                 TargetStats& aStats,
                 std::uint32_t aFailures,
                 TimePoint aNow)
{
  // Calls sent before the ejection may fail during it; they don't prolong it.
  if (aStats.ejectedUntil_ > aNow) {
    return;
  }
  aStats.failuresInRow_ += aFailures;
  if (aStats.failuresInRow_ < aSettings.failuresToEject_) {
    return;
  }
  Duration ejection = aSettings.firstEjection_;
  for (std::uint32_t i = 0; i < aStats.ejectionsInRow_ && ejection < aSettings.longestEjection_;
       ++i) {
    ejection *= 2;
  }
  aStats.ejectedUntil_ = aNow + std::min(ejection, aSettings.longestEjection_);
  ++aStats.ejectionsInRow_;
  // The first call after the ejection decides whether the target is back.
  aStats.failuresInRow_ = aSettings.failuresToEject_ > 0 ? aSettings.failuresToEject_ - 1 : 0;
}

} // namespace

std::optional<Target> ChooseTarget(RoutingState& aState,
                                   const TargetView& aView,
                                   const ServiceId& aService,
                                   const std::vector<HostId>& aExclude,
                                   TimePoint aNow,
                                   Duration aObjective)
{
  const auto found = aView.targets_.find(aService);
  if (found == aView.targets_.end()) {
    return std::nullopt;
  }
  const std::vector<HostId> ejected = EjectedHosts(aState, found->second, aNow);

  double leastFailures = 1;
  for (const Target& target : found->second) {
    if (Accepts(target)) {
      leastFailures = std::min(leastFailures, RecentFailures(FindStats(aState, target), aNow));
    }
  }

  // For each tier: targets without a reason against them, then those that refused lately.
  std::array<Candidates, 3> usable;
  std::array<Candidates, 3> refusing;
  Candidates failing;
  Candidates lastResort;
  for (const Target& target : found->second) {
    if (!Accepts(target) || Contains(aExclude, target.host_)) {
      continue;
    }
    const TargetStats* stats = FindStats(aState, target);
    if (Contains(ejected, target.host_)) {
      lastResort.push_back(&target);
    } else if (RecentFailures(stats, aNow) > leastFailures + kFailingPart) {
      failing.push_back(&target);
    } else if (stats != nullptr && stats->refusedUntil_ > aNow) {
      refusing[Tier(aState, target)].push_back(&target);
    } else {
      usable[Tier(aState, target)].push_back(&target);
    }
  }
  LeaveSlowTiers(aState, usable, aObjective, aNow);
  const SpillBounds bounds = SpillBoundsFor(aState, usable, aObjective, aNow);
  if (const Candidates nearest = NearestWithRoom(aState, usable, bounds, aNow); !nearest.empty()) {
    return *PickOfTwo(aState, nearest, aNow);
  }
  for (const Candidates& candidates : refusing) {
    if (!candidates.empty()) {
      return *PickOfTwo(aState, candidates, aNow);
    }
  }
  if (!failing.empty()) {
    return *PickOfTwo(aState, failing, aNow);
  }
  // Every other target was tried for this call: an ejected one is better than none.
  if (!lastResort.empty()) {
    return *PickOfTwo(aState, lastResort, aNow);
  }
  return std::nullopt;
}

void RecordCallSent(RoutingState& aState, const Target& aTarget)
{
  if (TargetStats* stats = StatsFor(aState, aTarget)) {
    ++stats->inFlight_;
  }
}

void RecordCallEnded(RoutingState& aState,
                     const Target& aTarget,
                     AttemptResult aResult,
                     Duration aLatency,
                     double aLoad,
                     TimePoint aNow)
{
  TargetStats* stats = StatsFor(aState, aTarget);
  if (stats == nullptr) {
    return;
  }
  stats->inFlight_ -= stats->inFlight_ > 0 ? 1 : 0;
  if (aLoad >= 0) {
    stats->reportedLoad_ = aLoad;
    stats->reported_ = aNow;
  }
  switch (aResult) {
    case AttemptResult::kAnswered:
      NoteLatency(*stats, aLatency, aNow);
      stats->failuresInRow_ = 0;
      stats->ejectionsInRow_ = 0;
      stats->refusedUntil_ = {};
      break;
    case AttemptResult::kRefused:
      // A refusal shows that the target is alive, and its short latency says nothing of its speed.
      stats->failuresInRow_ = 0;
      stats->refusedUntil_ = aNow + kRefusalPause;
      break;
    case AttemptResult::kTimedOut:
      NoteLatency(*stats, aLatency, aNow);
      NoteFailure(aState.settings_, *stats, 1, aNow);
      break;
    case AttemptResult::kFailed:
      NoteFailure(aState.settings_, *stats, 1, aNow);
      break;
    case AttemptResult::kUnreachable:
      NoteFailure(aState.settings_, *stats, aState.settings_.failuresToEject_, aNow);
      break;
    case AttemptResult::kCancelled:
      break;
  }
}

void RecordFailureFraction(RoutingState& aState,
                           const Target& aTarget,
                           double aPart,
                           TimePoint aNow)
{
  if (TargetStats* stats = StatsFor(aState, aTarget)) {
    stats->failedPart_ = std::clamp(aPart, 0.0, 1.0);
    stats->reported_ = aNow;
  }
}

void RemoveAbsentHosts(RoutingState& aState, const TargetView& aView)
{
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
