// Finds out what other hosts know and the platform's store may have lost. A process that starts has
// only the store's content, which may be an older copy since a rollback; processes that ran
// meanwhile still hold the newer configuration. Until some of them have been asked, the store's
// document isn't known to be the newest.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotquay {

/// Intervals and timeouts of a recall.
struct StoreRecallSettings
{
  /// Time between two questions to a host that hasn't answered. An answer from another region
  /// takes 40 ms.
  Duration resendInterval_ = milliseconds(100);
  /// Hosts that haven't answered after this time are taken for dead. The records of dead hosts stay
  /// in the store.
  Duration timeout_ = milliseconds(400);
  /// A recall that names a document which doesn't arrive within this time is repeated, because the
  /// host that holds it may have ended.
  Duration documentTimeout_ = milliseconds(1000);
  bool operator==(const StoreRecallSettings&) const = default;
};

/// One recall. Changed only by the functions below.
struct StoreRecallState
{
  StoreRecallSettings settings_;
  std::set<HostId> unanswered_;        ///< Hosts that haven't answered; empty once it is complete.
  std::optional<TimePoint> startedAt_; ///< Empty before the first recall.
  TimePoint sentAt_{};                 ///< Of the last questions.
  std::uint64_t documentVersion_ = 0;  ///< Highest operator's version that a host has named.
};

/// The hosts to ask: some that follow aSelf in its data centre, and some of each other one. aNear:
/// all hosts of the data centre in the order of ids, without aSelf; aElsewhere: those of the
/// others, in that order.
std::vector<HostId> HostsToRecallFrom(
  const HostId& aSelf,
  const std::vector<HostId>& aNear,
  const std::map<DataCentreId, std::vector<HostId>>& aElsewhere);

/// Begins a recall, in place of one that is under way.
void BeginRecall(StoreRecallState& aState, const std::vector<HostId>& aHosts, TimePoint aNow);

/// Returns the hosts to ask now. Called every 100 ms.
std::vector<HostId> CollectDueRecalls(StoreRecallState& aState, TimePoint aNow);

/// Applies an answer. aDocumentVersion: operator's version that the host holds; 0 for none.
void ApplyRecallAnswer(StoreRecallState& aState,
                       const HostId& aFrom,
                       std::uint64_t aDocumentVersion);

/// Whether the hosts that were asked have answered or are taken for dead.
bool IsRecallComplete(const StoreRecallState& aState);

/// Whether a host that has a document may count it as the newest if the store does: the recall is
/// complete, and no host has named a higher version.
bool IsStoreTrusted(const StoreRecallState& aState, std::uint64_t aVersionInForce);

/// Whether a document that was named is overdue, so that a new recall must begin.
bool IsDocumentOverdue(const StoreRecallState& aState,
                       std::uint64_t aVersionInForce,
                       TimePoint aNow);

/// The first hosts after aSelf in the circular order of ids. aHosts: in the order of ids.
std::vector<HostId> NextHosts(const HostId& aSelf,
                              const std::vector<HostId>& aHosts,
                              std::size_t aMax);

} // namespace peridotquay
