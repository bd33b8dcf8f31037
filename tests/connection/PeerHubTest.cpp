// Tests of peer connections over loopback: lost calls, silent connections and invalid peers.
#include "peridotquay/connection/PeerHub.h"

#include "peridotquay/connection/DatagramSocket.h"
#include "peridotquay/connection/PeerCodec.h"

#include "tests/connection/RawSocket.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <thread>
#include <vector>

using namespace peridotquay;
using peridotquay::testing::FreePort;
using peridotquay::testing::RawListener;
using peridotquay::testing::RawSocket;

namespace {

// A listening hub that records its callbacks.
struct RecordingHub
{
  std::vector<std::pair<PeerSource, PeerMessage>> messages_;
  std::vector<LostCall> lostCalls_;
  std::vector<std::uint64_t> endedLinks_;
  std::unique_ptr<PeerHub> hub_;
  Address address_{ "127.0.0.1", 0 };

  RecordingHub(EventLoop& aLoop, const std::string& aHost, Incarnation aIncarnation = 1)
  {
    PeerLinkSettings settings;
    settings.ownHello_ = { kPeerProtocolVersion, { aHost }, aIncarnation, { "dc1" } };
    PeerHubEvents events;
    events.onMessage_ = [this](const PeerSource& aSource, PeerMessage aMessage) {
      messages_.emplace_back(aSource, std::move(aMessage));
    };
    events.onCallLost_ = [this](const LostCall& aCall) { lostCalls_.push_back(aCall); };
    events.onLinkEnded_ = [this](std::uint64_t aLink) { endedLinks_.push_back(aLink); };
    hub_ = std::make_unique<PeerHub>(aLoop, settings, std::move(events));
    const auto port = hub_->Listen(address_);
    REQUIRE(port.has_value());
    address_.port_ = port.assume_value();
  }
};

// Runs the loop until the condition holds or 3 s have passed. Returns whether it holds.
template<typename F>
bool RunUntil(EventLoop& aLoop, F aCondition)
{
  const TimePoint end = Clock::now() + seconds(3);
  bool held = false;
  std::function<void()> check = [&] {
    held = aCondition();
    if (held || Clock::now() > end) {
      aLoop.Stop();
      return;
    }
    aLoop.After(milliseconds(1), check);
  };
  check();
  if (!held) {
    aLoop.Run();
  }
  return held;
}

} // namespace

// Guards against a refusal, a cancellation or a status reply that is dropped because answers fill
// the queue of a link whose other end reads slowly.
TEST_CASE("short messages are sent although the queue is full of answers", "[peer]")
{
  EventLoop loop;
  RecordingHub left(loop, "left");
  RecordingHub right(loop, "right");
  left.hub_->SendCall(right.address_, 1, Cancel{ 1 });
  REQUIRE(RunUntil(loop, [&] { return right.messages_.size() == 1; }));
  const std::uint64_t link = right.messages_[0].first.link_;
  Answer large;
  large.callId_ = 2;
  large.body_ = std::string(std::size_t{ 700 } * 1024, 'a');
  // The loop doesn't run, so nothing is read.
  std::size_t sent = 0;
  while (sent < 100 && right.hub_->Reply(link, large)) {
    ++sent;
  }
  REQUIRE(sent < 100);
  Answer filler;
  filler.body_ = std::string(4000, 'a');
  for (int i = 0; i < 1000 && right.hub_->Reply(link, filler); ++i) {
  }
  // Together they are larger than the room that the fillers left.
  constexpr int kRefusals = 400;
  int refusals = 0;
  Answer refusal;
  refusal.callId_ = 3;
  while (refusals < kRefusals && right.hub_->Reply(link, refusal)) {
    ++refusals;
  }
  CHECK(refusals == kRefusals);
  CHECK(right.hub_->Reply(link, Cancel{ 3 }));
  REQUIRE(RunUntil(loop, [&] {
    return !left.messages_.empty() && std::holds_alternative<Cancel>(left.messages_.back().second);
  }));
  CHECK(std::count_if(left.messages_.begin(), left.messages_.end(), [](const auto& aMessage) {
          const auto* answer = std::get_if<Answer>(&aMessage.second);
          return answer != nullptr && answer->callId_ == 2;
        }) == static_cast<std::ptrdiff_t>(sent));
  // Short messages have a bound too.
  int shortOnes = 0;
  while (shortOnes < 2'000'000 && right.hub_->Reply(link, Cancel{ 4 })) {
    ++shortOnes;
  }
  CHECK(shortOnes < 2'000'000);
}

