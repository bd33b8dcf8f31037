// Differences between configurations, and the JSON text of changes, snapshots and watermarks.
#include "peridotquay/version/ConfigDelta.h"

#include <boost/outcome/try.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <set>

namespace peridotquay {

namespace {

using Json = nlohmann::json;

/// Parses JSON text without exceptions; returns a discarded value if the text is malformed.
Json ParseJson(std::string_view aText)
{
  return Json::parse(aText.begin(), aText.end(), nullptr, false);
}

/// Serializes JSON; bytes that aren't UTF-8 are replaced, so this never throws.
std::string DumpJson(const Json& aJson)
{
  return aJson.dump(-1, ' ', false, Json::error_handler_t::replace);
}

const Json* FindMember(const Json& aObject, const char* aName)
{
  const auto found = aObject.find(aName);
  return found == aObject.end() ? nullptr : &*found;
}

bool ReadString(const Json& aObject, const char* aName, std::string& aOut)
{
  const auto* value = FindMember(aObject, aName);
  if (value == nullptr || !value->is_string()) {
    return false;
  }
  aOut = value->get<std::string>();
  return true;
}

template<typename T>
bool ReadUnsigned(const Json& aObject, const char* aName, T& aOut)
{
  const auto* value = FindMember(aObject, aName);
  if (value == nullptr || !value->is_number_unsigned()) {
    return false;
  }
  const auto number = value->get<std::uint64_t>();
  aOut = static_cast<T>(number);
  return static_cast<std::uint64_t>(aOut) == number;
}

bool ReadStrings(const Json& aObject, const char* aName, std::vector<std::string>& aOut)
{
  const auto* value = FindMember(aObject, aName);
  if (value == nullptr || !value->is_array()) {
    return false;
  }
  for (const auto& element : *value) {
    if (!element.is_string()) {
      return false;
    }
    aOut.push_back(element.get<std::string>());
  }
  return true;
}

Json EditJson(const EntityEdit& aEdit)
{
  // Entities are embedded as text, so that other writers that parse and rewrite the row don't
  // change their bytes.
  Json json = { { "name", aEdit.name_ } };
  json["json"] = aEdit.json_ ? Json(*aEdit.json_) : Json(nullptr);
  return json;
}

bool ReadEdit(const Json& aJson, EntityEdit& aOut)
{
  if (!aJson.is_object() || !ReadString(aJson, "name", aOut.name_)) {
    return false;
  }
  const auto* value = FindMember(aJson, "json");
  if (value == nullptr || !(value->is_null() || value->is_string())) {
    return false;
  }
  if (value->is_string()) {
    aOut.json_ = value->get<std::string>();
  }
  return true;
}

std::size_t EntitiesBytes(const Entities& aEntities)
{
  std::size_t bytes = 0;
  for (const auto& [name, json] : aEntities) {
    bytes += name.size() + json.size();
  }
  return bytes;
}

/// Size of the entities after a change. No two edits of the change may have the same name.
std::size_t EntitiesBytesAfter(const Entities& aEntities, const ConfigChange& aChange)
{
  auto bytes = EntitiesBytes(aEntities);
  for (const auto& edit : aChange.edits_) {
    if (const auto found = aEntities.find(edit.name_); found != aEntities.end()) {
      bytes -= found->first.size() + found->second.size();
    }
    bytes += edit.json_ ? edit.name_.size() + edit.json_->size() : 0;
  }
  return bytes;
}

Result<void> CheckEdit(const Entities& aEntities, const EntityEdit& aEdit)
{
  if (!aEdit.json_) {
    if (!aEntities.contains(aEdit.name_)) {
      return Fail(ErrorCode::kNotFound, aEdit.name_);
    }
    return Success();
  }
  if (!ParseJson(*aEdit.json_).is_object()) {
    return Fail(ErrorCode::kSyntax, aEdit.name_, "a JSON object");
  }
  return Success();
}

} // namespace

std::string ChangeRowKey(Version aVersion)
{
  const auto digits = std::to_string(aVersion);
  const std::string zeros(digits.size() < 16 ? 16 - digits.size() : 0, '0');
  return "config/change/" + zeros + digits;
}

std::string SnapshotName(Version aVersion)
{
  return "config/snapshot/" + std::to_string(aVersion);
}

std::vector<EntityEdit> DiffEntities(const Entities& aFrom, const Entities& aTo)
{
  std::vector<EntityEdit> edits;
  for (const auto& [name, json] : aFrom) {
    if (!aTo.contains(name)) {
      edits.push_back({ name, std::nullopt });
    }
  }
  for (const auto& [name, json] : aTo) {
    const auto found = aFrom.find(name);
    if (found == aFrom.end() || found->second != json) {
      edits.push_back({ name, json });
    }
  }
  std::sort(edits.begin(), edits.end(), [](const EntityEdit& aLeft, const EntityEdit& aRight) {
    return aLeft.name_ < aRight.name_;
  });
  return edits;
}

Result<void> ApplyChange(Entities& aEntities, const ConfigChange& aChange)
{
  if (EncodeChange(aChange).size() > kMaxChangeBytes) {
    return Fail(ErrorCode::kChangeTooLarge,
                "change " + std::to_string(aChange.version_),
                "at most " + std::to_string(kMaxChangeBytes) + " bytes");
  }
  std::set<std::string> names;
  for (const auto& edit : aChange.edits_) {
    if (!names.insert(edit.name_).second) {
      return Fail(ErrorCode::kContradiction, edit.name_, "a change may edit an entity only once");
    }
    BOOST_OUTCOME_TRYV(CheckEdit(aEntities, edit));
  }
  if (EntitiesBytesAfter(aEntities, aChange) > kMaxConfigBytes) {
    return Fail(ErrorCode::kChangeTooLarge,
                "configuration",
                "at most " + std::to_string(kMaxConfigBytes) + " bytes");
  }
  for (const auto& edit : aChange.edits_) {
    if (edit.json_) {
      aEntities[edit.name_] = *edit.json_;
    } else {
      aEntities.erase(edit.name_);
    }
  }
  return Success();
}

std::string EncodeChange(const ConfigChange& aChange)
{
  Json json = { { "version", aChange.version_ },
                { "operator", aChange.operatorName_ },
                { "operation_id", aChange.operationId_ },
                { "wall_ms", aChange.wallTimeMs_ },
                { "summary", aChange.summary_ } };
  auto edits = Json::array();
  for (const auto& edit : aChange.edits_) {
    edits.push_back(EditJson(edit));
  }
  json["edits"] = std::move(edits);
  return DumpJson(json);
}

Result<ConfigChange> DecodeChange(std::string_view aText)
{
  if (aText.size() > kMaxChangeBytes) {
    return Fail(ErrorCode::kChangeTooLarge, "change", std::to_string(kMaxChangeBytes) + " bytes");
  }
  const auto json = ParseJson(aText);
  ConfigChange change;
  const bool valid = json.is_object() && ReadUnsigned(json, "version", change.version_) &&
                     ReadString(json, "operator", change.operatorName_) &&
                     ReadString(json, "operation_id", change.operationId_) &&
                     ReadUnsigned(json, "wall_ms", change.wallTimeMs_) &&
                     ReadString(json, "summary", change.summary_);
  const auto* edits = valid ? FindMember(json, "edits") : nullptr;
  if (edits == nullptr || !edits->is_array()) {
    return Fail(ErrorCode::kPlatformMalformed, "change");
  }
  for (const auto& element : *edits) {
    EntityEdit edit;
    if (!ReadEdit(element, edit)) {
      return Fail(ErrorCode::kPlatformMalformed, "change edits");
    }
    change.edits_.push_back(std::move(edit));
  }
  return change;
}

std::string EncodeHead(Version aVersion)
{
  return DumpJson(Json{ { "version", aVersion } });
}

Result<Version> DecodeHead(std::string_view aText)
{
  const auto json = ParseJson(aText);
  Version version = 0;
  if (!json.is_object() || !ReadUnsigned(json, "version", version)) {
    return Fail(ErrorCode::kPlatformMalformed, std::string(kHeadRowKey));
  }
  return version;
}

std::string EncodeSnapshot(const Snapshot& aSnapshot)
{
  return DumpJson(
    Json{ { "version", aSnapshot.version_ }, { "entities", Json(aSnapshot.entities_) } });
}

Result<Snapshot> DecodeSnapshot(std::string_view aText)
{
  // Escapes and punctuation at most triple the size of the entities. Their exact size is checked
  // after parsing.
  if (aText.size() > 3 * kMaxConfigBytes) {
    return Fail(ErrorCode::kChangeTooLarge, "snapshot", std::to_string(kMaxConfigBytes) + " bytes");
  }
  const auto json = ParseJson(aText);
  Snapshot snapshot;
  if (!json.is_object() || !ReadUnsigned(json, "version", snapshot.version_)) {
    return Fail(ErrorCode::kPlatformMalformed, "snapshot");
  }
  const auto* entities = FindMember(json, "entities");
  if (entities == nullptr || !entities->is_object()) {
    return Fail(ErrorCode::kPlatformMalformed, "snapshot entities");
  }
  for (const auto& [name, value] : entities->items()) {
    if (!value.is_string()) {
      return Fail(ErrorCode::kPlatformMalformed, "snapshot entities");
    }
    snapshot.entities_[name] = value.get<std::string>();
  }
  if (EntitiesBytes(snapshot.entities_) > kMaxConfigBytes) {
    return Fail(ErrorCode::kChangeTooLarge, "snapshot", std::to_string(kMaxConfigBytes) + " bytes");
  }
  return snapshot;
}

std::string WatermarkRowKey(const DataCentreId& aDataCentre)
{
  return "watermark/" + aDataCentre.value_;
}

std::string EncodeWatermark(const Watermark& aWatermark)
{
  return DumpJson(Json{ { "data_centre", aWatermark.dataCentre_.value_ },
                        { "version", aWatermark.version_ },
                        { "nodes", aWatermark.nodes_ },
                        { "lagging", aWatermark.lagging_ },
                        { "unreachable", aWatermark.unreachable_ },
                        { "written_ms", aWatermark.writtenMs_ } });
}

Result<Watermark> DecodeWatermark(std::string_view aText)
{
  const auto json = ParseJson(aText);
  Watermark watermark;
  const bool valid = json.is_object() &&
                     ReadString(json, "data_centre", watermark.dataCentre_.value_) &&
                     ReadUnsigned(json, "version", watermark.version_) &&
                     ReadUnsigned(json, "nodes", watermark.nodes_) &&
                     ReadStrings(json, "lagging", watermark.lagging_) &&
                     ReadStrings(json, "unreachable", watermark.unreachable_) &&
                     ReadUnsigned(json, "written_ms", watermark.writtenMs_);
  if (!valid) {
    return Fail(ErrorCode::kPlatformMalformed, "watermark");
  }
  return watermark;
}

} // namespace peridotquay
