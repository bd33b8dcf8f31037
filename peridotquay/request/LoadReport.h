// Load of one target as its guard reports it to the hosts that choose targets.
#pragma once

#include <cstdint>

namespace peridotquay {

/// Load of a target when its guard reported it. The counts are the guard's own: every call of the
/// target passes through it.
struct LoadReport
{
  std::uint32_t running_ = 0;     ///< Calls running at the target.
  std::uint32_t queued_ = 0;      ///< Calls queued at the guard.
  std::uint32_t limit_ = 0;       ///< Calls that the guard runs at once.
  std::uint32_t workPercent_ = 0; ///< Stated duration of work, 100 is the usual one; 0 if unknown.
  std::uint32_t ageMs_ = 0;       ///< Age of the figures when the message was sent.
  bool operator==(const LoadReport&) const = default;
};

} // namespace peridotquay
