// Keeps the longest duration in two periods, so that memory doesn't grow with the number of calls.
#include "peridotquay/request/LongestDuration.h"

#include <algorithm>

namespace peridotquay {

namespace {

/// The state at aNow: periods that have ended are moved on.
LongestDuration Advanced(const LongestDuration& aLongest, TimePoint aNow)
{
  const Duration age = aNow - aLongest.startedAt_;
  if (age < kDurationPeriod) {
    return aLongest;
  }
  LongestDuration advanced;
  advanced.startedAt_ = aNow - age % kDurationPeriod;
  if (age < 2 * kDurationPeriod) {
    advanced.previous_ = aLongest.current_;
  }
  return advanced;
}

} // namespace

void RecordDuration(LongestDuration& aLongest, Duration aDuration, TimePoint aNow)
{
  aLongest = Advanced(aLongest, aNow);
  aLongest.current_.longest_ = std::max(aLongest.current_.longest_, aDuration);
  ++aLongest.current_.count_;
}

std::optional<Duration> LongestRecentDuration(const LongestDuration& aLongest, TimePoint aNow)
{
  const LongestDuration recent = Advanced(aLongest, aNow);
  if (recent.current_.count_ + recent.previous_.count_ < kMinDurations) {
    return std::nullopt;
  }
  return std::max(recent.current_.longest_, recent.previous_.longest_);
}

} // namespace peridotquay
