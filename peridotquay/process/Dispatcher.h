// Handles calls at the host where they enter: authenticates, limits the rate, routes, forwards to a
// guard with retries, and answers.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpServer.h"
#include "peridotquay/connection/PeerHub.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Guard.h"
#include "peridotquay/process/HttpDialect.h"
#include "peridotquay/process/LogThrottle.h"
#include "peridotquay/process/Metrics.h"
#include "peridotquay/process/RequestLedger.h"
#include "peridotquay/process/RequestLog.h"
#include "peridotquay/process/Settings.h"
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/DrainDecision.h"
#include "peridotquay/request/LongestDuration.h"
#include "peridotquay/request/NaivePolicy.h"
#include "peridotquay/request/RateShare.h"
#include "peridotquay/request/RetryBudget.h"
#include "peridotquay/request/ReturnSchedule.h"
#include "peridotquay/request/RouteChoice.h"
#include "peridotquay/request/TokenCache.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotquay {

/// Entry point for requests of callers and for deeper calls, which are calls that the local target
/// makes while it runs another call. Used on the socket thread only.
class Dispatcher
{
public:
  /// Receives the final answer of a call.
  using CompletionHandler = std::function<void(const Answer&)>;

  Dispatcher(EventLoop& aLoop,
             const NodeSettings& aSettings,
             Incarnation aIncarnation,
             Guard& aGuard,
             PeerHub& aHub,
             Metrics& aMetrics,
             const HttpDialect& aDialect = QuayDialect());
  Dispatcher(const Dispatcher&) = delete;
  Dispatcher& operator=(const Dispatcher&) = delete;
  ~Dispatcher();

  /// Handles a request from a caller.
  void OnCallerRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// Whether a caller's request may run at the same time as others of its connection: its route is
  /// known and repeatable. Needs only the head of the request.
  bool MayOverlap(const HttpRequest& aRequest) const;
  /// Handles a deeper call of the local target.
  void OnOutboundRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// Handles a caller's request that another host forwarded because this host issued its id.
  void OnOwnerCall(OwnerCall aCall, CompletionHandler aHandler);
  /// Handles an answer from a peer link, or from the local guard as link 0. An answer that no call
  /// expects on that link is dropped and counted.
  void OnAnswer(Answer aAnswer, std::uint64_t aLink);
  /// Handles the reply to a status query that was sent after the connection of a call was lost.
  void OnCallStatusReply(const CallStatusReply& aReply, std::uint64_t aLink);
  /// Handles a call whose connection ended before its answer arrived.
  void OnCallLost(const LostCall& aCall);
  /// Imports records of request ids from a leaving host.
  void OnHandover(const RequestHandover& aBatch);

  /// Sets the configuration in force; an older version is ignored.
  void SetConfig(std::shared_ptr<const Config> aConfig);
  void SetTargets(std::shared_ptr<const TargetView> aTargets);
  /// Records loads of targets that their hosts reported.
  void OnLoads(const std::vector<ReceivedLoad>& aLoads);
  /// Sets the time at which the configuration was last known to be the latest.
  void SetFreshness(TimePoint aFreshAsOf);
  /// Adds granted tokens, which were requested at aRequestedAt, and resumes calls that wait for
  /// them.
  void OnGrant(const ShareGrant& aGrant, TimePoint aRequestedAt);

  /// Returns tokens of accounts without recent use. Called every 100 ms.
  void ReturnTokens();

  /// Starts the drain, which ends at aEndsAt: new requests are refused with kDraining. Calls that
  /// the local target may need for those that it runs are passed on as long as DecideDuringDrain
  /// allows.
  void SetDraining(TimePoint aEndsAt);
  /// Ends all calls: with outcome unknown if they may have been sent, otherwise with "not run".
  void Abort();
  /// Closes the ledgers and returns their records for the successor.
  std::vector<RequestHandover> HandOver();

