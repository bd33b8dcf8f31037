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

/// Whether a deeper call with aCallDeadline may serve a call with aRunningDeadline. Targets pass
/// the deadline of a call on to its deeper calls.
bool IsDeeperDeadline(TimePoint aCallDeadline, TimePoint aRunningDeadline);

/// Recent calls on an open route, which callers and the local target may use both. Changed only by
/// RecordOpenCall.
struct OpenRouteUse
{
  std::uint32_t calls_ = 0;  ///< At most kMaxOpenCalls.
  std::uint32_t deeper_ = 0; ///< Those with the deadline of a running call; at most calls_.
  bool operator==(const OpenRouteUse&) const = default;
};

/// At this number of calls, the counts are halved.
inline constexpr std::uint32_t kMaxOpenCalls = 64;

/// Records a call. aHasRunningDeadline: its deadline is that of a call that the target runs.
void RecordOpenCall(OpenRouteUse& aUse, bool aHasRunningDeadline);

/// Whether the local target makes most of the calls. Where it doesn't, a caller's deadline equals
/// that of a running call by chance.
bool IsUsedByTarget(const OpenRouteUse& aUse);

} // namespace peridotquay
