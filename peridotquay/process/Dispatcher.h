// The first host's side of a call: authenticate, limit, route, forward with retries, answer.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpFront.h"
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
#include "peridotquay/request/NaivePolicy.h"
#include "peridotquay/request/RetryBudget.h"
#include "peridotquay/request/RouteChoice.h"
#include "peridotquay/request/TokenCache.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotquay {

/// Used on the socket thread only.
class Dispatcher
{
public:
  /// Takes the final answer of a call.
  using Done = std::function<void(const Answer&)>;

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

  /// A request from a caller.
  void OnCallerRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// A deeper call of the local target.
  void OnOutboundRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// A caller's request that another host passed on because this host issued its id.
  void OnOwnerCall(OwnerCall aCall, Done aDone);
  /// An answer that came by a peer link, or from the local guard with link 0. Dropped and counted
  /// if no call waits for it on that link.
  void OnAnswer(Answer aAnswer, std::uint64_t aLink);
  void OnCallStatusReply(const CallFateReply& aReply, std::uint64_t aLink);
  void OnCallLost(const LostCall& aCall);
  /// Records of request ids from a leaving host.
  void OnHandover(const RequestHandover& aBatch);

  void SetConfig(std::shared_ptr<const Config> aConfig);
  void SetTargets(std::shared_ptr<const TargetView> aTargets);
  void SetFreshness(TimePoint aFreshness);
  void OnGrant(const ShareGrant& aGrant, TimePoint aAsked);

  /// Gives back tokens of accounts without recent use. Call about every 100 ms.
  void ReturnTokens();

  /// From now on new requests are refused with kDraining.
  void SetDraining();
  /// Ends all calls: those that may have been sent with outcome unknown, the others with "not run".
  void Abort();
  /// Closes the ledger and returns its records for the successor.
  std::vector<RequestHandover> HandOver();

  /// Calls that aren't answered yet.
  std::size_t ActiveCalls() const;
  Version ConfigVersion() const;
  std::size_t TargetCount() const;
  const TargetView* CurrentTargets() const;
  /// JSON text that tells how a call would be treated now.
  std::string Explain(std::string_view aPath, std::string_view aAccount);

  /// Sends a request for tokens to the control side.
  std::function<void(ShareRequest)> requestTokens_;

private:
  /// A caller's request or a deeper call on its way through this host.
  struct ActiveCall
  {
    std::shared_ptr<const Config> config_; ///< Keeps route_ alive.
    const Route* route_ = nullptr;
    Call call_; ///< As it is sent to guards; the call id is set for each attempt.
    Done done_;
    TimePoint arrived_{};
    TimePoint deadline_{};
    std::uint64_t deadlineTimer_ = 0;
    RetryBudget budget_;
    std::vector<HostId> excluded_; ///< Hosts that refused or failed this call.
    std::uint32_t retries_ = 0;
    std::uint32_t placements_ = 0; ///< Guards that refused the call.
    std::uint32_t sends_ = 0;      ///< Attempts at guards.

    std::string requestId_;      ///< Set if this call runs under a request id.
    std::uint64_t sequence_ = 0; ///< Record of requestId_ while it runs here; 0 otherwise.
    std::pair<HostId, Incarnation> ledger_; ///< Where the record is.
    std::string requestDigest_;

    std::string contextToken_; ///< Deeper calls only.
    std::uint32_t lentByContext_ = 0;

    std::uint64_t attempt_ = 0; ///< Call id of the present attempt; 0 if there is none.
    bool owner_ = false;        ///< The attempt is an OwnerCall.
    bool asksFate_ = false;     ///< The connection of the attempt was lost; its fate is asked for.
    std::uint32_t fateQuestions_ = 0;
    bool mayHaveRun_ = false; ///< An earlier attempt ended with outcome unknown.
    Target target_;           ///< Of the attempt.
    Hello guard_;             ///< The process that the attempt was sent to.
    TimePoint sent_{};
    std::uint32_t lent_ = 0;       ///< Retries lent to the attempt.
    std::uint64_t localRun_ = 0;   ///< Number at the local guard.
    std::uint64_t tokenTimer_ = 0; ///< Set while the call waits for tokens.
  };
  using CallPointer = std::shared_ptr<ActiveCall>;

