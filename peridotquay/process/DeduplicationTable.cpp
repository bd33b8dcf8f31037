// Fates of calls that run at most once.
#include "peridotquay/process/DeduplicationTable.h"

#include <algorithm>

namespace peridotquay {

namespace {

// A bar protects against a call that was delayed in a lost connection. A connection that delivers
// nothing for this long is closed by its silence detection, so no call can arrive later.
constexpr Duration kBarRetention = seconds(600);

// Even a full table remembers an ended call this long; a lost connection is noticed after 500 ms.
constexpr Duration kLeastRetention = milliseconds(1500);

// Most senders in forgotten_.
constexpr std::size_t kMaxSenders = 8192;

CallKey SenderOf(const CallKey& aKey)
{
  return { aKey.host_, aKey.incarnation_, 0 };
}

bool IsForgotten(const DeduplicationTable& aTable, const CallKey& aKey)
{
  const auto sender = aTable.forgotten_.find(SenderOf(aKey));
  return sender != aTable.forgotten_.end() && aKey.callId_ <= sender->second;
}

using Entry = std::map<CallKey, DeduplicationEntry, CallKeyLess>::iterator;

Entry Forget(DeduplicationTable& aTable, Entry aEntry)
{
  if (aEntry->second.answer_) {
    aTable.bytes_ -= aEntry->second.answer_->body_.size();
  }
  auto& highest = aTable.forgotten_[SenderOf(aEntry->first)];
  highest = std::max(highest, aEntry->first.callId_);
  return aTable.entries_.erase(aEntry);
}

void Expire(DeduplicationTable& aTable, Duration aRetention, TimePoint aNow)
{
  for (auto entry = aTable.entries_.begin(); entry != aTable.entries_.end();) {
    const DeduplicationEntry& known = entry->second;
    const Duration age = aNow - known.changed_;
    const bool old = known.barred_ ? age >= kBarRetention : known.ended_ && age >= aRetention;
    entry = old ? Forget(aTable, entry) : std::next(entry);
  }
}

bool HasRoom(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow)
{
  // Under many calls a second the table forgets sooner, so that new calls still find room.
  for (Duration retention = kFateRetention;
       aTable.entries_.size() >= kMaxFates && retention >= kLeastRetention;
       retention /= 4) {
    Expire(aTable, retention, aNow);
  }
  return aTable.entries_.size() < kMaxFates &&
         (aTable.forgotten_.size() < kMaxSenders || aTable.forgotten_.contains(SenderOf(aKey)));
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
    return known->second.barred_ ? ArrivalDecision::kRefuse : ArrivalDecision::kDrop;
  }
  if (IsForgotten(aTable, aKey)) {
    return ArrivalDecision::kDrop;
  }
  if (!HasRoom(aTable, aKey, aNow)) {
    return ArrivalDecision::kRefuse;
  }
  aTable.entries_[aKey].changed_ = aNow;
  return ArrivalDecision::kRun;
}

void RecordAnswer(DeduplicationTable& aTable,
                  const CallKey& aKey,
                  const Answer& aAnswer,
                  TimePoint aNow)
{
  const auto entry = aTable.entries_.find(aKey);
  if (entry == aTable.entries_.end() || entry->second.ended_ || entry->second.barred_) {
    return;
  }
  entry->second.ended_ = true;
  entry->second.changed_ = aNow;
  if (aTable.bytes_ + aAnswer.body_.size() <= kMaxFateBytes) {
    entry->second.answer_ = aAnswer;
    aTable.bytes_ += aAnswer.body_.size();
  }
}

CallStatusResult QueryCallStatus(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow)
{
  const auto entry = aTable.entries_.find(aKey);
  if (entry != aTable.entries_.end()) {
    const DeduplicationEntry& known = entry->second;
    if (known.barred_) {
      return { Fate::kNeverArrived, std::nullopt };
    }
    if (!known.ended_) {
      return { Fate::kRunning, std::nullopt };
    }
    if (!known.answer_) {
      return { Fate::kForgotten, std::nullopt };
    }
    const bool refused = known.answer_->outcome_ == Outcome::kNotRun;
    return { refused ? Fate::kRefused : Fate::kDone, known.answer_ };
  }
  if (IsForgotten(aTable, aKey) || !HasRoom(aTable, aKey, aNow)) {
    return { Fate::kForgotten, std::nullopt };
  }
  DeduplicationEntry& bar = aTable.entries_[aKey];
  bar.barred_ = true;
  bar.changed_ = aNow;
  return { Fate::kNeverArrived, std::nullopt };
}

void ExpireCalls(DeduplicationTable& aTable, TimePoint aNow)
{
  Expire(aTable, kFateRetention, aNow);
}

} // namespace peridotquay
