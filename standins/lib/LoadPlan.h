// What a load run sends and when. Arrivals are open-loop: they don't wait for earlier answers.
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
  double durationSeconds_ = 1;
  double loadFactor_ = 1;              ///< Multiplies LoadPlan::baseRate_.
  std::vector<double> accountFactors_; ///< Multiplies each account's rate; empty: all 1.
  bool overloaded_ = false; ///< Targets may be overloaded, so refusals aren't counted as wrongful.
};

/// A class of requests, all with the same path and method.
struct LoadClass
{
  std::string path_;
  bool repeatable_ = true; ///< GET; otherwise POST with a request id.
  bool critical_ = false;  ///< Importance "critical".
  double fraction_ = 0;    ///< Of all requests; the fractions of all classes add up to 1.
};

/// A client account that sends requests.
struct LoadAccount
{
  std::string name_;
  std::string key_;
  double fraction_ = 0; ///< Of the base rate; the fractions of all accounts add up to 1.
  double rate_ = 0;     ///< Configured rate limit, in requests per second.
};

/// Everything that determines the requests of a run.
struct LoadPlan
{
  std::vector<LoadPhase> phases_;
  std::vector<LoadClass> classes_;
  std::vector<LoadAccount> accounts_;
  double baseRate_ = 100;           ///< Requests per second at load factor 1.
  std::uint32_t retryBudget_ = 3;   ///< Sent in the header Quay-Retry-Budget.
  std::uint32_t callerRetries_ = 0; ///< Maximum retries of one request by its caller.
  bool immediateRetries_ = false;   ///< Retries without delay, whatever the answer was.
  Duration deadline_ = seconds(3);  ///< From the scheduled arrival; later answers don't count.
  std::string tagPrefix_ = "r";     ///< Distinguishes the tags of several runs on one fleet.
  std::uint64_t seed_ = 1;
};

/// One scheduled request.
struct Arrival
{
  double scheduledAt_ = 0;    ///< In seconds of the run.
  std::uint32_t phase_ = 0;   ///< Index into LoadPlan::phases_.
  std::uint32_t account_ = 0; ///< Index into LoadPlan::accounts_.
  std::uint32_t class_ = 0;   ///< Index into LoadPlan::classes_.
  std::uint64_t random_ = 0;  ///< Seed of the request's random choices.
  bool operator==(const Arrival&) const = default;
};

/// Returns Poisson arrivals of all accounts, in order of time. The result depends on the plan
/// alone.
std::vector<Arrival> PlanArrivals(const LoadPlan& aPlan);

} // namespace peridotquay::standins
