// Lets the hosts of a data centre share one reader of the platform's store, the source. Followers
// ask the source whether what they hold is the newest and receive changed rows from it. A host
// whose source fails, or isn't answered by the store, asks the next host of the data centre. A host
// without a working source reads the store itself. If the store answers no host of a data centre,
// its first hosts are relays: they ask a host of another data centre, and the others ask them.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Intervals, timeouts and limits of the feed.
struct StoreFeedSettings
{
  /// Time between two queries. A change must be in force 2.5 s after the store accepted it, even
  /// if the source fails just before; the unanswered queries, one read of the store and the
  /// intervals between them fit into that time.
  Duration queryInterval_ = milliseconds(500);
  /// Time between two queries of a relay. Its followers add the age of its answers to that of
  /// theirs, and the sum must stay below maxStoreAnswerAge_.
  Duration relayQueryInterval_ = milliseconds(250);
  /// A query without an answer after this time counts as unanswered. An answer within the data
  /// centre takes a few milliseconds.
  Duration answerTimeout_ = milliseconds(250);
  /// Consecutive unanswered queries after which the next host is asked.
  std::uint32_t maxUnanswered_ = 2;
  /// The source is not followed if the store's last answer to it is older than this. The source
  /// asks the store every freshnessInterval_.
  Duration maxStoreAnswerAge_ = milliseconds(1300);
  /// Time between two freshness checks of a source.
  Duration freshnessInterval_ = milliseconds(700);
  /// A host that is asked begins to read the store. If the store hasn't answered it after this
  /// time, the next host is asked.
  Duration sourceStartTimeout_ = milliseconds(200);
  /// A host that has followed a source reads the store itself if it finds no other source within
  /// this time after the first failure.
  Duration searchTimeout_ = milliseconds(300);
  /// A host that failed as source isn't asked again for this long if there are others. The time
  /// doubles with each consecutive failure, up to maxSourcePause_.
  Duration firstSourcePause_ = seconds(10);
  Duration maxSourcePause_ = seconds(80);
  /// A host counts as a source for this long after it received a query.
  Duration sourceLifetime_ = milliseconds(2000);
  /// Only this many hosts of a data centre read the store themselves after searchTimeout_. The
  /// others go on asking hosts in turn, and each host that is asked begins to read. Otherwise all
  /// hosts of a data centre would call the store at once when it is slow.
  std::size_t maxSearchingReaders_ = 5;
  /// Number of hosts of a data centre that may be relays, so that few of them load the links to
  /// other data centres, but one can fail.
  std::size_t maxRelays_ = 2;
  /// If all hosts that could be asked have failed, this many of the first ones are asked in turn.
  std::size_t maxAskedInTurn_ = 4;
  /// Consecutive answers that name newer rows than the host holds after which it reads these rows
  /// from the store.
  std::uint32_t maxAnswersWithMissingRows_ = 2;
  bool operator==(const StoreFeedSettings&) const = default;
};

/// Consecutive failures of one host as a source.
struct SourceFailures
{
  std::uint32_t count_ = 0;
  TimePoint pausedUntil_{}; ///< Not asked before this time, unless all hosts are paused.
  TimePoint failedAt_{};    ///< Time of the last failure.
  bool operator==(const SourceFailures&) const = default;
};

