// Settings of the stand-in link, and its faults that can be changed at run time.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <string_view>

namespace peridotquay::standins {

/// Properties of a link, equal in both directions. All defaults mean "no effect".
struct LinkFaults
{
  Duration delay_{};                    ///< One way.
  std::uint64_t bandwidth_ = 0;         ///< Bytes a second in each direction; 0: unlimited.
  bool cut_ = false;                    ///< TCP stalls, datagrams are lost.
  bool cutFromRemote_ = false;          ///< Only what the remote sends stalls or is lost.
  std::uint64_t silenceGeneration_ = 0; ///< Grows when open connections shall fall silent.
  std::uint64_t resetGeneration_ = 0;   ///< Grows when open connections shall be reset.
  bool operator==(const LinkFaults&) const = default;
};

struct LinkSettings
{
  Address listen_{ "127.0.0.1", 0 };  ///< TCP and UDP on the same port.
  Address control_{ "127.0.0.1", 0 }; ///< HTTP: GET and POST /link.
  Address remote_;                    ///< Where everything is passed on to.
  LinkFaults faults_;
};

/// Applies a JSON object with members delay_ms, bandwidth, cut, cut_answers, and silence_existing
/// and reset_existing (true silences or resets the connections that are open now). Errors: kSyntax,
/// kUnknownSetting, kWrongType, kOutOfRange.
Result<void> ApplyLinkFaults(LinkFaults& aFaults, std::string_view aJson);

/// When a chunk that is sent now arrives at the other end. aFreeAt is the time at which the
/// direction has sent everything before; it is moved on.
TimePoint ArrivalTime(const LinkFaults& aFaults,
                      std::size_t aBytes,
                      TimePoint& aFreeAt,
                      TimePoint aNow);

} // namespace peridotquay::standins
