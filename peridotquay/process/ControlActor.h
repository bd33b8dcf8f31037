// Actors of the control plane. Each one runs a decision module (membership, dissemination or the
// share lease), owns its state and takes the time from the clock of the actor system. Only files of
// the control plane and its tests include this header, because it includes CAF.
#pragma once

#include "peridotquay/process/ControlPlane.h"
#include "peridotquay/process/PlatformCall.h"
#include "peridotquay/process/ShareLease.h"
#include "peridotquay/version/Dissemination.h"
#include "peridotquay/version/Membership.h"

#include <caf/actor.hpp>
#include <caf/actor_system.hpp>
#include <caf/allowed_unsafe_message_type.hpp>

#include <atomic>
#include <memory>
#include <vector>

namespace peridotquay {

/// A message that a peer sent in a frame or a datagram.
struct ReceivedPeerMessage
{
  Hello from_;   ///< Identity from the peer's handshake; empty for datagrams.
  Address peer_; ///< Remote address.
  PeerMessage message_;
};

/// The local target announced its state, its number of slots and its load.
struct TargetAnnouncement
{
  TargetState state_ = TargetState::kCold;
  std::uint32_t slots_ = 0;
  double load_ = 0;
};

/// This node leaves the membership. The successor takes over its request records.
struct DepartureAnnouncement
{
  HostId successor_;
};

/// The ranking of the members changed. It determines the delegates and the share leader.
struct RankingUpdate
{
  std::shared_ptr<const MemberRanking> ranking_;
};

/// A configuration came into force.
struct ConfigUpdate
{
  std::shared_ptr<const Config> config_;
};

/// Addresses of hosts from the contact rows of the platform.
struct ContactUpdate
{
  std::vector<Address> contacts_;
};

/// Data centre summaries from membership. The version actor adds the version and the freshness,
/// then sends them.
struct SummaryBatch
{
  std::vector<ControlMessage> summaries_;
};

/// The data plane requests tokens from the share leader.
struct TokenRequest
{
  ShareRequest request_;
  TimePoint requestedAt_{};
};

/// Asks the platform actor to run a call. It answers with a PlatformAnswer.
struct PlatformCallRequest
{
  PlatformCall call_;
};

/// Latest status of each actor. Each slot is written by one actor and holds immutable values.
struct ControlStatusSlots
{
  std::atomic<std::shared_ptr<const ControlStatus>> membership_;
  std::atomic<std::shared_ptr<const ControlStatus>> versions_;
  std::atomic<std::shared_ptr<const ControlStatus>> shares_;
};

/// Callbacks and status slots that the actors share. Not changed after the actors are spawned.
struct ControlContext
{
  DataPlaneCallbacks callbacks_;
  std::shared_ptr<ControlStatusSlots> status_;
};

/// Interval between the ticks of each actor, and so the maximum delay of a timer: a third of the
/// shortest timer (indirect probes after 300 ms). An idle node stays below 30 wake-ups a second.
inline constexpr Duration kControlTickInterval = milliseconds(100);

/// Spawns the actor that runs membership. It sends rankings to aVersionActor and aShareActor, and
/// summaries to aVersionActor.
caf::actor SpawnMembershipActor(caf::actor_system& aSystem,
                                const ControlContext& aContext,
                                const Membership& aState,
                                const caf::actor& aVersionActor,
                                const caf::actor& aShareActor);

/// Spawns the actor that runs dissemination. aPlatformActor must answer PlatformCallRequest with
/// PlatformAnswer. The membership actor, which receives the contacts, is spawned later and is set
/// by a message of type caf::actor.
caf::actor SpawnVersionActor(caf::actor_system& aSystem,
                             const ControlContext& aContext,
                             const Dissemination& aState,
                             const caf::actor& aPlatformActor,
                             const caf::actor& aShareActor);

/// Spawns the actor that runs the share lease and its ledger. aPlatformActor must answer
/// PlatformCallRequest with PlatformAnswer.
caf::actor SpawnShareActor(caf::actor_system& aSystem,
                           const ControlContext& aContext,
                           const ShareLease& aState,
                           const caf::actor& aPlatformActor);

/// Spawns the actor that runs platform calls, one at a time, in a thread of its own.
caf::actor SpawnPlatformActor(caf::actor_system& aSystem, std::shared_ptr<Platform> aPlatform);

} // namespace peridotquay

// These messages stay within one process, so they need no serialization.
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::ReceivedPeerMessage)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::TargetAnnouncement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::DepartureAnnouncement)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::RankingUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::ConfigUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::ContactUpdate)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::SummaryBatch)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::TokenRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::PlatformCallRequest)
CAF_ALLOW_UNSAFE_MESSAGE_TYPE(peridotquay::PlatformAnswer)
