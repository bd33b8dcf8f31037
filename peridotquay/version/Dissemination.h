// Distributes configuration versions from the platform to all nodes: delegates poll the platform, a
// tree pushes changes, and nodes sync with their parent to close gaps. Also tracks how recently the
// configuration in force is known to have been the latest (freshness), and the minimum version in
// force at all nodes of the data centre (watermark).
//
// The module consists of a struct and free functions and does no I/O. The owner calls
// StepDissemination every 100 ms, passes in each message and platform answer, and carries out the
// effects.
#pragma once

#include "peridotquay/process/PlatformCall.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/ConfigDelta.h"
#include "peridotquay/version/ControlMessage.h"
#include "peridotquay/version/Membership.h"

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotquay {

/// Value of SyncReply::ageMs_ without a confirmation, and of outageAgeMs_ without evidence.
inline constexpr std::uint64_t kUnknownAgeMs = ~std::uint64_t{ 0 };

/// Intervals, timeouts and size limits of dissemination.
struct DisseminationSettings
{
  Duration pollInterval_ = milliseconds(500); ///< Time between reads of config/head by a delegate.
  Duration syncInterval_ = seconds(1);        ///< Time between sync requests to the parent.
  Duration reportLifetime_ = seconds(3); ///< Reports of a child that didn't sync for this long are
                                         ///< not counted.
  /// A parent that didn't reply for this long is bypassed.
  Duration replyTimeout_ = milliseconds(2500);
  Duration maxConfirmationAge_ = seconds(2); ///< With an older confirmation a delegate syncs with
                                             ///< the delegates of other data centres.
  Duration contactInterval_ = seconds(10); ///< Time between reads of contact rows, and minimum time
                                           ///< between writes of the own row.
  /// Time between reads of contact rows while no other member is known.
  Duration contactIntervalAlone_ = seconds(2);
  Duration watermarkInterval_ = seconds(1); ///< Minimum time between writes of the watermark.
  std::size_t treeArity_ = 8;               ///< Maximum number of children of a node in both trees.
  std::size_t delegateCount_ = 2;           ///< Number of delegates of each data centre.
  std::size_t maxRecentVersions_ = kSnapshotInterval; ///< Recent changes kept for nodes with a gap.
  std::size_t maxRecentBytes_ = std::size_t{ 2 } << 20U; ///< Maximum size of the recent changes.
  std::size_t maxReplyBytes_ = 65536;      ///< Maximum size of the changes in one message.
  std::size_t maxSnapshotBytes_ = 900'000; ///< A larger snapshot doesn't fit into a frame; nodes
                                           ///< read it from the object store.
  std::size_t maxLaggingHosts_ = 8;        ///< Maximum number of lagging hosts in a report.
  bool operator==(const DisseminationSettings&) const = default;
};

/// Confirmation by a poll or sync reply that no version later than version_ had been accepted at
/// time_.
struct FreshnessConfirmation
{
  Version version_ = 0;
  TimePoint time_{};
  bool operator==(const FreshnessConfirmation&) const = default;
};

/// Report of a child on its subtree.
struct SubtreeReport
{
  Version minVersion_ = 0; ///< Minimum version in force; 0 if no node has a configuration.
  std::uint32_t nodes_ = 0;
  /// Hosts at minVersion_ below the reporting node, at most maxLaggingHosts_.
  std::vector<HostId> lagging_;
  TimePoint receivedAt_{};
};

/// A sync request without a reply yet.
struct SentSync
{
  DataCentreId dataCentre_;
  HostId host_;
  TimePoint sentAt_{};
};

/// Evidence that a delegate or a whole data centre didn't reach the platform.
struct OutageEvidence
{
  Version version_ = 0; ///< Version in force there.
  TimePoint time_{};    ///< At or before the start of the last poll there, which failed.
};

/// Purpose of a platform call of this module.
enum class VersionCallKind : std::uint8_t
{
  kReadHead,
  kReadChanges,
  kReadSnapshot,
  kWriteSnapshot,
  kWriteWatermark,
  kReadContacts,
  kWriteContacts
};

/// State of dissemination at one node. Only the functions below change it.
/// Invariants: version_, versionInForce_ and freshness never decrease; versionInForce_ <= version_.
struct Dissemination
{
  DisseminationSettings settings_;
  DataCentreId dataCentre_;
  std::uint64_t random_ = 1; ///< State of NextRandom.
  std::shared_ptr<const MemberRanking> ranking_;

  Entities entities_;
  ConfigCache configCache_;    ///< Parsed entities_; an edit marks its entity as changed.
  Version version_ = 0;        ///< Last version whose change is applied to entities_.
  Version versionInForce_ = 0; ///< Last version compiled and published; less than version_ if later
                               ///< ones were rejected.
  Version latestVersion_ = 0;  ///< Highest version known to exist.
  std::deque<ConfigChange> recentChanges_; ///< Consecutive changes; the last one is of version_.
  std::size_t recentBytes_ = 0;
  Duration freshnessBound_ = seconds(10); ///< Bound set by the configuration in force.
  std::set<DataCentreId> sites_;          ///< Data centres in the configuration in force.

  /// Latest time at which a poll or a sync reply confirmed that versionInForce_ was the latest
  /// version.
  std::optional<TimePoint> confirmedFreshAsOf_;
  /// Latest time at which versionInForce_ counts as the latest version because no data centre
  /// reached the platform.
  std::optional<TimePoint> extendedUntil_;
  /// Confirmation of a version not yet in force here.
  std::optional<FreshnessConfirmation> pendingConfirmation_;
  std::optional<TimePoint> failedPollStartedAt_; ///< Start of the last poll, if it failed.
  /// Failed poll that the other delegate of this data centre reported.
  std::optional<OutageEvidence> otherDelegateOutage_;
  std::map<DataCentreId, OutageEvidence> centreOutages_; ///< Reported by other data centres.
  bool reportedFresh_ = false; ///< Whether the last freshness event stated that this node is fresh.

  Version pushedVersion_ = 0;                   ///< Latest version pushed to the children.
  std::uint64_t nextNonce_ = 1;                 ///< Matches the next sync request with its reply.
  std::map<std::uint64_t, SentSync> sentSyncs_; ///< By nonce.
  std::map<HostId, SubtreeReport> subtreeReports_;
  TimePoint lastParentReplyAt_{}; ///< When the parent last replied or changed.
  HostId parent_;
  std::uint64_t syncCount_ = 0; ///< Selects in turn the delegates of other data centres.
  TimePoint nextSyncAt_{};

  std::optional<VersionCallKind> call_; ///< The platform call without an answer yet.
  TimePoint nextPollAt_{};
  TimePoint nextWatermarkAt_{};
  TimePoint nextContactReadAt_{};
  TimePoint nextContactWriteAt_{};
  bool fetchNeeded_ = false; ///< The parent's snapshot doesn't fit into a frame: read the platform.
  bool snapshotTried_ = false; ///< A snapshot was requested: read the changes next.
  Version snapshotDue_ = 0;    ///< Version of the snapshot to write next; 0 for none.
  std::string snapshotBody_;   ///< Text of that snapshot, encoded when its version was applied.
  bool platformReachable_ = false;
  bool platformKnown_ = false;   ///< At least one platform call ended.
  Version watermark_ = 0;        ///< Minimum version in force in the own data centre.
  std::string writtenWatermark_; ///< Watermark row last written, without its time.
  std::string writtenContacts_;  ///< Contact row last written, without its time.
  TimePoint aloneSince_{};       ///< Time since which no other member is known.
};

/// A change that the owner logs.
struct DisseminationEvent
{
  enum class Kind : std::uint8_t
  {
    kVersionInForce,
    kVersionRejected,
    kFreshnessLost,
    kFreshnessRegained,
    kPlatformUnreachable,
    kPlatformReachable
  };
  Kind kind_ = Kind::kVersionInForce;
  std::string subject_; ///< The version, or the reason for a rejection; otherwise empty.
  bool operator==(const DisseminationEvent&) const = default;
};

/// What the owner has to do after a step, a message or an answer.
struct DisseminationEffects
{
  std::vector<ControlMessage> messages_;
  /// Platform call to make, one at a time. Its answer goes to HandlePlatformAnswer.
  std::optional<PlatformCall> call_;
  std::shared_ptr<const Config> config_; ///< Configuration to publish before freshAsOf_.
  std::optional<TimePoint> freshAsOf_;   ///< Freshness to publish.
  std::vector<Address> contacts_;        ///< Addresses for AddContacts.
  std::vector<DisseminationEvent> events_;
};

/// Creates the state of a node without a configuration. aSeed seeds the random numbers.
Dissemination MakeDissemination(DisseminationSettings aSettings,
                                DataCentreId aDataCentre,
                                std::uint64_t aSeed,
                                TimePoint aNow);

/// Replaces the ranking of members.
void SetRanking(Dissemination& aState,
                std::shared_ptr<const MemberRanking> aRanking,
                TimePoint aNow);

/// Does the work that is due: sync, poll, snapshot, watermark, contacts. aWallMs is the wall clock;
/// it is only written into rows for operators to read.
void StepDissemination(Dissemination& aState,
                       TimePoint aNow,
                       std::uint64_t aWallMs,
                       DisseminationEffects& aEffects);

/// Handles SyncRequest, SyncReply, VersionPush and the platform state in DataCentreSummary, and
/// ignores other messages. aFrom is the address that replies are sent to.
void HandleVersionMessage(Dissemination& aState,
                          const Hello& aSender,
                          const Address& aFrom,
                          const PeerMessage& aMessage,
                          TimePoint aNow,
                          DisseminationEffects& aEffects);

/// Handles the answer to the call in DisseminationEffects::call_.
void HandlePlatformAnswer(Dissemination& aState,
                          const PlatformAnswer& aAnswer,
                          TimePoint aNow,
                          DisseminationEffects& aEffects);

/// Sets version, freshness and platform state of a summary.
void FillSummary(const Dissemination& aState, DataCentreSummary& aSummary, TimePoint aNow);

/// The last time at which the configuration in force is known to have been the latest; empty if
/// there is none.
std::optional<TimePoint> FreshAsOf(const Dissemination& aState);

/// True if this node is a delegate.
bool IsDelegate(const Dissemination& aState);

/// Members in the order of the push tree for a version: the root, then the others rotated by the
/// version, so that the load of inner nodes moves from member to member.
std::vector<RankedMember> PushOrder(const MemberRanking& aRanking,
                                    Version aVersion,
                                    std::size_t aArity);

/// Positions of the children of aPosition in a tree of aSize nodes.
std::vector<std::size_t> TreeChildren(std::size_t aPosition, std::size_t aSize, std::size_t aArity);

/// Minimum version, number of nodes and lagging hosts of the subtree of this node, which is
/// included.
SubtreeReport AggregateReports(const Dissemination& aState, TimePoint aNow);

} // namespace peridotquay
