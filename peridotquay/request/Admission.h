// Admission control of one target: adaptive concurrency limit, queue ordered by importance and fair
// share, and refusal at the caller's host before a call is sent. The guard is the part of the node
// in front of its target that admits or refuses calls.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/request/Outcome.h"
#include "peridotquay/request/StartRate.h"
#include "peridotquay/version/Ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace peridotquay {

/// Limits of a guard's admission and queue.
struct AdmissionSettings
{
  std::uint32_t initialLimit_ = 16;
  std::uint32_t minLimit_ = 2;
  /// Upper bound of the concurrency limit; the target's announced slots are another one.
  std::uint32_t maxLimit_ = 1000;
  std::uint32_t queueCapacity_ = 1024; ///< Waiting calls of all classes.
  double queueDeadlineFraction_ = 0.5; ///< Fraction of its remaining time that a call may wait.
  /// Part of the starts that waiting calls below `critical` get while critical ones wait too. With
  /// capacityScheduling_, it is a part of the slot time.
  double lowerClassShare_ = 0;
  /// Whether the target states how long its work takes at present, so that its capacity is known.
  bool capacityScheduling_ = false;
  /// Part of its remaining time that a call may wait at a target that states a rate. Other targets
  /// of its service may have room.
  double maxRateWaitFraction_ = 0.15;
  bool adaptive_ = true; ///< If false, the limit stays at the announced slots.
  bool operator==(const AdmissionSettings&) const = default;
};

/// A call that waits for admission.
struct WaitingCall
{
  /// Chosen by the owner of the state; unique among waiting and running calls.
  std::uint64_t id_ = 0;
  Importance importance_ = Importance::kNormal;
  ClientAccountId clientAccount_;
  double weight_ = 1; ///< Weight of the client account in fair sharing: its rate.
  TimePoint arrivedAt_{};
  TimePoint deadline_{};
  RouteId route_{}; ///< Service times are averaged by route.
  /// Time for which the caller had waited before; orders the calls of an account with
  /// AdmissionSettings::capacityScheduling_.
  Duration waited_{};
  bool operator==(const WaitingCall&) const = default;
};

/// Queue of one importance class: a FIFO per client account, served by weighted fair queueing. With
/// AdmissionSettings::capacityScheduling_ the calls of an account are in the order of their arrival
/// minus the time that their callers had waited before.
struct ClassQueue
{
  struct AccountQueue
  {
    std::deque<WaitingCall> calls_;
    double finishTag_ = 0; ///< Virtual finish time of the account's last started call.
  };
  std::map<ClientAccountId, AccountQueue> accounts_;
  double virtualTime_ = 0;
  std::size_t size_ = 0; ///< Invariant: sum of the sizes of accounts_.
};

/// Measurements from which the concurrency limit is adapted. A window ends after enough calls and
/// time; its mean service time is compared with the floor, a moving minimum of the means. A higher
/// latency alone doesn't lower the limit permanently: a trial with a lower limit shows whether the
/// latency depends on it.
struct LimitWindow
{
  /// State of a trial with a lowered limit.
  enum class Trial : std::uint8_t
  {
    kNone,
    kSettling, ///< Calls that started under the old limit are still ending.
    kMeasuring
  };
  TimePoint start_{};
  std::uint32_t samples_ = 0;
  double sumSeconds_ = 0; ///< Sum of the samples: service times without deeper calls.
  std::uint32_t peakRunning_ = 0;
  std::uint32_t refusals_ = 0;    ///< Refusals by the target.
  std::uint32_t slowWindows_ = 0; ///< Consecutive windows with a mean far above the floor.
  /// Sum of the mean service times of these windows; without one, the mean of the last window.
  double slowMeanSumSeconds_ = 0;
  Trial trial_ = Trial::kNone;
  /// Number of ending calls still to ignore, because they started under an earlier limit.
  std::uint32_t ignoredCalls_ = 0;
  double limitBeforeTrial_ = 0;          ///< Limit at the start of the trial.
  double latencyBeforeTrialSeconds_ = 0; ///< Mean service time at the start of the trial.
  double refusedAtLimit_ = 0;            ///< Limit at the latest refusal by the target; 0 if none.
  TimePoint lastTrialAt_{};
  std::uint32_t refusedWindows_ = 0; ///< Consecutive windows with refusals by the target.
  double limitBeforeRefusals_ = 0;   ///< Limit before refusals lowered it; 0 if none did recently.
  TimePoint ignoreRefusalsUntil_{};  ///< Until this time, only many refusals lower the limit.
};

/// Moving average of the service time of one route.
struct RouteServiceTime
{
  double seconds_ = 0;
  TimePoint lastSampleAt_{};
};

/// Maximum number of routes with their own service time.
inline constexpr std::size_t kMaxServiceRoutes = 256;

