// Lets one host of a data centre read the platform's store for the others: they ask it for proofs
// that what they hold is the newest, and get changed rows from it. A host that gets no such proof
// reads the store itself.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <optional>

namespace peridotquay {

/// Settings of the feed.
struct StoreFeedSettings
{
  /// Time between two questions. A change must be in force 2.5 s after it was accepted, also when
  /// the source is lost just before: silence, one read of the store and the pauses fit into that.
  Duration askInterval_ = milliseconds(500);
  /// An answer within the data centre takes a few milliseconds; a slow source is no source.
  Duration answerTime_ = milliseconds(250);
  /// Questions in a row without an answer after which the host reads for itself.
  std::uint32_t unanswered_ = 2;
  /// A source that the store hasn't answered for this long is no source. It asks the store every
  /// proofInterval_.
  Duration oldestAnswer_ = milliseconds(1500);
  /// Time between two proofs of a host that others ask.
  Duration proofInterval_ = milliseconds(700);
  /// A host that wasn't asked for this long reads for itself alone.
  Duration askedTime_ = milliseconds(2000);
  /// Answers in a row that name newer rows which didn't come after which the host reads them.
  std::uint32_t missedRows_ = 2;
  bool operator==(const StoreFeedSettings&) const = default;
};

/// State of one host. Changed only through the functions below.
struct StoreFeedState
{
  StoreFeedSettings settings_;
  std::optional<HostId> source_; ///< The host that is asked; empty: none is known.
  bool followingSource_ = false; ///< source_ answered, and the store answered it lately.
  std::uint64_t nonce_ = 0;      ///< Of the last question.
  bool open_ = false;            ///< It has no answer yet.
  TimePoint asked_{};            ///< When it was sent.
  Duration suspended_{};         ///< Time that this host was suspended until then.
  std::uint32_t unanswered_ = 0; ///< Questions in a row without an answer.
  std::uint32_t missed_ = 0;     ///< Answers in a row that named rows which this host lacks.
  TimePoint wasAsked_{};         ///< When another host asked this one last.
};

/// Takes the host that should be asked and returns a question if one is due. Call about every
/// 100 ms. aSuspended: how long this host was suspended since it started.
std::optional<FeedQuestion> CollectDueQuestion(StoreFeedState& aState,
                                               const std::optional<HostId>& aSource,
                                               const RowVersions& aOwn,
                                               TimePoint aNow,
                                               Duration aSuspended);

/// What a host learns from an answer.
struct FeedAnswerResult
{
  std::optional<TimePoint> provedAt_; ///< Up to then the own configuration was the newest.
  bool readConfig_ = false;           ///< The newer configuration didn't come: read it.
  bool readHosts_ = false;            ///< The same of the hosts.
  bool operator==(const FeedAnswerResult&) const = default;
};

/// Takes an answer. One to an earlier question has no effect.
FeedAnswerResult ApplyFeedAnswer(StoreFeedState& aState,
                                 const FeedAnswer& aAnswer,
                                 const RowVersions& aOwn,
                                 TimePoint aNow,
                                 Duration aSuspended);

/// Notes that another host asked this one.
void RecordFeedQuestion(StoreFeedState& aState, TimePoint aNow);

/// Whether other hosts rely on the reads of this one.
bool IsFeedSource(const StoreFeedState& aState, TimePoint aNow);

} // namespace peridotquay
