// Chooses the targets of a call's attempts, handles their answers, retries, and queries the status
// of lost calls.
#include "peridotquay/process/Dispatcher.h"
#include "peridotquay/process/DispatcherInternal.h"
#include "peridotquay/process/Events.h"

#include <algorithm>
#include <optional>

namespace peridotquay {

namespace {

// Maximum number of status queries for one lost call, each on a new connection.
constexpr std::uint32_t kMaxStatusQueries = 3;

// Maximum number of times that a call is sent to another guard after a guard refused it.
constexpr std::uint32_t kMaxGuardRefusals = 4;

// Whether another target may run a call that was refused with this code.
bool MayOtherTargetSucceed(ErrorCode aCode)
{
  return aCode == ErrorCode::kShed || aCode == ErrorCode::kTargetRefused ||
         aCode == ErrorCode::kTargetUnreachable || aCode == ErrorCode::kDraining ||
         aCode == ErrorCode::kNoTarget || aCode == ErrorCode::kLimitReached ||
         // The queue of that guard was too long for the deadline; another guard's may be shorter.
         aCode == ErrorCode::kDeadlineExceeded;
}

// Calls at the guard as a fraction of its limit; negative if the answer doesn't report them.
double ReportedLoadFraction(const Answer& aAnswer)
{
  return aAnswer.limit_ == 0
           ? -1
           : static_cast<double>(aAnswer.inFlight_ + aAnswer.queued_) / aAnswer.limit_;
}

} // namespace

std::optional<Target> Dispatcher::SelectTarget(const CallPointer& aCall, bool& aShedUpstream)
{
  if (!targets_) {
    return std::nullopt;
  }
  const ServiceId& service = aCall->call_.service_;
  if (settings_.naive_) {
    return ChooseNaiveTarget(naive_, *targets_, service);
  }
  const TimePoint now = loop_.Now();
  std::vector<HostId> excluded = aCall->excludedHosts_;
  const TargetFilter filter = FilterFor(*aCall);
  while (true) {
    auto target = ChooseTarget(
      routing_, *targets_, service, excluded, now, aCall->route_->latencyObjective_, filter);
    if (!target || std::find(excluded.begin(), excluded.end(), target->host_) != excluded.end()) {
      return std::nullopt;
    }
    if (IsLeaving(*target)) {
      excluded.push_back(target->host_);
      continue;
    }
    const auto level = admissionLevels_.find(target->host_);
    if (level == admissionLevels_.end() ||
        ShouldSendCall(level->second, aCall->call_.importance_, now)) {
      return target;
    }
    aShedUpstream = true;
    excluded.push_back(target->host_);
  }
}

TargetFilter Dispatcher::FilterFor(const Config& aConfig,
                                   const Route& aRoute,
                                   const ClientAccountId& aAccount)
{
  const auto account = aConfig.clientAccounts_.find(aAccount);
  return { &aRoute.allowedRegions_,
           account == aConfig.clientAccounts_.end() ? nullptr : &account->second.allowedRegions_ };
}

TargetFilter Dispatcher::FilterFor(const ActiveCall& aCall) const
{
  const ClientAccountId& account = aCall.call_.clientAccount_;
  TargetFilter filter = FilterFor(*aCall.config_, *aCall.route_, account);
  if (!config_ || config_ == aCall.config_) {
    return filter;
  }
  const auto route =
    std::find_if(config_->routes_.begin(), config_->routes_.end(), [&](const Route& aRoute) {
      return aRoute.id_ == aCall.route_->id_;
    });
  if (route != config_->routes_.end()) {
    filter.currentRouteRegions_ = &route->allowedRegions_;
  }
  const auto entry = config_->clientAccounts_.find(account);
  if (entry != config_->clientAccounts_.end()) {
    filter.currentAccountRegions_ = &entry->second.allowedRegions_;
  }
  return filter;
}

bool Dispatcher::ExcludesAllTargets(const ActiveCall& aCall) const
{
  if (!targets_ || settings_.naive_) {
    return false;
  }
  const auto found = targets_->targets_.find(aCall.call_.service_);
  if (found == targets_->targets_.end() || found->second.empty()) {
    return false;
  }
  const TargetFilter filter = FilterFor(aCall);
  return std::none_of(found->second.begin(), found->second.end(), [&](const Target& aTarget) {
    return MayReach(filter, *targets_, aTarget);
  });
}

bool Dispatcher::IsLeaving(const Target& aTarget) const
{
  const auto entry = leavingTargets_.find(aTarget.host_);
  return entry != leavingTargets_.end() && entry->second == aTarget.instance_;
}

bool Dispatcher::ServesRunningCall(const ActiveCall& aCall) const
{
  if (dialect_.hasContexts_) {
    return !aCall.contextToken_.empty();
  }
  const auto use = openRoutes_.find(aCall.call_.route_);
  return aCall.hasRunningDeadline_ && use != openRoutes_.end() && IsUsedByTarget(use->second);
}

std::optional<Duration> Dispatcher::LongestDurationFor(const ActiveCall& aCall) const
{
  const TimePoint now = loop_.Now();
  const auto recent = durations_.find({ aCall.call_.route_, aCall.call_.service_ });
  if (recent == durations_.end()) {
    return std::nullopt;
  }
  auto longest = LongestRecentDuration(recent->second, now);
  for (const auto& [key, other] : calls_) {
    if (longest && other->call_.route_ == aCall.call_.route_ &&
        other->call_.service_ == aCall.call_.service_) {
      longest = std::max(*longest, now - other->arrivedAt_);
    }
  }
  return longest;
}

bool Dispatcher::MayPassOn(const ActiveCall& aCall)
{
  if (!draining_) {
    return true;
  }
  const TimePoint now = loop_.Now();
  const DrainingCall call{ aCall.deadline_, ServesRunningCall(aCall), LongestDurationFor(aCall) };
  const DrainDecision decision = DecideDuringDrain(call, drainEndsAt_, now);
  std::uint64_t skipped = 0;
  if (drainThrottle_.Allow(now, skipped)) {
    LogEvent(Event::kCallWhileDraining,
             { { "id", std::string(LoggedId(aCall.call_.headers_)) },
               { "route", aCall.call_.route_.value_ },
               { "decision", std::string(DrainDecisionName(decision)) },
               { "left_ms", WholeMs(drainEndsAt_ - now) },
               { "deadline_ms", WholeMs(aCall.deadline_ - now) },
               { "longest_ms", call.longestDuration_ ? WholeMs(*call.longestDuration_) : "-" },
               { "skipped", std::to_string(skipped) } });
  }
  return decision != DrainDecision::kRefuse;
}

void Dispatcher::StartAttempt(const CallPointer& aCall)
{
  if (!MayPassOn(*aCall)) {
    metrics_.Add(Counter::kRefusedDraining);
    Refuse(aCall, ErrorCode::kDraining, kShedRetryAfterMs);
    return;
  }
  bool shedUpstream = false;
  const auto target = SelectTarget(aCall, shedUpstream);
  if (target) {
    SendAttempt(aCall, *target);
    return;
  }
  if (shedUpstream) {
    metrics_.Add(Counter::kRefusedUpstream);
  } else if (ExcludesAllTargets(*aCall)) {
    metrics_.Add(Counter::kRefusedRegion);
  }
  Refuse(aCall, shedUpstream ? ErrorCode::kShed : ErrorCode::kNoTarget, kShedRetryAfterMs);
}

Duration Dispatcher::AnswerReserve(const Target& aTarget) const
{
  return aTarget.region_ == settings_.region_ ? kAnswerReserve : kOtherRegionAnswerReserve;
}

void Dispatcher::SendAttempt(const CallPointer& aCall, const Target& aTarget)
{
  const TimePoint now = loop_.Now();
  metrics_.Add(Counter::kAttempts);
  ActiveCall& call = *aCall;
  call.target_ = aTarget;
  ++call.attemptCount_;
  if (const auto exchange = call.exchange_.lock()) {
    exchange->attempts_ = call.attemptCount_;
  }
  call.sentAt_ = now;
  call.queriesStatus_ = false;
  call.statusQueries_ = 0;
  call.guardProcess_ = {};
  call.localCallNumber_ = 0;
  call.attemptCallId_ = nextCallId_++;
  call.lentRetries_ = dialect_.hasContexts_ ? LendRetries(call.budget_) : 0;
  call.call_.callId_ = call.attemptCallId_;
  call.call_.retries_ = call.lentRetries_;
  const auto leftMs =
    std::chrono::duration_cast<milliseconds>(call.deadline_ - now - AnswerReserve(aTarget)).count();
  call.call_.deadlineMs_ = static_cast<std::uint32_t>(std::max<std::int64_t>(1, leftMs));
  attempts_[call.attemptCallId_] = aCall;
  if (!settings_.naive_) {
    RecordCallSent(routing_, aTarget, now);
    RecordChoice(call.call_.service_, aTarget);
  }
  if (aTarget.host_ != settings_.host_) {
    hub_.SendCall(aTarget.peer_, call.attemptCallId_, call.call_);
    return;
  }
  guard_.Run(
    call.call_,
    [&call](std::uint64_t aNumber) { call.localCallNumber_ = aNumber; },
    [this](Answer aAnswer) { OnAnswer(std::move(aAnswer), 0); });
}

void Dispatcher::RecordChoice(const ServiceId& aService, const Target& aTarget)
{
  if (routing_.loads_.empty() && evenServices_.empty()) {
    return;
  }
  const bool even = IsLoadEven(routing_, aService);
  if (even) {
    metrics_.Add(Counter::kAttemptsByLoad);
    metrics_.Add(Counter::kAttemptsByLoadFar, aTarget.dataCentre_ == settings_.dataCentre_ ? 0 : 1);
  }
  if (even == evenServices_.contains(aService)) {
    return;
  }
  if (even) {
    evenServices_.insert(aService);
  } else {
    evenServices_.erase(aService);
  }
  LogEvent(Event::kDistributionChanged,
           { { "service", aService.value_ }, { "by_load", even ? "true" : "false" } });
}

void Dispatcher::OnAnswer(Answer aAnswer, std::uint64_t aLink)
{
  const auto entry = attempts_.find(aAnswer.callId_);
  // An answer is accepted only on the connection on which the call expects it.
  if (entry == attempts_.end() || hub_.LinkOfCall(aAnswer.callId_) != aLink) {
    metrics_.Add(Counter::kDroppedAnswers);
    std::uint64_t skipped = 0;
    if (droppedAnswerThrottle_.Allow(loop_.Now(), skipped)) {
      LogEvent(
        Event::kAnswerDropped,
        { { "call", std::to_string(aAnswer.callId_) }, { "skipped", std::to_string(skipped) } });
    }
    return;
  }
  const CallPointer call = entry->second;
  hub_.EndCall(aAnswer.callId_);
  OnAttemptAnswer(call, std::move(aAnswer));
}

void Dispatcher::EndAttempt(const CallPointer& aCall, AttemptResult aResult, const Answer* aAnswer)
{
  ActiveCall& call = *aCall;
  attempts_.erase(call.attemptCallId_);
  call.attemptCallId_ = 0;
  call.queriesStatus_ = false;
  call.localCallNumber_ = 0;
  // Without an answer, all lent retries count as spent.
  ReturnRetries(call.budget_, call.lentRetries_, aAnswer == nullptr ? 0 : aAnswer->retriesUnused_);
  call.lentRetries_ = 0;
  if (call.isOwnerCall_ || settings_.naive_) {
    return;
  }
  const TimePoint now = loop_.Now();
  const LoadReport report =
    aAnswer == nullptr
      ? LoadReport{}
      : LoadReport{ aAnswer->inFlight_, aAnswer->queued_, aAnswer->limit_, aAnswer->workPercent_ };
  RecordCallEnded(routing_,
                  call.target_,
                  aResult,
                  now - call.sentAt_,
                  aAnswer == nullptr ? -1 : ReportedLoadFraction(*aAnswer),
                  now,
                  report.limit_ == 0 ? nullptr : &report);
  if (aAnswer != nullptr && aAnswer->limit_ != 0) {
    RecordFailureFraction(routing_, call.target_, aAnswer->failurePercent_ / 100.0, now);
    const auto [level, isNew] = admissionLevels_.try_emplace(call.target_.host_);
    if (isNew) {
      // Each guard has its own random sequence, so that probes of several guards don't coincide.
      level->second.random_ ^= routing_.random_ * nextCallId_;
    }
    RecordAdmissionLevel(level->second, aAnswer->level_, now);
  }
}

void Dispatcher::OnAttemptAnswer(const CallPointer& aCall, Answer aAnswer)
{
  // A body whose size differs from the declared one is reported as truncated.
  if (aAnswer.outcome_ != Outcome::kNotRun && aCall->call_.method_ != "HEAD" &&
      aAnswer.declaredBodyBytes_ != aAnswer.body_.size()) {
    const std::uint32_t unused = aAnswer.retriesUnused_;
    aAnswer = MakeAnswer(Outcome::kUnknown, ErrorCode::kTruncatedAnswer);
    aAnswer.retriesUnused_ = unused;
  }
  if (dialect_.notice_ != nullptr && dialect_.notice_(aAnswer.headers_).leaving_) {
    leavingTargets_[aCall->target_.host_] = aCall->target_.instance_;
  }
  const bool owner = aCall->isOwnerCall_;
  AttemptResult result = AttemptResult::kAnswered;
  if (aAnswer.outcome_ == Outcome::kNotRun) {
    const bool unreachable =
      aAnswer.error_ == static_cast<std::uint16_t>(ErrorCode::kTargetUnreachable);
    result = unreachable ? AttemptResult::kUnreachable : AttemptResult::kRefused;
  } else if (aAnswer.outcome_ == Outcome::kUnknown && aAnswer.status_ == 0) {
    const bool late = aAnswer.error_ == static_cast<std::uint16_t>(ErrorCode::kDeadlineExceeded);
    result = late ? AttemptResult::kTimedOut : AttemptResult::kFailed;
  }
  EndAttempt(aCall, result, &aAnswer);
  if (owner) {
    // The owner has already retried.
    End(aCall, std::move(aAnswer));
    return;
  }
  RetryOrEnd(aCall, std::move(aAnswer));
}

RetryRatioSettings Dispatcher::RetrySettings(const ActiveCall& aCall) const
{
  const Policy& policy = aCall.config_->policy_;
  return { policy.retryRatio_,
           policy.retryBudgetCapacity_,
           policy.guaranteedRetryInterval_,
           policy.retryMayHaveRunCost_ };
}

bool Dispatcher::AcquireRetry(const CallPointer& aCall, bool aReachedHost, bool aReachedTarget)
{
  if (loop_.Now() >= aCall->deadline_) {
    return false;
  }
  if (settings_.naive_) {
    return AllowNaiveRetry(aCall->retries_);
  }
  if (!dialect_.hasContexts_ && !aReachedTarget) {
    // No target has seen the call, so sending it elsewhere adds no load to any.
    return ++aCall->guardRefusals_ <= kMaxGuardRefusals;
  }
  // The retry ratio protects slow or failing services. An attempt that reached no host added no
  // load to them.
  const bool withinRetryRatio =
    !aReachedHost ||
    ConsumeRetryToken(
      retryRatios_[aCall->call_.service_], RetrySettings(*aCall), loop_.Now(), aCall->mayHaveRun_);
  if (aCall->budget_.left_ == 0 || !withinRetryRatio) {
    metrics_.Add(Counter::kRetriesDenied);
    return false;
  }
  return SpendRetry(aCall->budget_);
}

bool Dispatcher::HasRetryLeft(const ActiveCall& aCall) const
{
  const auto ratio = retryRatios_.find(aCall.call_.service_);
  return loop_.Now() < aCall.deadline_ && aCall.budget_.left_ > 0 && ratio != retryRatios_.end() &&
         HasRetryToken(ratio->second, RetrySettings(aCall), loop_.Now(), true);
}

void Dispatcher::RetryOrEnd(const CallPointer& aCall, Answer aAnswer, bool aExcludeHost)
{
  const auto code = static_cast<ErrorCode>(aAnswer.error_);
  // Status 504 from a target is an answer and is passed on.
  const bool retryable = (aAnswer.outcome_ == Outcome::kNotRun && MayOtherTargetSucceed(code)) ||
                         (aAnswer.outcome_ == Outcome::kUnknown && aAnswer.status_ == 0 &&
                          aCall->call_.repeatable_ && code != ErrorCode::kDeadlineExceeded);
  aCall->mayHaveRun_ = aCall->mayHaveRun_ || aAnswer.outcome_ == Outcome::kUnknown;
  if (!retryable) {
    End(aCall, std::move(aAnswer));
    return;
  }
  // A call that may have run ends as unknown in any case, so that another attempt can only help.
  if (!aCall->mayHaveRun_ && !MayPassOn(*aCall)) {
    End(aCall, std::move(aAnswer));
    return;
  }
  if (aExcludeHost) {
    aCall->excludedHosts_.push_back(aCall->target_.host_);
  }
  bool shedUpstream = false;
  auto target = SelectTarget(aCall, shedUpstream);
  if (!target && aAnswer.outcome_ == Outcome::kUnknown) {
    // Losing a call doesn't indicate overload, so without another host the same one is used again.
    aCall->excludedHosts_.clear();
    target = SelectTarget(aCall, shedUpstream);
  }
  const bool reachedHost =
    aAnswer.outcome_ != Outcome::kNotRun || code != ErrorCode::kTargetUnreachable;
  const bool reachedTarget =
    aAnswer.outcome_ != Outcome::kNotRun || code == ErrorCode::kTargetRefused;
  if (!target || !AcquireRetry(aCall, reachedHost, reachedTarget)) {
    End(aCall, std::move(aAnswer));
    return;
  }
  ++aCall->retries_;
  metrics_.Add(Counter::kRetries);
  const std::string_view id = LoggedId(aCall->call_.headers_);
  std::uint64_t leftOut = 0;
  if (AllowRequestLine(requestLog_, id, true, loop_.Now(), leftOut)) {
    LogEvent(Event::kCallRepeated,
             { { "id", std::string(id) },
               { "from", aCall->target_.host_.value_ },
               { "to", target->host_.value_ },
               { "reason", std::string(ErrorName(code)) },
               { "may_have_run", aCall->mayHaveRun_ ? "true" : "false" } });
  }
  SendAttempt(aCall, *target);
}

void Dispatcher::OnCallLost(const LostCall& aCall)
{
  const auto entry = attempts_.find(aCall.callId_);
  if (entry == attempts_.end()) {
    return;
  }
  const CallPointer call = entry->second;
  if (call->queriesStatus_) {
    const std::uint32_t maxQueries = call->call_.repeatable_ ? 1 : kMaxStatusQueries;
    if (aCall.maybeSent_ && call->statusQueries_ < maxQueries) {
      QueryCallStatus(call);
      return;
    }
    // The host can no longer be reached, or all queries are used up.
    Answer answer = MakeAnswer(Outcome::kUnknown, ErrorCode::kOutcomeUnknown);
    EndAttempt(call, AttemptResult::kFailed, nullptr);
    RetryOrEnd(call, std::move(answer));
    return;
  }
  if (call->isOwnerCall_) {
    // The request id makes it safe to forward the call to the owner again.
    EndAttempt(call, AttemptResult::kFailed, nullptr);
    if (aCall.maybeSent_ && AcquireRetry(call, true, true)) {
      metrics_.Add(Counter::kRetries);
      ++call->retries_;
      call->isOwnerCall_ = false;
      BeginWithId(call);
      return;
    }
    EndUnknown(call, ErrorCode::kOutcomeUnknown);
    return;
  }
  if (!aCall.maybeSent_) {
    Answer answer = MakeAnswer(Outcome::kNotRun, ErrorCode::kTargetUnreachable);
    answer.retriesUnused_ = call->lentRetries_;
    EndAttempt(call, AttemptResult::kUnreachable, &answer);
    RetryOrEnd(call, std::move(answer));
    return;
  }
  // A repeatable call goes on at a host that can be reached again: running it elsewhere would need
  // a retry, and lose what has been done. A silent host may not answer the query either, so that
  // a call with a retry left is sent elsewhere.
  const bool maySendAgain =
    call->call_.repeatable_ && aCall.reason_ == LinkEndReason::kSilent && HasRetryLeft(*call);
  if (!maySendAgain && !settings_.naive_) {
    call->guardProcess_ = aCall.peer_;
    QueryCallStatus(call);
    return;
  }
  EndAttempt(call, AttemptResult::kFailed, nullptr);
  // A silent connection says nothing about its host, which may be chosen again.
  RetryOrEnd(call,
             MakeAnswer(Outcome::kUnknown, ErrorCode::kOutcomeUnknown),
             aCall.reason_ != LinkEndReason::kSilent);
}

void Dispatcher::QueryCallStatus(const CallPointer& aCall)
{
  metrics_.Add(Counter::kCallStatusQueries);
  aCall->queriesStatus_ = true;
  ++aCall->statusQueries_;
  hub_.SendCall(aCall->target_.peer_,
                aCall->attemptCallId_,
                CallStatusQuery{ ledger_.incarnation_, aCall->attemptCallId_ });
}

void Dispatcher::OnCallStatusReply(const CallStatusReply& aReply, std::uint64_t aLink)
{
  const auto entry = attempts_.find(aReply.callId_);
  if (entry == attempts_.end() || !entry->second->queriesStatus_ ||
      hub_.LinkOfCall(aReply.callId_) != aLink) {
    return;
  }
  const CallPointer call = entry->second;
  const Hello* peer = hub_.PeerOfCall(aReply.callId_);
  // A new incarnation has a new table, so its "never arrived" says nothing about the call.
  const bool sameIncarnation = peer != nullptr && *peer == call->guardProcess_;
  if (sameIncarnation &&
      (aReply.callStatus_ == CallStatus::kRunning || aReply.callStatus_ == CallStatus::kDone ||
       aReply.callStatus_ == CallStatus::kRefused)) {
    // The answer follows on this connection, which is monitored for silence as for any call.
    return;
  }
  hub_.EndCall(aReply.callId_);
  if (call->call_.repeatable_) {
    // The call has ended, or never arrived; guards don't record repeatable calls.
    EndAttempt(call, AttemptResult::kFailed, nullptr);
    RetryOrEnd(call, MakeAnswer(Outcome::kUnknown, ErrorCode::kOutcomeUnknown));
    return;
  }
  if (sameIncarnation && aReply.callStatus_ == CallStatus::kNeverArrived) {
    Answer answer = MakeAnswer(Outcome::kNotRun, ErrorCode::kTargetUnreachable);
    answer.retriesUnused_ = call->lentRetries_;
    EndAttempt(call, AttemptResult::kFailed, &answer);
    // The host has just replied, so it may be chosen again.
    RetryOrEnd(call, std::move(answer), false);
    return;
  }
  EndAttempt(call, AttemptResult::kFailed, nullptr);
  EndUnknown(call, ErrorCode::kOutcomeUnknown);
}

} // namespace peridotquay
