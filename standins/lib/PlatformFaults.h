// Faults and rate limits of the platform stand-in, and their JSON form.
#pragma once

#include "peridotquay/process/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotquay {

/// Behaviour of the stand-in during an outage.
enum class PlatformOutage : std::uint8_t
{
  kNone,
  kRefuse, ///< Requests get 503 at once and have no effect.
  kSilent  ///< Connections and requests are accepted, but have no effect and get no answer.
};

/// Faults of the platform stand-in. The defaults have no effect.
struct PlatformFaults
{
  double maxWritesPerSecond_ = 0; ///< Excess writes get 503 and have no effect. 0: no limit.
  double maxReadsPerSecond_ = 0;  ///< Excess reads get 503. 0: no limit.
  std::uint32_t delayMs_ = 0;     ///< Half before a request takes effect, half afterwards.
  PlatformOutage outage_ = PlatformOutage::kNone;
  double lostAnswerFraction_ = 0;     ///< Of the answers to writes that take effect, 0 to 1.
  std::uint32_t loseNextAnswers_ = 0; ///< Number of further writes whose answers are lost.
  bool operator==(const PlatformFaults&) const = default;
};

/// Returns a JSON object with the members writes_per_second, reads_per_second, delay_ms, outage
/// ("none", "refuse" or "silent"), lose_answers and lose_next.
std::string EncodePlatformFaults(const PlatformFaults& aFaults);

/// Sets the faults that the JSON object contains; the others stay. aFaults is unchanged on an
/// error. Errors: kSyntax, kUnknownSetting, kWrongType, kOutOfRange.
Result<void> UpdatePlatformFaults(PlatformFaults& aFaults, std::string_view aText);

} // namespace peridotquay
