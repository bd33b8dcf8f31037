// HTTP server of the platform stand-in with one coroutine for each connection.
// Boost.Asio 1.74 uses declarations of these two headers without including them.
// clang-format off
#include <utility>
#include <coroutine>
// clang-format on
#include "standins/lib/PlatformServer.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <future>
#include <thread>

namespace peridotquay {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

/// Large enough for a snapshot of 8 MiB with JSON escapes.
constexpr std::uint64_t kMaxBodyBytes = std::uint64_t{ 32 } << 20U;

asio::awaitable<void> Sleep(Duration aDuration)
{
  if (aDuration <= Duration::zero()) {
    co_return;
  }
  asio::steady_timer timer(co_await asio::this_coro::executor, aDuration);
  beast::error_code code;
  co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, code));
}

/// Handles one request with the configured delay and silence. Returns nothing if the connection is
/// to be closed without an answer.
asio::awaitable<std::optional<PlatformReply>> HandleWithFaults(PlatformService& aService,
                                                               PlatformRequest aRequest)
{
  const bool isControl = aRequest.target_ == "/faults" || aRequest.target_ == "/stats";
  // The connection stays open until the silence ends; the request is discarded.
  if (!isControl && aService.Faults().outage_ == PlatformOutage::kSilent) {
    while (aService.Faults().outage_ == PlatformOutage::kSilent) {
      co_await Sleep(milliseconds(50));
    }
    co_return std::nullopt;
  }
  const Duration halfDelay =
    isControl ? Duration::zero() : milliseconds(aService.Faults().delayMs_) / 2;
  co_await Sleep(halfDelay);
  auto reply = aService.Handle(aRequest, Clock::now());
  co_await Sleep(halfDelay);
  if (reply.lost_) {
    co_return std::nullopt;
  }
  co_return reply;
}

asio::awaitable<void> ServeConnection(PlatformService& aService, asio::ip::tcp::socket aSocket)
{
  beast::flat_buffer buffer;
  beast::error_code code;
  aSocket.set_option(asio::ip::tcp::no_delay(true), code);
  for (;;) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kMaxBodyBytes);
    co_await http::async_read(
      aSocket, buffer, parser, asio::redirect_error(asio::use_awaitable, code));
    if (code) {
      co_return;
    }
    auto request = parser.release();
    const bool keepAlive = request.keep_alive();
    // Named variable, because g++ 12 destroys temporaries in co_await arguments twice.
    PlatformRequest call{ std::string(request.method_string()),
                          std::string(request.target()),
                          std::move(request.body()) };
    auto reply = co_await HandleWithFaults(aService, std::move(call));
    if (!reply) {
      co_return;
    }
    http::response<http::string_body> response{ static_cast<http::status>(reply->status_), 11 };
    response.set(http::field::content_type, "application/json");
    response.keep_alive(keepAlive);
    response.body() = std::move(reply->body_);
    response.prepare_payload();
    co_await http::async_write(aSocket, response, asio::redirect_error(asio::use_awaitable, code));
    if (code || !keepAlive) {
      co_return;
    }
  }
}

asio::awaitable<void> Accept(PlatformService& aService, asio::ip::tcp::acceptor& aAcceptor)
{
  for (;;) {
    beast::error_code code;
    auto socket = co_await aAcceptor.async_accept(asio::redirect_error(asio::use_awaitable, code));
    if (code == asio::error::operation_aborted || !aAcceptor.is_open()) {
      co_return;
    }
    if (!code) {
      asio::co_spawn(
        aAcceptor.get_executor(), ServeConnection(aService, std::move(socket)), asio::detached);
    }
  }
}

} // namespace

struct PlatformServer::State
{
  explicit State(const Settings& aSettings)
    : service_(aSettings.faults_, aSettings.seed_)
    , acceptor_(context_)
  {
  }

  /// Runs a function on the server's thread, waits for it and returns its result.
  template<typename Function>
  auto OnThread(Function aFunction)
  {
    std::promise<decltype(aFunction())> promise;
    auto future = promise.get_future();
    asio::post(context_, [&] { promise.set_value(aFunction()); });
    return future.get();
  }

  PlatformService service_;
  asio::io_context context_{ 1 };
  asio::ip::tcp::acceptor acceptor_;
  Address bound_;
  std::thread thread_;
};

Result<std::unique_ptr<PlatformServer>> PlatformServer::Start(const Settings& aSettings)
{
  auto state = std::make_unique<State>(aSettings);
  const auto text = aSettings.listen_.ip_ + ":" + std::to_string(aSettings.listen_.port_);
  beast::error_code code;
  const asio::ip::tcp::endpoint endpoint(asio::ip::make_address(aSettings.listen_.ip_, code),
                                         aSettings.listen_.port_);
  if (!code) {
    state->acceptor_.open(endpoint.protocol(), code);
    state->acceptor_.set_option(asio::socket_base::reuse_address(true), code);
    state->acceptor_.bind(endpoint, code);
  }
  if (!code) {
    state->acceptor_.listen(asio::socket_base::max_listen_connections, code);
  }
  if (code) {
    return Fail(ErrorCode::kAddressInUse, text, code.message());
  }
  state->bound_ = { aSettings.listen_.ip_, state->acceptor_.local_endpoint().port() };
  asio::co_spawn(state->context_, Accept(state->service_, state->acceptor_), asio::detached);
  state->thread_ = std::thread([context = &state->context_] { context->run(); });
  return std::unique_ptr<PlatformServer>(new PlatformServer(std::move(state)));
}

PlatformServer::PlatformServer(std::unique_ptr<State> aState)
  : state_(std::move(aState))
{
}

PlatformServer::~PlatformServer()
{
  state_->context_.stop();
  state_->thread_.join();
}

Address PlatformServer::BoundAddress() const
{
  return state_->bound_;
}

void PlatformServer::SetFaults(const PlatformFaults& aFaults)
{
  state_->OnThread([&] {
    state_->service_.SetFaults(aFaults);
    return true;
  });
}

PlatformFaults PlatformServer::Faults() const
{
  return state_->OnThread([&] { return state_->service_.Faults(); });
}

PlatformCounts PlatformServer::Counts() const
{
  return state_->OnThread([&] { return state_->service_.Counts(); });
}

} // namespace peridotquay
