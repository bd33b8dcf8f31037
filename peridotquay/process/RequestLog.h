// Which requests are logged when there are too many: failures before successes, and the same
// requests on every host that they cross.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <string_view>

namespace peridotquay {

/// Settings of the log of requests at one host.
struct RequestLogSettings
{
  std::uint32_t failuresPerSecond_ = 100; ///< Lines.
  std::uint32_t successesPerSecond_ = 20; ///< Lines; above, requests are sampled by their id.
  bool operator==(const RequestLogSettings&) const = default;
};

/// State of the log of requests. Changed only through AllowRequestLine.
struct RequestLogState
{
  RequestLogSettings settings_;
  TimePoint second_{}; ///< Start of the present second.
  std::uint32_t failures_ = 0;
  std::uint32_t successes_ = 0; ///< Offered in this second.
  std::uint32_t kept_ = 0;      ///< Successes written in this second.
  /// Successes whose id hashes below it are kept; the sets of two hosts contain one another.
  std::uint32_t threshold_ = UINT32_MAX;
  std::uint64_t leftOut_ = 0; ///< Since the last line.
};

/// Whether a request's line is written. aLeftOut gets the lines left out since the last written
/// one.
bool AllowRequestLine(RequestLogState& aState,
                      std::string_view aRequestId,
                      bool aFailed,
                      TimePoint aNow,
                      std::uint64_t& aLeftOut);

} // namespace peridotquay
