// Admission control in front of the local target: admits, queues or refuses calls, sends them to
// the target and keeps their contexts.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/connection/TargetClient.h"
#include "peridotquay/process/HttpDialect.h"
#include "peridotquay/process/LogThrottle.h"
#include "peridotquay/process/Metrics.h"
#include "peridotquay/process/RequestLog.h"
#include "peridotquay/process/Settings.h"
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/CallContext.h"
#include "peridotquay/request/FailureMeter.h"
#include "peridotquay/request/LongestDuration.h"
#include "peridotquay/request/ReturnSchedule.h"
#include "peridotquay/request/RunLimit.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>

namespace peridotquay {

/// State and load of the target as the guard knows them.
struct TargetHealth
{
  TargetState state_ = TargetState::kCold;
  std::uint32_t slots_ = 0;       ///< Calls that the target runs at once, as announced.
  double load_ = 0;               ///< Fraction of the slots in use.
  std::uint32_t failedPolls_ = 0; ///< Consecutive polls without a connection.
  bool operator==(const TargetHealth&) const = default;
};

/// The local target as the control plane knows it, on platforms where targets announce themselves.
struct LocalTarget
{
  std::string id_; ///< Incarnation of the target; empty if none is known.
  TargetState state_ = TargetState::kCold;
  std::uint32_t slots_ = 0;
  /// Its data centre is evacuated: it receives no calls, those that run finish.
  bool isEvacuated_ = false;
  /// Time for which it stays cold, if a report that has just arrived states it.
  std::optional<Duration> coldRemaining_;
  bool operator==(const LocalTarget&) const = default;
};

/// Admits, queues or refuses calls and runs them at the local target. Used on the socket thread
/// only.
class Guard
{
public:
  /// Receives the answer of a call. May be called from within Run.
  using CompletionHandler = std::function<void(Answer)>;

  Guard(EventLoop& aLoop,
        const NodeSettings& aSettings,
        Metrics& aMetrics,
        const HttpDialect& aDialect = QuayDialect(),
        std::shared_ptr<ByteBudget> aBudget = nullptr);
  Guard(const Guard&) = delete;
  Guard& operator=(const Guard&) = delete;
  ~Guard();

  /// Runs, queues or refuses a call. aOnRegistered is called first and receives the call number for
  /// Cancel. aHandler is called once, unless the call is cancelled first.
  void Run(const Call& aCall,
           const std::function<void(std::uint64_t)>& aOnRegistered,
           CompletionHandler aHandler);
  /// Cancels a call: removes it from the queue, or closes its connection to the target.
  void Cancel(std::uint64_t aCallNumber);
  /// Ends all calls: refuses those that wait, ends those that run with outcome unknown.
  void Abort();

  void SetConfig(std::shared_ptr<const Config> aConfig);
  /// Tells whether the target states the duration of its work. The setting room_scheduling decides
  /// whether insufficient capacity is then scheduled.
  void SetTargetStatesWorkDuration(bool aStates);
  /// Whether insufficient capacity is scheduled.
  bool SchedulesCapacity() const;
  /// Number of refused requests whose callers are expected back.
  std::size_t BookedReturns() const;
  /// Starts the drain: new calls are refused with kDraining.
  void SetDraining();
  /// Applies the announced state of the target. While the target drains or is gone, all calls are
  /// refused with kDraining, including those that wait.
  void SetTarget(const LocalTarget& aTarget);
  /// Queries the target's health and load endpoints, then calls aHandler with the resulting health.
  void Poll(std::function<void(const TargetHealth&)> aHandler);

  /// The context of a running call; null if the token is unknown.
  CallContext* Context(std::string_view aToken);
  /// Records the end of a deeper call of the local target; aOverload as for the function of this
  /// name in RunLimit.h.
  void RecordDeeperCall(double aOverload);
  /// Number of calls that wait or run.
  std::size_t ActiveCalls() const;
  /// Whether a call may still be running at aEndsAt, by its deadline and by how long recent calls
  /// of its route took. False if too few are known.
  bool MayOutlast(const Call& aCall, TimePoint aEndsAt) const;
  /// Whether the target runs a call that a deeper call with this deadline serves.
  bool RunsCallWithDeadline(TimePoint aDeadline) const;
  const AdmissionState& Admission() const;
  const TargetHealth& Health() const;
  /// Whether the local target receives no calls because its data centre is evacuated.
  bool IsEvacuated() const { return target_ && target_->isEvacuated_; }
  /// Calls a second that are started because the target is cold or may be; 0 for no limit.
  double ColdPerSecond() const;
  std::size_t TargetConnections() const;
  /// Load of the target for the hosts that choose targets; empty if the target doesn't state its
  /// duration of work.
  std::optional<LoadReport> StatedLoad() const;

  /// Called with the id of a target that states in an answer that it leaves.
  std::function<void(const std::string&)> onTargetLeaving_;
  /// Called when the context of a call ends; its deeper calls can then be cancelled.
  std::function<void(const std::string&)> onContextClosed_;

private:
  /// A call that waits or runs.
  struct GuardedCall
  {
    Call call_;
    CompletionHandler completionHandler_;
    TimePoint arrivedAt_{};
    TimePoint startedAt_{};
    TimePoint deadline_{};
    std::string targetId_;            ///< Target that it was sent to; empty while it waits.
    std::string contextToken_;        ///< Empty while the call waits.
    std::uint64_t targetRequest_ = 0; ///< Request number at client_; 0 while the call waits.
    std::uint64_t deadlineTimer_ = 0;
    std::unique_ptr<HeldBytes> held_; ///< Bytes of the body, if it is large.
    bool isLimitedRun_ = false;       ///< Began in runLimits_ and must end there.
  };

