// Constants and helpers that the source files of the dispatcher share.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotquay {

/// A guard's deadline is this much earlier than the entry host's, so that its answer arrives in
/// time.
inline constexpr Duration kAnswerReserve = milliseconds(5);

/// Reserve for a guard in another region: the call and its answer take about 20 ms each.
inline constexpr Duration kOtherRegionAnswerReserve = milliseconds(60);

/// Retry hint in milliseconds for callers that were refused because of load shedding; equals the
/// lifetime of an admission level.
inline constexpr std::uint32_t kShedRetryAfterMs = 1000;

/// Retry hint in milliseconds for callers of a host that doesn't know whether its configuration is
/// the newest: it then learns that from another host or from the store.
inline constexpr std::uint32_t kUnprovenRetryAfterMs = 300;

/// Makes an answer without status and body. aRetryAfterMs of 0 means that it has no retry hint.
inline Answer MakeAnswer(Outcome aOutcome, ErrorCode aCode, std::uint32_t aRetryAfterMs = 0)
{
  Answer answer;
  answer.outcome_ = aOutcome;
  answer.error_ = static_cast<std::uint16_t>(aCode);
  answer.retryAfterMs_ = aRetryAfterMs;
  return answer;
}

/// Whole milliseconds as text, for logs.
inline std::string WholeMs(Duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<milliseconds>(aDuration).count());
}

/// Returns the path without its query.
inline std::string_view WithoutQuery(std::string_view aPath)
{
  return aPath.substr(0, aPath.find('?'));
}

} // namespace peridotquay
