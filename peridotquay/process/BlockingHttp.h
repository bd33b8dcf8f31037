// Blocking HTTP client for one server at a time, with timeouts and a kept connection.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>

namespace peridotquay {

/// One request.
struct HttpCall
{
  std::string method_;
  std::string target_;
  std::string body_;
};

/// How far a request got.
enum class HttpProgress : std::uint8_t
{
  kNothingSent, ///< The server surely did nothing.
  kMaybeSent,
  kAnswered
};

/// Result of one request.
struct HttpExchange
{
  HttpProgress progress_ = HttpProgress::kNothingSent;
  unsigned status_ = 0;
  std::string body_;
};

/// Sends requests one after the other. Not thread-safe.
class BlockingHttp
{
public:
  BlockingHttp(Duration aConnectTimeout, std::size_t aMaxBodyBytes);
  BlockingHttp(const BlockingHttp&) = delete;
  BlockingHttp& operator=(const BlockingHttp&) = delete;
  ~BlockingHttp();

  /// Sends a request once and waits for the whole answer until the deadline.
  HttpExchange Send(const Address& aAddress, const HttpCall& aCall, TimePoint aDeadline);

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Escapes text for use in a request target; '/' is kept.
std::string EscapeUrl(std::string_view aText);

} // namespace peridotquay
