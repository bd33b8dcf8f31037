// Parses the TOML base file and the overlay files of sites into entities.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/ConfigDelta.h"

#include <map>
#include <string>
#include <vector>

namespace peridotquay {

/// One configuration file. The name is only used in errors.
struct ConfigFile
{
  std::string name_;
  std::string text_;
};

/// Location in the files where each entity is defined, by entity name.
using EntityLocations = std::map<std::string, SourceLocation>;

/// Parses and checks the base file with all overlays. Errors name the file, line, column and key
/// and the allowed values; their codes are those of CheckEntities and ParseToml. Unless aLocations
/// is null, it receives the location of each entity.
Result<Entities> ParseConfigFiles(const ConfigFile& aBase,
                                  const std::vector<ConfigFile>& aOverlays,
                                  EntityLocations* aLocations = nullptr);

/// Returns the configuration after the files are applied to the current one: the entities of the
/// files and the keys that were granted by command. Errors: kContradiction if the files list a
/// withdrawn key, which would otherwise be granted again.
Result<Entities> MergeConfigFiles(const Entities& aCurrent, const Entities& aFiles);

} // namespace peridotquay
