// Recognises callers that return after a refusal and schedules their returns.
#include "peridotquay/request/ReturnSchedule.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cmath>
#include <iterator>
#include <numbers>

namespace peridotquay {

namespace {

/// The count of ended runs halves in this time.
constexpr double kEndsHalfLifeSeconds = 0.5;

/// Weight of one booking in the moving average of those that are used, and bounds of the average.
/// It stays above 0 so that it can rise again.
constexpr double kUsedWeight = 0.02;
constexpr double kMinUsedFraction = 0.02;

void RecordUse(ReturnSchedule& aState, bool aIsUsed)
{
  aState.usedFraction_ += kUsedWeight * ((aIsUsed ? 1 : 0) - aState.usedFraction_);
  aState.usedFraction_ = std::max(kMinUsedFraction, aState.usedFraction_);
}

void RemoveExpired(ReturnSchedule& aState, TimePoint aNow)
{
  while (!aState.booked_.empty() &&
         aState.booked_.front().dueAt_ + aState.settings_.grace_ < aNow) {
    aState.booked_.pop_front();
    RecordUse(aState, false);
  }
}

double Ends(const ReturnSchedule& aState, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aState.endsUpdatedAt_));
  return aState.ends_ * std::exp2(-age / kEndsHalfLifeSeconds);
}

} // namespace

Duration WaitedTime(StatedDeadlines& aState,
                    const std::pair<RouteId, ClientAccountId>& aKey,
                    Duration aDeadline,
                    TimePoint aNow)
{
  if (aDeadline <= Duration::zero()) {
    return Duration::zero();
  }
  if (aNow - aState.cleanedAt_ >= kDeadlinePeriod) {
    aState.cleanedAt_ = aNow;
    std::erase_if(aState.entries_, [&](const auto& aEntry) {
      return aNow - aEntry.second.periodStart_ >= 2 * kDeadlinePeriod;
    });
  }
  auto found = aState.entries_.find(aKey);
  if (found == aState.entries_.end()) {
    if (aState.entries_.size() >= kMaxStatedDeadlines) {
      return Duration::zero();
    }
    found = aState.entries_.emplace(aKey, LongestDeadlines{ {}, {}, aNow }).first;
  }
  LongestDeadlines& entry = found->second;
  const Duration age = aNow - entry.periodStart_;
  if (age >= kDeadlinePeriod) {
    entry.longestBefore_ = age < 2 * kDeadlinePeriod ? entry.longest_ : Duration::zero();
    entry.longest_ = Duration::zero();
    entry.periodStart_ = aNow;
  }
  entry.longest_ = std::max(entry.longest_, aDeadline);
  const Duration waited = std::max(entry.longest_, entry.longestBefore_) - aDeadline;
  return waited < kMinWaitedTime ? Duration::zero() : waited;
}

RefusedRequest DescribeRefused(const AdmissionState& aState, const WaitingCall& aCall)
{
  RefusedRequest request{ aCall.importance_, aCall.clientAccount_ };
  const auto index = static_cast<std::size_t>(aCall.importance_);
  for (std::size_t i = 0; i < index; ++i) {
    request.ahead_ += static_cast<double>(aState.queues_.at(i).size_);
  }
  const double own = std::max(1e-3, aCall.weight_);
  double weights = own;
  double ownCalls = 0;
  for (const auto& [account, queue] : aState.queues_.at(index).accounts_) {
    if (account == aCall.clientAccount_) {
      ownCalls = static_cast<double>(queue.calls_.size());
    } else if (!queue.calls_.empty()) {
      weights += std::max(1e-3, queue.calls_.front().weight_);
    }
  }
  request.startsPerOwn_ = weights / own;
  request.ahead_ += ownCalls * request.startsPerOwn_;
  return request;
}

void RecordRunEnd(ReturnSchedule& aState, TimePoint aNow)
{
  aState.ends_ = Ends(aState, aNow) + 1;
  aState.endsUpdatedAt_ = aNow;
}

std::uint32_t BookReturn(ReturnSchedule& aState, const RefusedRequest& aRequest, TimePoint aNow)
{
  RemoveExpired(aState, aNow);
  const ReturnSettings& settings = aState.settings_;
  double booked = 0;
  for (const BookedReturn& other : aState.booked_) {
    if (other.importance_ < aRequest.importance_) {
      booked += 1;
    } else if (other.importance_ == aRequest.importance_ && other.account_ == aRequest.account_) {
      booked += aRequest.startsPerOwn_;
    }
  }
  const double ahead = aRequest.ahead_ + aState.usedFraction_ * booked + 1;
  const double perSecond = Ends(aState, aNow) * std::numbers::ln2 / kEndsHalfLifeSeconds;
  const double least = ToSeconds(settings.minWait_);
  double most = settings.maxLeftFraction_ * ToSeconds(aRequest.left_);
  // Returning callers wait in the queue too. A late answer is worth a small part of one in time, so
  // booking the place of a request in time for one that is late by then would be a loss.
  const double queueSeconds = perSecond > 0 ? aRequest.ahead_ / perSecond : 0;
  const double spare = ToSeconds(aRequest.spare_) - queueSeconds;
  if (spare > 0) {
    most = std::min(most, spare);
  }
  most = std::max(least, most);
  // Without a run that ended lately there is no rate, and the wait is the longest one.
  const double wait = perSecond > 0 ? ahead / perSecond : most;
  const double jitter = 1 + settings.jitter_ * (2 * RandomFraction(aState.random_) - 1);
  // Returns that the capacity doesn't reach in time are spread over the last half of the time.
  const bool isInTime = wait * jitter <= most;
  const double hint = isInTime
                        ? std::max(least, wait * jitter)
                        : std::max(least, most * (0.5 + 0.5 * RandomFraction(aState.random_)));
  if (isInTime && aState.booked_.size() < kMaxBookedReturns) {
    const BookedReturn entry{ aNow + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(hint)),
                              aRequest.importance_,
                              aRequest.account_ };
    aState.booked_.insert(
      std::upper_bound(aState.booked_.begin(),
                       aState.booked_.end(),
                       entry,
                       [](const BookedReturn& aOne, const BookedReturn& aOther) {
                         return aOne.dueAt_ < aOther.dueAt_;
                       }),
      entry);
  }
  return static_cast<std::uint32_t>(1000 * hint);
}

void UseBooking(ReturnSchedule& aState, const ClientAccountId& aAccount, TimePoint aNow)
{
  RemoveExpired(aState, aNow);
  const auto found =
    std::find_if(aState.booked_.begin(), aState.booked_.end(), [&](const BookedReturn& aBooked) {
      return aBooked.account_ == aAccount;
    });
  if (found != aState.booked_.end()) {
    aState.booked_.erase(found);
    RecordUse(aState, true);
  }
}

bool IsCapacityKept(ReturnSchedule& aState,
                    Importance aImportance,
                    const ClientAccountId& aAccount,
                    double aFree,
                    TimePoint aNow)
{
  RemoveExpired(aState, aNow);
  double due = 0;
  for (const BookedReturn& booked : aState.booked_) {
    if (booked.dueAt_ - aState.settings_.lead_ > aNow) {
      break;
    }
    // Returns of one account don't take the share of others of the same class.
    due += booked.importance_ < aImportance ||
               (booked.importance_ == aImportance && booked.account_ == aAccount)
             ? 1
             : 0;
  }
  const double kept = std::floor(aState.usedFraction_ * due);
  return kept > 0 && aFree < kept + 1;
}

} // namespace peridotquay
