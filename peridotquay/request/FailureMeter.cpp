// Exponentially decaying counts of answers and failures.
#include "peridotquay/request/FailureMeter.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

constexpr double kHalfLifeSeconds = 1.0;

/// With fewer recent answers, a single failure would be a large fraction of them.
constexpr double kMinAnswers = 5;

double Decay(const FailureMeter& aMeter, TimePoint aNow)
{
  return std::exp2(-std::max(0.0, ToSeconds(aNow - aMeter.updatedAt_)) / kHalfLifeSeconds);
}

} // namespace

void RecordAnswer(FailureMeter& aMeter, bool aFailed, TimePoint aNow)
{
  const double decay = Decay(aMeter, aNow);
  aMeter.failed_ = aMeter.failed_ * decay + (aFailed ? 1 : 0);
  aMeter.total_ = aMeter.total_ * decay + 1;
  aMeter.updatedAt_ = aNow;
}

std::uint32_t FailurePercent(const FailureMeter& aMeter, TimePoint aNow)
{
  if (aMeter.total_ * Decay(aMeter, aNow) < kMinAnswers) {
    return 0;
  }
  return static_cast<std::uint32_t>(std::lround(100 * aMeter.failed_ / aMeter.total_));
}

} // namespace peridotquay
