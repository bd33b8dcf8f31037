// Dissemination of the version stream: polling by delegates, push tree, sync with the parent,
// freshness and watermark.
//
// Free functions over one plain struct. The owner calls StepDissemination about every 100 ms,
// passes in each message and platform answer, and carries out the effects.
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

/// SyncReply::ageMs_ and outageAgeMs_ without a proof.
inline constexpr std::uint64_t kNoProof = ~std::uint64_t{ 0 };

/// Settings of dissemination.
struct DisseminationSettings
{
  Duration pollInterval_ = milliseconds(500); ///< Of config/head, at each delegate.
  Duration syncInterval_ = seconds(1);
  Duration reportLifetime_ = seconds(3); ///< A child that didn't sync for this long isn't counted.
  Duration replyTimeout_ =
    milliseconds(2500); ///< A parent that didn't reply for this long is silent.
  Duration staleAge_ =
    seconds(2); ///< A delegate whose proof is older asks the delegates of other data centres.
  Duration contactInterval_ = seconds(10); ///< Contact rows are read this often, and written on
                                           ///< change at most this often.
  Duration aloneInterval_ =
    seconds(2); ///< Contact rows are read this often while no member is known.
  Duration watermarkInterval_ = seconds(1);
  std::size_t arity_ = 8; ///< Children of each node in the trees.
  std::size_t delegates_ = 2;
  std::size_t recentVersions_ = kSnapshotInterval; ///< Changes kept for nodes with a gap.
  std::size_t recentBytes_ = std::size_t{ 2 } << 20U;
  std::size_t replyBytes_ = 65536;      ///< Most bytes of changes in one reply.
  std::size_t snapshotBytes_ = 900'000; ///< A larger snapshot doesn't fit in a frame and is read
                                        ///< from the object store.
  std::size_t lagging_ = 8;             ///< Most lagging hosts named.
  bool operator==(const DisseminationSettings&) const = default;
};

/// Proof that no version beyond version_ had been accepted at time_.
struct FreshnessProof
{
  Version version_ = 0;
  TimePoint time_{};
  bool operator==(const FreshnessProof&) const = default;
};

/// What a child reported of its subtree.
struct SubtreeReport
{
  Version least_ = 0; ///< Least version in force; 0 if no node of it has a configuration.
  std::uint32_t nodes_ = 0;
  std::vector<HostId> lagging_;
  TimePoint received_{};
};

/// A sync request without a reply yet.
struct SentSync
{
  DataCentreId dataCentre_;
  HostId host_;
  TimePoint sent_{};
};

/// Proof that a delegate or a whole data centre didn't reach the platform.
struct OutageEvidence
{
  Version version_ = 0; ///< Version in force there.
  TimePoint time_{};    ///< Not later than the start of the last poll, which failed.
};

/// What a platform call of this module is for.
enum class VersionCallKind : std::uint8_t
{
  kHead,
  kChanges,
  kSnapshot,
  kPutSnapshot,
  kWatermark,
  kReadContacts,
  kWriteContacts
};

/// State of dissemination at one node. Changed only through the functions below.
/// Invariants: version_, inForce_ and freshness never decrease; inForce_ <= version_.
struct Dissemination
{
  DisseminationSettings settings_;
  DataCentreId dataCentre_;
  std::uint64_t random_ = 1;
  std::shared_ptr<const MemberRanking> ranking_;

  Entities entities_;
  ConfigCache compiled_; ///< What was parsed of entities_; it follows every edit of them.
  Version version_ = 0;  ///< Changes are applied up to here.
  Version inForce_ = 0;  ///< Compiled and published; less than version_ if a version was rejected.
  Version head_ = 0;     ///< Latest version heard of.
  std::deque<Change> recent_; ///< Consecutive, ends with version_.
  std::size_t recentBytes_ = 0;
  Duration bound_ = seconds(10); ///< Freshness bound of the configuration in force.
  std::set<DataCentreId> sites_; ///< Data centres of the configuration in force.

  std::optional<TimePoint> proof_;     ///< Proven by the platform; inForce_ was the latest then.
  std::optional<TimePoint> extension_; ///< By evidence that no data centre reaches the platform.
  std::optional<FreshnessProof> pendingProof_;  ///< Of a version that isn't in force here yet.
  std::optional<TimePoint> pollFailed_;         ///< Start of the last poll, if it failed.
  std::optional<OutageEvidence> otherDelegate_; ///< What the other delegate said of its polls.
  std::map<DataCentreId, OutageEvidence> evidence_;
  bool fresh_ = false; ///< As last reported to the log.

