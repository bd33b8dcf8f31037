// Token bucket of the rate that a target states, and the slow start before its first answer.
#include "peridotquay/request/StartRate.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

// The number of first calls doubles at most this often, which is more than any target has slots.
constexpr double kMaxDoublings = 16;

void Refill(StartRateState& aState, TimePoint aNow)
{
  aState.isCold_ = aState.isCold_ && aNow < aState.coldUntil_;
  const auto rate = AllowedPerSecond(aState, aNow);
  if (!rate) {
    return;
  }
  const double capacity = std::max(1.0, *rate * ToSeconds(aState.settings_.burst_));
  const double elapsed = std::max(0.0, ToSeconds(aNow - aState.refilledAt_));
  aState.tokens_ = std::min(capacity, aState.tokens_ + elapsed * *rate);
  aState.refilledAt_ = std::max(aState.refilledAt_, aNow);
}

/// Runs a change of the limits. Calls that started before a limit count against it, so a new one
/// begins without tokens.
template<typename Change>
void ChangeLimits(StartRateState& aState, TimePoint aNow, Change aChange)
{
  Refill(aState, aNow);
  const bool wasLimited = AllowedPerSecond(aState, aNow).has_value();
  aChange();
  if (!wasLimited) {
    aState.tokens_ = 0;
    aState.refilledAt_ = aNow;
  }
}

double MaxFirstCalls(const StartRateState& aState, TimePoint aNow)
{
  const double first = aState.settings_.firstCalls_;
  if (aState.firstStartAt_ == TimePoint{}) {
    return first;
  }
  const double doublings = std::floor(ToSeconds(aNow - aState.firstStartAt_) /
                                      ToSeconds(aState.settings_.firstCallsDoubling_));
  return first * std::exp2(std::clamp(doublings, 0.0, kMaxDoublings));
}

} // namespace

void ResetStartRate(StartRateState& aState, TimePoint aNow)
{
  StartRateState fresh;
  fresh.settings_ = aState.settings_;
  fresh.isProven_ = false;
  fresh.coldPerSecond_ = aState.coldPerSecond_;
  fresh.isCold_ = true;
  fresh.coldUntil_ = TimePoint::max();
  fresh.coldStatedAt_ = aNow;
  // The host may have restarted and have started calls of this target just before.
  fresh.refilledAt_ = aNow;
  aState = fresh;
}

void RecordStatedRate(StartRateState& aState,
                      const std::optional<double>& aPerSecond,
                      TimePoint aCallStartedAt,
                      TimePoint aNow)
{
  aState.isProven_ = true;
  if (aPerSecond) {
    ChangeLimits(aState, aNow, [&] { aState.perSecond_ = aPerSecond; });
    aState.statedAt_ = aNow;
  } else if (aState.perSecond_ && aCallStartedAt > aState.statedAt_) {
    aState.perSecond_.reset();
  }
}

void SetColdRate(StartRateState& aState, double aPerSecond, TimePoint aNow)
{
  ChangeLimits(aState, aNow, [&] { aState.coldPerSecond_ = aPerSecond; });
}

void RecordCold(StartRateState& aState,
                Duration aRemaining,
                TimePoint aNow,
                const std::optional<TimePoint>& aCallStartedAt)
{
  const bool isEarlier = aCallStartedAt && *aCallStartedAt <= aState.coldStatedAt_;
  if (isEarlier && aState.isCold_ && aNow + aRemaining < aState.coldUntil_) {
    return;
  }
  ChangeLimits(aState, aNow, [&] {
    aState.isCold_ = aRemaining > Duration::zero();
    aState.coldUntil_ = aNow + aRemaining;
  });
  if (aState.isCold_) {
    aState.coldStatedAt_ = aNow;
  }
}

void AssumeCold(StartRateState& aState, TimePoint aNow)
{
  ChangeLimits(aState, aNow, [&] {
    aState.isCold_ = true;
    aState.coldUntil_ = TimePoint::max();
  });
  aState.coldStatedAt_ = aNow;
}

std::optional<double> ColdPerSecond(const StartRateState& aState, TimePoint aNow)
{
  if (!aState.isCold_ || aNow >= aState.coldUntil_ || aState.coldPerSecond_ <= 0) {
    return std::nullopt;
  }
  return aState.settings_.coldRateFraction_ * aState.coldPerSecond_;
}

void UpdateStartRate(StartRateState& aState, TimePoint aNow)
{
  Refill(aState, aNow);
}

bool MayStart(StartRateState& aState, std::uint32_t aRunning, TimePoint aNow)
{
  if (!aState.isProven_ && aRunning >= MaxFirstCalls(aState, aNow)) {
    return false;
  }
  Refill(aState, aNow);
  return !AllowedPerSecond(aState, aNow) || aState.tokens_ >= 1;
}

void RecordStart(StartRateState& aState, TimePoint aNow)
{
  if (AllowedPerSecond(aState, aNow)) {
    aState.tokens_ -= 1;
  }
  if (!aState.isProven_ && aState.firstStartAt_ == TimePoint{}) {
    aState.firstStartAt_ = aNow;
  }
}

std::optional<double> AllowedPerSecond(const StartRateState& aState, TimePoint aNow)
{
  const std::optional<double> cold = ColdPerSecond(aState, aNow);
  if (!aState.perSecond_) {
    return cold;
  }
  const double stated = std::max(*aState.perSecond_, aState.settings_.minPerSecond_);
  return cold ? std::min(stated, *cold) : stated;
}

} // namespace peridotquay
