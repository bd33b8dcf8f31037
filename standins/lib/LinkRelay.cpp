// Stand-in link: relay and HTTP control interface as Asio coroutines.
#include "standins/lib/LinkRelay.h"

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>

namespace peridotquay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;

namespace {

constexpr std::size_t kChunkBytes = 16 * 1024;

// Bounds the memory of one direction. Reading pauses while the queue is full, which gives the
// sender TCP back-pressure.
constexpr std::size_t kMaxQueuedBytes = std::size_t{ 4 } << 20U;

// Bounds the number of sockets, of which each path holds one.
constexpr std::size_t kMaxDatagramPaths = 256;

template<typename Acceptor>
void Listen(Acceptor& aAcceptor, const Address& aAddress, error_code& aFailure)
{
  using asio::ip::tcp;
  const tcp::endpoint endpoint(asio::ip::make_address(aAddress.ip_, aFailure), aAddress.port_);
  if (!aFailure) {
    aAcceptor.open(endpoint.protocol(), aFailure);
  }
  if (!aFailure) {
    aAcceptor.set_option(tcp::acceptor::reuse_address(true), aFailure);
  }
  if (!aFailure) {
    aAcceptor.bind(endpoint, aFailure);
  }
  if (!aFailure) {
    aAcceptor.listen(1024, aFailure);
  }
}

} // namespace

LinkRelay::Flow::Flow(asio::io_context& aContext)
  : wakeTimer_(aContext)
{
}

LinkRelay::Connection::Connection(asio::io_context& aContext)
  : sockets_{ Tcp::socket(aContext), Tcp::socket(aContext) }
  , flows_{ Flow(aContext), Flow(aContext) }
{
}

LinkRelay::DatagramPath::DatagramPath(asio::io_context& aContext)
  : socket_(aContext)
{
}

LinkRelay::LinkRelay(asio::io_context& aContext, LinkSettings aSettings)
  : context_(aContext)
  , settings_(std::move(aSettings))
  , acceptor_(aContext)
  , control_(aContext)
  , datagrams_(aContext)
{
}

Result<void> LinkRelay::Start()
{
  error_code failure;
  // A port that the kernel chose for TCP may be in use for UDP, so several ports are tried.
  for (int attempt = 0; attempt < 16; ++attempt) {
    failure.clear();
    Listen(acceptor_, settings_.listen_, failure);
    if (!failure) {
      datagrams_.open(Udp::v4(), failure);
      datagrams_.bind({ asio::ip::make_address(settings_.listen_.ip_), Port() }, failure);
    }
    if (!failure || settings_.listen_.port_ != 0) {
      break;
    }
    error_code ignored;
    acceptor_.close(ignored);
    datagrams_.close(ignored);
  }
  if (!failure) {
    Listen(control_, settings_.control_, failure);
  }
  if (failure) {
    return Fail(ErrorCode::kAddressInUse, settings_.listen_.ip_, failure.message());
  }
  const auto self = shared_from_this();
  asio::co_spawn(
    context_, [self] { return self->Accept(); }, asio::detached);
  asio::co_spawn(
    context_, [self] { return self->AcceptControl(); }, asio::detached);
  asio::co_spawn(
    context_, [self] { return self->ReceiveDatagrams(); }, asio::detached);
  return Success();
}

void LinkRelay::Stop()
{
  error_code ignored;
  acceptor_.close(ignored);
  control_.close(ignored);
  datagrams_.close(ignored);
  for (const auto& weakConnection : connections_) {
    if (const auto connection = weakConnection.lock()) {
      for (std::size_t side : { 0U, 1U }) {
        connection->sockets_[side].close(ignored);
        connection->flows_[side].wakeTimer_.cancel();
      }
    }
  }
  for (const auto& [sender, path] : datagramPaths_) {
    path->socket_.close(ignored);
  }
  datagramPaths_.clear();
}

std::uint16_t LinkRelay::Port() const
{
  return acceptor_.local_endpoint().port();
}

std::uint16_t LinkRelay::ControlPort() const
{
  return control_.local_endpoint().port();
}

bool LinkRelay::IsSilent(const Connection& aConnection) const
{
  return aConnection.silenceAtOpen_ != settings_.faults_.silenceGeneration_;
}

bool LinkRelay::IsStalled(std::size_t aSide) const
{
  return settings_.faults_.cut_ || (aSide == 1 && settings_.faults_.cutFromRemote_);
}

asio::awaitable<void> LinkRelay::Accept()
{
  const auto self = shared_from_this();
  while (acceptor_.is_open()) {
    const auto connection = std::make_shared<Connection>(context_);
    error_code failure;
    co_await acceptor_.async_accept(connection->sockets_[0],
                                    asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      continue;
    }
    connections_.remove_if([](const auto& aOld) { return aOld.expired(); });
    connections_.push_back(connection);
    connection->silenceAtOpen_ = settings_.faults_.silenceGeneration_;
    connection->resetAtOpen_ = settings_.faults_.resetGeneration_;
    asio::co_spawn(
      context_, [self, connection] { return self->Open(connection); }, asio::detached);
  }
}

