// Checks entities against their schema and each other, and applies the overlay of a data centre.
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
    return Missing(aTable, "rate");
  }
  if (!burst) {
    return Missing(aTable, "burst");
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
    return Missing(aTable, "account");
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
bool IsPrefix(std::string_view aPrefix)
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

/// Reads the keys that base and overlay have in common.
Result<void> ReadRouteLimits(const ConfigTable& aTable, Route& aRoute)
{
  BOOST_OUTCOME_TRY(importance, ReadImportance(aTable));
  BOOST_OUTCOME_TRY(open, ReadFlag(aTable, "open"));
  BOOST_OUTCOME_TRY(retries, ReadInteger(aTable, "max_retries", 0, 16));
  BOOST_OUTCOME_TRY(deadline, ReadInteger(aTable, "deadline_ms", 1, 600000));
  BOOST_OUTCOME_TRY(accounts, ReadTexts(aTable, "accounts", kMaxClientAccounts));
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
  BOOST_OUTCOME_TRYV(ReadRouteLimits(aTable, route));
  if (!prefix) {
    return Missing(aTable, "prefix");
  }
  if (!service) {
    return Missing(aTable, "service");
  }
  if (!IsPrefix(*prefix)) {
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
  const auto setTime = [](Duration& aOut, const std::optional<std::int64_t>& aValue) {
    aOut = aValue ? Duration(milliseconds(*aValue)) : aOut;
  };
  setTime(aPolicy.keyFreshnessBound_, bound);
  setTime(aPolicy.floorLease_, floorLease);
  setTime(aPolicy.elasticLease_, elasticLease);
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
    return Missing(aTable, "region");
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
    // Kept by the commands for waits on withdrawals; it doesn't concern nodes.
    BOOST_OUTCOME_TRYV(CheckKeys(aTable, { "key_freshness_bound_ms", "until_ms" }));
  } else {
    return Fail(ErrorCode::kUnknownSetting,
                aTable.entity_,
                "account/, key/, route/, service/, site/ or policy/default");
  }
  return Success();
}

/// An entity's name in its two parts.
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

/// Removes what was parsed from an entity.
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

/// Brings the cache up to date with the entities.
Result<void> ParseTouched(const Entities& aEntities, ConfigCache& aCache)
{
  if (!aCache.parsed_) {
    aCache = ConfigCache{};
    for (const auto& [name, text] : aEntities) {
      BOOST_OUTCOME_TRYV(ParseEntity(name, text, aCache));
    }
  }
  for (const auto& name : aCache.touched_) {
    RemoveParsed(name, aCache);
    if (const auto entity = aEntities.find(name); entity != aEntities.end()) {
      BOOST_OUTCOME_TRYV(ParseEntity(name, entity->second, aCache));
    }
  }
  aCache.touched_.clear();
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
    // Routes are sorted, so equal prefixes are neighbours.
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

auto Widens(const ConfigTable& aTable, const char* aKey, std::string aAllowed)
{
  return Fail(ErrorCode::kOverlayWidens, ErrorSubject(aTable, aKey), std::move(aAllowed));
}

/// Whether every account of the narrowed route may use the base route.
bool AccountsNarrow(const Route& aBase, const Route& aRoute)
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

/// Checks that the overlay's route allows nothing that the base route doesn't.
Result<void> CheckNarrowed(const ConfigTable& aTable, const Route& aBase, const Route& aRoute)
{
  if (aRoute.importance_ != aBase.importance_) {
    if (aBase.importance_ == Importance::kCritical) {
      return Widens(aTable, "importance", "can't change on a critical route");
    }
    if (aRoute.importance_ < aBase.importance_) {
      return Widens(
        aTable, "importance", "at most " + std::string(ImportanceName(aBase.importance_)));
    }
  }
  if (aRoute.open_ && !aBase.open_) {
    return Widens(aTable, "open", "false");
  }
  if (aRoute.maxRetries_ > aBase.maxRetries_) {
    return Widens(aTable, "max_retries", "at most " + std::to_string(aBase.maxRetries_));
  }
  if (aRoute.deadline_ > aBase.deadline_) {
    const auto base = std::chrono::duration_cast<milliseconds>(aBase.deadline_).count();
    return Widens(aTable, "deadline_ms", "at most " + std::to_string(base));
  }
  // An empty list would allow all accounts.
  if (aRoute.clientAccounts_.empty() && !aBase.clientAccounts_.empty()) {
    return Widens(aTable, "accounts", "not empty");
  }
  if (!AccountsNarrow(aBase, aRoute)) {
    return Widens(aTable, "accounts", "accounts of the base route");
  }
  if (aRoute.open_ && !aRoute.clientAccounts_.empty()) {
    return Fail(
      ErrorCode::kContradiction, ErrorSubject(aTable, "accounts"), "needs open = false as well");
  }
  return Success();
}

/// What an overlay changes in the base, checked.
struct Narrowing
{
  std::vector<std::pair<std::size_t, Route>> routes_; ///< By index in the base.
  std::vector<std::pair<ClientAccountId, double>> rateParts_;
  Policy policy_;
};

Result<void> NarrowRoutes(const ConfigTable& aOverlay, const Config& aBase, Narrowing& aOut)
{
  BOOST_OUTCOME_TRY(routes, ReadTable(aOverlay, "routes"));
  if (!routes) {
    return Success();
  }
  for (const auto& [id, value] : routes->json_->items()) {
    const RouteId wanted{ id };
    const auto found =
      std::find_if(aBase.routes_.begin(), aBase.routes_.end(), [&wanted](const Route& aRoute) {
        return aRoute.id_ == wanted;
      });
    if (found == aBase.routes_.end()) {
      return Fail(ErrorCode::kUnknownReference, ErrorSubject(*routes, id), "no route/" + id);
    }
    BOOST_OUTCOME_TRY(table, ReadTable(*routes, id));
    BOOST_OUTCOME_TRYV(
      CheckKeys(*table, { "importance", "open", "max_retries", "deadline_ms", "accounts" }));
    auto narrowed = *found;
    BOOST_OUTCOME_TRYV(ReadRouteLimits(*table, narrowed));
    BOOST_OUTCOME_TRYV(CheckNarrowed(*table, *found, narrowed));
    BOOST_OUTCOME_TRYV(CheckAccountsKnown(narrowed, aBase, ErrorSubject(*table, "accounts")));
    const auto index = static_cast<std::size_t>(found - aBase.routes_.begin());
    aOut.routes_.emplace_back(index, std::move(narrowed));
  }
  return Success();
}

Result<void> NarrowAccounts(const ConfigTable& aOverlay, const Config& aBase, Narrowing& aOut)
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
    aOut.rateParts_.emplace_back(ClientAccountId{ id }, part.value_or(1.0));
  }
  return Success();
}

