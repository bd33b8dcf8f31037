// Actor that runs dissemination and publishes the configuration and its freshness to the data
// plane.
#include "peridotquay/process/ControlActor.h"
#include "peridotquay/process/Events.h"

#include <caf/all.hpp>

namespace peridotquay {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

struct VersionActorState
{
  ControlContext context_;
  Dissemination dissemination_;
  caf::actor platformActor_;
  caf::actor shareActor_;
  caf::actor membershipActor_; ///< Empty until the message that sets it arrives.
};

using VersionActor = caf::stateful_actor<VersionActorState>;

std::uint64_t WallClockMs()
{
  const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(sinceEpoch).count());
}

void LogDisseminationEvent(const DisseminationEvent& aEvent)
{
  using Kind = DisseminationEvent::Kind;
  switch (aEvent.kind_) {
    case Kind::kVersionInForce:
      LogEvent(Event::kVersionInForce, { { "version", aEvent.subject_ } });
      break;
    case Kind::kVersionRejected:
      LogEvent(Event::kVersionRejected, { { "reason", aEvent.subject_ } });
      break;
    case Kind::kFreshnessLost:
      LogEvent(Event::kFreshnessLost);
      break;
    case Kind::kFreshnessRegained:
      LogEvent(Event::kFreshnessRegained);
      break;
    case Kind::kPlatformUnreachable:
      LogEvent(Event::kPlatformUnreachable);
      break;
    case Kind::kPlatformReachable:
      LogEvent(Event::kPlatformReachable);
      break;
  }
}

void PublishStatus(const VersionActorState& aState, TimePoint aNow)
{
  const auto& dissemination = aState.dissemination_;
  ControlStatus status;
  status.version_ = dissemination.versionInForce_;
  const auto freshAsOf = FreshAsOf(dissemination);
  status.freshnessAgeMs_ =
    freshAsOf
      ? static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(aNow - *freshAsOf).count())
      : kUnknownAgeMs;
  status.delegate_ = IsDelegate(dissemination);
  status.platformReachable_ = dissemination.platformReachable_;
  status.minDataCentreVersion_ = dissemination.watermark_;
  aState.context_.status_->versions_.store(std::make_shared<const ControlStatus>(status));
}

void ApplyEffects(VersionActor* aSelf, DisseminationEffects& aEffects);

void StartPlatformCall(VersionActor* aSelf, PlatformCall aCall)
{
  aSelf
    ->request(aSelf->state.platformActor_, caf::infinite, PlatformCallRequest{ std::move(aCall) })
    .then([aSelf](const PlatformAnswer& aAnswer) {
      DisseminationEffects effects;
      HandlePlatformAnswer(aSelf->state.dissemination_, aAnswer, aSelf->clock().now(), effects);
      ApplyEffects(aSelf, effects);
    });
}

void ApplyEffects(VersionActor* aSelf, DisseminationEffects& aEffects)
{
  auto& state = aSelf->state;
  const auto& callbacks = state.context_.callbacks_;
  if (aEffects.config_ != nullptr || aEffects.freshAsOf_) {
    PublishStatus(state, aSelf->clock().now());
  }
  // The configuration is published first: freshness must never be published for a version that
  // isn't in force yet.
  if (aEffects.config_ != nullptr) {
    callbacks.publishConfig_(aEffects.config_);
    aSelf->send(state.shareActor_, ConfigUpdate{ aEffects.config_ });
  }
  if (aEffects.freshAsOf_) {
    callbacks.publishFreshness_(*aEffects.freshAsOf_);
  }
  for (auto& message : aEffects.messages_) {
    callbacks.sendPeer_(message.to_, std::move(message.message_));
  }
  if (!aEffects.contacts_.empty() && state.membershipActor_) {
    aSelf->send(state.membershipActor_, ContactUpdate{ std::move(aEffects.contacts_) });
  }
  for (const auto& event : aEffects.events_) {
    LogDisseminationEvent(event);
  }
  if (aEffects.call_) {
    StartPlatformCall(aSelf, std::move(*aEffects.call_));
  }
}

// Address for answers: the one that the member announced, if it is known. The remote address of a
// connection may have an ephemeral port.
Address ReplyAddress(const VersionActorState& aState, const ReceivedPeerMessage& aReceived)
{
  const auto& ranking = aState.dissemination_.ranking_;
  if (ranking != nullptr) {
    const auto found = ranking->addresses_.find(aReceived.from_.host_);
    if (found != ranking->addresses_.end()) {
      return found->second;
    }
  }
  return aReceived.peer_;
}

caf::behavior MakeVersionBehavior(VersionActor* aSelf)
{
  const auto now = [aSelf] { return aSelf->clock().now(); };
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kControlTickInterval, TickAtom::value);
      DisseminationEffects effects;
      StepDissemination(aSelf->state.dissemination_, now(), WallClockMs(), effects);
      ApplyEffects(aSelf, effects);
      PublishStatus(aSelf->state, now());
    },
    [=](const ReceivedPeerMessage& aReceived) {
      DisseminationEffects effects;
      HandleVersionMessage(aSelf->state.dissemination_,
                           aReceived.from_,
                           ReplyAddress(aSelf->state, aReceived),
                           aReceived.message_,
                           now(),
                           effects);
      ApplyEffects(aSelf, effects);
    },
    [=](const RankingUpdate& aUpdate) {
      SetRanking(aSelf->state.dissemination_, aUpdate.ranking_, now());
    },
    [=](SummaryBatch& aBatch) {
      for (auto& message : aBatch.summaries_) {
        FillSummary(
          aSelf->state.dissemination_, std::get<DataCentreSummary>(message.message_), now());
        aSelf->state.context_.callbacks_.sendPeer_(message.to_, std::move(message.message_));
      }
    },
    [=](const caf::actor& aMembershipActor) { aSelf->state.membershipActor_ = aMembershipActor; },
  };
}

} // namespace

caf::actor SpawnVersionActor(caf::actor_system& aSystem,
                             const ControlContext& aContext,
                             const Dissemination& aState,
                             const caf::actor& aPlatformActor,
                             const caf::actor& aShareActor)
{
  return aSystem.spawn([=](VersionActor* aSelf) {
    aSelf->state.context_ = aContext;
    aSelf->state.dissemination_ = aState;
    aSelf->state.platformActor_ = aPlatformActor;
    aSelf->state.shareActor_ = aShareActor;
    return MakeVersionBehavior(aSelf);
  });
}

} // namespace peridotquay
