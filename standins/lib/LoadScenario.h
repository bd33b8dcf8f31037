// Named scenarios: load phases and the events, such as faults, that happen during them.
#pragma once

#include "standins/lib/Fleet.h"
#include "standins/lib/LoadPlan.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// An action on the fleet at a given time of the run.
struct ScenarioEvent
{
  double at_ = 0; ///< Seconds after the start of the load.
  std::string name_;
  std::function<Result<void>(Fleet&)> apply_;
};

/// A scenario for one profile.
struct Scenario
{
  std::string name_;
  std::string description_;
  /// "warm-up" and "before", followed by "trigger" and "after" if there is a disturbance.
  std::vector<LoadPhase> phases_;
  std::vector<ScenarioEvent> events_; ///< In order of time.
  std::uint32_t callerRetries_ = 1;   ///< Maximum retries of one request by its caller.
  bool immediateRetries_ = false;     ///< Callers retry without delay, whatever the answer was.
  bool links_ = false;                ///< Puts a link between each node and its target.
  /// Slowdown of the deepest service in phase "trigger", which lowers the ideal of that phase.
  double slowFactor_ = 1;
  /// Account that exceeds its rate or uses a withdrawn key, so that refusing it is never wrongful.
  std::optional<std::size_t> misbehavingAccount_;
  /// Account whose key is withdrawn when "trigger" starts.
  std::optional<std::size_t> withdrawnAccount_;
};

/// Returns the names of the scenarios, in the order of `quayload list`.
std::vector<std::string> ScenarioNames();

/// Returns the scenario for a profile; empty for an unknown name.
std::optional<Scenario> MakeScenario(const std::string& aName, const FleetProfile& aProfile);

/// Returns the plan of what callers send in a scenario.
LoadPlan MakePlan(const Scenario& aScenario, const FleetProfile& aProfile, std::uint64_t aSeed);

/// Returns the start of a phase in seconds of the run, or the end of the run for an unknown name.
double PhaseStart(const Scenario& aScenario, const std::string& aPhase);

} // namespace peridotquay::standins
