// SWIM failure detection with incarnations, suspicion, indirect probes and refutation, anti-entropy
// within a data centre and summaries between data centres.
#include "peridotquay/version/Membership.h"

#include "peridotquay/version/MembershipRank.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotquay {

namespace {

// Steps this far apart mean that the process was paused. Missing messages are then no evidence
// against the other members.
constexpr Duration kMinPauseGap = milliseconds(700);

// A delegate contradicts that a data centre is unreachable if its last summary is more recent.
constexpr Duration kRecentSummaryAge = seconds(2);

// A delegate that was contradicted declares the data centre unreachable only after this time, so
// that a partial network partition doesn't make its state flap.
constexpr Duration kContradictionHold = seconds(30);

// Relayed probes are removed after this time. The requester has stopped waiting by then.
constexpr Duration kRelayedProbeLifetime = seconds(2);

bool IsLiving(MemberState aState)
{
  return aState == MemberState::kAlive || aState == MemberState::kSuspect;
}

bool IsOwnCentre(const Membership& aState, const MemberEntry& aEntry)
{
  return aEntry.dataCentre_ == aState.self_.dataCentre_;
}

// Order of statements with the same incarnation: the later state of a member's life replaces the
// earlier one.
int Precedence(MemberState aState)
{
  switch (aState) {
    case MemberState::kAlive:
      return 0;
    case MemberState::kSuspect:
      return 1;
    case MemberState::kUnreachable:
      return 1;
    case MemberState::kDead:
      return 2;
    case MemberState::kLeft:
      return 3;
  }
  return 0;
}

// Number of datagrams in which each node repeats an update. Twice the logarithm of the members
// reaches all of 64 members with a tenth of the messages lost; anti-entropy covers the rest.
std::uint32_t SendLimit(const Membership& aState)
{
  const auto members = static_cast<double>(aState.members_.size() + 2);
  return 2U * static_cast<std::uint32_t>(std::ceil(std::log2(members)));
}

void QueueUpdate(Membership& aState, const HostId& aHost)
{
  if (aState.sendsLeft_.find(aHost) == aState.sendsLeft_.end()) {
    aState.updates_.push_front(aHost);
  }
  aState.sendsLeft_[aHost] = SendLimit(aState);
}

// Queues a changed member of the own data centre for the next summaries. Only delegates send
// summaries, so only they keep the queues.
void QueueForSummaries(Membership& aState, const HostId& aHost)
{
  if (!aState.isDelegate_) {
    return;
  }
  for (auto& [id, centre] : aState.centres_) {
    if (centre.pendingMemberSet_.insert(aHost).second) {
      centre.pendingMembers_.push_back(aHost);
    }
  }
}

void QueueAllMembers(Membership& aState, RemoteCentre& aCentre)
{
  for (const auto& [host, member] : aState.members_) {
    if (IsOwnCentre(aState, member.entry_) && aCentre.pendingMemberSet_.insert(host).second) {
      aCentre.pendingMembers_.push_back(host);
    }
  }
}

void RecordChange(Membership& aState, const MemberEntry& aEntry)
{
  ++aState.revision_;
  QueueUpdate(aState, aEntry.host_);
  if (IsOwnCentre(aState, aEntry)) {
    QueueForSummaries(aState, aEntry.host_);
  }
}

MemberEntry CentreStatement(const DataCentreId& aId, const RemoteCentre& aCentre)
{
  MemberEntry entry;
  entry.host_.value_ = std::string(kWholeDataCentre);
  entry.dataCentre_ = aId;
  entry.incarnation_ = aCentre.statementNumber_;
  entry.state_ = aCentre.reachable_ ? MemberState::kAlive : MemberState::kUnreachable;
  return entry;
}

// Collects the updates for one datagram: first statements about data centres, then changed members
// in turn.
std::vector<MemberEntry> CollectUpdates(Membership& aState)
{
  std::vector<MemberEntry> updates;
  for (auto& [id, centre] : aState.centres_) {
    if (centre.statementSendsLeft_ > 0 && updates.size() < aState.settings_.updatesPerDatagram_) {
      --centre.statementSendsLeft_;
      updates.push_back(CentreStatement(id, centre));
    }
  }
  const std::size_t queued = aState.updates_.size();
  for (std::size_t i = 0; i < queued && updates.size() < aState.settings_.updatesPerDatagram_;
       ++i) {
    const HostId host = aState.updates_.front();
    aState.updates_.pop_front();
    const auto sendsLeft = aState.sendsLeft_.find(host);
    const auto member = aState.members_.find(host);
    if (sendsLeft == aState.sendsLeft_.end()) {
      continue;
    }
    // kUnreachable holds only at this node, so it isn't sent to other members.
    if (member != aState.members_.end() &&
        member->second.entry_.state_ != MemberState::kUnreachable) {
      updates.push_back(member->second.entry_);
    }
    if (--sendsLeft->second == 0) {
      aState.sendsLeft_.erase(sendsLeft);
    } else {
      aState.updates_.push_back(host);
    }
  }
  return updates;
}

void SendProbe(Membership& aState,
               const Member& aMember,
               std::uint64_t aSequence,
               MembershipEffects& aEffects)
{
  Probe probe{ aSequence, aState.self_, CollectUpdates(aState) };
  // A member that is considered suspect or dead learns of it from the probe and can refute it.
  if (aMember.entry_.state_ == MemberState::kSuspect ||
      aMember.entry_.state_ == MemberState::kDead) {
    probe.updates_.push_back(aMember.entry_);
  }
  aEffects.messages_.push_back({ aMember.entry_.peer_, std::move(probe), true });
}

void SetState(Membership& aState, Member& aMember, MemberState aNew, TimePoint aNow)
{
  aMember.entry_.state_ = aNew;
  aMember.stateChangedAt_ = aNow;
  RecordChange(aState, aMember.entry_);
}

// Raises the own incarnation above that of a false statement about this process.
void Refute(Membership& aState, Incarnation aAbove)
{
  aState.self_.incarnation_ = std::max(aState.self_.incarnation_, aAbove) + 1;
  ++aState.revision_;
  QueueForSummaries(aState, aState.self_.host_);
}

void MergeSelf(Membership& aState, const MemberEntry& aEntry)
{
  const bool leaving = aState.self_.state_ == MemberState::kLeft;
  const bool notAlive = aEntry.state_ != MemberState::kAlive;
  const bool mustRefute = notAlive && aEntry.incarnation_ >= aState.self_.incarnation_;
  const bool isOutdated = aEntry.incarnation_ > aState.self_.incarnation_;
  if (!leaving && (mustRefute || isOutdated)) {
    Refute(aState, aEntry.incarnation_);
  }
}

void BeginConfirmation(Membership& aState, const DataCentreId& aCentre, TimePoint aNow)
{
  const auto spread = static_cast<std::uint64_t>(aState.settings_.confirmationPeriod_.count());
  for (auto& [host, member] : aState.members_) {
    if (member.entry_.dataCentre_ == aCentre && IsLiving(member.entry_.state_)) {
      member.awaitingConfirmation_ = true;
      member.confirmAt_ =
        aNow + Duration(static_cast<Duration::rep>(NextRandom(aState.random_) % spread));
    }
  }
}

void SetCentreReachable(Membership& aState,
                        const DataCentreId& aId,
                        bool aReachable,
                        TimePoint aNow,
                        MembershipEffects& aEffects)
{
  auto& centre = aState.centres_[aId];
  centre.statementSendsLeft_ = SendLimit(aState);
  if (centre.reachable_ == aReachable) {
    return;
  }
  centre.reachable_ = aReachable;
  ++aState.revision_;
  if (aReachable) {
    BeginConfirmation(aState, aId, aNow);
  }
  aEffects.events_.push_back({ aReachable ? MembershipEventKind::kDataCentreReachable
                                          : MembershipEventKind::kDataCentreUnreachable,
                               aId.value_ });
}

void MergeCentre(Membership& aState,
                 const MemberEntry& aEntry,
                 TimePoint aNow,
                 MembershipEffects& aEffects)
{
  if (IsOwnCentre(aState, aEntry)) {
    return;
  }
  auto& centre = aState.centres_[aEntry.dataCentre_];
  if (aEntry.incarnation_ <= centre.statementNumber_) {
    return;
  }
  centre.statementNumber_ = aEntry.incarnation_;
  const bool reachable = aEntry.state_ == MemberState::kAlive;
  const bool contradicts =
    !reachable && aState.isDelegate_ && aNow - centre.lastSummaryAt_ < kRecentSummaryAge;
  if (contradicts) {
    ++centre.statementNumber_;
    centre.statementSendsLeft_ = SendLimit(aState);
    return;
  }
  if (reachable && aState.isDelegate_ && aNow - centre.lastSummaryAt_ >= kRecentSummaryAge) {
    centre.holdUntil_ = aNow + kContradictionHold;
  }
  SetCentreReachable(aState, aEntry.dataCentre_, reachable, aNow, aEffects);
}

// Weight of a member of another data centre. It depends on this node too, so that nodes keep
// different samples in a full table.
std::uint64_t SampleWeight(const Membership& aState, const MemberEntry& aEntry)
{
  return RankWeight("sample/" + aState.self_.host_.value_, aEntry.dataCentre_, aEntry.host_);
}

// Removes the member of another data centre with the minimum weight from a full table, but never a
// delegate of its data centre. Returns false if the newcomer must not be added. A newcomer at or
// below the minimum weight of the sample is rejected without a search, because each summary
// contains members outside the sample.
bool EvictSampledMember(Membership& aState, const MemberEntry& aNewcomer)
{
  if (!IsOwnCentre(aState, aNewcomer) &&
      SampleWeight(aState, aNewcomer) <= aState.minSampleWeight_) {
    return false;
  }
  std::set<HostId> protectedHosts;
  for (const auto& [id, centre] : aState.centres_) {
    const auto ranked = RankMembers(aState, kDelegateRole, id);
    for (std::size_t i = 0; i < std::min(ranked.size(), aState.settings_.delegateCount_); ++i) {
      protectedHosts.insert(ranked[i].host_);
    }
  }
  auto evicted = aState.members_.end();
  std::uint64_t minWeight = ~std::uint64_t{ 0 };
  for (auto it = aState.members_.begin(); it != aState.members_.end(); ++it) {
    const auto& entry = it->second.entry_;
    if (IsOwnCentre(aState, entry) || protectedHosts.count(it->first) != 0) {
      continue;
    }
    const auto weight = SampleWeight(aState, entry);
    if (weight < minWeight) {
      minWeight = weight;
      evicted = it;
    }
  }
  if (evicted == aState.members_.end()) {
    return false;
  }
  aState.minSampleWeight_ = minWeight;
  if (!IsOwnCentre(aState, aNewcomer) && SampleWeight(aState, aNewcomer) <= minWeight) {
    return false;
  }
  aState.members_.erase(evicted);
  return true;
}

bool IsUsable(const MemberEntry& aEntry)
{
  return IsLiving(aEntry.state_) && aEntry.targetState_ != TargetState::kLeft;
}

void AddMember(Membership& aState,
               const MemberEntry& aEntry,
               TimePoint aNow,
               MembershipEffects& aEffects)
{
  // Tombstones of unknown members are accepted only while joining. Otherwise nodes whose tombstones
  // expire at different times would restore them at each other without end.
  if (!IsLiving(aEntry.state_) && !IsAlone(aState)) {
    return;
  }
  if (aState.members_.size() >= aState.settings_.maxMembers_ &&
      !EvictSampledMember(aState, aEntry)) {
    return;
  }
  Member member;
  member.entry_ = aEntry;
  member.stateChangedAt_ = aNow;
  member.readySince_ = aNow;
  aState.members_.emplace(aEntry.host_, member);
  if (!IsOwnCentre(aState, aEntry) &&
      aState.centres_.find(aEntry.dataCentre_) == aState.centres_.end()) {
    // A newly known data centre gets the full timeout before it is declared unreachable.
    auto& centre = aState.centres_[aEntry.dataCentre_];
    centre.lastSummaryAt_ = aNow;
    if (aState.isDelegate_) {
      QueueAllMembers(aState, centre);
    }
  }
  RecordChange(aState, aEntry);
  if (IsLiving(aEntry.state_)) {
    aEffects.events_.push_back({ MembershipEventKind::kJoined, aEntry.host_.value_ });
  }
}

// True if a new statement replaces the known one.
bool IsNewer(const MemberEntry& aKnown, const MemberEntry& aNew)
{
  if (aNew.incarnation_ != aKnown.incarnation_) {
    return aNew.incarnation_ > aKnown.incarnation_;
  }
  return Precedence(aNew.state_) > Precedence(aKnown.state_);
}

void ReportChange(const MemberEntry& aOld, const MemberEntry& aNew, MembershipEffects& aEffects)
{
  const auto& host = aNew.host_.value_;
  if (aOld.state_ == aNew.state_) {
    return;
  }
  if (aNew.state_ == MemberState::kAlive) {
    const bool suspected = aOld.state_ == MemberState::kSuspect;
    aEffects.events_.push_back(
      { suspected ? MembershipEventKind::kRefuted : MembershipEventKind::kJoined, host });
  } else if (aNew.state_ == MemberState::kSuspect) {
    aEffects.events_.push_back({ MembershipEventKind::kSuspected, host });
  } else if (aNew.state_ == MemberState::kDead) {
    aEffects.events_.push_back({ MembershipEventKind::kDead, host });
  }
}

void MergeEntry(Membership& aState,
                const MemberEntry& aEntry,
                TimePoint aNow,
                MembershipEffects& aEffects)
{
  // That a single member is unreachable holds only at the node that found it, so it isn't merged.
  const bool isCentre = aEntry.host_.value_ == kWholeDataCentre;
  if (aEntry.host_.value_.empty() || (!isCentre && aEntry.state_ == MemberState::kUnreachable)) {
    return;
  }
  if (aEntry.host_.value_ == kWholeDataCentre) {
    MergeCentre(aState, aEntry, aNow, aEffects);
    return;
  }
  if (aEntry.host_ == aState.self_.host_) {
    MergeSelf(aState, aEntry);
    return;
  }
  const auto found = aState.members_.find(aEntry.host_);
  if (found == aState.members_.end()) {
    AddMember(aState, aEntry, aNow, aEffects);
    return;
  }
  auto& member = found->second;
  if (!IsNewer(member.entry_, aEntry)) {
    // Load doesn't raise the incarnation, so the last received value is kept.
    if (aEntry.incarnation_ == member.entry_.incarnation_ && member.entry_.load_ != aEntry.load_) {
      aState.loadChanged_ = true;
      member.entry_.load_ = aEntry.load_;
    }
    return;
  }
  ReportChange(member.entry_, aEntry, aEffects);
  const bool wasUsable = IsUsable(member.entry_) &&
                         member.entry_.targetState_ != TargetState::kDraining &&
                         member.entry_.service_ == aEntry.service_;
  const bool restarted =
    aEntry.targetState_ == TargetState::kCold && member.entry_.targetState_ != TargetState::kCold;
  if (!wasUsable || restarted) {
    member.readySince_ = aNow;
  }
  if (member.entry_.state_ != aEntry.state_) {
    member.stateChangedAt_ = aNow;
  }
  member.entry_ = aEntry;
  RecordChange(aState, aEntry);
}

// Handles a message that came from the member itself: an unreachable member is alive again, and a
// member that awaits confirmation is confirmed.
void RecordDirectMessage(Membership& aState, const HostId& aHost, TimePoint aNow)
{
  const auto found = aState.members_.find(aHost);
  if (found == aState.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (member.awaitingConfirmation_) {
    member.awaitingConfirmation_ = false;
    member.readySince_ = aNow;
    ++aState.revision_;
  }
  if (member.entry_.state_ == MemberState::kUnreachable) {
    member.entry_.state_ = MemberState::kAlive;
    member.stateChangedAt_ = aNow;
    member.readySince_ = aNow;
    ++aState.revision_;
  }
}

void MergeAll(Membership& aState,
              const std::vector<MemberEntry>& aEntries,
              TimePoint aNow,
              MembershipEffects& aEffects)
{
  for (const auto& entry : aEntries) {
    MergeEntry(aState, entry, aNow, aEffects);
  }
}

void HandleProbe(Membership& aState,
                 const Address& aFrom,
                 const Probe& aProbe,
                 TimePoint aNow,
                 MembershipEffects& aEffects)
{
  MergeEntry(aState, aProbe.sender_, aNow, aEffects);
  MergeAll(aState, aProbe.updates_, aNow, aEffects);
  RecordDirectMessage(aState, aProbe.sender_.host_, aNow);
  ProbeAck ack{ aProbe.sequence_, aState.self_, CollectUpdates(aState) };
  const auto known = aState.members_.find(aProbe.sender_.host_);
  if (known != aState.members_.end() && known->second.entry_.state_ != MemberState::kAlive) {
    ack.updates_.push_back(known->second.entry_);
  }
  aEffects.messages_.push_back({ aFrom, std::move(ack), true });
}

void HandleAck(Membership& aState,
               const ProbeAck& aAck,
               TimePoint aNow,
               MembershipEffects& aEffects)
{
  MergeEntry(aState, aAck.sender_, aNow, aEffects);
  MergeAll(aState, aAck.updates_, aNow, aEffects);
  if (aState.probe_ && aState.probe_->sequence_ == aAck.sequence_ &&
      aState.probe_->host_ == aAck.sender_.host_) {
    aState.probe_->acked_ = true;
  }
  RecordDirectMessage(aState, aAck.sender_.host_, aNow);
  const auto relayed = aState.relayedProbes_.find(aAck.sequence_);
  if (relayed != aState.relayedProbes_.end()) {
    ProbeAck ack{ relayed->second.sequence_, aAck.sender_, {} };
    aEffects.messages_.push_back({ relayed->second.requester_, std::move(ack), true });
    aState.relayedProbes_.erase(relayed);
  }
}

void HandleProbeRequest(Membership& aState,
                        const Address& aFrom,
                        const ProbeRequest& aRequest,
                        TimePoint aNow,
                        MembershipEffects& aEffects)
{
  MergeEntry(aState, aRequest.sender_, aNow, aEffects);
  MergeAll(aState, aRequest.updates_, aNow, aEffects);
  RecordDirectMessage(aState, aRequest.sender_.host_, aNow);
  const auto sequence = aState.nextSequence_++;
  aState.relayedProbes_[sequence] = { aFrom, aRequest.sequence_, aNow };
  Probe probe{ sequence, aState.self_, CollectUpdates(aState) };
  aEffects.messages_.push_back({ aRequest.subjectAddress_, std::move(probe), true });
}

// The whole table for a member of the own data centre. A member of another one gets only the
// members of this data centre, which it can't learn elsewhere.
std::vector<MemberEntry> MakeMemberTable(const Membership& aState,
                                         const DataCentreId& aRequesterCentre)
{
  std::vector<MemberEntry> entries{ aState.self_ };
  for (const auto& [host, member] : aState.members_) {
    const bool own = IsOwnCentre(aState, member.entry_);
    if (own || aRequesterCentre == aState.self_.dataCentre_) {
      entries.push_back(member.entry_);
    }
  }
  return entries;
}

void HandleTable(Membership& aState,
                 const Address& aFrom,
                 const MemberTable& aTable,
                 TimePoint aNow,
                 MembershipEffects& aEffects)
{
  MergeAll(aState, aTable.members_, aNow, aEffects);
  if (aTable.isRequest_) {
    const bool hasSender = !aTable.members_.empty();
    const Address to = hasSender ? aTable.members_.front().peer_ : aFrom;
    const DataCentreId requesterCentre =
      hasSender ? aTable.members_.front().dataCentre_ : aState.self_.dataCentre_;
    aEffects.messages_.push_back(
      { to, MemberTable{ false, MakeMemberTable(aState, requesterCentre) }, false });
  }
}

void HandleSummary(Membership& aState,
                   const DataCentreSummary& aSummary,
                   TimePoint aNow,
                   MembershipEffects& aEffects)
{
  if (aSummary.dataCentre_ == aState.self_.dataCentre_) {
    return;
  }
  MergeAll(aState, aSummary.members_, aNow, aEffects);
  auto& centre = aState.centres_[aSummary.dataCentre_];
  centre.lastSummaryAt_ = aNow;
  if (!centre.reachable_) {
    ++centre.statementNumber_;
    SetCentreReachable(aState, aSummary.dataCentre_, true, aNow, aEffects);
  }
}

std::vector<HostId> OwnCentreHosts(const Membership& aState, bool aLivingOnly)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aState.members_) {
    const auto state = member.entry_.state_;
    const bool isIncluded = IsLiving(state) || (!aLivingOnly && state == MemberState::kUnreachable);
    if (IsOwnCentre(aState, member.entry_) && isIncluded) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

void Shuffle(std::vector<HostId>& aHosts, std::uint64_t& aRandom)
{
  for (std::size_t i = aHosts.size(); i > 1; --i) {
    std::swap(aHosts[i - 1], aHosts[NextRandom(aRandom) % i]);
  }
}

// Ends the last probe. A member that didn't ack becomes suspected.
void FinishProbe(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (!aState.probe_) {
    return;
  }
  const auto found = aState.members_.find(aState.probe_->host_);
  if (!aState.probe_->acked_ && found != aState.members_.end() &&
      found->second.entry_.state_ == MemberState::kAlive) {
    SetState(aState, found->second, MemberState::kSuspect, aNow);
    aEffects.events_.push_back({ MembershipEventKind::kSuspected, found->first.value_ });
  }
  aState.probe_.reset();
}

void StartProbe(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  while (true) {
    if (aState.probeOrder_.empty()) {
      aState.probeOrder_ = OwnCentreHosts(aState, false);
      Shuffle(aState.probeOrder_, aState.random_);
      if (aState.probeOrder_.empty()) {
        return;
      }
    }
    const HostId host = aState.probeOrder_.back();
    aState.probeOrder_.pop_back();
    const auto found = aState.members_.find(host);
    if (found == aState.members_.end() || found->second.entry_.state_ == MemberState::kDead ||
        found->second.entry_.state_ == MemberState::kLeft) {
      continue;
    }
    const auto sequence = aState.nextSequence_++;
    aState.probe_ = PendingProbe{ host, sequence, aNow, false, false };
    SendProbe(aState, found->second, sequence, aEffects);
    return;
  }
}

// Probes some randomly chosen suspected members, so that they learn of the suspicion.
void ProbeSuspects(Membership& aState, MembershipEffects& aEffects)
{
  std::vector<HostId> suspects;
  for (const auto& [host, member] : aState.members_) {
    if (IsOwnCentre(aState, member.entry_) && member.entry_.state_ == MemberState::kSuspect) {
      suspects.push_back(host);
    }
  }
  Shuffle(suspects, aState.random_);
  suspects.resize(
    std::min<std::size_t>(suspects.size(), aState.settings_.suspectProbesPerInterval_));
  for (const auto& host : suspects) {
    SendProbe(aState, aState.members_.at(host), aState.nextSequence_++, aEffects);
  }
}

void SendIndirectProbes(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  auto& probe = aState.probe_;
  if (!probe || probe->acked_ || probe->indirectSent_ ||
      aNow - probe->sentAt_ < aState.settings_.indirectProbeDelay_) {
    return;
  }
  probe->indirectSent_ = true;
  const auto subject = aState.members_.find(probe->host_);
  if (subject == aState.members_.end()) {
    return;
  }
  auto helpers = OwnCentreHosts(aState, true);
  Shuffle(helpers, aState.random_);
  std::uint32_t sentCount = 0;
  for (const auto& host : helpers) {
    if (host == probe->host_ || sentCount == aState.settings_.indirectProbeCount_) {
      continue;
    }
    ++sentCount;
    ProbeRequest request{ probe->sequence_,
                          aState.self_,
                          probe->host_,
                          subject->second.entry_.peer_,
                          CollectUpdates(aState) };
    aEffects.messages_.push_back(
      { aState.members_.at(host).entry_.peer_, std::move(request), true });
  }
}

// True if no other member of the own data centre is alive and at least two are suspected or
// unreachable. The likely cause is that this node is partitioned from the network, not that all
// others died.
bool AllOthersSilent(const Membership& aState)
{
  std::size_t silentCount = 0;
  for (const auto& [host, member] : aState.members_) {
    const auto state = member.entry_.state_;
    if (!IsOwnCentre(aState, member.entry_) || state == MemberState::kLeft ||
        state == MemberState::kDead) {
      continue;
    }
    if (state == MemberState::kAlive) {
      return false;
    }
    ++silentCount;
  }
  return silentCount >= 2;
}

void ExpireStates(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  for (auto it = aState.members_.begin(); it != aState.members_.end();) {
    auto& member = it->second;
    const auto state = member.entry_.state_;
    const auto age = aNow - member.stateChangedAt_;
    const bool own = IsOwnCentre(aState, member.entry_);
    if (own && state == MemberState::kSuspect && age >= aState.settings_.suspicionTimeout_) {
      if (AllOthersSilent(aState)) {
        // Not announced to others: the members on the far side of the partition are alive.
        member.entry_.state_ = MemberState::kUnreachable;
        member.stateChangedAt_ = aNow;
        ++aState.revision_;
      } else {
        SetState(aState, member, MemberState::kDead, aNow);
        aEffects.events_.push_back({ MembershipEventKind::kDead, it->first.value_ });
      }
    }
    const bool isTombstone = state == MemberState::kDead || state == MemberState::kLeft;
    if (isTombstone && age >= aState.settings_.tombstoneLifetime_) {
      ++aState.revision_;
      it = aState.members_.erase(it);
    } else {
      ++it;
    }
  }
}

// Extends the timeouts of other members by the time for which this process was paused.
void ExtendTimeoutsAfterPause(Membership& aState, TimePoint aNow)
{
  const auto gap = aNow - aState.lastStepAt_;
  if (gap < kMinPauseGap) {
    return;
  }
  aState.probe_.reset();
  for (auto& [host, member] : aState.members_) {
    if (member.entry_.state_ == MemberState::kSuspect) {
      member.stateChangedAt_ += gap;
    }
  }
  for (auto& [id, centre] : aState.centres_) {
    centre.lastSummaryAt_ += gap;
  }
  aState.nextProbeAt_ = std::max(aState.nextProbeAt_, aNow);
}

bool IsKnownAddress(const Membership& aState, const Address& aAddress)
{
  return std::any_of(aState.members_.begin(), aState.members_.end(), [&](const auto& aMember) {
    return aMember.second.entry_.peer_ == aAddress && IsLiving(aMember.second.entry_.state_);
  });
}

void ContactSeeds(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextJoinAt_) {
    return;
  }
  const bool alone = IsAlone(aState);
  aState.nextJoinAt_ =
    aNow + (alone ? aState.settings_.joinInterval_ : aState.settings_.seedInterval_);
  for (const auto& seed : aState.seeds_) {
    if (seed != aState.self_.peer_ && !IsKnownAddress(aState, seed)) {
      aEffects.messages_.push_back({ seed, MemberTable{ true, { aState.self_ } }, false });
    }
  }
}

// Sends queued updates to a random member when many members changed at once.
void SendBacklog(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextBacklogAt_ ||
      aState.updates_.size() <= aState.settings_.updatesPerDatagram_) {
    return;
  }
  aState.nextBacklogAt_ = aNow + aState.settings_.backlogInterval_;
  const auto hosts = OwnCentreHosts(aState, true);
  if (!hosts.empty()) {
    const auto& member = aState.members_.at(hosts[NextRandom(aState.random_) % hosts.size()]);
    SendProbe(aState, member, aState.nextSequence_++, aEffects);
  }
}

