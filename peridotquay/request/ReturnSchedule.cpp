// Recognises callers that return after a refusal.
#include "peridotquay/request/ReturnSchedule.h"

#include <algorithm>

namespace peridotquay {

Duration WaitedTime(StatedDeadlines& aState,
                    const RouteId& aRoute,
                    Duration aDeadline,
                    TimePoint aNow)
{
  auto found = aState.routes_.find(aRoute);
  if (found == aState.routes_.end()) {
    if (aState.routes_.size() >= kMaxDeadlineRoutes) {
      return Duration::zero();
    }
    found = aState.routes_.emplace(aRoute, RouteDeadlines{ {}, {}, aNow }).first;
  }
  RouteDeadlines& route = found->second;
  const Duration age = aNow - route.periodStart_;
  if (age >= kDeadlinePeriod) {
    route.longestBefore_ = age < 2 * kDeadlinePeriod ? route.longest_ : Duration::zero();
    route.longest_ = Duration::zero();
    route.periodStart_ = aNow;
  }
  route.longest_ = std::max(route.longest_, aDeadline);
  const Duration waited = std::max(route.longest_, route.longestBefore_) - aDeadline;
  return waited < kMinWaitedTime ? Duration::zero() : waited;
}

} // namespace peridotquay
