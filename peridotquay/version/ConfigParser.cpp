// Parses configuration files. Each TOML value is copied to the JSON of its entity, and its place is
// kept under the subject that errors of the entity checks name.
#include "peridotquay/version/ConfigParser.h"

#include "peridotquay/process/TomlPlaces.h"
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <map>

namespace peridotquay {

namespace {

/// Places of all keys, by the subject of errors about them.
using Places = std::map<std::string, SourceLocation>;

/// Tables of the base file and the kind of entity that each of their members becomes.
constexpr std::array<std::pair<const char*, const char*>, 5> kTables = { {
  { "accounts", "account" },
  { "keys", "key" },
  { "routes", "route" },
  { "services", "service" },
  { "sites", "site" },
} };

auto FailAt(ErrorCode aCode,
            std::string aSubject,
            std::string aAllowed,
            const SourceLocation& aPlace)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aCode, std::move(aSubject), std::move(aAllowed), aPlace });
}

/// Where a file's values go.
struct Target
{
  const std::string* file_;
  Places* places_;
};

Result<ConfigJson> ConvertNode(const Target& aTarget,
                               const toml::node& aNode,
                               const std::string& aSubject);

Result<ConfigJson> ConvertTable(const Target& aTarget,
                                const toml::table& aTable,
                                const std::string& aPrefix)
{
  auto json = ConfigJson::object();
  for (const auto& [key, node] : aTable) {
    const auto subject = aPrefix + std::string(key.str());
    (*aTarget.places_)[subject] = PlaceOf(key.source(), *aTarget.file_);
    BOOST_OUTCOME_TRY(value, ConvertNode(aTarget, node, subject));
    json[std::string(key.str())] = std::move(value);
  }
  return json;
}

