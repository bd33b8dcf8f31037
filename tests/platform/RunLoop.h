// Runs an event loop in a test.
#pragma once

#include "peridotquay/connection/EventLoop.h"

#include <functional>

namespace peridotquay::testing {

/// Runs the loop until a condition holds or the time is up, and returns whether it holds.
inline bool RunUntil(EventLoop& aLoop, Duration aTimeout, const std::function<bool()>& aCondition)
{
  const TimePoint end = aLoop.Now() + aTimeout;
  const std::function<void()> check = [&] {
    if (aCondition() || aLoop.Now() >= end) {
      aLoop.Stop();
    } else {
      aLoop.After(milliseconds(5), check);
    }
  };
  aLoop.After(Duration::zero(), check);
  aLoop.Run();
  return aCondition();
}

inline void RunFor(EventLoop& aLoop, Duration aTime)
{
  RunUntil(aLoop, aTime, [] { return false; });
}

} // namespace peridotquay::testing
