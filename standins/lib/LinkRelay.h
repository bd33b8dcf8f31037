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

/// All handlers run on the single thread of the given io_context. A silenced connection stays open
/// and discards every byte in both directions until it is closed.
class LinkRelay : public std::enable_shared_from_this<LinkRelay>
{
public:
  LinkRelay(boost::asio::io_context& aContext, LinkSettings aSettings);

  /// Opens all sockets and starts to relay. Errors: kAddressInUse.
  Result<void> Start();

  /// Closes all sockets.
  void Stop();

  /// Bound port for TCP and UDP traffic.
  std::uint16_t Port() const;

  /// Bound port of the HTTP control interface.
  std::uint16_t ControlPort() const;

private:
  using Tcp = boost::asio::ip::tcp;
  using Udp = boost::asio::ip::udp;

  /// Bytes in transit. An empty chunk marks the end of the stream.
  struct Chunk
  {
    TimePoint arrivesAt_;
    std::string bytes_;
  };

  /// Queue of one direction of a connection.
  struct Flow
  {
    explicit Flow(boost::asio::io_context& aContext);
    std::deque<Chunk> chunks_;
    std::size_t queuedBytes_ = 0;         ///< Invariant: sum of the sizes in chunks_.
    boost::asio::steady_timer wakeTimer_; ///< Cancelled to wake the writer after a change.
  };

  struct Connection
  {
    explicit Connection(boost::asio::io_context& aContext);
    std::array<Tcp::socket, 2> sockets_; ///< Side 0: the caller; side 1: the remote.
    std::array<Flow, 2> flows_;          ///< flows_[i] holds bytes read from sockets_[i].
    std::uint64_t silenceAtOpen_ = 0;    ///< silenceGeneration_ when the connection was accepted.
    std::uint64_t resetAtOpen_ = 0;      ///< resetGeneration_ when the connection was accepted.
  };

  /// Forwards the datagrams of one sender and returns the answers to it.
  struct DatagramPath
  {
    explicit DatagramPath(boost::asio::io_context& aContext);
    Udp::endpoint sender_;
    Udp::socket socket_; ///< Connected to the remote.
  };

  boost::asio::awaitable<void> Accept();
  /// Waits until there is no cut, connects to the remote and starts both directions.
  boost::asio::awaitable<void> Open(std::shared_ptr<Connection> aConnection);
  /// Queues what aSide sends.
  boost::asio::awaitable<void> Read(std::shared_ptr<Connection> aConnection, std::size_t aSide);
  /// Delivers what aSide sent to the other side, once it is due.
  boost::asio::awaitable<void> Write(std::shared_ptr<Connection> aConnection, std::size_t aSide);
  boost::asio::awaitable<void> ReceiveDatagrams();
  boost::asio::awaitable<void> ReturnDatagrams(std::shared_ptr<DatagramPath> aPath);
  boost::asio::awaitable<void> AcceptControl();
  boost::asio::awaitable<void> ServeControl(std::shared_ptr<Tcp::socket> aSocket);
  /// Calls aSend when the datagram arrives at the other end, or counts it as lost during a cut.
  void SendDelayed(std::size_t aDirection,
                   std::string aBytes,
                   std::function<void(std::string)> aSend);
  /// Whether connections were silenced after this one was accepted.
  bool IsSilent(const Connection& aConnection) const;
  /// Whether a cut holds back what aSide sends (0: the caller, 1: the remote).
  bool IsStalled(std::size_t aSide) const;
  /// Resets connections if requested and wakes all writers.
  void HandleFaultChange();
  /// Body of GET /link.
  std::string StatusJson() const;

  boost::asio::io_context& context_;
  LinkSettings settings_;
  Tcp::acceptor acceptor_;
  Tcp::acceptor control_;
  Udp::socket datagrams_;
  /// Per direction: end of the transmission of all bytes so far. All connections share the
  /// bandwidth.
  std::array<TimePoint, 2> freeAt_{};
  std::array<std::uint64_t, 2> relayedBytes_{}; ///< Per direction.
  std::uint64_t lostDatagrams_ = 0;
  std::list<std::weak_ptr<Connection>> connections_;
  /// By sender; at most kMaxDatagramPaths.
  std::map<Udp::endpoint, std::shared_ptr<DatagramPath>> datagramPaths_;
};

} // namespace peridotquay::standins
