// One TCP connection to or from a peer node.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

struct PeerLinkSettings
{
  Hello ownHello_;
  Duration connectTimeout_ = milliseconds(500); ///< From connect to the peer's Hello.
  Duration pingDelay_ = milliseconds(250);      ///< Silence with calls outstanding before a ping.
  Duration silenceTimeout_ = milliseconds(500); ///< Silence before the connection is given up.
  std::size_t maxQueuedBytes_ = std::size_t{ 8 } << 20U; ///< Unsent bytes before frames are lost.
};

/// Why a connection ended.
enum class LinkEndReason : std::uint8_t
{
  kNotConnected, ///< The peer's Hello never came; no other frame was sent.
  kClosed,       ///< By the peer, by an error or by a bad frame.
  kSilent        ///< Calls were outstanding and nothing arrived for silenceTimeout_.
};

class PeerLink;

/// What a connection reports. All are called on the loop's thread.
struct PeerLinkEvents
{
  std::function<void(PeerLink&)> onOpen_;                 ///< The peer's Hello arrived.
  std::function<void(PeerLink&, PeerMessage)> onMessage_; ///< All but Hello, Ping and Ack.
  std::function<void(PeerLink&, LinkEndReason)> onEnd_;   ///< Once, unless Close was called.
};

/// Sends Hello first. Frames sent before the peer's Hello arrived wait for it, so that nothing
/// reaches a process of another protocol version.
class PeerLink
{
public:
  /// Connects to a peer's address.
  static std::shared_ptr<PeerLink> Connect(EventLoop& aLoop,
                                           const PeerLinkSettings& aSettings,
                                           const Address& aPeer,
                                           PeerLinkEvents aEvents);
  /// Takes over an accepted IPv4 or IPv6 socket.
  static std::shared_ptr<PeerLink> Adopt(EventLoop& aLoop,
                                         const PeerLinkSettings& aSettings,
                                         int aSocket,
                                         const Address& aPeer,
                                         PeerLinkEvents aEvents);
  PeerLink() = default;
  PeerLink(const PeerLink&) = delete;
  PeerLink& operator=(const PeerLink&) = delete;
  virtual ~PeerLink() = default;

  /// Queues a frame. False if the link has ended or too many bytes wait.
  virtual bool Send(const PeerMessage& aMessage) = 0;
  /// Counts a call that waits for an answer; silence is judged while any does.
  virtual void AddOutstandingCall() = 0;
  virtual void RemoveOutstandingCall() = 0;
  /// The peer's Hello arrived.
  virtual bool IsOpen() const = 0;
  /// All queued bytes are with the system.
  virtual bool IsFlushed() const = 0;
  /// The peer's Hello; its host is empty before it arrived.
  virtual const Hello& Peer() const = 0;
  /// Where the connection leads to, or came from.
  virtual const Address& PeerAddress() const = 0;
  /// Number of the link in this process, never reused.
  virtual std::uint64_t Number() const = 0;
  /// Ends the connection without a report.
  virtual void Close() = 0;
};

} // namespace peridotquay