/// State of one guard's admission. Changed only through the functions below.
struct AdmissionState
{
  AdmissionSettings settings_;
  /// Calls that may run at once: minLimit_ to the smaller of maxLimit_ and announcedSlots_.
  double limit_ = 16;
  std::uint32_t announcedSlots_ = 0;
  /// The target refused or queued calls within the limit, so announced slots aren't trusted.
  bool slotsContradicted_ = false;
  std::uint32_t running_ = 0;
  StartRateState startRate_; ///< Limits the starts besides limit_.
  std::array<ClassQueue, kImportanceClassCount> queues_;
  std::size_t queued_ = 0;      ///< Invariant: sum of queues_ sizes.
  double lowerClassCredit_ = 0; ///< Starts that the lower classes have earned, below 1 + the share.
  /// Seconds of slot time that the classes below each one have earned by its starts. Used with
  /// capacityScheduling_ only.
  std::array<double, kImportanceClassCount - 1> lowerClassSeconds_{};
  double serviceSeconds_ = 0; ///< Moving average of the service times of all routes.
  TimePoint lastSampleAt_{};  ///< Time of the latest sample in serviceSeconds_.
  std::map<RouteId, RouteServiceTime> routes_; ///< At most kMaxServiceRoutes.
  double floorSeconds_ = 0;      ///< Lowest mean service time of a window; rises after trials.
  TimePoint floorConfirmedAt_{}; ///< When the floor was last confirmed or raised by a trial.
  TimePoint lastDecreaseAt_{};
  LimitWindow window_;
  /// Offered, started, and refused or dropped calls of each class since countsSince_.
  std::array<double, kImportanceClassCount> offered_{};
  std::array<double, kImportanceClassCount> admitted_{};
  std::array<double, kImportanceClassCount> shed_{};
  TimePoint countsSince_{};
  /// Consecutive intervals in which hardly any call of the lowest open class was started.
  std::uint32_t starvedIntervals_ = 0;
  /// Number of classes, from the most important down, that callers' hosts should send: 1 to 4.
  std::size_t openClasses_ = kImportanceClassCount;
};

/// A call that was refused before it started, with the reason. Its outcome is always "not run".
struct RefusedCall
{
  std::uint64_t id_ = 0;
  ErrorCode code_ = ErrorCode::kShed;
  std::uint32_t retryAfterMs_ = 0;
  bool operator==(const RefusedCall&) const = default;
};

/// Calls that the owner of the state must start and refuse now.
struct AdmissionActions
{
  std::vector<std::uint64_t> start_;
  std::vector<RefusedCall> refuse_;
  bool operator==(const AdmissionActions&) const = default;
};

/// Average slot time of a call of the route, without decay; 0 before the first one ended.
double SlotSeconds(const AdmissionState& aState, const RouteId& aRoute);

/// Starts, queues or refuses a call. If the queue is full, a less important waiting call may be
/// refused in its place.
AdmissionActions OfferCall(AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow);

/// How a started call ended, as the adaptation of the limit needs it.
enum class ExecutionResult : std::uint8_t
{
  kAnswered,
  kTargetRefused, ///< The target refused the call.
  kTimedOut,
  kCancelled ///< The result isn't evidence about the target.
};

/// How long a started call ran.
struct ServiceTime
{
  /// For a call without deeper calls: all of its time is the target's own.
  template<typename Rep, typename Period>
  ServiceTime(std::chrono::duration<Rep, Period> aTotal)
    : total_(aTotal)
    , own_(aTotal)
  {
  }
  ServiceTime(Duration aTotal, Duration aOwn)
    : total_(aTotal)
    , own_(aOwn)
  {
  }
  Duration total_; ///< From start to end; used to find calls that would miss their deadline.
  /// Without the time in which deeper calls were outstanding; used to adapt the limit.
  Duration own_;
};

/// Frees the slot of a started call, adapts the limit and starts waiting calls.
AdmissionActions FinishCall(AdmissionState& aState,
                            ExecutionResult aResult,
                            const ServiceTime& aServiceTime,
                            TimePoint aNow,
                            const RouteId& aRoute = {});

/// Removes a waiting call that its caller cancelled; false if it isn't waiting.
bool CancelWaiting(AdmissionState& aState, std::uint64_t aId);

/// Refuses waiting calls that can't meet their deadline any more. Called at least every 10 ms while
/// calls wait.
AdmissionActions DropLateCalls(AdmissionState& aState, TimePoint aNow);

/// Applies the number of slots that the target announces; 0 means not announced. The limit is set
/// to newly announced slots unless slotsContradicted_. Waiting calls start with the next call of
/// OfferCall, FinishCall or DropLateCalls.
void ApplyAnnouncedSlots(AdmissionState& aState, std::uint32_t aSlots);

/// Calls that the target can run at once under its concurrency limit and its stated rate; at
/// least 1. Sent to callers with each answer.
std::uint32_t EffectiveLimit(const AdmissionState& aState, TimePoint aNow);

/// The least important class that the guard currently admits; sent to callers with each answer.
AdmissionLevel CurrentAdmissionLevel(AdmissionState& aState, TimePoint aNow);

/// Admission level that a caller's host received with the latest answer of a guard.
struct ReceivedAdmissionLevel
{
  AdmissionLevel level_;
  TimePoint receivedAt_{};
  /// State of the random generator; seeded by the owner.
  std::uint64_t random_ = 0x9E3779B97F4A7C15ULL;
};

/// A received level older than this is ignored.
inline constexpr Duration kAdmissionLevelLifetime = seconds(1);

/// Stores the level of an answer. It replaces any earlier level, even a more restrictive one.
void RecordAdmissionLevel(ReceivedAdmissionLevel& aReceived,
                          const AdmissionLevel& aLevel,
                          TimePoint aNow);

/// Whether the caller's host should send a call of the class or refuse it immediately. At least 1 %
/// of a closed class is sent as probes. `critical` is always sent: otherwise a probe of a lower
/// class could be admitted while a critical call is refused here.
bool ShouldSendCall(ReceivedAdmissionLevel& aReceived, Importance aImportance, TimePoint aNow);

} // namespace peridotquay
