// Implementation of ByteBudget and HeldBytes.
#include "peridotquay/connection/ByteBudget.h"

#include "peridotquay/process/Events.h"

#include <algorithm>
#include <string>
#include <utility>

namespace peridotquay {

namespace {

// Interval of the checks while holders wait or the budget is exceeded.
constexpr Duration kCheckInterval = milliseconds(10);

// Bytes that are there already may exceed the limit by this factor. Beyond it, messages are ended
// although their other side hasn't been idle for long.
constexpr std::size_t kMaxExcessFactor = 2;

void LogFull(ByteBudget& aBudget)
{
  std::uint64_t skipped = 0;
  if (aBudget.throttle_.Allow(aBudget.loop_.Now(), skipped)) {
    LogEvent(Event::kMessageMemoryFull,
             { { "used_kb", std::to_string(aBudget.used_ / 1024) },
               { "limit_kb", std::to_string(aBudget.limit_ / 1024) },
               { "refused", std::to_string(aBudget.refusedMessages_) },
               { "ended", std::to_string(aBudget.endedMessages_) },
               { "waiting", std::to_string(aBudget.waiting_.size()) },
               { "skipped", std::to_string(skipped) } });
  }
}

} // namespace

// Returns the largest message that needs its other side, the one that has been idle for longest
// among equals; null if there is none. With aForLong, only those that have been idle for their idle
// time.
HeldBytes* FindIdle(const ByteBudget& aBudget, bool aForLong)
{
  const TimePoint now = aBudget.loop_.Now();
  HeldBytes* found = nullptr;
  for (const auto& [number, held] : aBudget.held_) {
    if (held->needsOtherSide_ && (!aForLong || now - held->touchedAt_ >= held->idleTime_) &&
        (found == nullptr || held->bytes_ > found->bytes_ ||
         (held->bytes_ == found->bytes_ && held->touchedAt_ < found->touchedAt_))) {
      found = held;
    }
  }
  return found;
}

// Returns the largest message that has waited behind another one for kIdleTime; null if there is
// none.
HeldBytes* FindWaitingBehind(const ByteBudget& aBudget)
{
  const TimePoint now = aBudget.loop_.Now();
  HeldBytes* found = nullptr;
  for (const auto& [number, held] : aBudget.held_) {
    if (held->waitsBehind_ && now - held->waitsBehindSince_ >= kIdleTime &&
        (found == nullptr || held->bytes_ > found->bytes_)) {
      found = held;
    }
  }
  return found;
}

// Ends a message to make room.
void End(ByteBudget& aBudget, HeldBytes& aHeld)
{
  ++aBudget.endedMessages_;
  LogFull(aBudget);
  aHeld.needsOtherSide_ = false;
  aHeld.waitsBehind_ = false;
  const auto end = aHeld.end_; // Copied, because the call may destroy aHeld.
  end();
}

namespace {

// Ends messages until aBytes fit into aLimit: idle ones first, then those that wait behind others
// if aEndsWaiting. Returns whether the bytes fit.
bool MakeRoom(ByteBudget& aBudget, std::size_t aBytes, std::size_t aLimit, bool aEndsWaiting)
{
  while (aBudget.used_ + aBytes > aLimit) {
    HeldBytes* found = FindIdle(aBudget, true);
    if (found == nullptr && aEndsWaiting) {
      found = FindWaitingBehind(aBudget);
    }
    if (found == nullptr) {
      return false;
    }
    End(aBudget, *found);
  }
  return true;
}

} // namespace

void CheckBudget(ByteBudget& aBudget)
{
  MakeRoom(aBudget, 0, aBudget.limit_, true);
  while (aBudget.used_ > aBudget.limit_ * kMaxExcessFactor) {
    HeldBytes* largest = FindIdle(aBudget, false);
    if (largest == nullptr) {
      break;
    }
    End(aBudget, *largest);
  }
  while (!aBudget.waiting_.empty() &&
         MakeRoom(aBudget, aBudget.waiting_.front()->wantedBytes_, aBudget.limit_, true)) {
    // Making room may have ended the wait of the first holder.
    if (aBudget.waiting_.empty() ||
        aBudget.used_ + aBudget.waiting_.front()->wantedBytes_ > aBudget.limit_) {
      continue;
    }
    HeldBytes* held = aBudget.waiting_.front();
    aBudget.waiting_.pop_front();
    const auto handler = std::exchange(held->onRoom_, nullptr);
    held->Set(held->wantedBytes_);
    held->Touch();
    handler();
  }
}

namespace {

void ScheduleCheck(const std::shared_ptr<ByteBudget>& aBudget)
{
  if (aBudget->checkScheduled_ ||
      (aBudget->waiting_.empty() && aBudget->used_ <= aBudget->limit_)) {
    return;
  }
  aBudget->checkScheduled_ = true;
  aBudget->loop_.After(kCheckInterval, [weak = std::weak_ptr(aBudget)] {
    if (const auto budget = weak.lock()) {
      budget->checkScheduled_ = false;
      CheckBudget(*budget);
      ScheduleCheck(budget);
    }
  });
}

} // namespace

HeldBytes::HeldBytes(std::shared_ptr<ByteBudget> aBudget, std::function<void()> aEnd)
  : budget_(std::move(aBudget))
  , end_(std::move(aEnd))
{
}

HeldBytes::~HeldBytes()
{
  Release();
}

void HeldBytes::Set(std::size_t aBytes)
{
  budget_->used_ = budget_->used_ - bytes_ + aBytes;
  if (bytes_ == 0 && aBytes > 0) {
    number_ = budget_->nextNumber_++;
    budget_->held_.emplace(number_, this);
  } else if (bytes_ > 0 && aBytes == 0) {
    budget_->held_.erase(number_);
  }
  bytes_ = aBytes;
}

bool HeldBytes::Reserve(std::size_t aBytes)
{
  if (!budget_) {
    return true;
  }
  const std::size_t more = aBytes - std::min(aBytes, bytes_);
  if (more > 0 &&
      (!budget_->waiting_.empty() || !MakeRoom(*budget_, more, budget_->requestLimit_, false))) {
    ++budget_->refusedMessages_;
    LogFull(*budget_);
    return false;
  }
  Set(aBytes);
  Touch();
  return true;
}

void HeldBytes::ReserveAlways(std::size_t aBytes)
{
  if (budget_) {
    Set(aBytes);
    ScheduleCheck(budget_);
  }
}

bool HeldBytes::ReserveOrWait(std::size_t aBytes, std::function<void()> aHandler)
{
  if (!budget_) {
    return true;
  }
  if (budget_->waiting_.empty() && budget_->used_ + aBytes <= budget_->limit_) {
    Set(aBytes);
    Touch();
    return true;
  }
  wantedBytes_ = aBytes;
  onRoom_ = std::move(aHandler);
  budget_->waiting_.push_back(this);
  LogFull(*budget_);
  ScheduleCheck(budget_);
  return false;
}

void HeldBytes::Release()
{
  if (!budget_) {
    return;
  }
  Set(0);
  if (onRoom_) {
    onRoom_ = nullptr;
    std::erase(budget_->waiting_, this);
  }
}

void HeldBytes::SetNeedsOtherSide(bool aNeedsOtherSide, Duration aIdleTime)
{
  needsOtherSide_ = aNeedsOtherSide;
  idleTime_ = aIdleTime;
  Touch();
}

void HeldBytes::SetWaitsBehind(bool aWaitsBehind)
{
  if (budget_ && aWaitsBehind && !waitsBehind_) {
    waitsBehindSince_ = budget_->loop_.Now();
  }
  waitsBehind_ = aWaitsBehind;
}

void HeldBytes::Touch()
{
  if (budget_) {
    touchedAt_ = budget_->loop_.Now();
  }
}

void ShrinkIfEmpty(std::string& aBuffer)
{
  if (aBuffer.empty() && aBuffer.capacity() > kUncountedMessageBytes) {
    aBuffer = std::string();
    aBuffer.shrink_to_fit();
  }
}

} // namespace peridotquay
