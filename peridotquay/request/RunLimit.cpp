// Adapts the limits of runs to the overload of deeper services.
#include "peridotquay/request/RunLimit.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotquay {

namespace {

/// The counts of deeper calls halve in this time.
constexpr double kOverloadHalfLifeSeconds = 0.3;

/// With fewer recent deeper calls, a single one would be a large part of them.
constexpr double kMinDeeperCalls = 3;

/// Waiting calls of a guard, as fractions of its limit, between which its overload rises from 0 to
/// 1. Calls that come together queue for a moment below the first one.
constexpr double kMinQueueFraction = 0.1;
constexpr double kMaxQueueFraction = 0.8;

/// Weight of a run's time in the moving average.
constexpr double kRunTimeWeight = 0.1;

/// Bounds of the retry hint in seconds, and its jitter to either side, which spreads the returning
/// callers.
constexpr double kMinRetryAfterSeconds = 0.1;
constexpr double kMaxRetryAfterSeconds = 3.0;
constexpr double kRetryAfterJitter = 0.3;

/// Places kept for returning requests halve in this time, so that callers which don't come back
/// cost little. At most this part of a limit is kept: new requests aren't starved.
constexpr double kReturningHalfLifeSeconds = 0.3;
constexpr double kMaxReturningFraction = 0.8;

/// Below this count no place is kept, and the entry may be removed.
constexpr double kMinRefusedReturns = 0.5;

double Decay(const OverloadMeter& aMeter, TimePoint aNow)
{
  return std::exp2(-std::max(0.0, ToSeconds(aNow - aMeter.updatedAt_)) / kOverloadHalfLifeSeconds);
}

RouteRuns* FindRoute(RunLimitState& aState, const RouteId& aRoute)
{
  const auto found = aState.routes_.find(aRoute);
  if (found != aState.routes_.end()) {
    return &found->second;
  }
  return aState.routes_.size() < kMaxLimitedRoutes ? &aState.routes_[aRoute] : nullptr;
}

void ResetWindow(RouteRuns& aRoute, TimePoint aNow)
{
  aRoute.windowStart_ = aNow;
  aRoute.windowEnded_ = 0;
  aRoute.windowFailed_ = 0;
  aRoute.windowRefused_ = 0;
  aRoute.windowPeak_ = aRoute.running_;
}

bool IsWindowOver(const RunLimitSettings& aSettings, const RouteRuns& aRoute, TimePoint aNow)
{
  const Duration age = aNow - aRoute.windowStart_;
  return age >= aSettings.minWindow_ && ToSeconds(age) >= 0.5 * aRoute.usualSeconds_;
}

/// Sets the limit to a factor of the present one, or of the runs of the window without one.
void ScaleLimit(const RunLimitSettings& aSettings, RouteRuns& aRoute, double aFactor)
{
  const double peak = std::max(1U, aRoute.windowPeak_);
  // A limit far above the runs would take many windows to have an effect.
  const double before =
    aRoute.limit_ ? (aFactor < 1 ? std::min(*aRoute.limit_, peak) : *aRoute.limit_) : peak;
  const double step = aFactor > 1 ? std::max(1.0, before * (aFactor - 1)) : before * (aFactor - 1);
  aRoute.limit_ = std::max(aSettings.minLimit_, before + step);
}

void EndWindow(RunLimitState& aState, RouteRuns& aRoute, TimePoint aNow)
{
  const RunLimitSettings& settings = aState.settings_;
  const double overload = DeeperOverload(aState, aNow);
  const bool isOverloaded = overload > settings.targetOverload_;
  const double failed =
    aRoute.windowEnded_ < settings.minRunsPerWindow_
      ? 0
      : static_cast<double>(aRoute.windowFailed_) / static_cast<double>(aRoute.windowEnded_);
  const bool isSlower = aRoute.usualSeconds_ > 0 &&
                        aRoute.overloadedSeconds_ >= settings.minSlowdown_ * aRoute.usualSeconds_;
  if (isOverloaded && (isSlower || failed >= settings.minFailedFraction_)) {
    aRoute.dependentUntil_ = aNow + settings.dependence_;
  }
  if (isOverloaded && aNow < aRoute.dependentUntil_) {
    aRoute.limitReachedAt_ = aNow;
    aRoute.decreasedAt_ = aNow;
    const double excess = (overload - settings.targetOverload_) / (1 - settings.targetOverload_);
    ScaleLimit(
      settings,
      aRoute,
      1 - std::min(std::max(excess * settings.maxOverloadStep_, failed), settings.maxDecrease_));
  } else if (aRoute.limit_) {
    if (aNow - aRoute.limitReachedAt_ >= settings.unusedLimitLifetime_) {
      aRoute.limit_.reset();
    } else if (aRoute.windowRefused_ > 0 && !isOverloaded) {
      ScaleLimit(
        settings, aRoute, 1 + settings.maxGrowth_ * (1 - overload / settings.targetOverload_));
    }
  }
  ResetWindow(aRoute, aNow);
}

void RecordRunTime(const RunLimitState& aState, RouteRuns& aRoute, double aSeconds, TimePoint aNow)
{
  const bool isOverloaded = DeeperOverload(aState, aNow) > aState.settings_.targetOverload_ / 4;
  double& mean = isOverloaded ? aRoute.overloadedSeconds_ : aRoute.usualSeconds_;
  if (!isOverloaded) {
    aRoute.overloadedSeconds_ = 0;
  }
  mean = mean <= 0 ? std::max(aRoute.usualSeconds_, aSeconds)
                   : mean + kRunTimeWeight * (aSeconds - mean);
}

double RefusedReturnsNow(const RefusedReturns& aRefused, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aRefused.updatedAt_));
  return aRefused.count_ * std::exp2(-age / kReturningHalfLifeSeconds);
}

