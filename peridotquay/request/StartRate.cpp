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
  const auto rate = AllowedPerSecond(aState);
  if (!rate) {
    return;
  }
  const double capacity = std::max(1.0, *rate * ToSeconds(aState.settings_.burst_));
  const double elapsed = std::max(0.0, ToSeconds(aNow - aState.refilledAt_));
  aState.tokens_ = std::min(capacity, aState.tokens_ + elapsed * *rate);
  aState.refilledAt_ = std::max(aState.refilledAt_, aNow);
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

void ResetStartRate(StartRateState& aState)
{
  StartRateState fresh;
  fresh.settings_ = aState.settings_;
  fresh.isProven_ = false;
  aState = fresh;
}

void RecordStatedRate(StartRateState& aState,
                      const std::optional<double>& aPerSecond,
                      TimePoint aCallStartedAt,
                      TimePoint aNow)
{
  aState.isProven_ = true;
  if (aPerSecond) {
    Refill(aState, aNow);
    if (!aState.perSecond_) {
      // Calls that started before the statement count against it.
      aState.tokens_ = 0;
      aState.refilledAt_ = aNow;
    }
    aState.perSecond_ = aPerSecond;
    aState.statedAt_ = aNow;
  } else if (aState.perSecond_ && aCallStartedAt > aState.statedAt_) {
    aState.perSecond_.reset();
  }
}

bool MayStart(StartRateState& aState, std::uint32_t aRunning, TimePoint aNow)
{
  if (!aState.isProven_ && aRunning >= MaxFirstCalls(aState, aNow)) {
    return false;
  }
  Refill(aState, aNow);
  return !aState.perSecond_ || aState.tokens_ >= 1;
}

void RecordStart(StartRateState& aState, TimePoint aNow)
{
  if (aState.perSecond_) {
    aState.tokens_ -= 1;
  }
  if (!aState.isProven_ && aState.firstStartAt_ == TimePoint{}) {
    aState.firstStartAt_ = aNow;
  }
}

std::optional<double> AllowedPerSecond(const StartRateState& aState)
{
  if (!aState.perSecond_) {
    return std::nullopt;
  }
  return std::max(*aState.perSecond_, aState.settings_.minPerSecond_);
}

} // namespace peridotquay