// Exchanges whole tables with a random member, because updates in lost datagrams may be missing.
void ExchangeTables(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextAntiEntropyAt_) {
    return;
  }
  const auto& settings = aState.settings_;
  const auto members = static_cast<Duration::rep>(aState.members_.size());
  // More often after the start, because nodes that start together miss each other's updates.
  const auto interval =
    std::max(settings.antiEntropyInterval_, settings.antiEntropyIntervalPerMember_ * members);
  aState.antiEntropyDelay_ = std::min(interval, 2 * aState.antiEntropyDelay_);
  aState.nextAntiEntropyAt_ = aNow + aState.antiEntropyDelay_;
  const auto hosts = OwnCentreHosts(aState, true);
  if (hosts.empty()) {
    return;
  }
  const auto& peer = aState.members_.at(hosts[NextRandom(aState.random_) % hosts.size()]).entry_;
  aEffects.messages_.push_back(
    { peer.peer_, MemberTable{ true, MakeMemberTable(aState, aState.self_.dataCentre_) }, false });
}

// Probes a random dead member. After a network partition each side considers the other dead, and no
// other message would reconnect them.
void ProbeDeadMember(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextReviveAt_) {
    return;
  }
  aState.nextReviveAt_ = aNow + aState.settings_.reviveInterval_;
  std::vector<const Member*> dead;
  for (const auto& [host, member] : aState.members_) {
    if (IsOwnCentre(aState, member.entry_) && member.entry_.state_ == MemberState::kDead) {
      dead.push_back(&member);
    }
  }
  if (!dead.empty()) {
    SendProbe(
      aState, *dead[NextRandom(aState.random_) % dead.size()], aState.nextSequence_++, aEffects);
  }
}

