// Actor around dissemination.
#include "peridotquay/process/ControlActor.h"
#include "peridotquay/process/Events.h"

#include <caf/all.hpp>

namespace peridotquay {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

struct VersionActorState
{
  ControlContext context_;
  Dissemination versions_;
  caf::actor platform_;
  caf::actor shares_;
  caf::actor membership_; ///< Empty until it is told.
};

using VersionActor = caf::stateful_actor<VersionActorState>;

std::uint64_t WallMs()
{
  const auto since = std::chrono::system_clock::now().time_since_epoch();
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(since).count());
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
  const auto& versions = aState.versions_;
  ControlStatus status;
  status.version_ = versions.inForce_;
  const auto fresh = FreshUntil(versions);
  status.freshnessAgeMs_ =
    fresh ? static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(aNow - *fresh).count())
          : kUnknownAgeMs;
  status.delegate_ = IsDelegate(versions);
  status.platformReachable_ = versions.platformReachable_;
  status.minDataCentreVersion_ = versions.watermark_;
  aState.context_.status_->versions_.store(std::make_shared<const ControlStatus>(status));
}

void CarryOut(VersionActor* aSelf, DisseminationEffects& aEffects);

void Ask(VersionActor* aSelf, PlatformCall aCall)
{
  aSelf->request(aSelf->state.platform_, caf::infinite, PlatformCallRequest{ std::move(aCall) })
    .then([aSelf](const PlatformAnswer& aAnswer) {
      DisseminationEffects effects;
      HandlePlatformAnswer(aSelf->state.versions_, aAnswer, aSelf->clock().now(), effects);
      CarryOut(aSelf, effects);
    });
}

void CarryOut(VersionActor* aSelf, DisseminationEffects& aEffects)
{
  auto& state = aSelf->state;
  const auto& port = state.context_.port_;
  if (aEffects.config_ != nullptr || aEffects.freshUntil_) {
    PublishStatus(state, aSelf->clock().now());
  }
  // The configuration goes first: freshness must never be published for a version not in force yet.
  if (aEffects.config_ != nullptr) {
    port.publishConfig_(aEffects.config_);
    aSelf->send(state.shares_, ConfigUpdate{ aEffects.config_ });
  }
  if (aEffects.freshUntil_) {
    port.publishFreshness_(*aEffects.freshUntil_);
  }
  for (auto& message : aEffects.messages_) {
    port.sendPeer_(message.to_, std::move(message.message_));
  }
  if (!aEffects.contacts_.empty() && state.membership_) {
    aSelf->send(state.membership_, ContactUpdate{ std::move(aEffects.contacts_) });
  }
  for (const auto& event : aEffects.events_) {
    LogDisseminationEvent(event);
  }
  if (aEffects.call_) {
    Ask(aSelf, std::move(*aEffects.call_));
  }
}

// Address that answers reach: the member's own one if known, since a connection's remote address
// may be an ephemeral port.
Address ReplyAddress(const VersionActorState& aState, const ReceivedPeerMessage& aArrival)
{
  const auto& ranking = aState.versions_.ranking_;
  if (ranking != nullptr) {
    const auto found = ranking->addresses_.find(aArrival.from_.host_);
    if (found != ranking->addresses_.end()) {
      return found->second;
    }
  }
  return aArrival.peer_;
}

caf::behavior RunVersions(VersionActor* aSelf)
{
  const auto now = [aSelf] { return aSelf->clock().now(); };
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kControlStep, TickAtom::value);
      DisseminationEffects effects;
      StepDissemination(aSelf->state.versions_, now(), WallMs(), effects);
      CarryOut(aSelf, effects);
      PublishStatus(aSelf->state, now());
    },
    [=](const ReceivedPeerMessage& aArrival) {
      DisseminationEffects effects;
      HandleVersionMessage(aSelf->state.versions_,
                           aArrival.from_,
                           ReplyAddress(aSelf->state, aArrival),
                           aArrival.message_,
                           now(),
                           effects);
      CarryOut(aSelf, effects);
    },
    [=](const RankingUpdate& aNews) { SetRanking(aSelf->state.versions_, aNews.ranking_, now()); },
    [=](SummaryBatch& aBatch) {
      for (auto& message : aBatch.summaries_) {
        FillSummary(aSelf->state.versions_, std::get<DataCentreSummary>(message.message_), now());
        aSelf->state.context_.port_.sendPeer_(message.to_, std::move(message.message_));
      }
    },
    [=](const caf::actor& aMembership) { aSelf->state.membership_ = aMembership; },
  };
}

} // namespace

caf::actor SpawnVersionActor(caf::actor_system& aSystem,
                             const ControlContext& aContext,
                             const Dissemination& aState,
                             const caf::actor& aPlatform,
                             const caf::actor& aShares)
{
  return aSystem.spawn([=](VersionActor* aSelf) {
    aSelf->state.context_ = aContext;
    aSelf->state.versions_ = aState;
    aSelf->state.platform_ = aPlatform;
    aSelf->state.shares_ = aShares;
    return RunVersions(aSelf);
  });
}

} // namespace peridotquay
