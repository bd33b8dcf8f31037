// Tests of evacuated data centres, allowed regions and cold targets with real processes.
#include "tests/failure/SteadyClients.h"
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <vector>

using namespace peridotquay;
using namespace peridotquay::testing;
using standins::UserStoreFault;

namespace {

/// Requests that the targets of these hosts started.
std::size_t StartedAt(UserFleet& aFleet, const std::vector<std::size_t>& aHosts)
{
  std::size_t started = 0;
  for (const std::size_t host : aHosts) {
    started += aFleet.TargetOf(host).StartedRequests().size();
  }
  return started;
}

/// Sends requests of service s0 through each host in turn and returns how many were served.
int ServeFromAll(UserFleet& aFleet, const std::string& aName, int aPerHost)
{
  int served = 0;
  for (std::size_t host = 0; host < aFleet.Size(); ++host) {
    for (int i = 0; i < aPerHost; ++i) {
      const std::string id = aName + std::to_string(host) + "-" + std::to_string(i);
      served += aFleet.SendRequest(host, "/read/1", id).status_ == 200 ? 1 : 0;
    }
  }
  return served;
}

} // namespace

// Guards against hosts that go on sending requests to an evacuated data centre although watches
// miss the order, against a host that starts without knowing it, and against one that never
// returns.
TEST_CASE("an evacuated data centre gets no requests until it returns", "[users][evacuation]")
{
  for (const UserStoreFault fault : { UserStoreFault::kNone, UserStoreFault::kDeafWatches }) {
    INFO("fault " << static_cast<int>(fault));
    UserFleet fleet(8, false, true, 0, std::nullopt, "evacuations = true\n");
    REQUIRE(fleet.WaitReady());
    fleet.Store().SetFault(fault);
    const std::vector<std::size_t> evacuated{ 2, 6 };
    CHECK(ServeFromAll(fleet, "before", 10) == 80);
    CHECK(StartedAt(fleet, evacuated) > 0);
    // Host 0 restarts meanwhile.
    const SteadyClients clients(fleet, { 1, 2, 3, 4, 5, 6, 7 }, milliseconds(20));
    std::this_thread::sleep_for(milliseconds(500));
    fleet.Store().Put("op", "evacuate/d2", "x");
    const TimePoint inForceAt = Clock::now() + milliseconds(5000);
    std::this_thread::sleep_for(milliseconds(5000));
    CHECK(ServeFromAll(fleet, "during", 10) == 80);
    fleet.Restart(0);
    REQUIRE(fleet.WaitReady());
    CHECK(ServeFromAll(fleet, "restarted", 10) == 80);
    std::this_thread::sleep_for(milliseconds(1000));
    const auto startedInForce = [&] {
      std::size_t started = 0;
      for (const std::size_t host : evacuated) {
        const std::vector<TimePoint> starts = fleet.TargetOf(host).StartTimes();
        started += static_cast<std::size_t>(std::count_if(
          starts.begin(), starts.end(), [&](TimePoint aAt) { return aAt > inForceAt; }));
      }
      return started;
    };
    CHECK(startedInForce() == 0);
    CHECK(fleet.Log(1).find("name=DataCentreEvacuated") != std::string::npos);
    fleet.Store().Remove("op", "evacuate/d2");
    std::this_thread::sleep_for(milliseconds(5000));
    CHECK(ServeFromAll(fleet, "after", 10) == 80);
    CHECK(startedInForce() > 0);
    CHECK(clients.Sent() > 1000);
    CHECK(clients.Served() >= clients.Sent() * 99 / 100);
  }
}

