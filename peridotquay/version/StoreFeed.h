// Lets the hosts of a data centre share one reader of the platform's store, the source. Followers
// ask the source whether what they hold is the newest and receive changed rows from it. A host
// without a working source reads the store itself.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <optional>

namespace peridotquay {

/// Intervals, timeouts and limits of the feed.
struct StoreFeedSettings
{
  /// Time between two queries. A change must be in force 2.5 s after the store accepted it, even
  /// if the source fails just before; the unanswered queries, one read of the store and the
  /// intervals between them fit into that time.
  Duration queryInterval_ = milliseconds(500);
  /// A query without an answer after this time counts as unanswered. An answer within the data
  /// centre takes a few milliseconds.
  Duration answerTimeout_ = milliseconds(250);
  /// Consecutive unanswered queries after which the host reads the store itself.
  std::uint32_t maxUnanswered_ = 2;
  /// The source is not followed if the store's last answer to it is older than this. The source
  /// asks the store every freshnessInterval_.
  Duration maxStoreAnswerAge_ = milliseconds(1500);
  /// Time between two freshness checks of a source.
  Duration freshnessInterval_ = milliseconds(700);
  /// A host counts as a source for this long after it received a query.
  Duration sourceLifetime_ = milliseconds(2000);
  /// Consecutive answers that name newer rows than the host holds after which it reads these rows
  /// from the store.
  std::uint32_t maxAnswersWithMissingRows_ = 2;
  bool operator==(const StoreFeedSettings&) const = default;
};

/// Feed state of one host. Changed only by the functions below.
struct StoreFeedState
{
  StoreFeedSettings settings_;
  std::optional<HostId> source_; ///< Host to ask; empty if none is known.
  bool followingSource_ = false; ///< The source answers and the store recently answered it, so this
                                 ///< host needn't read the store.
  std::uint64_t nonce_ = 0;      ///< Nonce of the last query.
  bool queryPending_ = false;    ///< The last query has neither an answer nor timed out.
  TimePoint querySentAt_{};      ///< When the last query was sent.
  Duration suspendedWhenSent_{}; ///< Total suspension of this host when the last query was sent.
  std::uint32_t unanswered_ = 0; ///< Consecutive unanswered queries.
  /// Consecutive answers that name rows this host lacks.
  std::uint32_t answersWithMissingRows_ = 0;
  TimePoint lastQueryReceivedAt_{}; ///< When another host last asked this one.
};

/// Sets the host to ask and returns a query if one is due. Called every 100 ms.
/// aSuspended: total time that this host was suspended since it started.
std::optional<FeedQuery> CollectDueQuery(StoreFeedState& aState,
                                         const std::optional<HostId>& aSource,
                                         const RowVersions& aHeld,
                                         TimePoint aNow,
                                         Duration aSuspended);

/// What a host learns from an answer and must do about it.
struct FeedAnswerResult
{
  std::optional<TimePoint> freshAt_; ///< When the held configuration was known to be the newest.
  bool readConfig_ = false; ///< Read the configuration: a newer one exists but didn't arrive.
  bool readHosts_ = false;  ///< Read the rows of hosts: newer ones exist but didn't arrive.
  bool operator==(const FeedAnswerResult&) const = default;
};

/// Applies an answer to the last query. An answer to an earlier query has no effect.
FeedAnswerResult ApplyFeedAnswer(StoreFeedState& aState,
                                 const FeedAnswer& aAnswer,
                                 const RowVersions& aHeld,
                                 TimePoint aNow,
                                 Duration aSuspended);

/// Records that another host asked this one.
void RecordFeedQuery(StoreFeedState& aState, TimePoint aNow);

/// Whether other hosts rely on this host's reads of the store.
bool IsFeedSource(const StoreFeedState& aState, TimePoint aNow);

} // namespace peridotquay
