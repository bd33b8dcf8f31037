// Named experiments: load phases and the faults that happen during them.
#pragma once

#include "standins/lib/Fleet.h"
#include "standins/lib/LoadPlan.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Something that is done to the fleet at a time of the run.
struct ScenarioEvent
{
  double at_ = 0; ///< Seconds after the start of the load.
  std::string name_;
  std::function<Result<void>(Fleet&)> apply_;
};

struct Scenario
{
  std::string name_;
  std::string description_;
  /// "warm-up", "before" and, if something happens, "trigger" and "after".
  std::vector<LoadPhase> phases_;
  std::vector<ScenarioEvent> events_;
  std::uint32_t callerRetries_ = 1;
  bool immediateRetries_ = false;
  bool links_ = false;
  double slowFactor_ = 1; ///< Of the deepest service in phase "trigger"; lowers the ideal there.
  std::optional<std::size_t>
    misbehavingAccount_; ///< Account that misbehaves; never counted as wronged.
  std::optional<std::size_t>
    withdrawnAccount_; ///< Account whose key is withdrawn when "trigger" starts.
};

/// Names of the load scenarios, in the order of `quayload list`.
std::vector<std::string> ScenarioNames();

/// The scenario for a profile; empty for an unknown name.
std::optional<Scenario> MakeScenario(const std::string& aName, const FleetProfile& aProfile);

/// What the callers of a scenario send.
LoadPlan MakePlan(const Scenario& aScenario, const FleetProfile& aProfile, std::uint64_t aSeed);

/// Start of a phase in seconds; the end of the run for an unknown name.
double PhaseStart(const Scenario& aScenario, const std::string& aPhase);

} // namespace peridotquay::standins
