// Recognises callers that return after a refusal by the deadlines that they state.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>

namespace peridotquay {

/// Longest deadline that requests of one route stated in the present period and in the one before.
struct RouteDeadlines
{
  Duration longest_{};
  Duration longestBefore_{};
  TimePoint periodStart_{};
};

/// Deadlines stated by a host's callers. Changed only by WaitedTime.
struct StatedDeadlines
{
  std::map<RouteId, RouteDeadlines> routes_; ///< At most kMaxDeadlineRoutes.
};

/// Length of a period. Deadlines count for one to two periods.
inline constexpr Duration kDeadlinePeriod = seconds(5);

/// Maximum number of routes whose deadlines are kept; callers of others count as new.
inline constexpr std::size_t kMaxDeadlineRoutes = 256;

/// A caller that has waited for less counts as new: it may have spent that time on its way here.
inline constexpr Duration kMinWaitedTime = milliseconds(20);

/// Records the deadline that a request of the route states and returns for how long its caller has
/// waited already: the difference to the longest deadline that was stated recently. 0 for a first
/// attempt.
Duration WaitedTime(StatedDeadlines& aState,
                    const RouteId& aRoute,
                    Duration aDeadline,
                    TimePoint aNow);

} // namespace peridotquay
