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

/// A paying client with its limit over all hosts together.
struct ClientAccount
{
  ClientAccountId id_;
  double ratePerSecond_ = 0; ///< Requests a second; 0 for no limit.
  double burst_ = 0;         ///< Requests; at least 1.
  /// Largest part of rate and burst that the data centre of this Config may hold; above 0, at most
  /// 1. Set below 1 by the overlay of a site only.
  double siteRateFraction_ = 1.0;
  std::uint32_t priority_ = 0; ///< 0 is the most important; ranks before a route's priority.
  bool operator==(const ClientAccount&) const = default;
};

/// A service's part of a route's requests.
struct WeightedService
{
  ServiceId service_;
  double weight_ = 0; ///< Relative to the other parts; not negative.
  bool operator==(const WeightedService&) const = default;
};

/// Maps a path prefix to a service.
struct Route
{
  RouteId id_;
  std::string host_;   ///< Host name that requests must carry; empty for any.
  std::string prefix_; ///< Begins with '/'. The longest matching prefix wins.
  ServiceId service_;
  std::vector<WeightedService>
    split_; ///< If set, requests go to these in proportion, not to service_.
  Importance importance_ = Importance::kNormal;
  std::uint32_t priority_ = 0;   ///< 0 is the most important.
  bool repeatable_ = true;       ///< False: runs at most once.
  bool open_ = false;            ///< True: needs no key and counts for no client account.
  std::uint32_t maxRetries_ = 3; ///< Upper bound of the retry budget; 0 to 16.
  Duration deadline_ =
    milliseconds(2000);         ///< Used when the caller gives none, and its upper bound.
  Duration latencyObjective_{}; ///< An answer within this has its full value; 0 if not stated.
  std::vector<ClientAccountId> clientAccounts_; ///< Allowed client accounts; empty allows all.
  bool operator==(const Route&) const = default;
};

/// A data centre and its region.
struct Site
{
  DataCentreId dataCentre_;
  RegionId region_;
  bool operator==(const Site&) const = default;
};

/// Settings of the policy under load. The two deployments differ here only.
struct Policy
{
  Duration keyFreshnessBound_ =
    seconds(10); ///< Keyed routes stop when the configuration is older; 3 s to 3,600 s.
  double floorFraction_ = 0.25;        ///< Part of each rate held as long-lived floors; 0 to 0.9.
  Duration floorLease_ = seconds(600); ///< Lease of floors.
  Duration elasticLease_ = seconds(5); ///< Lease of elastic shares.
  double retryRatio_ = 0.1;            ///< Retries for each first try at a service; 0 to 1.
  /// Most retries that a host saves up for a service.
  double retryBudgetCapacity_ = 10;
  /// Parts of the time that a call can spare that it waits before it crosses to another data centre
  /// or region; 0 to 1.
  double waitWithinRegion_ = 0;
  double waitBetweenRegions_ = 0;
  /// Tokens of the ratio for a retry of a call that may have run.
  double retryMayHaveRunCost_ = 1;
  /// Time after which a service may be retried once even if the ratio is spent.
  Duration guaranteedRetryInterval_ = seconds(1);
  std::uint32_t queueCapacity_ = 1024; ///< Calls queued at a guard; 0 to 1,024.
  double queueDeadlineFraction_ = 0.5; ///< Part of the time left that a call may spend queued.
  bool operator==(const Policy&) const = default;
};

/// The whole configuration in force at a node.
struct Config
{
  Version version_ = 0;
  std::map<ClientAccountId, ClientAccount> clientAccounts_;
  std::map<std::string, ClientAccountId>
    keys_; ///< By SHA-256 digest, 64 lower-case hex digits. Withdrawn keys are absent.
  std::vector<Route> routes_; ///< Sorted by falling prefix length, then by prefix.
  std::map<DataCentreId, Site> sites_;
  Policy policy_;
  /// Routes are chosen by host and exact prefix, without interpreting the path.
  bool routesByHost_ = false;
  bool operator==(const Config&) const = default;
};

/// The route with the longest prefix that matches the path at a '/' boundary; null if none does,
/// and for paths that a target may resolve differently (dot segments, empty segments, encoded dots
/// or slashes). A query is ignored.
const Route* FindRoute(const Config& aConfig, std::string_view aPath);

/// The route of the host with the longest prefix that begins the path; null if none does.
const Route* FindHostRoute(const Config& aConfig, std::string_view aHost, std::string_view aPath);

/// Importance of an account's requests on a route: the account's priority ranks before the route's.
/// kCritical is left to calls without an account.
Importance ImportanceFor(const Config& aConfig, const ClientAccount& aAccount, const Route& aRoute);

/// The client account of a key given by its digest, compared in constant time; null for unknown and
/// withdrawn keys.
const ClientAccount* FindAccountByKeyDigest(const Config& aConfig, std::string_view aDigestHex);

/// SHA-256 of a caller's key as 64 lower-case hex digits.
std::string KeyDigest(std::string_view aKey);

} // namespace peridotquay
