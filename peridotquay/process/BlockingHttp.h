// Blocking HTTP client with timeouts. It keeps one connection open for the next request.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace peridotquay {

/// An HTTP request.
struct BlockingHttpRequest
{
  std::string method_;
  std::string target_; ///< Path and query, percent-encoded.
  std::string body_;
};

/// How far a request got.
enum class HttpProgress : std::uint8_t
{
  kNothingSent, ///< No connection was made, so the request had no effect.
  kMaybeSent,   ///< No answer came; the server may have acted on the request.
  kAnswered
};

/// Result of one request. Status and body are set only if it was answered.
struct BlockingHttpResult
{
  HttpProgress progress_ = HttpProgress::kNothingSent;
  unsigned status_ = 0;
  std::string body_;
};

/// Sends one request at a time. Not thread-safe.
class BlockingHttp
{
public:
  BlockingHttp(Duration aConnectTimeout, std::size_t aMaxBodyBytes);
  BlockingHttp(const BlockingHttp&) = delete;
  BlockingHttp& operator=(const BlockingHttp&) = delete;
  ~BlockingHttp();

  /// Sends a request once, connecting first if needed, and waits for the whole answer until the
  /// deadline.
  BlockingHttpResult Send(const Address& aAddress,
                          const BlockingHttpRequest& aRequest,
                          TimePoint aDeadline);

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Percent-encodes text for use in a request target. '/' isn't encoded.
std::string EscapeUrl(std::string_view aText);

} // namespace peridotquay
