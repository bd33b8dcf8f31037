// Checks entities by their schema and against each other, and applies the overlay of a data centre.
#include "peridotquay/version/ConfigCompiler.h"

#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <limits>
#include <set>

namespace peridotquay {

namespace {

constexpr std::size_t kMaxClientAccounts = 4096;
constexpr std::size_t kMaxSites = 64;

Result<ClientAccount> ReadAccount(const ConfigTable& aTable, const std::string& aId)
{
  BOOST_OUTCOME_TRYV(CheckKeys(aTable, { "rate", "burst", "description" }));
  ClientAccount account;
  account.id_.value_ = aId;
  BOOST_OUTCOME_TRY(rate, ReadNumber(aTable, "rate", 0.001, 1e6));
  BOOST_OUTCOME_TRY(burst, ReadNumber(aTable, "burst", 1, 1e6));
  BOOST_OUTCOME_TRYV(ReadText(aTable, "description", 256));
  if (!rate) {
    return MissingKeyFailure(aTable, "rate");
  }
  if (!burst) {
    return MissingKeyFailure(aTable, "burst");
  }
  account.ratePerSecond_ = *rate;
  account.burst_ = *burst;
  return account;
}

bool IsDigest(std::string_view aText)
{
  return aText.size() == 64 && aText.find_first_not_of("0123456789abcdef") == std::string::npos;
}

Result<void> ReadKey(const ConfigTable& aTable, const std::string& aDigest, Config& aConfig)
{
  if (!IsDigest(aDigest)) {
    return Fail(ErrorCode::kOutOfRange, aTable.entity_, "64 lower-case hex digits");
  }
  BOOST_OUTCOME_TRYV(CheckKeys(aTable, { "account", "label", "source", "withdrawn" }));
  BOOST_OUTCOME_TRY(account, ReadText(aTable, "account", 64));
  BOOST_OUTCOME_TRYV(ReadText(aTable, "label", 128));
  BOOST_OUTCOME_TRY(source, ReadText(aTable, "source", 16));
  BOOST_OUTCOME_TRY(withdrawn, ReadFlag(aTable, "withdrawn"));
  if (!account) {
    return MissingKeyFailure(aTable, "account");
  }
  if (source && *source != "file" && *source != "command") {
    return Fail(ErrorCode::kOutOfRange, ErrorSubject(aTable, "source"), "file or command");
  }
  if (!withdrawn.value_or(false)) {
    aConfig.keys_[aDigest] = ClientAccountId{ *account };
  }
  return Success();
}

/// Whether a prefix can be matched at a '/' boundary without ambiguity.
bool IsRoutePrefix(std::string_view aPrefix)
{
  if (aPrefix == "/") {
    return true;
  }
  if (aPrefix.size() > 256 || aPrefix.empty() || aPrefix.front() != '/' || aPrefix.back() == '/') {
    return false;
  }
  const bool plain =
    aPrefix.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                              "0123456789-._~/") == std::string_view::npos;
  const auto text = std::string(aPrefix) + "/";
  return plain && text.find("//") == std::string::npos && text.find("/./") == std::string::npos &&
         text.find("/../") == std::string::npos;
}

Result<std::optional<Importance>> ReadImportance(const ConfigTable& aTable)
{
  BOOST_OUTCOME_TRY(text, ReadText(aTable, "importance", 16));
  if (!text) {
    return std::optional<Importance>{};
  }
  const auto importance = ParseImportance(*text);
  if (!importance) {
    return Fail(
      ErrorCode::kOutOfRange, ErrorSubject(aTable, "importance"), "critical, high, normal or low");
  }
  return importance;
}

/// Reads the keys of a route that an overlay may set as well as the base.
Result<void> ReadOverridableRouteKeys(const ConfigTable& aTable, Route& aRoute)
{
  BOOST_OUTCOME_TRY(importance, ReadImportance(aTable));
  BOOST_OUTCOME_TRY(open, ReadFlag(aTable, "open"));
  BOOST_OUTCOME_TRY(retries, ReadInteger(aTable, "max_retries", 0, 16));
  BOOST_OUTCOME_TRY(deadline, ReadInteger(aTable, "deadline_ms", 1, 600000));
  BOOST_OUTCOME_TRY(accounts, ReadTextList(aTable, "accounts", kMaxClientAccounts));
  aRoute.importance_ = importance.value_or(aRoute.importance_);
  aRoute.open_ = open.value_or(aRoute.open_);
  if (retries) {
    aRoute.maxRetries_ = static_cast<std::uint32_t>(*retries);
  }
  if (deadline) {
    aRoute.deadline_ = milliseconds(*deadline);
  }
  if (accounts) {
    aRoute.clientAccounts_.clear();
    std::transform(accounts->begin(),
                   accounts->end(),
                   std::back_inserter(aRoute.clientAccounts_),
                   [](const std::string& aId) { return ClientAccountId{ aId }; });
  }
  return Success();
}

Result<Route> ReadRoute(const ConfigTable& aTable, const std::string& aId)
{
  BOOST_OUTCOME_TRYV(CheckKeys(aTable,
                               { "prefix",
                                 "service",
                                 "importance",
                                 "repeatable",
                                 "open",
                                 "max_retries",
                                 "deadline_ms",
                                 "accounts",
                                 "description" }));
  Route route;
  route.id_.value_ = aId;
  BOOST_OUTCOME_TRY(prefix, ReadText(aTable, "prefix", 256));
  BOOST_OUTCOME_TRY(service, ReadText(aTable, "service", 64));
  BOOST_OUTCOME_TRY(repeatable, ReadFlag(aTable, "repeatable"));
  BOOST_OUTCOME_TRYV(ReadText(aTable, "description", 256));
  BOOST_OUTCOME_TRYV(ReadOverridableRouteKeys(aTable, route));
  if (!prefix) {
    return MissingKeyFailure(aTable, "prefix");
  }
  if (!service) {
    return MissingKeyFailure(aTable, "service");
  }
  if (!IsRoutePrefix(*prefix)) {
    return Fail(
      ErrorCode::kOutOfRange,
      ErrorSubject(aTable, "prefix"),
      "begins with '/', letters, digits and -._~/, no '//' or dot segments, no '/' at the "
      "end, at most 256 bytes");
  }
  if (route.open_ && !route.clientAccounts_.empty()) {
    return Fail(
      ErrorCode::kContradiction, ErrorSubject(aTable, "accounts"), "empty on an open route");
  }
  route.prefix_ = *prefix;
  route.service_.value_ = *service;
  route.repeatable_ = repeatable.value_or(true);
  return route;
}

Result<void> ReadPolicy(const ConfigTable& aTable, Policy& aPolicy)
{
  BOOST_OUTCOME_TRYV(CheckKeys(aTable,
                               { "key_freshness_bound_ms",
                                 "floor_fraction",
                                 "floor_lease_ms",
                                 "elastic_lease_ms",
                                 "retry_ratio",
                                 "queue_capacity",
                                 "queue_deadline_fraction" }));
  BOOST_OUTCOME_TRY(bound, ReadInteger(aTable, "key_freshness_bound_ms", 3000, 3600000));
  BOOST_OUTCOME_TRY(floor, ReadNumber(aTable, "floor_fraction", 0, 0.9));
  BOOST_OUTCOME_TRY(floorLease, ReadInteger(aTable, "floor_lease_ms", 10000, 86400000));
  BOOST_OUTCOME_TRY(elasticLease, ReadInteger(aTable, "elastic_lease_ms", 2000, 60000));
  BOOST_OUTCOME_TRY(retryRatio, ReadNumber(aTable, "retry_ratio", 0, 1));
  BOOST_OUTCOME_TRY(capacity, ReadInteger(aTable, "queue_capacity", 0, 1024));
  BOOST_OUTCOME_TRY(fraction, ReadNumber(aTable, "queue_deadline_fraction", 0, 1));
  const auto setDuration = [](Duration& aOut, const std::optional<std::int64_t>& aValue) {
    aOut = aValue ? Duration(milliseconds(*aValue)) : aOut;
  };
  setDuration(aPolicy.keyFreshnessBound_, bound);
  setDuration(aPolicy.floorLease_, floorLease);
  setDuration(aPolicy.elasticLease_, elasticLease);
  aPolicy.floorFraction_ = floor.value_or(aPolicy.floorFraction_);
  aPolicy.retryRatio_ = retryRatio.value_or(aPolicy.retryRatio_);
  aPolicy.queueDeadlineFraction_ = fraction.value_or(aPolicy.queueDeadlineFraction_);
  if (capacity) {
    aPolicy.queueCapacity_ = static_cast<std::uint32_t>(*capacity);
  }
  if (aPolicy.elasticLease_ >= aPolicy.floorLease_) {
    return Fail(ErrorCode::kContradiction,
                ErrorSubject(aTable, "elastic_lease_ms"),
                "less than floor_lease_ms");
  }
  return Success();
}

Result<SiteEntity> ReadSite(const ConfigTable& aTable, const std::string& aId)
{
  BOOST_OUTCOME_TRYV(CheckKeys(aTable, { "region", "overlay" }));
  BOOST_OUTCOME_TRY(region, ReadText(aTable, "region", 64));
  if (!region) {
    return MissingKeyFailure(aTable, "region");
  }
  if (!IsConfigId(*region)) {
    return Fail(ErrorCode::kOutOfRange, ErrorSubject(aTable, "region"), std::string(kConfigIdRule));
  }
  BOOST_OUTCOME_TRY(overlay, ReadTable(aTable, "overlay"));
  return SiteEntity{ { DataCentreId{ aId }, RegionId{ *region } },
                     overlay ? overlay->json_->dump() : "{}" };
}

Result<void> ReadEntity(const std::string& aKind,
                        const std::string& aId,
                        const ConfigTable& aTable,
                        ConfigCache& aParsed)
{
  if (!IsConfigId(aId)) {
    return Fail(ErrorCode::kOutOfRange, aTable.entity_, std::string(kConfigIdRule));
  }
  if (aKind == "account") {
    BOOST_OUTCOME_TRY(account, ReadAccount(aTable, aId));
    aParsed.base_.clientAccounts_[account.id_] = account;
  } else if (aKind == "key") {
    return ReadKey(aTable, aId, aParsed.base_);
  } else if (aKind == "route") {
    BOOST_OUTCOME_TRY(route, ReadRoute(aTable, aId));
    aParsed.base_.routes_.push_back(std::move(route));
  } else if (aKind == "service") {
    BOOST_OUTCOME_TRYV(CheckKeys(aTable, { "description" }));
    BOOST_OUTCOME_TRYV(ReadText(aTable, "description", 256));
    aParsed.services_.insert(ServiceId{ aId });
  } else if (aKind == "site") {
    BOOST_OUTCOME_TRY(site, ReadSite(aTable, aId));
    aParsed.base_.sites_[site.site_.dataCentre_] = site.site_;
    aParsed.sites_[site.site_.dataCentre_] = std::move(site);
  } else if (aKind == "policy" && aId == "default") {
    return ReadPolicy(aTable, aParsed.base_.policy_);
  } else if (aKind == "policy" && aId == "replaced") {
    // The operator commands store it to know how long to wait for a withdrawal. Nodes ignore it.
    BOOST_OUTCOME_TRYV(CheckKeys(aTable, { "key_freshness_bound_ms", "until_ms" }));
  } else {
    return Fail(ErrorCode::kUnknownSetting,
                aTable.entity_,
                "account/, key/, route/, service/, site/ or policy/default");
  }
  return Success();
}

/// Splits an entity's name at the first '/' into kind and id.
std::pair<std::string, std::string> SplitName(const std::string& aName)
{
  const auto slash = aName.find('/');
  return { aName.substr(0, slash), slash == std::string::npos ? "" : aName.substr(slash + 1) };
}

Result<void> ParseEntity(const std::string& aName, const std::string& aText, ConfigCache& aParsed)
{
  const auto json = ConfigJson::parse(aText, nullptr, false);
  if (!json.is_object()) {
    return Fail(ErrorCode::kSyntax, aName, "a JSON object");
  }
  const auto [kind, id] = SplitName(aName);
  return ReadEntity(kind, id, { &json, aName, "" }, aParsed);
}

/// Removes the parsed form of an entity from the cache.
void RemoveParsed(const std::string& aName, ConfigCache& aParsed)
{
  const auto [kind, id] = SplitName(aName);
  auto& base = aParsed.base_;
  if (kind == "account") {
    base.clientAccounts_.erase(ClientAccountId{ id });
  } else if (kind == "key") {
    base.keys_.erase(id);
  } else if (kind == "route") {
    const RouteId route{ id };
    std::erase_if(base.routes_, [&route](const Route& aRoute) { return aRoute.id_ == route; });
  } else if (kind == "service") {
    aParsed.services_.erase(ServiceId{ id });
  } else if (kind == "site") {
    base.sites_.erase(DataCentreId{ id });
    aParsed.sites_.erase(DataCentreId{ id });
  } else if (aName == "policy/default") {
    base.policy_ = Policy{};
  }
}

void SortRoutes(std::vector<Route>& aRoutes)
{
  std::sort(aRoutes.begin(), aRoutes.end(), [](const Route& aLeft, const Route& aRight) {
    if (aLeft.prefix_.size() != aRight.prefix_.size()) {
      return aLeft.prefix_.size() > aRight.prefix_.size();
    }
    return aLeft.prefix_ < aRight.prefix_;
  });
}

/// Parses the entities that the cache lacks or that changed, and drops those that were removed.
Result<void> ParseChanged(const Entities& aEntities, ConfigCache& aCache)
{
  if (!aCache.parsed_) {
    aCache = ConfigCache{};
    for (const auto& [name, text] : aEntities) {
      BOOST_OUTCOME_TRYV(ParseEntity(name, text, aCache));
    }
  }
  for (const auto& name : aCache.changed_) {
    RemoveParsed(name, aCache);
    if (const auto entity = aEntities.find(name); entity != aEntities.end()) {
      BOOST_OUTCOME_TRYV(ParseEntity(name, entity->second, aCache));
    }
  }
  aCache.changed_.clear();
  SortRoutes(aCache.base_.routes_);
  return Success();
}

Result<void> CheckAccountsKnown(const Route& aRoute,
                                const Config& aConfig,
                                const std::string& aSubject)
{
  std::set<ClientAccountId> seen;
  for (const auto& id : aRoute.clientAccounts_) {
    if (!aConfig.clientAccounts_.contains(id)) {
      return Fail(ErrorCode::kUnknownReference, aSubject, "no account/" + id.value_);
    }
    if (!seen.insert(id).second) {
      return Fail(ErrorCode::kContradiction, aSubject, id.value_ + " is listed twice");
    }
  }
  return Success();
}

Result<void> CheckRoutes(const ConfigCache& aParsed)
{
  const auto& routes = aParsed.base_.routes_;
  for (std::size_t i = 0; i < routes.size(); ++i) {
    const auto entity = "route/" + routes[i].id_.value_;
    // Routes are sorted, so equal prefixes are adjacent.
    if (i > 0 && routes[i - 1].prefix_ == routes[i].prefix_) {
      return Fail(ErrorCode::kContradiction,
                  entity + ": prefix",
                  "route/" + routes[i - 1].id_.value_ + " has the same prefix");
    }
    if (!aParsed.services_.contains(routes[i].service_)) {
      return Fail(ErrorCode::kUnknownReference,
                  entity + ": service",
                  "no service/" + routes[i].service_.value_);
    }
    BOOST_OUTCOME_TRYV(CheckAccountsKnown(routes[i], aParsed.base_, entity + ": accounts"));
  }
  return Success();
}

Result<void> CheckReferences(const ConfigCache& aParsed)
{
  const auto& base = aParsed.base_;
  if (base.clientAccounts_.size() > kMaxClientAccounts) {
    return Fail(
      ErrorCode::kOutOfRange, "accounts", "at most " + std::to_string(kMaxClientAccounts));
  }
  if (base.sites_.size() > kMaxSites) {
    return Fail(ErrorCode::kOutOfRange, "sites", "at most " + std::to_string(kMaxSites));
  }
  for (const auto& [digest, account] : base.keys_) {
    if (!base.clientAccounts_.contains(account)) {
      return Fail(ErrorCode::kUnknownReference,
                  "key/" + digest + ": account",
                  "no account/" + account.value_);
    }
  }
  return CheckRoutes(aParsed);
}

auto WidensFailure(const ConfigTable& aTable, const char* aKey, std::string aAllowed)
{
  return Fail(ErrorCode::kOverlayWidens, ErrorSubject(aTable, aKey), std::move(aAllowed));
}

/// Whether every account that the overlay's route lists may use the base route.
bool AllAccountsAllowed(const Route& aBase, const Route& aRoute)
{
  if (aBase.clientAccounts_.empty()) {
    return true;
  }
  return std::all_of(aRoute.clientAccounts_.begin(),
                     aRoute.clientAccounts_.end(),
                     [&aBase](const ClientAccountId& aId) {
                       return std::find(aBase.clientAccounts_.begin(),
                                        aBase.clientAccounts_.end(),
                                        aId) != aBase.clientAccounts_.end();
                     });
}

/// Checks that the overlay's route permits nothing that the base route doesn't.
Result<void> CheckRouteNarrows(const ConfigTable& aTable, const Route& aBase, const Route& aRoute)
{
  if (aRoute.importance_ != aBase.importance_) {
    if (aBase.importance_ == Importance::kCritical) {
      return WidensFailure(aTable, "importance", "can't change on a critical route");
    }
    if (aRoute.importance_ < aBase.importance_) {
      return WidensFailure(
        aTable, "importance", "at most " + std::string(ImportanceName(aBase.importance_)));
    }
  }
  if (aRoute.open_ && !aBase.open_) {
    return WidensFailure(aTable, "open", "false");
  }
  if (aRoute.maxRetries_ > aBase.maxRetries_) {
    return WidensFailure(aTable, "max_retries", "at most " + std::to_string(aBase.maxRetries_));
  }
  if (aRoute.deadline_ > aBase.deadline_) {
    const auto base = std::chrono::duration_cast<milliseconds>(aBase.deadline_).count();
    return WidensFailure(aTable, "deadline_ms", "at most " + std::to_string(base));
  }
  // An empty list would allow all accounts.
  if (aRoute.clientAccounts_.empty() && !aBase.clientAccounts_.empty()) {
    return WidensFailure(aTable, "accounts", "not empty");
  }
  if (!AllAccountsAllowed(aBase, aRoute)) {
    return WidensFailure(aTable, "accounts", "accounts of the base route");
  }
  if (aRoute.open_ && !aRoute.clientAccounts_.empty()) {
    return Fail(
      ErrorCode::kContradiction, ErrorSubject(aTable, "accounts"), "needs open = false as well");
  }
  return Success();
}

/// Changes by an overlay to the base configuration, after they were checked.
struct CheckedOverlay
{
  std::vector<std::pair<std::size_t, Route>> routes_; ///< With their index in Config::routes_.
  std::vector<std::pair<ClientAccountId, double>> rateFractions_;
  Policy policy_;
};

Result<void> CheckRouteOverlays(const ConfigTable& aOverlay,
                                const Config& aBase,
                                CheckedOverlay& aOut)
{
  BOOST_OUTCOME_TRY(routes, ReadTable(aOverlay, "routes"));
  if (!routes) {
    return Success();
  }
  for (const auto& [id, value] : routes->json_->items()) {
    const RouteId routeId{ id };
    const auto found =
      std::find_if(aBase.routes_.begin(), aBase.routes_.end(), [&routeId](const Route& aRoute) {
        return aRoute.id_ == routeId;
      });
    if (found == aBase.routes_.end()) {
      return Fail(ErrorCode::kUnknownReference, ErrorSubject(*routes, id), "no route/" + id);
    }
    BOOST_OUTCOME_TRY(table, ReadTable(*routes, id));
    BOOST_OUTCOME_TRYV(
      CheckKeys(*table, { "importance", "open", "max_retries", "deadline_ms", "accounts" }));
    auto narrowed = *found;
    BOOST_OUTCOME_TRYV(ReadOverridableRouteKeys(*table, narrowed));
    BOOST_OUTCOME_TRYV(CheckRouteNarrows(*table, *found, narrowed));
    BOOST_OUTCOME_TRYV(CheckAccountsKnown(narrowed, aBase, ErrorSubject(*table, "accounts")));
    const auto index = static_cast<std::size_t>(found - aBase.routes_.begin());
    aOut.routes_.emplace_back(index, std::move(narrowed));
  }
  return Success();
}

Result<void> CheckAccountOverlays(const ConfigTable& aOverlay,
                                  const Config& aBase,
                                  CheckedOverlay& aOut)
{
  BOOST_OUTCOME_TRY(accounts, ReadTable(aOverlay, "accounts"));
  if (!accounts) {
    return Success();
  }
  for (const auto& [id, value] : accounts->json_->items()) {
    if (!aBase.clientAccounts_.contains(ClientAccountId{ id })) {
      return Fail(ErrorCode::kUnknownReference, ErrorSubject(*accounts, id), "no account/" + id);
    }
    BOOST_OUTCOME_TRY(table, ReadTable(*accounts, id));
    BOOST_OUTCOME_TRYV(CheckKeys(*table, { "rate_part" }));
    BOOST_OUTCOME_TRY(part, ReadNumber(*table, "rate_part", 0.001, 1));
    aOut.rateFractions_.emplace_back(ClientAccountId{ id }, part.value_or(1.0));
  }
  return Success();
}

Result<void> CheckPolicyOverlay(const ConfigTable& aOverlay, const Policy& aBase, Policy& aPolicy)
{
  BOOST_OUTCOME_TRY(table, ReadTable(aOverlay, "policy"));
  if (!table) {
    return Success();
  }
  // All data centres must use the same leases and floors, so an overlay can't set them.
  BOOST_OUTCOME_TRYV(CheckKeys(
    *table,
    { "key_freshness_bound_ms", "retry_ratio", "queue_capacity", "queue_deadline_fraction" }));
  BOOST_OUTCOME_TRYV(ReadPolicy(*table, aPolicy));
  if (aPolicy.keyFreshnessBound_ > aBase.keyFreshnessBound_) {
    const auto bound = std::chrono::duration_cast<milliseconds>(aBase.keyFreshnessBound_).count();
    return WidensFailure(*table, "key_freshness_bound_ms", "at most " + std::to_string(bound));
  }
  if (aPolicy.retryRatio_ > aBase.retryRatio_) {
    return WidensFailure(*table, "retry_ratio", "at most " + std::to_string(aBase.retryRatio_));
  }
  if (aPolicy.queueCapacity_ > aBase.queueCapacity_) {
    return WidensFailure(
      *table, "queue_capacity", "at most " + std::to_string(aBase.queueCapacity_));
  }
  if (aPolicy.queueDeadlineFraction_ > aBase.queueDeadlineFraction_) {
    return WidensFailure(
      *table, "queue_deadline_fraction", "at most " + std::to_string(aBase.queueDeadlineFraction_));
  }
  return Success();
}

/// Checks that the overlay of a site only narrows the base.
Result<CheckedOverlay> CheckOverlay(const Config& aBase, const SiteEntity& aSite)
{
  const auto json = ConfigJson::parse(aSite.overlay_, nullptr, false);
  const ConfigTable overlay{ &json, "site/" + aSite.site_.dataCentre_.value_, "overlay." };
  CheckedOverlay checked;
  checked.policy_ = aBase.policy_;
  BOOST_OUTCOME_TRYV(CheckKeys(overlay, { "routes", "accounts", "policy" }));
  BOOST_OUTCOME_TRYV(CheckRouteOverlays(overlay, aBase, checked));
  BOOST_OUTCOME_TRYV(CheckAccountOverlays(overlay, aBase, checked));
  BOOST_OUTCOME_TRYV(CheckPolicyOverlay(overlay, aBase.policy_, checked.policy_));
  return checked;
}

/// Applies a checked overlay to a copy of the base against which it was checked.
void ApplyOverlay(CheckedOverlay&& aChecked, Config& aConfig)
{
  for (auto& [index, route] : aChecked.routes_) {
    aConfig.routes_[index] = std::move(route);
  }
  for (const auto& [id, rateFraction] : aChecked.rateFractions_) {
    aConfig.clientAccounts_.at(id).siteRateFraction_ = rateFraction;
  }
  aConfig.policy_ = aChecked.policy_;
}

/// Parses the changed entities and checks the base. The cache is invalid after a failure.
Result<void> ParseAndCheck(const Entities& aEntities, ConfigCache& aCache)
{
  BOOST_OUTCOME_TRYV(ParseChanged(aEntities, aCache));
  BOOST_OUTCOME_TRYV(CheckReferences(aCache));
  return Success();
}

Result<std::shared_ptr<const Config>> Compile(ConfigCache& aCache,
                                              const Entities& aEntities,
                                              const DataCentreId& aDataCentre,
                                              Version aVersion)
{
  BOOST_OUTCOME_TRYV(ParseAndCheck(aEntities, aCache));
  const auto& base = aCache.base_;
  if (!base.sites_.empty() && !base.sites_.contains(aDataCentre)) {
    return Fail(ErrorCode::kUnknownSite, aDataCentre.value_, "a site of the configuration");
  }
  std::optional<CheckedOverlay> ownOverlay;
  for (const auto& [dataCentre, site] : aCache.sites_) {
    BOOST_OUTCOME_TRY(checked, CheckOverlay(base, site));
    if (dataCentre == aDataCentre) {
      ownOverlay = std::move(checked);
    }
  }
  auto compiled = std::make_shared<Config>(base);
  if (ownOverlay) {
    ApplyOverlay(std::move(*ownOverlay), *compiled);
  }
  compiled->version_ = aVersion;
  return std::shared_ptr<const Config>(std::move(compiled));
}

} // namespace

void MarkEntitiesChanged(ConfigCache& aCache, const std::vector<EntityEdit>& aEdits)
{
  for (const auto& edit : aEdits) {
    aCache.changed_.insert(edit.name_);
  }
}

void ResetConfigCache(ConfigCache& aCache)
{
  aCache = ConfigCache{};
}

Result<std::shared_ptr<const Config>> CompileConfig(ConfigCache& aCache,
                                                    const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion)
{
  auto compiled = Compile(aCache, aEntities, aDataCentre, aVersion);
  if (compiled.has_error()) {
    ResetConfigCache(aCache);
  } else {
    aCache.parsed_ = true;
  }
  return compiled;
}

Result<std::shared_ptr<const Config>> CompileConfig(const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion)
{
  ConfigCache cache;
  return Compile(cache, aEntities, aDataCentre, aVersion);
}

Result<void> CheckEntities(const Entities& aEntities)
{
  ConfigCache cache;
  BOOST_OUTCOME_TRYV(ParseAndCheck(aEntities, cache));
  for (const auto& [dataCentre, site] : cache.sites_) {
    BOOST_OUTCOME_TRYV(CheckOverlay(cache.base_, site));
  }
  return Success();
}

} // namespace peridotquay
