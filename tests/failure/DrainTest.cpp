// Tests of the end of a planned stop: what has arrived at the process, or waits to be sent, when it
// is about to end.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
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
