// Cluster membership: failure detection within a data centre by the SWIM protocol, and summaries
// exchanged between data centres.
//
// The module consists of a struct and free functions and does no I/O. The owner calls
// StepMembership every 100 ms, passes each received message to HandleMembershipMessage and carries
// out the effects of both.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/ControlMessage.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace peridotquay {

/// Host name of a MemberEntry that describes a whole data centre. Its state is kAlive or
/// kUnreachable, and a higher incarnation replaces an earlier statement about that data centre.
inline constexpr std::string_view kWholeDataCentre = "*";

/// Intervals, timeouts and limits of the membership protocol.
struct MembershipSettings
{
  Duration probeInterval_ = seconds(1); ///< Time between probes, and between summaries.
  /// Time without an ack until other members are asked to probe.
  Duration indirectProbeDelay_ = milliseconds(300);
  Duration ackTimeout_ = seconds(1); ///< Unused: a probe without an ack fails when the next one
                                     ///< is due, after probeInterval_.
  Duration suspicionTimeout_ = seconds(3); ///< Time in which a suspected member can refute.
  std::uint32_t indirectProbeCount_ = 3;   ///< Number of members asked for an indirect probe.
  /// Suspected members that are probed in addition in each probeInterval_, so that they learn of
  /// the suspicion and refute it in time.
  std::uint32_t suspectProbesPerInterval_ = 2;
  Duration backlogInterval_ = milliseconds(250); ///< Time between extra probes that carry updates
                                                 ///< while more are queued than one datagram holds.
  std::size_t updatesPerDatagram_ = 6; ///< Keeps a datagram below 1,200 bytes, one IP packet.
  Duration tombstoneLifetime_ = seconds(600); ///< How long dead and left members are kept.
  Duration reviveInterval_ = seconds(5); ///< Time between probes of dead members, which may only
                                         ///< have been separated by a network partition.
  Duration joinInterval_ = seconds(1);   ///< Time between requests to the seeds until one answers.
  /// Time between later requests to seeds that aren't members.
  Duration seedInterval_ = seconds(10);
  /// Average time from the start to the first exchange of whole tables. Each later delay doubles,
  /// up to the greater of the limits from the next two settings.
  Duration firstAntiEntropyDelay_ = seconds(2);
  Duration antiEntropyInterval_ = seconds(30); ///< Maximum delay in small data centres.
  /// Multiplied by the number of members, the maximum delay in large data centres. Bounds the
  /// traffic to about 500 bytes per second for any number of members.
  Duration antiEntropyIntervalPerMember_ = milliseconds(200);
  Duration centreTimeout_ = seconds(4);      ///< A data centre without a summary for this long is
                                             ///< unreachable.
  Duration confirmationPeriod_ = seconds(5); ///< Members of a data centre that is reachable again
                                             ///< are confirmed at random times within this period.
  std::size_t delegateCount_ = 2;            ///< Number of delegates of each data centre.
  std::size_t maxSummaryChanges_ = 64;       ///< Maximum number of changed members in one summary.
  std::size_t summaryRefreshCount_ = 2; ///< Number of unchanged members repeated in each summary.
  /// If more members of a data centre await confirmation, they are used without a probe, because
  /// each node would probe them all.
  std::size_t maxProbedConfirmations_ = 64;
  std::size_t maxMembers_ = 4096; ///< Maximum number of entries in the member table.
  bool operator==(const MembershipSettings&) const = default;
};

/// One member as this node sees it.
struct Member
{
  MemberEntry entry_;
  TimePoint stateChangedAt_{}; ///< When entry_.state_ last changed.
  TimePoint readySince_{};     ///< When the target last became usable.
  TimePoint confirmAt_{};      ///< When an unconfirmed member is probed or used without a probe.
  bool awaitingConfirmation_ = false; ///< The data centre is reachable again and this member hasn't
                                      ///< answered since; no calls are sent to it.
};

/// Another data centre as this node sees it.
struct RemoteCentre
{
  std::uint64_t statementNumber_ = 0; ///< Orders the statements on whether it is reachable.
  bool reachable_ = true;
  TimePoint lastSummaryAt_{}; ///< When this node last received a summary from it.
  TimePoint holdUntil_{};     ///< Until this time this node doesn't declare it unreachable, because
                              ///< another delegate contradicted that.
  std::uint32_t statementSendsLeft_ = 0; ///< Datagrams that still carry the statement.
  std::deque<HostId>
    pendingMembers_; ///< Changed own members that the next summaries to it contain.
  std::set<HostId> pendingMemberSet_; ///< The hosts of pendingMembers_, to queue each once.
};

/// The probe that waits for an ack.
struct PendingProbe
{
  HostId host_;
  std::uint64_t sequence_ = 0;
  TimePoint sentAt_{};
  bool indirectSent_ = false;
  bool acked_ = false;
};

/// An indirect probe that this node sent at the request of another member.
struct RelayedProbe
{
  Address requester_;
  std::uint64_t sequence_ = 0; ///< Number of the probe at the requester.
  TimePoint sentAt_{};
};

/// A change of a member or data centre that the owner logs.
enum class MembershipEventKind : std::uint8_t
{
  kJoined,
  kSuspected,
  kDead,
  kRefuted,
  kDataCentreUnreachable,
  kDataCentreReachable
};

