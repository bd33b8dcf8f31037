// Decides whether a host that drains still passes a call on. Its own target's running calls may
// need deeper calls until the drain ends, but a call that is still running then is cut.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotquay {

/// Why a call is passed on during a drain, or that it isn't.
enum class DrainDecision : std::uint8_t
{
  kEndsByDeadline,    ///< Its deadline passes before the drain ends.
  kServesRunningCall, ///< The local target makes it for a call that it runs.
  kEndsByDuration,    ///< Calls of its route take so little time that it ends before the drain.
  kRefuse             ///< It may still be running when the drain ends.
};

/// Name for logs.
std::string_view DrainDecisionName(DrainDecision aDecision);

/// What is known about a call that is to be passed on.
struct DrainingCall
{
  TimePoint deadline_{}; ///< When it ends without an answer.
  bool servesRunningCall_ = false;
  /// Longest duration of recent calls of its route; empty if too few are known.
  std::optional<Duration> longestDuration_;
  bool operator==(const DrainingCall&) const = default;
};

/// Decides about a call at aNow during a drain that ends at aEndsAt.
DrainDecision DecideDuringDrain(const DrainingCall& aCall, TimePoint aEndsAt, TimePoint aNow);

/// Whether a deeper call with aCallDeadline serves a call with aRunningDeadline. Targets pass the
/// deadline of a call on to its deeper calls.
bool IsDeeperDeadline(TimePoint aCallDeadline, TimePoint aRunningDeadline);

} // namespace peridotquay
