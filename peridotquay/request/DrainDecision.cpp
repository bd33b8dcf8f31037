// Decides whether a host that drains still passes a call on.
#include "peridotquay/request/DrainDecision.h"

namespace peridotquay {

namespace {

/// The next call may take this many times as long as the longest recent one.
constexpr double kDurationMargin = 1.5;

/// A stated deadline is cut to whole milliseconds at each of the two steps.
constexpr Duration kMaxDeadlineRounding = milliseconds(3);

/// Time that a call needs to the target and its deeper call back to the host, which a deadline that
/// is stated as the time left doesn't include.
constexpr Duration kMaxDeadlineDelay = milliseconds(15);

/// A target that uses a route makes at least this many of its recent calls, and this part of them.
constexpr std::uint32_t kMinDeeperCalls = 3;
constexpr std::uint32_t kMinDeeperPercent = 50;

} // namespace

std::string_view DrainDecisionName(DrainDecision aDecision)
{
  switch (aDecision) {
    case DrainDecision::kEndsByDeadline:
      return "ends-by-deadline";
    case DrainDecision::kServesRunningCall:
      return "serves-running-call";
    case DrainDecision::kEndsByDuration:
      return "ends-by-duration";
    case DrainDecision::kRefuse:
      return "refuse";
  }
  return "";
}

DrainDecision DecideDuringDrain(const DrainingCall& aCall, TimePoint aEndsAt, TimePoint aNow)
{
  if (aCall.deadline_ <= aEndsAt) {
    return DrainDecision::kEndsByDeadline;
  }
  if (aCall.servesRunningCall_) {
    return DrainDecision::kServesRunningCall;
  }
  const bool fits =
    aCall.longestDuration_ &&
    kDurationMargin * ToSeconds(*aCall.longestDuration_) <= ToSeconds(aEndsAt - aNow);
  return fits ? DrainDecision::kEndsByDuration : DrainDecision::kRefuse;
}

bool IsDeeperDeadline(TimePoint aCallDeadline, TimePoint aRunningDeadline)
{
  const Duration difference = aCallDeadline - aRunningDeadline;
  return difference <= kMaxDeadlineDelay && difference >= -kMaxDeadlineRounding;
}

void RecordOpenCall(OpenRouteUse& aUse, bool aHasRunningDeadline)
{
  if (aUse.calls_ >= kMaxOpenCalls) {
    aUse.calls_ /= 2;
    aUse.deeper_ /= 2;
  }
  ++aUse.calls_;
  aUse.deeper_ += aHasRunningDeadline ? 1 : 0;
}

bool IsUsedByTarget(const OpenRouteUse& aUse)
{
  return aUse.deeper_ >= kMinDeeperCalls && 100 * aUse.deeper_ >= kMinDeeperPercent * aUse.calls_;
}

} // namespace peridotquay
