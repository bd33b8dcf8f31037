// Admission control in front of the local target.
#include "peridotquay/process/Guard.h"

#include "peridotquay/process/Events.h"
#include "peridotquay/request/DrainDecision.h"
#include "peridotquay/request/RouteChoice.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <vector>

namespace peridotquay {

namespace {

// Interval at which waiting calls are checked for missed deadlines.
constexpr Duration kQueueCheckInterval = milliseconds(10);

/// The duration of work changes many times a second, so an older statement says nothing about it.
constexpr Duration kMaxWorkStatementAge = seconds(3);
constexpr std::uint32_t kUsualWorkPercent = 100;

// After this many consecutive polls without a connection the target is announced as draining.
constexpr std::uint32_t kMaxFailedPolls = 3;

// Timeout of a request to the target's health or load endpoint.
constexpr Duration kPollTimeout = milliseconds(900);

// After this long without an answer to a call, the target is probed on a kept and on a fresh
// connection.
constexpr Duration kSilenceTimeout = milliseconds(300);
constexpr Duration kSilenceCheckInterval = milliseconds(100);

// Share of the requests that a target serves itself, if it is called by others too. Without
// contexts these deeper calls are critical, so that a steady stream of them would leave the
// requests nothing. With contexts, `critical` is a class of requests, before which no other class
// is served.
constexpr double kRequestShare = 0.25;

// Part of the usual time of a run that is left for it when a caller is told to return.
constexpr double kRunTimeMargin = 1.5;

// Timeout of these two probes.
constexpr Duration kProbeTimeout = milliseconds(250);

Answer RefusedAnswer(const Call& aCall, ErrorCode aCode, std::uint32_t aRetryAfterMs)
{
  Answer answer;
  answer.callId_ = aCall.callId_;
  answer.outcome_ = Outcome::kNotRun;
  answer.error_ = static_cast<std::uint16_t>(aCode);
  answer.retryAfterMs_ = aRetryAfterMs;
  answer.retriesUnused_ = aCall.retries_;
  return answer;
}

std::string WholeMs(Duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<milliseconds>(aDuration).count());
}

Answer UnknownAnswer(const Call& aCall, ErrorCode aCode)
{
  Answer answer;
  answer.callId_ = aCall.callId_;
  answer.outcome_ = Outcome::kUnknown;
  answer.error_ = static_cast<std::uint16_t>(aCode);
  return answer;
}

Answer AnswerFromResponse(const HttpDialect& aDialect, const Call& aCall, HttpResponse aResponse)
{
  Answer answer;
  answer.callId_ = aCall.callId_;
  // Status 504 means that the target itself doesn't know whether its work ran.
  answer.outcome_ =
    aDialect.status504IsUnknown_ && aResponse.status_ == 504 ? Outcome::kUnknown : Outcome::kRan;
  answer.status_ = aResponse.status_;
  aDialect.rewriteForCaller_(aResponse.headers_);
  answer.headers_ = std::move(aResponse.headers_);
  answer.declaredBodyBytes_ = aCall.method_ == "HEAD"
                                ? aResponse.declaredLength_.value_or(0)
                                : static_cast<std::uint64_t>(aResponse.body_.size());
  answer.body_ = std::move(aResponse.body_);
  return answer;
}

RunResult RunResultOf(ExecutionResult aExecutionResult, const Answer& aAnswer)
{
  switch (aExecutionResult) {
    case ExecutionResult::kAnswered:
      return aAnswer.status_ >= 500 ? RunResult::kFailed : RunResult::kSucceeded;
    case ExecutionResult::kTimedOut:
      return RunResult::kFailed;
    default:
      return RunResult::kNoResult;
  }
}

} // namespace

Guard::Guard(EventLoop& aLoop,
             const NodeSettings& aSettings,
             Metrics& aMetrics,
             const HttpDialect& aDialect,
             std::shared_ptr<ByteBudget> aBudget)
  : loop_(aLoop)
  , settings_(aSettings)
  , metrics_(aMetrics)
  , dialect_(aDialect)
  , client_(aLoop,
            { .target_ = aSettings.target_,
              .maxConnections_ = aSettings.maxTargetConnections_,
              .maxBodyBytes_ = aSettings.maxBodyBytes_,
              .maxHeaderBytes_ = aSettings.maxHeaderBytes_,
              .idleTimeout_ = aSettings.targetIdleTimeout_,
              .echoHeader_ = std::string(aDialect.echoHeader_),
              .allowsCloseDelimited_ = aDialect.allowsCloseDelimited_,
              .budget_ = aBudget })
  , freshClient_(aLoop, { .target_ = aSettings.target_, .maxConnections_ = 2 })
  , pollClient_(aLoop, { .target_ = aSettings.target_, .maxConnections_ = 2 })
  , budget_(std::move(aBudget))
{
  admission_.settings_.adaptive_ = !aDialect.slotsAreLimit_;
  admission_.settings_.lowerClassShare_ = aDialect.hasContexts_ ? 0 : kRequestShare;
  admission_.settings_.maxLimit_ =
    std::min(admission_.settings_.maxLimit_, aSettings.maxTargetConnections_);
  admission_.startRate_.isProven_ = dialect_.notice_ == nullptr;
  SetTargetStatesWorkDuration(false);
}

Guard::~Guard() = default;

