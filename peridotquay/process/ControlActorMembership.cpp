// Actor that runs membership and publishes the targets to the data plane.
#include "peridotquay/process/ControlActor.h"
#include "peridotquay/process/Events.h"

#include <caf/all.hpp>

namespace peridotquay {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

// Minimum interval between publications if only loads changed, because loads alone affect routing
// little.
constexpr Duration kLoadPublishInterval = seconds(1);

struct MembershipActorState
{
  ControlContext context_;
  Membership membership_;
  caf::actor versionActor_;
  caf::actor shareActor_;
  std::uint64_t publishedRevision_ = 0;
  bool published_ = false;
  TimePoint loadPublishedAt_{};
  MemberRanking ranking_;
};

using MembershipActor = caf::stateful_actor<MembershipActorState>;

void LogMembershipEvent(const MembershipEvent& aEvent)
{
  switch (aEvent.kind_) {
    case MembershipEventKind::kJoined:
      LogEvent(Event::kMemberJoined, { { "host", aEvent.subject_ } });
      break;
    case MembershipEventKind::kSuspected:
      LogEvent(Event::kMemberSuspected, { { "host", aEvent.subject_ } });
      break;
    case MembershipEventKind::kDead:
      LogEvent(Event::kMemberDead, { { "host", aEvent.subject_ } });
      break;
    case MembershipEventKind::kRefuted:
      LogEvent(Event::kMemberRefuted, { { "host", aEvent.subject_ } });
      break;
    case MembershipEventKind::kDataCentreUnreachable:
      LogEvent(Event::kDataCentreUnreachable, { { "data_centre", aEvent.subject_ } });
      break;
    case MembershipEventKind::kDataCentreReachable:
      LogEvent(Event::kDataCentreReachable, { { "data_centre", aEvent.subject_ } });
      break;
  }
}

void ApplyEffects(MembershipActor* aSelf, MembershipEffects& aEffects)
{
  const auto& callbacks = aSelf->state.context_.callbacks_;
  for (auto& message : aEffects.messages_) {
    if (message.datagram_) {
      callbacks.sendDatagram_(message.to_, std::move(message.message_));
    } else {
      callbacks.sendPeer_(message.to_, std::move(message.message_));
    }
  }
  if (!aEffects.summaries_.empty()) {
    aSelf->send(aSelf->state.versionActor_, SummaryBatch{ std::move(aEffects.summaries_) });
  }
  for (const auto& event : aEffects.events_) {
    LogMembershipEvent(event);
  }
}

void PublishStatus(const MembershipActorState& aState)
{
  ControlStatus status;
  status.membersAlive_ = 1;
  for (const auto& [host, member] : aState.membership_.members_) {
    if (member.entry_.state_ == MemberState::kAlive) {
      ++status.membersAlive_;
    } else if (member.entry_.state_ == MemberState::kSuspect) {
      ++status.membersSuspect_;
    }
  }
  aState.context_.status_->membership_.store(std::make_shared<const ControlStatus>(status));
}

void Publish(MembershipActor* aSelf, TimePoint aNow)
{
  auto& state = aSelf->state;
  auto& membership = state.membership_;
  const bool changed = !state.published_ || membership.revision_ != state.publishedRevision_;
  const bool loadsDue =
    membership.loadChanged_ && aNow - state.loadPublishedAt_ >= kLoadPublishInterval;
  if (!changed && !loadsDue) {
    return;
  }
  membership.loadChanged_ = false;
  state.loadPublishedAt_ = aNow;
  state.context_.callbacks_.publishTargets_(
    std::make_shared<const TargetView>(MakeTargetView(membership)));
  if (!changed) {
    return;
  }
  state.published_ = true;
  state.publishedRevision_ = membership.revision_;
  PublishStatus(state);
  auto ranking = MakeMemberRanking(membership);
  if (ranking != state.ranking_) {
    state.ranking_ = ranking;
    const auto shared = std::make_shared<const MemberRanking>(std::move(ranking));
    aSelf->send(state.versionActor_, RankingUpdate{ shared });
    aSelf->send(state.shareActor_, RankingUpdate{ shared });
  }
}

caf::behavior MakeMembershipBehavior(MembershipActor* aSelf)
{
  const auto now = [aSelf] { return aSelf->clock().now(); };
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kControlTickInterval, TickAtom::value);
      MembershipEffects effects;
      StepMembership(aSelf->state.membership_, now(), effects);
      ApplyEffects(aSelf, effects);
      Publish(aSelf, now());
    },
    [=](const ReceivedPeerMessage& aReceived) {
      MembershipEffects effects;
      HandleMembershipMessage(
        aSelf->state.membership_, aReceived.peer_, aReceived.message_, now(), effects);
      ApplyEffects(aSelf, effects);
    },
    [=](const TargetAnnouncement& aUpdate) {
      AnnounceTargetState(
        aSelf->state.membership_, aUpdate.state_, aUpdate.slots_, aUpdate.load_, now());
    },
    [=](const DepartureAnnouncement& aUpdate) {
      MembershipEffects effects;
      AnnounceDeparture(aSelf->state.membership_, aUpdate.successor_, effects);
      ApplyEffects(aSelf, effects);
      Publish(aSelf, now());
    },
    [=](const ContactUpdate& aUpdate) { AddContacts(aSelf->state.membership_, aUpdate.contacts_); },
  };
}

} // namespace

caf::actor SpawnMembershipActor(caf::actor_system& aSystem,
                                const ControlContext& aContext,
                                const Membership& aState,
                                const caf::actor& aVersionActor,
                                const caf::actor& aShareActor)
{
  return aSystem.spawn([=](MembershipActor* aSelf) {
    aSelf->state.context_ = aContext;
    aSelf->state.membership_ = aState;
    aSelf->state.versionActor_ = aVersionActor;
    aSelf->state.shareActor_ = aShareActor;
    return MakeMembershipBehavior(aSelf);
  });
}

} // namespace peridotquay