  struct Refusal
  {
    ErrorCode code_ = ErrorCode::kShed;
    std::uint32_t retryAfterMs_ = 0;
  };

  // Intake.
  std::optional<Refusal> Authenticate(const HttpRequest& aRequest, ActiveCall& aCall) const;
  Duration FreshnessAge() const;
  const ServiceId& ChooseService(const Route& aRoute);
  std::optional<Refusal> ReadLimits(const HttpRequest& aRequest, ActiveCall& aCall) const;
  bool FindCallRoute(const HttpRequest& aRequest, ActiveCall& aCall) const;
  void Accept(const CallPointer& aCall, const std::shared_ptr<HttpExchange>& aExchange);
  void IssueIds(const std::shared_ptr<HttpExchange>& aExchange);
  void Limit(const CallPointer& aCall);
  void WaitForTokens(const CallPointer& aCall, Duration aWait, bool aExtend);
  void RetryWaiting(const ClientAccountId& aAccount);
  void Begin(const CallPointer& aCall);

  // Request ids.
  RequestLedger* FindLedger(const HostId& aHost, Incarnation aIncarnation);
  void BeginWithId(const CallPointer& aCall);
  void BeginRecord(const CallPointer& aCall, RequestLedger& aLedger, std::uint64_t aSequence);
  void SendToOwner(const CallPointer& aCall, const Address& aOwner);
  void FinishRecord(const CallPointer& aCall, const Answer& aAnswer);

  // Attempts.
  std::optional<Target> Choose(const CallPointer& aCall, bool& aShedUpstream);
  void Attempt(const CallPointer& aCall);
  Duration AnswerReserve(const Target& aTarget) const;
  void Send(const CallPointer& aCall, const Target& aTarget);
  void EndAttempt(const CallPointer& aCall, AttemptResult aResult, const Answer* aAnswer);
  void OnAttemptAnswer(const CallPointer& aCall, Answer aAnswer);
  void QueryCallStatus(const CallPointer& aCall);
  bool MayRetry(const CallPointer& aCall, bool aReachedHost, bool aReachedTarget);
  RetryRatioSettings RetrySettings(const ActiveCall& aCall) const;
  void RetryOrEnd(const CallPointer& aCall, Answer aAnswer, bool aExclude = true);

  // End.
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
  TimePoint freshness_{};
  Duration suspendedAtFreshness_{}; ///< SuspendedTime when freshness_ was set.
  RoutingState routing_;
  TokenCache tokens_;
  NaiveState naive_;
  std::map<HostId, ReceivedAdmissionLevel> levels_; ///< By guard; only of hosts in targets_.
  std::map<ServiceId, RetryRatio> ratios_;          ///< Only of services in config_.
  RequestLedger ledger_;
  std::map<std::pair<HostId, Incarnation>, RequestLedger> adopted_;
  /// Repeats that wait for a running request, by ledger and sequence.
  std::map<std::tuple<HostId, Incarnation, std::uint64_t>, std::vector<CallPointer>> repeats_;
  std::map<ClientAccountId, std::deque<CallPointer>> waiting_; ///< For tokens, oldest first.
  std::unordered_map<ActiveCall*, CallPointer> calls_;
  std::unordered_map<std::string, std::vector<CallPointer>> deeper_; ///< By context token.
  std::unordered_map<std::uint64_t, CallPointer> attempts_;          ///< By call id.
  std::uint64_t nextCallId_ = 1;
  LogThrottle unknownLog_;
  RequestLogState requestLog_;
  LogThrottle droppedLog_;
  bool draining_ = false;
};

} // namespace peridotquay
