// Membership of a data centre: who is alive, by SWIM probes, and what other data centres tell.
//
// Free functions over one plain struct. The owner calls StepMembership about every 100 ms, passes
// in each message that arrives, and carries out the effects.
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

/// Host name in a MemberEntry that stands for a whole data centre. Its state is kAlive or
/// kUnreachable and its incarnation orders the statements about the data centre.
inline constexpr std::string_view kWholeDataCentre = "*";

/// Settings of membership.
struct MembershipSettings
{
  Duration probeInterval_ = seconds(1);
  Duration indirectAfter_ = milliseconds(300); ///< Without an ack, other members are asked.
  Duration suspectAfter_ = seconds(1);         ///< Without an ack, the member is suspected.
  Duration deadAfter_ = seconds(3);            ///< Time that a suspected member has to refute.
  std::uint32_t indirectProbes_ = 3;
  std::uint32_t suspectProbes_ = 2; ///< Suspected members that are probed again each interval, so
                                    ///< that they learn of it and can refute in time.
  Duration backlogInterval_ =
    milliseconds(250); ///< While more news waits than one datagram holds, it is sent this often.
  std::size_t updatesPerDatagram_ = 6; ///< Keeps a datagram below 1,200 bytes, one IP packet.
  Duration tombstone_ = seconds(600);  ///< Dead and left members are kept this long.
  Duration reviveInterval_ =
    seconds(5);                         ///< A dead member is probed this often, in case it was cut.
  Duration joinInterval_ = seconds(1);  ///< Seeds are asked this often until one answers.
  Duration seedInterval_ = seconds(10); ///< A seed that isn't a known member is asked this often.
  Duration firstTable_ = seconds(2); ///< Whole tables are compared this soon after the start, then
                                     ///< after twice the time, up to the next two settings.
  Duration antiEntropyInterval_ =
    seconds(30); ///< Whole tables are compared this often, and more rarely in large data centres.
  Duration antiEntropyIntervalPerMember_ =
    milliseconds(200); ///< Bounds table traffic to about 500 bytes
                       ///< a second for any number of members.
  Duration centreSilence_ =
    seconds(4); ///< A data centre that sent no summary for this long is unreachable.
  Duration confirmSpread_ = seconds(5); ///< Members of a data centre that is back are spread so.
  std::size_t delegates_ = 2;
  std::size_t summaryChanges_ = 64; ///< Most changed members in one summary.
  std::size_t summaryRefresh_ = 2;  ///< Unchanged members repeated in each summary.
  std::size_t probedConfirmations_ =
    64; ///< Data centres with more members come back without a probe from each node.
  std::size_t maxMembers_ = 4096;
  bool operator==(const MembershipSettings&) const = default;
};

/// One member as this node sees it.
struct Member
{
  MemberEntry entry_;
  TimePoint since_{};      ///< Of the present state.
  TimePoint readySince_{}; ///< Of the present usable time of its target.
  TimePoint confirmAt_{};  ///< With awaiting_: when it is probed or taken as usable.
  bool awaiting_ = false;  ///< Its data centre is back and it isn't confirmed yet.
};

/// Another data centre as this node sees it.
struct RemoteCentre
{
  std::uint64_t statement_ = 0; ///< Number of the last statement about it.
  bool reachable_ = true;
  TimePoint heard_{};          ///< When a summary arrived here last.
  TimePoint holdUntil_{};      ///< After a contradiction no statement of unreachability until then.
  std::uint32_t repeats_ = 0;  ///< How often the statement is still sent.
  std::deque<HostId> pending_; ///< Own members whose change it hasn't been told.
  std::set<HostId> pendingSet_;
};

/// A probe under way.
struct PendingProbe
{
  HostId host_;
  std::uint64_t sequence_ = 0;
  TimePoint sent_{};
  bool indirect_ = false;
  bool acked_ = false;
};

/// A probe sent for another member.
struct RelayedProbe
{
  Address asker_;
  std::uint64_t sequence_ = 0; ///< Sequence of the asker.
  TimePoint sent_{};
};

/// What happened to a member, for the log.
enum class MembershipEventKind : std::uint8_t
{
  kJoined,
  kSuspected,
  kDead,
  kRefuted,
  kCentreUnreachable,
  kCentreReachable
};

struct MembershipEvent
{
  MembershipEventKind kind_ = MembershipEventKind::kJoined;
  std::string subject_; ///< Host, or data centre.
  bool operator==(const MembershipEvent&) const = default;
};

