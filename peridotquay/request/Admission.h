// Admission to one target: adaptive concurrency limit, queue by importance and fair share, early
// refusal.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/request/Outcome.h"
#include "peridotquay/version/Ids.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace peridotquay {

/// Settings of a guard's admission.
struct AdmissionSettings
{
  std::uint32_t initialLimit_ = 16;
  std::uint32_t minLimit_ = 2;
  std::uint32_t maxLimit_ =
    1000; ///< Never above the target's announced slots, when it announces any.
  std::uint32_t queueCapacity_ = 1024; ///< Calls over all classes.
  double queueDeadlineFraction_ = 0.5; ///< Part of a call's time left that it may spend queued.
  bool adaptive_ = true;               ///< False: the announced slots are the limit.
  bool operator==(const AdmissionSettings&) const = default;
};

/// A call that waits for admission.
struct WaitingCall
{
  std::uint64_t id_ =
    0; ///< Chosen by the owner of the state; unique among waiting and running calls.
  Importance importance_ = Importance::kNormal;
  ClientAccountId clientAccount_;
  double weight_ = 1; ///< Share of the client account in its class: its rate.
  TimePoint arrived_{};
  TimePoint deadline_{};
  RouteId route_{}; ///< Calls of one route take about equally long.
  bool operator==(const WaitingCall&) const = default;
};

/// Queue of one importance class: one FIFO per client account, served by weighted fair order.
struct ClassQueue
{
  struct AccountQueue
  {
    std::deque<WaitingCall> calls_;
    double finishTag_ = 0; ///< Virtual finish time of the last served call.
  };
  std::map<ClientAccountId, AccountQueue> accounts_;
  double virtualTime_ = 0;
  std::size_t size_ = 0; ///< Invariant: sum of the sizes of accounts_.
};

/// Measurements from which the limit is adapted. A window ends after enough calls and time; its
/// mean is compared with the floor. Growth of latency alone doesn't lower the limit for good: a
/// trial with a lower limit shows whether the latency depends on it.
struct LimitWindow
{
  /// Steps of a trial with a lowered limit.
  enum class Trial : std::uint8_t
  {
    kNone,
    kSettling, ///< Calls that started under the old limit are still ending.
    kMeasuring
  };
  TimePoint start_{};
  std::uint32_t samples_ = 0;
  double sumSeconds_ = 0;
  std::uint32_t peakRunning_ = 0;
  std::uint32_t refusals_ = 0;    ///< Refusals by the target.
  std::uint32_t slowWindows_ = 0; ///< Finished windows in a row far above the floor.
  double slowSeconds_ = 0;        ///< Sum of their means.
  Trial trial_ = Trial::kNone;
  std::uint32_t settling_ = 0; ///< Calls to ignore: they started under an earlier limit.
  double limitBefore_ = 0;     ///< Limit when the trial began.
  double latencyBefore_ = 0;   ///< Mean seconds when the trial began.
  double refusedAt_ = 0;       ///< Limit at the latest refusal by the target; 0 if none.
  TimePoint lastTrial_{};
  std::uint32_t refusedWindows_ = 0; ///< Windows in a row with refusals by the target.
  double limitBeforeRefusals_ = 0;   ///< Limit before they lowered it; 0 if they didn't lately.
  TimePoint ignoreRefusalsUntil_{};  ///< Until then single refusals don't lower the limit.
};

/// Moving average of the service time of one route.
struct RouteService
{
  double seconds_ = 0;
  TimePoint lastSample_{};
};

/// Most routes whose service times are kept apart.
inline constexpr std::size_t kMaxServiceRoutes = 256;

