// One TCP connection to or from a peer node.
#pragma once

#include "peridotquay/connection/ByteBudget.h"
#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Settings of all peer links of a node.
struct PeerLinkSettings
{
  Hello ownHello_;                              ///< Sent as the first frame of each connection.
  Duration connectTimeout_ = milliseconds(500); ///< From connect until the peer's Hello.
  Duration pingDelay_ = milliseconds(250); ///< Silence before a ping, while calls are outstanding.
  /// Silence before the connection is ended, while calls are outstanding.
  Duration silenceTimeout_ = milliseconds(500);
  /// Maximum size of the queue of unsent frames; short ones may exceed it by 1 MiB. Else Send
  /// fails.
  std::size_t maxQueuedBytes_ = std::size_t{ 8 } << 20U;
  /// Counts partly received frames and queues. A link whose peer doesn't go on to send or to read
  /// may be ended to make room. Null for no limit.
  std::shared_ptr<ByteBudget> budget_{};
};

/// Why a connection ended.
enum class LinkEndReason : std::uint8_t
{
  kNotConnected, ///< The peer's Hello never arrived. Only this node's Hello may have been sent.
  kClosed,       ///< Closed by the peer, by an error or because of an invalid frame.
  kSilent        ///< Calls were outstanding and no byte arrived for silenceTimeout_.
};

class PeerLink;

/// Callbacks of a PeerLink, called on the loop's thread.
struct PeerLinkEvents
{
  std::function<void(PeerLink&)> onOpen_; ///< The peer's Hello arrived.
  /// A message other than Hello, Ping and Ack arrived.
  std::function<void(PeerLink&, PeerMessage)> onMessage_;
  /// The link ended. Called once, or never after Close.
  std::function<void(PeerLink&, LinkEndReason)> onEnd_;
};

/// A connection with handshake and silence detection. Frames wait until the peer's Hello has
/// arrived, so that a process with another protocol version receives none.
class PeerLink
{
public:
  /// Starts connecting to a peer's address.
  static std::shared_ptr<PeerLink> Connect(EventLoop& aLoop,
                                           const PeerLinkSettings& aSettings,
                                           const Address& aPeer,
                                           PeerLinkEvents aEvents);
  /// Takes ownership of an accepted IPv4 or IPv6 socket.
  static std::shared_ptr<PeerLink> Adopt(EventLoop& aLoop,
                                         const PeerLinkSettings& aSettings,
                                         int aSocket,
                                         const Address& aPeer,
                                         PeerLinkEvents aEvents);
  PeerLink() = default;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;
  virtual ~PeerLink() = default;

  /// Queues a message. Returns false if the link has ended, the message is too large or the queue
  /// is full.
  virtual bool Send(const PeerMessage& aMessage) = 0;
  /// Counts a call that waits for an answer. Silence ends the link only while such calls exist.
  virtual void AddOutstandingCall() = 0;
  virtual void RemoveOutstandingCall() = 0;
  /// True if the peer's Hello has arrived and the link hasn't ended.
  virtual bool IsOpen() const = 0;
  /// True if all queued bytes have been handed to the operating system, or the link has ended.
  virtual bool IsFlushed() const = 0;
  /// The peer's Hello. Its host is empty until the Hello arrives.
  virtual const Hello& Peer() const = 0;
  /// Address that the link connects to or was accepted from.
  virtual const Address& PeerAddress() const = 0;
  /// Number of the link, unique within this process.
  virtual std::uint64_t Number() const = 0;
  /// Closes the sending side once all queued bytes are sent. The peer then reads all of them and
  /// closes the link; closing at once would reset it if input is unread, and drop what the peer
  /// hasn't received.
  virtual void CloseAfterSending() = 0;
  /// Ends the connection without calling onEnd_.
  virtual void Close() = 0;
};

} // namespace peridotquay