void Guard::Run(const Call& aCall,
                const std::function<void(std::uint64_t)>& aOnRegistered,
                CompletionHandler aHandler)
{
  const std::uint64_t number = nextCallNumber_++;
  const TimePoint now = loop_.Now();
  metrics_.Add(Counter::kGuardCalls);
  GuardedCall& guardedCall = calls_[number];
  guardedCall.call_ = aCall;
  guardedCall.completionHandler_ = std::move(aHandler);
  guardedCall.arrivedAt_ = now;
  guardedCall.deadline_ = now + milliseconds(aCall.deadlineMs_);
  aOnRegistered(number);
  if (draining_ || IsTargetLeaving()) {
    Refuse(number, ErrorCode::kDraining, 0);
    return;
  }
  // Another target may be in an allowed region, so the caller's host goes on choosing.
  if (aCall.service_ != settings_.service_ || IsRegionExcluded(aCall)) {
    Refuse(number, ErrorCode::kNoTarget, 0);
    return;
  }
  if (budget_ && aCall.body_.size() > kUncountedMessageBytes) {
    guardedCall.held_ = std::make_unique<HeldBytes>(budget_, nullptr);
    if (!guardedCall.held_->Reserve(aCall.body_.size())) {
      Refuse(number, ErrorCode::kLimitReached, 0);
      return;
    }
  }
  if (aCall.depth_ > kMaxCallDepth) {
    Refuse(number, ErrorCode::kDepthExceeded, 0);
    return;
  }
  guardedCall.deadlineTimer_ =
    loop_.After(guardedCall.deadline_ - now, [this, number] { OnDeadline(number); });
  if (settings_.naive_) {
    Start(number);
    return;
  }
  if (IsRequest(aCall) &&
      (!UseBookingOrRefuse(number, guardedCall) || !BeginLimitedRun(number, guardedCall))) {
    return;
  }
  Apply(OfferCall(admission_, Waiting(number, guardedCall), now));
  ScheduleQueueCheck();
}

bool Guard::IsRequest(const Call& aCall) const
{
  return dialect_.hasContexts_ ? aCall.depth_ == 0 : !aCall.clientAccount_.value_.empty();
}

WaitingCall Guard::Waiting(std::uint64_t aCallNumber, const GuardedCall& aGuardedCall) const
{
  const Call& call = aGuardedCall.call_;
  WaitingCall waiting;
  waiting.id_ = aCallNumber;
  waiting.importance_ = call.importance_;
  waiting.clientAccount_ = call.clientAccount_;
  waiting.weight_ = AccountWeight(call.clientAccount_);
  waiting.arrivedAt_ = aGuardedCall.arrivedAt_;
  waiting.deadline_ = aGuardedCall.deadline_;
  waiting.route_ = call.route_;
  waiting.waited_ = milliseconds(call.waitedMs_);
  return waiting;
}

const Route* Guard::ConfiguredRoute(const RouteId& aRoute) const
{
  if (!config_) {
    return nullptr;
  }
  const auto found = std::find_if(config_->routes_.begin(),
                                  config_->routes_.end(),
                                  [&](const Route& aOther) { return aOther.id_ == aRoute; });
  return found == config_->routes_.end() ? nullptr : &*found;
}

double Guard::AccountWeight(const ClientAccountId& aAccount) const
{
  if (!config_) {
    return 1;
  }
  const auto account = config_->clientAccounts_.find(aAccount);
  return account == config_->clientAccounts_.end() ? 1 : account->second.ratePerSecond_;
}

bool Guard::UseBookingOrRefuse(std::uint64_t aCallNumber, const GuardedCall& aGuardedCall)
{
  const Call& call = aGuardedCall.call_;
  const TimePoint now = loop_.Now();
  if (!SchedulesCapacity() ||
      (call.waitedMs_ > 0 && UseBooking(returns_, call.clientAccount_, call.importance_, now)) ||
      !IsCapacityKept(returns_, admission_, call.importance_, call.clientAccount_, now)) {
    return true;
  }
  metrics_.Add(Counter::kRefusedForReturns);
  // Without a queue there is no shortage beyond the kept capacity, for which a return would be
  // booked in its turn.
  RefuseForCapacity(aCallNumber, ErrorCode::kShed, 0, admission_.queued_ > 0);
  return false;
}

std::uint32_t Guard::ScheduleReturn(const GuardedCall& aGuardedCall, ErrorCode aCode, bool aMayBook)
{
  const Call& call = aGuardedCall.call_;
  const TimePoint now = loop_.Now();
  RefusedRequest request = DescribeRefused(admission_, Waiting(0, aGuardedCall), now);
  request.left_ = aGuardedCall.deadline_ - now;
  request.mayBook_ = aMayBook;
  const Route* route = ConfiguredRoute(call.route_);
  if (route != nullptr && route->latencyObjective_ > Duration::zero()) {
    const auto margin = std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(kRunTimeMargin * request.slotSeconds_));
    request.spare_ = route->latencyObjective_ - milliseconds(call.waitedMs_) -
                     (now - aGuardedCall.arrivedAt_) - margin;
  }
  const std::size_t booked = returns_.booked_.size();
  const BookingResult result = BookReturn(returns_, request, now);
  std::uint64_t skipped = 0;
  if (returnThrottle_.Allow(now, skipped)) {
    LogEvent(Event::kReturnScheduled,
             { { "account", call.clientAccount_.value_ },
               { "route", call.route_.value_ },
               { "reason", std::string(ErrorName(aCode)) },
               { "waited_ms", std::to_string(call.waitedMs_) },
               { "ahead_ms",
                 std::to_string(static_cast<std::uint64_t>(1000 * request.aheadSeconds_ /
                                                           std::max(1.0, request.limit_))) },
               { "booked", std::to_string(booked) },
               { "is_booked", result.isBooked_ ? "true" : "false" },
               { "used", std::to_string(returns_.usedFraction_) },
               { "retry_after_ms", std::to_string(result.retryAfterMs_) },
               { "skipped", std::to_string(skipped) } });
  }
  return result.retryAfterMs_;
}

