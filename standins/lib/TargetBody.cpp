// Answer bodies, generated from a hash of the request.
#include "standins/lib/TargetBody.h"

#include <algorithm>
#include <charconv>
#include <cstdint>

namespace peridotquay::standins {

namespace {

// FNV-1a.
std::uint64_t Hash(std::string_view aText, std::uint64_t aSeed)
{
  std::uint64_t hash = aSeed;
  for (const unsigned char c : aText) {
    hash = (hash ^ c) * 0x100000001B3ULL;
  }
  return hash;
}

// Splitmix64. Each block of a body depends on its position, so a shifted body differs.
std::uint64_t Mix(std::uint64_t aValue)
{
  aValue += 0x9E3779B97F4A7C15ULL;
  aValue = (aValue ^ (aValue >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  aValue = (aValue ^ (aValue >> 27U)) * 0x94D049BB133111EBULL;
  return aValue ^ (aValue >> 31U);
}

} // namespace

std::string TargetBody(std::string_view aRequestTarget, std::string_view aBody, std::size_t aLength)
{
  static constexpr std::string_view kDigits = "0123456789abcdef";
  const std::uint64_t seed = Hash(aBody, Hash("\n", Hash(aRequestTarget, 0xCBF29CE484222325ULL)));
  std::string body(std::min(aLength, kMaxTargetBodyBytes), '0');
  std::uint64_t block = 0;
  for (std::size_t i = 0; i < body.size(); ++i) {
    if (i % 16 == 0) {
      block = Mix(seed + i);
    }
    body[i] = kDigits[block & 15U];
    block >>= 4U;
  }
  return body;
}

std::string_view QueryValue(std::string_view aRequestTarget, std::string_view aName)
{
  auto at = aRequestTarget.find('?');
  while (at != std::string_view::npos) {
    const std::string_view rest = aRequestTarget.substr(at + 1);
    const std::string_view pair = rest.substr(0, rest.find('&'));
    const auto equals = pair.find('=');
    if (equals != std::string_view::npos && pair.substr(0, equals) == aName) {
      return pair.substr(equals + 1);
    }
    at = aRequestTarget.find('&', at + 1);
  }
  return {};
}

std::size_t RequestedBodyLength(std::string_view aRequestTarget, std::size_t aDefault)
{
  const std::string_view text = QueryValue(aRequestTarget, "length");
  std::size_t length = 0;
  const auto parsed = std::from_chars(text.data(), text.data() + text.size(), length);
  if (text.empty() || parsed.ec != std::errc()) {
    return std::min(aDefault, kMaxTargetBodyBytes);
  }
  return std::min(length, kMaxTargetBodyBytes);
}

std::string WithQueryParameter(std::string_view aRequestTarget,
                               std::string_view aName,
                               std::string_view aValue)
{
  std::string target(aRequestTarget);
  target += aRequestTarget.find('?') == std::string_view::npos ? '?' : '&';
  target.append(aName).append("=").append(aValue);
  return target;
}

} // namespace peridotquay::standins
