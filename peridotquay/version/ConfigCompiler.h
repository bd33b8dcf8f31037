// Turns the entities of a version into the configuration of one data centre.
//
// Entities and their JSON (docs/OPERATIONS.md has all keys with ranges):
//   account/<id>      {"rate":100,"burst":200}
//   key/<digest>      {"account":"<id>"}, with "withdrawn":true once withdrawn
//   route/<id>        {"prefix":"/a","service":"<id>"}, optional importance, repeatable, open,
//                     max_retries, deadline_ms, accounts
//   service/<id>      {}
//   site/<dc>         {"region":"<id>"}, optional "overlay" with routes, accounts and policy
//   policy/default    {}, all keys optional
//   policy/replaced   {"key_freshness_bound_ms":10000,"until_ms":0}, a bound lowered lately
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigDelta.h"

#include <memory>
#include <set>
#include <string>
#include <vector>

namespace peridotquay {

/// A site with its overlay, not yet compared with the base.
struct SiteEntity
{
  Site site_;
  std::string overlay_; ///< JSON text of an object.
  bool operator==(const SiteEntity&) const = default;
};

/// Parsed entities of a version, kept so that the next version parses only what it changed. At
/// 4,096 client accounts and 1,500 routes parsing everything takes most of a compilation.
struct ConfigCache
{
  Config base_; ///< Without overlays and without a version.
  std::set<ServiceId> services_;
  std::map<DataCentreId, SiteEntity> sites_;
  std::set<std::string> touched_; ///< Entities that differ from what was parsed.
  bool parsed_ = false;           ///< False: everything must be parsed.
};

/// Notes that entities were put or removed since the last compilation. Call it for each change that
/// was applied, and ResetConfigCache when all entities were replaced.
void MarkEntitiesChanged(ConfigCache& aCache, const std::vector<EntityEdit>& aEdits);

/// Makes the next compilation parse everything.
void ResetConfigCache(ConfigCache& aCache);

/// Checks all entities, applies the overlay of the data centre and returns its configuration. The
/// check covers the overlays of every data centre, so it gives the same verdict at every host. A
/// data centre that isn't among the sites is an error, unless there are no sites at all. The
/// subject of an error is "<entity>: <key>". Errors: kSyntax, kUnknownSetting, kWrongType,
/// kOutOfRange, kMissingSetting, kContradiction, kUnknownReference, kUnknownSite, kOverlayWidens.
Result<std::shared_ptr<const Config>> CompileConfig(const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion);

/// The same for a node that follows the versions: parses only the entities that were touched.
Result<std::shared_ptr<const Config>> CompileConfig(ConfigCache& aCache,
                                                    const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion);

/// Checks all entities and all overlays, as CompileConfig does for any data centre.
Result<void> CheckEntities(const Entities& aEntities);

} // namespace peridotquay
