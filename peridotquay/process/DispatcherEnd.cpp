// Ends calls (by an answer, a refusal, cancellation or their deadline) and answers their callers.
#include "peridotquay/process/Dispatcher.h"
#include "peridotquay/process/DispatcherInternal.h"
#include "peridotquay/process/Events.h"

#include <algorithm>
#include <tuple>

namespace peridotquay {

namespace {

// Explanation of a failure for the body of the HTTP answer.
std::string_view ErrorDetail(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kMalformedRequest:
      return "a Quay header or the request is malformed";
    case ErrorCode::kMissingKey:
      return "the route needs a key in header Quay-Key";
    case ErrorCode::kUnknownKey:
      return "the key is unknown or withdrawn";
    case ErrorCode::kRouteNotAllowed:
      return "the client account may not use this route";
    case ErrorCode::kNoRoute:
      return "no route matches the path";
    case ErrorCode::kOverRate:
      return "the client account is over its rate";
    case ErrorCode::kShed:
      return "the service is overloaded";
    case ErrorCode::kNoTarget:
      return "no target of the service is available";
    case ErrorCode::kDeadlineExceeded:
      return "the deadline can't be met or has passed";
    case ErrorCode::kConfigurationNotFresh:
      return "this host doesn't know whether its configuration is the latest";
    case ErrorCode::kDraining:
      return "the host or target is leaving";
    case ErrorCode::kBadRequestId:
      return "the request id is invalid or belongs to another request";
    case ErrorCode::kRequestIdExpired:
      return "the request id is too old";
    case ErrorCode::kDepthExceeded:
      return "the call chain is deeper than 8";
    case ErrorCode::kMissingContext:
      return "a deeper call on this route needs the Quay-Call header of a running call";
    case ErrorCode::kOutcomeUnknown:
      return "it is not known whether the request ran";
    case ErrorCode::kTruncatedAnswer:
      return "the answer of the target was not whole";
    case ErrorCode::kTargetUnreachable:
      return "the target can't be reached";
    case ErrorCode::kTargetRefused:
      return "the target refused the request";
    case ErrorCode::kLimitReached:
      return "a limit of the host is reached";
    default:
      return "";
  }
}

// HTTP status of the target's answer, or the name of the failure.
std::string ReasonOf(const Answer& aAnswer)
{
  return aAnswer.error_ == 0 ? std::to_string(aAnswer.status_)
                             : std::string(ErrorName(static_cast<ErrorCode>(aAnswer.error_)));
}

/// How overloaded the end of a deeper call shows the services below the local target to be.
double OverloadShownBy(const Answer& aAnswer)
{
  switch (static_cast<ErrorCode>(aAnswer.error_)) {
    case ErrorCode::kShed:
    case ErrorCode::kDeadlineExceeded:
    case ErrorCode::kLimitReached:
    case ErrorCode::kNoTarget:
      return 1;
    default:
      // Guards keep their targets within their slots, so a target that refuses a call itself
      // doesn't do so for lack of room, and fewer runs wouldn't help.
      return CallOverload(aAnswer.queued_, aAnswer.limit_, StatedDeeperOverload(aAnswer.level_));
  }
}

} // namespace

bool Dispatcher::IsDeeperCall(const ActiveCall& aCall) const
{
  return dialect_.hasContexts_ ? !aCall.contextToken_.empty()
                               : aCall.call_.clientAccount_.value_.empty();
}

void Dispatcher::OnDeadline(const CallPointer& aCall)
{
  if (!calls_.contains(aCall.get())) {
    return;
  }
  const bool mayHaveRun = aCall->attemptCallId_ != 0 || aCall->mayHaveRun_;
  CancelAttempt(aCall);
  if (mayHaveRun) {
    EndUnknown(aCall, ErrorCode::kDeadlineExceeded);
    return;
  }
  // A duplicate waits for the answer of the request that runs under its id, so "not run" would be
  // false.
  const bool waitsAsDuplicate = !aCall->requestId_.empty() && !aCall->requestDigest_.empty();
  if (waitsAsDuplicate) {
    EndUnknown(aCall, ErrorCode::kDeadlineExceeded);
  } else {
    Refuse(aCall, ErrorCode::kDeadlineExceeded);
  }
}

void Dispatcher::CancelAttempt(const CallPointer& aCall)
{
  if (aCall->attemptCallId_ == 0) {
    return;
  }
  const std::uint64_t attempt = aCall->attemptCallId_;
  const std::uint64_t localCallNumber = aCall->localCallNumber_;
  EndAttempt(aCall,
             loop_.Now() >= aCall->deadline_ ? AttemptResult::kTimedOut : AttemptResult::kCancelled,
             nullptr);
  if (localCallNumber != 0) {
    guard_.Cancel(localCallNumber);
  } else {
    hub_.CancelCall(attempt);
  }
}

