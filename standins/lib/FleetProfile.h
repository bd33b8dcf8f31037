// Deployments that experiments run on: places, services, client accounts and classes of requests.
#pragma once

#include "peridotquay/request/Outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotquay::standins {

struct FleetSite
{
  std::string dataCentre_;
  std::string region_;
};

/// A service with one endpoint in each data centre. Each service calls the next one of the list.
/// Its targets let as many requests wait for a slot as they have connections beyond the slots: this
/// is what makes them slow under overload.
struct FleetService
{
  std::string name_;         ///< Also its path prefix, after '/'.
  std::uint32_t slots_ = 50; ///< Of one endpoint.
  std::uint32_t connections_ = 400;
  double serviceMs_ = 10; ///< Own work, without deeper calls.
};

struct FleetAccount
{
  std::string name_;
  double weight_ = 1; ///< Part of the traffic and of the rates, relative to the others.
  std::string key_;   ///< Caller's key.
  double rate_ = 0;   ///< Configured rate in requests a second; 0 derives it from the weight.
};

/// A kind of request that callers send to the first service.
struct FleetClass
{
  std::string name_; ///< Path is /<first service>/<name>.
  Importance importance_ = Importance::kNormal;
  bool repeatable_ = true;
  double part_ = 0; ///< Of all requests, 0 to 1.
};

struct FleetProfile
{
  std::string name_;
  std::string
    scaleDescription_; ///< How service times were scaled to one machine; printed with every result.
  std::vector<FleetSite> sites_;
  std::vector<FleetService> services_;
  std::vector<FleetAccount> accounts_;
  std::vector<FleetClass> classes_;
  double rateFactor_ = 2.6;         ///< Sum of the accounts' rates over the capacity.
  std::uint32_t deadlineMs_ = 2000; ///< Of every route, and how long callers wait.
  std::uint32_t maxRetries_ = 3;
  std::uint32_t keyFreshnessBoundMs_ = 10000;
};

/// "foundry", "landesamt", or "pair" (one data centre, two services, no service time; for latency).
/// Empty name for any other text.
FleetProfile FindProfile(const std::string& aName);

/// Whole requests a second that the fleet can serve: the least, over the services, of slots over
/// the time that a request holds one (own work and all deeper work). With "aSlow", the last
/// service's own work takes that many times longer.
double CapacityPerSecond(const FleetProfile& aProfile, double aSlow = 1);

/// Rate of an account in requests a second.
double AccountRate(const FleetProfile& aProfile, std::size_t aAccount);

/// Base configuration in TOML.
std::string BaseConfiguration(const FleetProfile& aProfile);

} // namespace peridotquay::standins
