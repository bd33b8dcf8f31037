// Choice of a target for one call from own observations, with outlier ejection and slow start.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

namespace peridotquay {

/// Settings of routing.
struct RoutingSettings
{
  Duration ramp_ = seconds(10);         ///< Slow start of cold targets.
  std::uint32_t failuresToEject_ = 5;   ///< Failures in a row.
  Duration firstEjection_ = seconds(1); ///< Doubles with each ejection in a row.
  Duration longestEjection_ = seconds(30);
  double maxEjectedFraction_ = 0.5; ///< Of one service's targets.
  /// Reported load from which calls go to another data centre of the region: from 1 on they queue.
  double spillWithinRegion_ = 1.0;
  /// The same for another region, whose link is slow and paid by volume.
  double spillBetweenRegions_ = 1.25;
  /// Parts of the time that a call can spare, from its objective, that it waits at a nearer target
  /// before it crosses to another data centre or region. 0: the bounds above hold alone.
  double waitWithinRegion_ = 0;
  double waitBetweenRegions_ = 0;
  double highestSpill_ = 3.0; ///< Load from which calls go elsewhere whatever they can spare.
  bool operator==(const RoutingSettings&) const = default;
};

/// What this node has seen of one target itself.
struct TargetStats
{
  std::uint32_t inFlight_ = 0; ///< Calls sent from here and not ended.
  double latencySeconds_ = 0;  ///< Moving average of whole answers; 0 before the first.
  TimePoint answered_{};       ///< When latencySeconds_ got its latest value.
  std::uint32_t failuresInRow_ = 0;
  std::uint32_t ejectionsInRow_ = 0;
  TimePoint ejectedUntil_{};
  double reportedLoad_ = 0; ///< (running + queued) / limit as its guard reported; 0 if unknown.
  TimePoint reported_{};
  double failedPart_ = 0; ///< Of the target's recent answers, as its guard reported at reported_.
  TimePoint
    refusedUntil_{}; ///< After a refusal the target is avoided until then if others are there.
  Incarnation incarnation_ = 0; ///< Stats of an earlier incarnation are forgotten.
};

/// Routing state of one node. Changed only through the functions below.
struct RoutingState
{
  RoutingSettings settings_;
  DataCentreId dataCentre_;
  RegionId region_;
  std::map<HostId, TargetStats> stats_;
  std::uint64_t random_ = 1; ///< State of the generator; seeded by the owner.
};

/// Chooses a target of the service, or none. Hosts in aExclude were tried for this call already.
/// With an objective above 0, the call waits at a near target as long as it can spare the time, and
/// a near target that is too slow for it gives way to a much faster one.
std::optional<Target> ChooseTarget(RoutingState& aState,
                                   const TargetView& aView,
                                   const ServiceId& aService,
                                   const std::vector<HostId>& aExclude,
                                   TimePoint aNow,
                                   Duration aObjective = {});

/// How a call to a target ended, as seen from here.
enum class AttemptResult : std::uint8_t
{
  kAnswered,
  kRefused,     ///< The guard or the target refused: busy, not broken.
  kFailed,      ///< Connection lost, outcome unknown, truncated answer.
  kUnreachable, ///< No connection could be opened; ejects at once.
  kTimedOut,
  kCancelled
};

/// Counts a call as sent.
void RecordCallSent(RoutingState& aState, const Target& aTarget);

/// Counts a call as ended. aLoad is the guard's reported load, negative if none was reported.
void RecordCallEnded(RoutingState& aState,
                     const Target& aTarget,
                     AttemptResult aResult,
                     Duration aLatency,
                     double aLoad,
                     TimePoint aNow);

/// Takes the part of a target's recent answers that were failures, as its guard reported it.
void RecordFailureFraction(RoutingState& aState,
                           const Target& aTarget,
                           double aPart,
                           TimePoint aNow);

/// Forgets stats of hosts that aren't in the view and have no call in flight.
void RemoveAbsentHosts(RoutingState& aState, const TargetView& aView);

} // namespace peridotquay
