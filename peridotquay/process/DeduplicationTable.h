// What became of calls that must run at most once, for senders whose connection was lost.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace peridotquay {

/// Most calls in the table. Ended ones make room; barred and running ones don't.
inline constexpr std::size_t kMaxFates = 16384;

/// Most bytes of kept answer bodies.
inline constexpr std::size_t kMaxFateBytes = std::size_t{ 16 } << 20U;

/// An ended call can be asked about this long.
inline constexpr Duration kFateRetention = seconds(30);

/// A call by its sender. Call ids of one incarnation grow and are never used twice.
struct CallKey
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::uint64_t callId_ = 0;
};

/// Order of keys.
struct CallKeyLess
{
  bool operator()(const CallKey& aLeft, const CallKey& aRight) const;
};

struct DeduplicationEntry
{
  bool barred_ = false; ///< Asked about before it arrived; must never run.
  bool ended_ = false;
  std::optional<Answer> answer_; ///< With ended_; absent if it was too large to keep.
  TimePoint changed_{};
};

/// Changed only through the functions below.
struct DeduplicationTable
{
  std::map<CallKey, DeduplicationEntry, CallKeyLess> entries_; ///< At most kMaxFates.
  std::size_t bytes_ = 0; ///< Invariant: sum of the answer bodies.
  /// Highest call id that was forgotten, by sender: up to it nothing can be said. The call id of
  /// the keys is 0.
  std::map<CallKey, std::uint64_t, CallKeyLess> forgotten_;
};

/// What to do with a call that arrived.
enum class ArrivalDecision : std::uint8_t
{
  kRun,
  kRefuse, ///< Barred, or no room to remember it: it surely doesn't run.
  kDrop    ///< A duplicate, or too old to tell: it must not run, and "not run" can't be claimed.
};

/// Notes that a call arrived.
ArrivalDecision RecordArrival(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow);

/// Notes how a call ended.
void RecordAnswer(DeduplicationTable& aTable,
                  const CallKey& aKey,
                  const Answer& aAnswer,
                  TimePoint aNow);

/// Fate of a call, with its answer for kDone and kRefused.
struct CallStatusResult
{
  Fate fate_ = Fate::kForgotten;
  std::optional<Answer> answer_;
};

/// Tells the fate. A call that never arrived is barred from now on; if that can't be noted, the
/// fate is kForgotten.
CallStatusResult QueryCallStatus(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow);

/// Forgets ended calls past the retention.
void ExpireCalls(DeduplicationTable& aTable, TimePoint aNow);

} // namespace peridotquay
