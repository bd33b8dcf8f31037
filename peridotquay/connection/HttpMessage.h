// HTTP requests and answers as plain values, and the answers that nodes make themselves.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/request/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotquay {

/// A whole request. Hop-by-hop headers are removed.
struct HttpRequest
{
  std::string method_;
  std::string path_; ///< Request target in origin form, with its query.
  HeaderList headers_;
  std::string body_;
  bool operator==(const HttpRequest&) const = default;
};

/// A whole answer. Hop-by-hop headers and Content-Length are removed.
struct HttpResponse
{
  std::uint16_t status_ = 200;
  HeaderList headers_;
  std::string body_;
  /// Content-Length of an answer that has no body by rule (HEAD, 304).
  std::optional<std::uint64_t> declaredLength_;
  bool operator==(const HttpResponse&) const = default;
};

/// First value of a header, by case-insensitive name; empty if absent.
std::optional<std::string_view> FindHeader(const HeaderList& aHeaders, std::string_view aName);

/// Removes all headers of the name.
void RemoveHeader(HeaderList& aHeaders, std::string_view aName);

/// Removes all headers whose name begins with the prefix, case-insensitive.
void RemoveHeadersWithPrefix(HeaderList& aHeaders, std::string_view aPrefix);

/// Removes headers that concern one connection only: the fixed set and those named in Connection.
void RemoveHopByHopHeaders(HeaderList& aHeaders);

/// Parses a decimal number without sign; empty for other text or above the bound.
std::optional<std::uint64_t> ParseNumber(std::string_view aText, std::uint64_t aMax);

/// HTTP status for a failure of a call with a known outcome. Outcome::kUnknown is always 504.
std::uint16_t HttpStatusOf(ErrorCode aCode, Outcome aOutcome);

/// Answer with Quay-Outcome and the JSON error body. aRetryAfterMs 0 gives no hint.
HttpResponse ErrorResponse(ErrorCode aCode,
                           Outcome aOutcome,
                           std::string_view aDetail,
                           std::uint32_t aRetryAfterMs = 0);

/// Answer with a JSON body.
HttpResponse JsonResponse(std::uint16_t aStatus, std::string aJson);

} // namespace peridotquay
