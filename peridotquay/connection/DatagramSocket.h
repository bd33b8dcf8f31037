// UDP socket for peer messages such as membership probes and rate reports.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Maximum size of a datagram in bytes. Fits into one packet on loopback; other networks may
/// fragment it.
inline constexpr std::size_t kMaxDatagramBytes = std::size_t{ 16 } * 1024;

/// Sends and receives peer messages as datagrams. Drops and counts malformed datagrams. Used only
/// on the loop's thread.
class DatagramSocket
{
public:
  using OnMessage = std::function<void(const Address&, PeerMessage)>;

  DatagramSocket(EventLoop& aLoop, OnMessage aOnMessage);
  DatagramSocket(const DatagramSocket&) = delete;
  DatagramSocket& operator=(const DatagramSocket&) = delete;
  ~DatagramSocket();

  /// Starts receiving and returns the bound port. Errors: kOutOfRange, kAddressInUse.
  Result<std::uint16_t> Listen(const Address& aAddress);
  /// Sends immediately, or drops the message if it is too large or the socket's send buffer is
  /// full.
  void Send(const Address& aPeer, const PeerMessage& aMessage);
  /// Number of received datagrams that were dropped as malformed.
  std::uint64_t DroppedDatagrams() const;

  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