asio::awaitable<void> LinkRelay::Open(std::shared_ptr<Connection> aConnection)
{
  const auto self = shared_from_this();
  error_code failure;
  while (settings_.faults_.cut_ && acceptor_.is_open()) {
    aConnection->flows_[0].wakeTimer_.expires_at(TimePoint::max());
    co_await aConnection->flows_[0].wakeTimer_.async_wait(
      asio::redirect_error(asio::use_awaitable, failure));
  }
  const Tcp::endpoint remote(asio::ip::make_address(settings_.remote_.ip_),
                             settings_.remote_.port_);
  co_await aConnection->sockets_[1].async_connect(
    remote, asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    aConnection->sockets_[0].close(failure);
    co_return;
  }
  for (std::size_t side : { 0U, 1U }) {
    aConnection->sockets_[side].set_option(Tcp::no_delay(true), failure);
    asio::co_spawn(
      context_,
      [self, aConnection, side] { return self->Read(aConnection, side); },
      asio::detached);
    asio::co_spawn(
      context_,
      [self, aConnection, side] { return self->Write(aConnection, side); },
      asio::detached);
  }
}

asio::awaitable<void> LinkRelay::Read(std::shared_ptr<Connection> aConnection, std::size_t aSide)
{
  const auto self = shared_from_this();
  Flow& flow = aConnection->flows_[aSide];
  std::string buffer(kChunkBytes, '\0');
  error_code failure;
  while (!failure) {
    const std::size_t received = co_await aConnection->sockets_[aSide].async_read_some(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
    if (IsSilent(*aConnection)) {
      continue;
    }
    relayedBytes_[aSide] += received;
    const TimePoint arrivesAt =
      ArrivalTime(settings_.faults_, received, freeAt_[aSide], Clock::now());
    flow.chunks_.push_back({ arrivesAt, failure ? std::string() : buffer.substr(0, received) });
    flow.queuedBytes_ += flow.chunks_.back().bytes_.size();
    flow.wakeTimer_.cancel();
    while (!failure && flow.queuedBytes_ > kMaxQueuedBytes) {
      asio::steady_timer pause(context_, milliseconds(1));
      co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, failure));
    }
  }
}

asio::awaitable<void> LinkRelay::Write(std::shared_ptr<Connection> aConnection, std::size_t aSide)
{
  const auto self = shared_from_this();
  Flow& flow = aConnection->flows_[aSide];
  Tcp::socket& destination = aConnection->sockets_[1 - aSide];
  error_code failure;
  while (destination.is_open()) {
    const bool ready = !flow.chunks_.empty() && !IsStalled(aSide);
    if (!ready || flow.chunks_.front().arrivesAt_ > Clock::now()) {
      flow.wakeTimer_.expires_at(ready ? flow.chunks_.front().arrivesAt_ : TimePoint::max());
      co_await flow.wakeTimer_.async_wait(asio::redirect_error(asio::use_awaitable, failure));
      continue;
    }
    const Chunk chunk = std::move(flow.chunks_.front());
    flow.chunks_.pop_front();
    flow.queuedBytes_ -= chunk.bytes_.size();
    if (IsSilent(*aConnection)) {
      continue;
    }
    if (chunk.bytes_.empty()) {
      destination.shutdown(Tcp::socket::shutdown_send, failure);
      break;
    }
    co_await asio::async_write(
      destination, asio::buffer(chunk.bytes_), asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      break;
    }
  }
  if (failure) {
    // The destination failed, so the source's connection is closed too.
    aConnection->sockets_[aSide].close(failure);
  }
}

void LinkRelay::SendDelayed(std::size_t aDirection,
                            std::string aBytes,
                            std::function<void(std::string)> aSend)
{
  if (IsStalled(aDirection)) {
    ++lostDatagrams_;
    return;
  }
  relayedBytes_[aDirection] += aBytes.size();
  const auto timer = std::make_shared<asio::steady_timer>(
    context_, ArrivalTime(settings_.faults_, aBytes.size(), freeAt_[aDirection], Clock::now()));
  timer->async_wait(
    [timer, bytes = std::move(aBytes), send = std::move(aSend)](error_code aFailure) {
      if (!aFailure) {
        send(bytes);
      }
    });
}

