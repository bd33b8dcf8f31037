// Look-ups in a configuration.
#include "peridotquay/version/Config.h"

#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cctype>

namespace peridotquay {

namespace {

constexpr std::size_t kDigestDigits = 64;

/// Leading hex digits by which keys are looked up before the constant-time comparison. A digest's
/// prefix doesn't help to guess the key, and 8 digits leave about one candidate.
constexpr std::size_t kLookupDigits = 8;

/// Value of a hex digit; 16 for any other character.
unsigned HexValue(char aDigit)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  const auto lower = static_cast<char>(std::tolower(static_cast<unsigned char>(aDigit)));
  const auto position = kDigits.find(lower);
  return position == std::string_view::npos ? 16 : static_cast<unsigned>(position);
}

/// Whether a '%' begins an invalid escape, or the escape of a character that needs none, that
/// separates parts of the path or that is a control character.
bool IsAmbiguousEscape(std::string_view aEscape)
{
  if (aEscape.size() < 3) {
    return true;
  }
  const auto high = HexValue(aEscape[1]);
  const auto low = HexValue(aEscape[2]);
  if (high > 15 || low > 15) {
    return true;
  }
  const auto decoded = static_cast<unsigned char>(high * 16 + low);
  constexpr std::string_view kAmbiguousCharacters = "-._~/\\;%";
  return decoded < 0x20 || decoded == 0x7f || std::isalnum(decoded) != 0 ||
         kAmbiguousCharacters.find(static_cast<char>(decoded)) != std::string_view::npos;
}

/// Whether a target could resolve the path to a different one. A request with such a path could
/// match an open route here and be served as a route that needs a key.
bool IsAmbiguousPath(std::string_view aPath)
{
  for (std::size_t i = 0; i < aPath.size(); ++i) {
    const auto byte = static_cast<unsigned char>(aPath[i]);
    const bool separator = aPath[i] == '\\' || aPath[i] == ';' || aPath[i] == '#';
    if (separator || byte <= 0x20 || byte == 0x7f ||
        (aPath[i] == '%' && IsAmbiguousEscape(aPath.substr(i, 3)))) {
      return true;
    }
  }
  for (std::size_t start = 1; start < aPath.size();) {
    const auto end = std::min(aPath.find('/', start), aPath.size());
    const auto segment = aPath.substr(start, end - start);
    if (segment.empty() || segment == "." || segment == "..") {
      return true;
    }
    start = end + 1;
  }
  return false;
}

/// Returns the route with exactly this prefix, or null.
const Route* FindRouteByPrefix(const Config& aConfig, std::string_view aPrefix)
{
  const auto found = std::lower_bound(aConfig.routes_.begin(),
                                      aConfig.routes_.end(),
                                      aPrefix,
                                      [](const Route& aRoute, std::string_view aWanted) {
                                        if (aRoute.prefix_.size() != aWanted.size()) {
                                          return aRoute.prefix_.size() > aWanted.size();
                                        }
                                        return aRoute.prefix_ < aWanted;
                                      });
  const bool matches = found != aConfig.routes_.end() && found->prefix_ == aPrefix;
  return matches ? &*found : nullptr;
}

} // namespace

const Route* FindRoute(const Config& aConfig, std::string_view aPath)
{
  aPath = aPath.substr(0, aPath.find('?'));
  if (aPath.empty() || aPath.front() != '/' || IsAmbiguousPath(aPath)) {
    return nullptr;
  }
  // Tries the path and each of its prefixes that ends before or after a '/', longest first.
  for (auto candidate = aPath; !candidate.empty();) {
    if (const auto* route = FindRouteByPrefix(aConfig, candidate)) {
      return route;
    }
    if (candidate.back() == '/') {
      candidate.remove_suffix(1);
    } else {
      candidate = candidate.substr(0, candidate.rfind('/') + 1);
    }
  }
  return nullptr;
}

const Route* FindHostRoute(const Config& aConfig, std::string_view aHost, std::string_view aPath)
{
  // Routes are sorted by descending prefix length, so the first match is the longest.
  const auto found =
    std::find_if(aConfig.routes_.begin(), aConfig.routes_.end(), [&](const Route& aRoute) {
      return aPath.starts_with(aRoute.prefix_) && aRoute.host_ == aHost;
    });
  return found == aConfig.routes_.end() ? nullptr : &*found;
}

Importance ImportanceFor(const Config& aConfig, const ClientAccount& aAccount, const Route& aRoute)
{
  std::uint32_t maxAccountPriority = 0;
  for (const auto& [id, account] : aConfig.clientAccounts_) {
    maxAccountPriority = std::max(maxAccountPriority, account.priority_);
  }
  std::uint32_t maxRoutePriority = 0;
  for (const Route& route : aConfig.routes_) {
    maxRoutePriority = std::max(maxRoutePriority, route.priority_);
  }
  const std::uint32_t rankCount = (maxAccountPriority + 1) * (maxRoutePriority + 1);
  const std::uint32_t rank = aAccount.priority_ * (maxRoutePriority + 1) + aRoute.priority_;
  // The ranks are spread over all classes but the first, kCritical.
  constexpr std::uint32_t kAccountClasses = kImportanceClassCount - 1;
  return static_cast<Importance>(1 +
                                 std::min(kAccountClasses - 1, rank * kAccountClasses / rankCount));
}

const ClientAccount* FindAccountByKeyDigest(const Config& aConfig, std::string_view aDigestHex)
{
  if (aDigestHex.size() != kDigestDigits) {
    return nullptr;
  }
  const std::string lookupPrefix(aDigestHex.substr(0, kLookupDigits));
  const ClientAccountId* account = nullptr;
  for (auto key = aConfig.keys_.lower_bound(lookupPrefix);
       key != aConfig.keys_.end() && key->first.compare(0, kLookupDigits, lookupPrefix) == 0;
       ++key) {
    // Goes through all candidates, so that the time doesn't tell which one matched.
    const bool equal = key->first.size() == kDigestDigits &&
                       CRYPTO_memcmp(key->first.data(), aDigestHex.data(), kDigestDigits) == 0;
    account = equal ? &key->second : account;
  }
  if (account == nullptr) {
    return nullptr;
  }
  const auto found = aConfig.clientAccounts_.find(*account);
  return found == aConfig.clientAccounts_.end() ? nullptr : &found->second;
}

std::string KeyDigest(std::string_view aKey)
{
  std::array<unsigned char, SHA256_DIGEST_LENGTH> digest{};
  SHA256(reinterpret_cast<const unsigned char*>(aKey.data()), aKey.size(), digest.data());
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string text;
  text.reserve(kDigestDigits);
  for (const auto byte : digest) {
    text.push_back(kHex[byte >> 4U]);
    text.push_back(kHex[byte & 15U]);
  }
  return text;
}

} // namespace peridotquay