bool Guard::BeginLimitedRun(std::uint64_t aCallNumber, GuardedCall& aGuardedCall)
{
  const RouteId& route = aGuardedCall.call_.route_;
  const TimePoint now = loop_.Now();
  const Call& call = aGuardedCall.call_;
  if (TryBeginRun(runLimits_, route, now, call.clientAccount_, call.waitedMs_ > 0)) {
    aGuardedCall.isLimitedRun_ = true;
    return true;
  }
  const Route* configured = ConfiguredRoute(route);
  const Duration objective =
    configured == nullptr ? Duration::zero() : configured->latencyObjective_;
  std::uint32_t retryAfterMs = RunRetryAfterMs(runLimits_, route, objective);
  if (SchedulesCapacity()) {
    const auto leftMs = static_cast<double>((aGuardedCall.deadline_ - now) / milliseconds(1));
    const double third = returns_.settings_.maxLeftFraction_ * std::max(0.0, leftMs);
    retryAfterMs = std::min(retryAfterMs, static_cast<std::uint32_t>(third));
  }
  metrics_.Add(Counter::kRunsRefused);
  std::uint64_t skipped = 0;
  if (runLimitThrottle_.Allow(now, skipped)) {
    const RouteRuns& runs = runLimits_.routes_.at(route);
    LogEvent(Event::kRunsLimited,
             { { "route", route.value_ },
               { "running", std::to_string(runs.running_) },
               { "limit", std::to_string(static_cast<std::uint64_t>(runs.limit_.value_or(0))) },
               { "deeper_overload", std::to_string(DeeperOverload(runLimits_, now)) },
               { "retry_after_ms", std::to_string(retryAfterMs) },
               { "skipped", std::to_string(skipped) } });
  }
  Refuse(aCallNumber, ErrorCode::kShed, retryAfterMs);
  return false;
}

void Guard::EndLimitedRun(const GuardedCall& aGuardedCall, RunResult aResult)
{
  if (aGuardedCall.isLimitedRun_) {
    const TimePoint now = loop_.Now();
    EndRun(runLimits_, aGuardedCall.call_.route_, aResult, now - aGuardedCall.startedAt_, now);
  }
}

void Guard::RecordDeeperCall(double aOverload)
{
  peridotquay::RecordDeeperCall(runLimits_, aOverload, loop_.Now());
}

void Guard::Apply(const AdmissionActions& aActions)
{
  for (const auto& refused : aActions.refuse_) {
    RefuseForCapacity(refused.id_, refused.code_, refused.retryAfterMs_, true);
  }
  for (const std::uint64_t number : aActions.start_) {
    Start(number);
  }
}

void Guard::Start(std::uint64_t aCallNumber)
{
  const auto entry = calls_.find(aCallNumber);
  if (entry == calls_.end()) {
    return;
  }
  GuardedCall& guardedCall = entry->second;
  guardedCall.startedAt_ = loop_.Now();
  guardedCall.targetId_ = target_ ? target_->id_ : std::string();
  metrics_.RecordTime(Stage::kQueue, guardedCall.startedAt_ - guardedCall.arrivedAt_);
  CallContext context;
  context.budget_.left_ = guardedCall.call_.retries_;
  context.deadline_ = guardedCall.deadline_;
  context.clientAccount_ = guardedCall.call_.clientAccount_;
  context.importance_ = guardedCall.call_.importance_;
  context.depth_ = guardedCall.call_.depth_;
  std::string token = NewContextToken();
  if (!OpenContext(contexts_, token, context)) {
    Finish(aCallNumber,
           ExecutionResult::kCancelled,
           RefusedAnswer(guardedCall.call_, ErrorCode::kLimitReached, 0));
    return;
  }
  guardedCall.contextToken_ = std::move(token);
  metrics_.Add(Counter::kTargetCalls);
  guardedCall.targetRequest_ = client_.Send(
    TargetRequest(guardedCall),
    [this, aCallNumber](TargetResult aResult) { OnTargetResult(aCallNumber, std::move(aResult)); },
    guardedCall.call_.repeatable_ ? ConnectionReuse::kAny : ConnectionReuse::kRecentlyUsed);
  ScheduleSilenceCheck();
}

HttpRequest Guard::TargetRequest(const GuardedCall& aGuardedCall) const
{
  const Call& call = aGuardedCall.call_;
  HttpRequest request{ call.method_, call.path_, call.headers_, call.body_ };
  const auto leftMs =
    std::chrono::duration_cast<milliseconds>(aGuardedCall.deadline_ - aGuardedCall.startedAt_)
      .count();
  dialect_.rewriteForTarget_(request.headers_,
                             { call,
                               aGuardedCall.contextToken_,
                               target_ ? std::string_view(target_->id_) : std::string_view(),
                               std::max<std::int64_t>(1, leftMs) });
  return request;
}

