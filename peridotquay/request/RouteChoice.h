// Load balancing: chooses a target for each call from what this node observed, with outlier
// ejection and slow start.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/request/FeatureMode.h"
#include "peridotquay/request/LoadEstimate.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace peridotquay {

/// Thresholds of the choice of targets, ejection and slow start.
struct RoutingSettings
{
  Duration slowStartPeriod_ = seconds(10); ///< Time from Target::readySince_ to the full share.
  std::uint32_t failuresToEject_ = 5;      ///< Consecutive failures that eject a target.
  Duration firstEjection_ = seconds(1);    ///< Doubles with each consecutive ejection.
  Duration maxEjection_ = seconds(30);     ///< Upper bound of the doubled ejection.
  double maxEjectedFraction_ = 0.5; ///< Fraction of one service's targets that may be ejected.
  /// Reported load of the nearer targets from which calls go to another data centre of the region.
  /// Calls queue at a target from a load of 1 on.
  double spillLoadWithinRegion_ = 1.0;
  /// Reported load from which calls go to another region, whose link is slow and paid by volume.
  double spillLoadBetweenRegions_ = 1.25;
  /// Fractions of a call's slack (its latency objective minus the expected latency) that it may
  /// queue at a nearer target before it goes to another data centre or region. 0 leaves the loads
  /// above as they are.
  double slackFractionWithinRegion_ = 0;
  double slackFractionBetweenRegions_ = 0;
  double maxSpillLoad_ = 3.0; ///< Load from which calls go elsewhere regardless of their slack.
  FeatureMode evenLoad_ = FeatureMode::kStated;
  LoadEstimateSettings estimate_;
  bool operator==(const RoutingSettings&) const = default;
};

/// What this node knows of one target: its own observations and the reports of the target's guard.
struct TargetStats
{
  std::uint32_t inFlight_ = 0;   ///< Calls that this node sent and that haven't ended.
  double latencySeconds_ = 0;    ///< Moving average over complete answers; 0 before the first.
  TimePoint latencyUpdatedAt_{}; ///< Time of the latest sample in latencySeconds_.
  std::uint32_t consecutiveFailures_ = 0;
  std::uint32_t consecutiveEjections_ = 0;
  TimePoint ejectedUntil_{};
  double reportedLoad_ = 0; ///< (running + queued) / limit from its guard; 0 if unknown.
  TimePoint reportedAt_{};  ///< When reportedLoad_ or failureFraction_ was received last.
  /// Fraction of the target's recent answers that failed, from its guard.
  double failureFraction_ = 0;
  /// Refused and all attempts that ended with an answer or a refusal; both decay with time.
  double refusals_ = 0;
  double outcomes_ = 0;
  TimePoint outcomesUpdatedAt_{}; ///< Time for which refusals_ and outcomes_ hold.
  /// After a refusal the target is avoided until this time if the service has other targets.
  TimePoint refusedUntil_{};
  Incarnation incarnation_ = 0; ///< A later incarnation resets these stats.
  TargetLoadEstimate load_;     ///< Used only for services of RoutingState::loads_.
  std::string loadInstance_;    ///< Target::instance_ to which load_ belongs.
};

struct RoutingState;

/// Loads of the targets of one service, and the view and stats to which its positions refer.
struct ServiceTable
{
  ServiceLoad load_;
  std::vector<TargetStats*> stats_; ///< Parallel to load_.targets_; owned by RoutingState::stats_.
  // The table is built again when one of these differs.
  const Target* firstTarget_ = nullptr;
  std::size_t targetCount_ = 0;
  const RoutingState* owner_ = nullptr;
};

/// Routing state of one node. Changed only through the functions below.
struct RoutingState
{
  RoutingSettings settings_;
  DataCentreId dataCentre_;
  RegionId region_;
  std::map<HostId, TargetStats> stats_;
  std::uint64_t random_ = 1; ///< State of the random generator; seeded by the owner.
  /// Services of which a load was reported that counts by RoutingSettings::evenLoad_.
  std::map<ServiceId, ServiceTable> loads_;
};

/// Excludes targets that a call may not reach, whatever their load. The strings and lists that it
/// refers to must outlive it.
struct TargetFilter
{
  const std::vector<RegionId>* routeRegions_ = nullptr;   ///< Null or empty allows all regions.
  const std::vector<RegionId>* accountRegions_ = nullptr; ///< Null or empty allows all regions.
  /// Lists of the configuration in force now, for a call that began under an earlier one.
  const std::vector<RegionId>* currentRouteRegions_ = nullptr;
  const std::vector<RegionId>* currentAccountRegions_ = nullptr;
};

/// Whether a list of allowed regions contains the region. Null or empty allows all regions.
bool AllowsRegion(const std::vector<RegionId>* aRegions, const RegionId& aRegion);

/// Whether a call may be sent to the target: the filter allows its region, and its data centre
/// isn't evacuated.
bool MayReach(const TargetFilter& aFilter, const TargetView& aView, const Target& aTarget);

/// Chooses a target of the service, or none if no target is usable. aExclude holds the hosts that
/// this call already tried. aObjective is the call's latency objective, 0 for none: it
/// decides how long a call may queue at a near target, and lets a much faster target replace a near
/// one that is too slow. Targets that aFilter excludes are never chosen.
std::optional<Target> ChooseTarget(RoutingState& aState,
                                   const TargetView& aView,
                                   const ServiceId& aService,
                                   const std::vector<HostId>& aExclude,
                                   TimePoint aNow,
                                   Duration aObjective = {},
                                   const TargetFilter& aFilter = {});

/// How an attempt to call a target ended, as seen by the caller's node.
enum class AttemptResult : std::uint8_t
{
  kAnswered,
  kRefused,     ///< The guard or the target refused: it is busy, not broken.
  kFailed,      ///< Connection lost, outcome unknown or answer truncated.
  kUnreachable, ///< No connection could be opened; ejects the target immediately.
  kTimedOut,
  kCancelled
};

/// Records that a call was sent to the target.
void RecordCallSent(RoutingState& aState, const Target& aTarget, TimePoint aNow = {});

/// Records how a call to the target ended. aLoad is the load that the guard reported with the
/// answer, negative if it reported none. aReport is the same in full, null if there is none.
void RecordCallEnded(RoutingState& aState,
                     const Target& aTarget,
                     AttemptResult aResult,
                     Duration aLatency,
                     double aLoad,
                     TimePoint aNow,
                     const LoadReport* aReport = nullptr);

/// Records a load that a target's guard reported to all hosts, measured at aMeasuredAt.
void RecordLoadReport(RoutingState& aState,
                      const TargetView& aView,
                      const HostId& aHost,
                      Incarnation aIncarnation,
                      const LoadReport& aReport,
                      TimePoint aMeasuredAt);

/// Whether calls to the service are distributed by the estimated loads of its targets.
bool IsLoadEven(const RoutingState& aState, const ServiceId& aService);

/// Records the fraction of a target's recent answers that failed, as its guard reported it.
void RecordFailureFraction(RoutingState& aState,
                           const Target& aTarget,
                           double aFraction,
                           TimePoint aNow);

/// Removes the stats of hosts that aren't in the view and have no call in flight.
void RemoveAbsentHosts(RoutingState& aState, const TargetView& aView);

} // namespace peridotquay
