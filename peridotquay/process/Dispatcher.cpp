// The first host's side of a call.
#include "peridotquay/process/Dispatcher.h"

#include "peridotquay/process/Events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>
#include <tuple>

namespace peridotquay {

namespace {

// A guard gives up this much before the first host, so that its answer still arrives in time.
constexpr Duration kAnswerReserve = milliseconds(5);

// Most request ids that one request issues.
constexpr std::uint64_t kMaxIdsAtOnce = 256;

// Most leaving incarnations whose records are kept.
constexpr std::size_t kMaxAdopted = 64;

// Hint to callers that were refused because guards shed their class: one lifetime of a level.
constexpr std::uint32_t kShedRetryMs = 1000;

// A timer that fires this much late shows that the socket thread stalled.
constexpr Duration kStall = milliseconds(5);

// Connections tried for the fate of one call.
constexpr std::uint32_t kMaxFateQuestions = 3;

constexpr std::uint64_t kLongestDeadlineMs = 3'600'000;

Answer MakeAnswer(Outcome aOutcome, ErrorCode aCode, std::uint32_t aRetryAfterMs = 0)
{
  Answer answer;
  answer.outcome_ = aOutcome;
  answer.error_ = static_cast<std::uint16_t>(aCode);
  answer.retryAfterMs_ = aRetryAfterMs;
  return answer;
}

std::string_view WithoutQuery(std::string_view aPath)
{
  return aPath.substr(0, aPath.find('?'));
}

// Whether another target may succeed after a refusal.
bool IsBusy(ErrorCode aCode)
{
  return aCode == ErrorCode::kShed || aCode == ErrorCode::kTargetRefused ||
         aCode == ErrorCode::kTargetUnreachable || aCode == ErrorCode::kDraining ||
         aCode == ErrorCode::kNoTarget || aCode == ErrorCode::kLimitReached ||
         // The queue of that guard is too long for the deadline; another one may be shorter.
         aCode == ErrorCode::kDeadlineExceeded;
}

// Load as the guard reported it; negative if it reported none.
double ReportedLoad(const Answer& aAnswer)
{
  return aAnswer.limit_ == 0
           ? -1
           : static_cast<double>(aAnswer.inFlight_ + aAnswer.queued_) / aAnswer.limit_;
}

std::string_view Detail(ErrorCode aCode)
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

} // namespace

Dispatcher::Dispatcher(EventLoop& aLoop,
                       const NodeSettings& aSettings,
                       Incarnation aIncarnation,
                       Guard& aGuard,
                       PeerHub& aHub,
                       Metrics& aMetrics)
  : loop_(aLoop)
  , settings_(aSettings)
  , guard_(aGuard)
  , hub_(aHub)
  , metrics_(aMetrics)
  , ledger_(MakeLedger(aSettings.host_, aIncarnation))
{
  routing_.dataCentre_ = aSettings.dataCentre_;
  routing_.region_ = aSettings.region_;
  routing_.random_ = aSettings.seed_ != 0
                       ? aSettings.seed_
                       : static_cast<std::uint64_t>(Clock::now().time_since_epoch().count()) | 1U;
  guard_.onContextClosed_ = [this](const std::string& aToken) {
    const auto entry = deeper_.find(aToken);
    if (entry == deeper_.end()) {
      return;
    }
    const std::vector<CallPointer> calls = std::move(entry->second);
    deeper_.erase(entry);
    for (const auto& call : calls) {
      CancelCall(call);
    }
  };
}

Dispatcher::~Dispatcher()
{
  guard_.onContextClosed_ = nullptr;
}

// --- Intake ---

bool Dispatcher::FindCallRoute(const HttpRequest& aRequest, ActiveCall& aCall) const
{
  aCall.config_ = config_;
  aCall.route_ = FindRoute(*config_, WithoutQuery(aRequest.path_));
  if (aCall.route_ == nullptr) {
    return false;
  }
  const Route& route = *aCall.route_;
  aCall.call_.service_ = route.service_;
  aCall.call_.route_ = route.id_;
  aCall.call_.importance_ = route.importance_;
  aCall.call_.repeatable_ = route.repeatable_;
  return true;
}

std::optional<Dispatcher::Refusal> Dispatcher::Authenticate(const HttpRequest& aRequest,
                                                            ActiveCall& aCall) const
{
  if (aCall.route_ != nullptr && aCall.route_->open_) {
    return std::nullopt;
  }
  const auto key = FindHeader(aRequest.headers_, "Quay-Key");
  if (!key || key->empty()) {
    return Refusal{ ErrorCode::kMissingKey };
  }
  const ClientAccount* account = FindKey(*config_, KeyDigest(*key));
  if (account == nullptr) {
    return Refusal{ ErrorCode::kUnknownKey };
  }
  if (!settings_.naive_ && loop_.Now() - freshness_ >= config_->policy_.keyFreshnessBound_) {
    return Refusal{ ErrorCode::kConfigurationNotFresh, kShedRetryMs };
  }
  aCall.call_.clientAccount_ = account->id_;
  if (aCall.route_ != nullptr) {
    const auto& allowed = aCall.route_->clientAccounts_;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), account->id_) == allowed.end()) {
      return Refusal{ ErrorCode::kRouteNotAllowed };
    }
  }
  return std::nullopt;
}

