// Longest duration of the recent calls of one route, as an estimate of how long the next one may
// take.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <optional>

namespace peridotquay {

/// Durations of the calls that ended in one period.
struct DurationPeriod
{
  Duration longest_{};
  std::uint32_t count_ = 0; ///< 0 only if longest_ is zero.
  bool operator==(const DurationPeriod&) const = default;
};

/// The current period and the one before it. Changed only by RecordDuration.
struct LongestDuration
{
  TimePoint startedAt_{}; ///< Start of current_; zero before the first call.
  DurationPeriod current_;
  DurationPeriod previous_; ///< Ended at startedAt_.
  bool operator==(const LongestDuration&) const = default;
};

/// Length of a period. A call counts for one to two periods.
inline constexpr Duration kDurationPeriod = seconds(30);

/// With fewer recent calls, the longest of them says little about the next one.
inline constexpr std::uint32_t kMinDurations = 8;

/// Records that a call took aDuration and ended at aNow.
void RecordDuration(LongestDuration& aLongest, Duration aDuration, TimePoint aNow);

/// The longest duration of the recent calls; empty if there are fewer than kMinDurations.
std::optional<Duration> LongestRecentDuration(const LongestDuration& aLongest, TimePoint aNow);

} // namespace peridotquay
