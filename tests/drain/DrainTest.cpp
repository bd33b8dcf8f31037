// Tests of the end of a planned stop: what has arrived at the process, or waits to be sent, when it
// is about to end.
#include "peridotquay/connection/PeerCodec.h"

#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <future>
#include <map>
#include <vector>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

/// A fleet accepts requests for this long after SIGTERM, and an idle process ends at least 300 ms
/// later.
constexpr Duration kAcceptPeriod = seconds(1);

std::string RequestText(const std::string& aId)
{
  return "GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token k1\r\n\r\n";
}

/// A process ends what is under way this long after SIGTERM.
constexpr Duration kDrainTimeout = seconds(5);

/// Routes: the keyed /search/ of s0, and of s1 the open routes /deposit/, which isn't repeatable,
/// and /ledger/. Requests of /search/ and /ledger/ may last longer than a drain.
nlohmann::json LongWorkDocument()
{
  const auto route = [](const char* aKind, const char* aService, int aTimeoutMs, bool aOpen) {
    return nlohmann::json{ { "host", "h.example" }, { "kind", aKind },
                           { "service", aService }, { "timeout_ms", aTimeoutMs },
                           { "priority", 0 },       { "latency_target_ms", 1500 },
                           { "max_attempts", 2 },   { "public", aOpen } };
  };
  nlohmann::json document = UserDocument(1, { "k1" });
  document["routes"] = { { "search", route("safe", "s0", 6000, false) },
                         { "deposit", route("unsafe", "s1", 1200, true) },
                         { "ledger", route("safe", "s1", 6000, true) } };
  for (auto& [name, entry] : document["routes"].items()) {
    entry["prefix"] = "/" + name + "/";
  }
  return document;
}

/// A fleet with LongWorkDocument.
class LongWorkFleet
{
public:
  explicit LongWorkFleet(std::size_t aHosts = 2)
    : fleet_(aHosts, false, false)
  {
    fleet_.Store().Put("op", "config", LongWorkDocument().dump());
  }

  UserFleet* operator->() { return &fleet_; }

  /// Sends a request to a host. Only requests of /search/ have a key.
  standins::FetchResponse Send(const std::string& aPath,
                               const std::string& aId,
                               Duration aDeadline = seconds(6),
                               std::size_t aHost = 0)
  {
    standins::FetchRequest request;
    request.method_ = aPath.starts_with("/deposit/") ? "POST" : "GET";
    request.target_ = aPath;
    request.headers_ = { { "Host", "h.example" },
                         { "X-Request-Id", aId },
                         { "X-Deadline-Ms", std::to_string(aDeadline / milliseconds(1)) } };
    if (aPath.starts_with("/search/")) {
      request.headers_.emplace_back("Authorization", "Token k1");
    }
    request.timeout_ = aDeadline + seconds(1);
    auto reply = standins::FetchHttp(fleet_.CallersAddress(aHost), request);
    return reply.has_value() ? reply.assume_value() : standins::FetchResponse{};
  }

private:
  UserFleet fleet_;
};

/// A connection to a host as another host has it.
class RawPeer
{
public:
  explicit RawPeer(std::uint16_t aPort)
    : socket_(aPort, 4096)
  {
    socket_.Write(FramePeerMessage(Hello{ kPeerProtocolVersion, { "raw" }, 1, { "d1" } }));
  }

  void Send(const PeerMessage& aMessage) { socket_.Write(FramePeerMessage(aMessage)); }

  /// Reads to the end of the stream and returns the calls that were answered with aBodyBytes.
  std::size_t CountAnswers(std::size_t aBodyBytes)
  {
    const std::string stream = socket_.ReadToEnd();
    std::size_t answers = 0;
    for (std::size_t at = 0; at + 4 <= stream.size();) {
      std::size_t length = 0;
      for (std::size_t i = 0; i < 4; ++i) {
        length = length * 256 + static_cast<unsigned char>(stream[at + i]);
      }
      if (at + 4 + length > stream.size()) {
        break;
      }
      const auto message = DecodePeerMessage(std::string_view(stream).substr(at + 4, length));
      if (message.has_value()) {
        const auto* answer = std::get_if<Answer>(&message.assume_value());
        answers += answer != nullptr && answer->body_.size() == aBodyBytes ? 1 : 0;
      }
      at += 4 + length;
    }
    return answers;
  }

private:
  RawSocket socket_;
};

} // namespace

