// Checks and admits requests at the host where they enter; applies state from the control plane.
#include "peridotquay/process/Dispatcher.h"

#include "peridotquay/process/DispatcherInternal.h"
#include "peridotquay/process/Events.h"
#include "peridotquay/request/Random.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <optional>

namespace peridotquay {

namespace {

// Maximum number of request ids issued in answer to one request.
constexpr std::uint64_t kMaxIdsPerRequest = 256;

// A timer that fires this much too late indicates that the socket thread was stalled.
constexpr Duration kStallThreshold = milliseconds(5);

constexpr std::uint64_t kMaxDeadlineMs = 3'600'000;

} // namespace

Dispatcher::Dispatcher(EventLoop& aLoop,
                       const NodeSettings& aSettings,
                       Incarnation aIncarnation,
                       Guard& aGuard,
                       PeerHub& aHub,
                       Metrics& aMetrics,
                       const HttpDialect& aDialect)
  : loop_(aLoop)
  , settings_(aSettings)
  , guard_(aGuard)
  , hub_(aHub)
  , metrics_(aMetrics)
  , dialect_(aDialect)
  , ledger_(MakeLedger(aSettings.host_, aIncarnation))
{
  routing_.dataCentre_ = aSettings.dataCentre_;
  routing_.region_ = aSettings.region_;
  routing_.settings_.evenLoad_ = aSettings.evenLoad_;
  routing_.random_ = aSettings.randomSeed_ != 0
                       ? aSettings.randomSeed_
                       : static_cast<std::uint64_t>(Clock::now().time_since_epoch().count()) | 1U;
  guard_.onContextClosed_ = [this](const std::string& aToken) {
    const auto entry = deeperCalls_.find(aToken);
    if (entry == deeperCalls_.end()) {
      return;
    }
    const std::vector<CallPointer> calls = std::move(entry->second);
    deeperCalls_.erase(entry);
    for (const auto& call : calls) {
      CancelCall(call);
    }
  };
}

Dispatcher::~Dispatcher()
{
  guard_.onContextClosed_ = nullptr;
}

const Route* Dispatcher::FindRequestRoute(const HttpRequest& aRequest) const
{
  return config_->routesByHost_ ? FindHostRoute(*config_,
                                                FindHeader(aRequest.headers_, "Host").value_or(""),
                                                WithoutQuery(aRequest.path_))
                                : FindRoute(*config_, WithoutQuery(aRequest.path_));
}

bool Dispatcher::MayOverlap(const HttpRequest& aRequest) const
{
  const Route* route = config_ ? FindRequestRoute(aRequest) : nullptr;
  return route != nullptr && route->repeatable_;
}

bool Dispatcher::FindCallRoute(const HttpRequest& aRequest, ActiveCall& aCall) const
{
  aCall.config_ = config_;
  aCall.route_ = FindRequestRoute(aRequest);
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
  auto key = FindHeader(aRequest.headers_, dialect_.keyHeader_);
  if (!key || key->size() <= dialect_.keyScheme_.size() || !key->starts_with(dialect_.keyScheme_)) {
    return Refusal{ ErrorCode::kMissingKey };
  }
  key->remove_prefix(dialect_.keyScheme_.size());
  const ClientAccount* account = FindAccountByKeyDigest(*config_, KeyDigest(*key));
  if (account == nullptr) {
    return Refusal{ ErrorCode::kUnknownKey };
  }
  aCall.call_.clientAccount_ = account->id_;
  if (!settings_.naive_ && FreshnessAge() >= config_->policy_.keyFreshnessBound_) {
    return Refusal{ ErrorCode::kConfigurationNotFresh, kShedRetryAfterMs };
  }
  if (aCall.route_ != nullptr) {
    const auto& allowed = aCall.route_->clientAccounts_;
    if (!allowed.empty() &&
        std::find(allowed.begin(), allowed.end(), account->id_) == allowed.end()) {
      return Refusal{ ErrorCode::kRouteNotAllowed };
    }
    if (config_->routesByHost_) {
      aCall.call_.importance_ = ImportanceFor(*config_, *account, *aCall.route_);
    }
  }
  return std::nullopt;
}

Duration Dispatcher::FreshnessAge() const
{
  // The monotonic clock stops while the host is suspended, but a key may be withdrawn meanwhile.
  return loop_.Now() - freshAsOf_ + (SuspendedTime() - suspendedTimeAtFreshness_);
}

bool Dispatcher::MayRefuseForGood() const
{
  return settings_.naive_ || FreshnessAge() < config_->policy_.refusalFreshnessBound_;
}

const ServiceId& Dispatcher::ChooseService(const Route& aRoute)
{
  double total = 0;
  for (const WeightedService& part : aRoute.split_) {
    total += part.weight_;
  }
  double remaining = RandomFraction(routing_.random_) * total;
  for (const WeightedService& part : aRoute.split_) {
    remaining -= part.weight_;
    if (remaining < 0) {
      return part.service_;
    }
  }
  return aRoute.split_.empty() ? aRoute.service_ : aRoute.split_.front().service_;
}

std::optional<Dispatcher::Refusal> Dispatcher::ReadCallHeaders(const HttpRequest& aRequest,
                                                               ActiveCall& aCall) const
{
  const Refusal malformed{ ErrorCode::kMalformedRequest };
  const TimePoint now = loop_.Now();
  aCall.arrivedAt_ = now;
  aCall.deadline_ = now + aCall.route_->deadline_;
  if (const auto text = FindHeader(aRequest.headers_, dialect_.deadlineHeader_)) {
    const auto value = ParseNumber(*text, kMaxDeadlineMs);
    if (!value || *value == 0) {
      return malformed;
    }
    aCall.statedDeadline_ = milliseconds(*value);
    aCall.deadline_ = std::min(aCall.deadline_, now + aCall.statedDeadline_);
  }
  aCall.budget_.left_ = aCall.route_->maxRetries_;
  if (!dialect_.hasContexts_) {
    return std::nullopt;
  }
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

// Without contexts, a deeper call of the local target isn't told from a caller's request on the
// same open route. While the target still runs calls, refusing it would fail one of them.
bool Dispatcher::MayServeRunningCall(const HttpRequest& aRequest) const
{
  if (dialect_.hasContexts_ || !config_ || guard_.ActiveCalls() == 0 ||
      FindHeader(aRequest.headers_, dialect_.keyHeader_)) {
    return false;
  }
  ActiveCall call;
  return FindCallRoute(aRequest, call) && call.route_->open_;
}

void Dispatcher::OnCallerRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  metrics_.Add(Counter::kCallerRequests);
  const HttpRequest& request = aExchange->request_;
  const auto id = dialect_.issuesRequestIds_ ? FindHeader(request.headers_, "Quay-Request-Id")
                                             : std::optional<std::string_view>();
  // A request with an id is looked up even while draining, because an earlier use may have run.
  if (draining_ && !id && !MayServeRunningCall(request)) {
    metrics_.Add(Counter::kRefusedDraining);
    RefuseExchange(aExchange, { ErrorCode::kDraining, kShedRetryAfterMs });
    return;
  }
  if (!config_) {
    metrics_.Add(Counter::kRefusedStaleConfig);
    RefuseExchange(aExchange, { ErrorCode::kConfigurationNotFresh, kShedRetryAfterMs });
    return;
  }
  if (dialect_.issuesRequestIds_ && WithoutQuery(request.path_) == "/quay/request-ids") {
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
  aExchange->mayOverlap_ = call->route_ != nullptr && call->route_->repeatable_;
  if (id && call->route_ != nullptr && !call->route_->repeatable_) {
    call->requestId_ = *id;
  }
  if (!refusal) {
    refusal = Authenticate(request, *call);
    // Whether the key still holds matters only for a request that would run now.
    if (refusal && refusal->code_ == ErrorCode::kConfigurationNotFresh &&
        !call->requestId_.empty()) {
      call->refusalIfUnused_ = std::exchange(refusal, std::nullopt);
    }
  }
  if (refusal && refusal->code_ != ErrorCode::kConfigurationNotFresh && !MayRefuseForGood()) {
    refusal = Refusal{ ErrorCode::kConfigurationNotFresh, kUnprovenRetryAfterMs };
  }
  if (!refusal) {
    refusal = ReadCallHeaders(request, *call);
  }
  if (refusal) {
    const bool notFresh = refusal->code_ == ErrorCode::kConfigurationNotFresh;
    metrics_.Add(notFresh ? Counter::kRefusedStaleConfig : Counter::kRefusedKey);
    RefuseExchange(aExchange, *refusal);
    return;
  }
  if (!call->route_->split_.empty()) {
    call->call_.service_ = ChooseService(*call->route_);
  }
  SetWaitedTime(*call);
  if (IsDeeperCall(*call)) {
    RecordOpenRequest(*call);
  }
  RegisterCall(call, aExchange);
  if (call->requestId_.empty()) {
    ApplyRateLimit(call);
  } else {
    // The host that has the record consumes the token, and only if the request is to run. Thus a
    // repeat of a request that ran is never refused with "not run".
    BeginWithId(call);
  }
}

void Dispatcher::OnOutboundRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  metrics_.Add(Counter::kOutboundRequests);
  const HttpRequest& request = aExchange->request_;
  if (!config_) {
    RefuseExchange(aExchange, { ErrorCode::kConfigurationNotFresh, kShedRetryAfterMs });
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
  if (const auto refusal = ReadCallHeaders(request, *call)) {
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
    if (context->depth_ >= kMaxCallDepth) {
      RefuseExchange(aExchange, { ErrorCode::kDepthExceeded });
      return;
    }
    call->contextToken_ = *token;
    deeperCalls_[call->contextToken_].push_back(call);
    BeginDeeperCall(*context, loop_.Now());
    call->retriesFromContext_ = LendRetries(context->budget_);
    call->budget_.left_ = call->retriesFromContext_;
    call->deadline_ = std::min(call->deadline_, context->deadline_);
    call->call_.clientAccount_ = context->clientAccount_;
    // A deeper call inherits the importance of the request that it serves and may only lower it;
    // the importance of its own route doesn't count.
    const auto lowered = FindHeader(request.headers_, "Quay-Importance");
    call->call_.importance_ =
      lowered ? std::max(context->importance_, *ParseImportance(*lowered)) : context->importance_;
    call->call_.depth_ = static_cast<std::uint8_t>(context->depth_ + 1);
  }
  const auto id = FindHeader(request.headers_, "Quay-Request-Id");
  if (id && !call->route_->repeatable_) {
    call->requestId_ = *id;
  }
  RegisterCall(call, aExchange);
  // Deeper calls aren't rate-limited: the caller's request consumed a token when it entered.
  if (call->requestId_.empty()) {
    StartCall(call);
  } else {
    BeginWithId(call);
  }
}

void Dispatcher::RegisterCall(const CallPointer& aCall,
                              const std::shared_ptr<HttpExchange>& aExchange)
{
  HttpRequest& request = aExchange->request_;
  aCall->call_.method_ = request.method_;
  aCall->call_.path_ = request.path_;
  aCall->call_.headers_ = std::move(request.headers_);
  // Removes headers that are meant for this node only. The caller's key must reach neither peers
  // nor targets.
  dialect_.rewriteForGuard_(aCall->call_.headers_, settings_.service_);
  if (!aCall->requestId_.empty()) {
    aCall->call_.headers_.emplace_back("Quay-Request-Id", aCall->requestId_);
  }
  aCall->call_.body_ = std::move(request.body_);
  aCall->completionHandler_ = [this, aExchange, call = aCall.get()](const Answer& aAnswer) {
    Respond(aExchange, *call, aAnswer);
  };
  aCall->exchange_ = aExchange;
  calls_.emplace(aCall.get(), aCall);
  aExchange->onClosed_ = [this, weak = std::weak_ptr(aCall)] {
    const auto call = weak.lock();
    // A request with an id continues: its answer is stored for a repeat by the caller.
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

void Dispatcher::RecordOpenRequest(ActiveCall& aCall)
{
  // Its failure would waste the work of the request that it serves.
  aCall.call_.importance_ = Importance::kCritical;
  aCall.hasRunningDeadline_ = aCall.statedDeadline_ > Duration::zero() &&
                              guard_.RunsCallWithDeadline(aCall.arrivedAt_ + aCall.statedDeadline_);
  RecordOpenCall(openRoutes_[aCall.call_.route_], aCall.hasRunningDeadline_);
}

// Older hosts reject a call with a waited time, so it is set only where targets state the duration
// of their work: this host's own, or those of the called service. A deeper call has the deadline of
// its request, which says nothing about its own.
void Dispatcher::SetWaitedTime(ActiveCall& aCall)
{
  const bool isUsed = settings_.roomScheduling_ != FeatureMode::kOff &&
                      (guard_.SchedulesCapacity() || IsLoadEven(routing_, aCall.call_.service_));
  if (!isUsed || aCall.call_.clientAccount_.value_.empty()) {
    return;
  }
  const Duration waited = WaitedTime(statedDeadlines_,
                                     { aCall.call_.route_, aCall.call_.clientAccount_ },
                                     aCall.statedDeadline_,
                                     aCall.arrivedAt_);
  aCall.call_.waitedMs_ = static_cast<std::uint32_t>(waited / milliseconds(1));
  metrics_.Add(Counter::kReturningRequests, aCall.call_.waitedMs_ > 0 ? 1 : 0);
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
      text.starts_with("count=") ? ParseNumber(text.substr(6), kMaxIdsPerRequest) : std::nullopt;
    if (!value || *value == 0) {
      RefuseExchange(aExchange, { ErrorCode::kMalformedRequest });
      return;
    }
    count = *value;
  }
  const auto ids = IssueRequestIds(ledger_, static_cast<std::uint32_t>(count), loop_.Now());
  if (ids.has_error()) {
    RefuseExchange(aExchange, { ids.assume_error().code_, kShedRetryAfterMs });
    return;
  }
  metrics_.Add(Counter::kRequestIdsIssued, count);
  const nlohmann::json body = { { "request_ids", ids.assume_value() } };
  aExchange->Respond(JsonResponse(200, body.dump()));
}

void Dispatcher::ApplyRateLimit(const CallPointer& aCall)
{
  const ClientAccountId& account = aCall->call_.clientAccount_;
  if (account.value_.empty()) {
    StartCall(aCall);
    return;
  }
  const auto& accounts = aCall->config_->clientAccounts_;
  const auto configured = accounts.find(account);
  if (configured == accounts.end()) {
    // Another host forwarded the call, and its configuration is older or newer.
    metrics_.Add(Counter::kRefusedStaleConfig);
    Refuse(aCall, ErrorCode::kConfigurationNotFresh, kUnprovenRetryAfterMs);
    return;
  }
  if (configured->second.ratePerSecond_ <= 0) {
    StartCall(aCall);
    return;
  }
  const TimePoint now = loop_.Now();
  if (settings_.naive_) {
    if (TryConsumeNaiveRateToken(naive_, configured->second, now)) {
      StartCall(aCall);
    } else {
      metrics_.Add(Counter::kRefusedRate);
      Refuse(aCall, ErrorCode::kOverRate, kShedRetryAfterMs);
    }
    return;
  }
  const auto queue = waitingForTokens_.find(account);
  const bool othersWait = queue != waitingForTokens_.end() && !queue->second.empty();
  AcquireResult acquired = AcquireToken(
    tokens_, account, othersWait ? static_cast<std::uint32_t>(queue->second.size()) : 0, now);
  if (acquired.shareRequest_ && requestTokens_) {
    requestTokens_(*acquired.shareRequest_);
  }
  switch (acquired.status_) {
    case AcquireStatus::kAcquired:
      StartCall(aCall);
      return;
    case AcquireStatus::kRefused:
      metrics_.Add(Counter::kRefusedRate);
      Refuse(aCall, ErrorCode::kOverRate, acquired.retryAfterMs_);
      return;
    case AcquireStatus::kPending:
      break;
  }
  waitingForTokens_[account].push_back(aCall);
  WaitForTokens(aCall, kMaxTokenWait, true);
}

void Dispatcher::WaitForTokens(const CallPointer& aCall, Duration aWait, bool aExtendAfterStall)
{
  const TimePoint dueAt = loop_.Now() + aWait;
  aCall->tokenTimer_ =
    loop_.After(aWait, [this, weak = std::weak_ptr(aCall), dueAt, aExtendAfterStall] {
      const auto call = weak.lock();
      if (!call || call->tokenTimer_ == 0) {
        return;
      }
      // After a stall of this thread the grant may be among the events that aren't handled yet.
      if (aExtendAfterStall && loop_.Now() - dueAt > kStallThreshold) {
        WaitForTokens(call, kStallThreshold, false);
        return;
      }
      call->tokenTimer_ = 0;
      std::erase(waitingForTokens_[call->call_.clientAccount_], call);
      metrics_.Add(Counter::kRefusedRate);
      Refuse(call, ErrorCode::kOverRate, kShedRetryAfterMs);
    });
}

void Dispatcher::ResumeWaitingCalls(const ClientAccountId& aAccount)
{
  const auto entry = waitingForTokens_.find(aAccount);
  if (entry == waitingForTokens_.end()) {
    return;
  }
  std::deque<CallPointer> calls = std::move(entry->second);
  waitingForTokens_.erase(entry);
  while (!calls.empty()) {
    const CallPointer call = calls.front();
    calls.pop_front();
    AcquireResult acquired =
      AcquireToken(tokens_, aAccount, static_cast<std::uint32_t>(calls.size()), loop_.Now());
    if (acquired.shareRequest_ && requestTokens_) {
      requestTokens_(*acquired.shareRequest_);
    }
    if (acquired.status_ == AcquireStatus::kPending) {
      calls.push_front(call);
      break;
    }
    loop_.CancelTimer(call->tokenTimer_);
    call->tokenTimer_ = 0;
    if (acquired.status_ == AcquireStatus::kAcquired) {
      StartCall(call);
    } else {
      metrics_.Add(Counter::kRefusedRate);
      Refuse(call, ErrorCode::kOverRate, acquired.retryAfterMs_);
    }
  }
  if (!calls.empty()) {
    auto& queue = waitingForTokens_[aAccount];
    queue.insert(queue.begin(), calls.begin(), calls.end());
  }
}

void Dispatcher::StartCall(const CallPointer& aCall)
{
  if (!calls_.contains(aCall.get())) {
    return;
  }
  RecordFirstAttempt(retryRatios_[aCall->call_.service_], RetrySettings(*aCall));
  StartAttempt(aCall);
}

void Dispatcher::SetConfig(std::shared_ptr<const Config> aConfig)
{
  if (config_ && aConfig->version_ < config_->version_) {
    return;
  }
  config_ = std::move(aConfig);
  routing_.settings_.slackFractionWithinRegion_ = config_->policy_.slackFractionWithinRegion_;
  routing_.settings_.slackFractionBetweenRegions_ = config_->policy_.slackFractionBetweenRegions_;
  const auto isRemoved = [this](const RouteId& aId) {
    return std::none_of(config_->routes_.begin(), config_->routes_.end(), [&](const Route& aRoute) {
      return aRoute.id_ == aId;
    });
  };
  std::erase_if(durations_, [&](const auto& aEntry) { return isRemoved(aEntry.first.first); });
  std::erase_if(openRoutes_, [&](const auto& aEntry) { return isRemoved(aEntry.first); });
  std::erase_if(retryRatios_, [this](const auto& aEntry) {
    return std::none_of(config_->routes_.begin(), config_->routes_.end(), [&](const Route& aRoute) {
      return aRoute.service_ == aEntry.first || std::any_of(aRoute.split_.begin(),
                                                            aRoute.split_.end(),
                                                            [&](const WeightedService& aPart) {
                                                              return aPart.service_ == aEntry.first;
                                                            });
    });
  });
}

void Dispatcher::SetTargets(std::shared_ptr<const TargetView> aTargets)
{
  targets_ = std::move(aTargets);
  RemoveAbsentHosts(routing_, *targets_);
  std::erase_if(admissionLevels_,
                [this](const auto& aEntry) { return !targets_->hosts_.contains(aEntry.first); });
  std::erase_if(leavingTargets_,
                [this](const auto& aEntry) { return !targets_->hosts_.contains(aEntry.first); });
}

void Dispatcher::SetFreshness(TimePoint aFreshAsOf)
{
  if (aFreshAsOf > freshAsOf_) {
    freshAsOf_ = aFreshAsOf;
    suspendedTimeAtFreshness_ = SuspendedTime();
  }
}

void Dispatcher::OnGrant(const ShareGrant& aGrant, TimePoint aRequestedAt)
{
  AddGrant(tokens_, aGrant, aRequestedAt);
  ResumeWaitingCalls(aGrant.clientAccount_);
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

void Dispatcher::SetDraining(TimePoint aEndsAt)
{
  draining_ = true;
  drainEndsAt_ = aEndsAt;
}

void Dispatcher::Abort()
{
  while (!calls_.empty()) {
    const CallPointer call = calls_.begin()->second;
    const bool mayHaveRun =
      call->attemptCallId_ != 0 || call->mayHaveRun_ || !call->requestDigest_.empty();
    CancelAttempt(call);
    if (mayHaveRun) {
      EndUnknown(call, ErrorCode::kOutcomeUnknown);
    } else {
      Refuse(call, ErrorCode::kDraining);
    }
  }
}

std::vector<RequestHandover> Dispatcher::HandOver()
{
  auto batches = ExportRecords(ledger_, loop_.Now());
  for (auto& [key, ledger] : importedLedgers_) {
    if (ledger.complete_) {
      auto more = ExportRecords(ledger, loop_.Now());
      std::move(more.begin(), more.end(), std::back_inserter(batches));
    }
  }
  return batches;
}

std::size_t Dispatcher::ActiveCalls() const
{
  return calls_.size();
}

Version Dispatcher::ConfigVersion() const
{
  return config_ ? config_->version_ : 0;
}

std::size_t Dispatcher::TargetCount() const
{
  std::size_t count = 0;
  if (targets_) {
    for (const auto& [service, targets] : targets_->targets_) {
      count += targets.size();
    }
  }
  return count;
}

const TargetView* Dispatcher::CurrentTargets() const
{
  return targets_.get();
}

void Dispatcher::OnLoads(const std::vector<ReceivedLoad>& aLoads)
{
  if (!targets_ || settings_.naive_) {
    return;
  }
  metrics_.Add(Counter::kLoadReports, aLoads.size());
  for (const ReceivedLoad& load : aLoads) {
    RecordLoadReport(
      routing_, *targets_, load.host_, load.incarnation_, load.report_, load.measuredAt_);
  }
}

std::string Dispatcher::Explain(std::string_view aPath, std::string_view aAccount)
{
  // The query and the records of other hosts may hold any bytes.
  const auto toText = [](const nlohmann::json& aJson) {
    return aJson.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  };
  nlohmann::json json;
  const TimePoint now = loop_.Now();
  json["path"] = aPath;
  json["account"] = aAccount;
  json["version"] = ConfigVersion();
  const Route* route = config_ ? FindRoute(*config_, WithoutQuery(aPath)) : nullptr;
  if (route == nullptr) {
    json["decision"] = ErrorName(config_ ? ErrorCode::kNoRoute : ErrorCode::kConfigurationNotFresh);
    return toText(json);
  }
  const ClientAccountId account{ std::string(aAccount) };
  const bool known = config_->clientAccounts_.contains(account);
  const bool allowed =
    route->clientAccounts_.empty() ||
    std::find(route->clientAccounts_.begin(), route->clientAccounts_.end(), account) !=
      route->clientAccounts_.end();
  const bool fresh = now - freshAsOf_ < config_->policy_.keyFreshnessBound_;
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
    json["tokens"] = now < tokens->second.expiresAt_ ? tokens->second.tokens_ : 0;
    json["over_rate"] = now < tokens->second.refusedUntil_;
  }
  json["even_load"] = IsLoadEven(routing_, route->service_);
  if (json["even_load"]) {
    const ServiceLoad& load = routing_.loads_.at(route->service_).load_;
    json["utilisation"] = load.utilisation_;
    json["leaving_data_centre"] = load.leaving_[0];
    json["leaving_region"] = load.leaving_[1];
  }
  const TargetFilter filter = FilterFor(*config_, *route, account);
  json["allowed_regions"] = nlohmann::json::object();
  for (const auto& [name, regions] :
       { std::pair("route", filter.routeRegions_), std::pair("account", filter.accountRegions_) }) {
    if (regions != nullptr && !regions->empty()) {
      for (const RegionId& region : *regions) {
        json["allowed_regions"][name].push_back(region.value_);
      }
    }
  }
  bool mayReachAny = false;
  json["targets"] = nlohmann::json::array();
  if (targets_ && targets_->targets_.contains(route->service_)) {
    for (const Target& target : targets_->targets_.at(route->service_)) {
      static constexpr std::array<std::string_view, 4> kStates = {
        "cold", "ready", "draining", "left"
      };
      nlohmann::json entry = { { "host", target.host_.value_ },
                               { "data_centre", target.dataCentre_.value_ },
                               { "region", target.region_.value_ },
                               { "evacuated", targets_->evacuated_.contains(target.dataCentre_) },
                               { "may_reach", MayReach(filter, *targets_, target) },
                               { "state", kStates.at(static_cast<std::size_t>(target.state_)) } };
      mayReachAny = mayReachAny || MayReach(filter, *targets_, target);
      const auto stats = routing_.stats_.find(target.host_);
      if (stats != routing_.stats_.end()) {
        entry["in_flight"] = stats->second.inFlight_;
        entry["latency_ms"] = stats->second.latencySeconds_ * 1000;
        entry["reported_load"] = stats->second.reportedLoad_;
        entry["ejected"] = now < stats->second.ejectedUntil_;
        const TargetLoadEstimate& load = stats->second.load_;
        if (load.measuredAt_ != TimePoint{}) {
          entry["report_age_ms"] =
            std::chrono::duration_cast<milliseconds>(now - load.measuredAt_).count();
          entry["work_percent"] = load.report_.workPercent_;
          entry["reported_calls"] = load.report_.running_ + load.report_.queued_;
          entry["expected_calls"] = load.calls_;
          entry["limit"] = load.report_.limit_;
        }
      }
      const auto level = admissionLevels_.find(target.host_);
      if (level != admissionLevels_.end() &&
          now - level->second.receivedAt_ < kAdmissionLevelLifetime) {
        entry["lowest_admitted"] = ImportanceName(level->second.level_.minAdmittedImportance_);
        entry["admitted_fraction"] = std::min(1.0, level->second.level_.admittedFraction_);
        entry["deeper_overload"] = StatedDeeperOverload(level->second.level_);
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
  } else if (!mayReachAny) {
    decision = ErrorName(ErrorCode::kNoTarget);
  }
  json["decision"] = decision;
  return toText(json);
}

} // namespace peridotquay
