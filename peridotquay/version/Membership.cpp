// SWIM with incarnations, suspicion, indirect probes and refutation, and summaries between data
// centres.
#include "peridotquay/version/Membership.h"

#include "peridotquay/version/MembershipRank.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotquay {

namespace {

// A step that comes this late means that the process was paused; the silence of others then proves
// nothing.
constexpr Duration kPauseGap = milliseconds(700);

// A delegate that heard from a data centre this lately contradicts that it is unreachable.
constexpr Duration kHeardLately = seconds(2);

// A delegate whose statement was contradicted trusts the other delegate for this long, so that a
// partial cut doesn't make the data centre flap.
constexpr Duration kContradictionHold = seconds(30);

// Relayed probes are forgotten after this; the asker has given up by then.
constexpr Duration kRelayLifetime = seconds(2);

bool IsLiving(MemberState aState)
{
  return aState == MemberState::kAlive || aState == MemberState::kSuspect;
}

bool IsOwn(const Membership& aState, const MemberEntry& aEntry)
{
  return aEntry.dataCentre_ == aState.self_.dataCentre_;
}

// Order of statements with the same incarnation: the later one in life wins.
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

// News is sent to this many members by each node. Twice the logarithm reached all of 64 members in
// every test run with a tenth of the messages lost; whole tables cover the rest.
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

// Tells other data centres of a change of an own member with the next summaries. Only delegates
// send summaries, so only they keep the queue.
void QueueForCentres(Membership& aState, const HostId& aHost)
{
  if (!aState.delegate_) {
    return;
  }
  for (auto& [id, centre] : aState.centres_) {
    if (centre.pendingSet_.insert(aHost).second) {
      centre.pending_.push_back(aHost);
    }
  }
}

void QueueAllMembers(Membership& aState, RemoteCentre& aCentre)
{
  for (const auto& [host, member] : aState.members_) {
    if (IsOwn(aState, member.entry_) && aCentre.pendingSet_.insert(host).second) {
      aCentre.pending_.push_back(host);
    }
  }
}

void NoteChange(Membership& aState, const MemberEntry& aEntry)
{
  ++aState.revision_;
  QueueUpdate(aState, aEntry.host_);
  if (IsOwn(aState, aEntry)) {
    QueueForCentres(aState, aEntry.host_);
  }
}

MemberEntry CentreStatement(const DataCentreId& aId, const RemoteCentre& aCentre)
{
  MemberEntry entry;
  entry.host_.value_ = std::string(kWholeDataCentre);
  entry.dataCentre_ = aId;
  entry.incarnation_ = aCentre.statement_;
  entry.state_ = aCentre.reachable_ ? MemberState::kAlive : MemberState::kUnreachable;
  return entry;
}

// Takes the news for one datagram: statements about data centres, then members in turn.
std::vector<MemberEntry> TakeUpdates(Membership& aState)
{
  std::vector<MemberEntry> updates;
  for (auto& [id, centre] : aState.centres_) {
    if (centre.repeats_ > 0 && updates.size() < aState.settings_.updatesPerDatagram_) {
      --centre.repeats_;
      updates.push_back(CentreStatement(id, centre));
    }
  }
  const std::size_t turns = aState.updates_.size();
  for (std::size_t i = 0; i < turns && updates.size() < aState.settings_.updatesPerDatagram_; ++i) {
    const HostId host = aState.updates_.front();
    aState.updates_.pop_front();
    const auto left = aState.sendsLeft_.find(host);
    const auto member = aState.members_.find(host);
    if (left == aState.sendsLeft_.end()) {
      continue;
    }
    // What is unreachable from here only isn't news to others.
    if (member != aState.members_.end() &&
        member->second.entry_.state_ != MemberState::kUnreachable) {
      updates.push_back(member->second.entry_);
    }
    if (--left->second == 0) {
      aState.sendsLeft_.erase(left);
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
  Probe probe{ aSequence, aState.self_, TakeUpdates(aState) };
  // A member that is thought ill of learns it from the probe and can refute.
  if (aMember.entry_.state_ == MemberState::kSuspect ||
      aMember.entry_.state_ == MemberState::kDead) {
    probe.updates_.push_back(aMember.entry_);
  }
  aEffects.messages_.push_back({ aMember.entry_.peer_, std::move(probe), true });
}

void SetState(Membership& aState, Member& aMember, MemberState aNew, TimePoint aNow)
{
  aMember.entry_.state_ = aNew;
  aMember.since_ = aNow;
  NoteChange(aState, aMember.entry_);
}

// Raises the own incarnation above a statement that isn't true of this process.
void Refute(Membership& aState, Incarnation aAbove)
{
  aState.self_.incarnation_ = std::max(aState.self_.incarnation_, aAbove) + 1;
  ++aState.revision_;
  QueueForCentres(aState, aState.self_.host_);
}

void MergeSelf(Membership& aState, const MemberEntry& aEntry)
{
  const bool leaving = aState.self_.state_ == MemberState::kLeft;
  const bool ill = aEntry.state_ != MemberState::kAlive;
  const bool accused = ill && aEntry.incarnation_ >= aState.self_.incarnation_;
  const bool overtaken = aEntry.incarnation_ > aState.self_.incarnation_;
  if (!leaving && (accused || overtaken)) {
    Refute(aState, aEntry.incarnation_);
  }
}

void BeginConfirmation(Membership& aState, const DataCentreId& aCentre, TimePoint aNow)
{
  const auto spread = static_cast<std::uint64_t>(aState.settings_.confirmSpread_.count());
  for (auto& [host, member] : aState.members_) {
    if (member.entry_.dataCentre_ == aCentre && IsLiving(member.entry_.state_)) {
      member.awaiting_ = true;
      member.confirmAt_ =
        aNow + Duration(static_cast<Duration::rep>(NextRandom(aState.random_) % spread));
    }
  }
}

void SetReachable(Membership& aState,
                  const DataCentreId& aId,
                  bool aReachable,
                  TimePoint aNow,
                  MembershipEffects& aEffects)
{
  auto& centre = aState.centres_[aId];
  centre.repeats_ = SendLimit(aState);
  if (centre.reachable_ == aReachable) {
    return;
  }
  centre.reachable_ = aReachable;
  ++aState.revision_;
  if (aReachable) {
    BeginConfirmation(aState, aId, aNow);
  }
  aEffects.events_.push_back(
    { aReachable ? MembershipEventKind::kCentreReachable : MembershipEventKind::kCentreUnreachable,
      aId.value_ });
}

void MergeCentre(Membership& aState,
                 const MemberEntry& aEntry,
                 TimePoint aNow,
                 MembershipEffects& aEffects)
{
  if (IsOwn(aState, aEntry)) {
    return;
  }
  auto& centre = aState.centres_[aEntry.dataCentre_];
  if (aEntry.incarnation_ <= centre.statement_) {
    return;
  }
  centre.statement_ = aEntry.incarnation_;
  const bool reachable = aEntry.state_ == MemberState::kAlive;
  const bool contradicts = !reachable && aState.delegate_ && aNow - centre.heard_ < kHeardLately;
  if (contradicts) {
    ++centre.statement_;
    centre.repeats_ = SendLimit(aState);
    return;
  }
  if (reachable && aState.delegate_ && aNow - centre.heard_ >= kHeardLately) {
    centre.holdUntil_ = aNow + kContradictionHold;
  }
  SetReachable(aState, aEntry.dataCentre_, reachable, aNow, aEffects);
}

// Weight of another data centre's member for this node, so that nodes keep different samples.
std::uint64_t SampleWeight(const Membership& aState, const MemberEntry& aEntry)
{
  return RankWeight("sample/" + aState.self_.host_.value_, aEntry.dataCentre_, aEntry.host_);
}

// Makes room in a full table: another data centre's member with the least weight goes, but never a
// delegate of its data centre. A newcomer of less weight than all of the sample is turned away
// without a search, because a full table hears of members outside its sample in every summary.
bool MakeRoom(Membership& aState, const MemberEntry& aNewcomer)
{
  if (!IsOwn(aState, aNewcomer) && SampleWeight(aState, aNewcomer) <= aState.sampleLeast_) {
    return false;
  }
  std::set<HostId> kept;
  for (const auto& [id, centre] : aState.centres_) {
    const auto ranked = RankMembers(aState, kDelegateRole, id);
    for (std::size_t i = 0; i < std::min(ranked.size(), aState.settings_.delegates_); ++i) {
      kept.insert(ranked[i].host_);
    }
  }
  auto victim = aState.members_.end();
  std::uint64_t least = ~std::uint64_t{ 0 };
  for (auto it = aState.members_.begin(); it != aState.members_.end(); ++it) {
    const auto& entry = it->second.entry_;
    if (IsOwn(aState, entry) || kept.count(it->first) != 0) {
      continue;
    }
    const auto weight = SampleWeight(aState, entry);
    if (weight < least) {
      least = weight;
      victim = it;
    }
  }
  if (victim == aState.members_.end()) {
    return false;
  }
  aState.sampleLeast_ = least;
  if (!IsOwn(aState, aNewcomer) && SampleWeight(aState, aNewcomer) <= least) {
    return false;
  }
  aState.members_.erase(victim);
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
  // Tombstones of unknown members are taken only while joining. Otherwise nodes whose tombstones
  // expire at different times would hand them back to each other for ever.
  if (!IsLiving(aEntry.state_) && !IsAlone(aState)) {
    return;
  }
  if (aState.members_.size() >= aState.settings_.maxMembers_ && !MakeRoom(aState, aEntry)) {
    return;
  }
  Member member;
  member.entry_ = aEntry;
  member.since_ = aNow;
  member.readySince_ = aNow;
  aState.members_.emplace(aEntry.host_, member);
  if (!IsOwn(aState, aEntry) && aState.centres_.find(aEntry.dataCentre_) == aState.centres_.end()) {
    // A data centre first heard of gets the full time before it counts as silent.
    auto& centre = aState.centres_[aEntry.dataCentre_];
    centre.heard_ = aNow;
    if (aState.delegate_) {
      QueueAllMembers(aState, centre);
    }
  }
  NoteChange(aState, aEntry);
  if (IsLiving(aEntry.state_)) {
    aEffects.events_.push_back({ MembershipEventKind::kJoined, aEntry.host_.value_ });
  }
}

// True if the statement replaces what is known.
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
  // That a single member is unreachable is the finding of one node, not a statement to adopt.
  const bool whole = aEntry.host_.value_ == kWholeDataCentre;
  if (aEntry.host_.value_.empty() || (!whole && aEntry.state_ == MemberState::kUnreachable)) {
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
    // Load isn't ordered by the incarnation: the latest that arrives is kept.
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
    member.since_ = aNow;
  }
  member.entry_ = aEntry;
  NoteChange(aState, aEntry);
}

// First-hand proof of life: an unreachable member is back, and a member of a data centre that is
// back is confirmed.
void NoteHeard(Membership& aState, const HostId& aHost, TimePoint aNow)
{
  const auto found = aState.members_.find(aHost);
  if (found == aState.members_.end()) {
    return;
  }
  auto& member = found->second;
  if (member.awaiting_) {
    member.awaiting_ = false;
    member.readySince_ = aNow;
    ++aState.revision_;
  }
  if (member.entry_.state_ == MemberState::kUnreachable) {
    member.entry_.state_ = MemberState::kAlive;
    member.since_ = aNow;
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
  NoteHeard(aState, aProbe.sender_.host_, aNow);
  ProbeAck ack{ aProbe.sequence_, aState.self_, TakeUpdates(aState) };
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
  NoteHeard(aState, aAck.sender_.host_, aNow);
  const auto relayed = aState.relayed_.find(aAck.sequence_);
  if (relayed != aState.relayed_.end()) {
    ProbeAck ack{ relayed->second.sequence_, aAck.sender_, {} };
    aEffects.messages_.push_back({ relayed->second.asker_, std::move(ack), true });
    aState.relayed_.erase(relayed);
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
  NoteHeard(aState, aRequest.sender_.host_, aNow);
  const auto sequence = aState.nextSequence_++;
  aState.relayed_[sequence] = { aFrom, aRequest.sequence_, aNow };
  Probe probe{ sequence, aState.self_, TakeUpdates(aState) };
  aEffects.messages_.push_back({ aRequest.subjectAddress_, std::move(probe), true });
}

// The whole table, or for another data centre only what it can't learn elsewhere: own members.
std::vector<MemberEntry> TableFor(const Membership& aState, const DataCentreId& aAsker)
{
  std::vector<MemberEntry> entries{ aState.self_ };
  for (const auto& [host, member] : aState.members_) {
    const bool own = IsOwn(aState, member.entry_);
    if (own || aAsker == aState.self_.dataCentre_) {
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
  if (aTable.request_) {
    const bool named = !aTable.members_.empty();
    const Address to = named ? aTable.members_.front().peer_ : aFrom;
    const DataCentreId asker =
      named ? aTable.members_.front().dataCentre_ : aState.self_.dataCentre_;
    aEffects.messages_.push_back({ to, MemberTable{ false, TableFor(aState, asker) }, false });
  }
}

void HandleSummary(Membership& aState,
                   const Summary& aSummary,
                   TimePoint aNow,
                   MembershipEffects& aEffects)
{
  if (aSummary.dataCentre_ == aState.self_.dataCentre_) {
    return;
  }
  MergeAll(aState, aSummary.members_, aNow, aEffects);
  auto& centre = aState.centres_[aSummary.dataCentre_];
  centre.heard_ = aNow;
  if (!centre.reachable_) {
    ++centre.statement_;
    SetReachable(aState, aSummary.dataCentre_, true, aNow, aEffects);
  }
}

std::vector<HostId> OwnHosts(const Membership& aState, bool aLivingOnly)
{
  std::vector<HostId> hosts;
  for (const auto& [host, member] : aState.members_) {
    const auto state = member.entry_.state_;
    const bool probed = IsLiving(state) || (!aLivingOnly && state == MemberState::kUnreachable);
    if (IsOwn(aState, member.entry_) && probed) {
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

// Ends the last probe: without an ack the member is suspected.
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
      aState.probeOrder_ = OwnHosts(aState, false);
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

// Tells some suspected members directly, in random order.
void ProbeSuspects(Membership& aState, MembershipEffects& aEffects)
{
  std::vector<HostId> suspects;
  for (const auto& [host, member] : aState.members_) {
    if (IsOwn(aState, member.entry_) && member.entry_.state_ == MemberState::kSuspect) {
      suspects.push_back(host);
    }
  }
  Shuffle(suspects, aState.random_);
  suspects.resize(std::min<std::size_t>(suspects.size(), aState.settings_.suspectProbes_));
  for (const auto& host : suspects) {
    SendProbe(aState, aState.members_.at(host), aState.nextSequence_++, aEffects);
  }
}

void AskIndirectly(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  auto& probe = aState.probe_;
  if (!probe || probe->acked_ || probe->indirect_ ||
      aNow - probe->sent_ < aState.settings_.indirectAfter_) {
    return;
  }
  probe->indirect_ = true;
  const auto subject = aState.members_.find(probe->host_);
  if (subject == aState.members_.end()) {
    return;
  }
  auto helpers = OwnHosts(aState, true);
  Shuffle(helpers, aState.random_);
  std::uint32_t asked = 0;
  for (const auto& host : helpers) {
    if (host == probe->host_ || asked == aState.settings_.indirectProbes_) {
      continue;
    }
    ++asked;
    ProbeRequest request{ probe->sequence_,
                          aState.self_,
                          probe->host_,
                          subject->second.entry_.peer_,
                          TakeUpdates(aState) };
    aEffects.messages_.push_back(
      { aState.members_.at(host).entry_.peer_, std::move(request), true });
  }
}

// True if no other own member is alive, which is a cut of this node and not the death of all
// others.
bool AllOthersSilent(const Membership& aState)
{
  std::size_t known = 0;
  for (const auto& [host, member] : aState.members_) {
    const auto state = member.entry_.state_;
    if (!IsOwn(aState, member.entry_) || state == MemberState::kLeft ||
        state == MemberState::kDead) {
      continue;
    }
    if (state == MemberState::kAlive) {
      return false;
    }
    ++known;
  }
  return known >= 2;
}

void ExpireStates(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  for (auto it = aState.members_.begin(); it != aState.members_.end();) {
    auto& member = it->second;
    const auto state = member.entry_.state_;
    const auto age = aNow - member.since_;
    const bool own = IsOwn(aState, member.entry_);
    if (own && state == MemberState::kSuspect && age >= aState.settings_.deadAfter_) {
      if (AllOthersSilent(aState)) {
        // Known here only: the members behind the cut are as sure of their own lives.
        member.entry_.state_ = MemberState::kUnreachable;
        member.since_ = aNow;
        ++aState.revision_;
      } else {
        SetState(aState, member, MemberState::kDead, aNow);
        aEffects.events_.push_back({ MembershipEventKind::kDead, it->first.value_ });
      }
    }
    const bool ended = state == MemberState::kDead || state == MemberState::kLeft;
    if (ended && age >= aState.settings_.tombstone_) {
      ++aState.revision_;
      it = aState.members_.erase(it);
    } else {
      ++it;
    }
  }
}

// Time that passed while this process was paused counts for no one.
void ForgivePause(Membership& aState, TimePoint aNow)
{
  const auto gap = aNow - aState.lastStep_;
  if (gap < kPauseGap) {
    return;
  }
  aState.probe_.reset();
  for (auto& [host, member] : aState.members_) {
    if (member.entry_.state_ == MemberState::kSuspect) {
      member.since_ += gap;
    }
  }
  for (auto& [id, centre] : aState.centres_) {
    centre.heard_ += gap;
  }
  aState.nextProbe_ = std::max(aState.nextProbe_, aNow);
}

bool IsKnownAddress(const Membership& aState, const Address& aAddress)
{
  return std::any_of(aState.members_.begin(), aState.members_.end(), [&](const auto& aMember) {
    return aMember.second.entry_.peer_ == aAddress && IsLiving(aMember.second.entry_.state_);
  });
}

void Join(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextJoin_) {
    return;
  }
  const bool alone = IsAlone(aState);
  aState.nextJoin_ =
    aNow + (alone ? aState.settings_.joinInterval_ : aState.settings_.seedInterval_);
  for (const auto& seed : aState.seeds_) {
    if (seed != aState.self_.peer_ && !IsKnownAddress(aState, seed)) {
      aEffects.messages_.push_back({ seed, MemberTable{ true, { aState.self_ } }, false });
    }
  }
}

// Sends news that waits because many members changed at once, to a random member.
void SendBacklog(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextBacklog_ ||
      aState.updates_.size() <= aState.settings_.updatesPerDatagram_) {
    return;
  }
  aState.nextBacklog_ = aNow + aState.settings_.backlogInterval_;
  const auto hosts = OwnHosts(aState, true);
  if (!hosts.empty()) {
    const auto& member = aState.members_.at(hosts[NextRandom(aState.random_) % hosts.size()]);
    SendProbe(aState, member, aState.nextSequence_++, aEffects);
  }
}

// Compares whole tables with one member now and then, for news that probes lost.
void CompareTables(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextTable_) {
    return;
  }
  const auto& settings = aState.settings_;
  const auto members = static_cast<Duration::rep>(aState.members_.size());
  // Soon after the start and then more rarely: nodes that start together miss each other's news.
  const auto interval =
    std::max(settings.tableInterval_, settings.tableIntervalPerMember_ * members);
  aState.tableWait_ = std::min(interval, 2 * aState.tableWait_);
  aState.nextTable_ = aNow + aState.tableWait_;
  const auto hosts = OwnHosts(aState, true);
  if (hosts.empty()) {
    return;
  }
  const auto& peer = aState.members_.at(hosts[NextRandom(aState.random_) % hosts.size()]).entry_;
  aEffects.messages_.push_back(
    { peer.peer_, MemberTable{ true, TableFor(aState, aState.self_.dataCentre_) }, false });
}

// Probes one member that is thought dead, because after a cut both sides think the other dead and
// nobody else would start talking.
void Revive(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  if (aNow < aState.nextRevive_) {
    return;
  }
  aState.nextRevive_ = aNow + aState.settings_.reviveInterval_;
  std::vector<const Member*> dead;
  for (const auto& [host, member] : aState.members_) {
    if (IsOwn(aState, member.entry_) && member.entry_.state_ == MemberState::kDead) {
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
    if (member.awaiting_) {
      ++awaiting[member.entry_.dataCentre_];
    }
  }
  if (awaiting.empty()) {
    return;
  }
  for (auto& [host, member] : aState.members_) {
    if (!member.awaiting_ || member.confirmAt_ > aNow) {
      continue;
    }
    if (awaiting[member.entry_.dataCentre_] > aState.settings_.probedConfirmations_) {
      member.awaiting_ = false;
      member.readySince_ = aNow;
      ++aState.revision_;
    } else {
      member.confirmAt_ = aNow + aState.settings_.probeInterval_;
      SendProbe(aState, member, aState.nextSequence_++, aEffects);
    }
  }
}

// Members for one summary: those that changed, then some unchanged ones in turn.
std::vector<MemberEntry> SummaryMembers(Membership& aState, RemoteCentre& aCentre)
{
  std::vector<MemberEntry> entries{ aState.self_ };
  std::set<HostId> chosen;
  while (!aCentre.pending_.empty() && chosen.size() < aState.settings_.summaryChanges_) {
    const HostId host = aCentre.pending_.front();
    aCentre.pending_.pop_front();
    aCentre.pendingSet_.erase(host);
    const auto found = aState.members_.find(host);
    if (found != aState.members_.end() && chosen.insert(host).second) {
      entries.push_back(found->second.entry_);
    }
  }
  auto it = aState.members_.upper_bound(aState.refreshCursor_);
  std::size_t refreshed = 0;
  for (std::size_t i = 0;
       i < aState.members_.size() && refreshed < aState.settings_.summaryRefresh_;
       ++i) {
    if (it == aState.members_.end()) {
      it = aState.members_.begin();
    }
    if (IsOwn(aState, it->second.entry_)) {
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
  const auto own = RankMembers(aState, kDelegateRole, aState.self_.dataCentre_);
  std::size_t rank = 0;
  while (rank < own.size() && own[rank].host_ != aState.self_.host_) {
    ++rank;
  }
  const bool delegate =
    rank < aState.settings_.delegates_ && aState.self_.state_ != MemberState::kLeft;
  if (delegate && !aState.delegate_) {
    aState.delegateSince_ = aNow;
    for (auto& [id, centre] : aState.centres_) {
      QueueAllMembers(aState, centre);
    }
  }
  aState.delegate_ = delegate;
  if (!delegate) {
    for (auto& [id, centre] : aState.centres_) {
      centre.pending_.clear();
      centre.pendingSet_.clear();
    }
    return;
  }
  ++aState.summaries_;
  for (auto& [id, centre] : aState.centres_) {
    const auto remote = RankMembers(aState, kDelegateRole, id);
    const auto delegates = std::min(remote.size(), aState.settings_.delegates_);
    if (delegates == 0) {
      continue;
    }
    // Both delegates together reach both remote delegates each second.
    const auto& peer = remote[(aState.summaries_ + rank) % delegates];
    Summary summary;
    summary.dataCentre_ = aState.self_.dataCentre_;
    summary.members_ = SummaryMembers(aState, centre);
    aEffects.summaries_.push_back({ peer.address_, std::move(summary), false });
  }
}

void JudgeCentres(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  const auto silence = aState.settings_.centreSilence_;
  if (!aState.delegate_ || aNow - aState.delegateSince_ < silence) {
    return;
  }
  for (auto& [id, centre] : aState.centres_) {
    if (centre.reachable_ && aNow - centre.heard_ >= silence && aNow >= centre.holdUntil_) {
      ++centre.statement_;
      SetReachable(aState, id, false, aNow, aEffects);
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
  state.lastStep_ = aNow;
  state.nextProbe_ = aNow;
  state.nextJoin_ = aNow;
  // Spread over the interval, so that nodes that start together don't act together.
  const auto jitter = [&](Duration aInterval) {
    return Duration(static_cast<Duration::rep>(NextRandom(state.random_) %
                                               static_cast<std::uint64_t>(aInterval.count())));
  };
  state.tableWait_ = aSettings.firstTable_;
  state.nextTable_ = aNow + aSettings.firstTable_ / 2 + jitter(aSettings.firstTable_);
  state.nextRevive_ = aNow + jitter(aSettings.reviveInterval_);
  state.nextSummary_ = aNow + jitter(aSettings.probeInterval_);
  return state;
}

void StepMembership(Membership& aState, TimePoint aNow, MembershipEffects& aEffects)
{
  ForgivePause(aState, aNow);
  aState.lastStep_ = aNow;
  Join(aState, aNow, aEffects);
  AskIndirectly(aState, aNow, aEffects);
  if (aNow >= aState.nextProbe_) {
    aState.nextProbe_ = aNow + aState.settings_.probeInterval_;
    FinishProbe(aState, aNow, aEffects);
    ExpireStates(aState, aNow, aEffects);
    StartProbe(aState, aNow, aEffects);
    ProbeSuspects(aState, aEffects);
    std::erase_if(aState.relayed_,
                  [&](const auto& aRelay) { return aNow - aRelay.second.sent_ > kRelayLifetime; });
  }
  SendBacklog(aState, aNow, aEffects);
  CompareTables(aState, aNow, aEffects);
  Revive(aState, aNow, aEffects);
  if (aNow >= aState.nextSummary_) {
    aState.nextSummary_ = aNow + aState.settings_.probeInterval_;
    SendSummaries(aState, aNow, aEffects);
    JudgeCentres(aState, aNow, aEffects);
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
  } else if (const auto* summary = std::get_if<Summary>(&aMessage)) {
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
  QueueForCentres(aState, self.host_);
}

void AnnounceDeparture(Membership& aState, const HostId& aSuccessor, MembershipEffects& aEffects)
{
  // Several datagrams, because this process won't be there to repeat a lost one.
  constexpr std::size_t kCopies = 8;
  auto& self = aState.self_;
  self.state_ = MemberState::kLeft;
  self.targetState_ = TargetState::kLeft;
  self.successor_ = aSuccessor;
  ++self.incarnation_;
  ++aState.revision_;
  auto hosts = OwnHosts(aState, true);
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
    return IsOwn(aState, aMember.second.entry_);
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
    if (!member.awaiting_ && IsReachableCentre(aState, member.entry_)) {
      add(member.entry_, member.readySince_);
    }
  }
  add(self, aState.selfReadySince_);
  for (auto& [service, targets] : view.targets_) {
    std::sort(targets.begin(), targets.end(), [](const Target& aLeft, const Target& aRight) {
      return aLeft.host_ < aRight.host_;
    });
  }
  // Calls by ids of a host that left go to the host that took its records over.
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
      delegates.resize(std::min(delegates.size(), aState.settings_.delegates_));
    }
  }
  for (const auto& [host, member] : aState.members_) {
    const auto state = member.entry_.state_;
    if (IsLiving(state)) {
      ranking.addresses_[host] = member.entry_.peer_;
    }
    if (IsOwn(aState, member.entry_) && state != MemberState::kAlive &&
        state != MemberState::kLeft) {
      ranking.unreachable_.push_back(host);
    }
  }
  return ranking;
}

} // namespace peridotquay
