// Parses configuration files. Each TOML value is copied to the JSON of its entity. Its location in
// the file is stored under the subject that errors about it have, so that an error from the checks
// of the entities can name the file and line.
#include "peridotquay/version/ConfigParser.h"

#include "peridotquay/process/TomlFile.h"
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace peridotquay {

namespace {

/// Locations of all keys, by the subject of errors about them.
using LocationsBySubject = std::map<std::string, SourceLocation>;

/// Tables of the base file and the kind of entity that their members become.
constexpr std::array<std::pair<const char*, const char*>, 5> kEntityTables = { {
  { "accounts", "account" },
  { "keys", "key" },
  { "routes", "route" },
  { "services", "service" },
  { "sites", "site" },
} };

auto FailAt(ErrorCode aCode,
            std::string aSubject,
            std::string aAllowed,
            const SourceLocation& aLocation)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aCode, std::move(aSubject), std::move(aAllowed), aLocation });
}

/// The file whose values are converted, and where their locations are stored.
struct ConversionContext
{
  const std::string* file_;
  LocationsBySubject* locations_;
};

Result<ConfigJson> ConvertNode(const ConversionContext& aContext,
                               const toml::node& aNode,
                               const std::string& aSubject);

/// Converts a table to a JSON object. The prefix and a key make the subject of errors about it.
Result<ConfigJson> ConvertTable(const ConversionContext& aContext,
                                const toml::table& aTable,
                                const std::string& aPrefix)
{
  auto json = ConfigJson::object();
  for (const auto& [key, node] : aTable) {
    const auto subject = aPrefix + std::string(key.str());
    (*aContext.locations_)[subject] = SourceLocationOf(key.source(), *aContext.file_);
    BOOST_OUTCOME_TRY(value, ConvertNode(aContext, node, subject));
    json[std::string(key.str())] = std::move(value);
  }
  return json;
}

Result<ConfigJson> ConvertNode(const ConversionContext& aContext,
                               const toml::node& aNode,
                               const std::string& aSubject)
{
  const auto location = SourceLocationOf(aNode.source(), *aContext.file_);
  if (const auto* table = aNode.as_table()) {
    return ConvertTable(aContext, *table, aSubject + ".");
  }
  if (const auto* list = aNode.as_array()) {
    auto json = ConfigJson::array();
    for (const auto& element : *list) {
      BOOST_OUTCOME_TRY(value, ConvertNode(aContext, element, aSubject));
      json.push_back(std::move(value));
    }
    return json;
  }
  if (const auto text = aNode.value_exact<std::string>()) {
    return ConfigJson(*text);
  }
  if (const auto flag = aNode.value_exact<bool>()) {
    return ConfigJson(*flag);
  }
  if (const auto integer = aNode.value_exact<std::int64_t>()) {
    return ConfigJson(*integer);
  }
  const auto number = aNode.value_exact<double>();
  if (!number) {
    return FailAt(ErrorCode::kWrongType, aSubject, "dates and times aren't allowed", location);
  }
  if (!std::isfinite(*number)) {
    return FailAt(ErrorCode::kOutOfRange, aSubject, "a finite number", location);
  }
  return ConfigJson(*number);
}

/// Returns the location of an error: that of its subject if known, otherwise of the innermost known
/// table around it.
SourceLocation FindLocation(const LocationsBySubject& aLocations,
                            std::string aSubject,
                            const std::string& aFile)
{
  for (;;) {
    if (const auto found = aLocations.find(aSubject); found != aLocations.end()) {
      return found->second;
    }
    const auto dot = aSubject.rfind('.');
    const auto colon = aSubject.rfind(": ");
    if (dot != std::string::npos && (colon == std::string::npos || dot > colon)) {
      aSubject.resize(dot);
    } else if (colon != std::string::npos) {
      aSubject.resize(colon);
    } else {
      return { aFile, 0, 0 };
    }
  }
}

/// Checks that the base file sets no key of an entity that only commands and overlays may set.
Result<void> CheckFileKeys(const std::string& aKind, const ConfigTable& aTable)
{
  if (aKind == "key") {
    return CheckKeys(aTable, { "account", "label" });
  }
  if (aKind == "site") {
    return CheckKeys(aTable, { "region" });
  }
  return Success();
}

/// Adds an entity of the base file to aOut.
Result<void> ReadEntityTable(const ConversionContext& aContext,
                             const std::string& aKind,
                             const std::string& aId,
                             const toml::table& aTable,
                             std::map<std::string, ConfigJson>& aOut)
{
  const auto entity = aKind + "/" + aId;
  BOOST_OUTCOME_TRY(json, ConvertTable(aContext, aTable, entity + ": "));
  BOOST_OUTCOME_TRYV(CheckFileKeys(aKind, { &json, entity, "" }));
  if (aKind == "key") {
    json["source"] = "file";
  }
  aOut[entity] = std::move(json);
  return Success();
}

