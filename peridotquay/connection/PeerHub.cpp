// Implementation of PeerHub: table of connections and of outstanding calls.
#include "peridotquay/connection/PeerHub.h"

#include <boost/asio/ip/tcp.hpp>

#include <algorithm>
#include <coroutine>
#include <map>
#include <unordered_map>
#include <utility>
#include <vector>

namespace peridotquay {

using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

// After a failed connect, sends to that address fail immediately for this time, so that a dead host
// doesn't cost one connect for each call.
constexpr Duration kReconnectDelay = milliseconds(50);

// Maximum number of connections, accepted and connected. Bounds file descriptors and buffers.
constexpr std::size_t kMaxLinks = 4096;

struct AddressLess
{
  bool operator()(const Address& aLeft, const Address& aRight) const
  {
    return aLeft.port_ != aRight.port_ ? aLeft.port_ < aRight.port_ : aLeft.ip_ < aRight.ip_;
  }
};

} // namespace

struct PeerHub::State : std::enable_shared_from_this<State>
{
  struct OutstandingCall
  {
    std::shared_ptr<PeerLink> link_;
  };

  EventLoop& loop_;
  PeerLinkSettings settings_;
  PeerHubEvents events_;
  tcp::acceptor acceptor_;
  std::map<Address, std::shared_ptr<PeerLink>, AddressLess> linksByAddress_;
  std::unordered_map<std::uint64_t, std::shared_ptr<PeerLink>> linksByNumber_;
  std::unordered_map<std::uint64_t, OutstandingCall> outstandingCalls_; ///< By call id.
  /// Time of the last failed connect to each address without a link.
  std::map<Address, TimePoint, AddressLess> failedConnects_;

  State(EventLoop& aLoop, const PeerLinkSettings& aSettings, PeerHubEvents aEvents)
    : loop_(aLoop)
    , settings_(aSettings)
    , events_(std::move(aEvents))
    , acceptor_(aLoop.Context())
  {
  }

  PeerLinkEvents LinkEvents()
  {
    PeerLinkEvents events;
    events.onMessage_ = [weak = weak_from_this()](PeerLink& aLink, PeerMessage aMessage) {
      const auto self = weak.lock();
      if (self && self->events_.onMessage_) {
        self->events_.onMessage_({ aLink.Number(), aLink.Peer(), aLink.PeerAddress() },
                                 std::move(aMessage));
      }
    };
    events.onEnd_ = [weak = weak_from_this()](PeerLink& aLink, LinkEndReason aReason) {
      if (const auto self = weak.lock()) {
        self->OnEnd(aLink, aReason);
      }
    };
    return events;
  }

  void OnEnd(PeerLink& aLink, LinkEndReason aReason)
  {
    const auto entry = linksByAddress_.find(aLink.PeerAddress());
    if (entry != linksByAddress_.end() && entry->second.get() == &aLink) {
      linksByAddress_.erase(entry);
    }
    linksByNumber_.erase(aLink.Number());
    if (aReason == LinkEndReason::kNotConnected) {
      RecordFailedConnect(aLink.PeerAddress());
    }
    std::vector<LostCall> lostCalls;
    for (const auto& [callId, call] : outstandingCalls_) {
      if (call.link_.get() == &aLink) {
        lostCalls.push_back(
          { callId, aReason != LinkEndReason::kNotConnected, aReason, aLink.Peer() });
      }
    }
    // Sorted by call id, so that the order of the callbacks doesn't depend on the hash table.
    std::sort(
      lostCalls.begin(), lostCalls.end(), [](const LostCall& aLeft, const LostCall& aRight) {
        return aLeft.callId_ < aRight.callId_;
      });
    for (const auto& call : lostCalls) {
      outstandingCalls_.erase(call.callId_);
    }
    for (const auto& call : lostCalls) {
      events_.onCallLost_(call);
    }
    if (events_.onLinkEnded_) {
      events_.onLinkEnded_(aLink.Number());
    }
  }

  void RecordFailedConnect(const Address& aAddress)
  {
    const TimePoint now = loop_.Now();
    std::erase_if(failedConnects_,
                  [&](const auto& aEntry) { return now - aEntry.second > kReconnectDelay; });
    failedConnects_[aAddress] = now;
  }

  // Returns the link to an address. Null if the last connect failed within kReconnectDelay or there
  // are already kMaxLinks links.
  std::shared_ptr<PeerLink> FindOrOpenLink(const Address& aPeer)
  {
    const auto entry = linksByAddress_.find(aPeer);
    if (entry != linksByAddress_.end()) {
      return entry->second;
    }
    const auto failure = failedConnects_.find(aPeer);
    if ((failure != failedConnects_.end() && loop_.Now() - failure->second < kReconnectDelay) ||
        linksByNumber_.size() >= kMaxLinks) {
      return nullptr;
    }
    auto link = PeerLink::Connect(loop_, settings_, aPeer, LinkEvents());
    linksByAddress_.emplace(aPeer, link);
    linksByNumber_.emplace(link->Number(), link);
    return link;
  }

