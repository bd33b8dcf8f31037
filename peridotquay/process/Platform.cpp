// Platform client over HTTP with Beast. Asynchronous operations run on a private context, because
// Beast's timeouts don't apply to blocking ones.
#include "peridotquay/process/Platform.h"

#include "peridotquay/process/PlatformJson.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/outcome/try.hpp>
#include <openssl/rand.h>

#include <array>
#include <optional>

namespace peridotquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

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

/// How far a request got on one address.
enum class Progress : std::uint8_t
{
  kNothingSent,
  kMaybeSent,
  kAnswered
};

struct Exchange
{
  Progress progress_ = Progress::kNothingSent;
  Response response_;
};

class PlatformClient : public Platform
{
public:
  explicit PlatformClient(PlatformSettings aSettings)
    : settings_(std::move(aSettings))
  {
  }

  Result<std::optional<PlatformRow>> ReadRow(std::string_view aKey) override;
  Result<std::vector<PlatformRow>> ReadRange(std::string_view aPrefix,
                                             std::string_view aAfter,
                                             std::uint32_t aLimit) override;
  Result<std::uint64_t> Transact(const PlatformTransaction& aTransaction) override;
  Result<void> PutObject(std::string_view aName, std::string_view aBody) override;
  Result<std::optional<std::string>> GetObject(std::string_view aName) override;

private:
  /// Sends a request to the addresses in turn. A request that may have been received is sent again
  /// only if it is a read.
  Result<Response> Send(http::verb aMethod, const std::string& aTarget, std::string aBody);
  Exchange TryAddress(Request& aRequest, const Address& aAddress, TimePoint aDeadline);
  bool Connect(const Address& aAddress, TimePoint aDeadline);
  bool KeptConnectionUsable(TimePoint aNow);
  void Disconnect();

  PlatformSettings settings_;
  asio::io_context context_;
  std::optional<beast::tcp_stream> stream_;
  Address connectedTo_;
  TimePoint lastUsed_{};
  std::size_t preferred_ = 0; ///< Index of the address that answered last.
};

void PlatformClient::Disconnect()
{
  stream_.reset();
}

/// Whether the kept connection is open: an idle connection with readable data was closed by the
/// server or is out of step.
bool PlatformClient::KeptConnectionUsable(TimePoint aNow)
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

bool PlatformClient::Connect(const Address& aAddress, TimePoint aDeadline)
{
  if (connectedTo_ == aAddress && KeptConnectionUsable(Clock::now())) {
    return true;
  }
  Disconnect();
  beast::error_code code;
  const auto ip = asio::ip::make_address(aAddress.ip_, code);
  if (code) {
    return false;
  }
  stream_.emplace(context_);
  stream_->expires_at(std::min(aDeadline, Clock::now() + settings_.connectTimeout_));
  code = RunStep(context_, [&](auto aHandler) {
    stream_->async_connect(asio::ip::tcp::endpoint(ip, aAddress.port_), aHandler);
  });
  if (code) {
    Disconnect();
    return false;
  }
  stream_->socket().set_option(asio::ip::tcp::no_delay(true), code);
  connectedTo_ = aAddress;
  return true;
}

Exchange PlatformClient::TryAddress(Request& aRequest, const Address& aAddress, TimePoint aDeadline)
{
  Exchange exchange;
  if (!Connect(aAddress, aDeadline)) {
    return exchange;
  }
  exchange.progress_ = Progress::kMaybeSent;
  stream_->expires_at(aDeadline);
  auto code =
    RunStep(context_, [&](auto aHandler) { http::async_write(*stream_, aRequest, aHandler); });
  beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(settings_.maxBodyBytes_);
  if (!code) {
    code = RunStep(context_,
                   [&](auto aHandler) { http::async_read(*stream_, buffer, parser, aHandler); });
  }
  if (code) {
    Disconnect();
    return exchange;
  }
  exchange.progress_ = Progress::kAnswered;
  exchange.response_ = parser.release();
  lastUsed_ = Clock::now();
  if (!exchange.response_.keep_alive()) {
    Disconnect();
  }
  return exchange;
}

