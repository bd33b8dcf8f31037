// Tests of a planned stop of quayd while a caller's connection has several requests.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <csignal>
#include <vector>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

std::string RequestText(const std::string& aId, unsigned aWorkMs)
{
  return "GET /read/work-" + std::to_string(aWorkMs) + " HTTP/1.1\r\nHost: h.example\r\n" +
         "X-Request-Id: " + aId + "\r\nX-Deadline-Ms: 2000\r\nAuthorization: Token k1\r\n\r\n";
}

// Ids of the whole answers of a stream, in order. Adds the number of answers that close the
// connection to aCloses. The last id is "cut" if the stream ends within an answer.
std::vector<std::string> AnsweredIds(RawSocket& aSocket, int& aCloses)
{
  std::vector<std::string> ids;
  while (true) {
    const std::string head = aSocket.ReadUntil("\r\n\r\n");
    if (head.empty()) {
      return ids;
    }
    const auto length = head.find("Content-Length: ");
    const auto id = head.find("X-Request-Id: ");
    const std::size_t bytes =
      length == std::string::npos ? 0 : std::stoul(head.substr(length + 16));
    if (!head.starts_with("HTTP/1.1 200") || id == std::string::npos ||
        aSocket.ReadBytes(bytes).size() != bytes) {
      ids.emplace_back("cut");
      return ids;
    }
    aCloses += head.find("Connection: close") == std::string::npos ? 0 : 1;
    ids.push_back(head.substr(id + 14, head.find("\r\n", id) - id - 14));
  }
}

} // namespace

// Guards against a planned stop that loses the answer of a request which a target ran, or passes on
// a request behind the closing answer, which the caller sends again.
TEST_CASE("SIGTERM in the middle of a pipeline: every forwarded request is answered whole",
          "[drain]")
{
  constexpr unsigned kRequests = 14;
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  RawSocket caller(fleet.CallersAddress(0).port_);
  std::string input;
  for (unsigned i = 0; i < kRequests; ++i) {
    // Later requests end before earlier ones. The first two end before the signal.
    const unsigned workMs = i < 2 ? 100 : 900 - 30 * i;
    input += RequestText("p-" + std::to_string(100 + i), workMs);
  }
  caller.Write(input);
  REQUIRE(Eventually([&] { return fleet.ExecutionCounts().size() == 10; }, seconds(2)));
  fleet.ProcessOf(0).Signal(SIGTERM);
  int closes = 0;
  const std::vector<std::string> answered = AnsweredIds(caller, closes);
  CHECK(fleet.ProcessOf(0).Wait(6) == 0);
  CHECK(closes == 1);
  std::vector<std::string> forwarded;
  for (const auto& [id, count] : fleet.ExecutionCounts()) {
    CHECK(count == 1);
    forwarded.push_back(id);
  }
  // The map is sorted by id, and so are the requests of the caller.
  CHECK(answered == forwarded);
  CHECK(answered.size() == 10);
  const std::string log = fleet.Log(0);
  INFO(log);
  CHECK(log.find("name=RequestNotBegun") != std::string::npos);
  CHECK(log.find("name=RequestUnanswered") == std::string::npos);
  CHECK(log.find("name=ContentAtEnd connections=0 partly_read=0 handled=0 answering=0 ") !=
        std::string::npos);
}

// Guards against reads that run on at targets for a caller that has left, and against a request
// that must run once and begins while others of its connection run.
TEST_CASE("a caller that leaves ends its pipelined requests at the targets", "[pipelining]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  {
    RawSocket caller(fleet.CallersAddress(0).port_);
    std::string input;
    for (int i = 0; i < 3; ++i) {
      input += RequestText("r-" + std::to_string(i), 1000);
    }
    caller.Write(input + "POST /write/1 HTTP/1.1\r\nHost: h.example\r\nX-Request-Id: once\r\n" +
                 "X-Deadline-Ms: 2000\r\nAuthorization: Token k1\r\nContent-Length: 0\r\n\r\n");
    REQUIRE(Eventually([&] { return fleet.ExecutionCounts().size() == 3; }, seconds(2)));
  }
  const auto brokenOff = [&] {
    const auto work = fleet.TargetOf(0).Work();
    return std::count_if(work.begin(), work.end(), [](const standins::TargetWork& aWork) {
             return aWork.brokenOff_;
           }) == 3;
  };
  CHECK(Eventually(brokenOff, milliseconds(500)));
  CHECK_FALSE(fleet.ExecutionCounts().contains("once"));
}