/// Parses the base file and adds its entities to aOut, by name.
Result<void> ReadBase(const ConfigFile& aBase,
                      LocationsBySubject& aLocations,
                      std::map<std::string, ConfigJson>& aOut)
{
  BOOST_OUTCOME_TRY(table, ParseToml(aBase.text_, aBase.name_));
  const ConversionContext context{ &aBase.name_, &aLocations };
  for (const auto& [key, node] : table) {
    const auto name = std::string(key.str());
    const auto location = SourceLocationOf(key.source(), aBase.name_);
    const auto* members = node.as_table();
    const auto* const kind =
      std::find_if(kEntityTables.begin(), kEntityTables.end(), [&name](const auto& aEntry) {
        return name == aEntry.first;
      });
    if (kind == kEntityTables.end() && name != "policy") {
      return FailAt(ErrorCode::kUnknownSetting,
                    name,
                    "accounts, keys, policy, routes, services, sites",
                    location);
    }
    if (members == nullptr) {
      return FailAt(ErrorCode::kWrongType, name, "a table", location);
    }
    if (name == "policy") {
      aLocations["policy/default"] = location;
      BOOST_OUTCOME_TRYV(ReadEntityTable(context, "policy", "default", *members, aOut));
      continue;
    }
    for (const auto& [id, member] : *members) {
      const auto entity = std::string(kind->second) + "/" + std::string(id.str());
      aLocations[entity] = SourceLocationOf(id.source(), aBase.name_);
      if (!member.is_table()) {
        return FailAt(ErrorCode::kWrongType, entity, "a table", aLocations[entity]);
      }
      BOOST_OUTCOME_TRYV(
        ReadEntityTable(context, kind->second, std::string(id.str()), *member.as_table(), aOut));
    }
  }
  return Success();
}

/// Parses an overlay file and adds it to the entity of its site.
Result<void> ReadOverlay(const ConfigFile& aFile,
                         LocationsBySubject& aLocations,
                         std::map<std::string, ConfigJson>& aOut)
{
  BOOST_OUTCOME_TRY(table, ParseToml(aFile.text_, aFile.name_));
  const auto* node = table.get("data_centre");
  if (node == nullptr) {
    return FailAt(ErrorCode::kMissingSetting, "data_centre", "required", { aFile.name_, 1, 1 });
  }
  const auto location = SourceLocationOf(node->source(), aFile.name_);
  const auto dataCentre = node->value_exact<std::string>();
  if (!dataCentre) {
    return FailAt(ErrorCode::kWrongType, "data_centre", "a string", location);
  }
  const auto entity = "site/" + *dataCentre;
  const auto site = aOut.find(entity);
  if (site == aOut.end()) {
    return FailAt(ErrorCode::kUnknownSite, *dataCentre, "a site of the base file", location);
  }
  if (site->second.contains("overlay")) {
    return FailAt(
      ErrorCode::kContradiction, *dataCentre, "at most one overlay for each site", location);
  }
  table.erase("data_centre");
  BOOST_OUTCOME_TRY(json,
                    ConvertTable({ &aFile.name_, &aLocations }, table, entity + ": overlay."));
  aLocations.emplace(entity + ": overlay", SourceLocation{ aFile.name_, 1, 1 });
  site->second["overlay"] = std::move(json);
  return Success();
}

Result<Entities> ReadFiles(const ConfigFile& aBase,
                           const std::vector<ConfigFile>& aOverlays,
                           LocationsBySubject& aLocations)
{
  std::map<std::string, ConfigJson> parsed;
  BOOST_OUTCOME_TRYV(ReadBase(aBase, aLocations, parsed));
  for (const auto& overlay : aOverlays) {
    BOOST_OUTCOME_TRYV(ReadOverlay(overlay, aLocations, parsed));
  }
  Entities entities;
  for (const auto& [name, json] : parsed) {
    entities[name] = json.dump();
  }
  BOOST_OUTCOME_TRYV(CheckEntities(entities));
  return entities;
}

} // namespace

Result<Entities> ParseConfigFiles(const ConfigFile& aBase,
                                  const std::vector<ConfigFile>& aOverlays,
                                  EntityLocations* aLocations)
{
  LocationsBySubject locations;
  auto entities = ReadFiles(aBase, aOverlays, locations);
  if (entities.has_error() && entities.assume_error().location_.file_.empty()) {
    auto error = entities.assume_error();
    error.location_ = FindLocation(locations, error.subject_, aBase.name_);
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(error));
  }
  if (aLocations != nullptr && entities.has_value()) {
    for (const auto& [name, json] : entities.assume_value()) {
      (*aLocations)[name] = FindLocation(locations, name, aBase.name_);
    }
  }
  return entities;
}

Result<Entities> MergeConfigFiles(const Entities& aCurrent, const Entities& aFiles)
{
  auto merged = aFiles;
  for (auto entry = aCurrent.lower_bound("key/");
       entry != aCurrent.end() && entry->first.compare(0, 4, "key/") == 0;
       ++entry) {
    const auto json = ConfigJson::parse(entry->second, nullptr, false);
    const bool object = json.is_object();
    if (object && json.value("withdrawn", ConfigJson(false)) == ConfigJson(true)) {
      if (aFiles.contains(entry->first)) {
        return Fail(ErrorCode::kContradiction,
                    entry->first,
                    "the key was withdrawn; remove it from the file");
      }
    } else if (object && json.value("source", ConfigJson()) == ConfigJson("command")) {
      merged[entry->first] = entry->second;
    }
  }
  return merged;
}

} // namespace peridotquay
