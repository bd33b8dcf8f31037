// Stand-in link: relays TCP connections and UDP datagrams between two addresses.
#pragma once

#include "standins/lib/LinkSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <array>
#include <coroutine>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <string>
#include <utility>

namespace peridotquay::standins {

/// Runs on one thread of the io_context it is given. A connection that fell silent stays open and
/// swallows every byte, in both directions, for the rest of its life.
class LinkRelay : public std::enable_shared_from_this<LinkRelay>
{
public:
  LinkRelay(boost::asio::io_context& aContext, LinkSettings aSettings);

  /// Opens all sockets. Errors: kAddressInUse.
  Result<void> Start();

  void Stop();

  /// Bound port for TCP and UDP.
  std::uint16_t Port() const;

  /// Bound port of the HTTP control.
  std::uint16_t ControlPort() const;

private:
  using Tcp = boost::asio::ip::tcp;
  using Udp = boost::asio::ip::udp;

  /// Bytes on the way. An empty chunk is the end of the stream.
  struct Chunk
  {
    TimePoint arrivesAt_;
    std::string bytes_;
  };

  /// One direction of a connection.
  struct Flow
  {
    explicit Flow(boost::asio::io_context& aContext);
    std::deque<Chunk> chunks_;
    std::size_t queuedBytes_ = 0;         ///< Invariant: sum of the sizes in chunks_.
    boost::asio::steady_timer wakeTimer_; ///< Cancelled when chunks_ or the faults change.
  };

  struct Connection
  {
    explicit Connection(boost::asio::io_context& aContext);
    std::array<Tcp::socket, 2> sockets_; ///< The caller's and the remote's.
    std::array<Flow, 2> flows_;          ///< flows_[i] is read from sockets_[i].
    std::uint64_t silenceAtOpen_ = 0;    ///< Value of silenceGeneration_ when it was opened.
    std::uint64_t resetAtOpen_ = 0;      ///< Value of resetGeneration_ when it was opened.
  };

  /// Return path of datagrams for one sender.
  struct DatagramPath
  {
    explicit DatagramPath(boost::asio::io_context& aContext);
    Udp::endpoint sender_;
    Udp::socket socket_; ///< Connected to the remote.
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Open(std::shared_ptr<Connection> aConnection);
  boost::asio::awaitable<void> Read(std::shared_ptr<Connection> aConnection, std::size_t aSide);
  boost::asio::awaitable<void> Write(std::shared_ptr<Connection> aConnection, std::size_t aSide);
  boost::asio::awaitable<void> ReceiveDatagrams();
  boost::asio::awaitable<void> ReturnDatagrams(std::shared_ptr<DatagramPath> aPath);
  boost::asio::awaitable<void> AcceptControl();
  boost::asio::awaitable<void> ServeControl(std::shared_ptr<Tcp::socket> aSocket);
  void SendDelayed(std::size_t aDirection,
                   std::string aBytes,
                   std::function<void(std::string)> aSend);
  bool IsSilent(const Connection& aConnection) const;
  /// Whether nothing passes that side aSide sends: 0 for the caller, 1 for the remote.
  bool IsStalled(std::size_t aSide) const;
  void HandleFaultChange();
  std::string StatusJson() const;

  boost::asio::io_context& context_;
  LinkSettings settings_;
  Tcp::acceptor acceptor_;
  Tcp::acceptor control_;
  Udp::socket datagrams_;
  std::array<TimePoint, 2> freeAt_{}; ///< Per direction; all connections share the bandwidth.
  std::array<std::uint64_t, 2> relayedBytes_{};
  std::uint64_t lostDatagrams_ = 0;
  std::list<std::weak_ptr<Connection>> connections_;
  std::map<Udp::endpoint, std::shared_ptr<DatagramPath>>
    datagramPaths_; ///< At most kMaxDatagramPaths.
};

} // namespace peridotquay::standins