void ConfirmMembers(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  std::map<DataCentreId, std::size_t> awaiting;
  for (const auto& [host, member] : aState.members_) {
    if (member.awaitingConfirmation_) {
      ++awaiting[member.entry_.dataCentre_];
    }
  }
  if (awaiting.empty()) {
    return;
  }
  for (auto& [host, member] : aState.members_) {
    if (!member.awaitingConfirmation_ || member.confirmAt_ > aNow) {
      continue;
    }
    if (awaiting[member.entry_.dataCentre_] > aState.settings_.maxProbedConfirmations_) {
      member.awaitingConfirmation_ = false;
      member.readySince_ = aNow;
      ++aState.revision_;
    } else {
      member.confirmAt_ = aNow + aState.settings_.probeInterval_;
      SendProbe(aState, member, aState.nextSequence_++, aEffects);
    }
  }
}

// Members for one summary: this node, changed members, then some unchanged ones in turn.
std::vector<MemberEntry> SummaryMembers(Membership& aState, RemoteCentre& aCentre)
{
  std::vector<MemberEntry> entries{ aState.self_ };
  std::set<HostId> chosen;
  while (!aCentre.pendingMembers_.empty() && chosen.size() < aState.settings_.maxSummaryChanges_) {
    const HostId host = aCentre.pendingMembers_.front();
    aCentre.pendingMembers_.pop_front();
    aCentre.pendingMemberSet_.erase(host);
    const auto found = aState.members_.find(host);
    if (found != aState.members_.end() && chosen.insert(host).second) {
      entries.push_back(found->second.entry_);
    }
  }
  auto it = aState.members_.upper_bound(aState.refreshCursor_);
  std::size_t refreshed = 0;
  for (std::size_t i = 0;
       i < aState.members_.size() && refreshed < aState.settings_.summaryRefreshCount_;
       ++i) {
    if (it == aState.members_.end()) {
      it = aState.members_.begin();
    }
    if (IsOwnCentre(aState, it->second.entry_)) {
      ++refreshed;
      aState.refreshCursor_ = it->first;
      if (chosen.insert(it->first).second) {
        entries.push_back(it->second.entry_);
      }
    }
    ++it;
  }
  return entries;
}