  void Apply(const AdmissionActions& aActions);
  void Start(std::uint64_t aCallNumber);
  void OnTargetResult(std::uint64_t aCallNumber, TargetResult aResult);
  /// Applies what the target states about itself in the answer to a call.
  void ApplyNotice(const GuardedCall& aGuardedCall, const HeaderList& aHeaders);
  void OnDeadline(std::uint64_t aCallNumber);
  /// Uses the booking of a returning request. Refuses a request without one while the free capacity
  /// is kept for returns that are due.
  bool UseBookingOrRefuse(std::uint64_t aCallNumber, const GuardedCall& aGuardedCall);
  /// Schedules the return of a refused request and returns the hint for its caller.
  std::uint32_t ScheduleReturn(const GuardedCall& aGuardedCall, ErrorCode aCode, bool aMayBook);
  /// Refuses a call for lack of capacity at this guard. aRetryAfterMs is used where insufficient
  /// capacity isn't scheduled.
  void RefuseForCapacity(std::uint64_t aCallNumber,
                         ErrorCode aCode,
                         std::uint32_t aRetryAfterMs,
                         bool aMayBook);
  WaitingCall Waiting(std::uint64_t aCallNumber, const GuardedCall& aGuardedCall) const;
  /// The route as configured; null if it isn't.
  const Route* ConfiguredRoute(const RouteId& aRoute) const;
  /// Weight of an account in fair sharing: its rate.
  double AccountWeight(const ClientAccountId& aAccount) const;
  void Refuse(std::uint64_t aCallNumber, ErrorCode aCode, std::uint32_t aRetryAfterMs);
  /// Ends a started call: frees its slot, closes its context and passes the answer on.
  void Finish(std::uint64_t aCallNumber, ExecutionResult aExecutionResult, Answer aAnswer);
  /// Whether the call is a caller's request and not a deeper call, which serves a run that began.
  bool IsRequest(const Call& aCall) const;
  /// Begins a run of a request, or refuses it if deeper services have no room for it.
  bool BeginLimitedRun(std::uint64_t aCallNumber, GuardedCall& aGuardedCall);
  void EndLimitedRun(const GuardedCall& aGuardedCall, RunResult aResult);
  void RecordTargetOutcome(ExecutionResult aExecutionResult, const Answer& aAnswer);
  void FillLoad(Answer& aAnswer);

  /// Stated duration of work; the usual one if the statement is old, 0 if there is none.
  std::uint32_t CurrentWorkPercent() const;
  void LogEnd(const GuardedCall& aGuardedCall, const Answer& aAnswer);
  void ScheduleQueueCheck();
  void ScheduleSilenceCheck();
  /// Queries the target's health on a kept connection and on a fresh one. If it answers only on the
  /// fresh one, the open connections have gone silent and are abandoned.
  void ProbeConnections();
  void FailSilentCalls(TimePoint aProbeStartedAt);
  HttpRequest TargetRequest(const GuardedCall& aGuardedCall) const;
  void ReadLoad(const TargetResult& aResult);
  void SetSlots(std::uint32_t aSlots);
  /// Logs the beginning and the end of the limit for a cold target. aRemaining: what was stated
  /// just now about how long it stays cold, if anything.
  void LogColdLimit(const std::optional<Duration>& aRemaining);
  void RefuseWaiting(ErrorCode aCode, const std::function<bool(const Call&)>& aIsRefused);
  /// Whether the allowed regions of its route or account exclude the region of this guard.
  bool IsRegionExcluded(const Call& aCall) const;
  /// Applies the allowed regions of the configuration in force.
  void SetExcluded();
  bool IsTargetLeaving() const;
  /// Switches the scheduling of insufficient capacity on or off in all states that it concerns.
  void SetCapacityScheduling(bool aIsOn);

  EventLoop& loop_;
  const NodeSettings& settings_;
  Metrics& metrics_;
  const HttpDialect& dialect_;
  std::optional<LocalTarget> target_; ///< Empty if the target doesn't announce itself.
  TargetClient client_;
  TargetClient freshClient_; ///< For probes; keeps no connection between them.
  TargetClient pollClient_;  ///< Separate, so that polls work while client_ is at its limit.
  std::shared_ptr<const Config> config_;
  AdmissionState admission_;
  std::shared_ptr<ByteBudget> budget_; ///< For the bodies of calls; null for no limit.
  RunLimitState runLimits_;
  ReturnSchedule returns_;
  LogThrottle returnThrottle_;
  ContextTable contexts_;
  FailureMeter failures_; ///< Failures of the current target.
  /// Calls that ran. Removed when a configuration without the route is set.
  std::map<RouteId, LongestDuration> durations_;
  std::uint32_t workPercent_ = 0; ///< As the current target stated it last; 0 if it stated none.
  TimePoint workStatedAt_{};      ///< Time of workPercent_.
  std::map<std::uint64_t, GuardedCall> calls_;
  std::uint64_t nextCallNumber_ = 1;
  TargetHealth health_;
  /// Routes and accounts whose allowed regions exclude the region of this guard.
  std::set<RouteId> excludedRoutes_;
  std::set<ClientAccountId> excludedAccounts_;
  bool hasLoggedCold_ = false; ///< The last TargetCold event stated a limit.
  LogThrottle refusalThrottle_;
  LogThrottle runLimitThrottle_;
  RequestLogState requestLog_;
  bool draining_ = false;
  bool targetStatesWorkDuration_ = false;
  bool queueCheckScheduled_ = false;
  bool silenceCheckScheduled_ = false;
  bool probing_ = false;
};

} // namespace peridotquay
