// Rendezvous hash: every node ranks the members of a data centre in the same order without
// agreement.
#pragma once

#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <string_view>

namespace peridotquay {

/// Role that a rank is computed for. Different roles give independent orders, so that one host
/// rarely holds two of them.
inline constexpr std::string_view kDelegateRole = "delegate";
inline constexpr std::string_view kShareLeaderRole = "share";

/// Weight of a host for a role; the host with the greatest weight ranks first. The same on every
/// host and in every build.
std::uint64_t RankWeight(std::string_view aRole,
                         const DataCentreId& aDataCentre,
                         const HostId& aHost);

/// Next number of a splitmix64 generator. Control modules use it because its whole state is one
/// integer that a test can set.
std::uint64_t NextRandom(std::uint64_t& aState);

} // namespace peridotquay
