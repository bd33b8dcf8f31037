// Tests of calls over connections that go silent or are closed while both ends are still running.
#include "tests/failure/PathFleet.h"

#include <catch2/catch.hpp>

#include <optional>
#include <poll.h>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

// Relays connections to one port. Existing connections can be silenced in each direction separately
// while new connections work.
class Relay
{
public:
  explicit Relay(std::uint16_t aRemotePort)
    : remotePort_(aRemotePort)
    , acceptThread_([this] { Accept(); })
  {
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay()
  {
    stopping_ = true;
    listener_.Close();
    acceptThread_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
  }
  std::uint16_t Port() const { return listener_.Port(); }
  /// Makes the first connection drop all bytes to the remote port from now on.
  void SilenceForward() { silentForward_ = true; }
  /// Makes the first connection drop all bytes from the remote port from now on.
  void SilenceBackward() { silentBackward_ = true; }
  /// Makes all connections that are open now drop all bytes in both directions.
  void SilenceAll() { lastSilentNumber_ = connectionCount_.load(); }
  /// Closes the first connection.
  void CloseFirst() { closeFirst_ = true; }
  int ConnectionCount() const { return connectionCount_; }

private:
  void Accept()
  {
    while (!stopping_) {
      auto from = std::make_shared<RawSocket>(listener_.Accept());
      if (!from->IsOpen()) {
        return;
      }
      const int number = ++connectionCount_;
      threads_.emplace_back([this, from, number] { Serve(*from, number); });
    }
  }
  void Serve(RawSocket& aFrom, int aNumber)
  {
    const bool first = aNumber == 1;
    std::optional<RawSocket> connected = Connect();
    if (!connected) {
      return;
    }
    RawSocket& to = *connected;
    while (!stopping_ && !(first && closeFirst_)) {
      pollfd both[2] = { { aFrom.Descriptor(), POLLIN, 0 }, { to.Descriptor(), POLLIN, 0 } };
      ::poll(both, 2, 5);
      if ((both[0].revents != 0 &&
           !Forward(aFrom, to, (first && silentForward_) || aNumber <= lastSilentNumber_)) ||
          (both[1].revents != 0 &&
           !Forward(to, aFrom, (first && silentBackward_) || aNumber <= lastSilentNumber_))) {
        return;
      }
    }
  }
  // Retries, because the other end may be restarting.
  std::optional<RawSocket> Connect() const
  {
    for (int i = 0; i < 100 && !stopping_; ++i) {
      try {
        return RawSocket(remotePort_);
      } catch (const std::runtime_error&) {
        std::this_thread::sleep_for(milliseconds(2));
      }
    }
    return std::nullopt;
  }
  static bool Forward(RawSocket& aFrom, RawSocket& aTo, bool aSilent)
  {
    char bytes[65536];
    const auto count = ::recv(aFrom.Descriptor(), bytes, sizeof(bytes), 0);
    if (count <= 0) {
      return aSilent;
    }
    if (!aSilent) {
      aTo.Write(std::string_view(bytes, static_cast<std::size_t>(count)));
    }
    return true;
  }

  std::uint16_t remotePort_;
  RawListener listener_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> silentForward_{ false };
  std::atomic<bool> silentBackward_{ false };
  std::atomic<bool> closeFirst_{ false };
  std::atomic<int> connectionCount_{ 0 };
  std::atomic<int> lastSilentNumber_{ 0 }; ///< Connections 1 to this number are silent.
  std::vector<std::thread> threads_;
  std::thread acceptThread_;
};

// Two hosts whose peer connections from the first to the second go through a relay.
struct RelayedPair
{
  ScriptedTarget target_;
  RunningNode first_{ TestSettings("first", "front", 1) };
  RunningNode second_;
  Relay relay_;

  explicit RelayedPair(ScriptedTarget::Handler aHandler)
    : target_(std::move(aHandler))
    , second_(TestSettings("second", "bell", target_.Port()))
    , relay_(second_.node_->Ports().peers_)
  {
    Publish({ &first_, &second_ }, { &second_ });
    auto view = std::make_shared<TargetView>();
    Target target = second_.AsTarget();
    target.peer_.port_ = relay_.Port();
    view->hosts_[target.host_] = target.peer_;
    view->targets_[target.service_] = { target };
    first_.control_->callbacks_.publishTargets_(view);
  }
  Caller MakeCaller() const { return Caller(first_.node_->Ports().callers_); }
};

std::string AnswerWithDelay(const ReceivedRequest& aRequest)
{
  std::this_thread::sleep_for(
    milliseconds(aRequest.line_.find("/slow") != std::string::npos ? 300 : 0));
  return MakeHttpResponse(200, "done " + aRequest.line_);
}

} // namespace

// Guards against a call that is reported as unknown, or runs twice, because its connection went
// silent before it arrived. The second host blocks the lost attempt before the call is sent again.
TEST_CASE("a non-repeatable call that never arrived is blocked and sent again", "[silent]")
{
  RelayedPair pair(AnswerWithDelay);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.SendRequest("POST", "/deposits/1").status_ == 200);
  pair.relay_.SilenceForward();
  const TimePoint start = Clock::now();
  const auto answer = caller.SendRequest("POST", "/deposits/2");
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == "done POST /deposits/2");
  CHECK(Clock::now() - start < milliseconds(1200));
  CHECK(pair.target_.ReceivedRequests().size() == 2);
  CHECK(pair.relay_.ConnectionCount() == 2);
}