std::optional<Dispatcher::Refusal> Dispatcher::ReadLimits(const HttpRequest& aRequest,
                                                          ActiveCall& aCall) const
{
  const Refusal malformed{ ErrorCode::kMalformedRequest };
  const TimePoint now = loop_.Now();
  aCall.arrived_ = now;
  aCall.deadline_ = now + aCall.route_->deadline_;
  if (const auto text = FindHeader(aRequest.headers_, "Quay-Deadline-Ms")) {
    const auto value = ParseNumber(*text, kLongestDeadlineMs);
    if (!value || *value == 0) {
      return malformed;
    }
    aCall.deadline_ = std::min(aCall.deadline_, now + milliseconds(*value));
  }
  aCall.budget_.left_ = aCall.route_->maxRetries_;
  if (const auto text = FindHeader(aRequest.headers_, "Quay-Retry-Budget")) {
    const auto value = ParseNumber(*text, UINT32_MAX);
    if (!value) {
      return malformed;
    }
    aCall.budget_.left_ = std::min(aCall.budget_.left_, static_cast<std::uint32_t>(*value));
  }
  if (const auto text = FindHeader(aRequest.headers_, "Quay-Importance")) {
    const auto value = ParseImportance(*text);
    if (!value) {
      return malformed;
    }
    aCall.call_.importance_ = std::max(aCall.call_.importance_, *value);
  }
  return std::nullopt;
}

void Dispatcher::OnCaller(const std::shared_ptr<HttpExchange>& aExchange)
{
  metrics_.Add(Counter::kCallerRequests);
  const HttpRequest& request = aExchange->request_;
  // A repeat under a request id is looked up first: its first use may have run.
  if (draining_ && !FindHeader(request.headers_, "Quay-Request-Id")) {
    metrics_.Add(Counter::kRefusedDraining);
    RefuseExchange(aExchange, { ErrorCode::kDraining, kShedRetryMs });
    return;
  }
  if (!config_) {
    metrics_.Add(Counter::kRefusedNotFresh);
    RefuseExchange(aExchange, { ErrorCode::kConfigurationNotFresh, kShedRetryMs });
    return;
  }
  if (WithoutQuery(request.path_) == "/quay/request-ids") {
    ActiveCall caller;
    if (const auto refusal = Authenticate(request, caller)) {
      metrics_.Add(Counter::kRefusedKey);
      RefuseExchange(aExchange, *refusal);
    } else {
      IssueIds(aExchange);
    }
    return;
  }
  auto call = std::make_shared<ActiveCall>();
  std::optional<Refusal> refusal;
  if (!FindCallRoute(request, *call)) {
    refusal = Refusal{ ErrorCode::kNoRoute };
  }
  if (!refusal) {
    refusal = Authenticate(request, *call);
  }
  if (!refusal) {
    refusal = ReadLimits(request, *call);
  }
  if (refusal) {
    const bool notFresh = refusal->code_ == ErrorCode::kConfigurationNotFresh;
    metrics_.Add(notFresh ? Counter::kRefusedNotFresh : Counter::kRefusedKey);
    RefuseExchange(aExchange, *refusal);
    return;
  }
  const auto id = FindHeader(request.headers_, "Quay-Request-Id");
  if (id && !call->route_->repeatable_) {
    call->requestId_ = *id;
  }
  Accept(call, aExchange);
  if (call->requestId_.empty()) {
    Limit(call);
  } else {
    // The token is taken by the host that has the record, and only if the request is to run. A
    // repeat of a request that ran is thus never refused with "not run".
    BeginWithId(call);
  }
}

void Dispatcher::OnOutbound(const std::shared_ptr<HttpExchange>& aExchange)
{
  metrics_.Add(Counter::kOutboundRequests);
  const HttpRequest& request = aExchange->request_;
  if (!config_) {
    RefuseExchange(aExchange, { ErrorCode::kConfigurationNotFresh, kShedRetryMs });
    return;
  }
  const auto token = FindHeader(request.headers_, "Quay-Call");
  CallContext* context = token ? guard_.Context(*token) : nullptr;
  if (WithoutQuery(request.path_) == "/quay/request-ids") {
    if (context == nullptr) {
      RefuseExchange(aExchange, { ErrorCode::kMissingContext });
    } else {
      IssueIds(aExchange);
    }
    return;
  }
  auto call = std::make_shared<ActiveCall>();
  if (!FindCallRoute(request, *call)) {
    RefuseExchange(aExchange, { ErrorCode::kNoRoute });
    return;
  }
  if (const auto refusal = ReadLimits(request, *call)) {
    RefuseExchange(aExchange, *refusal);
    return;
  }
  if (context == nullptr) {
    if (!call->route_->open_) {
      RefuseExchange(aExchange, { ErrorCode::kMissingContext });
      return;
    }
    call->budget_.left_ = 0;
    call->call_.importance_ = Importance::kLow;
  } else {
    const auto& allowed = call->route_->clientAccounts_;
    if (!call->route_->open_ && !allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), context->clientAccount_) == allowed.end()) {
      RefuseExchange(aExchange, { ErrorCode::kRouteNotAllowed });
      return;
    }
    if (context->depth_ >= kMaxDepth) {
      RefuseExchange(aExchange, { ErrorCode::kDepthExceeded });
      return;
    }
    call->contextToken_ = *token;
    deeper_[call->contextToken_].push_back(call);
    BeginDeeperCall(*context, loop_.Now());
    call->lentByContext_ = LendRetries(context->budget_);
    call->budget_.left_ = call->lentByContext_;
    call->deadline_ = std::min(call->deadline_, context->deadline_);
    call->call_.clientAccount_ = context->clientAccount_;
    // A deeper call matters as much as the request it serves, whatever the deeper route's class.
    const auto lowered = FindHeader(request.headers_, "Quay-Importance");
    call->call_.importance_ =
      lowered ? std::max(context->importance_, *ParseImportance(*lowered)) : context->importance_;
    call->call_.depth_ = static_cast<std::uint8_t>(context->depth_ + 1);
  }
  const auto id = FindHeader(request.headers_, "Quay-Request-Id");
  if (id && !call->route_->repeatable_) {
    call->requestId_ = *id;
  }
  Accept(call, aExchange);
  // A deeper call was limited when its caller's request entered.
  if (call->requestId_.empty()) {
    Begin(call);
  } else {
    BeginWithId(call);
  }
}

