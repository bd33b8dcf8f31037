// Typed access to the JSON of an entity, with errors that name entity, key and allowed values.
#pragma once

#include "peridotquay/process/Error.h"

#include <nlohmann/json.hpp>

#include <cstdint>
#include <initializer_list>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

using ConfigJson = nlohmann::json;

/// One JSON object inside an entity. Refers to JSON that must outlive it.
struct ConfigTable
{
  const ConfigJson* json_ = nullptr; ///< Always an object.
  std::string entity_;               ///< For example "site/north-1".
  std::string path_; ///< Keys from the entity to this object, each with a '.' after.
};

/// Rule that ids in the configuration follow.
inline constexpr std::string_view kConfigIdRule = "1 to 64 letters, digits or -._";

/// Whether an id follows kConfigIdRule.
bool IsConfigId(std::string_view aId);

/// Subject of errors about a key: "<entity>: <path><key>".
std::string ErrorSubject(const ConfigTable& aTable, const std::string& aKey);

/// The failure for a required key that isn't there.
inline auto Missing(const ConfigTable& aTable, const std::string& aKey)
{
  return Fail(ErrorCode::kMissingSetting, ErrorSubject(aTable, aKey), "required");
}

/// Errors: kUnknownSetting if the object has a key that isn't listed.
Result<void> CheckKeys(const ConfigTable& aTable, std::initializer_list<std::string_view> aKeys);

// Each reader returns empty if the key is absent. Errors: kWrongType, kOutOfRange.

/// A number from aLeast to aMost.
Result<std::optional<double>> ReadNumber(const ConfigTable& aTable,
                                         const std::string& aKey,
                                         double aLeast,
                                         double aMost);

/// An integer from aLeast to aMost.
Result<std::optional<std::int64_t>> ReadInteger(const ConfigTable& aTable,
                                                const std::string& aKey,
                                                std::int64_t aLeast,
                                                std::int64_t aMost);

/// true or false.
Result<std::optional<bool>> ReadFlag(const ConfigTable& aTable, const std::string& aKey);

/// A string of at most aMost bytes.
Result<std::optional<std::string>> ReadText(const ConfigTable& aTable,
                                            const std::string& aKey,
                                            std::size_t aMost);

/// A list of at most aMost strings.
Result<std::optional<std::vector<std::string>>> ReadTexts(const ConfigTable& aTable,
                                                          const std::string& aKey,
                                                          std::size_t aMost);

/// An object.
Result<std::optional<ConfigTable>> ReadTable(const ConfigTable& aTable, const std::string& aKey);

} // namespace peridotquay