// Guards against a second run of a non-repeatable call when only its response was lost.
TEST_CASE("a non-repeatable call whose response was lost gets it on a new connection", "[silent]")
{
  RelayedPair pair(AnswerWithDelay);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.SendRequest("POST", "/deposits/1").status_ == 200);
  pair.relay_.SilenceBackward();
  const auto done = caller.SendRequest("POST", "/deposits/2");
  CHECK(done.status_ == 200);
  CHECK(done.body_ == "done POST /deposits/2");
  CHECK(pair.target_.ReceivedRequests().size() == 2);
}

// Guards against a call that is cancelled or run again because its connection was closed while it
// ran.
TEST_CASE("a non-repeatable call is answered if its connection is closed while it runs", "[silent]")
{
  RelayedPair pair(AnswerWithDelay);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.SendRequest("POST", "/deposits/1").status_ == 200);
  ReceivedResponse answer;
  std::thread sender([&] { answer = caller.SendRequest("POST", "/deposits/slow"); });
  std::this_thread::sleep_for(milliseconds(100));
  pair.relay_.CloseFirst();
  sender.join();
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == "done POST /deposits/slow");
  CHECK(pair.target_.ReceivedRequests().size() == 2);
}

// Guards against a repeatable call that is broken off at its target and run once more, or fails
// because no retry is left, when its connection is closed while it runs.
TEST_CASE("a repeatable call is answered if its connection is closed while it runs", "[silent]")
{
  RelayedPair pair(AnswerWithDelay);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.SendRequest("GET", "/bells/1").status_ == 200);
  ReceivedResponse answer;
  std::thread sender([&] { answer = caller.SendRequest("GET", "/bells/slow"); });
  std::this_thread::sleep_for(milliseconds(100));
  pair.relay_.CloseFirst();
  sender.join();
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == "done GET /bells/slow");
  CHECK(pair.target_.ReceivedRequests().size() == 2);
}

// Guards against repeatable calls that fail although a new connection to their host works.
TEST_CASE("a repeatable call continues over a new connection", "[silent]")
{
  RelayedPair pair(AnswerWithDelay);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.SendRequest("GET", "/bells/1").status_ == 200);
  pair.relay_.SilenceForward();
  CHECK(caller.SendRequest("GET", "/bells/2").status_ == 200);
  CHECK(caller.SendRequest("GET", "/bells/3").status_ == 200);
}

// Guards against a "not run" that is reported by a restarted process, which can't know what the
// process that received the call did.
TEST_CASE("the outcome of a call to a host that restarted is unknown", "[silent]")
{
  auto pair = std::make_unique<RelayedPair>(AnswerWithDelay);
  Caller caller = pair->MakeCaller();
  REQUIRE(caller.SendRequest("POST", "/deposits/1").status_ == 200);
  NodeSettings settings = pair->second_.settings_;
  settings.peers_.port_ = pair->second_.node_->Ports().peers_;
  ReceivedResponse answer;
  std::thread sender([&] { answer = caller.SendRequest("POST", "/deposits/slow"); });
  std::this_thread::sleep_for(milliseconds(100));
  // The process ends without a drain and its successor listens on the same port.
  pair->second_.StopWithoutDrain();
  std::this_thread::sleep_for(milliseconds(2));
  RunningNode successor(settings);
  Publish({ &successor }, { &successor });
  sender.join();
  CHECK(answer.status_ == 504);
  CHECK(answer.Outcome() == "unknown");
}

// Guards against a call that waits until its deadline because its answer was dropped: it didn't fit
// into a frame, or into the queue of a slow link.
TEST_CASE("an answer that can't be sent to the other host is reported at once", "[silent]")
{
  constexpr std::size_t kAnswerBytes = std::size_t{ 3 } << 19U;
  ScriptedTarget target(
    [](const ReceivedRequest&) { return MakeHttpResponse(200, std::string(kAnswerBytes, 'a')); });
  RunningNode first(TestSettings("first", "front", 1));
  NodeSettings settings = TestSettings("second", "bell", target.Port());
  settings.maxBodyBytes_ = 2 * kAnswerBytes;
  RunningNode second(settings);
  auto config = TestConfig();
  for (Route& route : config->routes_) {
    route.deadline_ = seconds(10);
  }
  Publish({ &first, &second }, { &second }, config);
  Caller caller(first.node_->Ports().callers_);
  const TimePoint start = Clock::now();
  const auto answer = caller.SendRequest(
    "POST", "/deposits/1", "Quay-Key: " + kTestKey + "\r\nQuay-Deadline-Ms: 9000\r\n");
  CHECK(Clock::now() - start < seconds(5));
  CHECK(answer.status_ == 504);
  CHECK(answer.Outcome() == "unknown");
  CHECK(target.ReceivedRequests().size() == 1);
}

// Guards against calls that wait until their deadlines on idle connections that went silent while
// the target is running, and against further calls that are sent on these connections.
TEST_CASE("silent connections to the target are abandoned", "[silent]")
{
  ScriptedTarget target(AnswerWithDelay);
  Relay relay(target.Port());
  RunningNode node(TestSettings("only", "bell", relay.Port()));
  Publish({ &node }, { &node });
  Caller caller(node.node_->Ports().callers_);
  REQUIRE(caller.SendRequest("GET", "/bells/1").status_ == 200);
  // Lets the health poll open its own connection, which is silenced too.
  std::this_thread::sleep_for(milliseconds(50));
  relay.SilenceAll();
  const TimePoint start = Clock::now();
  CHECK(caller.SendRequest("GET", "/bells/2").status_ == 200);
  CHECK(Clock::now() - start < milliseconds(1200));
  // A slow response on a connection that isn't silent must not count as silence.
  CHECK(caller.SendRequest("GET", "/bells/slow").body_ == "done GET /bells/slow");
  CHECK(target.ReceivedRequests().size() == 3);
}