// Guards against frames that are lost or reordered while the connection opens, and against replies
// on a second connection.
TEST_CASE("frames sent before the connection is open arrive in order and are answered on it",
          "[peer]")
{
  EventLoop loop;
  RecordingHub left(loop, "left");
  RecordingHub right(loop, "right", 7);
  for (std::uint64_t i = 1; i <= 20; ++i) {
    left.hub_->SendCall(right.address_, i, Cancel{ i });
  }
  REQUIRE(RunUntil(loop, [&] { return right.messages_.size() == 20; }));
  for (std::uint64_t i = 1; i <= 20; ++i) {
    CHECK(std::get<Cancel>(right.messages_[i - 1].second).callId_ == i);
  }
  CHECK(right.messages_[0].first.hello_.host_.value_ == "left");
  REQUIRE(left.hub_->PeerOfCall(20) != nullptr);
  CHECK(left.hub_->PeerOfCall(20)->incarnation_ == 7);
  // The control plane replies by address, which must use the same connection.
  right.hub_->Send(right.messages_[0].first.address_, Cancel{ 99 });
  REQUIRE(right.hub_->Reply(right.messages_[0].first.link_, Cancel{ 100 }));
  REQUIRE(RunUntil(loop, [&] { return left.messages_.size() == 2; }));
  CHECK(left.messages_[0].first.link_ == left.messages_[1].first.link_);
  CHECK(right.hub_->OpenLinkCount() == 1);
}

// Guards against a call that is reported as not sent although it may have been sent, and against
// the reverse.
TEST_CASE("a lost call reports whether it was sent", "[peer]")
{
  EventLoop loop;
  RecordingHub left(loop, "left");
  left.hub_->SendCall({ "127.0.0.1", FreePort() }, 1, Cancel{ 1 });
  REQUIRE(RunUntil(loop, [&] { return left.lostCalls_.size() == 1; }));
  CHECK_FALSE(left.lostCalls_[0].maybeSent_);

  auto right = std::make_unique<RecordingHub>(loop, "right");
  left.hub_->SendCall(right->address_, 2, Cancel{ 2 });
  REQUIRE(RunUntil(loop, [&] { return right->messages_.size() == 1; }));
  right.reset();
  REQUIRE(RunUntil(loop, [&] { return left.lostCalls_.size() == 2; }));
  CHECK(left.lostCalls_[1].callId_ == 2);
  CHECK(left.lostCalls_[1].maybeSent_);
  CHECK(left.lostCalls_[1].peer_.host_.value_ == "right");
}

// Guards against calls that hang, or count as sent, at a peer that accepts the connection and never
// sends Hello.
TEST_CASE("a peer that sends no Hello receives no calls", "[peer]")
{
  EventLoop loop;
  RecordingHub left(loop, "left");
  RawListener listener;
  left.hub_->SendCall({ "127.0.0.1", listener.Port() }, 1, Cancel{ 1 });
  REQUIRE(RunUntil(loop, [&] { return left.lostCalls_.size() == 1; }));
  CHECK_FALSE(left.lostCalls_[0].maybeSent_);
  RawSocket socket = listener.Accept();
  const std::string hello =
    FramePeerMessage(Hello{ kPeerProtocolVersion, { "left" }, 1, { "dc1" } });
  CHECK(socket.ReadToEnd() == hello);
}

