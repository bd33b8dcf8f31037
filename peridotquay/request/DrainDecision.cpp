// Decides whether a host that drains still passes a call on.
#include "peridotquay/request/DrainDecision.h"

namespace peridotquay {

namespace {

/// The next call may take this many times as long as the longest recent one.
constexpr double kDurationMargin = 1.5;

/// Deadlines are stated as the time left, which adds the delay of a call to the target and of the
/// deeper call back to its host.
constexpr Duration kDeadlineTolerance = milliseconds(25);

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
  return difference <= kDeadlineTolerance && difference >= -kDeadlineTolerance;
}

} // namespace peridotquay
