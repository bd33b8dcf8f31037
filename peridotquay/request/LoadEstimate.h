// Estimates the present load of targets from reports that are some tenths of a second old, and
// derives from it which share of the calls each target gets.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/request/LoadReport.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <utility>
#include <vector>

namespace peridotquay {

/// Number of distances of targets: own data centre, own region, other regions.
inline constexpr std::size_t kTierCount = 3;

/// Parameters of the estimate and of the shares derived from it.
struct LoadEstimateSettings
{
  Duration usualWork_ = milliseconds(300); ///< Assumed duration of work before the first answer.
  Duration refreshInterval_ = milliseconds(20); ///< Shares are derived anew after this time.
  /// Differences between targets are evened out over the age of the reports plus this time. Shorter
  /// ones overcorrect, longer ones leave queues.
  Duration correctionTime_ = milliseconds(100);
  std::uint32_t comparedTargets_ = 2; ///< Targets drawn by share; the call goes to the best.
  /// A report older than this counts as unknown; its target is assumed at the service's mean.
  Duration maxReportAge_ = seconds(10);
  /// Utilisation of the data centre and of the region from which calls leave them. The second is
  /// above 1 because links between regions are slow and paid by volume.
  std::array<double, 2> leaveUtilisation_{ 0.9, 1.15 };
  /// Farther targets get calls only while their utilisation is lower by at least this.
  std::array<double, 2> distancePrice_{ 0.03, 0.2 };
  /// Time in which an excess of 1 in utilisation moves all calls. Shorter times than a few
  /// durations of work make the share oscillate, because reports lag.
  Duration shareTime_ = milliseconds(1000);
  double directShare_ = 0.5; ///< Part of an excess in utilisation that moves calls immediately.
  bool operator==(const LoadEstimateSettings&) const = default;
};

/// Last report of a target's load, and the calls expected at it now.
struct TargetLoadEstimate
{
  LoadReport report_;
  TimePoint measuredAt_{}; ///< Time of report_; the epoch without a report.
  TimePoint advancedAt_{}; ///< Time for which calls_ holds.
  double calls_ = 0;       ///< Expected calls running and queued.
  double inflow_ = 0;      ///< Calls a second that other hosts are expected to send.
  double ownCalls_ = 0;    ///< Calls of this host that are expected to be still there.
  std::array<TimePoint, 4> recentSends_{}; ///< When this host sent its last calls.
  std::uint32_t nextSend_ = 0;             ///< Position in recentSends_ of the next call.
};

/// One target in the table of a service.
struct ServiceTarget
{
  TargetLoadEstimate* estimate_ = nullptr; ///< Owned by the routing state.
  std::size_t tier_ = 0;
  std::size_t group_ = 0; ///< Number of the data centre, below ServiceLoad::groupCount_.
  std::uint32_t announcedSlots_ = 0;
  /// Fraction of its share that the target may get now: 0 for one that must not be called, less
  /// than 1 in slow start.
  double allowed_ = 1;
  /// Fraction of its slots that count. Less than 1 for a target that refuses calls: it runs few
  /// calls and would attract more.
  double unrefused_ = 1;
  // Derived by RefreshShares.
  double slots_ = 0;
  double workSeconds_ = 0;
  double share_ = 0; ///< Weight among the targets of the tier.
};

/// Loads of the targets of one service, as one host estimates them.
struct ServiceLoad
{
  std::vector<ServiceTarget> targets_; ///< In the order of the target view.
  std::size_t groupCount_ = 0;
  double usualWorkSeconds_ = 0; ///< Moving average of the duration of work at usual speed.
  TimePoint refreshedAt_{};
  bool refreshDue_ = false; ///< A target may be called more or less than before.
  bool stated_ = false;     ///< At least one target stated its duration of work recently.
  /// By tier: targets in the order of their position, and the running sum of their shares.
  std::array<std::vector<std::pair<double, std::size_t>>, kTierCount> cumulative_;
  std::array<double, kTierCount> utilisation_{}; ///< Expected calls divided by slots.
  /// Fractions of the calls that leave the data centre, and the region.
  std::array<double, 2> leaving_{};
  std::array<double, 2> leavingIntegral_{}; ///< Part of leaving_ that follows past excess.
  std::array<double, 2> leavingMean_{};     ///< leaving_ averaged over the delay of the reports.
};

/// Applies a report that was measured at aMeasuredAt. Returns false for one that is older than the
/// known one.
bool ApplyLoadReport(TargetLoadEstimate& aEstimate,
                     const LoadReport& aReport,
                     TimePoint aMeasuredAt);

/// Adds a call that this host sends to the target.
void AddSentCall(TargetLoadEstimate& aEstimate, TimePoint aNow);

/// Records how long an answered call took at a target with the given duration of work.
void RecordWork(ServiceLoad& aLoad, double aSeconds, std::uint32_t aWorkPercent);

/// Advances the estimates to aNow and derives the shares of targets and tiers. aHosts is the number
/// of hosts that choose targets.
void RefreshShares(const LoadEstimateSettings& aSettings,
                   ServiceLoad& aLoad,
                   std::size_t aHosts,
                   TimePoint aNow);

/// Expected wait of one more call in seconds. While slots are free, the negative fraction of them
/// that would be left.
double ExpectedWait(const ServiceTarget& aTarget);

/// Draws a tier in proportion to the shares of near and far targets; kTierCount if no target may be
/// called.
std::size_t DrawTier(const ServiceLoad& aLoad, std::uint64_t& aRandom);

/// Draws a target of the tier, which must have one, in proportion to the shares; returns its
/// position in targets_.
std::size_t DrawTarget(const ServiceLoad& aLoad, std::size_t aTier, std::uint64_t& aRandom);

} // namespace peridotquay