// Guards against calls that hang on a connection that is silent although its host is alive, and
// against ending a connection whose peer answers pings.
TEST_CASE("a silent connection is pinged and ended but one that answers pings stays open", "[peer]")
{
  EventLoop loop;
  RecordingHub left(loop, "left");
  RawListener listener;
  std::string received;
  std::thread silentPeer([&] {
    RawSocket socket = listener.Accept();
    socket.Write(FramePeerMessage(Hello{ kPeerProtocolVersion, { "right" }, 1, { "dc1" } }));
    received = socket.ReadToEnd();
  });
  const TimePoint start = Clock::now();
  left.hub_->SendCall({ "127.0.0.1", listener.Port() }, 1, Cancel{ 1 });
  REQUIRE(RunUntil(loop, [&] { return left.lostCalls_.size() == 1; }));
  const Duration elapsed = Clock::now() - start;
  silentPeer.join();
  CHECK(left.lostCalls_[0].reason_ == LinkEndReason::kSilent);
  CHECK(left.lostCalls_[0].maybeSent_);
  CHECK(elapsed >= milliseconds(500));
  CHECK(elapsed < milliseconds(800));
  CHECK(received.find(FramePeerMessage(Ping{ 1 })) != std::string::npos);

  RecordingHub right(loop, "right");
  left.hub_->SendCall(right.address_, 2, Cancel{ 2 });
  REQUIRE(RunUntil(loop, [&] { return right.messages_.size() == 1; }));
  // The peer answers pings, so a call may take longer than the silence timeout.
  const TimePoint endOfWait = Clock::now() + milliseconds(900);
  REQUIRE(RunUntil(loop, [&] { return Clock::now() > endOfWait; }));
  CHECK(left.lostCalls_.size() == 1);
  CHECK(left.hub_->EndCall(2));
}

// Guards against accepting a peer of another protocol version, and against malicious first bytes
// that disturb other connections.
TEST_CASE("invalid peers are disconnected and other connections keep working", "[peer]")
{
  EventLoop loop;
  RecordingHub left(loop, "left");
  RecordingHub right(loop, "right");
  std::thread invalidPeers([&] {
    const std::vector<std::string> firstBytes = {
      FramePeerMessage(Hello{ 99, { "x" }, 1, { "dc1" } }),
      FramePeerMessage(Ping{ 1 }),
      "GET / HTTP/1.1\r\n\r\n",
      std::string("\x00\x00\x00\x01\xc1", 5),
      FramePeerMessage(Hello{ 1, { "x" }, 1, { "dc1" } }) +
        FramePeerMessage(Hello{ 1, { "y" }, 1, { "dc1" } })
    };
    for (const auto& bytes : firstBytes) {
      RawSocket socket(right.address_.port_);
      socket.Write(bytes);
      socket.ReadToEnd();
    }
  });
  left.hub_->Send(right.address_, Cancel{ 1 });
  REQUIRE(
    RunUntil(loop, [&] { return right.messages_.size() == 1 && right.endedLinks_.size() == 5; }));
  invalidPeers.join();
  left.hub_->Send(right.address_, Cancel{ 2 });
  REQUIRE(RunUntil(loop, [&] { return right.messages_.size() == 2; }));
}

// Guards against a malformed datagram that stops the receiver.
TEST_CASE("valid datagrams arrive and malformed ones are dropped", "[datagram]")
{
  EventLoop loop;
  std::vector<PeerMessage> received;
  DatagramSocket right(
    loop, [&](const Address&, PeerMessage aMessage) { received.push_back(std::move(aMessage)); });
  DatagramSocket left(loop, [](const Address&, const PeerMessage&) {});
  const auto port = right.Listen({ "127.0.0.1", 0 });
  REQUIRE(port.has_value());
  REQUIRE(left.Listen({ "127.0.0.1", 0 }).has_value());
  const int raw = ::socket(AF_INET, SOCK_DGRAM, 0);
  const sockaddr_in to = peridotquay::testing::Loopback(port.assume_value());
  ::sendto(raw, "junk", 4, 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  ::sendto(raw, "", 0, 0, reinterpret_cast<const sockaddr*>(&to), sizeof(to));
  ::close(raw);
  left.Send({ "127.0.0.1", port.assume_value() }, Ping{ 5 });
  REQUIRE(RunUntil(loop, [&] { return received.size() == 1; }));
  CHECK(received[0] == PeerMessage(Ping{ 5 }));
  CHECK(right.DroppedDatagrams() == 2);
}