/// State of one guard's admission. Changed only through the functions below.
struct AdmissionState
{
  AdmissionSettings settings_;
  double limit_ = 16; ///< minLimit_ to the smaller of maxLimit_ and announced slots.
  std::uint32_t announcedSlots_ = 0;
  bool contradicted_ = false; ///< The target refused or queued below the limit at least once.
  std::uint32_t running_ = 0;
  std::array<ClassQueue, kImportanceClassCount> queues_;
  std::size_t queued_ = 0;                 ///< Invariant: sum of queues_ sizes.
  double serviceSeconds_ = 0;              ///< Moving average of service time.
  TimePoint lastSample_{};                 ///< When serviceSeconds_ got its latest value.
  std::map<RouteId, RouteService> routes_; ///< At most kMaxServiceRoutes.
  double floorSeconds_ = 0;                ///< Moving least mean service time of a window.
  TimePoint floorSince_{}; ///< When the floor was last confirmed or raised by a trial.
  TimePoint lastDecrease_{};
  LimitWindow window_;
  std::array<double, kImportanceClassCount>
    offered_{}; ///< Offered calls of each class since countsSince_.
  std::array<double, kImportanceClassCount>
    admitted_{}; ///< Started calls of each class since countsSince_.
  std::array<double, kImportanceClassCount>
    shed_{}; ///< Refused or dropped calls of each class since countsSince_.
  TimePoint countsSince_{};
  std::uint32_t starvedIntervals_ =
    0; ///< Intervals in a row in which the lowest open class starved.
  std::size_t openClasses_ =
    kImportanceClassCount; ///< Classes that callers' hosts should send, 1 to 4.
};

/// A call that was refused before it started, with the reason. Always "not run".
struct RefusedCall
{
  std::uint64_t id_ = 0;
  ErrorCode code_ = ErrorCode::kShed;
  std::uint32_t retryAfterMs_ = 0;
  bool operator==(const RefusedCall&) const = default;
};

/// What the owner of the state must do now: start these calls, refuse those.
struct AdmissionActions
{
  std::vector<std::uint64_t> start_;
  std::vector<RefusedCall> refuse_;
  bool operator==(const AdmissionActions&) const = default;
};

/// Offers a call: it is started, queued, or refused; it may push out a less important queued call.
AdmissionActions OfferCall(AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow);

/// How a started call ended, as far as the limit is concerned.
enum class ExecutionResult : std::uint8_t
{
  kAnswered,
  kTargetRefused, ///< The target shed it.
  kTimedOut,
  kCancelled ///< Says nothing about the target.
};

/// How long a started call ran.
struct ServiceTime
{
  /// A call without deeper calls: all of its time is the target's own.
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
  Duration total_; ///< From start to end; decides which calls come too late.
  Duration own_;   ///< Without the time in which deeper calls were outstanding; adapts the limit.
};

/// Frees the slot of a started call, adapts the limit and starts waiting calls.
AdmissionActions FinishCall(AdmissionState& aState,
                            ExecutionResult aEnd,
                            const ServiceTime& aServiceTime,
                            TimePoint aNow,
                            const RouteId& aRoute = {});

/// Removes a waiting call that its caller cancelled; false if it isn't waiting.
bool CancelWaiting(AdmissionState& aState, std::uint64_t aId);

/// Refuses waiting calls that can't meet their deadline any more. Call at least every 10 ms while
/// calls wait.
AdmissionActions DropLateCalls(AdmissionState& aState, TimePoint aNow);

/// Takes the target's announced slots; 0 means not announced. The limit goes to newly announced
/// slots unless the target has contradicted them; waiting calls start with the next step.
void ApplyAnnouncedSlots(AdmissionState& aState, std::uint32_t aSlots);

/// What the guard admits at present, for answers.
AdmissionLevel CurrentAdmissionLevel(AdmissionState& aState, TimePoint aNow);

/// Admission level of one service as a caller's host remembers it from answers.
struct ReceivedAdmissionLevel
{
  AdmissionLevel level_;
  TimePoint receivedAt_{};
  std::uint64_t random_ = 0x9E3779B97F4A7C15ULL; ///< State of the generator; seeded by the owner.
};

/// A level older than this is forgotten.
inline constexpr Duration kAdmissionLevelLifetime = seconds(1);

/// Takes the level of an answer. The more restrictive of two levels younger than
/// kAdmissionLevelLifetime doesn't win: the later does.
void RecordAdmissionLevel(ReceivedAdmissionLevel& aUpstream,
                          const AdmissionLevel& aLevel,
                          TimePoint aNow);

/// Whether a call of the class should be sent at all; lets 1 % of a shed class through as a probe.
/// `critical` is always sent: a probe of a lower class could be admitted while it is refused here.
bool ShouldSendCall(ReceivedAdmissionLevel& aUpstream, Importance aImportance, TimePoint aNow);

} // namespace peridotquay
