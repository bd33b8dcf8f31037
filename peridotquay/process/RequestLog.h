// Limits the log lines of requests. Failures have a limit of their own. Successes are sampled by a
// hash of the request id, so that all hosts on the path log the same requests.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <string_view>

namespace peridotquay {

/// Limits of the request log of one host.
struct RequestLogSettings
{
  std::uint32_t failuresPerSecond_ = 100; ///< Maximum number of lines for failures.
  std::uint32_t successesPerSecond_ = 20; ///< Number of lines above which successes are sampled.
  bool operator==(const RequestLogSettings&) const = default;
};

/// State of the request log. Changed only through AllowRequestLine.
struct RequestLogState
{
  RequestLogSettings settings_;
  TimePoint secondStartedAt_{};        ///< Start of the current second.
  std::uint32_t failures_ = 0;         ///< Failures in this second, written or not.
  std::uint32_t successes_ = 0;        ///< Successes in this second, written or not.
  std::uint32_t successesWritten_ = 0; ///< Successes written in this second.
  /// The line of a success is written only if its request id hashes to at most this value. Thus a
  /// host with a lower threshold logs a subset of the requests that a host with a higher one logs.
  std::uint32_t hashThreshold_ = UINT32_MAX;
  std::uint64_t leftOut_ = 0; ///< Lines left out since the last written one.
};

/// Returns whether to write the line of a request. If so, sets aLeftOut to the number of lines left
/// out since the last written one.
bool AllowRequestLine(RequestLogState& aState,
                      std::string_view aRequestId,
                      bool aFailed,
                      TimePoint aNow,
                      std::uint64_t& aLeftOut);

} // namespace peridotquay
