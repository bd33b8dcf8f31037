// Duplicate suppression for calls that must run at most once. The receiver of a call records its
// arrival and its answer, so that a sender whose connection was lost can query what became of the
// call. A query for an unknown call leaves a tombstone that keeps the call from running later.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

namespace peridotquay {

/// Maximum number of entries. Answered calls are evicted early to make room; running calls and
/// tombstones aren't.
inline constexpr std::size_t kMaxDeduplicationEntries = 16384;

/// Maximum total size of the kept answer bodies.
inline constexpr std::size_t kMaxKeptAnswerBytes = std::size_t{ 16 } << 20U;

/// An answered call is kept for this long, unless the table is full.
inline constexpr Duration kAnswerRetention = seconds(30);

/// Identifies a call by its sender. Call ids of one incarnation increase and are never reused.
struct CallKey
{
  HostId host_;
  Incarnation incarnation_ = 0;
  std::uint64_t callId_ = 0;
};

/// Total order of keys, for use in std::map.
struct CallKeyLess
{
  bool operator()(const CallKey& aLeft, const CallKey& aRight) const;
};

/// State of a call that arrived, or the tombstone of one that must never run.
struct DeduplicationEntry
{
  bool tombstone_ = false; ///< The call was queried before it arrived; it must never run.
  bool answered_ = false;
  std::optional<Answer> answer_; ///< With answered_; absent if there was no room for the body.
  TimePoint changedAt_{};
};

/// Calls that arrived or were queried. Changed only through the functions below.
struct DeduplicationTable
{
  /// At most kMaxDeduplicationEntries.
  std::map<CallKey, DeduplicationEntry, CallKeyLess> entries_;
  std::size_t answerBytes_ = 0; ///< Invariant: total size of the kept answer bodies.
  /// Highest evicted call id of each sender. For calls up to it without an entry the status is
  /// unknown. The call id in the keys is 0.
  std::map<CallKey, std::uint64_t, CallKeyLess> watermarks_;
};

/// Decision about a call that arrived.
enum class ArrivalDecision : std::uint8_t
{
  kRun,
  kRefuse, ///< Must not run, and is known not to have run: tombstone or full table.
  kDrop    ///< Must not run, but may have run: duplicate, or id up to the watermark.
};

/// Records the arrival of a call and decides whether it runs.
ArrivalDecision RecordArrival(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow);

/// Records the answer of a call that ran or was refused.
void RecordAnswer(DeduplicationTable& aTable,
                  const CallKey& aKey,
                  const Answer& aAnswer,
                  TimePoint aNow);

/// Status of a call, with its answer for kDone and kRefused.
struct CallStatusResult
{
  CallStatus callStatus_ = CallStatus::kUnknown;
  std::optional<Answer> answer_;
};

/// Returns the status of a call. A call that never arrived gets a tombstone; if the table has no
/// room for it, the status is kUnknown.
CallStatusResult QueryCallStatus(DeduplicationTable& aTable, const CallKey& aKey, TimePoint aNow);

/// Evicts answered calls and tombstones that are past their retention.
void ExpireCalls(DeduplicationTable& aTable, TimePoint aNow);

} // namespace peridotquay
