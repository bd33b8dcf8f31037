// Actor around membership.
#include "peridotquay/process/ControlActor.h"
#include "peridotquay/process/Events.h"

#include <caf/all.hpp>

namespace peridotquay {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

// Loads alone don't change routes much; the view is republished for them at most this often.
constexpr Duration kLoadInterval = seconds(1);

struct MembershipActorState
{
  ControlContext context_;
  Membership membership_;
  caf::actor versions_;
  caf::actor shares_;
  std::uint64_t publishedRevision_ = 0;
  bool published_ = false;
  TimePoint loadPublished_{};
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
    case MembershipEventKind::kCentreUnreachable:
      LogEvent(Event::kDataCentreUnreachable, { { "data_centre", aEvent.subject_ } });
      break;
    case MembershipEventKind::kCentreReachable:
      LogEvent(Event::kDataCentreReachable, { { "data_centre", aEvent.subject_ } });
      break;
  }
}

void CarryOut(MembershipActor* aSelf, MembershipEffects& aEffects)
{
  const auto& port = aSelf->state.context_.port_;
  for (auto& message : aEffects.messages_) {
    if (message.datagram_) {
      port.sendDatagram_(message.to_, std::move(message.message_));
    } else {
      port.sendPeer_(message.to_, std::move(message.message_));
    }
  }
  if (!aEffects.summaries_.empty()) {
    aSelf->send(aSelf->state.versions_, SummaryBatch{ std::move(aEffects.summaries_) });
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
  const bool loads = membership.loadChanged_ && aNow - state.loadPublished_ >= kLoadInterval;
  if (!changed && !loads) {
    return;
  }
  membership.loadChanged_ = false;
  state.loadPublished_ = aNow;
  state.context_.port_.publishTargets_(
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
    aSelf->send(state.versions_, RankingUpdate{ shared });
    aSelf->send(state.shares_, RankingUpdate{ shared });
  }
}

caf::behavior RunMembership(MembershipActor* aSelf)
{
  const auto now = [aSelf] { return aSelf->clock().now(); };
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kControlStep, TickAtom::value);
      MembershipEffects effects;
      StepMembership(aSelf->state.membership_, now(), effects);
      CarryOut(aSelf, effects);
      Publish(aSelf, now());
    },
    [=](const ReceivedPeerMessage& aArrival) {
      MembershipEffects effects;
      HandleMembershipMessage(
        aSelf->state.membership_, aArrival.peer_, aArrival.message_, now(), effects);
      CarryOut(aSelf, effects);
    },
    [=](const TargetAnnouncement& aNews) {
      AnnounceTargetState(aSelf->state.membership_, aNews.state_, aNews.slots_, aNews.load_, now());
    },
    [=](const DepartureAnnouncement& aNews) {
      MembershipEffects effects;
      AnnounceDeparture(aSelf->state.membership_, aNews.successor_, effects);
      CarryOut(aSelf, effects);
      Publish(aSelf, now());
    },
    [=](const ContactUpdate& aNews) { AddContacts(aSelf->state.membership_, aNews.contacts_); },
  };
}

} // namespace

caf::actor SpawnMembershipActor(caf::actor_system& aSystem,
                                const ControlContext& aContext,
                                const Membership& aState,
                                const caf::actor& aVersions,
                                const caf::actor& aShares)
{
  return aSystem.spawn([=](MembershipActor* aSelf) {
    aSelf->state.context_ = aContext;
    aSelf->state.membership_ = aState;
    aSelf->state.versions_ = aVersions;
    aSelf->state.shares_ = aShares;
    return RunMembership(aSelf);
  });
}

} // namespace peridotquay
