// Implementation of header functions, HTTP status codes and error bodies.
#include "peridotquay/connection/HttpMessage.h"

#include "peridotquay/process/Events.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <array>
#include <charconv>

namespace peridotquay {

namespace {

char ToLowerAscii(char aCharacter)
{
  return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter + ('a' - 'A'))
                                                : aCharacter;
}

bool EqualsNoCase(std::string_view aLeft, std::string_view aRight)
{
  return aLeft.size() == aRight.size() &&
         std::equal(aLeft.begin(), aLeft.end(), aRight.begin(), [](char aA, char aB) {
           return ToLowerAscii(aA) == ToLowerAscii(aB);
         });
}

std::string_view Trim(std::string_view aText)
{
  while (!aText.empty() && (aText.front() == ' ' || aText.front() == '\t')) {
    aText.remove_prefix(1);
  }
  while (!aText.empty() && (aText.back() == ' ' || aText.back() == '\t')) {
    aText.remove_suffix(1);
  }
  return aText;
}

// Headers that apply to a single connection and are never forwarded.
constexpr std::array<std::string_view, 10> kHopByHopHeaders = { "Connection",
                                                                "Keep-Alive",
                                                                "Proxy-Connection",
                                                                "Proxy-Authenticate",
                                                                "Proxy-Authorization",
                                                                "TE",
                                                                "Trailer",
                                                                "Transfer-Encoding",
                                                                "Upgrade",
                                                                "Expect" };

// Number of the log event that the node writes for this failure; 0 for none.
int EventNumberOf(ErrorCode aCode, Outcome aOutcome)
{
  if (aOutcome == Outcome::kUnknown) {
    return static_cast<int>(Event::kOutcomeUnknown);
  }
  return aCode == ErrorCode::kTargetRefused ? static_cast<int>(Event::kTargetRefusing) : 0;
}

} // namespace

std::optional<std::string_view> FindHeader(const HeaderList& aHeaders, std::string_view aName)
{
  for (const auto& [name, value] : aHeaders) {
    if (EqualsNoCase(name, aName)) {
      return value;
    }
  }
  return std::nullopt;
}

void RemoveHeader(HeaderList& aHeaders, std::string_view aName)
{
  std::erase_if(aHeaders, [&](const auto& aHeader) { return EqualsNoCase(aHeader.first, aName); });
}

void RemoveHeadersWithPrefix(HeaderList& aHeaders, std::string_view aPrefix)
{
  std::erase_if(aHeaders, [&](const auto& aHeader) {
    return EqualsNoCase(std::string_view(aHeader.first).substr(0, aPrefix.size()), aPrefix);
  });
}

void RemoveHopByHopHeaders(HeaderList& aHeaders)
{
  std::vector<std::string> connectionHeaders;
  for (const auto& [name, value] : aHeaders) {
    if (!EqualsNoCase(name, "Connection")) {
      continue;
    }
    std::string_view rest = value;
    while (!rest.empty()) {
      const std::size_t comma = std::min(rest.find(','), rest.size());
      connectionHeaders.emplace_back(Trim(rest.substr(0, comma)));
      rest.remove_prefix(std::min(comma + 1, rest.size()));
    }
  }
  std::erase_if(aHeaders, [&](const auto& aHeader) {
    const auto matches = [&](std::string_view aName) { return EqualsNoCase(aHeader.first, aName); };
    return std::any_of(kHopByHopHeaders.begin(), kHopByHopHeaders.end(), matches) ||
           std::any_of(connectionHeaders.begin(), connectionHeaders.end(), matches);
  });
}

std::optional<std::uint64_t> ParseNumber(std::string_view aText, std::uint64_t aMax)
{
  std::uint64_t number = 0;
  const auto [end, error] = std::from_chars(aText.data(), aText.data() + aText.size(), number);
  if (error != std::errc() || end != aText.data() + aText.size() || number > aMax) {
    return std::nullopt;
  }
  return number;
}

std::uint16_t HttpStatusOf(ErrorCode aCode, Outcome aOutcome)
{
  if (aOutcome == Outcome::kUnknown) {
    return 504;
  }
  switch (aCode) {
    case ErrorCode::kMalformedRequest:
    case ErrorCode::kConflictingHeaders:
    case ErrorCode::kBadRequestId:
    case ErrorCode::kDepthExceeded:
      return 400;
    case ErrorCode::kMissingKey:
    case ErrorCode::kUnknownKey:
    case ErrorCode::kWithdrawnKey:
    case ErrorCode::kMissingContext:
      return 401;
    case ErrorCode::kRouteNotAllowed:
      return 403;
    case ErrorCode::kNoRoute:
    case ErrorCode::kNotFound:
      return 404;
    case ErrorCode::kRequestTooSlow:
      return 408;
    case ErrorCode::kRequestTooLarge:
      return 413;
    case ErrorCode::kOverRate:
      return 429;
    case ErrorCode::kHeadersTooLarge:
      return 431;
    default:
      return 503;
  }
}

HttpResponse ErrorResponse(ErrorCode aCode,
                           Outcome aOutcome,
                           std::string_view aDetail,
                           std::uint32_t aRetryAfterMs)
{
  const nlohmann::json body = { { "error",
                                  { { "type", std::string(ErrorName(aCode)) },
                                    { "event", EventNumberOf(aCode, aOutcome) },
                                    { "detail", std::string(aDetail) } } } };
  HttpResponse response =
    JsonResponse(HttpStatusOf(aCode, aOutcome),
                 body.dump(-1, ' ', true, nlohmann::json::error_handler_t::replace));
  response.headers_.emplace_back("Quay-Outcome", OutcomeName(aOutcome));
  if (aRetryAfterMs > 0) {
    response.headers_.emplace_back("Retry-After", std::to_string((aRetryAfterMs + 999) / 1000));
    response.headers_.emplace_back("Quay-Retry-After-Ms", std::to_string(aRetryAfterMs));
  }
  return response;
}

HttpResponse JsonResponse(std::uint16_t aStatus, std::string aJson)
{
  return { aStatus, { { "Content-Type", "application/json" } }, std::move(aJson), std::nullopt };
}

} // namespace peridotquay