  void Accept()
  {
    acceptor_.async_accept(
      [weak = weak_from_this()](const error_code& aError, tcp::socket aSocket) {
        const auto self = weak.lock();
        if (!self || aError == boost::asio::error::operation_aborted) {
          return;
        }
        if (aError) {
          // Without free file descriptors, accepting again immediately would loop without pause.
          self->loop_.After(milliseconds(20), [weak] {
            if (const auto owner = weak.lock()) {
              owner->Accept();
            }
          });
          return;
        }
        self->Adopt(std::move(aSocket));
        self->Accept();
      });
  }

  void Adopt(tcp::socket aSocket)
  {
    error_code error;
    const auto remote = aSocket.remote_endpoint(error);
    if (error || linksByNumber_.size() >= kMaxLinks) {
      return;
    }
    const Address peer{ remote.address().to_string(), remote.port() };
    const int descriptor = aSocket.release(error);
    if (error) {
      return;
    }
    auto link = PeerLink::Adopt(loop_, settings_, descriptor, peer, LinkEvents());
    linksByAddress_[peer] = link;
    linksByNumber_.emplace(link->Number(), link);
  }
};

PeerHub::PeerHub(EventLoop& aLoop, const PeerLinkSettings& aSettings, PeerHubEvents aEvents)
  : state_(std::make_shared<State>(aLoop, aSettings, std::move(aEvents)))
{
}

PeerHub::~PeerHub()
{
  error_code ignored;
  state_->acceptor_.close(ignored);
  for (const auto& [number, link] : state_->linksByNumber_) {
    link->Close();
  }
}

Result<std::uint16_t> PeerHub::Listen(const Address& aAddress)
{
  const std::string text = aAddress.ip_ + ":" + std::to_string(aAddress.port_);
  error_code error;
  const auto ip = boost::asio::ip::make_address(aAddress.ip_, error);
  if (error) {
    return Fail(ErrorCode::kOutOfRange, text, "IP address");
  }
  const tcp::endpoint endpoint(ip, aAddress.port_);
  auto& acceptor = state_->acceptor_;
  acceptor.open(endpoint.protocol(), error);
  if (!error) {
    acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    acceptor.bind(endpoint, error);
  }
  if (!error) {
    acceptor.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::kAddressInUse, text, error.message());
  }
  state_->Accept();
  return acceptor.local_endpoint().port();
}

void PeerHub::Send(const Address& aPeer, const PeerMessage& aMessage)
{
  if (const auto link = state_->FindOrOpenLink(aPeer)) {
    link->Send(aMessage);
  }
}

void PeerHub::SendCall(const Address& aPeer, std::uint64_t aCallId, const PeerMessage& aMessage)
{
  const auto link = state_->FindOrOpenLink(aPeer);
  if (!link || !link->Send(aMessage)) {
    state_->loop_.Post([weak = std::weak_ptr(state_), aCallId] {
      if (const auto state = weak.lock()) {
        state->events_.onCallLost_({ aCallId, false, LinkEndReason::kNotConnected, {} });
      }
    });
    return;
  }
  link->AddOutstandingCall();
  state_->outstandingCalls_[aCallId] = { link };
}

bool PeerHub::EndCall(std::uint64_t aCallId)
{
  const auto entry = state_->outstandingCalls_.find(aCallId);
  if (entry == state_->outstandingCalls_.end()) {
    return false;
  }
  entry->second.link_->RemoveOutstandingCall();
  state_->outstandingCalls_.erase(entry);
  return true;
}

const Hello* PeerHub::PeerOfCall(std::uint64_t aCallId) const
{
  const auto entry = state_->outstandingCalls_.find(aCallId);
  return entry == state_->outstandingCalls_.end() ? nullptr : &entry->second.link_->Peer();
}

std::uint64_t PeerHub::LinkOfCall(std::uint64_t aCallId) const
{
  const auto entry = state_->outstandingCalls_.find(aCallId);
  return entry == state_->outstandingCalls_.end() ? 0 : entry->second.link_->Number();
}

bool PeerHub::Reply(std::uint64_t aLink, const PeerMessage& aMessage)
{
  const auto entry = state_->linksByNumber_.find(aLink);
  return entry != state_->linksByNumber_.end() && entry->second->Send(aMessage);
}

void PeerHub::CancelCall(std::uint64_t aCallId)
{
  const auto entry = state_->outstandingCalls_.find(aCallId);
  if (entry != state_->outstandingCalls_.end()) {
    entry->second.link_->Send(Cancel{ aCallId });
    EndCall(aCallId);
  }
}

bool PeerHub::IsFlushed() const
{
  return UnflushedLinkCount() == 0;
}

std::size_t PeerHub::UnflushedLinkCount() const
{
  return static_cast<std::size_t>(std::count_if(
    state_->linksByNumber_.begin(), state_->linksByNumber_.end(), [](const auto& aEntry) {
      return aEntry.second->IsOpen() && !aEntry.second->IsFlushed();
    }));
}

void PeerHub::CloseAfterSending()
{
  for (const auto& [number, link] : state_->linksByNumber_) {
    link->CloseAfterSending();
  }
}

std::size_t PeerHub::OpenLinkCount() const
{
  return static_cast<std::size_t>(std::count_if(
    state_->linksByNumber_.begin(), state_->linksByNumber_.end(), [](const auto& aEntry) {
      return aEntry.second->IsOpen();
    }));
}

} // namespace peridotquay
