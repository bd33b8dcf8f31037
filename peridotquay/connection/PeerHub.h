// All peer connections of a node: listening, connecting on demand, and the calls that wait for
// answers on them.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerLink.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Where a message came from.
struct PeerSource
{
  std::uint64_t link_ = 0;
  Hello hello_;
  Address address_; ///< Sending to it uses the same connection while that is open.
};

/// A call whose connection ended before the answer.
struct LostCall
{
  std::uint64_t callId_ = 0;
  bool sent_ = false; ///< False: certainly no byte of it was sent.
  LinkEndReason reason_ = LinkEndReason::kClosed;
  Hello peer_; ///< Who the connection led to; host is empty if it never opened.
};

struct PeerHubEvents
{
  std::function<void(const PeerSource&, PeerMessage)> onMessage_;
  std::function<void(const LostCall&)> onCallLost_;
  std::function<void(std::uint64_t)> onLinkEnded_; ///< Number of the link.
};

/// Keeps one connection for each address that it sends to. Used on the loop's thread only.
class PeerHub
{
public:
  PeerHub(EventLoop& aLoop, const PeerLinkSettings& aSettings, PeerHubEvents aEvents);
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;
  ~PeerHub();

  /// Binds and accepts; returns the port. Errors: kAddressInUse.
  Result<std::uint16_t> Listen(const Address& aAddress);
  /// Sends a frame, connecting if needed. It is lost if the peer can't be reached.
  void Send(const Address& aPeer, const PeerMessage& aMessage);
  /// Sends a frame that will be answered. The id counts as outstanding on the connection until
  /// EndCall; if the connection ends before, onCallLost_ is called, never from within SendCall.
  void SendCall(const Address& aPeer, std::uint64_t aCallId, const PeerMessage& aMessage);
  /// The call is answered or given up. False if it wasn't outstanding.
  bool EndCall(std::uint64_t aCallId);
  /// The peer that an outstanding call went to; null if it isn't outstanding.
  const Hello* PeerOfCall(std::uint64_t aCallId) const;
  /// Number of the link that an outstanding call waits on; 0 if it isn't outstanding.
  std::uint64_t LinkOfCall(std::uint64_t aCallId) const;
  /// Sends a frame on the link that a message came by. False if that link has ended.
  bool Reply(std::uint64_t aLink, const PeerMessage& aMessage);
  /// Sends a Cancel for an outstanding call and forgets it.
  void CancelCall(std::uint64_t aCallId);
  /// All queued frames are with the system.
  bool IsFlushed() const;
  /// Open connections, both ways.
  std::size_t OpenLinkCount() const;

  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
