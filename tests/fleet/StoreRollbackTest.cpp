// Tests of fleets of quayd processes on a store that goes back to an older copy of itself.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <csignal>
#include <thread>

using namespace peridotquay;
using namespace peridotquay::testing;
using standins::UserStoreFault;

namespace {

/// Whether the condition holds for all hosts.
bool All(UserFleet& aFleet, const std::function<bool(std::size_t)>& aCondition)
{
  for (std::size_t host = 0; host < aFleet.Size(); ++host) {
    if (!aCondition(host)) {
      return false;
    }
  }
  return true;
}

unsigned StatusWithKey(UserFleet& aFleet, std::size_t aHost, const std::string& aKey)
{
  return aFleet.SendRequest(aHost, "/read/1", "a", aKey).status_;
}

bool KnowsEra(UserFleet& aFleet, std::size_t aHost, int aEra)
{
  return aFleet.Log(aHost).find("name=StoreWentBack era=" + std::to_string(aEra)) !=
         std::string::npos;
}

std::string HostRow(UserFleet& aFleet, std::size_t aHost)
{
  return aFleet.Store().Value("quay_hosts", "h" + std::to_string(aHost));
}

} // namespace

// Guards against a withdrawn key that is accepted again and a departed target that gets requests
// again because the store lost these writes, a lost own row that nobody writes again, and hosts
// that take more calls to recover than to start.
TEST_CASE("hosts keep what a store lost by going back", "[rollback]")
{
  const auto lost = GENERATE(milliseconds(1000), milliseconds(10'000));
  UserFleet fleet(8, false, true, 0, 0);
  REQUIRE(fleet.WaitReady());
  // Row of host 2 as the copy has it.
  const std::string departing = HostRow(fleet, 2);
  std::this_thread::sleep_for(milliseconds(500));
  const TimePoint copied = Clock::now();
  fleet.Store().Put("op", "config", UserDocument(2, { "k1" }).dump());
  fleet.TargetOf(2).SetDraining();
  REQUIRE(Eventually([&] { return HostRow(fleet, 2) != departing; }, seconds(4)));
  const std::string departed = HostRow(fleet, 2);
  REQUIRE(Eventually(
    [&] {
      return All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k2") == 401; });
    },
    seconds(3)));
  std::this_thread::sleep_until(copied + lost);
  const std::size_t requestsOfDeparted = fleet.TargetOf(2).StartedRequests().size();
  const std::uint64_t calls = fleet.Store().CallCount();
  fleet.Store().SetFault(UserStoreFault::kUnavailable);
  fleet.Store().GoBack(Clock::now() - copied);
  std::this_thread::sleep_for(milliseconds(300));
  fleet.Store().SetFault(UserStoreFault::kNone);
  const TimePoint back = Clock::now();
  while (Clock::now() - back < seconds(3)) {
    CHECK(All(fleet, [&](auto aHost) {
      return StatusWithKey(fleet, aHost, "k1") == 200 && StatusWithKey(fleet, aHost, "k2") != 200;
    }));
  }
  CHECK(All(fleet, [&](auto aHost) { return KnowsEra(fleet, aHost, 1); }));
  CHECK(HostRow(fleet, 2) == departed);
  CHECK(fleet.TargetOf(2).StartedRequests().size() == requestsOfDeparted);
  // The bound of a start of all hosts in UserFleetTest.cpp: six calls for each host, and the calls
  // of the readers of the four data centres.
  const double elapsed = ToSeconds(Clock::now() - back) + 0.3;
  const double readerCalls = 4 * (elapsed / 0.7 + elapsed / 2.1 + elapsed / 0.5);
  CHECK(static_cast<double>(fleet.Store().CallCount() - calls) <
        static_cast<double>(fleet.Size()) * 6 + readerCalls);
  // The operator writes the same version again, with another text.
  auto document = UserDocument(2, { "k1", "k3" });
  fleet.Store().Put("op", "config", document.dump());
  CHECK(Eventually(
    [&] {
      return All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k3") == 200; });
    },
    seconds(3)));
}

// Guards against a withdrawn key that works again: processes that started after the store had gone
// back took its older document for the newest, though others held the newer one.
TEST_CASE("a process that starts after a rollback asks others for the document", "[rollback]")
{
  UserFleet fleet(4, false, true, 0, 1);
  REQUIRE(fleet.WaitReady());
  std::this_thread::sleep_for(milliseconds(500));
  const TimePoint copied = Clock::now();
  fleet.Store().Put("op", "config", UserDocument(2, { "k1" }).dump());
  REQUIRE(Eventually(
    [&] {
      return All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k2") == 401; });
    },
    seconds(3)));
  fleet.ProcessOf(1).Signal(SIGKILL);
  fleet.ProcessOf(3).Signal(SIGKILL);
  fleet.Store().GoBack(Clock::now() - copied);
  fleet.Restart(1);
  fleet.Restart(3);
  const TimePoint restarted = Clock::now();
  while (Clock::now() - restarted < seconds(4)) {
    CHECK(All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k2") != 200; }));
  }
  CHECK(All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k1") == 200; }));
  CHECK(All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k2") == 401; }));
}

// Guards against a host without a row in the copy that is forgotten by the others.
TEST_CASE("a host whose row is lost writes it again", "[rollback]")
{
  UserFleet fleet(4, false, true, 0, 0);
  REQUIRE(fleet.WaitReady());
  // Back to before the hosts wrote their rows, twice, the second time before they noticed.
  fleet.Store().GoBack(seconds(20));
  fleet.Store().GoBack(milliseconds(0));
  fleet.Store().Put("op", "config", UserDocument(1, { "k1", "k2" }).dump());
  CHECK(Eventually([&] { return fleet.Store().RowCount("quay_hosts") == 4; }, seconds(4)));
  CHECK(All(fleet, [&](auto aHost) { return KnowsEra(fleet, aHost, 2); }));
  std::this_thread::sleep_for(seconds(7));
  CHECK(fleet.Store().RowCount("quay_hosts") == 4);
  CHECK(All(fleet, [&](auto aHost) { return StatusWithKey(fleet, aHost, "k1") == 200; }));
}

// Guards against hosts that keep lost content because they can't reach the store, and against their
// feeding it to the hosts that can.
TEST_CASE("hosts that can't reach the store learn from others that it went back", "[rollback]")
{
  UserFleet fleet(8, /*aHasLinks=*/true, true, 0, 0);
  REQUIRE(fleet.WaitReady());
  // Hosts 0 to 3 are the first ones of the four data centres.
  for (std::size_t host = 0; host < 4; ++host) {
    fleet.LinksOf(host).SetFaults(true, R"({"cut": true})");
  }
  std::this_thread::sleep_for(milliseconds(500));
  const TimePoint copied = Clock::now();
  fleet.Store().Put("op", "config", UserDocument(2, { "k1" }).dump());
  std::this_thread::sleep_for(milliseconds(500));
  fleet.Store().GoBack(Clock::now() - copied);
  fleet.Store().Put("op", "config", UserDocument(2, { "k1", "k3" }).dump());
  CHECK(Eventually(
    [&] {
      return All(fleet, [&](auto aHost) {
        return KnowsEra(fleet, aHost, 1) && StatusWithKey(fleet, aHost, "k3") == 200 &&
               StatusWithKey(fleet, aHost, "k2") != 200;
      });
    },
    milliseconds(7500)));
}
