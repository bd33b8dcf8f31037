// Actors of the control side. Each wraps one decision module, holds its state and uses the actor
// clock. Only files of the control side and its tests include this header, because it includes CAF.
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

/// A frame or datagram from a peer.
struct ReceivedPeerMessage
{
  Hello from_; ///< Empty for datagrams.
  Address peer_;
  PeerMessage message_;
};

/// The local target's announcement.
struct TargetAnnouncement
{
  TargetState state_ = TargetState::kCold;
  std::uint32_t slots_ = 0;
  double load_ = 0;
};

/// This node left.
struct DepartureAnnouncement
{
  HostId successor_;
};

/// Membership changed.
struct RankingUpdate
{
  std::shared_ptr<const MemberRanking> ranking_;
};

/// A configuration came into force.
struct ConfigUpdate
{
  std::shared_ptr<const Config> config_;
};

/// Addresses found in contact rows.
struct ContactUpdate
{
  std::vector<Address> contacts_;
};

/// Summaries that lack version and freshness.
struct SummaryBatch
{
  std::vector<ControlMessage> summaries_;
};

/// The data path asks for tokens.
struct TokenRequest
{
  ShareRequest request_;
  TimePoint asked_{};
};

/// A platform call for a platform actor, which answers with a PlatformAnswer.
struct PlatformCallRequest
{
  PlatformCall call_;
};

/// Status as of the last step of each actor. Each slot has one writer and holds immutable values.
struct ControlStatusSlots
{
  std::atomic<std::shared_ptr<const ControlStatus>> membership_;
  std::atomic<std::shared_ptr<const ControlStatus>> versions_;
  std::atomic<std::shared_ptr<const ControlStatus>> shares_;
};

/// What the actors have in common. Immutable once the actors run.
struct ControlContext
{
  DataPlaneCallbacks port_;
  std::shared_ptr<ControlStatusSlots> status_;
};

/// Interval of the steps of each actor. Bounds how late a timer acts; 100 ms is a third of the
/// shortest one (indirect probes after 300 ms) and keeps an idle node below 30 wake-ups a second.
inline constexpr Duration kControlStep = milliseconds(100);

/// Runs membership. Tells the other two actors of rankings and of summaries to complete.
caf::actor SpawnMembershipActor(caf::actor_system& aSystem,
                                const ControlContext& aContext,
                                const Membership& aState,
                                const caf::actor& aVersions,
                                const caf::actor& aShares);

/// Runs dissemination. aPlatform answers PlatformCallRequest with PlatformAnswer. Contacts go to
/// the actor in the first message of type caf::actor.
caf::actor SpawnVersionActor(caf::actor_system& aSystem,
                             const ControlContext& aContext,
                             const Dissemination& aState,
                             const caf::actor& aPlatform,
                             const caf::actor& aShares);

/// Runs the share lease and its ledger.
caf::actor SpawnShareActor(caf::actor_system& aSystem,
                           const ControlContext& aContext,
                           const ShareLease& aState,
                           const caf::actor& aPlatform);

/// Runs platform calls one at a time in a thread of its own.
caf::actor SpawnPlatformActor(caf::actor_system& aSystem, std::shared_ptr<Platform> aPlatform);

} // namespace peridotquay

// The messages stay within one process, so they need no serialization.
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