/// State of membership at one node. Changed only through the functions below.
/// Invariants: self_ is never in members_; members_ holds at most maxMembers_ entries.
struct Membership
{
  MembershipSettings settings_;
  MemberEntry self_;
  std::vector<Address> seeds_;
  std::uint64_t random_ = 1;
  std::map<HostId, Member> members_;
  std::map<DataCentreId, RemoteCentre> centres_;
  std::deque<HostId> updates_; ///< Members whose news still travels, each once.
  std::map<HostId, std::uint32_t> sendsLeft_;
  std::vector<HostId> probeOrder_; ///< Shuffled; the back is probed next.
  std::optional<PendingProbe> probe_;
  std::map<std::uint64_t, RelayedProbe> relayed_;
  std::uint64_t nextSequence_ = 1;
  std::uint64_t summaries_ = 0;
  HostId refreshCursor_;
  TimePoint lastStep_{};
  TimePoint nextProbe_{};
  TimePoint nextJoin_{};
  TimePoint nextAntiEntropyAt_{};
  Duration tableWait_{}; ///< Between the last two comparisons of tables.
  TimePoint nextBacklog_{};
  TimePoint nextRevive_{};
  TimePoint nextSummary_{};
  TimePoint delegateSince_{};
  bool delegate_ = false;
  TimePoint selfReadySince_{};
  std::uint64_t sampleLeast_ = 0; ///< Least weight in a full table's sample of other data centres.
  bool loadChanged_ = false;      ///< A load changed since the owner last cleared this.
  std::uint64_t revision_ = 0;    ///< Grows with each change that members or views can show.
};

/// What the owner has to do after a step.
struct MembershipEffects
{
  std::vector<ControlMessage> messages_;
  /// Summaries without version and freshness, which dissemination adds before they are sent.
  std::vector<ControlMessage> summaries_;
  std::vector<MembershipEvent> events_;
};

/// Starts with no members but this node.
Membership MakeMembership(MembershipSettings aSettings,
                          MemberEntry aSelf,
                          std::vector<Address> aSeeds,
                          std::uint64_t aSeed,
                          TimePoint aNow);

/// Does what is due: joining, probes, suspicion, tombstones, summaries.
void StepMembership(Membership& aState, TimePoint aNow, MembershipEffects& aEffects);

/// Handles Probe, ProbeAck, ProbeRequest, MemberTable and Summary; other messages do nothing. aFrom
/// is the address that answers reach.
void HandleMembershipMessage(Membership& aState,
                             const Address& aFrom,
                             const PeerMessage& aMessage,
                             TimePoint aNow,
                             MembershipEffects& aEffects);

/// Announces the local target. A change of state or slots raises the incarnation, because members
/// order statements about this node by it; load alone travels with the next probes.
void AnnounceTargetState(Membership& aState,
                         TargetState aTargetState,
                         std::uint32_t aSlots,
                         double aLoad,
                         TimePoint aNow);

/// Announces at once that this node left, to some members by datagram.
void AnnounceDeparture(Membership& aState, const HostId& aSuccessor, MembershipEffects& aEffects);

/// Addresses from contact rows, which are asked like seeds.
void AddContacts(Membership& aState, const std::vector<Address>& aContacts);

/// True if no member of the own data centre has answered yet.
bool IsAlone(const Membership& aState);

/// The usable targets and living hosts.
TargetView MakeTargetView(const Membership& aState);

/// A member in the order of a role.
struct RankedMember
{
  HostId host_;
  Address address_;
  bool operator==(const RankedMember&) const = default;
};

/// Alive and suspected members of a data centre, this node included, best rank first.
std::vector<RankedMember> RankMembers(const Membership& aState,
                                      std::string_view aRole,
                                      const DataCentreId& aDataCentre);

/// What dissemination and shares need to know of membership. Immutable once published.
struct MemberRanking
{
  HostId self_;
  DataCentreId dataCentre_;
  std::vector<RankedMember> members_; ///< Own data centre in the order of kDelegateRole.
  RankedMember shareLeader_;
  /// The delegates of each other data centre that can be reached; empty if it can't.
  std::map<DataCentreId, std::vector<RankedMember>> delegates_;
  /// Members of the own data centre that are suspected, unreachable or dead.
  std::vector<HostId> unreachable_;
  std::map<HostId, Address> addresses_; ///< Of every living member, to answer by host.
  bool operator==(const MemberRanking&) const = default;
};

/// Builds the ranking.
MemberRanking MakeMemberRanking(const Membership& aState);

} // namespace peridotquay