void Guard::OnTargetResult(std::uint64_t aCallNumber, TargetResult aResult)
{
  const auto entry = calls_.find(aCallNumber);
  if (entry == calls_.end()) {
    return;
  }
  GuardedCall& guardedCall = entry->second;
  const Call& call = guardedCall.call_;
  switch (aResult.requestStatus_) {
    case TargetRequestStatus::kNotSent:
      // It may have restarted; its next heartbeat comes after it accepts connections.
      if (target_ && guardedCall.targetId_ == target_->id_) {
        AssumeCold(admission_.startRate_, loop_.Now());
        LogColdLimit(std::nullopt);
      }
      Finish(aCallNumber,
             ExecutionResult::kTargetRefused,
             RefusedAnswer(call, ErrorCode::kTargetUnreachable, 0));
      return;
    case TargetRequestStatus::kLost:
      metrics_.Add(Counter::kTargetAnswersLost);
      Finish(
        aCallNumber, ExecutionResult::kCancelled, UnknownAnswer(call, ErrorCode::kOutcomeUnknown));
      return;
    case TargetRequestStatus::kAnswered:
      if (dialect_.hasTargetHeaders_ == nullptr || dialect_.hasTargetHeaders_(aResult.response_)) {
        break;
      }
      [[fallthrough]];
    case TargetRequestStatus::kTruncated:
      metrics_.Add(Counter::kTargetAnswersTruncated);
      Finish(
        aCallNumber, ExecutionResult::kCancelled, UnknownAnswer(call, ErrorCode::kTruncatedAnswer));
      return;
  }
  metrics_.RecordTime(Stage::kTarget, loop_.Now() - guardedCall.startedAt_);
  if (const auto load = dialect_.load_(aResult.response_)) {
    SetSlots(load->slots_);
    // An answer of the previous target at this address says nothing about the current one.
    if (!target_ || guardedCall.targetId_ == target_->id_) {
      workPercent_ = load->workPercent_.value_or(0);
      if (workPercent_ > 0) {
        SetTargetStatesWorkDuration(true);
      }
      workStatedAt_ = loop_.Now();
    }
  }
  ApplyNotice(guardedCall, aResult.response_.headers_);
  if (const auto hint = dialect_.refusal_(aResult.response_)) {
    metrics_.Add(Counter::kTargetRefusals);
    std::uint64_t skipped = 0;
    if (refusalThrottle_.Allow(loop_.Now(), skipped)) {
      LogEvent(Event::kTargetRefusing,
               { { "route", call.route_.value_ }, { "skipped", std::to_string(skipped) } });
    }
    Answer refused = RefusedAnswer(call, ErrorCode::kTargetRefused, *hint);
    // What a target states in a refusal concerns the caller's host too.
    refused.headers_ = std::move(aResult.response_.headers_);
    Finish(aCallNumber, ExecutionResult::kTargetRefused, std::move(refused));
    return;
  }
  Finish(aCallNumber,
         ExecutionResult::kAnswered,
         AnswerFromResponse(dialect_, call, std::move(aResult.response_)));
}

void Guard::ApplyNotice(const GuardedCall& aGuardedCall, const HeaderList& aHeaders)
{
  // An answer of the previous target at this address says nothing about the current one.
  if (dialect_.notice_ == nullptr || (target_ && aGuardedCall.targetId_ != target_->id_)) {
    return;
  }
  const TargetNotice notice = dialect_.notice_(aHeaders);
  const auto previous = admission_.startRate_.perSecond_;
  RecordStatedRate(
    admission_.startRate_, notice.maxPerSecond_, aGuardedCall.startedAt_, loop_.Now());
  const auto current = admission_.startRate_.perSecond_;
  if (current.has_value() != previous.has_value()) {
    LogEvent(Event::kTargetRateStated,
             { { "target", aGuardedCall.targetId_ },
               { "per_s", current ? std::to_string(*current) : "none" },
               { "queued", std::to_string(admission_.queued_) } });
  }
  if (notice.coldRemaining_) {
    RecordCold(admission_.startRate_, *notice.coldRemaining_, loop_.Now(), aGuardedCall.startedAt_);
    LogColdLimit(notice.coldRemaining_);
  }
  if (notice.leaving_ && target_ && onTargetLeaving_) {
    onTargetLeaving_(target_->id_);
  }
}

void Guard::OnDeadline(std::uint64_t aCallNumber)
{
  const auto entry = calls_.find(aCallNumber);
  if (entry == calls_.end()) {
    return;
  }
  GuardedCall& guardedCall = entry->second;
  guardedCall.deadlineTimer_ = 0;
  if (guardedCall.targetRequest_ == 0) {
    CancelWaiting(admission_, aCallNumber);
    Refuse(aCallNumber, ErrorCode::kDeadlineExceeded, 0);
    return;
  }
  const bool sent = client_.Cancel(guardedCall.targetRequest_);
  Finish(aCallNumber,
         sent ? ExecutionResult::kTimedOut : ExecutionResult::kTargetRefused,
         sent ? UnknownAnswer(guardedCall.call_, ErrorCode::kDeadlineExceeded)
              : RefusedAnswer(guardedCall.call_, ErrorCode::kDeadlineExceeded, 0));
}

void Guard::RefuseForCapacity(std::uint64_t aCallNumber,
                              ErrorCode aCode,
                              std::uint32_t aRetryAfterMs,
                              bool aMayBook)
{
  const auto entry = calls_.find(aCallNumber);
  if (entry != calls_.end() && SchedulesCapacity() && IsRequest(entry->second.call_) &&
      entry->second.deadline_ > loop_.Now()) {
    aRetryAfterMs = ScheduleReturn(entry->second, aCode, aMayBook);
  }
  Refuse(aCallNumber, aCode, aRetryAfterMs);
}