void SendSummaries(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  const auto ownMembers = RankMembers(aState, kDelegateRole, aState.self_.dataCentre_);
  std::size_t rank = 0;
  while (rank < ownMembers.size() && ownMembers[rank].host_ != aState.self_.host_) {
    ++rank;
  }
  const bool isDelegate =
    rank < aState.settings_.delegateCount_ && aState.self_.state_ != MemberState::kLeft;
  if (isDelegate && !aState.isDelegate_) {
    aState.delegateSince_ = aNow;
    for (auto& [id, centre] : aState.centres_) {
      QueueAllMembers(aState, centre);
    }
  }
  aState.isDelegate_ = isDelegate;
  if (!isDelegate) {
    for (auto& [id, centre] : aState.centres_) {
      centre.pendingMembers_.clear();
      centre.pendingMemberSet_.clear();
    }
    return;
  }
  ++aState.summaryRounds_;
  for (auto& [id, centre] : aState.centres_) {
    const auto remoteMembers = RankMembers(aState, kDelegateRole, id);
    const auto delegates = std::min(remoteMembers.size(), aState.settings_.delegateCount_);
    if (delegates == 0) {
      continue;
    }
    // Offset by the rank, so that both delegates together reach both remote delegates in each
    // round.
    const auto& peer = remoteMembers[(aState.summaryRounds_ + rank) % delegates];
    DataCentreSummary summary;
    summary.dataCentre_ = aState.self_.dataCentre_;
    summary.members_ = SummaryMembers(aState, centre);
    aEffects.summaries_.push_back({ peer.address_, std::move(summary), false });
  }
}

