// Limits how often an event is logged that can occur with each call.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// One for each event. Under overload an unlimited log would cost more than the calls themselves.
struct LogThrottle
{
  std::uint32_t perSecond_ = 10;
  TimePoint second_{};        ///< Start of the present second.
  std::uint32_t logged_ = 0;  ///< In the present second.
  std::uint64_t skipped_ = 0; ///< Since the last line that was allowed.

  /// Whether to write a line now. aSkipped is the number of lines left out before it.
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