void Guard::Refuse(std::uint64_t aCallNumber, ErrorCode aCode, std::uint32_t aRetryAfterMs)
{
  const auto entry = calls_.find(aCallNumber);
  if (entry == calls_.end()) {
    return;
  }
  metrics_.Add(Counter::kGuardRefused);
  loop_.CancelTimer(entry->second.deadlineTimer_);
  EndLimitedRun(entry->second, RunResult::kNoResult);
  Answer answer = RefusedAnswer(entry->second.call_, aCode, aRetryAfterMs);
  FillLoad(answer);
  LogEnd(entry->second, answer);
  const CompletionHandler handler = std::move(entry->second.completionHandler_);
  calls_.erase(entry);
  handler(std::move(answer));
}

void Guard::Finish(std::uint64_t aCallNumber, ExecutionResult aExecutionResult, Answer aAnswer)
{
  const auto entry = calls_.find(aCallNumber);
  const GuardedCall guardedCall = std::move(entry->second);
  calls_.erase(entry);
  loop_.CancelTimer(guardedCall.deadlineTimer_);
  const TimePoint now = loop_.Now();
  Duration deeperTime{};
  if (!guardedCall.contextToken_.empty()) {
    if (const CallContext* context = Context(guardedCall.contextToken_)) {
      deeperTime = DeeperTime(*context, now);
    }
    aAnswer.retriesUnused_ = CloseContext(contexts_, guardedCall.contextToken_);
    if (onContextClosed_) {
      onContextClosed_(guardedCall.contextToken_);
    }
  }
  AdmissionActions actions;
  if (!settings_.naive_) {
    const Duration total = now - guardedCall.startedAt_;
    actions = FinishCall(
      admission_, aExecutionResult, { total, total - deeperTime }, now, guardedCall.call_.route_);
    RecordTargetOutcome(aExecutionResult, aAnswer);
    EndLimitedRun(guardedCall, RunResultOf(aExecutionResult, aAnswer));
  }
  // A call that was cut at its deadline would have taken longer still.
  if (aExecutionResult == ExecutionResult::kAnswered ||
      aExecutionResult == ExecutionResult::kTimedOut) {
    RecordDuration(durations_[guardedCall.call_.route_], now - guardedCall.arrivedAt_, now);
  }
  FillLoad(aAnswer);
  LogEnd(guardedCall, aAnswer);
  if (guardedCall.completionHandler_) {
    guardedCall.completionHandler_(std::move(aAnswer));
  }
  Apply(actions);
}

// Cancelled calls and refusals don't count: they don't show whether the target fails calls that it
// accepts.
void Guard::RecordTargetOutcome(ExecutionResult aExecutionResult, const Answer& aAnswer)
{
  const bool lost = aAnswer.error_ == static_cast<std::uint16_t>(ErrorCode::kOutcomeUnknown) ||
                    aAnswer.error_ == static_cast<std::uint16_t>(ErrorCode::kTruncatedAnswer);
  if (aExecutionResult == ExecutionResult::kAnswered ||
      aExecutionResult == ExecutionResult::kTimedOut || lost) {
    const bool failed = aExecutionResult != ExecutionResult::kAnswered || aAnswer.status_ >= 500;
    RecordAnswer(failures_, failed, loop_.Now());
  }
}

void Guard::LogEnd(const GuardedCall& aGuardedCall, const Answer& aAnswer)
{
  // Calls can be logged only where the platform gives each request an id header.
  if (dialect_.echoHeader_.empty()) {
    return;
  }
  const std::string_view id =
    FindHeader(aGuardedCall.call_.headers_, dialect_.echoHeader_).value_or("-");
  const bool failed = aAnswer.outcome_ != Outcome::kRan || aAnswer.status_ >= 500;
  const TimePoint now = loop_.Now();
  std::uint64_t leftOut = 0;
  if (!AllowRequestLine(requestLog_, id, failed, now, leftOut)) {
    return;
  }
  const bool started = aGuardedCall.startedAt_ != TimePoint{};
  LogEvent(
    Event::kCallEnded,
    { { "id", std::string(id) },
      { "target", target_ ? target_->id_ : "" },
      { "waited_ms", std::to_string(aGuardedCall.call_.waitedMs_) },
      { "queue_ms", WholeMs((started ? aGuardedCall.startedAt_ : now) - aGuardedCall.arrivedAt_) },
      { "target_ms", started ? WholeMs(now - aGuardedCall.startedAt_) : "-" },
      { "running", std::to_string(aAnswer.inFlight_) },
      { "queued", std::to_string(aAnswer.queued_) },
      { "limit", std::to_string(aAnswer.limit_) },
      { "outcome", std::string(OutcomeName(aAnswer.outcome_)) },
      { "reason",
        aAnswer.error_ == 0 ? std::to_string(aAnswer.status_)
                            : std::string(ErrorName(static_cast<ErrorCode>(aAnswer.error_))) },
      { "left_out", std::to_string(leftOut) } });
}

void Guard::FillLoad(Answer& aAnswer)
{
  if (settings_.naive_) {
    return;
  }
  aAnswer.inFlight_ = admission_.running_;
  aAnswer.limit_ = EffectiveLimit(admission_, loop_.Now());
  aAnswer.queued_ = static_cast<std::uint32_t>(admission_.queued_);
  aAnswer.level_ = CurrentAdmissionLevel(admission_, loop_.Now());
  if (aAnswer.level_.admittedFraction_ >= 1) {
    aAnswer.level_.admittedFraction_ = 1 + DeeperOverload(runLimits_, loop_.Now());
  }
  aAnswer.failurePercent_ = FailurePercent(failures_, loop_.Now());
  aAnswer.workPercent_ = CurrentWorkPercent();
}