void Dispatcher::Accept(const CallPointer& aCall, const std::shared_ptr<HttpExchange>& aExchange)
{
  HttpRequest& request = aExchange->request_;
  aCall->call_.method_ = request.method_;
  aCall->call_.path_ = request.path_;
  aCall->call_.headers_ = std::move(request.headers_);
  // Quay headers end here; above all the caller's key must reach neither peers nor targets.
  RemoveHeadersWithPrefix(aCall->call_.headers_, "Quay-");
  if (!aCall->requestId_.empty()) {
    aCall->call_.headers_.emplace_back("Quay-Request-Id", aCall->requestId_);
  }
  aCall->call_.body_ = std::move(request.body_);
  aCall->done_ = [this, aExchange, call = aCall.get()](const Answer& aAnswer) {
    Respond(aExchange, *call, aAnswer);
  };
  calls_.emplace(aCall.get(), aCall);
  aExchange->onClosed_ = [this, weak = std::weak_ptr(aCall)] {
    const auto call = weak.lock();
    // A request with an id runs on: its answer is kept for the caller's repeat.
    if (call && call->requestId_.empty()) {
      CancelCall(call);
    }
  };
  aCall->deadlineTimer_ =
    loop_.After(aCall->deadline_ - loop_.Now(), [this, weak = std::weak_ptr(aCall)] {
      if (const auto call = weak.lock()) {
        call->deadlineTimer_ = 0;
        OnDeadline(call);
      }
    });
}

void Dispatcher::IssueIds(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->request_;
  if (request.method_ != "POST") {
    RefuseExchange(aExchange, { ErrorCode::kMalformedRequest });
    return;
  }
  std::uint64_t count = 1;
  const std::size_t query = request.path_.find('?');
  if (query != std::string::npos) {
    const std::string_view text = std::string_view(request.path_).substr(query + 1);
    const auto value =
      text.starts_with("count=") ? ParseNumber(text.substr(6), kMaxIdsAtOnce) : std::nullopt;
    if (!value || *value == 0) {
      RefuseExchange(aExchange, { ErrorCode::kMalformedRequest });
      return;
    }
    count = *value;
  }
  const auto ids = IssueRequestIds(ledger_, static_cast<std::uint32_t>(count), loop_.Now());
  if (ids.has_error()) {
    RefuseExchange(aExchange, { ids.assume_error().code_, kShedRetryMs });
    return;
  }
  metrics_.Add(Counter::kRequestIdsIssued, count);
  const nlohmann::json body = { { "request_ids", ids.assume_value() } };
  aExchange->Respond(JsonResponse(200, body.dump()));
}

void Dispatcher::Limit(const CallPointer& aCall)
{
  const ClientAccountId& account = aCall->call_.clientAccount_;
  if (account.value_.empty()) {
    Begin(aCall);
    return;
  }
  const TimePoint now = loop_.Now();
  if (settings_.naive_) {
    if (TakeNaiveToken(naive_, aCall->config_->clientAccounts_.at(account), now)) {
      Begin(aCall);
    } else {
      metrics_.Add(Counter::kRefusedRate);
      Refuse(aCall, ErrorCode::kOverRate, kShedRetryMs);
    }
    return;
  }
  const auto queue = waiting_.find(account);
  const bool othersWait = queue != waiting_.end() && !queue->second.empty();
  TakeStep step = TakeToken(
    tokens_, account, othersWait ? static_cast<std::uint32_t>(queue->second.size()) : 0, now);
  if (step.ask_ && requestTokens_) {
    requestTokens_(*step.ask_);
  }
  switch (step.result_) {
    case TakeResult::kTaken:
      Begin(aCall);
      return;
    case TakeResult::kRefused:
      metrics_.Add(Counter::kRefusedRate);
      Refuse(aCall, ErrorCode::kOverRate, step.retryAfterMs_);
      return;
    case TakeResult::kWait:
      break;
  }
  waiting_[account].push_back(aCall);
  WaitForTokens(aCall, kTokenWait, true);
}

void Dispatcher::WaitForTokens(const CallPointer& aCall, Duration aWait, bool aExtend)
{
  const TimePoint due = loop_.Now() + aWait;
  aCall->tokenTimer_ = loop_.After(aWait, [this, weak = std::weak_ptr(aCall), due, aExtend] {
    const auto call = weak.lock();
    if (!call || call->tokenTimer_ == 0) {
      return;
    }
    // If this thread stalled, the grant may be among the events that it hasn't seen yet.
    if (aExtend && loop_.Now() - due > kStall) {
      WaitForTokens(call, kStall, false);
      return;
    }
    call->tokenTimer_ = 0;
    std::erase(waiting_[call->call_.clientAccount_], call);
    metrics_.Add(Counter::kRefusedRate);
    Refuse(call, ErrorCode::kOverRate, kShedRetryMs);
  });
}

void Dispatcher::RetryWaiting(const ClientAccountId& aAccount)
{
  const auto entry = waiting_.find(aAccount);
  if (entry == waiting_.end()) {
    return;
  }
  std::deque<CallPointer> calls = std::move(entry->second);
  waiting_.erase(entry);
  while (!calls.empty()) {
    const CallPointer call = calls.front();
    calls.pop_front();
    TakeStep step =
      TakeToken(tokens_, aAccount, static_cast<std::uint32_t>(calls.size()), loop_.Now());
    if (step.ask_ && requestTokens_) {
      requestTokens_(*step.ask_);
    }
    if (step.result_ == TakeResult::kWait) {
      calls.push_front(call);
      break;
    }
    loop_.CancelTimer(call->tokenTimer_);
    call->tokenTimer_ = 0;
    if (step.result_ == TakeResult::kTaken) {
      Begin(call);
    } else {
      metrics_.Add(Counter::kRefusedRate);
      Refuse(call, ErrorCode::kOverRate, step.retryAfterMs_);
    }
  }
  if (!calls.empty()) {
    auto& queue = waiting_[aAccount];
    queue.insert(queue.begin(), calls.begin(), calls.end());
  }
}