/// Counts a returning request that is about to begin or to be refused. Returns how many places of
/// the limit are kept from the request, if it is a new one.
double UpdateRefusedReturns(RouteRuns& aRoute,
                            const ClientAccountId& aAccount,
                            bool aIsReturning,
                            TimePoint aNow)
{
  auto& accounts = aRoute.returningRefused_;
  const auto found = accounts.find(aAccount);
  const double refused = found == accounts.end() ? 0 : RefusedReturnsNow(found->second, aNow);
  if (!aIsReturning) {
    return std::floor(std::min(refused, kMaxReturningFraction * *aRoute.limit_));
  }
  const bool begins = aRoute.running_ + 1.0 <= *aRoute.limit_;
  if (begins && found == accounts.end()) {
    return 0;
  }
  if (found == accounts.end() && accounts.size() >= kMaxReturningAccounts) {
    std::erase_if(accounts, [&](const auto& aEntry) {
      return RefusedReturnsNow(aEntry.second, aNow) < kMinRefusedReturns;
    });
    if (accounts.size() >= kMaxReturningAccounts) {
      return 0;
    }
  }
  accounts[aAccount] = { begins ? std::max(0.0, refused - 1)
                                : std::min(refused + 1, *aRoute.limit_),
                         aNow };
  return 0;
}

} // namespace

void RecordDeeperCall(RunLimitState& aState, double aOverload, TimePoint aNow)
{
  OverloadMeter& meter = aState.deeperCalls_;
  const double decay = Decay(meter, aNow);
  meter.overloaded_ = meter.overloaded_ * decay + std::clamp(aOverload, 0.0, 1.0);
  meter.total_ = meter.total_ * decay + 1;
  meter.updatedAt_ = aNow;
}

double CallOverload(std::uint32_t aQueued, std::uint32_t aLimit, double aDeeperOverload)
{
  const double queue = aLimit == 0 ? 0 : static_cast<double>(aQueued) / static_cast<double>(aLimit);
  const double own = (queue - kMinQueueFraction) / (kMaxQueueFraction - kMinQueueFraction);
  return std::clamp(std::max(own, aDeeperOverload), 0.0, 1.0);
}

double DeeperOverload(const RunLimitState& aState, TimePoint aNow)
{
  const OverloadMeter& meter = aState.deeperCalls_;
  return meter.total_ * Decay(meter, aNow) < kMinDeeperCalls ? 0 : meter.overloaded_ / meter.total_;
}

bool TryBeginRun(RunLimitState& aState,
                 const RouteId& aRoute,
                 TimePoint aNow,
                 const ClientAccountId& aAccount,
                 bool aIsReturning)
{
  RouteRuns* route = FindRoute(aState, aRoute);
  if (route == nullptr) {
    return true;
  }
  if (route->windowStart_ == TimePoint{} || IsWindowOver(aState.settings_, *route, aNow)) {
    EndWindow(aState, *route, aNow);
  }
  if (route->limit_ && aState.settings_.enabled_) {
    const double wanted = route->running_ + 1.0;
    if (wanted + 1 > *route->limit_) {
      route->limitReachedAt_ = aNow;
    }
    if (wanted > *route->limit_) {
      ++route->windowRefused_;
    }
    const double kept = aState.settings_.capacityScheduling_
                          ? UpdateRefusedReturns(*route, aAccount, aIsReturning, aNow)
                          : 0;
    if (wanted + kept > *route->limit_) {
      return false;
    }
  }
  ++route->running_;
  route->windowPeak_ = std::max(route->windowPeak_, route->running_);
  return true;
}

std::uint32_t RunRetryAfterMs(RunLimitState& aState, const RouteId& aRoute, Duration aObjective)
{
  const RouteRuns* route = FindRoute(aState, aRoute);
  const double usualSeconds = route == nullptr ? 0 : route->usualSeconds_;
  double waitSeconds = usualSeconds;
  if (aObjective > Duration::zero()) {
    waitSeconds = std::min(waitSeconds, ToSeconds(aObjective) - 1.5 * usualSeconds);
  }
  waitSeconds = std::clamp(waitSeconds, kMinRetryAfterSeconds, kMaxRetryAfterSeconds);
  const double jitter = 1 + kRetryAfterJitter * (2 * RandomFraction(aState.random_) - 1);
  return static_cast<std::uint32_t>(1000 * waitSeconds * jitter);
}

void EndRun(RunLimitState& aState,
            const RouteId& aRoute,
            RunResult aResult,
            Duration aTime,
            TimePoint aNow)
{
  const auto found = aState.routes_.find(aRoute);
  if (found == aState.routes_.end()) {
    return;
  }
  RouteRuns& route = found->second;
  assert(route.running_ > 0);
  route.running_ -= route.running_ > 0 ? 1 : 0;
  if (aResult != RunResult::kNoResult && aNow - aTime >= route.decreasedAt_) {
    ++route.windowEnded_;
    route.windowFailed_ += aResult == RunResult::kFailed ? 1 : 0;
  }
  if (aResult == RunResult::kSucceeded) {
    RecordRunTime(aState, route, std::max(0.0, ToSeconds(aTime)), aNow);
  }
  if (IsWindowOver(aState.settings_, route, aNow)) {
    EndWindow(aState, route, aNow);
  }
}

} // namespace peridotquay
