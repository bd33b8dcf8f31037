// Settings of the stand-in link and the faults that can be changed at run time.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <string_view>

namespace peridotquay::standins {

/// Delay, bandwidth and faults of a link; both directions alike except for cutFromRemote_. The
/// defaults have no effect.
struct LinkFaults
{
  Duration delay_{};            ///< One way.
  std::uint64_t bandwidth_ = 0; ///< Bytes per second in each direction; 0: unlimited.
  bool cut_ = false;            ///< TCP data is held back until the cut ends; datagrams are lost.
  bool cutFromRemote_ = false;  ///< Like cut_, but only for data from the remote.
  std::uint64_t silenceGeneration_ = 0; ///< Incremented to silence the open connections.
  std::uint64_t resetGeneration_ = 0;   ///< Incremented to reset the open connections.
  bool operator==(const LinkFaults&) const = default;
};

struct LinkSettings
{
  Address listen_{ "127.0.0.1", 0 };  ///< TCP and UDP use the same port; 0: chosen by the kernel.
  Address control_{ "127.0.0.1", 0 }; ///< HTTP control interface: GET and POST /link.
  Address remote_;                    ///< Where connections and datagrams are forwarded to.
  LinkFaults faults_;
};

/// Applies a JSON object with the members delay_ms, bandwidth, cut, cut_answers, silence_existing
/// and reset_existing; absent members stay. True in silence_existing or reset_existing silences or
/// resets the connections that are open now. aFaults is unchanged on an error. Errors: kSyntax,
/// kUnknownSetting, kWrongType, kOutOfRange.
Result<void> ApplyLinkFaults(LinkFaults& aFaults, std::string_view aJson);

/// Returns the time at which aByteCount bytes that are sent at aNow arrive at the other end.
/// aFreeAt is the end of the transmission of earlier bytes in this direction; it is set to the end
/// of the transmission of the new bytes.
TimePoint ArrivalTime(const LinkFaults& aFaults,
                      std::size_t aByteCount,
                      TimePoint& aFreeAt,
                      TimePoint aNow);

} // namespace peridotquay::standins
