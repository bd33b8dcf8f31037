// Limits the bytes of messages that all connections of a process hold together. Each message has a
// limit of its own; many connections with a permitted message each could still exceed the memory
// of the host.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/process/LogThrottle.h"
#include "peridotquay/process/Time.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <string>

namespace peridotquay {

class HeldBytes;

/// Messages of up to this size, in bytes, aren't counted, so that small ones pass while large ones
/// use up the budget. The limits of connections bound them.
inline constexpr std::size_t kUncountedMessageBytes = std::size_t{ 16 } * 1024;

/// Part of a host's memory that counted messages may take. While a message passes from one
/// connection to the next, it may take up to three times its size for a short time.
inline constexpr double kMessageMemoryFraction = 0.25;

/// A message whose other side hasn't sent or read a byte for this long may be ended to make room.
inline constexpr Duration kIdleTime = seconds(1);

/// Part of the budget beyond which requests are refused. They hold their bytes until they are
/// answered, so that answers must find room beside them.
inline constexpr double kRequestFraction = 0.5;

/// The budget of a process. Used on the loop's thread only.
struct ByteBudget
{
  ByteBudget(EventLoop& aLoop, std::size_t aLimit)
    : loop_(aLoop)
    , limit_(aLimit)
    , requestLimit_(static_cast<std::size_t>(static_cast<double>(aLimit) * kRequestFraction))
  {
  }

  EventLoop& loop_;
  std::size_t limit_;                        ///< In bytes.
  std::size_t requestLimit_;                 ///< In bytes; beyond it, requests don't fit.
  std::size_t used_ = 0;                     ///< Sum of the bytes of all holders.
  std::uint64_t refusedMessages_ = 0;        ///< Messages refused because they didn't fit.
  std::uint64_t endedMessages_ = 0;          ///< Unfinished messages ended to make room.
  std::map<std::uint64_t, HeldBytes*> held_; ///< Holders of at least one byte, by number.
  std::deque<HeldBytes*> waiting_;           ///< Holders that wait for room, in order.
  std::uint64_t nextNumber_ = 1;
  bool checkScheduled_ = false;
  LogThrottle throttle_{ .maxLinesPerSecond_ = 1 };
};

/// The bytes that one connection holds of a budget. The destructor gives them back.
class HeldBytes
{
public:
  /// Without a budget there is no limit. aEnd ends the message and releases its bytes; it is called
  /// for a message whose other side has been idle for long or that has waited for long behind
  /// another one (SetWaitsBehind), and never from within the constructor, ReserveAlways or
  /// ReserveOrWait.
  HeldBytes(std::shared_ptr<ByteBudget> aBudget, std::function<void()> aEnd);
  HeldBytes(const HeldBytes&) = delete;
  HeldBytes& operator=(const HeldBytes&) = delete;
  ~HeldBytes();

  /// Holds aBytes of a request in place of the bytes held so far, if they fit beside the room that
  /// is kept for answers. To make room, messages whose other side has been idle for long are ended.
  /// Returns false, and counts a refusal, if there is no room, or if answers
  /// wait for it.
  bool Reserve(std::size_t aBytes);
  /// Holds aBytes even above the limit, for bytes that are there already.
  void ReserveAlways(std::size_t aBytes);
  /// As Reserve, but if there is no room, waits for it and then calls aHandler with the bytes held.
  /// Release ends the wait.
  bool ReserveOrWait(std::size_t aBytes, std::function<void()> aHandler);
  /// Gives all bytes back.
  void Release();
  /// States whether the message goes on only if the other side of the connection sends or reads.
  /// Only then it may be ended to make room, once that side has been idle for aIdleTime. Restarts
  /// the idle time.
  void SetNeedsOtherSide(bool aNeedsOtherSide, Duration aIdleTime = kIdleTime);
  /// States whether answers among the bytes wait for one that isn't there yet and precedes them on
  /// the connection. That one may itself wait for room, which the other side can't make. The
  /// message may therefore be ended after a time while answers wait for room or the budget is
  /// exceeded, but not to make room for a request.
  void SetWaitsBehind(bool aWaitsBehind);
  /// Restarts the idle time, because the other side has sent or read bytes.
  void Touch();
  std::size_t Bytes() const { return bytes_; }

private:
  friend void CheckBudget(ByteBudget& aBudget);
  friend HeldBytes* FindIdle(const ByteBudget& aBudget, bool aForLong);
  friend HeldBytes* FindWaitingBehind(const ByteBudget& aBudget);
  friend void End(ByteBudget& aBudget, HeldBytes& aHeld);
  void Set(std::size_t aBytes);

  std::shared_ptr<ByteBudget> budget_; ///< Null without a limit.
  std::function<void()> end_;
  std::function<void()> onRoom_; ///< Set while this waits.
  std::size_t wantedBytes_ = 0;  ///< Valid while this waits.
  std::size_t bytes_ = 0;
  std::uint64_t number_ = 0; ///< Key in ByteBudget::held_ while bytes_ isn't 0.
  TimePoint touchedAt_{};
  Duration idleTime_ = kIdleTime;
  TimePoint waitsBehindSince_{}; ///< Valid while waitsBehind_.
  bool needsOtherSide_ = false;
  bool waitsBehind_ = false;
};

/// Gives the memory of an empty buffer back if it is larger than kUncountedMessageBytes.
void ShrinkIfEmpty(std::string& aBuffer);

} // namespace peridotquay
