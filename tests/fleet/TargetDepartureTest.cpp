// Tests of targets that leave while the process of their host restarts or the store is down.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <csignal>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

// A sequence number above those of the target's own heartbeats.
constexpr std::uint64_t kLaterSequence = 100000;

const std::string kHeartbeatPath = "/-/Instances.Heartbeat/i-h1";
const std::string kLeavePath = "/-/Instances.Leave/i-h1";

/// Sends writes, which go to the targets of hosts 1 and 3, and returns how many the target of host
/// 1 started.
std::size_t WritesOfTarget1(UserFleet& aFleet, int aWrites = 40)
{
  const std::size_t before = aFleet.TargetOf(1).StartedRequests().size();
  for (int i = 0; i < aWrites; ++i) {
    CHECK(aFleet.SendRequest(i % 2 == 0 ? 0 : 2, "/write/1", std::to_string(i)).status_ == 200);
  }
  return aFleet.TargetOf(1).StartedRequests().size() - before;
}

/// Reports target 1 as ready until it receives one of aWrites writes, aReports times every 0.2 s.
/// Sequence numbers are below kLaterSequence.
bool GetsWritesWhenReady(UserFleet& aFleet,
                         std::uint64_t aStartedMs,
                         std::uint64_t aReports = 20,
                         int aWrites = 40)
{
  for (std::uint64_t i = 1; i <= aReports; ++i) {
    const std::string body =
      aFleet.TargetOf(1).ReportBody(false, kLaterSequence - 100 + i, aStartedMs);
    REQUIRE(aFleet.SendTargetReport(1, kHeartbeatPath, body) == 200);
    std::this_thread::sleep_for(milliseconds(200));
    if (WritesOfTarget1(aFleet, aWrites) > 0) {
      return true;
    }
  }
  return false;
}

/// Sends the report that a start of target 1 leaves and returns the status of the response.
unsigned SendDeparture(UserFleet& aFleet, bool aByHeartbeat, std::uint64_t aStartedMs)
{
  const std::string body =
    aFleet.TargetOf(1).ReportBody(aByHeartbeat, kLaterSequence + 1, aStartedMs);
  return aFleet.SendTargetReport(1, aByHeartbeat ? kHeartbeatPath : kLeavePath, body);
}

/// Kills the process of host 1 and starts it again.
void RestartHost1(UserFleet& aFleet)
{
  // The row with the departure is written within this time.
  std::this_thread::sleep_for(milliseconds(300));
  aFleet.Restart(1);
  REQUIRE(Eventually([&] { return aFleet.ReadinessStatus(1) == 200; }, seconds(5)));
}

} // namespace

// Guards against requests to a target that left: after a restart, its host took a late heartbeat
// for that of a new target.
TEST_CASE("a late heartbeat doesn't bring a target back that left before a restart", "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  const auto& target = fleet.TargetOf(1);
  CHECK(WritesOfTarget1(fleet) > 0);
  fleet.TargetOf(1).StopHeartbeats();
  std::this_thread::sleep_for(milliseconds(300));
  SECTION("by a leave message")
  {
    REQUIRE(fleet.SendTargetReport(1, kLeavePath, target.ReportBody(false, kLaterSequence, 1)) ==
            200);
  }
  SECTION("by a heartbeat")
  {
    REQUIRE(fleet.SendTargetReport(
              1, kHeartbeatPath, target.ReportBody(true, kLaterSequence + 1, 1)) == 200);
  }
  SECTION("by a leave message to a process that doesn't know the target yet")
  {
    RestartHost1(fleet);
    REQUIRE(fleet.SendTargetReport(1, kLeavePath, target.ReportBody(false, kLaterSequence, 1)) ==
            200);
  }
  RestartHost1(fleet);
  CHECK_FALSE(GetsWritesWhenReady(fleet, 1));
  // A new start with the same id is in use.
  CHECK(GetsWritesWhenReady(fleet, 2));
}

