// Duplicate suppression for calls that must run at most once.
#include "peridotquay/process/DeduplicationTable.h"

#include <algorithm>

namespace peridotquay {

namespace {

// A tombstone stops a call that was delayed in a lost connection. A connection that is silent for
// this long has been closed by silence detection, so no call can arrive later.
constexpr Duration kTombstoneRetention = seconds(600);

// Even a full table keeps an answered call this long; a lost connection is detected after 500 ms.
constexpr Duration kMinAnswerRetention = milliseconds(1500);

// Maximum number of senders in watermarks_.
constexpr std::size_t kMaxSenders = 8192;

CallKey SenderOf(const CallKey& aKey)
{
  return { aKey.host_, aKey.incarnation_, 0 };
}

bool IsAtOrBelowWatermark(const DeduplicationTable& aTable, const CallKey& aKey)
{
  const auto sender = aTable.watermarks_.find(SenderOf(aKey));
  return sender != aTable.watermarks_.end() && aKey.callId_ <= sender->second;
}

using EntryIterator = std::map<CallKey, DeduplicationEntry, CallKeyLess>::iterator;

EntryIterator Evict(DeduplicationTable& aTable, EntryIterator aEntry)
{
  if (aEntry->second.answer_) {
    aTable.answerBytes_ -= aEntry->second.answer_->body_.size();
  }
  auto& watermark = aTable.watermarks_[SenderOf(aEntry->first)];
  watermark = std::max(watermark, aEntry->first.callId_);
  return aTable.entries_.erase(aEntry);
}

void Expire(DeduplicationTable& aTable, Duration aRetention, TimePoint aNow)
{
  for (auto entry = aTable.entries_.begin(); entry != aTable.entries_.end();) {
    const DeduplicationEntry& known = entry->second;
    const Duration age = aNow - known.changedAt_;
    const bool expired =
      known.tombstone_ ? age >= kTombstoneRetention : known.answered_ && age >= aRetention;
    entry = expired ? Evict(aTable, entry) : std::next(entry);
  }
}

bool HasRoom(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow)
{
  // If the table is full, answers are evicted earlier to make room for new calls.
  for (Duration retention = kAnswerRetention;
       aTable.entries_.size() >= kMaxDeduplicationEntries && retention >= kMinAnswerRetention;
       retention /= 4) {
    Expire(aTable, retention, aNow);
  }
  return aTable.entries_.size() < kMaxDeduplicationEntries &&
         (aTable.watermarks_.size() < kMaxSenders || aTable.watermarks_.contains(SenderOf(aKey)));
}

} // namespace

bool CallKeyLess::operator()(const CallKey& aLeft, const CallKey& aRight) const
{
  if (aLeft.incarnation_ != aRight.incarnation_) {
    return aLeft.incarnation_ < aRight.incarnation_;
  }
  if (aLeft.callId_ != aRight.callId_) {
    return aLeft.callId_ < aRight.callId_;
  }
  return aLeft.host_.value_ < aRight.host_.value_;
}

ArrivalDecision RecordArrival(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow)
{
  const auto known = aTable.entries_.find(aKey);
  if (known != aTable.entries_.end()) {
    return known->second.tombstone_ ? ArrivalDecision::kRefuse : ArrivalDecision::kDrop;
  }
  if (IsAtOrBelowWatermark(aTable, aKey)) {
    return ArrivalDecision::kDrop;
  }
  if (!HasRoom(aTable, aKey, aNow)) {
    return ArrivalDecision::kRefuse;
  }
  aTable.entries_[aKey].changedAt_ = aNow;
  return ArrivalDecision::kRun;
}

void RecordAnswer(DeduplicationTable& aTable,
                  const CallKey& aKey,
                  const Answer& aAnswer,
                  TimePoint aNow)
{
  const auto entry = aTable.entries_.find(aKey);
  if (entry == aTable.entries_.end() || entry->second.answered_ || entry->second.tombstone_) {
    return;
  }
  entry->second.answered_ = true;
  entry->second.changedAt_ = aNow;
  if (aTable.answerBytes_ + aAnswer.body_.size() <= kMaxKeptAnswerBytes) {
    entry->second.answer_ = aAnswer;
    aTable.answerBytes_ += aAnswer.body_.size();
  }
}

CallStatusResult QueryCallStatus(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow)
{
  const auto entry = aTable.entries_.find(aKey);
  if (entry != aTable.entries_.end()) {
    const DeduplicationEntry& known = entry->second;
    if (known.tombstone_) {
      return { CallStatus::kNeverArrived, std::nullopt };
    }
    if (!known.answered_) {
      return { CallStatus::kRunning, std::nullopt };
    }
    if (!known.answer_) {
      return { CallStatus::kUnknown, std::nullopt };
    }
    const bool refused = known.answer_->outcome_ == Outcome::kNotRun;
    return { refused ? CallStatus::kRefused : CallStatus::kDone, known.answer_ };
  }
  if (IsAtOrBelowWatermark(aTable, aKey) || !HasRoom(aTable, aKey, aNow)) {
    return { CallStatus::kUnknown, std::nullopt };
  }
  DeduplicationEntry& tombstone = aTable.entries_[aKey];
  tombstone.tombstone_ = true;
  tombstone.changedAt_ = aNow;
  return { CallStatus::kNeverArrived, std::nullopt };
}

void ExpireCalls(DeduplicationTable& aTable, TimePoint aNow)
{
  Expire(aTable, kAnswerRetention, aNow);
}

} // namespace peridotquay
