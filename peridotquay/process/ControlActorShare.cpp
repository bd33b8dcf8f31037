// Actor that runs the share lease and its ledger, and forwards token requests of the data plane to
// the share leader.
#include "peridotquay/process/ControlActor.h"
#include "peridotquay/process/Events.h"
#include "peridotquay/version/MembershipRank.h"

#include <caf/all.hpp>

#include <map>

namespace peridotquay {

namespace {

using TickAtom = caf::atom_constant<caf::atom("tick")>;

// Token requests without an answer are removed after this time; their grants would have expired.
constexpr Duration kTokenRequestTimeout = seconds(2);

// Token request of the data plane that hasn't been answered yet.
struct PendingTokenRequest
{
  std::uint64_t nonce_ = 0; ///< Nonce that the data plane chose.
  TimePoint requestedAt_{};
};

struct ShareActorState
{
  ControlContext context_;
  ShareLease lease_;
  ShareLedger ledger_;
  caf::actor platformActor_;
  std::uint64_t nextNonce_ = 0; ///< For requests to the share leader.
  std::map<std::uint64_t, PendingTokenRequest>
    pendingRequests_; ///< By nonce of the request to the share leader.
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
      aSelf->state.platformActor_, caf::infinite, PlatformCallRequest{ std::move(*aEffects.call_) })
    .then([aSelf](const PlatformAnswer& aAnswer) {
      ShareLeaseEffects effects;
      HandleShareAnswer(
        aSelf->state.lease_, aSelf->state.ledger_, aAnswer, aSelf->clock().now(), effects);
      ApplyEffects(aSelf, effects);
    });
}

// Passes a grant to the data plane if it answers a pending request.
void DeliverGrant(ShareActor* aSelf, ShareGrant aGrant)
{
  const auto found = aSelf->state.pendingRequests_.find(aGrant.nonce_);
  if (found == aSelf->state.pendingRequests_.end()) {
    return;
  }
  const auto pending = found->second;
  aSelf->state.pendingRequests_.erase(found);
  aGrant.nonce_ = pending.nonce_;
  aSelf->state.context_.callbacks_.deliverGrant_(std::move(aGrant), pending.requestedAt_);
}

void RequestTokens(ShareActor* aSelf, const TokenRequest& aTokenRequest)
{
  auto& state = aSelf->state;
  // The request gets a nonce from a sequence that begins at a random number. Otherwise a late grant
  // for an earlier process of this host could match a newer request of this process, and the
  // lifetime of the grant would be counted from a later time.
  auto request = aTokenRequest.request_;
  request.nonce_ = state.nextNonce_++;
  state.pendingRequests_[request.nonce_] = { aTokenRequest.request_.nonce_,
                                             aTokenRequest.requestedAt_ };
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
  std::erase_if(state.pendingRequests_, [&](const auto& aPending) {
    return now - aPending.second.requestedAt_ > kTokenRequestTimeout;
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
                           const caf::actor& aPlatformActor)
{
  return aSystem.spawn([=](ShareActor* aSelf) {
    aSelf->state.context_ = aContext;
    aSelf->state.lease_ = aState;
    aSelf->state.platformActor_ = aPlatformActor;
    aSelf->state.nextNonce_ = NextRandom(aSelf->state.lease_.random_);
    return MakeShareBehavior(aSelf);
  });
}

} // namespace peridotquay
