// Limits the rate of log lines for events that can occur with every call.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// Rate limit of one event. Under overload unlimited logging would cost more than the calls.
struct LogThrottle
{
  std::uint32_t perSecond_ = 10;
  TimePoint second_{};        ///< Start of the current second.
  std::uint32_t logged_ = 0;  ///< Lines in the current second.
  std::uint64_t skipped_ = 0; ///< Lines left out since the last one that was allowed.

  /// Whether to write a line now. If so, aSkipped is set to the number of lines left out before it.
  bool Allow(TimePoint aNow, std::uint64_t& aSkipped)
  {
    if (aNow - second_ >= seconds(1)) {
      second_ = aNow;
      logged_ = 0;
    }
    if (logged_ >= perSecond_) {
      ++skipped_;
      return false;
    }
    ++logged_;
    aSkipped = skipped_;
    skipped_ = 0;
    return true;
  }
};

} // namespace peridotquay
