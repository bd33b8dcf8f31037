// Blocking HTTP client. Each session runs asynchronous operations on its own io_context, because
// only those can time out.
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

  /// Runs one asynchronous operation to its end and returns its error.
  template<typename Start>
  error_code RunOperation(Start aStart)
  {
    error_code result;
    context_.restart();
    aStart([&](error_code aError, auto...) { result = aError; });
    context_.run();
    return result;
  }

  /// Sends a request and reads its response. On an error, aFailureCode is the code to report.
  error_code Exchange(const http::request<http::string_body>& aMessage,
                      http::response_parser<http::string_body>& aParser,
                      ErrorCode& aFailureCode)
  {
    aFailureCode = ErrorCode::kTargetUnreachable;
    if (!open_) {
      buffer_.clear();
      const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(server_.ip_), server_.port_);
      const auto connected =
        RunOperation([&](auto aDone) { stream_.async_connect(endpoint, std::move(aDone)); });
      if (connected) {
        return connected;
      }
      open_ = true;
    }
    const auto written =
      RunOperation([&](auto aDone) { http::async_write(stream_, aMessage, std::move(aDone)); });
    if (written) {
      return written;
    }
    aFailureCode = ErrorCode::kTruncatedAnswer;
    return RunOperation(
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
  bool hasReadResponse_ = false;
};

HttpSession::HttpSession(const Address& aServer)
  : state_(std::make_unique<State>(aServer))
{
}

HttpSession::~HttpSession() = default;

Result<FetchResponse> HttpSession::Fetch(const FetchRequest& aRequest, bool aKeepAlive)
{
  http::request<http::string_body> request;
  request.method_string(aRequest.method_);
  request.target(aRequest.target_);
  request.version(11);
  request.set(http::field::host, state_->server_.ip_);
  for (const auto& [name, value] : aRequest.headers_) {
    request.set(name, value);
  }
  request.body() = aRequest.body_;
  request.prepare_payload();
  request.keep_alive(aKeepAlive);
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{ 1 } << 30U);
  state_->stream_.expires_after(aRequest.timeout_);
  ErrorCode failureCode = ErrorCode::kTargetUnreachable;
  const error_code error = state_->Exchange(request, parser, failureCode);
  state_->hasReadResponse_ = parser.got_some();
  if (error) {
    state_->Close();
    const auto code = error == beast::error::timeout ? ErrorCode::kDeadlineExceeded : failureCode;
    return Fail(code, aRequest.target_, error.message());
  }
  if (!parser.keep_alive() || !aKeepAlive) {
    state_->Close();
  }
  FetchResponse response;
  response.status_ = parser.get().result_int();
  for (const auto& field : parser.get()) {
    response.headers_[LowerCase(std::string(field.name_string()))] = std::string(field.value());
  }
  response.body_ = std::move(parser.get().body());
  return response;
}

bool HttpSession::HasReadResponse() const
{
  return state_->hasReadResponse_;
}

Result<FetchResponse> FetchHttp(const Address& aServer, const FetchRequest& aRequest)
{
  return HttpSession(aServer).Fetch(aRequest, false);
}

} // namespace peridotquay::standins
