// Handles requests with an id: keeps their records, forwards them to the host that issued the id,
// and imports records of leaving hosts.
#include "peridotquay/process/Dispatcher.h"
#include "peridotquay/process/DispatcherInternal.h"
#include "peridotquay/process/Events.h"

#include <algorithm>
#include <tuple>

namespace peridotquay {

namespace {

// Maximum number of leaving incarnations whose records are kept.
constexpr std::size_t kMaxImportedLedgers = 64;

} // namespace

RequestLedger* Dispatcher::FindLedger(const HostId& aHost, Incarnation aIncarnation)
{
  if (aHost == settings_.host_ && aIncarnation == ledger_.incarnation_) {
    return &ledger_;
  }
  const auto imported = importedLedgers_.find({ aHost, aIncarnation });
  return imported == importedLedgers_.end() ? nullptr : &imported->second;
}

bool Dispatcher::IsUnused(std::string_view aRequestId)
{
  const auto parsed = ParseRequestId(aRequestId);
  if (parsed.has_error()) {
    return false;
  }
  const RequestIdParts& parts = parsed.assume_value();
  const RequestLedger* ledger = FindLedger(parts.host_, parts.incarnation_);
  const RequestRecord* record =
    ledger == nullptr || ledger->closed_ ? nullptr : FindRecord(*ledger, parts.sequence_);
  return record != nullptr && record->state_ == RecordState::kIssued;
}

Outcome Dispatcher::OutcomeOfRefusal(std::string_view aRequestId, ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kConfigurationNotFresh:
    case ErrorCode::kUnknownKey:
    case ErrorCode::kRouteNotAllowed:
    case ErrorCode::kNoRoute:
      // An earlier use may have run under another version of the configuration.
      return IsUnused(aRequestId) ? Outcome::kNotRun : Outcome::kUnknown;
    default:
      return Outcome::kNotRun;
  }
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
    aCall->ledgerKey_ = { parts.host_, parts.incarnation_ };
    BeginRecord(aCall, *ledger, parts.sequence_);
    return;
  }
  const auto* view = targets_.get();
  const auto owner =
    view == nullptr ? std::map<HostId, Address>::const_iterator() : view->hosts_.find(parts.host_);
  if (parts.host_ == settings_.host_ || view == nullptr || owner == view->hosts_.end() ||
      aCall->isOwnerCall_) {
    // The incarnation that issued the id no longer exists, and its record is lost.
    EndUnknown(aCall, ErrorCode::kOutcomeUnknown);
    return;
  }
  if (aCall->refusalIfUnused_) {
    // The owner of the id would run it if it is unused.
    EndUnknown(aCall, aCall->refusalIfUnused_->code_);
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
      aCall->isOwnerCall_ = false;
      if (aCall->refusalIfUnused_) {
        Refuse(aCall, aCall->refusalIfUnused_->code_, aCall->refusalIfUnused_->retryAfterMs_);
        return;
      }
      if (draining_) {
        Refuse(aCall, ErrorCode::kDraining, kShedRetryAfterMs);
        return;
      }
      if (aCall->call_.depth_ == 0) {
        ApplyRateLimit(aCall);
      } else {
        StartCall(aCall);
      }
      return;
    case BeginResult::kWait:
      waitingDuplicates_[{ aCall->ledgerKey_.first, aCall->ledgerKey_.second, aSequence }]
        .push_back(aCall);
      return;
    case BeginResult::kRepeat: {
      metrics_.Add(Counter::kDuplicatesAnswered);
      const RequestRecord* record = FindRecord(aLedger, aSequence);
      End(aCall, *record->answer_);
      return;
    }
  }
}

