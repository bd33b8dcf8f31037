// Interface between the socket thread of a node and its control side (membership, versions,
// shares).
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/TargetView.h"

#include <functional>
#include <memory>
#include <string>

namespace peridotquay {

class EventLoop;
struct LocalTarget;

/// What the control side calls on the socket side. Each function may be called from any thread and
/// doesn't block.
struct DataPlaneCallbacks
{
  /// Sends a frame to a host's peer address, connecting if needed. Lost if the host can't be
  /// reached.
  std::function<void(const Address&, PeerMessage)> sendPeer_;
  /// Sends a datagram.
  std::function<void(const Address&, PeerMessage)> sendDatagram_;
  /// Puts a configuration in force on the data path. Versions only grow.
  std::function<void(std::shared_ptr<const Config>)> publishConfig_;
  /// Replaces the view of targets on the data path.
  std::function<void(std::shared_ptr<const TargetView>)> publishTargets_;
  /// States up to which time the configuration is known to have been the latest.
  std::function<void(TimePoint)> publishFreshness_;
  /// Hands over tokens. The time is when the request for them was made, by this node's clock.
  std::function<void(ShareGrant, TimePoint)> deliverGrant_;
  /// States what the local target announced, where it announces itself to the control side.
  std::function<void(const LocalTarget&)> setTarget_;
  /// Loop of the socket thread, for a control side that runs on it.
  EventLoop* loop_ = nullptr;
};

/// Status of the control side, for the admin endpoint.
struct ControlStatus
{
  Version version_ = 0;
  std::uint64_t freshnessAgeMs_ = 0;
  std::uint32_t membersAlive_ = 0;
  std::uint32_t membersSuspect_ = 0;
  bool delegate_ = false;
  bool shareLeader_ = false;
  bool platformReachable_ = false;
  Version minDataCentreVersion_ = 0; ///< Delegates only: least version in force in the data centre.
};

/// The control side of a node. Each function may be called from any thread and doesn't block.
class ControlPlane
{
public:
  ControlPlane() = default;
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;
  virtual ~ControlPlane() = default;

  /// A control frame arrived from a peer.
  virtual void OnPeerMessage(const Hello& aFrom, const Address& aPeer, PeerMessage aMessage) = 0;
  /// A datagram arrived.
  virtual void OnDatagram(const Address& aFrom, PeerMessage aMessage) = 0;
  /// Asks for tokens; the answer comes through DataPlaneCallbacks::deliverGrant_.
  virtual void RequestTokens(ShareRequest aRequest) = 0;
  /// Announces the local target's state.
  virtual void AnnounceTarget(TargetState aState, std::uint32_t aSlots, double aLoad) = 0;
  /// This node will leave: callers should go elsewhere. The local target still takes calls.
  virtual void AnnounceLeaving() {}
  /// Announces that this node left, naming the successor of its request records.
  virtual void AnnounceLeft(const HostId& aSuccessor) = 0;
  /// Replaces what the settings of the host say of the policy, where they say any of it.
  virtual void SetPolicy(const Policy& /*aPolicy*/) {}
  /// Status by value, as of the last step of each actor.
  virtual ControlStatus Status() const = 0;
};

} // namespace peridotquay
