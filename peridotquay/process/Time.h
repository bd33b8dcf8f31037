// Time types. Decision code receives the current time as an argument; the code that calls it reads
// the clock of the actor system or of the event loop.
#pragma once

#include <chrono>
#include <ctime>

namespace peridotquay {

/// Monotonic clock; also the clock type of CAF's actor clock.
using Clock = std::chrono::steady_clock;

/// A point on the monotonic clock of this process. Never sent to another process.
using TimePoint = Clock::time_point;

/// A length of time in nanoseconds.
using Duration = Clock::duration;

using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

/// Total time that this host was suspended since it booted, which the monotonic clock leaves out.
inline Duration SuspendedTime()
{
  const auto read = [](clockid_t aClock) {
    timespec time{};
    clock_gettime(aClock, &time);
    return seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
  };
  return read(CLOCK_BOOTTIME) - read(CLOCK_MONOTONIC);
}

/// Converts a duration to fractional seconds.
inline double ToSeconds(Duration aDuration)
{
  return std::chrono::duration<double>(aDuration).count();
}

} // namespace peridotquay
