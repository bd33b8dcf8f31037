// Blocking HTTP client. Asynchronous operations of Beast run on a private context, because Beast's
// timeouts don't apply to its blocking operations.
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

/// A kept connection that was idle for longer is replaced, so that the server's own idle timeout
/// doesn't close it during a request.
constexpr Duration kIdleLimit = seconds(5);

/// Runs one asynchronous operation to its end on the private context.
template<typename Start>
beast::error_code RunStep(asio::io_context& aContext, Start aStart)
{
  beast::error_code result = asio::error::would_block;
  aContext.restart();
  aStart([&result](beast::error_code aCode, auto&&...) { result = aCode; });
  aContext.run();
  return result;
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
  bool KeptConnectionUsable(TimePoint aNow);

  Duration connectTimeout_;
  std::size_t maxBodyBytes_;
  asio::io_context context_;
  std::optional<beast::tcp_stream> stream_;
  Address connectedTo_;
  TimePoint lastUsed_{};
};

/// Whether the kept connection is open: an idle connection with readable data was closed by the
/// server or is out of step.
bool BlockingHttp::State::KeptConnectionUsable(TimePoint aNow)
{
  if (!stream_ || aNow - lastUsed_ > kIdleLimit) {
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
  if (connectedTo_ == aAddress && KeptConnectionUsable(now)) {
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
  code = RunStep(context_, [&](auto aHandler) {
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

HttpExchange BlockingHttp::Send(const Address& aAddress, const HttpCall& aCall, TimePoint aDeadline)
{
  HttpExchange exchange;
  if (!state_->Connect(aAddress, aDeadline)) {
    return exchange;
  }
  Request request;
  request.version(11);
  request.method_string(aCall.method_);
  request.target(aCall.target_);
  request.set(http::field::host, aAddress.ip_ + ":" + std::to_string(aAddress.port_));
  request.set(http::field::content_type, "application/json");
  request.body() = aCall.body_;
  request.prepare_payload();
  exchange.progress_ = HttpProgress::kMaybeSent;
  auto& stream = *state_->stream_;
  auto& context = state_->context_;
  stream.expires_at(aDeadline);
  auto code =
    RunStep(context, [&](auto aHandler) { http::async_write(stream, request, aHandler); });
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(state_->maxBodyBytes_);
  if (!code) {
    code =
      RunStep(context, [&](auto aHandler) { http::async_read(stream, buffer, parser, aHandler); });
  }
  if (code) {
    state_->stream_.reset();
    return exchange;
  }
  auto response = parser.release();
  exchange.progress_ = HttpProgress::kAnswered;
  exchange.status_ = response.result_int();
  exchange.body_ = std::move(response.body());
  state_->lastUsed_ = Clock::now();
  if (!response.keep_alive()) {
    state_->stream_.reset();
  }
  return exchange;
}

std::string EscapeUrl(std::string_view aText)
{
  constexpr std::string_view kPlain =
    "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789-._~/";
  constexpr std::string_view kHex = "0123456789ABCDEF";
  std::string escaped;
  for (const char byte : aText) {
    if (kPlain.find(byte) != std::string_view::npos) {
      escaped.push_back(byte);
    } else {
      const auto number = static_cast<unsigned char>(byte);
      escaped += { '%', kHex[number >> 4U], kHex[number & 15U] };
    }
  }
  return escaped;
}

} // namespace peridotquay