struct MembershipEvent
{
  MembershipEventKind kind_ = MembershipEventKind::kJoined;
  std::string subject_; ///< Host or data centre that changed.
  bool operator==(const MembershipEvent&) const = default;
};

/// State of membership at one node. Only the functions below change it.
/// Invariants: self_ is never in members_; members_ holds at most maxMembers_ entries.
struct Membership
{
  MembershipSettings settings_;
  MemberEntry self_;
  std::vector<Address> seeds_;
  std::uint64_t random_ = 1; ///< State of NextRandom.
  std::map<HostId, Member> members_;
  std::map<DataCentreId, RemoteCentre> centres_; ///< All data centres but the own one.
  std::deque<HostId> updates_; ///< Changed members that probes and acks still carry, each once.
  std::map<HostId, std::uint32_t> sendsLeft_; ///< Datagrams that still carry each of updates_.
  std::vector<HostId> probeOrder_;            ///< Shuffled; the last one is probed next.
  std::optional<PendingProbe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayedProbes_; ///< By the number of the relayed probe.
  std::uint64_t nextSequence_ = 1;                      ///< Number of the next probe.
  /// Number of rounds of summaries; selects the receiving delegates in turn.
  std::uint64_t summaryRounds_ = 0;
  HostId refreshCursor_; ///< The last unchanged member that a summary repeated.
  TimePoint lastStepAt_{};
  TimePoint nextProbeAt_{};
  TimePoint nextJoinAt_{};
  TimePoint nextAntiEntropyAt_{};
  Duration antiEntropyDelay_{}; ///< Delay before the next exchange of whole tables.
  TimePoint nextBacklogAt_{};
  TimePoint nextReviveAt_{};
  TimePoint nextSummaryAt_{};
  TimePoint delegateSince_{}; ///< When this node last became a delegate.
  bool isDelegate_ = false;
  TimePoint selfReadySince_{}; ///< When the local target last started.
  /// Minimum weight of the members of other data centres that a full table keeps.
  std::uint64_t minSampleWeight_ = 0;
  bool loadChanged_ = false;   ///< A load changed since the owner last cleared this flag.
  std::uint64_t revision_ = 0; ///< Grows with each change that affects a view or a ranking.
};

/// What the owner has to do after a step or a message.
struct MembershipEffects
{
  std::vector<ControlMessage> messages_;
  /// Summaries without version and freshness; FillSummary adds them before the owner sends them.
  std::vector<ControlMessage> summaries_;
  std::vector<MembershipEvent> events_;
};

/// Creates the state of a node that knows no other member. aSeed seeds the random numbers.
Membership MakeMembership(MembershipSettings aSettings,
                          MemberEntry aSelf,
                          std::vector<Address> aSeeds,
                          std::uint64_t aSeed,
                          TimePoint aNow);

/// Does the work that is due: joining, probes, suspicion, tombstones, anti-entropy, summaries.
void StepMembership(Membership& aState, TimePoint aNow, MembershipEffects& aEffects);

/// Handles Probe, ProbeAck, ProbeRequest, MemberTable and DataCentreSummary, and ignores other
/// messages. aFrom is the address that replies are sent to.
void HandleMembershipMessage(Membership& aState,
                             const Address& aFrom,
                             const PeerMessage& aMessage,
                             TimePoint aNow,
                             MembershipEffects& aEffects);

/// Announces the local target. A change of state or slots raises the incarnation, by which other
/// members order the statements about this node. A change of load alone doesn't: the next probes
/// carry it.
void AnnounceTargetState(Membership& aState,
                         TargetState aTargetState,
                         std::uint32_t aSlots,
                         double aLoad,
                         TimePoint aNow);

/// Announces that this node leaves, by datagrams to several members. aSuccessor takes its records.
void AnnounceDeparture(Membership& aState, const HostId& aSuccessor, MembershipEffects& aEffects);

/// Adds addresses from contact rows of the platform to the seeds.
void AddContacts(Membership& aState, const std::vector<Address>& aContacts);

/// True if no other member of the own data centre is known.
bool IsAlone(const Membership& aState);

/// Builds the view of usable targets and reachable hosts that routing uses.
TargetView MakeTargetView(const Membership& aState);

/// A member in the rank order of a role.
struct RankedMember
{
  HostId host_;
  Address address_;
  bool operator==(const RankedMember&) const = default;
};

/// Alive and suspected members of a data centre, including this node, greatest RankWeight first.
std::vector<RankedMember> RankMembers(const Membership& aState,
                                      std::string_view aRole,
                                      const DataCentreId& aDataCentre);

/// The part of membership that dissemination and shares use. Immutable once published.
struct MemberRanking
{
  HostId self_;
  DataCentreId dataCentre_;
  std::vector<RankedMember> members_; ///< Own data centre, ranked for kDelegateRole.
  RankedMember shareLeader_;
  /// Delegates of each other data centre; empty for an unreachable one.
  std::map<DataCentreId, std::vector<RankedMember>> delegates_;
  /// Members of the own data centre that are suspected, unreachable or dead.
  std::vector<HostId> unreachable_;
  std::map<HostId, Address> addresses_; ///< Of every alive or suspected member.
  bool operator==(const MemberRanking&) const = default;
};

/// Builds the ranking from the current members.
MemberRanking MakeMemberRanking(const Membership& aState);

} // namespace peridotquay