void DetectSilentCentres(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  const auto timeout = aState.settings_.centreTimeout_;
  if (!aState.isDelegate_ || aNow - aState.delegateSince_ < timeout) {
    return;
  }
  for (auto& [id, centre] : aState.centres_) {
    if (centre.reachable_ && aNow - centre.lastSummaryAt_ >= timeout && aNow >= centre.holdUntil_) {
      ++centre.statementNumber_;
      SetCentreReachable(aState, id, false, aNow, aEffects);
    }
  }
}

bool IsReachableCentre(const Membership& aState, const MemberEntry& aEntry)
{
  const auto centre = aState.centres_.find(aEntry.dataCentre_);
  return centre == aState.centres_.end() || centre->second.reachable_;
}

Target MakeTarget(const MemberEntry& aEntry, TimePoint aReadySince)
{
  Target target;
  target.host_ = aEntry.host_;
  target.incarnation_ = aEntry.incarnation_;
  target.peer_ = aEntry.peer_;
  target.dataCentre_ = aEntry.dataCentre_;
  target.region_ = aEntry.region_;
  target.service_ = aEntry.service_;
  target.state_ = aEntry.targetState_;
  target.readySince_ = aReadySince;
  target.slots_ = aEntry.slots_;
  target.announcedLoad_ = aEntry.load_;
  return target;
}

} // namespace