void Dispatcher::CancelCall(const CallPointer& aCall)
{
  if (!calls_.contains(aCall.get())) {
    return;
  }
  CancelAttempt(aCall);
  EndUnknown(aCall, ErrorCode::kCancelled);
}

void Dispatcher::End(const CallPointer& aCall, Answer aAnswer)
{
  if (calls_.erase(aCall.get()) == 0) {
    return;
  }
  ActiveCall& call = *aCall;
  loop_.CancelTimer(call.deadlineTimer_);
  loop_.CancelTimer(call.tokenTimer_);
  if (call.tokenTimer_ != 0) {
    call.tokenTimer_ = 0;
    const auto queue = waitingForTokens_.find(call.call_.clientAccount_);
    if (queue != waitingForTokens_.end()) {
      std::erase(queue->second, aCall);
    }
  }
  // An earlier attempt may have run, so a refusal of the last one doesn't mean "not run".
  if (call.mayHaveRun_ && aAnswer.outcome_ == Outcome::kNotRun) {
    aAnswer.outcome_ = Outcome::kUnknown;
  }
  aAnswer.retriesUnused_ = call.budget_.left_;
  if (IsDeeperCall(call) && static_cast<ErrorCode>(aAnswer.error_) != ErrorCode::kCancelled) {
    guard_.RecordDeeperCall(OverloadShownBy(aAnswer));
  }
  if (!call.contextToken_.empty()) {
    const auto deeper = deeperCalls_.find(call.contextToken_);
    if (deeper != deeperCalls_.end()) {
      std::erase(deeper->second, aCall);
      if (deeper->second.empty()) {
        deeperCalls_.erase(deeper);
      }
    }
    if (CallContext* context = guard_.Context(call.contextToken_)) {
      ReturnRetries(context->budget_, call.retriesFromContext_, call.budget_.left_);
      EndDeeperCall(*context, loop_.Now());
    }
  }
  if (call.sequence_ != 0) {
    FinishRecord(aCall, aAnswer);
  }
  switch (aAnswer.outcome_) {
    case Outcome::kRan:
      metrics_.Add(Counter::kAnswersRan);
      break;
    case Outcome::kNotRun:
      metrics_.Add(Counter::kAnswersNotRun);
      break;
    case Outcome::kUnknown:
      metrics_.Add(Counter::kAnswersUnknown);
      LogUnknown(call, static_cast<ErrorCode>(aAnswer.error_));
      break;
  }
  const Duration time = loop_.Now() - call.arrivedAt_;
  // A call that was cut at its deadline would have taken longer still.
  if (aAnswer.outcome_ == Outcome::kRan ||
      (aAnswer.outcome_ == Outcome::kUnknown &&
       static_cast<ErrorCode>(aAnswer.error_) == ErrorCode::kDeadlineExceeded)) {
    RecordDuration(durations_[{ call.call_.route_, call.call_.service_ }], time, loop_.Now());
  }
  if (call.contextToken_.empty()) {
    metrics_.RecordTime(Stage::kCaller, time);
    metrics_.RecordRouteTime(call.call_.route_.value_, time);
  }
  LogEnd(call, aAnswer);
  const CompletionHandler handler = std::move(call.completionHandler_);
  call.completionHandler_ = nullptr;
  if (handler) {
    handler(aAnswer);
  }
}

std::string_view Dispatcher::LoggedId(const HeaderList& aHeaders) const
{
  const auto header = dialect_.echoHeader_.empty() ? "Quay-Request-Id" : dialect_.echoHeader_;
  return FindHeader(aHeaders, header).value_or("-");
}

void Dispatcher::LogEnd(const ActiveCall& aCall, const Answer& aAnswer)
{
  const std::string_view id = LoggedId(aCall.call_.headers_);
  const bool failed = aAnswer.outcome_ != Outcome::kRan || aAnswer.status_ >= 500;
  const TimePoint now = loop_.Now();
  std::uint64_t leftOut = 0;
  if (!AllowRequestLine(requestLog_, id, failed, now, leftOut)) {
    return;
  }
  LogEvent(Event::kRequestEnded,
           { { "id", std::string(id) },
             { "route", aCall.call_.route_.value_ },
             { "service", aCall.call_.service_.value_ },
             { "account", aCall.call_.clientAccount_.value_ },
             { "version", std::to_string(aCall.config_->version_) },
             { "fresh_ms", WholeMs(FreshnessAge()) },
             { "attempts", std::to_string(aCall.attemptCount_) },
             { "target", aCall.target_.host_.value_ },
             { "outcome", std::string(OutcomeName(aAnswer.outcome_)) },
             { "reason", ReasonOf(aAnswer) },
             { "ms", WholeMs(now - aCall.arrivedAt_) },
             { "left_out", std::to_string(leftOut) } });
}

