// Immutable view of the targets that a node may call, published by membership to the data path.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <map>
#include <vector>

namespace peridotquay {

/// What a target announced of itself.
enum class TargetState : std::uint8_t
{
  kCold,     ///< Started lately; gets a rising part of the traffic.
  kReady,    ///< Takes its full part.
  kDraining, ///< Gets no new work.
  kLeft      ///< Gone on purpose.
};

/// One target with the guard before it.
struct Target
{
  HostId host_;
  Incarnation incarnation_ = 0;
  Address peer_; ///< Where its guard accepts peer connections.
  DataCentreId dataCentre_;
  RegionId region_;
  ServiceId service_;
  TargetState state_ = TargetState::kReady;
  TimePoint readySince_{};   ///< Since when, by this node's clock, the target is seen as usable;
                             ///< start of its ramp.
  std::uint32_t slots_ = 0;  ///< Announced slots; 0 if not announced.
  double announcedLoad_ = 0; ///< Announced part of slots in use, 0 to 1; may lag or mislead.
  bool operator==(const Target&) const = default;
};

/// All usable targets by service. Members that are dead, unreachable or left are absent.
struct TargetView
{
  std::map<ServiceId, std::vector<Target>> targets_; ///< Sorted by host.
  std::map<HostId, Address> hosts_; ///< Every living host, for calls by request id.
  bool operator==(const TargetView&) const = default;
};

} // namespace peridotquay