Membership MakeMembership(MembershipSettings aSettings,
                          MemberEntry aSelf,
                          std::vector<Address> aSeeds,
                          std::uint64_t aSeed,
                          TimePoint aNow)
{
  Membership state;
  state.settings_ = aSettings;
  state.self_ = std::move(aSelf);
  state.seeds_ = std::move(aSeeds);
  state.random_ = aSeed;
  state.selfReadySince_ = aNow;
  state.lastStepAt_ = aNow;
  state.nextProbeAt_ = aNow;
  state.nextJoinAt_ = aNow;
  // Random first times, so that nodes that start together don't send at the same moments.
  const auto jitter = [&](Duration aInterval) {
    return Duration(static_cast<Duration::rep>(NextRandom(state.random_) %
                                               static_cast<std::uint64_t>(aInterval.count())));
  };
  state.antiEntropyDelay_ = aSettings.firstAntiEntropyDelay_;
  state.nextAntiEntropyAt_ =
    aNow + aSettings.firstAntiEntropyDelay_ / 2 + jitter(aSettings.firstAntiEntropyDelay_);
  state.nextReviveAt_ = aNow + jitter(aSettings.reviveInterval_);
  state.nextSummaryAt_ = aNow + jitter(aSettings.probeInterval_);
  return state;
}

