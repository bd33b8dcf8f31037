// Actor around the share lease and its ledger.
#include "peridotquay/process/ControlActor.h"
#include "peridotquay/process/Events.h"
#include "peridotquay/version/MembershipRank.h"

#include <caf/all.hpp>

#include <map>

namespace peridotquay {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

// A request without an answer is forgotten after this; its grant would have expired.
constexpr Duration kAskLifetime = seconds(2);

// A request of the data path that is under way.
struct PendingAsk
{
  std::uint64_t nonce_ = 0; ///< Of the data path.
  TimePoint asked_{};
};

struct ShareActorState
{
  ControlContext context_;
  ShareLease lease_;
  ShareLedger ledger_;
  caf::actor platform_;
  std::uint64_t nextNonce_ = 0;               ///< Of requests to the leader.
  std::map<std::uint64_t, PendingAsk> asked_; ///< By nonce of the request to the leader.
};

using ShareActor = caf::stateful_actor<ShareActorState>;

void CarryOut(ShareActor* aSelf, ShareLeaseEffects& aEffects)
{
  const auto& lease = aSelf->state.lease_;
  if (aEffects.taken_) {
    LogEvent(Event::kShareLeaseTaken, { { "epoch", std::to_string(lease.row_.epoch_) } });
  }
  if (aEffects.lost_) {
    LogEvent(Event::kShareLeaseLost, { { "epoch", std::to_string(lease.row_.epoch_) } });
  }
  if (!aEffects.call_) {
    return;
  }
  aSelf
    ->request(
      aSelf->state.platform_, caf::infinite, PlatformCallRequest{ std::move(*aEffects.call_) })
    .then([aSelf](const PlatformAnswer& aAnswer) {
      ShareLeaseEffects effects;
      HandleShareAnswer(
        aSelf->state.lease_, aSelf->state.ledger_, aAnswer, aSelf->clock().now(), effects);
      CarryOut(aSelf, effects);
    });
}

void Deliver(ShareActor* aSelf, ShareGrant aGrant)
{
  const auto found = aSelf->state.asked_.find(aGrant.nonce_);
  if (found == aSelf->state.asked_.end()) {
    return;
  }
  const auto ask = found->second;
  aSelf->state.asked_.erase(found);
  aGrant.nonce_ = ask.nonce_;
  aSelf->state.context_.port_.deliverGrant_(std::move(aGrant), ask.asked_);
}

void AskLeader(ShareActor* aSelf, const TokenRequest& aAsk)
{
  auto& state = aSelf->state;
  // Nonces on the wire begin at a random number. A late grant for an earlier process of this host
  // must not match a request of this one, whose lifetime is counted from later.
  auto request = aAsk.request_;
  request.nonce_ = state.nextNonce_++;
  state.asked_[request.nonce_] = { aAsk.request_.nonce_, aAsk.asked_ };
  const auto& ranking = state.lease_.ranking_;
  if (ranking == nullptr) {
    return;
  }
  if (ranking->shareLeader_.host_ == state.lease_.self_) {
    Deliver(aSelf,
            HandleShareRequest(
              state.lease_, state.ledger_, state.lease_.self_, request, aSelf->clock().now()));
  } else {
    state.context_.port_.sendPeer_(ranking->shareLeader_.address_, request);
  }
}

void AnswerHost(ShareActor* aSelf,
                const ReceivedPeerMessage& aArrival,
                const ShareRequest& aRequest)
{
  auto& state = aSelf->state;
  const auto grant = HandleShareRequest(
    state.lease_, state.ledger_, aArrival.from_.host_, aRequest, aSelf->clock().now());
  Address to = aArrival.peer_;
  if (state.lease_.ranking_ != nullptr) {
    const auto found = state.lease_.ranking_->addresses_.find(aArrival.from_.host_);
    if (found != state.lease_.ranking_->addresses_.end()) {
      to = found->second;
    }
  }
  state.context_.port_.sendPeer_(to, grant);
}

void Step(ShareActor* aSelf)
{
  auto& state = aSelf->state;
  const auto now = aSelf->clock().now();
  ShareLeaseEffects effects;
  StepShareLease(state.lease_, state.ledger_, now, effects);
  CarryOut(aSelf, effects);
  std::erase_if(state.asked_,
                [&](const auto& aAsked) { return now - aAsked.second.asked_ > kAskLifetime; });
  ControlStatus status;
  status.shareLeader_ = state.lease_.held_;
  state.context_.status_->shares_.store(std::make_shared<const ControlStatus>(status));
}

caf::behavior RunShares(ShareActor* aSelf)
{
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kControlStep, TickAtom::value);
      Step(aSelf);
    },
    [=](const ReceivedPeerMessage& aArrival) {
      if (const auto* request = std::get_if<ShareRequest>(&aArrival.message_)) {
        AnswerHost(aSelf, aArrival, *request);
      } else if (const auto* grant = std::get_if<ShareGrant>(&aArrival.message_)) {
        Deliver(aSelf, *grant);
      }
    },
    [=](const TokenRequest& aAsk) { AskLeader(aSelf, aAsk); },
    [=](const RankingUpdate& aNews) { aSelf->state.lease_.ranking_ = aNews.ranking_; },
    [=](const ConfigUpdate& aNews) { aSelf->state.lease_.config_ = aNews.config_; },
  };
}

} // namespace

caf::actor SpawnShareActor(caf::actor_system& aSystem,
                           const ControlContext& aContext,
                           const ShareLease& aState,
                           const caf::actor& aPlatform)
{
  return aSystem.spawn([=](ShareActor* aSelf) {
    aSelf->state.context_ = aContext;
    aSelf->state.lease_ = aState;
    aSelf->state.platform_ = aPlatform;
    aSelf->state.nextNonce_ = NextRandom(aSelf->state.lease_.random_);
    return RunShares(aSelf);
  });
}

} // namespace peridotquay
