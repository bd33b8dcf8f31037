// Answers that a node makes itself, and constants that the parts of the dispatcher share.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"

#include <cstdint>
#include <string_view>

namespace peridotquay {

/// A guard gives up this much before the first host, so that its answer still arrives in time.
inline constexpr Duration kAnswerReserve = milliseconds(5);

/// The same for a guard in another region: its answer takes about 20 ms, and the call as long.
inline constexpr Duration kFarAnswerReserve = milliseconds(60);

/// Hint to callers that were refused because guards shed their class: one lifetime of a level.
inline constexpr std::uint32_t kShedRetryMs = 1000;

/// An answer without status and body; aRetryAfterMs is a hint, 0 for none.
inline Answer MakeAnswer(Outcome aOutcome, ErrorCode aCode, std::uint32_t aRetryAfterMs = 0)
{
  Answer answer;
  answer.outcome_ = aOutcome;
  answer.error_ = static_cast<std::uint16_t>(aCode);
  answer.retryAfterMs_ = aRetryAfterMs;
  return answer;
}

/// The path without its query.
inline std::string_view WithoutQuery(std::string_view aPath)
{
  return aPath.substr(0, aPath.find('?'));
}

} // namespace peridotquay
