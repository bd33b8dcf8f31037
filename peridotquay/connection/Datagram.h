// UDP socket for membership probes.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Largest datagram. Larger ones don't pass all networks unfragmented, and loopback takes it whole.
inline constexpr std::size_t kMaxDatagramBytes = std::size_t{ 16 } * 1024;

/// Sends and receives peer messages as datagrams. Bad datagrams are dropped and counted. Used on
/// the loop's thread only.
class Datagram
{
public:
  using OnMessage = std::function<void(const Address&, PeerMessage)>;

  Datagram(EventLoop& aLoop, OnMessage aOnMessage);
  Datagram(const Datagram&) = delete;
  Datagram& operator=(const Datagram&) = delete;
  ~Datagram();

  /// Binds and receives; returns the port. Errors: kAddressInUse.
  Result<std::uint16_t> Listen(const Address& aAddress);
  /// Sends at once, or drops the message if it is too large or the system has no room.
  void Send(const Address& aPeer, const PeerMessage& aMessage);
  /// Datagrams that were dropped on receipt because they were malformed.
  std::uint64_t DroppedDatagrams() const;

  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
