// Types for HTTP requests and answers, header functions, and the error answers of a node.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/request/Outcome.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotquay {

/// A complete request, without hop-by-hop headers.
struct HttpRequest
{
  std::string method_;
  std::string path_; ///< Request target in origin form: path and query.
  HeaderList headers_;
  std::string body_;
  bool operator==(const HttpRequest&) const = default;
};

/// A complete answer, without hop-by-hop headers and Content-Length.
struct HttpResponse
{
  std::uint16_t status_ = 200;
  HeaderList headers_;
  std::string body_;
  /// Content-Length of an answer that never has a body (to HEAD, or with status 304).
  std::optional<std::uint64_t> declaredLength_;
  bool operator==(const HttpResponse&) const = default;
};

/// Returns the first value of a header, or none. Compares names case-insensitively.
std::optional<std::string_view> FindHeader(const HeaderList& aHeaders, std::string_view aName);

/// Removes all headers with this name. Compares names case-insensitively.
void RemoveHeader(HeaderList& aHeaders, std::string_view aName);

/// Removes all headers whose name begins with the prefix. Compares names case-insensitively.
void RemoveHeadersWithPrefix(HeaderList& aHeaders, std::string_view aPrefix);

/// Removes the headers that apply to a single connection: a fixed set, and those named in
/// Connection.
void RemoveHopByHopHeaders(HeaderList& aHeaders);

/// Parses a decimal number without sign. Returns none for other text or a number above aMax.
std::optional<std::uint64_t> ParseNumber(std::string_view aText, std::uint64_t aMax);

/// HTTP status for a failed call. Always 504 for Outcome::kUnknown.
std::uint16_t HttpStatusOf(ErrorCode aCode, Outcome aOutcome);

/// Error answer with a Quay-Outcome header and a JSON body. With aRetryAfterMs 0 it has no
/// Retry-After headers.
HttpResponse ErrorResponse(ErrorCode aCode,
                           Outcome aOutcome,
                           std::string_view aDetail,
                           std::uint32_t aRetryAfterMs = 0);

/// Answer with the given JSON text as body.
HttpResponse JsonResponse(std::uint16_t aStatus, std::string aJson);

} // namespace peridotquay