void Dispatcher::LogRefusal(const HttpRequest& aRequest, ErrorCode aCode)
{
  const std::string_view id = LoggedId(aRequest.headers_);
  std::uint64_t leftOut = 0;
  if (!AllowRequestLine(requestLog_, id, true, loop_.Now(), leftOut)) {
    return;
  }
  LogEvent(Event::kRequestRefused,
           { { "id", std::string(id) },
             { "reason", std::string(ErrorName(aCode)) },
             { "version", std::to_string(ConfigVersion()) },
             { "fresh_ms", WholeMs(FreshnessAge()) },
             { "left_out", std::to_string(leftOut) } });
}

void Dispatcher::LogUnknown(const ActiveCall& aCall, ErrorCode aCode)
{
  std::uint64_t skipped = 0;
  // The unknown outcome of a cancelled call isn't logged, because no caller receives it.
  if (aCode != ErrorCode::kCancelled && unknownOutcomeThrottle_.Allow(loop_.Now(), skipped)) {
    LogEvent(Event::kOutcomeUnknown,
             { { "route", aCall.call_.route_.value_ },
               { "reason", std::string(ErrorName(aCode)) },
               { "skipped", std::to_string(skipped) } });
  }
}

void Dispatcher::Refuse(const CallPointer& aCall, ErrorCode aCode, std::uint32_t aRetryAfterMs)
{
  End(aCall, MakeAnswer(Outcome::kNotRun, aCode, aRetryAfterMs));
}

void Dispatcher::EndUnknown(const CallPointer& aCall, ErrorCode aCode)
{
  End(aCall, MakeAnswer(Outcome::kUnknown, aCode));
}

void Dispatcher::RefuseExchange(const std::shared_ptr<HttpExchange>& aExchange,
                                const Refusal& aRefusal)
{
  const HttpRequest& request = aExchange->request_;
  const auto id = FindHeader(request.headers_, "Quay-Request-Id");
  const Route* route = config_ ? FindRequestRoute(request) : nullptr;
  const bool runsOnce =
    dialect_.issuesRequestIds_ && id && (route == nullptr || !route->repeatable_);
  const Outcome outcome = runsOnce ? OutcomeOfRefusal(*id, aRefusal.code_) : Outcome::kNotRun;
  metrics_.Add(outcome == Outcome::kNotRun ? Counter::kAnswersNotRun : Counter::kAnswersUnknown);
  LogRefusal(request, aRefusal.code_);
  aExchange->Respond(dialect_.failure_(
    aRefusal.code_, outcome, ErrorDetail(aRefusal.code_), aRefusal.retryAfterMs_));
}

void Dispatcher::Respond(const std::shared_ptr<HttpExchange>& aExchange,
                         const ActiveCall& aCall,
                         const Answer& aAnswer)
{
  HttpResponse response;
  const auto code = static_cast<ErrorCode>(aAnswer.error_);
  // An answer of the target is passed on even if its status reports a failure. If its outcome is
  // unknown, it is passed on only with status 504.
  if (aAnswer.status_ == 0 || (aAnswer.outcome_ == Outcome::kUnknown && aAnswer.status_ != 504)) {
    const auto reportedCode = aAnswer.error_ == 0 ? ErrorCode::kOutcomeUnknown : code;
    response = dialect_.failure_(
      reportedCode, aAnswer.outcome_, ErrorDetail(reportedCode), aAnswer.retryAfterMs_);
  } else if (IsBodyDropped(aAnswer)) {
    // The request ran, but the body of its answer wasn't stored.
    response = ErrorResponse(
      ErrorCode::kTruncatedAnswer, Outcome::kRan, "the answer was too large to keep for a repeat");
    response.status_ = 410;
    response.headers_.emplace_back(kBodyDigestHeader,
                                   FindHeader(aAnswer.headers_, kBodyDigestHeader).value_or(""));
  } else {
    response.status_ = aAnswer.status_;
    response.headers_ = aAnswer.headers_;
    response.body_ = aAnswer.body_;
    if (aCall.call_.method_ == "HEAD") {
      response.declaredLength_ = aAnswer.declaredBodyBytes_;
    }
    if (dialect_.issuesRequestIds_) {
      response.headers_.emplace_back("Quay-Outcome", OutcomeName(aAnswer.outcome_));
    }
  }
  if (!aCall.requestId_.empty()) {
    response.headers_.emplace_back("Quay-Request-Id", aCall.requestId_);
  }
  aExchange->Respond(response);
}

} // namespace peridotquay
