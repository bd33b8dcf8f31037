// Limits the runs that a guard starts while a deeper service can't serve the calls of all of them.
// A run that would fail in a deeper call is refused before the target works on it. How overloaded
// deeper services are is measured at the target's deeper calls and passed up the call graph with
// the answers of guards, as in Breakwater and DAGOR; the limit of each route follows it in the
// manner of DCTCP.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace peridotquay {

/// Thresholds and steps of the limits.
struct RunLimitSettings
{
  bool enabled_ = true; ///< If false, no run is refused.
  /// Whether the target states how long its work takes at present. Returning requests then begin
  /// before new ones of their account.
  bool capacityScheduling_ = false;
  /// A limit is adapted at most this often, and at most once in half the usual time of a run.
  Duration minWindow_ = milliseconds(200);
  std::uint32_t minRunsPerWindow_ = 4; ///< With fewer ended runs, their failures don't count.
  /// Overload of deeper calls at which limits stay as they are: a short queue keeps the deeper
  /// service busy.
  double targetOverload_ = 0.35;
  /// Fraction of failed runs of a route, or ratio of the time of its runs to their usual time,
  /// which shows while deeper calls are overloaded that the route needs them.
  double minFailedFraction_ = 0.1;
  double minSlowdown_ = 1.4;
  /// Largest growth of a limit in one window, and largest decreases by the overload of deeper calls
  /// and by failed runs.
  double maxGrowth_ = 0.4;
  double maxOverloadStep_ = 0.1;
  double maxDecrease_ = 0.5;
  double minLimit_ = 1; ///< Keeps some runs going, which show when there is room again.
  Duration dependence_ = seconds(60); ///< For this long a route is known to need deeper calls.
  /// A limit that wasn't reached for this long is removed.
  Duration unusedLimitLifetime_ = seconds(3);
  bool operator==(const RunLimitSettings&) const = default;
};

/// Decaying counts of deeper calls, and of those that were refused, late or queued long.
struct OverloadMeter
{
  double overloaded_ = 0;
  double total_ = 0; ///< At least overloaded_.
  TimePoint updatedAt_{};
  bool operator==(const OverloadMeter&) const = default;
};

/// Refused returning requests of one account for which none has begun since; decays. So many places
/// of the limit are kept from new requests of the account.
struct RefusedReturns
{
  double count_ = 0;
  TimePoint updatedAt_{};
  bool operator==(const RefusedReturns&) const = default;
};

/// Maximum number of accounts of a route for whose returning requests places are kept.
inline constexpr std::size_t kMaxReturningAccounts = 256;

/// Runs of one route at this guard.
struct RouteRuns
{
  std::uint32_t running_ = 0;
  std::optional<double> limit_; ///< Runs that may execute at once; empty: no limit.
  TimePoint dependentUntil_{};  ///< Until then the route is known to need deeper calls.
  TimePoint limitReachedAt_{};  ///< When a run was refused, or the last one within the limit began.
  /// Moving averages of the times of successful runs, without overload and during the present one.
  double usualSeconds_ = 0;
  double overloadedSeconds_ = 0; ///< 0 without overload.
  TimePoint decreasedAt_{};      ///< When the limit was lowered last. Runs from before don't count.
  TimePoint windowStart_{};
  std::uint32_t windowEnded_ = 0;
  std::uint32_t windowFailed_ = 0; ///< At most windowEnded_.
  std::uint32_t windowRefused_ = 0;
  std::uint32_t windowPeak_ = 0; ///< Most runs at once in the window.
  /// By account, at most kMaxReturningAccounts.
  std::map<ClientAccountId, RefusedReturns> returningRefused_;
  bool operator==(const RouteRuns&) const = default;
};

/// State of one guard. Changed only by the functions below.
struct RunLimitState
{
  RunLimitSettings settings_;
  OverloadMeter deeperCalls_;
  std::map<RouteId, RouteRuns> routes_;          ///< At most kMaxLimitedRoutes.
  std::uint64_t random_ = 0x9E3779B97F4A7C15ULL; ///< State of the random generator.
};

/// Maximum number of routes with a limit of their own; runs of further routes aren't limited.
inline constexpr std::size_t kMaxLimitedRoutes = 256;

/// Records a deeper call of the target. aOverload is 1 if it was refused or late for lack of room,
/// otherwise what CallOverload returned for its answer.
void RecordDeeperCall(RunLimitState& aState, double aOverload, TimePoint aNow);

/// How overloaded a guard's answer shows the called service and those below it to be, from 0 to 1.
/// aQueued and aLimit are the guard's waiting calls and its concurrency limit, aDeeperOverload
/// what its DeeperOverload returned.
double CallOverload(std::uint32_t aQueued, std::uint32_t aLimit, double aDeeperOverload);

/// Overload of the target's recent deeper calls, from 0 to 1; sent with each answer.
double DeeperOverload(const RunLimitState& aState, TimePoint aNow);

/// Begins a run of the route; false if deeper services have no room for it. Every run that began
/// must be ended by EndRun. aIsReturning: its caller comes back after a refusal; it then takes
/// precedence over new requests of the same account.
bool TryBeginRun(RunLimitState& aState,
                 const RouteId& aRoute,
                 TimePoint aNow,
                 const ClientAccountId& aAccount = {},
                 bool aIsReturning = false);

/// After how many milliseconds the caller of a refused run should try again: after about a run,
/// when another one has made room, but early enough to be served within the route's latency
/// objective, if aObjective isn't 0.
std::uint32_t RunRetryAfterMs(RunLimitState& aState, const RouteId& aRoute, Duration aObjective);

/// How a run ended, as the limits need it.
enum class RunResult : std::uint8_t
{
  kSucceeded,
  kFailed,  ///< The target answered with a failure, or the deadline passed.
  kNoResult ///< The run was refused or cancelled, which says nothing about deeper services.
};

/// Ends a run and adapts the limit of its route.
void EndRun(RunLimitState& aState,
            const RouteId& aRoute,
            RunResult aResult,
            Duration aTime,
            TimePoint aNow);

} // namespace peridotquay
