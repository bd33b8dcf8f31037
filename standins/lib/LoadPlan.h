// What a load run sends and when: open-loop arrivals from a seed.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Part of a run with constant arrival rates.
struct LoadPhase
{
  std::string name_;
  double seconds_ = 1;
  double loadFactor_ = 1;              ///< Of the base rate.
  std::vector<double> accountFactors_; ///< Further factor of each account; empty: all 1.
  bool overloaded_ = false; ///< Whether targets may be overloaded: refusals aren't wrongful then.
};

struct LoadClass
{
  std::string path_;
  bool repeatable_ = true;
  bool critical_ = false;
  double fraction_ = 0;
};

struct LoadAccount
{
  std::string name_;
  std::string key_;
  double fraction_ = 0; ///< Of the base rate; the parts add up to 1.
  double rate_ = 0;     ///< Its configured rate, in requests a second.
};

struct LoadPlan
{
  std::vector<LoadPhase> phases_;
  std::vector<LoadClass> classes_;
  std::vector<LoadAccount> accounts_;
  double baseRate_ = 100;         ///< Requests a second at factor 1.
  std::uint32_t retryBudget_ = 3; ///< Sent as Quay-Retry-Budget.
  std::uint32_t callerRetries_ = 0;
  bool immediateRetries_ = false;  ///< Retries at once, whatever the answer was.
  Duration deadline_ = seconds(3); ///< From the scheduled arrival; later answers aren't counted.
  std::string tagPrefix_ = "r";    ///< Prefix of tags.
  std::uint64_t seed_ = 1;
};

/// One scheduled request.
struct Arrival
{
  double at_ = 0; ///< Seconds after the start of the run.
  std::uint32_t phase_ = 0;
  std::uint32_t account_ = 0;
  std::uint32_t class_ = 0;
  std::uint64_t random_ = 0; ///< Source of the request's own random choices.
  bool operator==(const Arrival&) const = default;
};

/// Poisson arrivals of all accounts, in order of time. Depends on the plan alone.
std::vector<Arrival> PlanArrivals(const LoadPlan& aPlan);

} // namespace peridotquay::standins
