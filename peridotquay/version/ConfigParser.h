// Parses the TOML base file and the overlays of sites into entities.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/ConfigDelta.h"

#include <map>
#include <string>
#include <vector>

namespace peridotquay {

/// Text of one configuration file; the name is used in errors only.
struct ConfigFile
{
  std::string name_;
  std::string text_;
};

/// Where the files define each entity.
using EntityPlaces = std::map<std::string, SourceLocation>;

/// Parses and checks the base file with all overlays. Errors name the file, line, column and key
/// and the allowed values; their codes are those of CheckEntities and ParseToml. Places are
/// returned if aPlaces isn't null.
Result<Entities> ParseConfigFiles(const ConfigFile& aBase,
                                  const std::vector<ConfigFile>& aOverlays,
                                  EntityPlaces* aPlaces = nullptr);

/// The configuration that applying files to a present configuration gives: the entities of the
/// files, and the keys that were granted by command. Errors: kContradiction if the files list a key
/// that was withdrawn; it would be granted again otherwise.
Result<Entities> MergeFiles(const Entities& aPresent, const Entities& aFiles);

} // namespace peridotquay