  /// Number of calls without an answer yet.
  std::size_t ActiveCalls() const;
  Version ConfigVersion() const;
  /// Number of targets of all services in the current view.
  std::size_t TargetCount() const;
  /// The current view; null before the first one arrives.
  const TargetView* CurrentTargets() const;
  /// JSON text with the decision that a call to the path would get now, and its inputs.
  std::string Explain(std::string_view aPath, std::string_view aAccount);

  /// Sends a request for tokens to the control plane.
  std::function<void(ShareRequest)> requestTokens_;

private:
  /// Reason for a refusal and the hint to the caller.
  struct Refusal
  {
    ErrorCode code_ = ErrorCode::kShed;
    std::uint32_t retryAfterMs_ = 0;
  };

  /// A caller's request or a deeper call that this host handles.
  struct ActiveCall
  {
    std::shared_ptr<const Config> config_; ///< Keeps route_ alive.
    const Route* route_ = nullptr;
    Call call_; ///< As sent to guards; the call id is set for each attempt.
    CompletionHandler completionHandler_;
    std::weak_ptr<HttpExchange> exchange_; ///< Empty for a call that another host forwarded.
    TimePoint arrivedAt_{};
    TimePoint deadline_{};
    /// Value of the deadline header, also where the route's own deadline is shorter; 0 without one.
    Duration statedDeadline_{};
    /// Without contexts: when it arrived, the local target ran a call with the same deadline.
    bool hasRunningDeadline_ = false;
    std::uint64_t deadlineTimer_ = 0;
    RetryBudget budget_;
    std::vector<HostId> excludedHosts_; ///< Hosts that refused or failed this call.
    std::uint32_t retries_ = 0;
    std::uint32_t guardRefusals_ = 0; ///< Attempts that were refused before a target saw the call.
    std::uint32_t attemptCount_ = 0;  ///< Attempts sent to guards.

    std::string requestId_;      ///< Set if this call runs under a request id.
    std::uint64_t sequence_ = 0; ///< Sequence of requestId_ while this host runs it; else 0.
    std::pair<HostId, Incarnation> ledgerKey_; ///< Host and incarnation that issued requestId_.
    std::string requestDigest_;
    /// Refuses the request unless its id has been used: a repeat gets the answer of its first use.
    std::optional<Refusal> refusalIfUnused_;

    std::string contextToken_; ///< Context of the call that this one serves; deeper calls only.
    std::uint32_t retriesFromContext_ = 0; ///< Retries lent by that context.

    std::uint64_t attemptCallId_ = 0; ///< Call id of the current attempt; 0 if there is none.
    bool isOwnerCall_ = false;   ///< Forwarded to, or received by, the host that issued the id.
    bool queriesStatus_ = false; ///< The connection was lost and the call's status is queried.
    std::uint32_t statusQueries_ = 0;
    bool mayHaveRun_ = false; ///< An earlier attempt ended with an unknown outcome.
    Target target_;           ///< Target of the current attempt.
    Hello guardProcess_;      ///< Process that received the lost attempt, if queriesStatus_.
    TimePoint sentAt_{};
    std::uint32_t lentRetries_ = 0;     ///< Retries lent to the current attempt.
    std::uint64_t localCallNumber_ = 0; ///< Call number at the local guard; 0 if there is none.
    std::uint64_t tokenTimer_ = 0;      ///< Set while the call waits for tokens.
  };
  using CallPointer = std::shared_ptr<ActiveCall>;

