// Tests of hosts with more callers than file descriptors.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <string>
#include <vector>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

constexpr unsigned kDescriptors = 64;
constexpr std::size_t kCallers = 100;
constexpr std::size_t kAtOnce = 4; ///< Requests at the target at the same time.

void SendRead(RawSocket& aSocket, const std::string& aId)
{
  aSocket.Write("GET /read/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: " + aId +
                "\r\nX-Deadline-Ms: 1500\r\nAuthorization: Token k1\r\n\r\n");
}

/// Reads a whole response and returns its status as text, or what came before the end.
std::string ReadStatus(RawSocket& aSocket)
{
  const std::string head = aSocket.ReadUntil("\r\n\r\n");
  const std::string name = "Content-Length: ";
  const auto length = head.find(name);
  if (length != std::string::npos) {
    aSocket.ReadBytes(std::stoul(head.substr(length + name.size())));
  }
  return head.substr(0, 12);
}

} // namespace

// Guards against requests that get no answer because idle connections hold all descriptors: theirs
// waited to be accepted.
TEST_CASE("callers beyond the descriptors are refused and don't wait", "[descriptors]")
{
  UserFleet fleet(2, false, true, kDescriptors);
  REQUIRE(fleet.WaitReady());
  std::vector<RawSocket> kept;
  std::size_t refused = 0;
  for (std::size_t i = 0; i < kCallers; ++i) {
    RawSocket socket(fleet.CallersAddress(0).port_);
    SendRead(socket, "first-" + std::to_string(i));
    const std::string status = ReadStatus(socket);
    INFO("caller " << i);
    REQUIRE((status == "HTTP/1.1 200" || status == "HTTP/1.1 503"));
    if (status == "HTTP/1.1 200") {
      kept.push_back(std::move(socket));
    } else {
      ++refused;
    }
  }
  CHECK(refused > 0);
  // Half of the descriptors are for callers.
  CHECK(kept.size() >= kDescriptors / 2 - 1);
  // The kept connections go on, and there are descriptors for more connections to the target.
  for (std::size_t i = 0; i + kAtOnce <= kept.size(); i += kAtOnce) {
    for (std::size_t j = i; j < i + kAtOnce; ++j) {
      SendRead(kept[j], "second-" + std::to_string(j));
    }
    for (std::size_t j = i; j < i + kAtOnce; ++j) {
      CHECK(ReadStatus(kept[j]) == "HTTP/1.1 200");
    }
  }
}

// Guards against callers without an answer because idle connections to the readiness address, or to
// another one that few clients use, hold all descriptors.
TEST_CASE("idle connections to the readiness address leave descriptors for callers",
          "[descriptors]")
{
  UserFleet fleet(2, false, true, 128);
  REQUIRE(fleet.WaitReady());
  std::vector<RawSocket> idle;
  for (int i = 0; i < 300; ++i) {
    idle.emplace_back(fleet.ReadyPort(0));
  }
  RawSocket caller(fleet.CallersAddress(0).port_);
  SendRead(caller, "caller");
  CHECK(ReadStatus(caller) == "HTTP/1.1 200");
}
