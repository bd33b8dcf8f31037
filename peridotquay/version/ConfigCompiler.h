// Turns the entities of a version into the configuration of one data centre.
//
// Entities and their JSON (docs/operations.md has all keys with ranges):
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

namespace peridotquay {

/// Checks all entities, applies the overlay of the data centre and returns its configuration. The
/// check covers the overlays of every data centre, so it gives the same verdict at every host. A
/// data centre that isn't among the sites is an error, unless there are no sites at all. The
/// subject of an error is "<entity>: <key>". Errors: kSyntax, kUnknownSetting, kWrongType,
/// kOutOfRange, kMissingSetting, kContradiction, kUnknownReference, kUnknownSite, kOverlayWidens.
Result<std::shared_ptr<const Config>> CompileConfig(const Entities& aEntities,
                                                    const DataCentreId& aDataCentre,
                                                    Version aVersion);

/// Checks all entities and all overlays, as CompileConfig does for any data centre.
Result<void> CheckEntities(const Entities& aEntities);

} // namespace peridotquay
