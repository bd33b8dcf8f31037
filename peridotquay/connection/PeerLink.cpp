// Implementation of PeerLink on Boost.Asio: handshake, frames, silence detection.
#include "peridotquay/connection/PeerLink.h"

#include "peridotquay/connection/FrameReader.h"
#include "peridotquay/connection/PeerCodec.h"
#include "peridotquay/process/Events.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <netinet/tcp.h>

#include <array>
#include <atomic>
#include <coroutine>
#include <utility>

namespace peridotquay {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

// Size of the read buffer in bytes.
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

// Frames up to this size may take the queue above its maximum by the reserve, so that
// cancellations, replies about the status of calls and refusals are still sent on a slow link.
constexpr std::size_t kShortFrameBytes = std::size_t{ 2 } * 1024;
constexpr std::size_t kShortFrameReserve = std::size_t{ 1 } << 20U;

template<int Name>
using KeepAliveOption = boost::asio::detail::socket_option::integer<IPPROTO_TCP, Name>;

// A silence check that runs later than this after it was due shows that this process was paused.
// Bytes from the peer may then be waiting unread, so the silence period restarts.
constexpr Duration kMaxCheckDelay = milliseconds(100);

class TcpPeerLink final
  : public PeerLink
  , public std::enable_shared_from_this<TcpPeerLink>
{
public:
  TcpPeerLink(EventLoop& aLoop,
              const PeerLinkSettings& aSettings,
              Address aPeer,
              PeerLinkEvents aEvents)
    : loop_(aLoop)
    , settings_(aSettings)
    , events_(std::move(aEvents))
    , peerAddress_(std::move(aPeer))
    , socket_(aLoop.Context())
    , heldFrame_(settings_.budget_, [this] { End(LinkEndReason::kClosed); })
    , heldQueue_(settings_.budget_, [this] { End(LinkEndReason::kClosed); })
  {
    heldFrame_.SetNeedsOtherSide(true);
    heldQueue_.SetNeedsOtherSide(true);
    static std::atomic<std::uint64_t> next{ 1 };
    number_ = next++;
  }

  void StartConnect()
  {
    StartHandshakeTimer();
    error_code error;
    const auto ip = boost::asio::ip::make_address(peerAddress_.ip_, error);
    socket_.async_connect(tcp::endpoint(ip, peerAddress_.port_),
                          [self = shared_from_this()](const error_code& aError) {
                            if (self->ended_) {
                              return;
                            }
                            if (aError) {
                              self->End(LinkEndReason::kNotConnected);
                              return;
                            }
                            self->StartStream();
                          });
  }

  void StartAdopted(int aSocket)
  {
    error_code error;
    socket_.assign(
      peerAddress_.ip_.find(':') == std::string::npos ? tcp::v4() : tcp::v6(), aSocket, error);
    StartHandshakeTimer();
    if (error) {
      loop_.Post([self = shared_from_this()] { self->End(LinkEndReason::kNotConnected); });
      return;
    }
    StartStream();
  }

  bool Send(const PeerMessage& aMessage) override
  {
    if (ended_ || closesAfterSending_) {
      return false;
    }
    std::string& queue = open_ ? queuedFrames_ : framesBeforeHello_;
    const std::string frame = FramePeerMessage(aMessage);
    const std::size_t maxQueuedBytes =
      settings_.maxQueuedBytes_ + (frame.size() <= kShortFrameBytes ? kShortFrameReserve : 0);
    if (frame.size() > kMaxFrameBytes + 4 || queue.size() + frame.size() > maxQueuedBytes) {
      return false;
    }
    if (queue.empty() && !writing_) {
      heldQueue_.Touch();
    }
    queue += frame;
    CountQueue();
    Write();
    return true;
  }

  void AddOutstandingCall() override
  {
    if (outstandingCalls_++ == 0) {
      silentSince_ = loop_.Now();
      if (!silenceCheckScheduled_) {
        ScheduleSilenceCheck();
      }
    }
  }

  void RemoveOutstandingCall() override
  {
    if (outstandingCalls_ > 0) {
      --outstandingCalls_;
    }
  }

  bool IsOpen() const override { return open_ && !ended_; }
  bool IsFlushed() const override
  {
    return ended_ || (!writing_ && queuedFrames_.empty() && framesBeforeHello_.empty());
  }
  const Hello& Peer() const override { return peer_; }
  const Address& PeerAddress() const override { return peerAddress_; }
  std::uint64_t Number() const override { return number_; }

  void CloseAfterSending() override
  {
    closesAfterSending_ = true;
    if (!ended_ && connected_ && IsFlushed()) {
      error_code ignored;
      socket_.shutdown(tcp::socket::shutdown_send, ignored);
    }
  }

  void Close() override
  {
    if (ended_) {
      return;
    }
    ended_ = true;
    loop_.CancelTimer(handshakeTimer_);
    loop_.CancelTimer(silenceTimer_);
    heldFrame_.Release();
    heldQueue_.Release();
    error_code ignored;
    socket_.close(ignored);
  }

private:
  void StartHandshakeTimer()
  {
    handshakeTimer_ = loop_.After(settings_.connectTimeout_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->End(LinkEndReason::kNotConnected);
      }
    });
  }

  void StartStream()
  {
    error_code ignored;
    socket_.set_option(tcp::no_delay(true), ignored);
    // An accepted connection has no outstanding calls, so silence doesn't end it. TCP keep-alive
    // probes close it about one minute after its peer has vanished.
    socket_.set_option(boost::asio::socket_base::keep_alive(true), ignored);
    socket_.set_option(KeepAliveOption<TCP_KEEPIDLE>(30), ignored);
    socket_.set_option(KeepAliveOption<TCP_KEEPINTVL>(10), ignored);
    socket_.set_option(KeepAliveOption<TCP_KEEPCNT>(3), ignored);
    connected_ = true;
    queuedFrames_ = FramePeerMessage(settings_.ownHello_) + queuedFrames_;
    Write();
    Read();
  }

  void End(LinkEndReason aReason)
  {
    if (ended_) {
      return;
    }
    const auto self = shared_from_this();
    Close();
    if (open_) {
      LogEvent(Event::kPeerDisconnected,
               { { "peer", peer_.host_.value_ },
                 { "reason", aReason == LinkEndReason::kSilent ? "silent" : "closed" } });
    }
    if (events_.onEnd_) {
      events_.onEnd_(*this, open_ ? aReason : LinkEndReason::kNotConnected);
    }
  }

  void Write()
  {
    if (writing_ || !connected_ || ended_ || queuedFrames_.empty()) {
      return;
    }
    writing_ = true;
    writeBuffer_.swap(queuedFrames_);
    queuedFrames_.clear();
    boost::asio::async_write(
      socket_,
      boost::asio::buffer(writeBuffer_),
      [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
        self->heldQueue_.Touch();
        return boost::asio::transfer_all()(aError, aBytes);
      },
      [self = shared_from_this()](const error_code& aError, std::size_t) {
        self->writing_ = false;
        self->writeBuffer_.clear();
        ShrinkIfEmpty(self->writeBuffer_);
        self->heldQueue_.Touch();
        if (aError) {
          self->End(LinkEndReason::kClosed);
          return;
        }
        self->CountQueue();
        self->Write();
        if (self->closesAfterSending_) {
          self->CloseAfterSending();
        }
      });
  }

  // Counts the frames that the operating system hasn't accepted yet.
  void CountQueue()
  {
    const std::size_t bytes =
      framesBeforeHello_.size() + queuedFrames_.size() + writeBuffer_.size();
    heldQueue_.ReserveAlways(!ended_ && bytes > kUncountedMessageBytes ? bytes : 0);
  }

  void Read()
  {
    socket_.async_read_some(
      boost::asio::buffer(readBuffer_),
      [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
        if (self->ended_) {
          return;
        }
        if (aError) {
          self->End(LinkEndReason::kClosed);
          return;
        }
        self->silentSince_ = self->loop_.Now();
        self->heldFrame_.Touch();
        self->OnBytes(std::string_view(self->readBuffer_.data(), aBytes));
        if (!self->ended_) {
          self->Read();
        }
      });
  }

  void OnBytes(std::string_view aBytes)
  {
    reader_.Add(aBytes);
    while (!ended_) {
      const auto body = reader_.Next();
      if (body.has_error()) {
        RejectFrame(body.assume_error());
        return;
      }
      if (!body.assume_value()) {
        const std::size_t bytes = reader_.UnfinishedFrameBytes();
        heldFrame_.ReserveAlways(bytes > kUncountedMessageBytes ? bytes : 0);
        return;
      }
      auto message = DecodePeerMessage(*body.assume_value());
      if (message.has_error()) {
        RejectFrame(message.assume_error());
        return;
      }
      OnMessage(std::move(message.assume_value()));
    }
  }

  void RejectFrame(const Error& aError)
  {
    LogEvent(Event::kPeerFrameRejected,
             { { "peer", peer_.host_.value_ },
               { "address", peerAddress_.ip_ + ":" + std::to_string(peerAddress_.port_) },
               { "error", Describe(aError) } });
    End(LinkEndReason::kClosed);
  }

  void OnMessage(PeerMessage aMessage)
  {
    if (const auto* hello = std::get_if<Hello>(&aMessage)) {
      OnHello(*hello);
    } else if (!open_) {
      RejectFrame({ ErrorCode::kFrameMalformed, "first frame", "Hello", {} });
    } else if (const auto* ping = std::get_if<Ping>(&aMessage)) {
      Send(Ack{ ping->nonce_ });
    } else if (!std::holds_alternative<Ack>(aMessage) && events_.onMessage_) {
      events_.onMessage_(*this, std::move(aMessage));
    }
  }

  void OnHello(const Hello& aHello)
  {
    if (open_ || aHello.host_.value_.empty()) {
      RejectFrame({ ErrorCode::kFrameMalformed, "Hello", "exactly one, with a host", {} });
      return;
    }
    if (aHello.protocol_ != kPeerProtocolVersion) {
      RejectFrame(
        { ErrorCode::kProtocolVersion, "Hello", std::to_string(kPeerProtocolVersion), {} });
      return;
    }
    peer_ = aHello;
    open_ = true;
    loop_.CancelTimer(handshakeTimer_);
    handshakeTimer_ = 0;
    queuedFrames_ += framesBeforeHello_;
    framesBeforeHello_.clear();
    LogEvent(Event::kPeerConnected, { { "peer", peer_.host_.value_ } });
    if (events_.onOpen_) {
      events_.onOpen_(*this);
    }
    Write();
  }

  void ScheduleSilenceCheck()
  {
    silenceCheckScheduled_ = true;
    const Duration checkInterval = settings_.pingDelay_ / 2;
    const TimePoint dueAt = loop_.Now() + checkInterval;
    silenceTimer_ = loop_.After(checkInterval, [weak = weak_from_this(), dueAt] {
      if (const auto self = weak.lock()) {
        self->CheckSilence(dueAt);
      }
    });
  }

  void CheckSilence(TimePoint aDueAt)
  {
    silenceCheckScheduled_ = false;
    if (outstandingCalls_ == 0 || ended_) {
      return;
    }
    const TimePoint now = loop_.Now();
    if (now - aDueAt > kMaxCheckDelay) {
      silentSince_ = now;
    }
    const Duration silence = now - silentSince_;
    if (silence >= settings_.silenceTimeout_) {
      LogEvent(Event::kPeerConnectionSilent, { { "peer", peer_.host_.value_ } });
      End(LinkEndReason::kSilent);
      return;
    }
    if (silence >= settings_.pingDelay_) {
      Send(Ping{ ++lastPingNonce_ });
    }
    ScheduleSilenceCheck();
  }

  EventLoop& loop_;
  PeerLinkSettings settings_;
  PeerLinkEvents events_;
  Address peerAddress_;
  tcp::socket socket_;
  HeldBytes heldFrame_; ///< Bytes of the frame that is partly received.
  HeldBytes heldQueue_; ///< Bytes of the queues and of writeBuffer_.
  std::uint64_t number_ = 0;
  Hello peer_;
  FrameReader reader_;
  std::array<char, kReadBytes> readBuffer_;
  std::string framesBeforeHello_; ///< Frames that wait until the peer's Hello arrives.
  std::string queuedFrames_;      ///< Frames that wait until writeBuffer_ is written.
  std::string writeBuffer_;       ///< Bytes that are being written.
  /// Start of the current silence: the last received byte, the first outstanding call or a late
  /// silence check, whichever was latest.
  TimePoint silentSince_{};
  std::uint64_t lastPingNonce_ = 0;
  std::uint64_t handshakeTimer_ = 0;
  std::uint64_t silenceTimer_ = 0;
  std::size_t outstandingCalls_ = 0;
  bool connected_ = false;
  bool open_ = false;
  bool writing_ = false;
  bool silenceCheckScheduled_ = false;
  bool closesAfterSending_ = false; ///< No more frames are queued.
  bool ended_ = false;
};

} // namespace

std::shared_ptr<PeerLink> PeerLink::Connect(EventLoop& aLoop,
                                            const PeerLinkSettings& aSettings,
                                            const Address& aPeer,
                                            PeerLinkEvents aEvents)
{
  auto link = std::make_shared<TcpPeerLink>(aLoop, aSettings, aPeer, std::move(aEvents));
  link->StartConnect();
  return link;
}

std::shared_ptr<PeerLink> PeerLink::Adopt(EventLoop& aLoop,
                                          const PeerLinkSettings& aSettings,
                                          int aSocket,
                                          const Address& aPeer,
                                          PeerLinkEvents aEvents)
{
  auto link = std::make_shared<TcpPeerLink>(aLoop, aSettings, aPeer, std::move(aEvents));
  link->StartAdopted(aSocket);
  return link;
}

} // namespace peridotquay