void StepMembership(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  ExtendTimeoutsAfterPause(aState, aNow);
  aState.lastStepAt_ = aNow;
  ContactSeeds(aState, aNow, aEffects);
  SendIndirectProbes(aState, aNow, aEffects);
  if (aNow >= aState.nextProbeAt_) {
    aState.nextProbeAt_ = aNow + aState.settings_.probeInterval_;
    FinishProbe(aState, aNow, aEffects);
    ExpireStates(aState, aNow, aEffects);
    StartProbe(aState, aNow, aEffects);
    ProbeSuspects(aState, aEffects);
    std::erase_if(aState.relayedProbes_, [&](const auto& aRelay) {
      return aNow - aRelay.second.sentAt_ > kRelayedProbeLifetime;
    });
  }
  SendBacklog(aState, aNow, aEffects);
  ExchangeTables(aState, aNow, aEffects);
  ProbeDeadMember(aState, aNow, aEffects);
  if (aNow >= aState.nextSummaryAt_) {
    aState.nextSummaryAt_ = aNow + aState.settings_.probeInterval_;
    SendSummaries(aState, aNow, aEffects);
    DetectSilentCentres(aState, aNow, aEffects);
  }
  ConfirmMembers(aState, aNow, aEffects);
  assert(aState.members_.find(aState.self_.host_) == aState.members_.end());
  assert(aState.members_.size() <= aState.settings_.maxMembers_);
}

void HandleMembershipMessage(Membership& aState,
                             const Address& aFrom,
                             const PeerMessage& aMessage,
                             TimePoint aNow,
                             MembershipEffects& aEffects)
{
  if (const auto* probe = std::get_if<Probe>(&aMessage)) {
    HandleProbe(aState, aFrom, *probe, aNow, aEffects);
  } else if (const auto* ack = std::get_if<ProbeAck>(&aMessage)) {
    HandleAck(aState, *ack, aNow, aEffects);
  } else if (const auto* request = std::get_if<ProbeRequest>(&aMessage)) {
    HandleProbeRequest(aState, aFrom, *request, aNow, aEffects);
  } else if (const auto* table = std::get_if<MemberTable>(&aMessage)) {
    HandleTable(aState, aFrom, *table, aNow, aEffects);
  } else if (const auto* summary = std::get_if<DataCentreSummary>(&aMessage)) {
    HandleSummary(aState, *summary, aNow, aEffects);
  }
}