std::optional<LoadReport> Guard::StatedLoad() const
{
  if (settings_.naive_ || workPercent_ == 0) {
    return std::nullopt;
  }
  return LoadReport{ admission_.running_,
                     static_cast<std::uint32_t>(admission_.queued_),
                     EffectiveLimit(admission_, loop_.Now()),
                     CurrentWorkPercent() };
}

std::uint32_t Guard::CurrentWorkPercent() const
{
  return workPercent_ > 0 && loop_.Now() - workStatedAt_ > kMaxWorkStatementAge ? kUsualWorkPercent
                                                                                : workPercent_;
}

void Guard::ScheduleQueueCheck()
{
  if (queueCheckScheduled_ || admission_.queued_ == 0) {
    return;
  }
  queueCheckScheduled_ = true;
  loop_.After(kQueueCheckInterval, [this] {
    queueCheckScheduled_ = false;
    Apply(DropLateCalls(admission_, loop_.Now()));
    ScheduleQueueCheck();
  });
}

void Guard::ScheduleSilenceCheck()
{
  // On platforms without a cheap health check, TCP keep-alive probes find silent connections.
  if (silenceCheckScheduled_ || settings_.naive_ || !dialect_.pollsTarget_) {
    return;
  }
  silenceCheckScheduled_ = true;
  loop_.After(kSilenceCheckInterval, [this] {
    silenceCheckScheduled_ = false;
    const TimePoint now = loop_.Now();
    bool suspected = false;
    bool anyRunning = false;
    for (const auto& [number, call] : calls_) {
      anyRunning = anyRunning || call.targetRequest_ != 0;
      suspected =
        suspected || (call.targetRequest_ != 0 && now - call.startedAt_ >= kSilenceTimeout);
    }
    if (suspected) {
      ProbeConnections();
    }
    if (anyRunning) {
      ScheduleSilenceCheck();
    }
  });
}

void Guard::ProbeConnections()
{
  // A slow answer alone doesn't show a silent connection, so a kept one is needed for comparison.
  if (probing_ || pollClient_.IdleConnectionCount() == 0) {
    return;
  }
  probing_ = true;
  struct ProbeResult
  {
    bool keptConnectionAnswered_ = false;
    bool freshConnectionAnswered_ = false;
  };
  auto probe = std::make_shared<ProbeResult>();
  const TimePoint probeStartedAt = loop_.Now();
  const HttpRequest health{ "GET", "/health", {}, "" };
  // If the kept connection ends, that counts as an answer, because it isn't silent then.
  const auto kept = pollClient_.Send(
    health, [probe](const TargetResult& /*aResult*/) { probe->keptConnectionAnswered_ = true; });
  freshClient_.CloseIdleConnections();
  const auto fresh = freshClient_.Send(health, [probe](const TargetResult& aResult) {
    probe->freshConnectionAnswered_ = aResult.requestStatus_ == TargetRequestStatus::kAnswered;
  });
  loop_.After(kProbeTimeout, [this, probe, probeStartedAt, kept, fresh] {
    probing_ = false;
    freshClient_.Cancel(fresh);
    freshClient_.CloseIdleConnections();
    if (!probe->keptConnectionAnswered_) {
      pollClient_.Cancel(kept);
    }
    if (!probe->keptConnectionAnswered_ && probe->freshConnectionAnswered_) {
      FailSilentCalls(probeStartedAt);
    }
  });
}

void Guard::FailSilentCalls(TimePoint aProbeStartedAt)
{
  client_.CloseIdleConnections();
  pollClient_.CloseIdleConnections();
  std::vector<std::uint64_t> silent;
  for (const auto& [number, call] : calls_) {
    // A call that can't be repeated continues to wait: abandoning it would gain nothing.
    if (call.targetRequest_ != 0 && call.call_.repeatable_ &&
        aProbeStartedAt - call.startedAt_ >= kSilenceTimeout) {
      silent.push_back(number);
    }
  }
  metrics_.Add(Counter::kTargetAnswersLost, silent.size());
  for (const std::uint64_t number : silent) {
    const auto entry = calls_.find(number);
    if (entry == calls_.end()) {
      continue;
    }
    client_.Cancel(entry->second.targetRequest_);
    Finish(number,
           ExecutionResult::kCancelled,
           UnknownAnswer(entry->second.call_, ErrorCode::kOutcomeUnknown));
  }
}

void Guard::Cancel(std::uint64_t aCallNumber)
{
  const auto entry = calls_.find(aCallNumber);
  if (entry == calls_.end()) {
    return;
  }
  GuardedCall& guardedCall = entry->second;
  guardedCall.completionHandler_ = nullptr;
  if (guardedCall.targetRequest_ == 0) {
    CancelWaiting(admission_, aCallNumber);
    loop_.CancelTimer(guardedCall.deadlineTimer_);
    EndLimitedRun(guardedCall, RunResult::kNoResult);
    calls_.erase(entry);
    return;
  }
  client_.Cancel(guardedCall.targetRequest_);
  Finish(aCallNumber, ExecutionResult::kCancelled, Answer{});
}

