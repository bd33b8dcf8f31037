// Recognises callers that return after a refusal by the deadlines that they state, and schedules
// their returns over the time at which capacity becomes free.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/Outcome.h"
#include "peridotquay/version/Ids.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <utility>

namespace peridotquay {

/// Longest deadline that requests of one route and account stated in the present period and in the
/// one before.
struct LongestDeadlines
{
  Duration longest_{};
  Duration longestBefore_{};
  TimePoint periodStart_{};
};

/// Deadlines stated by a host's callers. Changed only by WaitedTime.
struct StatedDeadlines
{
  /// By route and account: accounts may use deadlines of different length. At most
  /// kMaxStatedDeadlines.
  std::map<std::pair<RouteId, ClientAccountId>, LongestDeadlines> entries_;
  TimePoint cleanedAt_{}; ///< When old entries were removed last.
};

/// Length of a period. Deadlines count for one to two periods.
inline constexpr Duration kDeadlinePeriod = seconds(5);

/// Maximum number of entries; callers of further routes and accounts count as new.
inline constexpr std::size_t kMaxStatedDeadlines = 4096;

/// A caller that has waited for less counts as new: it may have spent that time on its way here.
inline constexpr Duration kMinWaitedTime = milliseconds(20);

/// Records the deadline that a request of a route and account states and returns for how long its
/// caller has waited already: the difference to the longest deadline that was stated recently. 0
/// for a first attempt, and if no deadline is stated (aDeadline is 0).
Duration WaitedTime(StatedDeadlines& aState,
                    const std::pair<RouteId, ClientAccountId>& aKey,
                    Duration aDeadline,
                    TimePoint aNow);

/// How returns are scheduled.
struct ReturnSettings
{
  Duration minWait_ = milliseconds(100);
  double maxLeftFraction_ = 1.0 / 3; ///< Of its remaining time; a caller honours no more.
  double jitter_ = 0.15;             ///< To either side.
  /// A booking is in effect from this long before it is due until this long after.
  Duration lead_ = milliseconds(50);
  Duration grace_ = milliseconds(150);
};

/// A return that a refusal booked.
struct BookedReturn
{
  TimePoint dueAt_{};
  Importance importance_ = Importance::kNormal;
  ClientAccountId account_;
  double slotSeconds_ = 0; ///< Expected slot time of the request.
};

/// Returns that a guard expects. Changed only by the functions below.
struct ReturnSchedule
{
  ReturnSettings settings_;
  std::deque<BookedReturn> booked_; ///< By dueAt_; at most kMaxBookedReturns.
  /// Moving average of the part of the bookings that callers used. Callers may not come back, or
  /// may come back to another guard, and one request may be refused by several guards.
  double usedFraction_ = 0.5;
  std::uint64_t random_ = 0x9E3779B97F4A7C15ULL; ///< State of the random generator.
};

/// Maximum number of booked returns. Further refusals get a hint without a booking.
inline constexpr std::size_t kMaxBookedReturns = 4096;

/// A refused request, as its return is scheduled.
struct RefusedRequest
{
  Importance importance_ = Importance::kNormal;
  ClientAccountId account_;
  /// Starts of the class for one of the account: weights of the waiting accounts, relative to its
  /// own; at least 1.
  double startsPerOwn_ = 1;
  Duration left_{};         ///< Until the deadline.
  double aheadSeconds_ = 0; ///< Slot time of calls that start before one more of the account would.
  double slotSeconds_ = 0;  ///< Expected slot time of the request; 0 if it isn't known.
  double limit_ = 1;        ///< Slots that the guard uses at once.
  bool mayBook_ = true;     ///< If false, the caller gets a hint without a booking.
  /// For how long the caller can wait and still be served within its latency objective, if it then
  /// starts at once; 0 if that can't be.
  Duration spare_{};
};

/// Describes a call that is refused, or was taken from the queue to be refused.
RefusedRequest DescribeRefused(const AdmissionState& aState,
                               const WaitingCall& aCall,
                               TimePoint aNow);

/// How the return of a refused request is scheduled.
struct BookingResult
{
  std::uint32_t retryAfterMs_ = 0; ///< After this time the caller should come back.
  bool isBooked_ = false;
};

/// Books the return of a refused request for when the slots have run the calls ahead of it, but
/// early enough to be served within the latency objective where that can be. Nothing is booked if
/// the capacity doesn't reach the request in time, or if that isn't known.
BookingResult BookReturn(ReturnSchedule& aState, const RefusedRequest& aRequest, TimePoint aNow);

/// Uses the earliest booking of the account and class, for a request whose caller came back. False
/// if there is none.
bool UseBooking(ReturnSchedule& aState,
                const ClientAccountId& aAccount,
                Importance aImportance,
                TimePoint aNow);

/// Whether a request without a booking must be refused because capacity is kept for returns that
/// are due. Waiting calls of less important classes don't use capacity before it.
bool IsCapacityKept(ReturnSchedule& aState,
                    const AdmissionState& aAdmission,
                    Importance aImportance,
                    const ClientAccountId& aAccount,
                    TimePoint aNow);

} // namespace peridotquay
