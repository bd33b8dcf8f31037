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
#include <optional>
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

Result<HttpReply> FetchHttp(const Address& aServer, const HttpQuery& aQuery)
{
  asio::io_context context;
  beast::tcp_stream stream(context);
  stream.expires_after(aQuery.timeout_);
  http::request<http::string_body> request;
  request.method_string(aQuery.method_);
  request.target(aQuery.target_);
  request.version(11);
  request.set(http::field::host, aServer.ip_);
  for (const auto& [name, value] : aQuery.headers_) {
    request.set(name, value);
  }
  request.body() = aQuery.body_;
  request.prepare_payload();
  request.keep_alive(false);
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(std::uint64_t{ 1 } << 30U);

  std::optional<ErrorCode> failed = ErrorCode::kTargetUnreachable;
  error_code last;
  stream.async_connect(
    { asio::ip::make_address(aServer.ip_), aServer.port_ }, [&](error_code aConnect) {
      last = aConnect;
      if (aConnect) {
        return;
      }
      http::async_write(stream, request, [&](error_code aWrite, std::size_t) {
        last = aWrite;
        if (aWrite) {
          return;
        }
        failed = ErrorCode::kTruncatedAnswer;
        http::async_read(stream, buffer, parser, [&](error_code aRead, std::size_t) {
          last = aRead;
          if (!aRead) {
            failed.reset();
          }
        });
      });
    });
  context.run();
  if (failed) {
    const auto code = last == beast::error::timeout ? ErrorCode::kDeadlineExceeded : *failed;
    return Fail(code, aQuery.target_, last.message());
  }
  HttpReply reply;
  reply.status_ = parser.get().result_int();
  for (const auto& field : parser.get()) {
    reply.headers_[LowerCase(std::string(field.name_string()))] = std::string(field.value());
  }
  reply.body_ = std::move(parser.get().body());
  return reply;
}

} // namespace peridotquay::standins
