// Turns the entities of a version into the configuration of one data centre.
//
// Entities and their JSON (docs/OPERATIONS.md lists all keys with their ranges):
//   account/<id>      {"rate":100,"burst":200}
//   key/<digest>      {"account":"<id>"}, and "withdrawn":true after a withdrawal
//   route/<id>        {"prefix":"/a","service":"<id>"}, optional importance, repeatable, open,
//                     max_retries, deadline_ms, accounts
//   service/<id>      {}
//   site/<dc>         {"region":"<id>"}, optional "overlay" with routes, accounts and policy
//   policy/default    {}, all keys optional
//   policy/replaced   {"key_freshness_bound_ms":10000,"until_ms":0}, the bound before it was
//                     last lowered
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigDelta.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotquay {

/// A site with its overlay, which isn't checked against the base yet.
struct SiteEntity
{
  Site site_;
  std::string overlay_; ///< JSON text of an object.
  bool operator==(const SiteEntity&) const = default;
};

/// Parsed entities of a version, kept so that the next compilation parses only the changed ones.
/// With 4,096 client accounts and 1,500 routes, parsing everything takes most of a compilation.
struct ConfigCache
{
  Config base_; ///< Parsed base configuration, without overlays and version.
  std::set<ServiceId> services_;
  std::map<DataCentreId, SiteEntity> sites_;
  std::set<std::string> changed_; ///< Names of entities changed since they were parsed.
  bool parsed_ = false;           ///< False: all entities must be parsed.
};

/// Records entities that were put or removed since the last compilation. Must be called for each
/// applied change; if all entities were replaced, call ResetConfigCache instead.
void MarkEntitiesChanged(ConfigCache& aCache, const std::vector<EntityEdit>& aEdits);

/// Makes the next compilation parse all entities.
void ResetConfigCache(ConfigCache& aCache);

/// Checks all entities, applies the overlay of the data centre and returns its configuration. The
/// check covers the overlays of all data centres, so it has the same result at every host. A data
/// centre that isn't among the sites is an error, unless there are no sites at all. The subject of
/// an error is "<entity>: <key>". Errors: kSyntax, kUnknownSetting, kWrongType, kOutOfRange,
/// kMissingSetting, kContradiction, kUnknownReference, kUnknownSite, kOverlayWidens.
Result<std::shared_ptr<const Config>> CompileConfig(const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion);

/// Like the function above, for nodes that compile each version in turn. Parses only the entities
/// recorded as changed since the last successful compilation with this cache; after a failure,
/// parses all.
Result<std::shared_ptr<const Config>> CompileConfig(ConfigCache& aCache,
                                                    const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion);

/// Checks all entities and all overlays, as CompileConfig does, without a data centre.
Result<void> CheckEntities(const Entities& aEntities);

} // namespace peridotquay