  // Checks and admission of requests.
  std::optional<Refusal> Authenticate(const HttpRequest& aRequest, ActiveCall& aCall) const;
  Duration FreshnessAge() const;
  /// Whether the configuration is known to be new enough to refuse an unknown route or key for
  /// good.
  bool MayRefuseForGood() const;
  const ServiceId& ChooseService(const Route& aRoute);
  std::optional<Refusal> ReadCallHeaders(const HttpRequest& aRequest, ActiveCall& aCall) const;
  /// Null if no route matches. config_ must be set.
  const Route* FindRequestRoute(const HttpRequest& aRequest) const;
  bool FindCallRoute(const HttpRequest& aRequest, ActiveCall& aCall) const;
  bool MayServeRunningCall(const HttpRequest& aRequest) const;
  /// Without contexts, a request on an open route is taken for a deeper call.
  void RecordOpenRequest(ActiveCall& aCall);
  /// Whether the local target is known to make the call for one that it runs.
  bool ServesRunningCall(const ActiveCall& aCall) const;
  /// Whether a call may be sent to a guard now. False during a drain that may end before the call.
  bool MayPassOn(const ActiveCall& aCall);
  /// Longest duration of recent calls of the same route and service, and of those under way.
  std::optional<Duration> LongestDurationFor(const ActiveCall& aCall) const;
  void RegisterCall(const CallPointer& aCall, const std::shared_ptr<HttpExchange>& aExchange);
  /// Sets the time for which the caller of a request has waited, over earlier attempts.
  void SetWaitedTime(ActiveCall& aCall);
  void IssueIds(const std::shared_ptr<HttpExchange>& aExchange);
  void ApplyRateLimit(const CallPointer& aCall);
  void WaitForTokens(const CallPointer& aCall, Duration aWait, bool aExtendAfterStall);
  void ResumeWaitingCalls(const ClientAccountId& aAccount);
  void StartCall(const CallPointer& aCall);

  // Request ids.
  RequestLedger* FindLedger(const HostId& aHost, Incarnation aIncarnation);
  /// Whether this host keeps the record of the id and no request has run under it.
  bool IsUnused(std::string_view aRequestId);
  /// What is known about a request that is refused with aCode before its id is looked up.
  Outcome OutcomeOfRefusal(std::string_view aRequestId, ErrorCode aCode);
  void BeginWithId(const CallPointer& aCall);
  void BeginRecord(const CallPointer& aCall, RequestLedger& aLedger, std::uint64_t aSequence);
  void SendToOwner(const CallPointer& aCall, const Address& aOwner);
  void FinishRecord(const CallPointer& aCall, const Answer& aAnswer);

  // Attempts.
  /// Chooses the target of the next attempt. Sets aShedUpstream if it skipped a target because of
  /// its admission level.
  std::optional<Target> SelectTarget(const CallPointer& aCall, bool& aShedUpstream);
  void StartAttempt(const CallPointer& aCall);
  /// The targets that the lists of allowed regions of the route and of the account leave.
  static TargetFilter FilterFor(const Config& aConfig,
                                const Route& aRoute,
                                const ClientAccountId& aAccount);
  /// Those of the call's configuration and of the one in force now.
  TargetFilter FilterFor(const ActiveCall& aCall) const;
  /// Whether allowed regions and evacuated data centres exclude all targets of the call's service.
  bool ExcludesAllTargets(const ActiveCall& aCall) const;
  /// Whether the target stated that it leaves.
  bool IsLeaving(const Target& aTarget) const;
  Duration AnswerReserve(const Target& aTarget) const;
  void SendAttempt(const CallPointer& aCall, const Target& aTarget);
  /// Counts an attempt whose target was chosen by load, and logs when that begins or ceases.
  void RecordChoice(const ServiceId& aService, const Target& aTarget);
  void EndAttempt(const CallPointer& aCall, AttemptResult aResult, const Answer* aAnswer);
  void OnAttemptAnswer(const CallPointer& aCall, Answer aAnswer);
  void QueryCallStatus(const CallPointer& aCall);
  /// Returns whether the call may be attempted again, and if so takes the retry from its budget.
  /// The flags tell how far the last attempt got.
  bool AcquireRetry(const CallPointer& aCall, bool aReachedHost, bool aReachedTarget);
  /// Returns whether a call whose attempt was lost may be attempted again.
  bool HasRetryLeft(const ActiveCall& aCall) const;
  RetryRatioSettings RetrySettings(const ActiveCall& aCall) const;
  void RetryOrEnd(const CallPointer& aCall, Answer aAnswer, bool aExcludeHost = true);