void Dispatcher::Begin(const CallPointer& aCall)
{
  if (!calls_.contains(aCall.get())) {
    return;
  }
  NoteFirstTry(ratios_[aCall->route_->id_], aCall->config_->policy_.retryRatio_);
  Attempt(aCall);
}

// --- Request ids ---

RequestLedger* Dispatcher::FindLedger(const HostId& aHost, Incarnation aIncarnation)
{
  if (aHost == settings_.host_ && aIncarnation == ledger_.incarnation_) {
    return &ledger_;
  }
  const auto adopted = adopted_.find({ aHost, aIncarnation });
  return adopted == adopted_.end() ? nullptr : &adopted->second;
}

void Dispatcher::BeginWithId(const CallPointer& aCall)
{
  const auto parsed = ParseRequestId(aCall->requestId_);
  if (parsed.has_error()) {
    Refuse(aCall, ErrorCode::kBadRequestId);
    return;
  }
  const RequestIdParts& parts = parsed.assume_value();
  const Call& call = aCall->call_;
  aCall->requestDigest_ = KeyDigest(call.method_ + "\n" + call.path_ + "\n" +
                                    call.clientAccount_.value_ + "\n" + call.body_);
  if (RequestLedger* ledger = FindLedger(parts.host_, parts.incarnation_)) {
    aCall->ledger_ = { parts.host_, parts.incarnation_ };
    BeginRecord(aCall, *ledger, parts.sequence_);
    return;
  }
  const auto* view = targets_.get();
  const auto owner =
    view == nullptr ? std::map<HostId, Address>::const_iterator() : view->hosts_.find(parts.host_);
  if (parts.host_ == settings_.host_ || view == nullptr || owner == view->hosts_.end() ||
      aCall->owner_) {
    // The incarnation that issued the id is gone, and with it the record.
    EndUnknown(aCall, ErrorCode::kOutcomeUnknown);
    return;
  }
  SendToOwner(aCall, owner->second);
}

void Dispatcher::BeginRecord(const CallPointer& aCall,
                             RequestLedger& aLedger,
                             std::uint64_t aSequence)
{
  const auto begun = BeginRequest(aLedger, aCall->requestId_, aCall->requestDigest_, loop_.Now());
  if (begun.has_error()) {
    const ErrorCode code = begun.assume_error().code_;
    if (code == ErrorCode::kBadRequestId) {
      Refuse(aCall, code);
    } else {
      EndUnknown(aCall, code);
    }
    return;
  }
  switch (begun.assume_value()) {
    case BeginResult::kRun:
      aCall->sequence_ = aSequence;
      aCall->owner_ = false;
      if (draining_) {
        Refuse(aCall, ErrorCode::kDraining, kShedRetryMs);
        return;
      }
      if (aCall->call_.depth_ == 0) {
        Limit(aCall);
      } else {
        Begin(aCall);
      }
      return;
    case BeginResult::kWait:
      repeats_[{ aCall->ledger_.first, aCall->ledger_.second, aSequence }].push_back(aCall);
      return;
    case BeginResult::kRepeat: {
      metrics_.Add(Counter::kRepeatsAnswered);
      const RequestRecord* record = FindRecord(aLedger, aSequence);
      End(aCall, *record->answer_);
      return;
    }
  }
}

void Dispatcher::SendToOwner(const CallPointer& aCall, const Address& aOwner)
{
  aCall->owner_ = true;
  aCall->attempt_ = nextCallId_++;
  aCall->sent_ = loop_.Now();
  aCall->lent_ = LendRetries(aCall->budget_);
  aCall->call_.callId_ = aCall->attempt_;
  aCall->call_.retries_ = aCall->lent_;
  const auto left =
    std::chrono::duration_cast<milliseconds>(aCall->deadline_ - aCall->sent_ - kAnswerReserve)
      .count();
  aCall->call_.deadlineMs_ = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
  attempts_[aCall->attempt_] = aCall;
  hub_.SendCall(aOwner, aCall->attempt_, OwnerCall{ aCall->requestId_, aCall->call_ });
}

void Dispatcher::OnOwnerCall(OwnerCall aCall, Done aDone)
{
  metrics_.Add(Counter::kOwnerCalls);
  auto call = std::make_shared<ActiveCall>();
  const auto refuse = [&](ErrorCode aCode) {
    Answer answer = MakeAnswer(Outcome::kNotRun, aCode);
    answer.retriesUnused_ = aCall.call_.retries_;
    aDone(answer);
  };
  if (!config_) {
    refuse(ErrorCode::kConfigurationNotFresh);
    return;
  }
  call->config_ = config_;
  call->route_ = FindRoute(*config_, WithoutQuery(aCall.call_.path_));
  if (call->route_ == nullptr || call->route_->repeatable_) {
    refuse(ErrorCode::kNoRoute);
    return;
  }
  call->arrived_ = loop_.Now();
  call->deadline_ = call->arrived_ + milliseconds(aCall.call_.deadlineMs_);
  call->budget_.left_ = aCall.call_.retries_;
  call->requestId_ = std::move(aCall.requestId_);
  call->call_ = std::move(aCall.call_);
  call->call_.repeatable_ = false;
  // Marks that the call must not be passed on again: two hosts with different views could loop.
  call->owner_ = true;
  call->done_ = std::move(aDone);
  calls_.emplace(call.get(), call);
  call->deadlineTimer_ =
    loop_.After(call->deadline_ - call->arrived_, [this, weak = std::weak_ptr(call)] {
      if (const auto late = weak.lock()) {
        late->deadlineTimer_ = 0;
        OnDeadline(late);
      }
    });
  BeginWithId(call);
}

