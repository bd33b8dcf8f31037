// Blocking HTTP exchange on an io_context of its own, so that it can time out.
#include "standins/lib/FleetHttp.h"

#include <boost/asio/io_context.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>

#include <algorithm>
#include <cctype>
#include <utility>

namespace peridotquay::standins {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

std::string LowerCase(std::string aText)
{
  std::transform(aText.begin(), aText.end(), aText.begin(), [](unsigned char aChar) {
    return static_cast<char>(std::tolower(aChar));
  });
  return aText;
}

} // namespace

struct HttpSession::State
{
  explicit State(const Address& aServer)
    : server_(aServer)
    , stream_(context_)
  {
  }

  /// Runs one asynchronous operation to its end.
  template<typename Start>
  error_code Await(Start aStart)
  {
    error_code result;
    context_.restart();
    aStart([&](error_code aError, auto...) { result = aError; });
    context_.run();
    return result;
  }

  error_code Exchange(const http::request<http::string_body>& aRequest,
                      http::response_parser<http::string_body>& aParser,
                      ErrorCode& aStage)
  {
    aStage = ErrorCode::kTargetUnreachable;
    if (!open_) {
      buffer_.clear();
      const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server_.ip_), server_.port_);
      const auto connected =
        Await([&](auto aDone) { stream_.async_connect(endpoint, std::move(aDone)); });
      if (connected) {
        return connected;
      }
      open_ = true;
    }
    const auto written =
      Await([&](auto aDone) { http::async_write(stream_, aRequest, std::move(aDone)); });
    if (written) {
      return written;
    }
    aStage = ErrorCode::kTruncatedAnswer;
    return Await(
      [&](auto aDone) { http::async_read(stream_, buffer_, aParser, std::move(aDone)); });
  }

  void Close()
  {
    error_code ignored;
    stream_.socket().close(ignored);
    open_ = false;
  }

  Address server_;
  asio::io_context context_;
  beast::tcp_stream stream_;
  beast::flat_buffer buffer_;
  bool open_ = false;
};

HttpSession::HttpSession(const Address& aServer)
  : state_(std::make_unique<State>(aServer))
{
}

HttpSession::~HttpSession() = default;

Result<FetchResponse> HttpSession::Fetch(const FetchRequest& aQuery, bool aKeep)
{
  http::request<http::string_body> request;
  request.method_string(aQuery.method_);
  request.target(aQuery.target_);
  request.version(11);
  request.set(http::field::host, state_->server_.ip_);
  for (const auto& [name, value] : aQuery.headers_) {
    request.set(name, value);
  }
  request.body() = aQuery.body_;
  request.prepare_payload();
  request.keep_alive(aKeep);
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{ 1 } << 30U);
  state_->stream_.expires_after(aQuery.timeout_);
  ErrorCode stage = ErrorCode::kTargetUnreachable;
  const error_code error = state_->Exchange(request, parser, stage);
  if (error) {
    state_->Close();
    const auto code = error == beast::error::timeout ? ErrorCode::kDeadlineExceeded : stage;
    return Fail(code, aQuery.target_, error.message());
  }
  if (!parser.keep_alive() || !aKeep) {
    state_->Close();
  }
  FetchResponse reply;
  reply.status_ = parser.get().result_int();
  for (const auto& field : parser.get()) {
    reply.headers_[LowerCase(std::string(field.name_string()))] = std::string(field.value());
  }
  reply.body_ = std::move(parser.get().body());
  return reply;
}

Result<FetchResponse> FetchHttp(const Address& aServer, const FetchRequest& aQuery)
{
  return HttpSession(aServer).Fetch(aQuery, false);
}

} // namespace peridotquay::standins