Result<Response> PlatformClient::Send(http::verb aMethod,
                                      const std::string& aTarget,
                                      std::string aBody)
{
  const auto deadline = Clock::now() + settings_.requestTimeout_;
  Request request{ aMethod, aTarget, 11 };
  request.set(http::field::host, "platform");
  request.set(http::field::content_type, "application/json");
  request.body() = std::move(aBody);
  request.prepare_payload();
  for (std::size_t i = 0; i < settings_.addresses_.size(); ++i) {
    const auto index = (preferred_ + i) % settings_.addresses_.size();
    auto exchange = TryAddress(request, settings_.addresses_[index], deadline);
    if (exchange.progress_ == Progress::kAnswered) {
      preferred_ = index;
      return std::move(exchange.response_);
    }
    if (exchange.progress_ == Progress::kMaybeSent && aMethod != http::verb::get) {
      return Fail(ErrorCode::kPlatformUnknown, aTarget, "no answer");
    }
  }
  return Fail(ErrorCode::kPlatformUnavailable, aTarget, "no address answers");
}

/// The error for an answer with an unexpected status.
auto UnexpectedStatus(const Response& aResponse, std::string_view aSubject)
{
  const auto status = aResponse.result_int();
  const bool refused = status == 503 || status == 429;
  return Fail(refused ? ErrorCode::kPlatformUnavailable : ErrorCode::kPlatformMalformed,
              std::string(aSubject),
              "status " + std::to_string(status));
}

Result<std::optional<PlatformRow>> PlatformClient::ReadRow(std::string_view aKey)
{
  BOOST_OUTCOME_TRY(response, Send(http::verb::get, "/v1/rows/" + EscapeUrl(aKey), {}));
  if (response.result_int() == 404) {
    return std::optional<PlatformRow>{};
  }
  if (response.result_int() != 200) {
    return UnexpectedStatus(response, aKey);
  }
  BOOST_OUTCOME_TRY(row, DecodePlatformRow(response.body()));
  return std::make_optional(std::move(row));
}

Result<std::vector<PlatformRow>> PlatformClient::ReadRange(std::string_view aPrefix,
                                                           std::string_view aAfter,
                                                           std::uint32_t aLimit)
{
  const auto target = "/v1/rows?prefix=" + EscapeUrl(aPrefix) + "&after=" + EscapeUrl(aAfter) +
                      "&limit=" + std::to_string(aLimit);
  BOOST_OUTCOME_TRY(response, Send(http::verb::get, target, {}));
  if (response.result_int() != 200) {
    return UnexpectedStatus(response, aPrefix);
  }
  return DecodePlatformRows(response.body());
}

Result<std::uint64_t> PlatformClient::Transact(const PlatformTransaction& aTransaction)
{
  BOOST_OUTCOME_TRY(
    response, Send(http::verb::post, "/v1/transactions", EncodePlatformTransaction(aTransaction)));
  const auto status = response.result_int();
  if (status != 200 && status != 409) {
    // Any other server error leaves open whether the transaction took effect.
    if (status >= 500 && status != 503) {
      return Fail(ErrorCode::kPlatformUnknown, "transaction", "status " + std::to_string(status));
    }
    return UnexpectedStatus(response, "transaction");
  }
  BOOST_OUTCOME_TRY(result, DecodePlatformResult(response.body()));
  if (status == 409) {
    return Fail(ErrorCode::kPlatformConflict, result.key_, std::to_string(result.revision_));
  }
  return result.revision_;
}

Result<void> PlatformClient::PutObject(std::string_view aName, std::string_view aBody)
{
  BOOST_OUTCOME_TRY(response,
                    Send(http::verb::put, "/v1/objects/" + EscapeUrl(aName), std::string(aBody)));
  if (response.result_int() != 200) {
    return UnexpectedStatus(response, aName);
  }
  return Success();
}

Result<std::optional<std::string>> PlatformClient::GetObject(std::string_view aName)
{
  BOOST_OUTCOME_TRY(response, Send(http::verb::get, "/v1/objects/" + EscapeUrl(aName), {}));
  if (response.result_int() == 404) {
    return std::optional<std::string>{};
  }
  if (response.result_int() != 200) {
    return UnexpectedStatus(response, aName);
  }
  return std::make_optional(std::move(response.body()));
}

} // namespace

std::unique_ptr<Platform> MakePlatformClient(PlatformSettings aSettings)
{
  return std::make_unique<PlatformClient>(std::move(aSettings));
}

std::string NewOperationId()
{
  std::array<unsigned char, 16> bytes{};
  RAND_bytes(bytes.data(), static_cast<int>(bytes.size()));
  constexpr std::string_view kHex = "0123456789abcdef";
  std::string id;
  for (const auto byte : bytes) {
    id.push_back(kHex[byte >> 4U]);
    id.push_back(kHex[byte & 15U]);
  }
  return id;
}

} // namespace peridotquay