// Guards against requests that reach a region which the operator doesn't allow, and against a
// refusal without a hint.
TEST_CASE("a request without a target in its allowed regions is refused", "[users][evacuation]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  nlohmann::json document = UserDocument(2, { "k1" });
  // The targets of the route's service are in region r0.
  document["routes"]["read"]["allowed_regions"] = { "r0", "r1" };
  document["tenants"]["t1"]["allowed_regions"] = { "r1" };
  fleet.Store().Put("op", "config", document.dump());
  std::this_thread::sleep_for(milliseconds(3000));
  const std::size_t started = StartedAt(fleet, { 0, 2 });
  const auto reply = fleet.SendRequest(0, "/read/1", "refused");
  CHECK(reply.status_ == 503);
  CHECK(reply.headers_.contains("retry-after"));
  CHECK(ServeFromAll(fleet, "refused", 2) == 0);
  CHECK(StartedAt(fleet, { 0, 2 }) == started);
  document["version"] = "r3";
  document["tenants"]["t1"]["allowed_regions"] = { "r0" };
  fleet.Store().Put("op", "config", document.dump());
  std::this_thread::sleep_for(milliseconds(3000));
  CHECK(ServeFromAll(fleet, "allowed", 2) == 8);
}

// Guards against a cold target that many hosts together send more than it tolerates, also through
// the restart of its own host, and against a limit that outlasts the cold start.
TEST_CASE("many hosts send a cold target no more than it tolerates", "[users][cold]")
{
  UserFleet fleet(8);
  REQUIRE(fleet.WaitReady());
  constexpr double kTolerated = 6;
  nlohmann::json document = UserDocument(2, { "k1" });
  document["services"]["s0"] = { { "cold_start_s", 10 }, { "cold_per_s", kTolerated } };
  fleet.TargetOf(0).SetColdRemaining(seconds(10));
  fleet.Store().Put("op", "config", document.dump());
  std::this_thread::sleep_for(milliseconds(3000));
  const std::size_t before = fleet.TargetOf(0).StartTimes().size();
  const auto startsInColdTime = [&] {
    const std::vector<TimePoint> all = fleet.TargetOf(0).StartTimes();
    return std::vector<TimePoint>(all.begin() + static_cast<std::ptrdiff_t>(before), all.end());
  };
  {
    const SteadyClients clients(fleet, { 0, 1, 2, 3, 4, 5, 6, 7 }, milliseconds(10));
    std::this_thread::sleep_for(milliseconds(4000));
    fleet.Restart(0);
    std::this_thread::sleep_for(milliseconds(4000));
  }
  const std::vector<TimePoint> starts = startsInColdTime();
  // 0.9 times the tolerated rate are 43 in 8 s, less the time without the host that restarts.
  CHECK(starts.size() >= 30);
  for (auto first = starts.begin(); first != starts.end(); ++first) {
    const auto last = std::upper_bound(first, starts.end(), *first + seconds(1));
    REQUIRE(static_cast<double>(last - first) <= kTolerated * 1.5 + 8);
  }
  fleet.TargetOf(0).SetColdRemaining({});
  std::this_thread::sleep_for(milliseconds(1500));
  const std::size_t cold = fleet.TargetOf(0).StartTimes().size();
  {
    const SteadyClients clients(fleet, { 0, 1, 2, 3, 4, 5, 6, 7 }, milliseconds(10));
    std::this_thread::sleep_for(milliseconds(2000));
  }
  // The limit would start at most 1.125 times the tolerated rate and one more.
  const auto started = static_cast<double>(fleet.TargetOf(0).StartTimes().size() - cold);
  CHECK(started > 2 * 1.125 * kTolerated + 1);
  CHECK(fleet.Log(0).find("name=TargetCold target=i-h0 per_s=") != std::string::npos);
  const std::string log = fleet.Log(0);
  bool hasEnd = false;
  for (std::size_t at = log.find("name=TargetCold"); at != std::string::npos;
       at = log.find("name=TargetCold", at + 1)) {
    const std::string line = log.substr(at, log.find('\n', at) - at);
    hasEnd = hasEnd || line.find(" per_s=none") != std::string::npos;
  }
  CHECK(hasEnd);
}
