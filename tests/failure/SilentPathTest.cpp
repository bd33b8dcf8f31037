// Calls over peer connections that go silent or are cut while the hosts live.
#include "tests/failure/PathFleet.h"

#include <catch2/catch.hpp>

#include <optional>
#include <poll.h>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

// Relays connections to one port. Connections go silent, each way on its own, while new ones work.
class Relay
{
public:
  explicit Relay(std::uint16_t aTo)
    : to_(aTo)
    , accepting_([this] { Accept(); })
  {
  }
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;
  ~Relay()
  {
    stopping_ = true;
    listener_.Close();
    accepting_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
  }
  std::uint16_t Port() const { return listener_.Port(); }
  /// The first connection passes nothing on in this direction from now on.
  void SilenceForward() { silentForward_ = true; }
  void SilenceBackward() { silentBackward_ = true; }
  /// All connections that are open now pass nothing on, either way.
  void SilenceAll() { silentUpTo_ = connections_.load(); }
  /// The first connection is closed.
  void Cut() { cut_ = true; }
  int Connections() const { return connections_; }

private:
  void Accept()
  {
    while (!stopping_) {
      auto from = std::make_shared<RawSocket>(listener_.Accept());
      if (!from->IsOpen()) {
        return;
      }
      const int number = ++connections_;
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
    while (!stopping_ && !(first && cut_)) {
      pollfd both[2] = { { aFrom.Descriptor(), POLLIN, 0 }, { to.Descriptor(), POLLIN, 0 } };
      ::poll(both, 2, 5);
      if ((both[0].revents != 0 &&
           !Pass(aFrom, to, (first && silentForward_) || aNumber <= silentUpTo_)) ||
          (both[1].revents != 0 &&
           !Pass(to, aFrom, (first && silentBackward_) || aNumber <= silentUpTo_))) {
        return;
      }
    }
  }
  // The other end may be between two processes.
  std::optional<RawSocket> Connect() const
  {
    for (int i = 0; i < 100 && !stopping_; ++i) {
      try {
        return RawSocket(to_);
      } catch (const std::runtime_error&) {
        std::this_thread::sleep_for(milliseconds(2));
      }
    }
    return std::nullopt;
  }
  static bool Pass(RawSocket& aFrom, RawSocket& aTo, bool aSilent)
  {
    char bytes[65536];
    const auto got = ::recv(aFrom.Descriptor(), bytes, sizeof(bytes), 0);
    if (got <= 0) {
      return aSilent;
    }
    if (!aSilent) {
      aTo.Write(std::string_view(bytes, static_cast<std::size_t>(got)));
    }
    return true;
  }

  std::uint16_t to_;
  RawListener listener_;
  std::atomic<bool> stopping_{ false };
  std::atomic<bool> silentForward_{ false };
  std::atomic<bool> silentBackward_{ false };
  std::atomic<bool> cut_{ false };
  std::atomic<int> connections_{ 0 };
  std::atomic<int> silentUpTo_{ 0 }; ///< Numbers from 1; connections up to it are silent.
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

// Two hosts with a relay between them.
struct RelayedPair
{
  ScriptTarget target_;
  RunningNode first_{ TestSettings("first", "front", 1) };
  RunningNode second_;
  Relay relay_;

  explicit RelayedPair(ScriptTarget::Script aScript)
    : target_(std::move(aScript))
    , second_(TestSettings("second", "bell", target_.Port()))
    , relay_(second_.node_->Ports().peers_)
  {
    Publish({ &first_, &second_ }, { &second_ });
    auto view = std::make_shared<TargetView>();
    Target target = second_.AsTarget();
    target.peer_.port_ = relay_.Port();
    view->hosts_[target.host_] = target.peer_;
    view->targets_[target.service_] = { target };
    first_.control_->port_.publishTargets_(view);
  }
  Caller MakeCaller() const { return Caller(first_.node_->Ports().callers_); }
};

std::string SlowScript(const SeenRequest& aRequest)
{
  std::this_thread::sleep_for(
    milliseconds(aRequest.line_.find("/slow") != std::string::npos ? 300 : 0));
  return HttpAnswer(200, "done " + aRequest.line_);
}

} // namespace

// Guards against a call that is reported lost, or sent twice, because its connection went silent
// before it arrived: the guard bars it, and it is sent again.
TEST_CASE("a non-repeatable call that never arrived is barred and sent again", "[silent]")
{
  RelayedPair pair(SlowScript);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.Ask("POST", "/deposits/1").status_ == 200);
  pair.relay_.SilenceForward();
  const TimePoint start = Clock::now();
  const auto answer = caller.Ask("POST", "/deposits/2");
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == "done POST /deposits/2");
  CHECK(Clock::now() - start < milliseconds(1200));
  CHECK(pair.target_.Seen().size() == 2);
  CHECK(pair.relay_.Connections() == 2);
}

