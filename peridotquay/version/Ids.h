// Identifiers and addresses that several modules share.
#pragma once

#include <compare>
#include <cstdint>
#include <functional>
#include <string>

namespace peridotquay {

/// Declares a string identifier with its own type, comparison and hash.
#define PERIDOTQUAY_STRING_ID(aName)                                                               \
  struct aName                                                                                     \
  {                                                                                                \
    std::string value_;                                                                            \
    auto operator<=>(const aName&) const = default;                                                \
  };

/// Name of a host from its settings; unique in the fleet.
PERIDOTQUAY_STRING_ID(HostId)
/// Name of a data centre.
PERIDOTQUAY_STRING_ID(DataCentreId)
/// Name of a region.
PERIDOTQUAY_STRING_ID(RegionId)
/// Name of a service; all its targets serve the same calls.
PERIDOTQUAY_STRING_ID(ServiceId)
/// Name of a client account.
PERIDOTQUAY_STRING_ID(ClientAccountId)
/// Name of a route.
PERIDOTQUAY_STRING_ID(RouteId)

#undef PERIDOTQUAY_STRING_ID

/// Distinguishes successive processes of one host: wall clock in milliseconds at process start. A
/// host raises its incarnation to refute a suspicion.
using Incarnation = std::uint64_t;

/// Number of a configuration version. 0 means none; numbers only increase.
using Version = std::uint64_t;

/// An IP address and a port.
struct Address
{
  std::string ip_;
  std::uint16_t port_ = 0;
  auto operator<=>(const Address&) const = default;
};

} // namespace peridotquay

/// Hash of the string identifiers, for unordered containers.
#define PERIDOTQUAY_ID_HASH(aName)                                                                 \
  template<>                                                                                       \
  struct std::hash<peridotquay::aName>                                                             \
  {                                                                                                \
    std::size_t operator()(const peridotquay::aName& aId) const noexcept                           \
    {                                                                                              \
      return std::hash<std::string>()(aId.value_);                                                 \
    }                                                                                              \
  };
PERIDOTQUAY_ID_HASH(HostId)
PERIDOTQUAY_ID_HASH(DataCentreId)
PERIDOTQUAY_ID_HASH(RegionId)
PERIDOTQUAY_ID_HASH(ServiceId)
PERIDOTQUAY_ID_HASH(ClientAccountId)
PERIDOTQUAY_ID_HASH(RouteId)
#undef PERIDOTQUAY_ID_HASH
