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
constexpr Duration kTokenRequestTimeout = seconds(2);

// A request of the data path that is under way.
struct PendingTokenRequest
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
  std::uint64_t nextNonce_ = 0;                        ///< Of requests to the leader.
  std::map<std::uint64_t, PendingTokenRequest> asked_; ///< By nonce of the request to the leader.
};

using ShareActor = caf::stateful_actor<ShareActorState>;

void ApplyEffects(ShareActor* aSelf, ShareLeaseEffects& aEffects)
{
  const auto& lease = aSelf->state.lease_;
  if (aEffects.acquired_) {
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
      ApplyEffects(aSelf, effects);
    });
}

void DeliverGrant(ShareActor* aSelf, ShareGrant aGrant)
{
  const auto found = aSelf->state.asked_.find(aGrant.nonce_);
  if (found == aSelf->state.asked_.end()) {
    return;
  }
  const auto pending = found->second;
  aSelf->state.asked_.erase(found);
  aGrant.nonce_ = pending.nonce_;
  aSelf->state.context_.callbacks_.deliverGrant_(std::move(aGrant), pending.asked_);
}

void RequestTokens(ShareActor* aSelf, const TokenRequest& aTokenRequest)
{
  auto& state = aSelf->state;
  // Nonces on the wire begin at a random number. A late grant for an earlier process of this host
  // must not match a request of this one, whose lifetime is counted from later.
  auto request = aTokenRequest.request_;
  request.nonce_ = state.nextNonce_++;
  state.asked_[request.nonce_] = { aTokenRequest.request_.nonce_, aTokenRequest.asked_ };
  const auto& ranking = state.lease_.ranking_;
  if (ranking == nullptr) {
    return;
  }
  if (ranking->shareLeader_.host_ == state.lease_.self_) {
    DeliverGrant(aSelf,
                 HandleShareRequest(
                   state.lease_, state.ledger_, state.lease_.self_, request, aSelf->clock().now()));
  } else {
    state.context_.callbacks_.sendPeer_(ranking->shareLeader_.address_, request);
  }
}

void AnswerShareRequest(ShareActor* aSelf,
                        const ReceivedPeerMessage& aReceived,
                        const ShareRequest& aRequest)
{
  auto& state = aSelf->state;
  const auto grant = HandleShareRequest(
    state.lease_, state.ledger_, aReceived.from_.host_, aRequest, aSelf->clock().now());
  Address to = aReceived.peer_;
  if (state.lease_.ranking_ != nullptr) {
    const auto found = state.lease_.ranking_->addresses_.find(aReceived.from_.host_);
    if (found != state.lease_.ranking_->addresses_.end()) {
      to = found->second;
    }
  }
  state.context_.callbacks_.sendPeer_(to, grant);
}

void RunTick(ShareActor* aSelf)
{
  auto& state = aSelf->state;
  const auto now = aSelf->clock().now();
  ShareLeaseEffects effects;
  StepShareLease(state.lease_, state.ledger_, now, effects);
  ApplyEffects(aSelf, effects);
  std::erase_if(state.asked_, [&](const auto& aAsked) {
    return now - aAsked.second.asked_ > kTokenRequestTimeout;
  });
  ControlStatus status;
  status.shareLeader_ = state.lease_.held_;
  state.context_.status_->shares_.store(std::make_shared<const ControlStatus>(status));
}

caf::behavior MakeShareBehavior(ShareActor* aSelf)
{
  aSelf->send(aSelf, TickAtom::value);
  return {
    [=](TickAtom) {
      aSelf->delayed_send(aSelf, kControlTickInterval, TickAtom::value);
      RunTick(aSelf);
    },
    [=](const ReceivedPeerMessage& aReceived) {
      if (const auto* request = std::get_if<ShareRequest>(&aReceived.message_)) {
        AnswerShareRequest(aSelf, aReceived, *request);
      } else if (const auto* grant = std::get_if<ShareGrant>(&aReceived.message_)) {
        DeliverGrant(aSelf, *grant);
      }
    },
    [=](const TokenRequest& aTokenRequest) { RequestTokens(aSelf, aTokenRequest); },
    [=](const RankingUpdate& aUpdate) { aSelf->state.lease_.ranking_ = aUpdate.ranking_; },
    [=](const ConfigUpdate& aUpdate) { aSelf->state.lease_.config_ = aUpdate.config_; },
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
    return MakeShareBehavior(aSelf);
  });
}

} // namespace peridotquay