void Guard::Abort()
{
  while (!calls_.empty()) {
    const auto entry = calls_.begin();
    if (entry->second.targetRequest_ == 0) {
      CancelWaiting(admission_, entry->first);
      Refuse(entry->first, ErrorCode::kDraining, 0);
      continue;
    }
    client_.Cancel(entry->second.targetRequest_);
    Finish(entry->first,
           ExecutionResult::kCancelled,
           UnknownAnswer(entry->second.call_, ErrorCode::kOutcomeUnknown));
  }
}

void Guard::SetConfig(std::shared_ptr<const Config> aConfig)
{
  config_ = std::move(aConfig);
  std::erase_if(durations_,
                [this](const auto& aEntry) { return ConfiguredRoute(aEntry.first) == nullptr; });
  admission_.settings_.queueCapacity_ = config_->policy_.queueCapacity_;
  admission_.settings_.queueDeadlineFraction_ = config_->policy_.queueDeadlineFraction_;
  const auto coldStart = config_->coldStarts_.find(settings_.service_);
  SetColdRate(admission_.startRate_,
              coldStart == config_->coldStarts_.end() ? 0 : coldStart->second.perSecond_,
              loop_.Now());
  LogColdLimit(std::nullopt);
  SetExcluded();
}

void Guard::SetExcluded()
{
  // The baseline that the product is compared with knows no regions.
  if (settings_.naive_) {
    return;
  }
  excludedRoutes_.clear();
  excludedAccounts_.clear();
  for (const Route& route : config_->routes_) {
    if (!AllowsRegion(&route.allowedRegions_, settings_.region_)) {
      excludedRoutes_.insert(route.id_);
    }
  }
  for (const auto& [account, entry] : config_->clientAccounts_) {
    if (!AllowsRegion(&entry.allowedRegions_, settings_.region_)) {
      excludedAccounts_.insert(account);
    }
  }
  if (!excludedRoutes_.empty() || !excludedAccounts_.empty()) {
    RefuseWaiting(ErrorCode::kNoTarget,
                  [this](const Call& aCall) { return IsRegionExcluded(aCall); });
  }
}

bool Guard::IsRegionExcluded(const Call& aCall) const
{
  return excludedRoutes_.contains(aCall.route_) || excludedAccounts_.contains(aCall.clientAccount_);
}

void Guard::SetTargetStatesWorkDuration(bool aStates)
{
  targetStatesWorkDuration_ = aStates;
  const FeatureMode mode = settings_.roomScheduling_;
  SetCapacityScheduling(mode == FeatureMode::kAlways ||
                        (mode == FeatureMode::kStated && targetStatesWorkDuration_));
}

void Guard::SetCapacityScheduling(bool aIsOn)
{
  if (aIsOn == admission_.settings_.capacityScheduling_) {
    return;
  }
  admission_.settings_.capacityScheduling_ = aIsOn;
  runLimits_.settings_.capacityScheduling_ = aIsOn;
  // Credit is counted in starts or in seconds, depending on the mode.
  admission_.lowerClassCredit_ = 0;
  admission_.lowerClassSeconds_ = {};
  returns_.booked_.clear();
  LogEvent(Event::kCapacityScheduling,
           { { "on", aIsOn ? "true" : "false" },
             { "stated", targetStatesWorkDuration_ ? "true" : "false" } });
}

bool Guard::SchedulesCapacity() const
{
  return admission_.settings_.capacityScheduling_;
}

std::size_t Guard::BookedReturns() const
{
  return returns_.booked_.size();
}

void Guard::SetDraining()
{
  draining_ = true;
}

bool Guard::IsTargetLeaving() const
{
  return target_ && (target_->isEvacuated_ || target_->state_ == TargetState::kDraining ||
                     target_->state_ == TargetState::kLeft || target_->id_.empty());
}

void Guard::SetTarget(const LocalTarget& aTarget)
{
  const bool isNew = !target_ || target_->id_ != aTarget.id_;
  const bool hasReturned = IsEvacuated() && !aTarget.isEvacuated_;
  target_ = aTarget;
  health_.state_ = aTarget.state_;
  if (isNew) {
    // Open connections lead to the previous target at this address.
    client_.CloseIdleConnections();
    failures_ = {};
    workPercent_ = 0;
    SetTargetStatesWorkDuration(false);
    ResetStartRate(admission_.startRate_, loop_.Now());
  } else if (hasReturned) {
    // It may have become cold without requests, after its last heartbeat too.
    AssumeCold(admission_.startRate_, loop_.Now());
  }
  if (aTarget.coldRemaining_) {
    RecordCold(admission_.startRate_, *aTarget.coldRemaining_, loop_.Now());
  }
  LogColdLimit(aTarget.coldRemaining_);
  SetSlots(aTarget.slots_);
  if (IsTargetLeaving()) {
    RefuseWaiting(ErrorCode::kDraining, [](const Call& /*aCall*/) { return true; });
  }
}

void Guard::RefuseWaiting(ErrorCode aCode, const std::function<bool(const Call&)>& aIsRefused)
{
  std::vector<std::uint64_t> waiting;
  for (const auto& [number, guardedCall] : calls_) {
    if (guardedCall.targetRequest_ == 0 && aIsRefused(guardedCall.call_)) {
      waiting.push_back(number);
    }
  }
  for (const std::uint64_t number : waiting) {
    CancelWaiting(admission_, number);
    Refuse(number, aCode, 0);
  }
}

