// Deployments for experiments: data centres, services, client accounts and classes of requests.
#pragma once

#include "peridotquay/request/Outcome.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// A data centre.
struct FleetSite
{
  std::string dataCentre_;
  std::string region_;
};

/// A service with one host in each data centre. Each service calls the next one in the list. A
/// target's queue holds one request for each connection beyond its slots, so an overloaded target
/// becomes slow instead of refusing requests.
struct FleetService
{
  std::string name_;                ///< Also its path prefix, after '/'.
  std::uint32_t slots_ = 50;        ///< Requests that one target works on at a time.
  std::uint32_t connections_ = 400; ///< Maximum of one target.
  double serviceTimeMs_ = 10;       ///< Mean, without deeper calls.
};

/// A client account.
struct FleetAccount
{
  std::string name_;
  double weight_ = 1; ///< Relative to the other accounts, for traffic and rate.
  std::string key_;   ///< Key that its callers send.
  double rate_ = 0;   ///< Configured requests per second; 0 derives them from the weight.
};

/// A class of requests that callers send to the first service.
struct FleetClass
{
  std::string name_; ///< Path is /<first service>/<name>.
  Importance importance_ = Importance::kNormal;
  bool repeatable_ = true; ///< Whether a request may run more than once.
  double fraction_ = 0;    ///< Of all requests.
};

/// A deployment and its traffic.
struct FleetProfile
{
  std::string name_;
  /// How service times are scaled to one machine; printed with every result.
  std::string scaleDescription_;
  std::vector<FleetSite> sites_;
  std::vector<FleetService> services_;
  std::vector<FleetAccount> accounts_;
  std::vector<FleetClass> classes_;
  double rateFactor_ = 2.6;         ///< Sum of all derived account rates divided by the capacity.
  std::uint32_t deadlineMs_ = 2000; ///< Of every route and of the callers.
  std::uint32_t maxRetries_ = 3;    ///< Of every route, and the callers' retry budget.
  std::uint32_t keyFreshnessBoundMs_ = 10000;
};

/// Returns the profile "foundry", "landesamt" or "pair" (one data centre, two services, no service
/// time, to measure latency). For any other name, returns a profile with an empty name.
FleetProfile FindProfile(const std::string& aName);

/// Returns the requests per second that the whole fleet can serve: the minimum over the services of
/// the number of slots divided by the time that a request holds one. That time includes the calls
/// to deeper services. aSlowFactor multiplies the service time of the last service.
double CapacityPerSecond(const FleetProfile& aProfile, double aSlowFactor = 1);

/// Returns the rate of an account in requests per second.
double AccountRate(const FleetProfile& aProfile, std::size_t aAccount);

/// Returns the base configuration in TOML.
std::string BaseConfiguration(const FleetProfile& aProfile);

} // namespace peridotquay::standins