  Version pushed_ = 0; ///< Latest version sent down the tree.
  std::uint64_t nextNonce_ = 1;
  std::map<std::uint64_t, SentSync> sentSyncs_;
  std::map<HostId, SubtreeReport> reports_;
  TimePoint parentHeard_{};
  HostId parent_;
  std::uint64_t syncs_ = 0;
  TimePoint nextSync_{};

  std::optional<VersionCallKind> call_; ///< The platform call under way.
  TimePoint nextPoll_{};
  TimePoint nextWatermark_{};
  TimePoint nextContactRead_{};
  TimePoint nextContactWrite_{};
  bool fetch_ = false;         ///< No parent can close the gap: read the platform.
  bool snapshotTried_ = false; ///< The snapshot is missing: read the changes instead.
  Version snapshotDue_ = 0;    ///< Version of the snapshot to write next; 0 for none.
  std::string snapshotBody_;   ///< Its text, encoded when the version was applied.
  bool platformReachable_ = false;
  bool platformKnown_ = false; ///< A call of the platform has ended.
  Version watermark_ = 0;
  std::string writtenWatermark_; ///< Row text without the time, as written last.
  std::string writtenContacts_;
  TimePoint aloneSince_{};
};

/// A log event with its subject.
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
  std::string subject_;
  bool operator==(const DisseminationEvent&) const = default;
};

/// What the owner has to do after a step.
struct DisseminationEffects
{
  std::vector<ControlMessage> messages_;
  std::optional<PlatformCall> call_; ///< At most one at a time; answer through HandleVersionAnswer.
  std::shared_ptr<const Config> config_; ///< To publish.
  std::optional<TimePoint> freshness_;   ///< To publish.
  std::vector<Address> contacts_;        ///< For membership.
  std::vector<DisseminationEvent> events_;
};

/// Starts without a configuration.
Dissemination MakeDissemination(DisseminationSettings aSettings,
                                DataCentreId aDataCentre,
                                std::uint64_t aSeed,
                                TimePoint aNow);

/// Takes a new ranking of members.
void SetRanking(Dissemination& aState,
                std::shared_ptr<const MemberRanking> aRanking,
                TimePoint aNow);

/// Does what is due: poll, sync, watermark, contacts. aWallMs is the wall clock, which is only
/// written into rows for people.
void StepDissemination(Dissemination& aState,
                       TimePoint aNow,
                       std::uint64_t aWallMs,
                       DisseminationEffects& aEffects);

/// Handles SyncRequest, SyncReply, VersionPush and the platform part of Summary; other messages do
/// nothing. aFrom is the address that answers reach.
void HandleVersionMessage(Dissemination& aState,
                          const Hello& aSender,
                          const Address& aFrom,
                          const PeerMessage& aMessage,
                          TimePoint aNow,
                          DisseminationEffects& aEffects);

/// Handles the answer to the call in DisseminationEffects::call_.
void HandleVersionAnswer(Dissemination& aState,
                         const PlatformAnswer& aAnswer,
                         TimePoint aNow,
                         DisseminationEffects& aEffects);

/// Adds version, freshness and platform state to a summary.
void FillSummary(const Dissemination& aState, Summary& aSummary, TimePoint aNow);

/// Up to when the configuration in force is known to have been the latest; empty without proof.
std::optional<TimePoint> FreshUntil(const Dissemination& aState);

/// True if this node is a delegate.
bool IsDelegate(const Dissemination& aState);

/// Order of the push tree for a version: the root, then the other members rotated, so that the
/// inner nodes differ from version to version.
std::vector<RankedMember> PushOrder(const MemberRanking& aRanking,
                                    Version aVersion,
                                    std::size_t aArity);

/// Positions of the children of a position in a tree of aSize nodes.
std::vector<std::size_t> TreeChildren(std::size_t aPosition, std::size_t aSize, std::size_t aArity);

/// Least version, number of nodes and lagging hosts of the subtree below this node.
SubtreeReport AggregateReports(const Dissemination& aState, TimePoint aNow);

} // namespace peridotquay