void Guard::Poll(std::function<void(const TargetHealth&)> aHandler)
{
  auto handler = std::make_shared<std::function<void(const TargetHealth&)>>(std::move(aHandler));
  auto timer = std::make_shared<std::uint64_t>(0);
  const auto request = pollClient_.Send(
    { "GET", "/health", {}, "" }, [this, handler, timer](const TargetResult& aHealth) {
      if (aHealth.requestStatus_ == TargetRequestStatus::kNotSent) {
        ++health_.failedPolls_;
        if (health_.failedPolls_ >= kMaxFailedPolls) {
          health_.state_ = TargetState::kDraining;
        }
      } else if (aHealth.requestStatus_ == TargetRequestStatus::kAnswered) {
        health_.failedPolls_ = 0;
        const auto json =
          nlohmann::json::parse(aHealth.response_.body_, nullptr, /*allow_exceptions=*/false);
        const std::string state =
          json.is_object() && json.contains("state") && json["state"].is_string()
            ? json["state"].get<std::string>()
            : std::string();
        // Any other answer leaves the state unchanged, because the endpoint may be misleading.
        if (state == "cold") {
          health_.state_ = TargetState::kCold;
        } else if (state == "ready") {
          health_.state_ = TargetState::kReady;
        } else if (state == "draining") {
          health_.state_ = TargetState::kDraining;
        }
      }
      loop_.CancelTimer(*timer);
      const auto load = pollClient_.Send({ "GET", "/load", {}, "" },
                                         [this, handler, timer](const TargetResult& aLoad) {
                                           loop_.CancelTimer(*timer);
                                           ReadLoad(aLoad);
                                           (*handler)(health_);
                                         });
      *timer = loop_.After(kPollTimeout, [this, handler, load] {
        pollClient_.Cancel(load);
        (*handler)(health_);
      });
    });
  *timer = loop_.After(kPollTimeout, [this, handler, request] {
    pollClient_.Cancel(request);
    (*handler)(health_);
  });
}

void Guard::ReadLoad(const TargetResult& aResult)
{
  if (aResult.requestStatus_ != TargetRequestStatus::kAnswered) {
    return;
  }
  const auto json =
    nlohmann::json::parse(aResult.response_.body_, nullptr, /*allow_exceptions=*/false);
  if (!json.is_object() || !json.contains("slots") || !json["slots"].is_number_unsigned() ||
      !json.contains("in_use") || !json["in_use"].is_number_unsigned()) {
    return;
  }
  const auto slots = std::min<std::uint64_t>(json["slots"].get<std::uint64_t>(), 100'000);
  const auto inUse = json["in_use"].get<std::uint64_t>();
  health_.load_ =
    slots == 0 ? 0 : std::min(1.0, static_cast<double>(inUse) / static_cast<double>(slots));
  SetSlots(static_cast<std::uint32_t>(slots));
}

void Guard::SetSlots(std::uint32_t aSlots)
{
  health_.slots_ = aSlots;
  // Before the first call the concurrency limit starts at the announced slots. A small fixed value
  // would take seconds to reach the target's capacity, and queued calls would miss their deadlines.
  if (admission_.announcedSlots_ == 0 && admission_.running_ == 0 && admission_.queued_ == 0) {
    AdmissionState fresh;
    fresh.settings_ = admission_.settings_;
    fresh.startRate_ = admission_.startRate_;
    fresh.settings_.initialLimit_ = std::max(health_.slots_, fresh.settings_.minLimit_);
    fresh.limit_ = fresh.settings_.initialLimit_;
    admission_ = fresh;
  }
  ApplyAnnouncedSlots(admission_, health_.slots_);
}

double Guard::ColdPerSecond() const
{
  return peridotquay::ColdPerSecond(admission_.startRate_, loop_.Now()).value_or(0);
}

void Guard::LogColdLimit(const std::optional<Duration>& aRemaining)
{
  const auto current = peridotquay::ColdPerSecond(admission_.startRate_, loop_.Now());
  if (current.has_value() == hasLoggedCold_) {
    return;
  }
  hasLoggedCold_ = current.has_value();
  LogEvent(Event::kTargetCold,
           { { "target", target_ ? target_->id_ : "" },
             { "per_s", current ? std::to_string(*current) : "none" },
             { "remaining_ms", aRemaining ? WholeMs(*aRemaining) : "unknown" } });
}

CallContext* Guard::Context(std::string_view aToken)
{
  return FindContext(contexts_, aToken);
}

std::size_t Guard::ActiveCalls() const
{
  return calls_.size();
}

bool Guard::MayOutlast(const Call& aCall, TimePoint aEndsAt) const
{
  const auto recent = durations_.find(aCall.route_);
  if (recent == durations_.end()) {
    return false;
  }
  const TimePoint now = loop_.Now();
  const auto longest = LongestRecentDuration(recent->second, now);
  const DrainingCall call{ now + milliseconds(aCall.deadlineMs_), false, longest };
  return longest && DecideDuringDrain(call, aEndsAt, now) == DrainDecision::kRefuse;
}

bool Guard::RunsCallWithDeadline(TimePoint aDeadline) const
{
  return std::any_of(calls_.begin(), calls_.end(), [&](const auto& aEntry) {
    return aEntry.second.targetRequest_ != 0 &&
           IsDeeperDeadline(aDeadline, aEntry.second.deadline_);
  });
}

const AdmissionState& Guard::Admission() const
{
  return admission_;
}

const TargetHealth& Guard::Health() const
{
  return health_;
}

std::size_t Guard::TargetConnections() const
{
  return client_.ConnectionCount();
}

} // namespace peridotquay