Result<void> NarrowPolicy(const ConfigTable& aOverlay, const Policy& aBase, Policy& aPolicy)
{
  BOOST_OUTCOME_TRY(table, ReadTable(aOverlay, "policy"));
  if (!table) {
    return Success();
  }
  // Leases and floors are agreements between data centres, so no site can set them alone.
  BOOST_OUTCOME_TRYV(CheckKeys(
    *table,
    { "key_freshness_bound_ms", "retry_ratio", "queue_capacity", "queue_deadline_fraction" }));
  BOOST_OUTCOME_TRYV(ReadPolicy(*table, aPolicy));
  if (aPolicy.keyFreshnessBound_ > aBase.keyFreshnessBound_) {
    const auto bound = std::chrono::duration_cast<milliseconds>(aBase.keyFreshnessBound_).count();
    return Widens(*table, "key_freshness_bound_ms", "at most " + std::to_string(bound));
  }
  if (aPolicy.retryRatio_ > aBase.retryRatio_) {
    return Widens(*table, "retry_ratio", "at most " + std::to_string(aBase.retryRatio_));
  }
  if (aPolicy.queueCapacity_ > aBase.queueCapacity_) {
    return Widens(*table, "queue_capacity", "at most " + std::to_string(aBase.queueCapacity_));
  }
  if (aPolicy.queueDeadlineFraction_ > aBase.queueDeadlineFraction_) {
    return Widens(
      *table, "queue_deadline_fraction", "at most " + std::to_string(aBase.queueDeadlineFraction_));
  }
  return Success();
}

/// Checks the overlay of a site against the base.
Result<Narrowing> CheckOverlay(const Config& aBase, const SiteEntity& aSite)
{
  const auto json = ConfigJson::parse(aSite.overlay_, nullptr, false);
  const ConfigTable overlay{ &json, "site/" + aSite.site_.dataCentre_.value_, "overlay." };
  Narrowing narrowing;
  narrowing.policy_ = aBase.policy_;
  BOOST_OUTCOME_TRYV(CheckKeys(overlay, { "routes", "accounts", "policy" }));
  BOOST_OUTCOME_TRYV(NarrowRoutes(overlay, aBase, narrowing));
  BOOST_OUTCOME_TRYV(NarrowAccounts(overlay, aBase, narrowing));
  BOOST_OUTCOME_TRYV(NarrowPolicy(overlay, aBase.policy_, narrowing.policy_));
  return narrowing;
}

/// Applies a checked overlay to a copy of the base that it was checked against.
void ApplyNarrowing(Narrowing&& aNarrowing, Config& aConfig)
{
  for (auto& [index, route] : aNarrowing.routes_) {
    aConfig.routes_[index] = std::move(route);
  }
  for (const auto& [id, part] : aNarrowing.rateParts_) {
    aConfig.clientAccounts_.at(id).siteRateFraction_ = part;
  }
  aConfig.policy_ = aNarrowing.policy_;
}

/// Parses what was touched and checks the base; the cache is invalid after a failure.
Result<void> ParseAndCheck(const Entities& aEntities, ConfigCache& aCache)
{
  BOOST_OUTCOME_TRYV(ParseTouched(aEntities, aCache));
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
  std::optional<Narrowing> own;
  for (const auto& [dataCentre, site] : aCache.sites_) {
    BOOST_OUTCOME_TRY(narrowing, CheckOverlay(base, site));
    if (dataCentre == aDataCentre) {
      own = std::move(narrowing);
    }
  }
  auto compiled = std::make_shared<Config>(base);
  if (own) {
    ApplyNarrowing(std::move(*own), *compiled);
  }
  compiled->version_ = aVersion;
  return std::shared_ptr<const Config>(std::move(compiled));
}

} // namespace

void MarkEntitiesChanged(ConfigCache& aCache, const std::vector<EntityEdit>& aEdits)
{
  for (const auto& edit : aEdits) {
    aCache.touched_.insert(edit.name_);
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
