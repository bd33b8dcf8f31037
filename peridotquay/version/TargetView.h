// Immutable view of the targets that a node may call. Membership publishes it to the data path.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <map>
#include <set>
#include <string>
#include <vector>

namespace peridotquay {

/// State that a target announced for itself.
enum class TargetState : std::uint8_t
{
  kCold,     ///< Started recently. Target::readySince_ determines the slow start.
  kReady,    ///< Receives its full share of the traffic after the slow start.
  kDraining, ///< Receives no new requests.
  kLeft      ///< Left the fleet deliberately.
};

/// One target and the guard through which it is called.
struct Target
{
  HostId host_;
  Incarnation incarnation_ = 0;
  Address peer_; ///< Where the guard accepts peer connections.
  DataCentreId dataCentre_;
  RegionId region_;
  ServiceId service_;
  TargetState state_ = TargetState::kReady;
  TimePoint readySince_{};  ///< When this node first saw the target as usable, by its own clock;
                            ///< the slow start begins here.
  std::uint32_t slots_ = 0; ///< Announced concurrent requests; 0 if not announced.
  /// One start of the target, where the platform names it; else empty. Not the guard's process.
  std::string instance_;
  double announcedLoad_ = 0; ///< Announced fraction of slots in use, 0 to 1. May be late or wrong.
  bool operator==(const Target&) const = default;
};

/// All usable targets by service. Members that are dead or unreachable or have left are absent.
struct TargetView
{
  std::map<ServiceId, std::vector<Target>> targets_; ///< Sorted by host.
  std::map<HostId, Address> hosts_; ///< Peer addresses of all hosts alive, for calls by request id.
  /// Data centres whose targets receive no new requests, by order of the operator.
  std::set<DataCentreId> evacuated_;
  bool operator==(const TargetView&) const = default;
};

} // namespace peridotquay