// Guards against a second run when only the answer was lost.
TEST_CASE("a non-repeatable call whose answer was lost gets it on a fresh connection", "[silent]")
{
  RelayedPair pair(SlowScript);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.Ask("POST", "/deposits/1").status_ == 200);
  pair.relay_.SilenceBackward();
  const auto done = caller.Ask("POST", "/deposits/2");
  CHECK(done.status_ == 200);
  CHECK(done.body_ == "done POST /deposits/2");
  CHECK(pair.target_.Seen().size() == 2);
}

// Guards against a call that is cancelled or run again because its connection was cut while it ran.
TEST_CASE("a non-repeatable call that runs while its connection is cut is answered", "[silent]")
{
  RelayedPair pair(SlowScript);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.Ask("POST", "/deposits/1").status_ == 200);
  SeenAnswer answer;
  std::thread asking([&] { answer = caller.Ask("POST", "/deposits/slow"); });
  std::this_thread::sleep_for(milliseconds(100));
  pair.relay_.Cut();
  asking.join();
  CHECK(answer.status_ == 200);
  CHECK(answer.body_ == "done POST /deposits/slow");
  CHECK(pair.target_.Seen().size() == 2);
}

// Guards against repeatable calls that fail although a fresh connection to their host works.
TEST_CASE("a repeatable call continues over a fresh connection", "[silent]")
{
  RelayedPair pair(SlowScript);
  Caller caller = pair.MakeCaller();
  REQUIRE(caller.Ask("GET", "/bells/1").status_ == 200);
  pair.relay_.SilenceForward();
  CHECK(caller.Ask("GET", "/bells/2").status_ == 200);
  CHECK(caller.Ask("GET", "/bells/3").status_ == 200);
}

// Guards against a "not run" that rests on the word of another process than the one that got the
// call.
TEST_CASE("the fate of a call at a host that restarted is unknown", "[silent]")
{
  auto pair = std::make_unique<RelayedPair>(SlowScript);
  Caller caller = pair->MakeCaller();
  REQUIRE(caller.Ask("POST", "/deposits/1").status_ == 200);
  NodeSettings settings = pair->second_.settings_;
  settings.peers_.port_ = pair->second_.node_->Ports().peers_;
  SeenAnswer answer;
  std::thread asking([&] { answer = caller.Ask("POST", "/deposits/slow"); });
  std::this_thread::sleep_for(milliseconds(100));
  // The process ends without a drain and its successor listens on the same port.
  pair->second_.End();
  std::this_thread::sleep_for(milliseconds(2));
  RunningNode again(settings);
  Publish({ &again }, { &again });
  asking.join();
  CHECK(answer.status_ == 504);
  CHECK(answer.Outcome() == "unknown");
}

// Guards against calls that wait for their deadlines on kept connections to the target that went
// silent although the target lives, and against more calls sent after them.
TEST_CASE("silent connections to the target are given up", "[silent]")
{
  ScriptTarget target(SlowScript);
  Relay relay(target.Port());
  RunningNode node(TestSettings("only", "bell", relay.Port()));
  Publish({ &node }, { &node });
  Caller caller(node.node_->Ports().callers_);
  REQUIRE(caller.Ask("GET", "/bells/1").status_ == 200);
  // The poll of the target's health keeps a connection of its own.
  std::this_thread::sleep_for(milliseconds(50));
  relay.SilenceAll();
  const TimePoint start = Clock::now();
  CHECK(caller.Ask("GET", "/bells/2").status_ == 200);
  CHECK(Clock::now() - start < milliseconds(1200));
  // A slow answer on a connection that isn't silent is waited for.
  CHECK(caller.Ask("GET", "/bells/slow").body_ == "done GET /bells/slow");
  CHECK(target.Seen().size() == 3);
}
