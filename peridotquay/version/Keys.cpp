// Generates and edits the keys of client accounts.
#include "peridotquay/version/Keys.h"

#include "peridotquay/version/ConfigReader.h"

#include <boost/outcome/try.hpp>
#include <openssl/rand.h>

#include <algorithm>
#include <array>
#include <stdexcept>

namespace peridotquay {

namespace {

constexpr std::string_view kKeyPrefix = "key/";

/// Minimum digits of a digest by which a key can be withdrawn; fewer would often be ambiguous.
constexpr std::size_t kMinDigestDigits = 8;

constexpr std::size_t kMaxLabelBytes = 128;

std::string StringMember(const ConfigJson& aJson, const char* aName)
{
  const auto found = aJson.find(aName);
  return found != aJson.end() && found->is_string() ? found->get<std::string>() : std::string();
}

ConfigJson KeyJson(const KeyRecord& aKey)
{
  ConfigJson json = { { "account", aKey.clientAccount_.value_ },
                      { "source", aKey.fromFile_ ? "file" : "command" } };
  if (!aKey.label_.empty()) {
    json["label"] = aKey.label_;
  }
  if (aKey.withdrawn_) {
    json["withdrawn"] = true;
  }
  return json;
}

/// Returns the key in force whose digest begins with the prefix. Fails unless there is exactly one.
Result<KeyRecord> FindByDigestPrefix(const Entities& aEntities, std::string_view aPrefix)
{
  std::vector<KeyRecord> matches;
  for (auto& key : ListKeys(aEntities)) {
    if (!key.withdrawn_ && key.digest_.compare(0, aPrefix.size(), aPrefix) == 0) {
      matches.push_back(std::move(key));
    }
  }
  if (matches.empty()) {
    return Fail(
      ErrorCode::kNotFound, "key/" + std::string(aPrefix), "the digest of a key in force");
  }
  if (matches.size() > 1) {
    return Fail(ErrorCode::kContradiction,
                "key/" + std::string(aPrefix),
                "several keys begin with these digits");
  }
  return matches.front();
}

} // namespace

std::string GenerateKey()
{
  std::array<unsigned char, 32> bytes{};
  // A predictable key would be worse than none, so a failure of the generator ends the program.
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("the random number generator failed");
  }
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string key = "pq_";
  for (const auto byte : bytes) {
    key.push_back(kHex[byte >> 4U]);
    key.push_back(kHex[byte & 15U]);
  }
  return key;
}

std::vector<KeyRecord> ListKeys(const Entities& aEntities)
{
  std::vector<KeyRecord> keys;
  for (auto entry = aEntities.lower_bound(std::string(kKeyPrefix));
       entry != aEntities.end() && entry->first.compare(0, kKeyPrefix.size(), kKeyPrefix) == 0;
       ++entry) {
    const auto json = ConfigJson::parse(entry->second, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    const auto withdrawn = json.find("withdrawn");
    keys.push_back({ entry->first.substr(kKeyPrefix.size()),
                     { StringMember(json, "account") },
                     StringMember(json, "label"),
                     StringMember(json, "source") != "command",
                     withdrawn != json.end() && *withdrawn == ConfigJson(true) });
  }
  return keys;
}

Result<EntityEdit> GrantKey(const Entities& aEntities,
                            const ClientAccountId& aAccount,
                            std::string_view aDigest,
                            const std::string& aLabel)
{
  const auto entity = std::string(kKeyPrefix) + std::string(aDigest);
  if (!aEntities.contains("account/" + aAccount.value_)) {
    return Fail(ErrorCode::kUnknownReference, entity, "no account/" + aAccount.value_);
  }
  if (aLabel.size() > kMaxLabelBytes) {
    return Fail(ErrorCode::kOutOfRange,
                entity + ": label",
                "at most " + std::to_string(kMaxLabelBytes) + " bytes");
  }
  if (aEntities.contains(entity)) {
    return Fail(ErrorCode::kContradiction, entity, "a digest that doesn't exist yet");
  }
  const KeyRecord key{ std::string(aDigest), aAccount, aLabel, false, false };
  return EntityEdit{ entity,
                     KeyJson(key).dump(-1, ' ', false, ConfigJson::error_handler_t::replace) };
}

Result<EntityEdit> WithdrawKey(const Entities& aEntities, std::string_view aDigest)
{
  const bool hex = aDigest.find_first_not_of("0123456789abcdef") == std::string_view::npos;
  if (!hex || aDigest.size() < kMinDigestDigits || aDigest.size() > 64) {
    return Fail(ErrorCode::kOutOfRange, "digest", "8 to 64 lower-case hex digits");
  }
  BOOST_OUTCOME_TRY(key, FindByDigestPrefix(aEntities, aDigest));
  EntityEdit edit{ std::string(kKeyPrefix) + key.digest_, std::nullopt };
  if (key.fromFile_) {
    key.withdrawn_ = true;
    edit.json_ = KeyJson(key).dump();
  }
  return edit;
}

} // namespace peridotquay