Result<ConfigJson> ConvertNode(const Target& aTarget,
                               const toml::node& aNode,
                               const std::string& aSubject)
{
  const auto place = PlaceOf(aNode.source(), *aTarget.file_);
  if (const auto* table = aNode.as_table()) {
    return ConvertTable(aTarget, *table, aSubject + ".");
  }
  if (const auto* list = aNode.as_array()) {
    auto json = ConfigJson::array();
    for (const auto& element : *list) {
      BOOST_OUTCOME_TRY(value, ConvertNode(aTarget, element, aSubject));
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
    return FailAt(ErrorCode::kWrongType, aSubject, "no date or time", place);
  }
  if (!std::isfinite(*number)) {
    return FailAt(ErrorCode::kOutOfRange, aSubject, "a finite number", place);
  }
  return ConfigJson(*number);
}

/// The place of an error: that of its subject, else of the closest table around it.
SourceLocation FindPlace(const Places& aPlaces, std::string aSubject, const std::string& aFile)
{
  for (;;) {
    if (const auto found = aPlaces.find(aSubject); found != aPlaces.end()) {
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

/// Checks that a file gives an entity no key that only commands and overlays set.
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

Result<void> ReadEntityTable(const Target& aTarget,
                             const std::string& aKind,
                             const std::string& aId,
                             const toml::table& aTable,
                             std::map<std::string, ConfigJson>& aOut)
{
  const auto entity = aKind + "/" + aId;
  BOOST_OUTCOME_TRY(json, ConvertTable(aTarget, aTable, entity + ": "));
  BOOST_OUTCOME_TRYV(CheckFileKeys(aKind, { &json, entity, "" }));
  if (aKind == "key") {
    json["source"] = "file";
  }
  aOut[entity] = std::move(json);
  return Success();
}

Result<void> ReadBase(const ConfigFile& aBase,
                      Places& aPlaces,
                      std::map<std::string, ConfigJson>& aOut)
{
  BOOST_OUTCOME_TRY(table, ParseToml(aBase.text_, aBase.name_));
  const Target target{ &aBase.name_, &aPlaces };
  for (const auto& [key, node] : table) {
    const auto name = std::string(key.str());
    const auto place = PlaceOf(key.source(), aBase.name_);
    const auto* members = node.as_table();
    const auto* const kind = std::find_if(
      kTables.begin(), kTables.end(), [&name](const auto& aEntry) { return name == aEntry.first; });
    if (kind == kTables.end() && name != "policy") {
      return FailAt(
        ErrorCode::kUnknownSetting, name, "accounts, keys, policy, routes, services, sites", place);
    }
    if (members == nullptr) {
      return FailAt(ErrorCode::kWrongType, name, "a table", place);
    }
    if (name == "policy") {
      aPlaces["policy/default"] = place;
      BOOST_OUTCOME_TRYV(ReadEntityTable(target, "policy", "default", *members, aOut));
      continue;
    }
    for (const auto& [id, member] : *members) {
      const auto entity = std::string(kind->second) + "/" + std::string(id.str());
      aPlaces[entity] = PlaceOf(id.source(), aBase.name_);
      if (!member.is_table()) {
        return FailAt(ErrorCode::kWrongType, entity, "a table", aPlaces[entity]);
      }
      BOOST_OUTCOME_TRYV(
        ReadEntityTable(target, kind->second, std::string(id.str()), *member.as_table(), aOut));
    }
  }
  return Success();
}

/// Adds an overlay to the entity of its site.
Result<void> ReadOverlay(const ConfigFile& aFile,
                         Places& aPlaces,
                         std::map<std::string, ConfigJson>& aOut)
{
  BOOST_OUTCOME_TRY(table, ParseToml(aFile.text_, aFile.name_));
  const auto* node = table.get("data_centre");
  if (node == nullptr) {
    return FailAt(ErrorCode::kMissingSetting, "data_centre", "required", { aFile.name_, 1, 1 });
  }
  const auto place = PlaceOf(node->source(), aFile.name_);
  const auto dataCentre = node->value_exact<std::string>();
  if (!dataCentre) {
    return FailAt(ErrorCode::kWrongType, "data_centre", "a string", place);
  }
  const auto entity = "site/" + *dataCentre;
  const auto site = aOut.find(entity);
  if (site == aOut.end()) {
    return FailAt(ErrorCode::kUnknownSite, *dataCentre, "a site of the base file", place);
  }
  if (site->second.contains("overlay")) {
    return FailAt(ErrorCode::kContradiction, *dataCentre, "one overlay for each site", place);
  }
  table.erase("data_centre");
  BOOST_OUTCOME_TRY(json, ConvertTable({ &aFile.name_, &aPlaces }, table, entity + ": overlay."));
  aPlaces.emplace(entity + ": overlay", SourceLocation{ aFile.name_, 1, 1 });
  site->second["overlay"] = std::move(json);
  return Success();
}

Result<Entities> ReadFiles(const ConfigFile& aBase,
                           const std::vector<ConfigFile>& aOverlays,
                           Places& aPlaces)
{
  std::map<std::string, ConfigJson> parsed;
  BOOST_OUTCOME_TRYV(ReadBase(aBase, aPlaces, parsed));
  for (const auto& overlay : aOverlays) {
    BOOST_OUTCOME_TRYV(ReadOverlay(overlay, aPlaces, parsed));
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
                                  EntityPlaces* aPlaces)
{
  Places places;
  auto entities = ReadFiles(aBase, aOverlays, places);
  if (entities.has_error() && entities.assume_error().location_.file_.empty()) {
    auto error = entities.assume_error();
    error.location_ = FindPlace(places, error.subject_, aBase.name_);
    return BOOST_OUTCOME_V2_NAMESPACE::failure(std::move(error));
  }
  if (aPlaces != nullptr && entities.has_value()) {
    for (const auto& [name, json] : entities.assume_value()) {
      (*aPlaces)[name] = FindPlace(places, name, aBase.name_);
    }
  }
  return entities;
}

Result<Entities> MergeFiles(const Entities& aPresent, const Entities& aFiles)
{
  auto merged = aFiles;
  for (auto entry = aPresent.lower_bound("key/");
       entry != aPresent.end() && entry->first.compare(0, 4, "key/") == 0;
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
