// Recognises callers that return after a refusal and schedules their returns.
#include "peridotquay/request/ReturnSchedule.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

/// Weight of one booking in the moving average of those that are used, and bounds of the average.
/// It stays above 0 so that it can rise again.
constexpr double kUsedWeight = 0.02;
constexpr double kMinUsedFraction = 0.02;

/// At most this part of the limit is kept for returns: new requests aren't starved.
constexpr double kMaxKeptFraction = 0.8;

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

/// Slot time of the waiting calls of an account. They are taken to be like its first one, because
/// this is computed for each refusal.
double WaitingSeconds(const AdmissionState& aState, const ClassQueue::AccountQueue& aQueue)
{
  return aQueue.calls_.empty() ? 0
                               : static_cast<double>(aQueue.calls_.size()) *
                                   SlotSeconds(aState, aQueue.calls_.front().route_);
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

RefusedRequest DescribeRefused(const AdmissionState& aState,
                               const WaitingCall& aCall,
                               TimePoint aNow)
{
  RefusedRequest request{ aCall.importance_, aCall.clientAccount_ };
  request.limit_ = EffectiveLimit(aState, aNow);
  request.slotSeconds_ = SlotSeconds(aState, aCall.route_);
  const auto index = static_cast<std::size_t>(aCall.importance_);
  for (std::size_t i = 0; i < index; ++i) {
    for (const auto& [account, queue] : aState.queues_.at(i).accounts_) {
      request.aheadSeconds_ += WaitingSeconds(aState, queue);
    }
  }
  const double own = std::max(1e-3, aCall.weight_);
  double weights = own;
  double ownSeconds = 0;
  for (const auto& [account, queue] : aState.queues_.at(index).accounts_) {
    if (account == aCall.clientAccount_) {
      ownSeconds = WaitingSeconds(aState, queue);
    } else if (!queue.calls_.empty()) {
      weights += std::max(1e-3, queue.calls_.front().weight_);
    }
  }
  request.startsPerOwn_ = weights / own;
  request.aheadSeconds_ += ownSeconds * request.startsPerOwn_;
  return request;
}

BookingResult BookReturn(ReturnSchedule& aState, const RefusedRequest& aRequest, TimePoint aNow)
{
  RemoveExpired(aState, aNow);
  const ReturnSettings& settings = aState.settings_;
  double bookedSeconds = 0;
  for (const BookedReturn& other : aState.booked_) {
    if (other.importance_ < aRequest.importance_) {
      bookedSeconds += other.slotSeconds_;
    } else if (other.importance_ == aRequest.importance_ && other.account_ == aRequest.account_) {
      bookedSeconds += aRequest.startsPerOwn_ * other.slotSeconds_;
    }
  }
  const double limit = std::max(1.0, aRequest.limit_);
  const double third = settings.maxLeftFraction_ * ToSeconds(aRequest.left_);
  const double least = ToSeconds(settings.minWait_);
  double most = third;
  // Returning callers wait in the queue too. A late answer is worth a small part of one in time, so
  // booking the place of a request in time for one that is late by then would be a loss.
  const double spare = ToSeconds(aRequest.spare_) - aRequest.aheadSeconds_ / limit;
  if (spare > 0) {
    most = std::min(most, spare);
  }
  most = std::max(least, most);
  const double wait =
    (aRequest.aheadSeconds_ + aState.usedFraction_ * bookedSeconds + aRequest.slotSeconds_) / limit;
  const double jitter = 1 + settings.jitter_ * (2 * RandomFraction(aState.random_) - 1);
  const bool isInTime = wait * jitter <= most;
  BookingResult result;
  // Before the first run ended, the time until capacity becomes free isn't known.
  result.isBooked_ = aRequest.mayBook_ && aRequest.slotSeconds_ > 0 && isInTime && third >= least &&
                     aState.booked_.size() < kMaxBookedReturns;
  // Returns that aren't expected in time are spread over the last half of the time.
  const double hint =
    aRequest.slotSeconds_ > 0 && isInTime
      ? std::max(least * jitter, wait * jitter)
      : std::max(least * jitter, most * (0.5 + 0.5 * RandomFraction(aState.random_)));
  const double hintSeconds = std::min(hint, third);
  if (result.isBooked_) {
    const BookedReturn entry{ aNow + std::chrono::duration_cast<Duration>(
                                       std::chrono::duration<double>(hintSeconds)),
                              aRequest.importance_,
                              aRequest.account_,
                              aRequest.slotSeconds_ };
    aState.booked_.insert(
      std::upper_bound(aState.booked_.begin(),
                       aState.booked_.end(),
                       entry,
                       [](const BookedReturn& aOne, const BookedReturn& aOther) {
                         return aOne.dueAt_ < aOther.dueAt_;
                       }),
      entry);
  }
  result.retryAfterMs_ = static_cast<std::uint32_t>(1000 * std::max(0.0, hintSeconds));
  return result;
}

bool UseBooking(ReturnSchedule& aState,
                const ClientAccountId& aAccount,
                Importance aImportance,
                TimePoint aNow)
{
  RemoveExpired(aState, aNow);
  const auto found =
    std::find_if(aState.booked_.begin(), aState.booked_.end(), [&](const BookedReturn& aBooked) {
      return aBooked.account_ == aAccount && aBooked.importance_ == aImportance;
    });
  if (found == aState.booked_.end()) {
    return false;
  }
  aState.booked_.erase(found);
  RecordUse(aState, true);
  return true;
}

bool IsCapacityKept(ReturnSchedule& aState,
                    const AdmissionState& aAdmission,
                    Importance aImportance,
                    const ClientAccountId& aAccount,
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
  double free = aAdmission.limit_ - static_cast<double>(aAdmission.running_);
  for (std::size_t i = 0; i <= static_cast<std::size_t>(aImportance); ++i) {
    free -= static_cast<double>(aAdmission.queues_.at(i).size_);
  }
  const double kept =
    std::floor(std::min(aState.usedFraction_ * due, kMaxKeptFraction * aAdmission.limit_));
  return kept > 0 && free < kept + 1;
}

} // namespace peridotquay