void Dispatcher::FinishRecord(const CallPointer& aCall, const Answer& aAnswer)
{
  RequestLedger* ledger = FindLedger(aCall->ledger_.first, aCall->ledger_.second);
  if (ledger == nullptr) {
    return;
  }
  FinishRequest(*ledger, aCall->sequence_, aAnswer);
  const auto waiting =
    repeats_.find({ aCall->ledger_.first, aCall->ledger_.second, aCall->sequence_ });
  if (waiting == repeats_.end()) {
    return;
  }
  const std::vector<CallPointer> calls = std::move(waiting->second);
  repeats_.erase(waiting);
  for (const auto& call : calls) {
    metrics_.Add(Counter::kRepeatsAnswered);
    Answer answer = aAnswer;
    answer.retriesUnused_ = call->budget_.left_;
    End(call, std::move(answer));
  }
}

void Dispatcher::OnHandover(const RequestHandover& aBatch)
{
  const auto key = std::make_pair(aBatch.host_, aBatch.incarnation_);
  if (!adopted_.contains(key) && adopted_.size() >= kMaxAdopted) {
    for (auto& [adoptedKey, ledger] : adopted_) {
      ExpireRecords(ledger, loop_.Now());
    }
    std::erase_if(adopted_, [](const auto& aEntry) { return aEntry.second.records_.empty(); });
    if (adopted_.size() >= kMaxAdopted) {
      return;
    }
  }
  // A batch that doesn't fit leaves the ledger closed, so that its ids answer "outcome unknown".
  static_cast<void>(ImportRecords(adopted_[key], aBatch, loop_.Now()));
}

// --- Attempts ---

std::optional<Target> Dispatcher::Choose(const CallPointer& aCall, bool& aShedUpstream)
{
  if (!targets_) {
    return std::nullopt;
  }
  const ServiceId& service = aCall->call_.service_;
  if (settings_.naive_) {
    return ChooseNaiveTarget(naive_, *targets_, service);
  }
  const TimePoint now = loop_.Now();
  std::vector<HostId> excluded = aCall->excluded_;
  while (true) {
    auto target = ChooseTarget(routing_, *targets_, service, excluded, now);
    if (!target || std::find(excluded.begin(), excluded.end(), target->host_) != excluded.end()) {
      return std::nullopt;
    }
    const auto level = levels_.find(target->host_);
    if (level == levels_.end() || UpstreamAdmits(level->second, aCall->call_.importance_, now)) {
      return target;
    }
    aShedUpstream = true;
    excluded.push_back(target->host_);
  }
}

void Dispatcher::Attempt(const CallPointer& aCall)
{
  bool shedUpstream = false;
  const auto target = Choose(aCall, shedUpstream);
  if (target) {
    Send(aCall, *target);
    return;
  }
  if (shedUpstream) {
    metrics_.Add(Counter::kRefusedUpstream);
  }
  Refuse(aCall, shedUpstream ? ErrorCode::kShed : ErrorCode::kNoTarget, kShedRetryMs);
}

void Dispatcher::Send(const CallPointer& aCall, const Target& aTarget)
{
  const TimePoint now = loop_.Now();
  metrics_.Add(Counter::kAttempts);
  ActiveCall& call = *aCall;
  call.target_ = aTarget;
  call.sent_ = now;
  call.asksFate_ = false;
  call.fateQuestions_ = 0;
  call.guard_ = {};
  call.localRun_ = 0;
  call.attempt_ = nextCallId_++;
  call.lent_ = LendRetries(call.budget_);
  call.call_.callId_ = call.attempt_;
  call.call_.retries_ = call.lent_;
  const auto left =
    std::chrono::duration_cast<milliseconds>(call.deadline_ - now - kAnswerReserve).count();
  call.call_.deadlineMs_ = static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
  attempts_[call.attempt_] = aCall;
  if (!settings_.naive_) {
    NoteSent(routing_, aTarget);
  }
  if (aTarget.host_ != settings_.host_) {
    hub_.SendCall(aTarget.peer_, call.attempt_, call.call_);
    return;
  }
  guard_.Run(
    call.call_,
    [&call](std::uint64_t aNumber) { call.localRun_ = aNumber; },
    [this](Answer aAnswer) { OnAnswer(std::move(aAnswer), 0); });
}

