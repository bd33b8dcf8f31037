// One version of the configuration, compiled for one data centre. Immutable after construction.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/request/Outcome.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// A paying client and its rate limit, which applies to all hosts together.
struct ClientAccount
{
  ClientAccountId id_;
  double ratePerSecond_ = 0; ///< Requests per second; 0 for no limit.
  double burst_ = 0;         ///< Requests; at least 1.
  /// Largest fraction of rate and burst that the data centre of this Config may hold; above 0, at
  /// most 1. Only the overlay of a site sets it below 1.
  double siteRateFraction_ = 1.0;
  std::uint32_t priority_ = 0; ///< 0 is the most important; takes precedence over Route::priority_.
  /// Regions in which its requests may be served; empty allows all.
  std::vector<RegionId> allowedRegions_{};
  bool operator==(const ClientAccount&) const = default;
};

/// A service that receives a fraction of a route's requests.
struct WeightedService
{
  ServiceId service_;
  double weight_ = 0; ///< Relative to the other services of the split; not negative.
  bool operator==(const WeightedService&) const = default;
};

/// Maps requests with a path prefix to a service.
struct Route
{
  RouteId id_;
  std::string host_;   ///< Host name that requests must have; empty for any.
  std::string prefix_; ///< Begins with '/'. The longest matching prefix wins.
  ServiceId service_;
  /// If not empty, requests go to these services by weight instead of to service_.
  std::vector<WeightedService> split_;
  Importance importance_ = Importance::kNormal;
  std::uint32_t priority_ = 0;   ///< 0 is the most important.
  bool repeatable_ = true;       ///< False: a request runs at most once.
  bool open_ = false;            ///< True: needs no key, and no client account's limit applies.
  std::uint32_t maxRetries_ = 3; ///< Upper bound of the retry budget; 0 to 16.
  Duration deadline_ = milliseconds(2000); ///< Default and upper bound of the caller's deadline.
  Duration latencyObjective_{}; ///< An answer within this time has its full value; 0 for none.
  std::vector<ClientAccountId> clientAccounts_; ///< Client accounts allowed; empty allows all.
  std::vector<RegionId> allowedRegions_{};      ///< Regions that may serve it; empty allows all.
  bool operator==(const Route&) const = default;
};

/// What the operator states about the cold starts of a service's targets.
struct ColdStart
{
  Duration period_{};    ///< Time for which a target is cold after its start.
  double perSecond_ = 0; ///< Requests per second that a cold target tolerates; 0 for no limit.
  bool operator==(const ColdStart&) const = default;
};

/// A data centre of the fleet and its region.
struct Site
{
  DataCentreId dataCentre_;
  RegionId region_;
  bool operator==(const Site&) const = default;
};

/// Settings of key checks, rate limits, retries, routing and queues.
struct Policy
{
  /// Requests with a key are refused if the configuration was last known to be the newest longer
  /// ago than this; 3 s to 3,600 s.
  Duration keyFreshnessBound_ = seconds(10);
  /// Requests that the configuration doesn't allow (unknown route or key) are refused for good only
  /// if it was known to be the newest at most this long ago. Otherwise callers are asked to repeat
  /// them, because a newer configuration may allow them.
  Duration refusalFreshnessBound_ = seconds(10);
  /// Fraction of each rate that is divided equally among the data centres as floors, which don't
  /// move between them; 0 to 0.9. The rest are elastic shares, which follow the demand.
  double floorFraction_ = 0.25;
  Duration floorLease_ = seconds(600); ///< Lease duration of floors.
  Duration elasticLease_ = seconds(5); ///< Lease duration of elastic shares.
  double retryRatio_ = 0.1;            ///< Retry tokens that a call's first attempt adds; 0 to 1.
  /// Maximum retry tokens that a host accumulates for one service.
  double retryBudgetCapacity_ = 10;
  /// Fractions of a call's slack (its latency objective minus the expected latency) that it may
  /// queue before it goes to another data centre of its region, or to another region; 0 to 1.
  double slackFractionWithinRegion_ = 0;
  double slackFractionBetweenRegions_ = 0;
  /// Retry tokens that a retry costs if the call may have run; other retries cost 1.
  double retryMayHaveRunCost_ = 1;
  /// Time after which one retry to a service is allowed although it has no retry tokens left.
  Duration guaranteedRetryInterval_ = seconds(1);
  std::uint32_t queueCapacity_ = 1024; ///< Calls queued at a guard; 0 to 1,024.
  double queueDeadlineFraction_ = 0.5; ///< Fraction of the time left that a call may spend queued.
  bool operator==(const Policy&) const = default;
};

/// The complete configuration in force at a node.
struct Config
{
  Version version_ = 0;
  std::map<ClientAccountId, ClientAccount> clientAccounts_;
  /// By SHA-256 digest, 64 lower-case hex digits. Withdrawn keys are absent.
  std::map<std::string, ClientAccountId> keys_;
  std::vector<Route> routes_; ///< Sorted by descending prefix length, then by prefix.
  std::map<DataCentreId, Site> sites_;
  std::map<ServiceId, ColdStart> coldStarts_; ///< Only services with a limit for cold targets.
  Policy policy_;
  /// True: routes are chosen by FindHostRoute, which compares the path byte for byte, and the
  /// importance by ImportanceFor. False: routes are chosen by FindRoute.
  bool routesByHost_ = false;
  bool operator==(const Config&) const = default;
};

/// Returns the route with the longest prefix that matches the path at a '/' boundary, or null.
/// Paths that a target may resolve differently (dot segments, empty segments, encoded dots or
/// slashes) match no route. The query is ignored.
const Route* FindRoute(const Config& aConfig, std::string_view aPath);

/// Returns the route of the host with the longest prefix with which the path begins, or null.
const Route* FindHostRoute(const Config& aConfig, std::string_view aHost, std::string_view aPath);

/// Importance of an account's requests on a route. The account's priority takes precedence over the
/// route's. Never kCritical, which is reserved for calls without an account.
Importance ImportanceFor(const Config& aConfig, const ClientAccount& aAccount, const Route& aRoute);

/// Returns the client account of the key with this digest, or null for unknown and withdrawn keys.
/// The comparison takes constant time.
const ClientAccount* FindAccountByKeyDigest(const Config& aConfig, std::string_view aDigestHex);

/// SHA-256 digest of a caller's key as 64 lower-case hex digits.
std::string KeyDigest(std::string_view aKey);

} // namespace peridotquay
