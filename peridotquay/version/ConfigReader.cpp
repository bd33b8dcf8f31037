// Reads typed values from the JSON of an entity.
#include "peridotquay/version/ConfigReader.h"

#include <algorithm>
#include <sstream>

namespace peridotquay {

namespace {

/// Returns the value of a key, or null.
const ConfigJson* FindValue(const ConfigTable& aTable, const std::string& aKey)
{
  const auto found = aTable.json_->find(aKey);
  return found == aTable.json_->end() ? nullptr : &*found;
}

std::string FormatNumber(double aNumber)
{
  std::ostringstream text;
  text.precision(12);
  text << aNumber;
  return text.str();
}

std::string FormatRange(double aMin, double aMax)
{
  return FormatNumber(aMin) + " to " + FormatNumber(aMax);
}

auto WrongTypeFailure(const ConfigTable& aTable, const std::string& aKey, const char* aExpected)
{
  return Fail(ErrorCode::kWrongType, ErrorSubject(aTable, aKey), aExpected);
}

} // namespace

bool IsConfigId(std::string_view aId)
{
  const bool dotSegment = aId == "." || aId == "..";
  return !aId.empty() && !dotSegment && aId.size() <= 64 &&
         aId.find_first_not_of("ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz"
                               "0123456789-._") == std::string_view::npos;
}

std::string ErrorSubject(const ConfigTable& aTable, const std::string& aKey)
{
  return aTable.entity_ + ": " + aTable.path_ + aKey;
}

Result<void> CheckKeys(const ConfigTable& aTable, std::initializer_list<std::string_view> aKeys)
{
  for (const auto& [key, value] : aTable.json_->items()) {
    if (std::find(aKeys.begin(), aKeys.end(), std::string_view(key)) == aKeys.end()) {
      std::string allowed;
      for (const auto& known : aKeys) {
        allowed += (allowed.empty() ? "" : ", ") + std::string(known);
      }
      return Fail(ErrorCode::kUnknownSetting, ErrorSubject(aTable, key), allowed);
    }
  }
  return Success();
}

Result<std::optional<double>> ReadNumber(const ConfigTable& aTable,
                                         const std::string& aKey,
                                         double aMin,
                                         double aMax)
{
  const auto* value = FindValue(aTable, aKey);
  if (value == nullptr) {
    return std::optional<double>{};
  }
  if (!value->is_number()) {
    return WrongTypeFailure(aTable, aKey, "a number");
  }
  const auto number = value->get<double>();
  // Negated, so that NaN is out of range too.
  if (!(number >= aMin && number <= aMax)) {
    return Fail(ErrorCode::kOutOfRange, ErrorSubject(aTable, aKey), FormatRange(aMin, aMax));
  }
  return std::optional<double>(number);
}

Result<std::optional<std::int64_t>> ReadInteger(const ConfigTable& aTable,
                                                const std::string& aKey,
                                                std::int64_t aMin,
                                                std::int64_t aMax)
{
  const auto* value = FindValue(aTable, aKey);
  if (value == nullptr) {
    return std::optional<std::int64_t>{};
  }
  if (!value->is_number_integer()) {
    return WrongTypeFailure(aTable, aKey, "an integer");
  }
  const auto number = value->get<std::int64_t>();
  // Unsigned numbers above the range of int64_t become negative.
  const bool wrapped = value->is_number_unsigned() && number < 0;
  if (wrapped || number < aMin || number > aMax) {
    return Fail(ErrorCode::kOutOfRange,
                ErrorSubject(aTable, aKey),
                std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  return std::optional<std::int64_t>(number);
}

Result<std::optional<bool>> ReadFlag(const ConfigTable& aTable, const std::string& aKey)
{
  const auto* value = FindValue(aTable, aKey);
  if (value == nullptr) {
    return std::optional<bool>{};
  }
  if (!value->is_boolean()) {
    return WrongTypeFailure(aTable, aKey, "true or false");
  }
  return std::optional<bool>(value->get<bool>());
}

Result<std::optional<std::string>> ReadText(const ConfigTable& aTable,
                                            const std::string& aKey,
                                            std::size_t aMaxBytes)
{
  const auto* value = FindValue(aTable, aKey);
  if (value == nullptr) {
    return std::optional<std::string>{};
  }
  if (!value->is_string()) {
    return WrongTypeFailure(aTable, aKey, "a string");
  }
  auto text = value->get<std::string>();
  if (text.size() > aMaxBytes) {
    return Fail(ErrorCode::kOutOfRange,
                ErrorSubject(aTable, aKey),
                "at most " + std::to_string(aMaxBytes) + " bytes");
  }
  return std::optional<std::string>(std::move(text));
}

Result<std::optional<std::vector<std::string>>> ReadTextList(const ConfigTable& aTable,
                                                             const std::string& aKey,
                                                             std::size_t aMaxElements)
{
  const auto* value = FindValue(aTable, aKey);
  if (value == nullptr) {
    return std::optional<std::vector<std::string>>{};
  }
  const bool strings =
    value->is_array() && std::all_of(value->begin(), value->end(), [](const ConfigJson& aElement) {
      return aElement.is_string();
    });
  if (!strings) {
    return WrongTypeFailure(aTable, aKey, "a list of strings");
  }
  if (value->size() > aMaxElements) {
    return Fail(ErrorCode::kOutOfRange,
                ErrorSubject(aTable, aKey),
                "at most " + std::to_string(aMaxElements) + " elements");
  }
  return std::make_optional(value->get<std::vector<std::string>>());
}

Result<std::optional<ConfigTable>> ReadTable(const ConfigTable& aTable, const std::string& aKey)
{
  const auto* value = FindValue(aTable, aKey);
  if (value == nullptr) {
    return std::optional<ConfigTable>{};
  }
  if (!value->is_object()) {
    return WrongTypeFailure(aTable, aKey, "a table");
  }
  return std::make_optional(ConfigTable{ value, aTable.entity_, aTable.path_ + aKey + "." });
}

} // namespace peridotquay