void Dispatcher::SendToOwner(const CallPointer& aCall, const Address& aOwner)
{
  aCall->isOwnerCall_ = true;
  aCall->attemptCallId_ = nextCallId_++;
  aCall->sentAt_ = loop_.Now();
  aCall->lentRetries_ = LendRetries(aCall->budget_);
  aCall->call_.callId_ = aCall->attemptCallId_;
  aCall->call_.retries_ = aCall->lentRetries_;
  const auto leftMs =
    std::chrono::duration_cast<milliseconds>(aCall->deadline_ - aCall->sentAt_ - kAnswerReserve)
      .count();
  aCall->call_.deadlineMs_ = static_cast<std::uint32_t>(std::max<std::int64_t>(1, leftMs));
  attempts_[aCall->attemptCallId_] = aCall;
  hub_.SendCall(aOwner, aCall->attemptCallId_, OwnerCall{ aCall->requestId_, aCall->call_ });
}

void Dispatcher::OnOwnerCall(OwnerCall aCall, CompletionHandler aHandler)
{
  metrics_.Add(Counter::kOwnerCalls);
  auto call = std::make_shared<ActiveCall>();
  const auto refuse = [&](ErrorCode aCode) {
    Answer answer = MakeAnswer(OutcomeOfRefusal(aCall.requestId_, aCode), aCode);
    answer.retriesUnused_ = aCall.call_.retries_;
    aHandler(answer);
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
  call->arrivedAt_ = loop_.Now();
  call->deadline_ = call->arrivedAt_ + milliseconds(aCall.call_.deadlineMs_);
  call->budget_.left_ = aCall.call_.retries_;
  call->requestId_ = std::move(aCall.requestId_);
  call->call_ = std::move(aCall.call_);
  call->call_.repeatable_ = false;
  // Prevents a second forwarding: hosts with different views could forward in a loop.
  call->isOwnerCall_ = true;
  call->completionHandler_ = std::move(aHandler);
  calls_.emplace(call.get(), call);
  call->deadlineTimer_ =
    loop_.After(call->deadline_ - call->arrivedAt_, [this, weak = std::weak_ptr(call)] {
      if (const auto expiredCall = weak.lock()) {
        expiredCall->deadlineTimer_ = 0;
        OnDeadline(expiredCall);
      }
    });
  BeginWithId(call);
}

void Dispatcher::FinishRecord(const CallPointer& aCall, const Answer& aAnswer)
{
  RequestLedger* ledger = FindLedger(aCall->ledgerKey_.first, aCall->ledgerKey_.second);
  if (ledger == nullptr) {
    return;
  }
  FinishRequest(*ledger, aCall->sequence_, aAnswer);
  const auto waiting = waitingDuplicates_.find(
    { aCall->ledgerKey_.first, aCall->ledgerKey_.second, aCall->sequence_ });
  if (waiting == waitingDuplicates_.end()) {
    return;
  }
  const std::vector<CallPointer> calls = std::move(waiting->second);
  waitingDuplicates_.erase(waiting);
  for (const auto& call : calls) {
    metrics_.Add(Counter::kDuplicatesAnswered);
    Answer answer = aAnswer;
    answer.retriesUnused_ = call->budget_.left_;
    End(call, std::move(answer));
  }
}

void Dispatcher::OnHandover(const RequestHandover& aBatch)
{
  const auto key = std::make_pair(aBatch.host_, aBatch.incarnation_);
  if (!importedLedgers_.contains(key) && importedLedgers_.size() >= kMaxImportedLedgers) {
    for (auto& [importedKey, ledger] : importedLedgers_) {
      ExpireRecords(ledger, loop_.Now());
    }
    std::erase_if(importedLedgers_,
                  [](const auto& aEntry) { return aEntry.second.records_.empty(); });
    if (importedLedgers_.size() >= kMaxImportedLedgers) {
      return;
    }
  }
  // A batch that can't be imported leaves the ledger closed; its ids are then answered with outcome
  // unknown.
  static_cast<void>(ImportRecords(importedLedgers_[key], aBatch, loop_.Now()));
}

} // namespace peridotquay