void Dispatcher::OnAnswer(Answer aAnswer, std::uint64_t aLink)
{
  const auto entry = attempts_.find(aAnswer.callId_);
  // The call must wait for its answer on this very connection.
  if (entry == attempts_.end() || hub_.LinkOf(aAnswer.callId_) != aLink) {
    metrics_.Add(Counter::kDroppedAnswers);
    std::uint64_t skipped = 0;
    if (droppedLog_.Allow(loop_.Now(), skipped)) {
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

void Dispatcher::EndAttempt(const CallPointer& aCall, CallResult aResult, const Answer* aAnswer)
{
  ActiveCall& call = *aCall;
  attempts_.erase(call.attempt_);
  call.attempt_ = 0;
  call.asksFate_ = false;
  call.localRun_ = 0;
  // Lent retries whose answer never came count as spent.
  ReturnRetries(call.budget_, call.lent_, aAnswer == nullptr ? 0 : aAnswer->retriesUnused_);
  call.lent_ = 0;
  if (call.owner_ || settings_.naive_) {
    return;
  }
  const TimePoint now = loop_.Now();
  NoteEnded(routing_,
            call.target_,
            aResult,
            now - call.sent_,
            aAnswer == nullptr ? -1 : ReportedLoad(*aAnswer),
            now);
  if (aAnswer != nullptr && aAnswer->limit_ != 0) {
    const auto [level, isNew] = levels_.try_emplace(call.target_.host_);
    if (isNew) {
      // Each level has its own sequence, so that probes of several guards don't come together.
      level->second.random_ ^= routing_.random_ * nextCallId_;
    }
    NoteLevel(level->second, aAnswer->level_, now);
  }
}

void Dispatcher::OnAttemptAnswer(const CallPointer& aCall, Answer aAnswer)
{
  // The guard declares the length, so a body that lost bytes on the way can't pass as whole.
  if (aAnswer.outcome_ != Outcome::kNotRun && aCall->call_.method_ != "HEAD" &&
      aAnswer.bodyBytes_ != aAnswer.body_.size()) {
    const std::uint32_t unused = aAnswer.retriesUnused_;
    aAnswer = MakeAnswer(Outcome::kUnknown, ErrorCode::kTruncatedAnswer);
    aAnswer.retriesUnused_ = unused;
  }
  const bool owner = aCall->owner_;
  CallResult result = CallResult::kAnswered;
  if (aAnswer.outcome_ == Outcome::kNotRun) {
    const bool unreachable =
      aAnswer.error_ == static_cast<std::uint16_t>(ErrorCode::kTargetUnreachable);
    result = unreachable ? CallResult::kUnreachable : CallResult::kRefused;
  } else if (aAnswer.outcome_ == Outcome::kUnknown && aAnswer.status_ == 0) {
    const bool late = aAnswer.error_ == static_cast<std::uint16_t>(ErrorCode::kDeadlineExceeded);
    result = late ? CallResult::kTimedOut : CallResult::kFailed;
  }
  EndAttempt(aCall, result, &aAnswer);
  if (owner) {
    // The owner has retried already.
    End(aCall, std::move(aAnswer));
    return;
  }
  RetryOrEnd(aCall, std::move(aAnswer));
}

bool Dispatcher::MayRetry(const CallPointer& aCall, bool aReachedHost)
{
  if (loop_.Now() >= aCall->deadline_) {
    return false;
  }
  if (settings_.naive_) {
    return NaiveRetries(aCall->retries_);
  }
  // The ratio protects services that are slow or failing. A try that found no host cost them
  // nothing.
  const bool inRatio = !aReachedHost || TakeRetryToken(ratios_[aCall->route_->id_], loop_.Now());
  if (aCall->budget_.left_ == 0 || !inRatio) {
    metrics_.Add(Counter::kRetriesDenied);
    return false;
  }
  return SpendRetry(aCall->budget_);
}

void Dispatcher::RetryOrEnd(const CallPointer& aCall, Answer aAnswer, bool aExclude)
{
  const auto code = static_cast<ErrorCode>(aAnswer.error_);
  // A target's own 504 is an answer; it is passed on.
  const bool retryable = (aAnswer.outcome_ == Outcome::kNotRun && IsBusy(code)) ||
                         (aAnswer.outcome_ == Outcome::kUnknown && aAnswer.status_ == 0 &&
                          aCall->call_.repeatable_ && code != ErrorCode::kDeadlineExceeded);
  aCall->mayHaveRun_ = aCall->mayHaveRun_ || aAnswer.outcome_ == Outcome::kUnknown;
  if (!retryable) {
    End(aCall, std::move(aAnswer));
    return;
  }
  if (aExclude) {
    aCall->excluded_.push_back(aCall->target_.host_);
  }
  bool shedUpstream = false;
  auto target = Choose(aCall, shedUpstream);
  if (!target && aAnswer.outcome_ == Outcome::kUnknown) {
    // A host that lost a call isn't overloaded; without another one it is tried again.
    aCall->excluded_.clear();
    target = Choose(aCall, shedUpstream);
  }
  const bool reachedHost =
    aAnswer.outcome_ != Outcome::kNotRun || code != ErrorCode::kTargetUnreachable;
  if (!target || !MayRetry(aCall, reachedHost)) {
    End(aCall, std::move(aAnswer));
    return;
  }
  ++aCall->retries_;
  metrics_.Add(Counter::kRetries);
  Send(aCall, *target);
}

void Dispatcher::OnCallLost(const LostCall& aCall)
{
  const auto entry = attempts_.find(aCall.callId_);
  if (entry == attempts_.end()) {
    return;
  }
  const CallPointer call = entry->second;
  if (call->asksFate_) {
    if (aCall.sent_ && call->fateQuestions_ < kMaxFateQuestions) {
      AskFate(call);
      return;
    }
    // The host can't be reached any more.
    Answer answer = MakeAnswer(Outcome::kUnknown, ErrorCode::kOutcomeUnknown);
    EndAttempt(call, CallResult::kFailed, nullptr);
    RetryOrEnd(call, std::move(answer));
    return;
  }
  if (call->owner_) {
    // The id makes it safe to ask the same owner again.
    EndAttempt(call, CallResult::kFailed, nullptr);
    if (aCall.sent_ && MayRetry(call, true)) {
      metrics_.Add(Counter::kRetries);
      ++call->retries_;
      call->owner_ = false;
      BeginWithId(call);
      return;
    }
    EndUnknown(call, ErrorCode::kOutcomeUnknown);
    return;
  }
  if (!aCall.sent_) {
    Answer answer = MakeAnswer(Outcome::kNotRun, ErrorCode::kTargetUnreachable);
    answer.retriesUnused_ = call->lent_;
    EndAttempt(call, CallResult::kUnreachable, &answer);
    RetryOrEnd(call, std::move(answer));
    return;
  }
  if (!call->call_.repeatable_ && !settings_.naive_) {
    call->guard_ = aCall.peer_;
    AskFate(call);
    return;
  }
  EndAttempt(call, CallResult::kFailed, nullptr);
  // A silent connection says nothing about the host, so the host may be chosen again.
  RetryOrEnd(call,
             MakeAnswer(Outcome::kUnknown, ErrorCode::kOutcomeUnknown),
             aCall.end_ != LinkEnd::kSilent);
}

void Dispatcher::AskFate(const CallPointer& aCall)
{
  metrics_.Add(Counter::kFatesAsked);
  aCall->asksFate_ = true;
  ++aCall->fateQuestions_;
  hub_.SendCall(
    aCall->target_.peer_, aCall->attempt_, CallFate{ ledger_.incarnation_, aCall->attempt_ });
}

void Dispatcher::OnFateReply(const CallFateReply& aReply, std::uint64_t aLink)
{
  const auto entry = attempts_.find(aReply.callId_);
  if (entry == attempts_.end() || !entry->second->asksFate_ ||
      hub_.LinkOf(aReply.callId_) != aLink) {
    return;
  }
  const CallPointer call = entry->second;
  const Hello* peer = hub_.PeerOf(aReply.callId_);
  // Another incarnation has another table: its "never arrived" says nothing of the call.
  const bool same = peer != nullptr && *peer == call->guard_;
  if (same && (aReply.fate_ == Fate::kRunning || aReply.fate_ == Fate::kDone ||
               aReply.fate_ == Fate::kRefused)) {
    // The answer follows on this connection; until then it is watched like a call's.
    return;
  }
  hub_.EndCall(aReply.callId_);
  if (same && aReply.fate_ == Fate::kNeverArrived) {
    Answer answer = MakeAnswer(Outcome::kNotRun, ErrorCode::kTargetUnreachable);
    answer.retriesUnused_ = call->lent_;
    EndAttempt(call, CallResult::kFailed, &answer);
    // The host has just answered, so it may be chosen again.
    RetryOrEnd(call, std::move(answer), false);
    return;
  }
  EndAttempt(call, CallResult::kFailed, nullptr);
  EndUnknown(call, ErrorCode::kOutcomeUnknown);
}

// --- End ---

void Dispatcher::OnDeadline(const CallPointer& aCall)
{
  if (!calls_.contains(aCall.get())) {
    return;
  }
  const bool mayRun = aCall->attempt_ != 0 || aCall->mayHaveRun_;
  CancelAttempt(aCall);
  if (mayRun) {
    EndUnknown(aCall, ErrorCode::kDeadlineExceeded);
    return;
  }
  // A repeat that waits for a running request: that request may run, so "not run" would be false.
  const bool repeat = !aCall->requestId_.empty() && !aCall->requestDigest_.empty();
  if (repeat) {
    EndUnknown(aCall, ErrorCode::kDeadlineExceeded);
  } else {
    Refuse(aCall, ErrorCode::kDeadlineExceeded);
  }
}

void Dispatcher::CancelAttempt(const CallPointer& aCall)
{
  if (aCall->attempt_ == 0) {
    return;
  }
  const std::uint64_t attempt = aCall->attempt_;
  const std::uint64_t localRun = aCall->localRun_;
  EndAttempt(aCall,
             loop_.Now() >= aCall->deadline_ ? CallResult::kTimedOut : CallResult::kCancelled,
             nullptr);
  if (localRun != 0) {
    guard_.Cancel(localRun);
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
    const auto queue = waiting_.find(call.call_.clientAccount_);
    if (queue != waiting_.end()) {
      std::erase(queue->second, aCall);
    }
  }
  // An earlier attempt may have run, so a refusal of a later one doesn't mean "not run".
  if (call.mayHaveRun_ && aAnswer.outcome_ == Outcome::kNotRun) {
    aAnswer.outcome_ = Outcome::kUnknown;
  }
  aAnswer.retriesUnused_ = call.budget_.left_;
  if (!call.contextToken_.empty()) {
    const auto deeper = deeper_.find(call.contextToken_);
    if (deeper != deeper_.end()) {
      std::erase(deeper->second, aCall);
      if (deeper->second.empty()) {
        deeper_.erase(deeper);
      }
    }
    if (CallContext* context = guard_.Context(call.contextToken_)) {
      ReturnRetries(context->budget_, call.lentByContext_, call.budget_.left_);
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
  if (call.contextToken_.empty()) {
    metrics_.Note(Timing::kCaller, loop_.Now() - call.arrived_);
  }
  const Done done = std::move(call.done_);
  call.done_ = nullptr;
  if (done) {
    done(aAnswer);
  }
}

void Dispatcher::LogUnknown(const ActiveCall& aCall, ErrorCode aCode)
{
  std::uint64_t skipped = 0;
  // A caller that closed its connection is told nothing.
  if (aCode != ErrorCode::kCancelled && unknownLog_.Allow(loop_.Now(), skipped)) {
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
  metrics_.Add(Counter::kAnswersNotRun);
  aExchange->Respond(ErrorResponse(
    aRefusal.code_, Outcome::kNotRun, Detail(aRefusal.code_), aRefusal.retryAfterMs_));
}

void Dispatcher::Respond(const std::shared_ptr<HttpExchange>& aExchange,
                         const ActiveCall& aCall,
                         const Answer& aAnswer)
{
  HttpResponse response;
  const auto code = static_cast<ErrorCode>(aAnswer.error_);
  if (aAnswer.status_ == 0 || (aAnswer.outcome_ == Outcome::kUnknown && aAnswer.status_ != 504)) {
    const auto shown = aAnswer.error_ == 0 ? ErrorCode::kOutcomeUnknown : code;
    response = ErrorResponse(shown, aAnswer.outcome_, Detail(shown), aAnswer.retryAfterMs_);
  } else if (IsBodyDropped(aAnswer)) {
    // The request ran, but its answer can't be given whole any more.
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
      response.declaredLength_ = aAnswer.bodyBytes_;
    }
    response.headers_.emplace_back("Quay-Outcome", OutcomeName(aAnswer.outcome_));
  }
  if (!aCall.requestId_.empty()) {
    response.headers_.emplace_back("Quay-Request-Id", aCall.requestId_);
  }
  aExchange->Respond(response);
}

// --- State from the control side ---

void Dispatcher::SetConfig(std::shared_ptr<const Config> aConfig)
{
  if (config_ && aConfig->version_ < config_->version_) {
    return;
  }
  config_ = std::move(aConfig);
  std::erase_if(ratios_, [this](const auto& aEntry) {
    return std::none_of(config_->routes_.begin(), config_->routes_.end(), [&](const Route& aRoute) {
      return aRoute.id_ == aEntry.first;
    });
  });
}

void Dispatcher::SetTargets(std::shared_ptr<const TargetView> aTargets)
{
  targets_ = std::move(aTargets);
  ForgetAbsent(routing_, *targets_);
  std::erase_if(levels_,
                [this](const auto& aEntry) { return !targets_->hosts_.contains(aEntry.first); });
}

void Dispatcher::SetFreshness(TimePoint aFreshness)
{
  freshness_ = std::max(freshness_, aFreshness);
}

void Dispatcher::OnGrant(const ShareGrant& aGrant, TimePoint aAsked)
{
  AddGrant(tokens_, aGrant, aAsked);
  RetryWaiting(aGrant.clientAccount_);
}

void Dispatcher::ReturnTokens()
{
  if (settings_.naive_ || !requestTokens_) {
    return;
  }
  for (auto& request : ReturnIdleTokens(tokens_, loop_.Now())) {
    requestTokens_(std::move(request));
  }
}

void Dispatcher::SetDraining()
{
  draining_ = true;
}

void Dispatcher::Abort()
{
  while (!calls_.empty()) {
    const CallPointer call = calls_.begin()->second;
    const bool mayRun = call->attempt_ != 0 || call->mayHaveRun_ || !call->requestDigest_.empty();
    CancelAttempt(call);
    if (mayRun) {
      EndUnknown(call, ErrorCode::kOutcomeUnknown);
    } else {
      Refuse(call, ErrorCode::kDraining);
    }
  }
}

std::vector<RequestHandover> Dispatcher::HandOver()
{
  auto batches = ExportRecords(ledger_, loop_.Now());
  for (auto& [key, ledger] : adopted_) {
    if (ledger.complete_) {
      auto more = ExportRecords(ledger, loop_.Now());
      std::move(more.begin(), more.end(), std::back_inserter(batches));
    }
  }
  return batches;
}

std::size_t Dispatcher::Calls() const
{
  return calls_.size();
}

Version Dispatcher::ConfigVersion() const
{
  return config_ ? config_->version_ : 0;
}

std::size_t Dispatcher::Targets() const
{
  std::size_t count = 0;
  if (targets_) {
    for (const auto& [service, targets] : targets_->targets_) {
      count += targets.size();
    }
  }
  return count;
}

const TargetView* Dispatcher::View() const
{
  return targets_.get();
}

std::string Dispatcher::Explain(std::string_view aPath, std::string_view aAccount)
{
  nlohmann::json json;
  const TimePoint now = loop_.Now();
  json["path"] = aPath;
  json["account"] = aAccount;
  json["version"] = ConfigVersion();
  const Route* route = config_ ? FindRoute(*config_, WithoutQuery(aPath)) : nullptr;
  if (route == nullptr) {
    json["decision"] = ErrorName(config_ ? ErrorCode::kNoRoute : ErrorCode::kConfigurationNotFresh);
    return json.dump();
  }
  const ClientAccountId account{ std::string(aAccount) };
  const bool known = config_->clientAccounts_.contains(account);
  const bool allowed =
    route->clientAccounts_.empty() ||
    std::find(route->clientAccounts_.begin(), route->clientAccounts_.end(), account) !=
      route->clientAccounts_.end();
  const bool fresh = now - freshness_ < config_->policy_.keyFreshnessBound_;
  json["route"] = route->id_.value_;
  json["service"] = route->service_.value_;
  json["importance"] = ImportanceName(route->importance_);
  json["repeatable"] = route->repeatable_;
  json["open"] = route->open_;
  json["max_retries"] = route->maxRetries_;
  json["account_known"] = known;
  json["account_allowed"] = allowed;
  json["fresh"] = fresh;
  const auto tokens = tokens_.accounts_.find(account);
  if (tokens != tokens_.accounts_.end()) {
    json["tokens"] = now < tokens->second.expires_ ? tokens->second.tokens_ : 0;
    json["over_rate"] = now < tokens->second.refusedUntil_;
  }
  json["targets"] = nlohmann::json::array();
  if (targets_ && targets_->targets_.contains(route->service_)) {
    for (const Target& target : targets_->targets_.at(route->service_)) {
      static constexpr std::array<std::string_view, 4> kStates = {
        "cold", "ready", "draining", "left"
      };
      nlohmann::json entry = { { "host", target.host_.value_ },
                               { "data_centre", target.dataCentre_.value_ },
                               { "state", kStates.at(static_cast<std::size_t>(target.state_)) } };
      const auto stats = routing_.stats_.find(target.host_);
      if (stats != routing_.stats_.end()) {
        entry["in_flight"] = stats->second.inFlight_;
        entry["latency_ms"] = stats->second.latencySeconds_ * 1000;
        entry["reported_load"] = stats->second.reportedLoad_;
        entry["ejected"] = now < stats->second.ejectedUntil_;
      }
      const auto level = levels_.find(target.host_);
      if (level != levels_.end() && now - level->second.heard_ < kLevelLifetime) {
        entry["lowest_admitted"] = ImportanceName(level->second.level_.lowestAdmitted_);
        entry["admitted_fraction"] = level->second.level_.admittedFraction_;
      }
      json["targets"].push_back(entry);
    }
  }
  std::string_view decision = "forward";
  if (draining_) {
    decision = ErrorName(ErrorCode::kDraining);
  } else if (!route->open_ && !known) {
    decision = ErrorName(ErrorCode::kUnknownKey);
  } else if (!route->open_ && !fresh) {
    decision = ErrorName(ErrorCode::kConfigurationNotFresh);
  } else if (!route->open_ && !allowed) {
    decision = ErrorName(ErrorCode::kRouteNotAllowed);
  } else if (json["targets"].empty()) {
    decision = ErrorName(ErrorCode::kNoTarget);
  }
  json["decision"] = decision;
  return json.dump();
}

} // namespace peridotquay
