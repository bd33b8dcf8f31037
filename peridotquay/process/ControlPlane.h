// Interface between the data plane of a node (the calls, on the socket thread) and its control
// plane (membership, configuration versions, token shares).
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/request/RateShare.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/TargetView.h"

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace peridotquay {

class EventLoop;
struct LocalTarget;

/// Functions of the data plane that the control plane calls. Each is thread-safe and doesn't block.
struct DataPlaneCallbacks
{
  /// Sends a frame over TCP to a host's peer address and connects first if needed. The frame is
  /// lost if the host can't be reached.
  std::function<void(const Address&, PeerMessage)> sendPeer_;
  /// Sends a UDP datagram to a host's peer address.
  std::function<void(const Address&, PeerMessage)> sendDatagram_;
  /// Puts a configuration in force; one with a version lower than the current one is ignored.
  std::function<void(std::shared_ptr<const Config>)> publishConfig_;
  /// Replaces the view of the targets that may be called.
  std::function<void(std::shared_ptr<const TargetView>)> publishTargets_;
  /// Sets the latest time at which the configuration in force is known to have been the newest.
  std::function<void(TimePoint)> publishFreshness_;
  /// Delivers granted tokens. The time is when they were requested, by this node's clock.
  std::function<void(ShareGrant, TimePoint)> deliverGrant_;
  /// Sets the state of the local target, on platforms where the target reports it to the control
  /// plane. Unlike the others, it must be called on the socket thread.
  std::function<void(const LocalTarget&)> setTarget_;
  /// Returns the load of the local target if it states its duration of work. Must be called on the
  /// socket thread.
  std::function<std::optional<LoadReport>()> statedLoad_;
  /// Passes on loads of other hosts' targets. Must be called on the socket thread.
  std::function<void(const std::vector<ReceivedLoad>&)> deliverLoads_;
  /// Event loop of the socket thread, for a control plane that runs on it.
  EventLoop* loop_ = nullptr;
};

/// Status of the control plane, for the admin endpoint.
struct ControlStatus
{
  Version version_ = 0;
  /// Time since the configuration was last known to be the newest.
  std::uint64_t freshnessAgeMs_ = 0;
  std::uint32_t membersAlive_ = 0;
  std::uint32_t membersSuspect_ = 0;
  bool delegate_ = false;    ///< This node is a delegate of its data centre.
  bool shareLeader_ = false; ///< This node holds the lease to grant tokens.
  bool platformReachable_ = false;
  /// How often the platform's store went back to an older copy; 0 where it doesn't state that.
  std::uint64_t storeEra_ = 0;
  std::vector<std::string> evacuated_; ///< Data centres whose targets get no new requests.
  /// Lowest version in force at the hosts of the data centre; set on delegates only.
  Version minDataCentreVersion_ = 0;
};

/// The control plane of a node. Each function is thread-safe and doesn't block.
class ControlPlane
{
public:
  ControlPlane() = default;
  ControlPlane(const ControlPlane&) = delete;
  ControlPlane& operator=(const ControlPlane&) = delete;
  virtual ~ControlPlane() = default;

  /// Handles a control frame from a peer.
  virtual void OnPeerMessage(const Hello& aFrom, const Address& aPeer, PeerMessage aMessage) = 0;
  /// Handles a datagram.
  virtual void OnDatagram(const Address& aFrom, PeerMessage aMessage) = 0;
  /// Requests tokens; they are delivered through DataPlaneCallbacks::deliverGrant_.
  virtual void RequestTokens(ShareRequest aRequest) = 0;
  /// Announces the local target's state, its number of slots and the fraction of them in use.
  virtual void AnnounceTarget(TargetState aState, std::uint32_t aSlots, double aLoad) = 0;
  /// Announces that the local target stated in an answer that it leaves. Called on the socket
  /// thread. Does nothing where targets don't state that.
  virtual void AnnounceTargetLeaving(const std::string& /*aTargetId*/) {}
  /// Announces that this node will leave, so that callers use other nodes. The local target still
  /// accepts calls.
  virtual void AnnounceLeaving() {}
  /// Announces that this node left, naming the successor of its request records.
  virtual void AnnounceLeft(const HostId& aSuccessor) = 0;
  /// Replaces the policy that comes from the node's settings. Does nothing where the settings hold
  /// no policy.
  virtual void SetPolicy(const Policy& /*aPolicy*/) {}
  /// Returns a copy of the status as each part of the control plane last published it.
  virtual ControlStatus Status() const = 0;
};

} // namespace peridotquay