  // End of a call.
  /// Whether the call was made by the local target while it ran another one.
  bool IsDeeperCall(const ActiveCall& aCall) const;
  void OnDeadline(const CallPointer& aCall);
  void CancelCall(const CallPointer& aCall);
  void CancelAttempt(const CallPointer& aCall);
  void End(const CallPointer& aCall, Answer aAnswer);
  void LogUnknown(const ActiveCall& aCall, ErrorCode aCode);
  void LogEnd(const ActiveCall& aCall, const Answer& aAnswer);
  void LogRefusal(const HttpRequest& aRequest, ErrorCode aCode);
  std::string_view LoggedId(const HeaderList& aHeaders) const;
  void Refuse(const CallPointer& aCall, ErrorCode aCode, std::uint32_t aRetryAfterMs = 0);
  void EndUnknown(const CallPointer& aCall, ErrorCode aCode);
  void RefuseExchange(const std::shared_ptr<HttpExchange>& aExchange, const Refusal& aRefusal);
  void Respond(const std::shared_ptr<HttpExchange>& aExchange,
               const ActiveCall& aCall,
               const Answer& aAnswer);

  EventLoop& loop_;
  const NodeSettings& settings_;
  Guard& guard_;
  PeerHub& hub_;
  Metrics& metrics_;
  const HttpDialect& dialect_;

  std::shared_ptr<const Config> config_;
  std::shared_ptr<const TargetView> targets_;
  TimePoint freshAsOf_{};
  Duration suspendedTimeAtFreshness_{}; ///< SuspendedTime() when freshAsOf_ was set.
  RoutingState routing_;
  std::set<ServiceId> evenServices_; ///< Services whose last call was distributed by load.
  StatedDeadlines statedDeadlines_;
  TokenCache tokens_;
  NaiveState naive_;
  /// By host of the guard; only hosts in targets_.
  std::map<HostId, ReceivedAdmissionLevel> admissionLevels_;
  /// Target::instance_ of targets that stated in an answer to this host that they leave, by host.
  /// Only hosts in targets_. A guard that starts anew doesn't know it, so this host must.
  std::map<HostId, std::string> leavingTargets_;
  std::map<ServiceId, RetryRatio> retryRatios_; ///< Only services in config_.
  std::map<RouteId, OpenRouteUse> openRoutes_;  ///< Without contexts. Removed as in durations_.
  /// Calls that ran, by route and service. Removed when a configuration without the route is set.
  std::map<std::pair<RouteId, ServiceId>, LongestDuration> durations_;
  RequestLedger ledger_;
  std::map<std::pair<HostId, Incarnation>, RequestLedger> importedLedgers_;
  /// Duplicates that wait for the answer of a running request, by ledger and sequence.
  std::map<std::tuple<HostId, Incarnation, std::uint64_t>, std::vector<CallPointer>>
    waitingDuplicates_;
  /// Calls that wait for tokens, oldest first.
  std::map<ClientAccountId, std::deque<CallPointer>> waitingForTokens_;
  std::unordered_map<ActiveCall*, CallPointer> calls_;
  std::unordered_map<std::string, std::vector<CallPointer>> deeperCalls_; ///< By context token.
  std::unordered_map<std::uint64_t, CallPointer> attempts_;               ///< By call id.
  std::uint64_t nextCallId_ = 1;
  LogThrottle unknownOutcomeThrottle_;
  RequestLogState requestLog_;
  LogThrottle droppedAnswerThrottle_;
  LogThrottle drainThrottle_;
  bool draining_ = false;
  TimePoint drainEndsAt_{}; ///< Set if draining_. Calls without an answer are then ended.
};

} // namespace peridotquay
