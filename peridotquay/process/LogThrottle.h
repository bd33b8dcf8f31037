// Limits the rate of log lines for events that can occur with every call.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// Rate limit for the log lines of one event. Under overload, unlimited logging would cost more
/// than the calls.
struct LogThrottle
{
  std::uint32_t maxLinesPerSecond_ = 10;
  TimePoint secondStartedAt_{};     ///< Start of the current second.
  std::uint32_t linesInSecond_ = 0; ///< Lines allowed in the current second.
  std::uint64_t skipped_ = 0;       ///< Lines skipped since the last one that was allowed.

  /// Returns whether to write a line now. If so, sets aSkipped to the number of lines skipped since
  /// the last one.
  bool Allow(TimePoint aNow, std::uint64_t& aSkipped)
  {
    if (aNow - secondStartedAt_ >= seconds(1)) {
      secondStartedAt_ = aNow;
      linesInSecond_ = 0;
    }
    if (linesInSecond_ >= maxLinesPerSecond_) {
      ++skipped_;
      return false;
    }
    ++linesInSecond_;
    aSkipped = skipped_;
    skipped_ = 0;
    return true;
  }
};

} // namespace peridotquay