asio::awaitable<void> LinkRelay::ReceiveDatagrams()
{
  const auto self = shared_from_this();
  const Udp::endpoint remote(asio::ip::make_address(settings_.remote_.ip_),
                             settings_.remote_.port_);
  std::string buffer(65536, '\0');
  while (datagrams_.is_open()) {
    error_code failure;
    Udp::endpoint sender;
    const std::size_t received = co_await datagrams_.async_receive_from(
      asio::buffer(buffer), sender, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      continue;
    }
    auto& path = datagramPaths_[sender];
    if (!path) {
      if (datagramPaths_.size() > kMaxDatagramPaths) {
        datagramPaths_.erase(sender);
        ++lostDatagrams_;
        continue;
      }
      path = std::make_shared<DatagramPath>(context_);
      path->sender_ = sender;
      path->socket_.open(Udp::v4(), failure);
      path->socket_.connect(remote, failure);
      asio::co_spawn(
        context_, [self, path = path] { return self->ReturnDatagrams(path); }, asio::detached);
    }
    SendDelayed(0, buffer.substr(0, received), [path = path](const std::string& aBytes) {
      error_code ignored;
      path->socket_.send(asio::buffer(aBytes), 0, ignored);
    });
  }
}

asio::awaitable<void> LinkRelay::ReturnDatagrams(std::shared_ptr<DatagramPath> aPath)
{
  const auto self = shared_from_this();
  std::string buffer(65536, '\0');
  while (aPath->socket_.is_open()) {
    error_code failure;
    const std::size_t received = co_await aPath->socket_.async_receive(
      asio::buffer(buffer), asio::redirect_error(asio::use_awaitable, failure));
    // An ICMP error for an earlier datagram is reported here. The remote may start to listen
    // again.
    if (failure) {
      continue;
    }
    SendDelayed(1, buffer.substr(0, received), [self, aPath](const std::string& aBytes) {
      error_code ignored;
      self->datagrams_.send_to(asio::buffer(aBytes), aPath->sender_, 0, ignored);
    });
  }
}

void LinkRelay::HandleFaultChange()
{
  for (const auto& weakConnection : connections_) {
    const auto connection = weakConnection.lock();
    if (!connection) {
      continue;
    }
    if (connection->resetAtOpen_ != settings_.faults_.resetGeneration_) {
      for (auto& socket : connection->sockets_) {
        // Closing with a linger time of 0 sends a TCP reset.
        error_code ignored;
        socket.set_option(asio::socket_base::linger(true, 0), ignored);
        socket.close(ignored);
      }
    }
    connection->flows_[0].wakeTimer_.cancel();
    connection->flows_[1].wakeTimer_.cancel();
  }
}

std::string LinkRelay::StatusJson() const
{
  std::size_t open = 0;
  std::size_t silent = 0;
  for (const auto& weakConnection : connections_) {
    const auto connection = weakConnection.lock();
    if (connection) {
      ++(IsSilent(*connection) ? silent : open);
    }
  }
  const nlohmann::json report{ { "connections", open },
                               { "silent_connections", silent },
                               { "bytes_to_remote", relayedBytes_[0] },
                               { "bytes_from_remote", relayedBytes_[1] },
                               { "lost_datagrams", lostDatagrams_ },
                               { "cut", settings_.faults_.cut_ },
                               { "cut_answers", settings_.faults_.cutFromRemote_ },
                               { "delay_ms", ToSeconds(settings_.faults_.delay_) * 1000 },
                               { "bandwidth", settings_.faults_.bandwidth_ } };
  return report.dump();
}

asio::awaitable<void> LinkRelay::AcceptControl()
{
  const auto self = shared_from_this();
  while (control_.is_open()) {
    const auto socket = std::make_shared<Tcp::socket>(context_);
    error_code failure;
    co_await control_.async_accept(*socket, asio::redirect_error(asio::use_awaitable, failure));
    if (!failure) {
      asio::co_spawn(
        context_, [self, socket] { return self->ServeControl(socket); }, asio::detached);
    }
  }
}

asio::awaitable<void> LinkRelay::ServeControl(std::shared_ptr<Tcp::socket> aSocket)
{
  const auto self = shared_from_this();
  boost::beast::flat_buffer buffer;
  http::request<http::string_body> request;
  error_code failure;
  co_await http::async_read(
    *aSocket, buffer, request, asio::redirect_error(asio::use_awaitable, failure));
  if (failure) {
    co_return;
  }
  http::response<http::string_body> response;
  response.version(request.version());
  response.keep_alive(false);
  response.result(http::status::ok);
  if (request.target() != "/link") {
    response.result(http::status::not_found);
  } else if (request.method() == http::verb::post) {
    const auto applied = ApplyLinkFaults(settings_.faults_, request.body());
    if (!applied) {
      response.result(http::status::bad_request);
      response.body() = nlohmann::json(Describe(applied.assume_error())).dump();
    } else {
      HandleFaultChange();
      response.body() = StatusJson();
    }
  } else {
    response.body() = StatusJson();
  }
  response.set(http::field::content_type, "application/json");
  response.prepare_payload();
  co_await http::async_write(
    *aSocket, response, asio::redirect_error(asio::use_awaitable, failure));
}

} // namespace peridotquay::standins
