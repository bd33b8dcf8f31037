// What is known about whether a request ran, and how important a request is.
#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

namespace peridotquay {

/// What is known about a request after its last attempt.
enum class Outcome : std::uint8_t
{
  kRan,    ///< A target ran it and its complete answer was received.
  kNotRun, ///< No byte was sent to a target, or the guard or the target stated that it did not
           ///< start.
  kUnknown ///< All other cases. Always HTTP status 504.
};

/// Importance class of a route, most important first.
enum class Importance : std::uint8_t
{
  kCritical, ///< Shed last. For example bookings, deposits, permits and seizures.
  kHigh,
  kNormal,
  kLow
};

inline constexpr int kImportanceClassCount = 4;

/// Value of the header Quay-Outcome: "ran", "not-run" or "unknown".
std::string_view OutcomeName(Outcome aOutcome);

/// "critical", "high", "normal" or "low".
std::string_view ImportanceName(Importance aImportance);

/// Parses an importance name; empty for any other text.
std::optional<Importance> ParseImportance(std::string_view aText);

} // namespace peridotquay
