// All peer connections of a node. Accepts connections, connects on demand and tracks the calls that
// wait for answers.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerLink.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Origin of a received message.
struct PeerSource
{
  std::uint64_t link_ = 0; ///< Number of the link, for PeerHub::Reply.
  Hello hello_;
  Address address_; ///< PeerHub::Send to this address uses the same connection while it is open.
};

/// A call whose connection ended before the answer arrived.
struct LostCall
{
  std::uint64_t callId_ = 0;
  bool maybeSent_ = false; ///< False: no byte of it was sent. True: it may have been sent.
  LinkEndReason reason_ = LinkEndReason::kClosed;
  Hello peer_; ///< The peer's Hello; its host is empty if the connection never opened.
};

/// Callbacks of a PeerHub, called on the loop's thread.
struct PeerHubEvents
{
  std::function<void(const PeerSource&, PeerMessage)> onMessage_;
  std::function<void(const LostCall&)> onCallLost_;
  std::function<void(std::uint64_t)> onLinkEnded_; ///< Number of the link.
};

/// Keeps one connection to each address that it sends to. Used only on the loop's thread.
class PeerHub
{
public:
  PeerHub(EventLoop& aLoop, const PeerLinkSettings& aSettings, PeerHubEvents aEvents);
  PeerHub(const PeerHub&) = delete;
  PeerHub& operator=(const PeerHub&) = delete;
  ~PeerHub();

  /// Listens for connections and returns the bound port. Errors: kOutOfRange, kAddressInUse.
  Result<std::uint16_t> Listen(const Address& aAddress);
  /// Sends a message, connecting if needed. The message is lost if the peer is unreachable.
  void Send(const Address& aPeer, const PeerMessage& aMessage);
  /// Sends a message that expects an answer. The call is outstanding until EndCall or CancelCall.
  /// If the connection ends earlier, onCallLost_ is called, but never from within SendCall.
  void SendCall(const Address& aPeer, std::uint64_t aCallId, const PeerMessage& aMessage);
  /// Ends a call that was answered or abandoned. Returns false if it wasn't outstanding.
  bool EndCall(std::uint64_t aCallId);
  /// Hello of the peer that an outstanding call was sent to, or null if the call isn't outstanding.
  const Hello* PeerOfCall(std::uint64_t aCallId) const;
  /// Number of the link that an outstanding call was sent on, or 0 if the call isn't outstanding.
  std::uint64_t LinkOfCall(std::uint64_t aCallId) const;
  /// Sends a message on the link that another message arrived on (PeerSource::link_). Returns false
  /// if that link has ended or its queue is full.
  bool Reply(std::uint64_t aLink, const PeerMessage& aMessage);
  /// Sends a Cancel for an outstanding call and ends it.
  void CancelCall(std::uint64_t aCallId);
  /// True if all frames queued on open connections have been handed to the operating system.
  bool IsFlushed() const;
  /// Number of open connections with frames that the operating system hasn't accepted yet.
  std::size_t UnflushedLinkCount() const;
  /// Sends what is queued, but nothing further, and closes the sending side of all connections.
  void CloseAfterSending();
  /// Number of open connections, accepted and connected.
  std::size_t OpenLinkCount() const;

  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
