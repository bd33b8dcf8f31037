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

/// A JSON object inside an entity. The JSON must outlive it.
struct ConfigTable
{
  const ConfigJson* json_ = nullptr; ///< Always an object.
  std::string entity_;               ///< For example "site/north-1".
  std::string path_; ///< Keys from the entity to this object, each followed by a '.'.
};

/// Format of ids in the configuration, as stated in errors.
inline constexpr std::string_view kConfigIdRule = "1 to 64 letters, digits or -._";

/// Whether an id follows kConfigIdRule and isn't "." or "..".
bool IsConfigId(std::string_view aId);

/// Subject of errors about a key: "<entity>: <path><key>".
std::string ErrorSubject(const ConfigTable& aTable, const std::string& aKey);

/// The failure for a required key that is absent.
inline auto MissingKeyFailure(const ConfigTable& aTable, const std::string& aKey)
{
  return Fail(ErrorCode::kMissingSetting, ErrorSubject(aTable, aKey), "required");
}

/// Checks that the object has no other keys than these. Errors: kUnknownSetting.
Result<void> CheckKeys(const ConfigTable& aTable, std::initializer_list<std::string_view> aKeys);

// Each of the following functions reads one key and returns an empty optional if it is absent.
// Errors: kWrongType, kOutOfRange.

/// A number from aMin to aMax.
Result<std::optional<double>> ReadNumber(const ConfigTable& aTable,
                                         const std::string& aKey,
                                         double aMin,
                                         double aMax);

/// An integer from aMin to aMax.
Result<std::optional<std::int64_t>> ReadInteger(const ConfigTable& aTable,
                                                const std::string& aKey,
                                                std::int64_t aMin,
                                                std::int64_t aMax);

/// A boolean.
Result<std::optional<bool>> ReadFlag(const ConfigTable& aTable, const std::string& aKey);

/// A string of at most aMaxBytes bytes.
Result<std::optional<std::string>> ReadText(const ConfigTable& aTable,
                                            const std::string& aKey,
                                            std::size_t aMaxBytes);

/// A list of at most aMaxElements strings.
Result<std::optional<std::vector<std::string>>> ReadTextList(const ConfigTable& aTable,
                                                             const std::string& aKey,
                                                             std::size_t aMaxElements);

/// An object.
Result<std::optional<ConfigTable>> ReadTable(const ConfigTable& aTable, const std::string& aKey);

} // namespace peridotquay