void AnnounceTargetState(Membership& aState,
                         TargetState aTargetState,
                         std::uint32_t aSlots,
                         double aLoad,
                         TimePoint aNow)
{
  auto& self = aState.self_;
  aState.loadChanged_ = aState.loadChanged_ || self.load_ != aLoad;
  self.load_ = aLoad;
  if (self.targetState_ == aTargetState && self.slots_ == aSlots) {
    return;
  }
  if (aTargetState == TargetState::kCold) {
    aState.selfReadySince_ = aNow;
  }
  self.targetState_ = aTargetState;
  self.slots_ = aSlots;
  ++self.incarnation_;
  ++aState.revision_;
  QueueForSummaries(aState, self.host_);
}

void AnnounceDeparture(Membership& aState, const HostId& aSuccessor, MembershipEffects& aEffects)
{
  // Several copies, because this process can't repeat a lost datagram.
  constexpr std::size_t kCopies = 8;
  auto& self = aState.self_;
  self.state_ = MemberState::kLeft;
  self.targetState_ = TargetState::kLeft;
  self.successor_ = aSuccessor;
  ++self.incarnation_;
  ++aState.revision_;
  auto hosts = OwnCentreHosts(aState, true);
  Shuffle(hosts, aState.random_);
  hosts.resize(std::min(hosts.size(), kCopies));
  for (const auto& host : hosts) {
    const auto& member = aState.members_.at(host);
    SendProbe(aState, member, aState.nextSequence_++, aEffects);
  }
}

void AddContacts(Membership& aState, const std::vector<Address>& aContacts)
{
  for (const auto& contact : aContacts) {
    if (std::find(aState.seeds_.begin(), aState.seeds_.end(), contact) == aState.seeds_.end()) {
      aState.seeds_.push_back(contact);
    }
  }
}

bool IsAlone(const Membership& aState)
{
  return std::none_of(aState.members_.begin(), aState.members_.end(), [&](const auto& aMember) {
    return IsOwnCentre(aState, aMember.second.entry_);
  });
}

TargetView MakeTargetView(const Membership& aState)
{
  TargetView view;
  const auto add = [&](const MemberEntry& aEntry, TimePoint aReadySince) {
    if (!IsLiving(aEntry.state_)) {
      return;
    }
    view.hosts_[aEntry.host_] = aEntry.peer_;
    if (!aEntry.service_.value_.empty() && aEntry.targetState_ != TargetState::kLeft) {
      view.targets_[aEntry.service_].push_back(MakeTarget(aEntry, aReadySince));
    }
  };
  const auto& self = aState.self_;
  for (const auto& [host, member] : aState.members_) {
    if (!member.awaitingConfirmation_ && IsReachableCentre(aState, member.entry_)) {
      add(member.entry_, member.readySince_);
    }
  }
  add(self, aState.selfReadySince_);
  for (auto& [service, targets] : view.targets_) {
    std::sort(targets.begin(), targets.end(), [](const Target& aLeft, const Target& aRight) {
      return aLeft.host_ < aRight.host_;
    });
  }
  // Calls that carry request ids of a host that left go to the successor that has its records.
  for (const auto& [host, member] : aState.members_) {
    const auto successor = view.hosts_.find(member.entry_.successor_);
    if (member.entry_.state_ == MemberState::kLeft && successor != view.hosts_.end()) {
      view.hosts_.emplace(host, successor->second);
    }
  }
  return view;
}

std::vector<RankedMember> RankMembers(const Membership& aState,
                                      std::string_view aRole,
                                      const DataCentreId& aDataCentre)
{
  std::vector<std::pair<std::uint64_t, RankedMember>> weighted;
  const auto add = [&](const MemberEntry& aEntry) {
    if (aEntry.dataCentre_ == aDataCentre && IsLiving(aEntry.state_)) {
      weighted.emplace_back(RankWeight(aRole, aDataCentre, aEntry.host_),
                            RankedMember{ aEntry.host_, aEntry.peer_ });
    }
  };
  add(aState.self_);
  for (const auto& [host, member] : aState.members_) {
    add(member.entry_);
  }
  std::sort(weighted.begin(), weighted.end(), [](const auto& aLeft, const auto& aRight) {
    return aLeft.first != aRight.first ? aLeft.first > aRight.first
                                       : aLeft.second.host_ < aRight.second.host_;
  });
  std::vector<RankedMember> ranked;
  ranked.reserve(weighted.size());
  for (auto& [weight, member] : weighted) {
    ranked.push_back(std::move(member));
  }
  return ranked;
}

MemberRanking MakeMemberRanking(const Membership& aState)
{
  MemberRanking ranking;
  ranking.self_ = aState.self_.host_;
  ranking.dataCentre_ = aState.self_.dataCentre_;
  ranking.members_ = RankMembers(aState, kDelegateRole, ranking.dataCentre_);
  const auto leaders = RankMembers(aState, kShareLeaderRole, ranking.dataCentre_);
  if (!leaders.empty()) {
    ranking.shareLeader_ = leaders.front();
  }
  for (const auto& [id, centre] : aState.centres_) {
    auto& delegates = ranking.delegates_[id];
    if (centre.reachable_) {
      delegates = RankMembers(aState, kDelegateRole, id);
      delegates.resize(std::min(delegates.size(), aState.settings_.delegateCount_));
    }
  }
  for (const auto& [host, member] : aState.members_) {
    const auto state = member.entry_.state_;
    if (IsLiving(state)) {
      ranking.addresses_[host] = member.entry_.peer_;
    }
    if (IsOwnCentre(aState, member.entry_) && state != MemberState::kAlive &&
        state != MemberState::kLeft) {
      ranking.unreachable_.push_back(host);
    }
  }
  return ranking;
}

} // namespace peridotquay