// Guards against requests that end without an answer because their process gets no core for a while
// just before it ends: connections that waited to be accepted were reset.
TEST_CASE("a request that arrives while its process waits for a core at its end is answered",
          "[drain]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  RawSocket kept(fleet.CallersAddress(0).port_);
  kept.Write(RequestText("first"));
  REQUIRE(kept.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 200"));
  fleet.ProcessOf(0).Signal(SIGTERM);
  std::this_thread::sleep_for(kAcceptPeriod + milliseconds(150));
  fleet.ProcessOf(0).Signal(SIGSTOP);
  std::vector<RawSocket> fresh;
  for (int i = 0; i < 200; ++i) {
    fresh.emplace_back(fleet.CallersAddress(0).port_);
    fresh.back().Write(RequestText("fresh-" + std::to_string(i)));
  }
  std::this_thread::sleep_for(milliseconds(500));
  fleet.ProcessOf(0).Signal(SIGCONT);
  std::size_t answered = 0;
  for (RawSocket& socket : fresh) {
    answered += socket.ReadUntil("\r\n\r\n").starts_with("HTTP/1.1 503") ? 1 : 0;
  }
  CHECK(answered == fresh.size());
  CHECK(fleet.ProcessOf(0).Wait(3) == 0);
}

// Guards against requests that fail although a planned stop waits for them: their deeper calls were
// refused once the process accepted no new requests.
TEST_CASE("a request that runs during a planned stop may still make its deeper calls", "[drain]")
{
  UserFleet fleet(2);
  fleet.TargetOf(0).CallDeeper(fleet.CallersAddress(0), "/call/1", 3);
  fleet.TargetOf(1).SetServiceTime(milliseconds(350));
  REQUIRE(fleet.WaitReady());
  fleet.ProcessOf(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  // Its last deeper call begins 700 ms later, when the process accepts no new requests.
  CHECK(fleet.SendRequest(1, "/read/1", "slow").status_ == 200);
  CHECK(fleet.ProcessOf(0).Wait(6) == 0);
}

// Guards against answers that are lost because their process ends while they are still queued for a
// host that reads slowly.
TEST_CASE("answers to a host that reads slowly are sent before the process ends", "[drain]")
{
  constexpr std::uint64_t kCalls = 10;
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  RawPeer peer(fleet.PeersPort(0));
  for (std::uint64_t i = 1; i <= kCalls; ++i) {
    Call call;
    call.callId_ = i;
    call.service_ = { "s0" };
    call.route_ = { "read" };
    call.method_ = "GET";
    call.path_ = "/read/large";
    call.headers_ = { { "X-Request-Id", "call-" + std::to_string(i) } };
    call.deadlineMs_ = 1500;
    peer.Send(call);
  }
  std::this_thread::sleep_for(milliseconds(300));
  fleet.ProcessOf(0).Signal(SIGTERM);
  std::this_thread::sleep_for(kAcceptPeriod + milliseconds(800));
  // Unread input resets a connection that is closed.
  peer.Send(Ping{ 1 });
  CHECK(peer.CountAnswers(standins::kLargeAnswerBytes) == kCalls);
  CHECK(fleet.ProcessOf(0).Wait(6) == 0);
}

// Guards against requests that end without an answer and leave no trace in the log of their host.
TEST_CASE("the log tells which requests ended without an answer, and what was open at the end",
          "[drain]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  fleet.TargetOf(0).SetServiceTime(milliseconds(800));
  {
    RawSocket caller(fleet.CallersAddress(0).port_);
    caller.Write(RequestText("given-up"));
    std::this_thread::sleep_for(milliseconds(200));
  }
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(fleet.ProcessOf(0).Wait(6) == 0);
  const std::string log = fleet.Log(0);
  INFO(log);
  CHECK(log.find("name=RequestAbandoned id=given-up listener=callers reason=caller_closed "
                 "stage=handled attempts=1 ") != std::string::npos);
  CHECK(log.find("name=ContentAtEnd connections=0 partly_read=0 handled=0 answering=0 "
                 "unread_bytes=0 ") != std::string::npos);
}

// Guards against requests on open routes that a host takes late in a planned stop because they may
// be calls of its own target, passes on, and then cuts when its time ends.
TEST_CASE("a request that can't end before a planned stop is refused and not cut", "[drain]")
{
  constexpr int kDeposits = 38;
  LongWorkFleet fleet;
  REQUIRE(fleet->WaitReady());
  auto search =
    std::async(std::launch::async, [&] { return fleet.Send("/search/work-4700", "search"); });
  std::this_thread::sleep_for(milliseconds(100));
  const TimePoint signalledAt = Clock::now();
  fleet->ProcessOf(0).Signal(SIGTERM);
  std::vector<std::future<standins::FetchResponse>> deposits;
  for (int i = 0; i < kDeposits; ++i) {
    std::this_thread::sleep_until(signalledAt + kAcceptPeriod + i * milliseconds(100));
    deposits.push_back(std::async(std::launch::async, [&fleet, i] {
      return fleet.Send("/deposit/work-800", "deposit-" + std::to_string(i), seconds(5));
    }));
  }
  std::map<unsigned, int> statuses;
  for (auto& deposit : deposits) {
    ++statuses[deposit.get().status_];
  }
  auto runs = fleet->ExecutionCounts();
  int started = 0;
  for (int i = 0; i < kDeposits; ++i) {
    started += runs["deposit-" + std::to_string(i)];
  }
  INFO(statuses[200] << " answered, " << statuses[503] << " refused, " << statuses[502] << " cut, "
                     << started << " started");
  // Those that end at their deadline, if not before, are still passed on.
  const int servable = (kDrainTimeout - kAcceptPeriod - milliseconds(1200)) / milliseconds(100);
  CHECK(statuses[200] >= servable - 1);
  CHECK(statuses[200] == started);
  CHECK(statuses[200] + statuses[503] == kDeposits);
  CHECK(search.get().status_ == 200);
  CHECK(fleet->ProcessOf(0).Wait(6) == 0);
}

// Guards against a running request that fails because a call of its target, which may last longer
// than the planned stop, is refused like a caller's request.
TEST_CASE("a call of the own target is passed on until a planned stop ends", "[drain]")
{
  LongWorkFleet fleet;
  fleet->TargetOf(0).CallDeeper(fleet->CallersAddress(0), "/ledger/work-1100", 4);
  REQUIRE(fleet->WaitReady());
  // Shows the host that its target calls this route.
  REQUIRE(fleet.Send("/search/1", "before").status_ == 200);
  fleet->ProcessOf(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  // Its last call begins 3.6 s after the signal, with a deadline after the end of the stop.
  CHECK(fleet.Send("/search/1", "search").status_ == 200);
  CHECK(fleet->ProcessOf(0).Wait(6) == 0);
}

// Guards against calls of other hosts that a host takes shortly after SIGTERM, although its target
// needs longer for them than the planned stop lasts.
TEST_CASE("a call of another host that may outlast a planned stop runs elsewhere", "[drain]")
{
  constexpr int kSearches = 24;
  LongWorkFleet fleet(4);
  REQUIRE(fleet->WaitReady());
  const auto search = [&](const std::string& aPath) {
    std::vector<std::future<standins::FetchResponse>> searches;
    for (int i = 0; i < kSearches; ++i) {
      searches.push_back(std::async(std::launch::async, [&fleet, aPath, i] {
        return fleet.Send("/search/" + aPath, aPath + "-" + std::to_string(i), seconds(6), 1);
      }));
    }
    int answered = 0;
    for (auto& response : searches) {
      answered += response.get().status_ == 200 ? 1 : 0;
    }
    return answered;
  };
  // Shows both targets of the service how long such work takes.
  REQUIRE(search("work-3500") == kSearches);
  fleet->ProcessOf(0).Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(200));
  CHECK(search("work-4900") == kSearches);
  CHECK(fleet->ProcessOf(0).Wait(6) == 0);
}