// Guards against a target that gets no requests although it didn't leave: only its host restarted,
// or its heartbeats stopped for a while.
TEST_CASE("a target that didn't leave is in use after a restart of its host", "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  fleet.TargetOf(1).StopHeartbeats();
  const auto& target = fleet.TargetOf(1);
  std::uint64_t startedMs = 1;
  SECTION("planned stop")
  {
    fleet.ProcessOf(1).Signal(SIGTERM);
    CHECK(fleet.ProcessOf(1).Wait(7) == 0);
  }
  SECTION("heartbeats stopped")
  {
    REQUIRE(Eventually([&] { return fleet.Log(1).find("TargetLapsed") != std::string::npos; },
                       seconds(5)));
    CHECK(WritesOfTarget1(fleet) == 0);
  }
  SECTION("leave message of an earlier start")
  {
    startedMs = 5;
    REQUIRE(fleet.SendTargetReport(1, kHeartbeatPath, target.ReportBody(false, 1, startedMs)) ==
            200);
    REQUIRE(fleet.SendTargetReport(1, kLeavePath, target.ReportBody(false, kLaterSequence, 1)) ==
            200);
  }
  RestartHost1(fleet);
  CHECK(GetsWritesWhenReady(fleet, startedMs));
}

// Guards against requests to a target whose departure was acknowledged while the store was down:
// only the process that was killed then knew of it, and its successor believed a late heartbeat.
TEST_CASE("an acknowledged departure outlives its host's process while the store is down",
          "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  CHECK(WritesOfTarget1(fleet) > 0);
  fleet.TargetOf(1).StopHeartbeats();
  std::this_thread::sleep_for(milliseconds(300));
  struct Script
  {
    bool byHeartbeat_;
    bool keepsPeersPort_;
    standins::UserStoreFault fault_;
  };
  const auto script = GENERATE(Script{ false, true, standins::UserStoreFault::kUnavailable },
                               Script{ true, true, standins::UserStoreFault::kSilent },
                               Script{ false, false, standins::UserStoreFault::kUnavailable });
  INFO("by heartbeat " << script.byHeartbeat_ << ", keeps its port " << script.keepsPeersPort_);
  fleet.Store().SetFault(script.fault_);
  REQUIRE(SendDeparture(fleet, script.byHeartbeat_, 1) == 200);
  fleet.Restart(1, script.keepsPeersPort_);
  // Longer than a process that can't ask others waits, shorter than keys are valid without the
  // store.
  CHECK_FALSE(GetsWritesWhenReady(fleet, 1, 8, 8));
  fleet.Store().SetFault(standins::UserStoreFault::kNone);
  REQUIRE(Eventually([&] { return fleet.ReadinessStatus(1) == 200; }, seconds(5)));
  CHECK_FALSE(GetsWritesWhenReady(fleet, 1, 10));
  // A new start with the same id is in use.
  CHECK(GetsWritesWhenReady(fleet, 2));
}

// Guards against an acknowledgement that no other host and no store can keep.
TEST_CASE("a departure that only one process knows isn't acknowledged", "[users]")
{
  UserFleet fleet(2);
  REQUIRE(fleet.WaitReady());
  fleet.TargetOf(1).StopHeartbeats();
  std::this_thread::sleep_for(milliseconds(300));
  fleet.ProcessOf(0).Signal(SIGKILL);
  fleet.Store().SetFault(standins::UserStoreFault::kUnavailable);
  const TimePoint sentAt = Clock::now();
  CHECK(SendDeparture(fleet, false, 1) == 503);
  CHECK(Clock::now() - sentAt < seconds(1));
  CHECK(fleet.Log(1).find("DepartureNotAcknowledged") != std::string::npos);
  fleet.Store().SetFault(standins::UserStoreFault::kNone);
  CHECK(Eventually([&] { return SendDeparture(fleet, false, 1) == 200; }, seconds(5)));
}
