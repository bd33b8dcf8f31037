// Faults and ceilings of the platform stand-in, and their JSON.
#pragma once

#include "peridotquay/process/Error.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotquay {

/// How the stand-in behaves during an outage.
enum class PlatformOutage : std::uint8_t
{
  kNone,
  kRefuse, ///< Answers 503 at once and does nothing.
  kSilent  ///< Accepts connections and requests, does nothing and never answers.
};

/// Faults of the platform stand-in.
struct PlatformFaults
{
  double maxWritesPerSecond_ = 0; ///< Ceiling; writes above it get 503 and do nothing. 0: none.
  double maxReadsPerSecond_ = 0;  ///< Ceiling of reads, likewise.
  std::uint32_t delayMs_ = 0;     ///< Added to each request, half before it takes effect.
  PlatformOutage outage_ = PlatformOutage::kNone;
  double lostAnswerFraction_ = 0; ///< Part of writes that take effect and get no answer, 0 to 1.
  std::uint32_t loseNextAnswers_ = 0; ///< The next writes that take effect get no answer.
  bool operator==(const PlatformFaults&) const = default;
};

/// JSON object with writes_per_second, reads_per_second, delay_ms, outage ("none", "refuse",
/// "silent"), lose_answers and lose_next.
std::string EncodePlatformFaults(const PlatformFaults& aFaults);

/// Sets the faults that the JSON names and leaves the others. Errors: kSyntax, kUnknownSetting,
/// kWrongType, kOutOfRange; the faults are untouched then.
Result<void> UpdatePlatformFaults(PlatformFaults& aFaults, std::string_view aText);

} // namespace peridotquay