/// Feed state of one host. Changed only by the functions below.
struct StoreFeedState
{
  StoreFeedSettings settings_;
  std::optional<HostId> source_;   ///< Host to ask; empty if none is known.
  bool sourceIsElsewhere_ = false; ///< source_ is in another data centre: this host is a relay.
  bool followingSource_ = false; ///< The source answers and the store recently answered it, so this
                                 ///< host needn't read the store.
  std::uint64_t nonce_ = 0;      ///< Nonce of the last query.
  bool queryPending_ = false;    ///< The last query has neither an answer nor timed out.
  TimePoint querySentAt_{};      ///< When the last query was sent.
  Duration suspendedWhenSent_{}; ///< Total suspension of this host when the last query was sent.
  std::uint32_t unanswered_ = 0; ///< Consecutive unanswered queries.
  /// Consecutive answers that name rows this host lacks.
  std::uint32_t answersWithMissingRows_ = 0;
  /// The host that sent the last usable answer. If it fails, it isn't given time to start reading.
  std::optional<HostId> lastUsableSource_;
  /// When source_ first answered that the store doesn't answer it; empty if its last answer was
  /// usable.
  std::optional<TimePoint> sourceUnusableSince_;
  /// When the search for a usable source began; empty while there is one.
  std::optional<TimePoint> searchingSince_;
  bool hasOtherSource_ = false;               ///< Another host could be asked if source_ fails.
  std::map<HostId, SourceFailures> failures_; ///< Only hosts that failed since their last success.
  TimePoint lastQueryReceivedAt_{};           ///< When another host last asked this one.
  /// When the store answered a host from whose answers this relay's rows come; empty if never.
  std::optional<TimePoint> relayedAnswerAt_;
  Duration suspendedAtRelayedAnswer_{}; ///< Total suspension when relayedAnswerAt_ was set.
};

/// Hosts that could read the store for this one.
struct FeedCandidates
{
  HostId self_;
  std::vector<HostId> others_;   ///< Live hosts of the data centre, in the order of their ids.
  bool storeAnswersSelf_ = true; ///< False if the store failed this host's last call.
  /// One live host of each other data centre, nearest first.
  std::vector<HostId> elsewhere_{};
};

/// Number of live hosts of the data centre that come before this one.
std::size_t HostsBeforeSelf(const FeedCandidates& aCandidates);

/// Chooses the host to ask and returns a query if one is due. Called every 100 ms. The first host
/// of the data centre that the store answers reads for all, so this host asks a host after itself
/// only if the store doesn't answer it. aSuspended: total time that this host was suspended since
/// it started.
std::optional<FeedQuery> CollectDueQuery(StoreFeedState& aState,
                                         const FeedCandidates& aCandidates,
                                         const RowPositions& aHeld,
                                         TimePoint aNow,
                                         Duration aSuspended);

/// Whether a host that holds aHeld needs the document of a host that holds aOther. After a
/// rollback, hosts may hold different documents at the same position of the store.
bool NeedsDocument(const RowPositions& aHeld, const RowPositions& aOther);

/// What a host learns from an answer and must do about it.
struct FeedAnswerResult
{
  std::optional<TimePoint> freshAt_; ///< When the held configuration was known to be the newest.
  bool readConfig_ = false; ///< Read the configuration: a newer one exists but didn't arrive.
  bool readHosts_ = false;  ///< Read the rows of hosts: newer ones exist but didn't arrive.
  /// Send the held document to the source, which lacks its operator's version.
  bool sendDocument_ = false;
  bool operator==(const FeedAnswerResult&) const = default;
};

/// Applies an answer to the last query. An answer to an earlier query has no effect.
FeedAnswerResult ApplyFeedAnswer(StoreFeedState& aState,
                                 const FeedAnswer& aAnswer,
                                 const RowPositions& aHeld,
                                 TimePoint aNow,
                                 Duration aSuspended);

/// Why the source would be replaced now, for the log: "silent" (a query is unanswered), "stale"
/// (the store doesn't answer it) or "preferred" (another host comes first).
std::string_view SourceChangeReason(const StoreFeedState& aState);

/// Time since the store answered the host from which a relay has its rows; empty for a host that
/// isn't a relay.
std::optional<Duration> RelayedAnswerAge(const StoreFeedState& aState,
                                         TimePoint aNow,
                                         Duration aSuspended);

/// Records that another host asked this one.
void RecordFeedQuery(StoreFeedState& aState, TimePoint aNow);

/// Whether other hosts rely on this host's reads of the store.
bool IsFeedSource(const StoreFeedState& aState, TimePoint aNow);

} // namespace peridotquay
