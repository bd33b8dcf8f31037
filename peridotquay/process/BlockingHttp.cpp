// Blocking HTTP client. It runs Beast's asynchronous operations on a private context, because
// Beast's timeouts don't apply to its blocking operations.
#include "peridotquay/process/BlockingHttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <optional>

namespace peridotquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Request = http::request<http::string_body>;

/// A connection that was idle for longer is replaced, because the server's own idle timeout could
/// close it during a request.
constexpr Duration kMaxIdleTime = seconds(5);

/// Starts one asynchronous operation and runs the private context until it completes.
template<typename Start>
beast::error_code RunOperation(asio::io_context& aContext, Start aStart)
{
  beast::error_code outcome = asio::error::would_block;
  aContext.restart();
  aStart([&outcome](beast::error_code aCode, auto&&...) { outcome = aCode; });
  aContext.run();
  return outcome;
}

} // namespace

struct BlockingHttp::State
{
  State(Duration aConnectTimeout, std::size_t aMaxBodyBytes)
    : connectTimeout_(aConnectTimeout)
    , maxBodyBytes_(aMaxBodyBytes)
  {
  }

  bool Connect(const Address& aAddress, TimePoint aDeadline);
  bool IsConnectionUsable(TimePoint aNow);

  Duration connectTimeout_;
  std::size_t maxBodyBytes_;
  asio::io_context context_;
  std::optional<beast::tcp_stream> stream_;
  Address connectedTo_;
  TimePoint lastUsedAt_{};
};

/// Whether the open connection can be reused. An idle connection is readable only if the server
/// closed it or sent data that no request asked for.
bool BlockingHttp::State::IsConnectionUsable(TimePoint aNow)
{
  if (!stream_ || aNow - lastUsedAt_ > kMaxIdleTime) {
    return false;
  }
  beast::error_code code;
  char byte = 0;
  auto& socket = stream_->socket();
  socket.non_blocking(true, code);
  socket.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, code);
  return code == asio::error::would_block;
}

bool BlockingHttp::State::Connect(const Address& aAddress, TimePoint aDeadline)
{
  const auto now = Clock::now();
  if (connectedTo_ == aAddress && IsConnectionUsable(now)) {
    return true;
  }
  stream_.reset();
  beast::error_code code;
  const auto ip = asio::ip::make_address(aAddress.ip_, code);
  if (code || now >= aDeadline) {
    return false;
  }
  stream_.emplace(context_);
  stream_->expires_at(std::min(aDeadline, now + connectTimeout_));
  code = RunOperation(context_, [&](auto aHandler) {
    stream_->async_connect(asio::ip::tcp::endpoint(ip, aAddress.port_), aHandler);
  });
  if (code) {
    stream_.reset();
    return false;
  }
  stream_->socket().set_option(asio::ip::tcp::no_delay(true), code);
  connectedTo_ = aAddress;
  return true;
}

BlockingHttp::BlockingHttp(Duration aConnectTimeout, std::size_t aMaxBodyBytes)
  : state_(std::make_unique<State>(aConnectTimeout, aMaxBodyBytes))
{
}

BlockingHttp::~BlockingHttp() = default;

BlockingHttpResult BlockingHttp::Send(const Address& aAddress,
                                      const BlockingHttpRequest& aRequest,
                                      TimePoint aDeadline)
{
  BlockingHttpResult result;
  if (!state_->Connect(aAddress, aDeadline)) {
    return result;
  }
  Request request;
  request.version(11);
  request.method_string(aRequest.method_);
  request.target(aRequest.target_);
  request.set(http::field::host, aAddress.ip_ + ":" + std::to_string(aAddress.port_));
  request.set(http::field::content_type, "application/json");
  request.body() = aRequest.body_;
  request.prepare_payload();
  result.progress_ = HttpProgress::kMaybeSent;
  auto& stream = *state_->stream_;
  auto& context = state_->context_;
  stream.expires_at(aDeadline);
  auto code =
    RunOperation(context, [&](auto aHandler) { http::async_write(stream, request, aHandler); });
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(state_->maxBodyBytes_);
  if (!code) {
    code = RunOperation(context,
                        [&](auto aHandler) { http::async_read(stream, buffer, parser, aHandler); });
  }
  if (code) {
    state_->stream_.reset();
    return result;
  }
  auto response = parser.release();
  result.progress_ = HttpProgress::kAnswered;
  result.status_ = response.result_int();
  result.body_ = std::move(response.body());
  state_->lastUsedAt_ = Clock::now();
  if (!response.keep_alive()) {
    state_->stream_.reset();
  }
  return result;
}

std::string EscapeUrl(std::string_view aText)
{
  constexpr std::string_view kUnescaped =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char byte : aText) {
    if (kUnescaped.find(byte) != std::string_view::npos) {
      escaped.push_back(byte);
    } else {
      const auto number = static_cast<unsigned char>(byte);
      escaped += { '%', kHex[number >> 4U], kHex[number & 15U] };
    }
  }
  return escaped;
}

} // namespace peridotquay
