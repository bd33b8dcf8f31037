// Rate at which a guard starts calls of its target: as many as the target says it takes, as many as
// a cold target tolerates, and few at once before its first answer has shown whether it states a
// limit.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <optional>

namespace peridotquay {

/// Limits of the starts at one target.
struct StartRateSettings
{
  /// Starts may exceed the stated rate by what it allows in this time, because calls don't arrive
  /// evenly.
  Duration burst_ = milliseconds(250);
  /// Starts per second that a target gets although it states less. Without any, no answer would
  /// show that it takes calls again.
  double minPerSecond_ = 0.5;
  /// Calls that may run at once before the target's first answer. A guard that starts doesn't know
  /// whether its target has stated a limit before.
  std::uint32_t firstCalls_ = 3;
  /// That number doubles each time this passes without an answer, so that a slow target isn't idle.
  Duration firstCallsDoubling_ = milliseconds(250);
  /// Fraction of the rate that a cold target tolerates which the guard uses. With burst_, at most
  /// 1.125 times that rate plus 1 start in any second. A target tolerates 1.5 times the rate plus
  /// 8, because calls may be delayed on their way and arrive together.
  double coldRateFraction_ = 0.9;
  bool operator==(const StartRateSettings&) const = default;
};

/// Stated rate of one target and the starts that it still allows. Changed only by the functions
/// below.
struct StartRateState
{
  StartRateSettings settings_;
  std::optional<double> perSecond_; ///< Calls a second that the target takes; empty for no limit.
  TimePoint statedAt_{};            ///< When perSecond_ was stated last.
  double tokens_ = 0;               ///< Starts allowed now; at most burst_, but at least 1.
  TimePoint refilledAt_{};
  /// An answer has shown whether the target states a limit. Initially true: set to false for
  /// targets that may state one.
  bool isProven_ = true;
  double coldPerSecond_ = 0; ///< Calls a second that the target tolerates while cold; 0: any.
  /// The target is cold, or it isn't known whether it is. Ends at coldUntil_.
  bool isCold_ = false;
  TimePoint coldUntil_{};
  TimePoint coldStatedAt_{}; ///< When the target was last stated or assumed to be cold.
  TimePoint firstStartAt_{}; ///< First start of an unproven target; zero if there was none.
};

/// Forgets what the previous target stated. Its successor may state a limit and may be cold.
void ResetStartRate(StartRateState& aState, TimePoint aNow);

/// Applies an answer of the target. aPerSecond is the rate stated in it, if any. The limit ends
/// with the first answer without one to a call that started after the last statement.
void RecordStatedRate(StartRateState& aState,
                      const std::optional<double>& aPerSecond,
                      TimePoint aCallStartedAt,
                      TimePoint aNow);

/// Sets the rate that a cold target tolerates; 0 for no limit.
void SetColdRate(StartRateState& aState, double aPerSecond, TimePoint aNow);

/// Applies what the target states about how long it stays cold; 0 if it isn't cold. If it is stated
/// in the answer to a call that started before the last statement or assumption of a cold target,
/// it doesn't shorten that.
void RecordCold(StartRateState& aState,
                Duration aRemaining,
                TimePoint aNow,
                const std::optional<TimePoint>& aCallStartedAt = std::nullopt);

/// Treats the target as cold until it states how long it stays cold.
void AssumeCold(StartRateState& aState, TimePoint aNow);

/// Calls a second that are started because the target is cold or may be; empty for no limit.
std::optional<double> ColdPerSecond(const StartRateState& aState, TimePoint aNow);

/// Adds the starts allowed since the last update, and ends the limit of a target that isn't cold
/// any more.
void UpdateStartRate(StartRateState& aState, TimePoint aNow);

/// Whether one more call may start while aRunning run.
bool MayStart(StartRateState& aState, std::uint32_t aRunning, TimePoint aNow);

/// Records a start.
void RecordStart(StartRateState& aState, TimePoint aNow);

/// Starts a second that the stated rate and that of a cold target allow; empty for no limit.
std::optional<double> AllowedPerSecond(const StartRateState& aState, TimePoint aNow);

} // namespace peridotquay
