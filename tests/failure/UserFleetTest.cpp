// Tests of whole fleets on the stand-ins of the users' platform.
#include "tests/failure/UserFleet.h"

#include "peridotquay/process/LogTrace.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <atomic>
#include <csignal>

using namespace peridotquay;
using namespace peridotquay::testing;
using standins::UserStoreFault;

namespace {

bool Eventually(const std::function<bool()>& aCondition, Duration aTime)
{
  const TimePoint end = Clock::now() + aTime;
  while (Clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

} // namespace

// Guards against an adapter that doesn't serve: hosts that don't find each other, headers that name
// the wrong account or service, a key that reaches a target, and requests that run twice.
TEST_CASE("16 hosts find each other through the store and serve", "[users]")
{
  UserFleet fleet(16);
  REQUIRE(fleet.WaitReady());
  const std::uint64_t calls = fleet.Store().CallCount();
  std::atomic<int> served{ 0 };
  std::vector<std::thread> clients;
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    clients.emplace_back([&, host] {
      for (int i = 0; i < 60; ++i) {
        const std::string id = std::to_string(host) + "-" + std::to_string(i);
        const char* path = i % 3 == 0 ? "/write/1" : i % 3 == 1 ? "/read/1" : "/call/1";
        const auto reply = fleet.Ask(host, path, id, i % 3 == 2 ? "" : "k1");
        const bool whole = reply.status_ == 200 && reply.body_ == "answer to " + id;
        served += whole && reply.headers_.contains("x-response-signature") ? 1 : 0;
        std::this_thread::sleep_for(milliseconds(50));
      }
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  CHECK(served == 16 * 60);
  for (const auto& [id, count] : fleet.Runs()) {
    INFO(id);
    CHECK(count == 1);
  }
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    for (const auto& request : fleet.TargetOf(host).StartedRequests()) {
      CHECK_FALSE(FindHeader(request.headers_, "Authorization"));
      const std::string id(*FindHeader(request.headers_, "X-Request-Id"));
      const std::size_t origin = std::stoul(id);
      CHECK(*FindHeader(request.headers_, "X-Caller-Service") == "s" + std::to_string(origin % 2));
      const bool open = request.path_.starts_with("/call/");
      CHECK(FindHeader(request.headers_, "X-Tenant-Id").value_or("none") == (open ? "none" : "t1"));
    }
  }
  // A quiet host makes a proof of freshness every 2.8 s and two watches every 20 s.
  CHECK(fleet.Store().CallCount() - calls < 16 * 8);
}

// Guards against unknown routes and keys that are served, and known ones that are refused.
TEST_CASE("routes and keys follow the newest document", "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  CHECK(fleet.Ask(0, "/absent/1", "a").status_ == 404);
  CHECK(fleet.Ask(0, "/read/1", "b", "unknown").status_ == 401);
  CHECK(fleet.Ask(0, "/read/1", "c", "").status_ == 401);
  CHECK(fleet.Ask(0, "/read/1", "d", "k2").status_ == 200);
  auto document = UserDocument(5, { "k1" });
  document["routes"]["new"] = document["routes"]["read"];
  document["routes"]["new"]["prefix"] = "/new/";
  fleet.Store().Put("op", "config", document.dump());
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(Eventually([&] { return fleet.Ask(host, "/new/1", "e").status_ == 200; }, seconds(2)));
    CHECK(fleet.Ask(host, "/read/1", "f", "k2").status_ == 401);
  }
  // Neither an older document nor one that can't be read changes anything.
  fleet.Store().Put("op", "config", UserDocument(3, { "k1", "k2" }).dump());
  fleet.Store().Put("op", "config", "{\"version\":\"r9\",\"routes\":5}");
  std::this_thread::sleep_for(milliseconds(500));
  CHECK(fleet.Ask(1, "/new/1", "g").status_ == 200);
  CHECK(fleet.Ask(1, "/read/1", "h", "k2").status_ == 401);
  CHECK(fleet.Log(1).find("VersionRejected") != std::string::npos);
}

// Guards against a withdrawn key that works on at a host that the store doesn't answer, and against
// open routes that stop with it.
TEST_CASE("keyed routes stop when the store is silent, open ones go on", "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  fleet.Store().SetFault(UserStoreFault::kSilent);
  CHECK(fleet.Ask(0, "/read/1", "a").status_ == 200);
  std::this_thread::sleep_for(milliseconds(5100));
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(fleet.Ask(host, "/read/1", "b").status_ == 503);
    CHECK(fleet.Ask(host, "/call/1", "c", "").status_ == 200);
  }
  fleet.Store().SetFault(UserStoreFault::kNone);
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(Eventually([&] { return fleet.Ask(host, "/read/1", "d").status_ == 200; }, seconds(4)));
  }
}

// Guards against a target that gets new work after its host acknowledged that it leaves, also while
// the store is down.
TEST_CASE("a leaving target gets no new work", "[users]")
{
  UserFleet fleet(8);
  REQUIRE(fleet.WaitReady());
  fleet.Store().SetFault(UserStoreFault::kUnavailable);
  fleet.TargetOf(0).SetDraining();
  REQUIRE(Eventually([&] { return fleet.Log(0).find("TargetDraining") != std::string::npos; },
                     seconds(2)));
  const std::size_t before = fleet.TargetOf(0).StartedRequests().size();
  for (int i = 0; i < 40; ++i) {
    CHECK(fleet.Ask(static_cast<std::size_t>(i) % 8, "/read/1", std::to_string(i)).status_ == 200);
  }
  CHECK(fleet.TargetOf(0).StartedRequests().size() == before);
}

// Guards against requests that a planned stop or a reload cuts, and against a host that says it is
// ready while it leaves.
TEST_CASE("SIGTERM and SIGHUP cut no request", "[users]")
{
  UserFleet fleet(8);
  REQUIRE(fleet.WaitReady());
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    fleet.TargetOf(host).SetServiceTime(milliseconds(300));
  }
  std::atomic<bool> ending{ false };
  std::atomic<int> lost{ 0 };
  std::atomic<int> asked{ 0 };
  std::vector<std::thread> clients;
  for (std::size_t host = 0; host < 4; ++host) {
    clients.emplace_back([&, host] {
      for (int i = 0; !ending; ++i) {
        const std::string id = std::to_string(host) + "-" + std::to_string(i);
        // The clients of the host that stops leave once it isn't ready.
        const std::size_t at = host == 0 && i > 3 ? 4 : host;
        const auto status = fleet.Ask(at, i % 2 == 0 ? "/write/1" : "/read/1", id).status_;
        lost += status == 200 ? 0 : 1;
        ++asked;
      }
    });
  }
  std::this_thread::sleep_for(milliseconds(700));
  fleet.ProcessOf(1).Signal(SIGHUP);
  fleet.ProcessOf(0).Signal(SIGTERM);
  CHECK(Eventually([&] { return fleet.Ready(0) != 200; }, seconds(1)));
  CHECK(fleet.ProcessOf(0).Wait(6) == 0);
  std::this_thread::sleep_for(milliseconds(500));
  ending = true;
  for (auto& client : clients) {
    client.join();
  }
  CHECK(asked > 20);
  CHECK(lost == 0);
  CHECK(fleet.Log(1).find("SettingsReloaded") != std::string::npos);
  for (const auto& [id, count] : fleet.Runs()) {
    INFO(id);
    CHECK((count == 1 || id.back() % 2 == 1));
  }
}

// Guards against a request that runs twice, or a refusal that isn't true, when answers are lost.
TEST_CASE("lost answers of targets lead to no second run of a write", "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    fleet.TargetOf(host).LoseOneAnswerIn(3);
  }
  std::map<std::string, unsigned> status;
  std::vector<std::thread> clients;
  std::mutex mutex;
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    clients.emplace_back([&, host] {
      for (int i = 0; i < 4; ++i) {
        const std::string id = std::to_string(host) + "-" + std::to_string(i);
        const unsigned answer = fleet.Ask(host, "/write/1", id).status_;
        const std::lock_guard lock(mutex);
        status[id] = answer;
      }
    });
  }
  for (auto& client : clients) {
    client.join();
  }
  const auto runs = fleet.Runs();
  for (const auto& [id, answer] : status) {
    INFO(id << " " << answer);
    const auto ran = runs.find(id);
    CHECK((ran == runs.end() || ran->second == 1));
    CHECK((answer != 503 || ran == runs.end()));
  }
}

// Guards against a walk-through of docs/OPERATIONS.md whose lines no host writes: a refusal, an
// answer of unknown outcome and a refusal during an outage of the store are found by the request's
// id.
TEST_CASE("a failed request is explained by the logs of its hosts", "[users]")
{
  UserFleet fleet(4);
  REQUIRE(fleet.WaitReady());
  const auto trace = [&](const std::string& aId) {
    std::string log;
    for (std::size_t host = 0; host < fleet.Size(); ++host) {
      log += fleet.Log(host);
    }
    std::string text;
    for (const auto& line : TraceLines(log, aId)) {
      text += line + "\n";
    }
    return text;
  };
  const auto explains = [&](const std::string& aId, const std::vector<std::string>& aParts) {
    return Eventually(
      [&] {
        const std::string text = trace(aId);
        return std::all_of(aParts.begin(), aParts.end(), [&](const std::string& aPart) {
          return text.find(aPart) != std::string::npos;
        });
      },
      seconds(2));
  };
  CHECK(fleet.Ask(0, "/read/1", "refused", "unknown").status_ == 401);
  CHECK(explains("refused", { "RequestRefused", "reason=unknown-key", "version=1", "fresh_ms=" }));
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    fleet.TargetOf(host).LoseOneAnswerIn(1);
  }
  CHECK(fleet.Ask(0, "/write/1", "unknown").status_ == 504);
  CHECK(explains("unknown",
                 { "CallEnded", "target=i-h", "RequestEnded", "outcome=unknown", "queue_ms=" }));
  fleet.Store().SetFault(UserStoreFault::kUnavailable);
  std::this_thread::sleep_for(milliseconds(5100));
  CHECK(fleet.Ask(0, "/read/1", "outage").status_ == 503);
  CHECK(explains("outage", { "RequestRefused", "reason=configuration-not-fresh" }));
  CHECK(fleet.Log(0).find("PlatformUnreachable") != std::string::npos);
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(fleet.Log(host).find("Token") == std::string::npos);
  }
}

// Guards against calls of the store that grow with the hosts, and against followers that learn of
// nothing once the host that reads for them is gone or can't reach the store.
TEST_CASE("one host of a data centre reads the store for the others", "[users]")
{
  UserFleet fleet(16);
  REQUIRE(fleet.WaitReady());
  const auto followed = [&](std::size_t aHost) {
    return fleet.Log(aHost).find("StoreFeedFollowed") != std::string::npos;
  };
  // Hosts 4 to 15 have an earlier one in their data centre, by name: h10 to h15 are before h2.
  REQUIRE(Eventually(
    [&] {
      std::size_t followers = 0;
      for (std::size_t host = 0; host < fleet.Size(); ++host) {
        followers += followed(host) ? 1 : 0;
      }
      return followers == 12;
    },
    seconds(5)));
  // Open watches end with the next change.
  fleet.Store().Put("op", "config", UserDocument(2, { "k1", "k2" }).dump());
  std::this_thread::sleep_for(milliseconds(500));
  const std::uint64_t calls = fleet.Store().CallCount();
  auto document = UserDocument(3, { "k1" });
  fleet.Store().Put("op", "config", document.dump());
  const auto refused = [&](std::size_t aHost) {
    return Eventually([&] { return fleet.Ask(aHost, "/read/1", "a", "k2").status_ == 401; },
                      seconds(1));
  };
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    INFO("host " << host);
    CHECK(refused(host));
  }
  // Four readers take the change and prove it.
  CHECK(fleet.Store().CallCount() - calls < 4 * 8);
  for (const std::size_t reader : { 0, 1, 10, 11 }) {
    CHECK_FALSE(followed(reader));
    fleet.ProcessOf(reader).Signal(SIGSTOP);
  }
  document = UserDocument(4, {});
  fleet.Store().Put("op", "config", document.dump());
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    const bool reader = host < 2 || host == 10 || host == 11;
    INFO("host " << host);
    CHECK((reader || Eventually([&] { return fleet.Ask(host, "/read/1", "b").status_ == 401; },
                                milliseconds(2500))));
  }
  for (const std::size_t reader : { 0, 1, 10, 11 }) {
    fleet.ProcessOf(reader).Signal(SIGCONT);
  }
}

// Guards against hosts that begin to read for themselves without a watch: they would find a change
// only with their next proof, up to 2.8 s later.
TEST_CASE("hosts that lost their reader learn of changes at once", "[users]")
{
  UserFleet fleet(16);
  REQUIRE(fleet.WaitReady());
  // By name, h0, h1, h10 and h11 are the first hosts of the four data centres.
  const std::vector<std::size_t> readers{ 0, 1, 10, 11 };
  std::this_thread::sleep_for(seconds(2));
  for (const std::size_t reader : readers) {
    fleet.ProcessOf(reader).Signal(SIGSTOP);
  }
  // The watches that are still open end with this change, before the hosts read for themselves.
  fleet.Store().Put("op", "config", UserDocument(2, { "k1", "k2" }).dump());
  std::this_thread::sleep_for(milliseconds(1900));
  fleet.Store().Put("op", "config", UserDocument(3, {}).dump());
  const TimePoint changed = Clock::now();
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    const bool reader = std::find(readers.begin(), readers.end(), host) != readers.end();
    INFO("host " << host);
    CHECK((reader || Eventually([&] { return fleet.Ask(host, "/read/1", "a").status_ == 401; },
                                milliseconds(1000))));
  }
  CHECK(Clock::now() - changed < milliseconds(1500));
  for (const std::size_t reader : readers) {
    fleet.ProcessOf(reader).Signal(SIGCONT);
  }
}

// Guards against transfers of the document with every proof while other rows of the store change:
// documents of many routes fill the link between regions, and changes come too late.
TEST_CASE("rows of other tables cause no transfer of the document with each proof", "[users]")
{
  UserFleet fleet(8);
  REQUIRE(fleet.WaitReady());
  std::this_thread::sleep_for(seconds(2));
  const std::uint64_t reads = fleet.Store().DocumentReads();
  for (int i = 0; i < 80; ++i) {
    fleet.Store().Put("other", "row", std::to_string(i));
    std::this_thread::sleep_for(milliseconds(50));
  }
  // Four readers prove every 0.7 s; each transfers the document about every 2.1 s.
  CHECK(fleet.Store().DocumentReads() - reads <= 4 * 3);
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(fleet.Ask(host, "/read/1", "a").status_ == 200);
  }
}

// Guards against hosts that don't come back when all of them lost everything at once, and against a
// second row for one host when the store loses answers.
TEST_CASE("all hosts restart at once while answers of the store are lost", "[users]")
{
  UserFleet fleet(8);
  REQUIRE(fleet.WaitReady());
  fleet.Store().SetFault(UserStoreFault::kLoseWriteAnswers);
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    fleet.ProcessOf(host).Signal(SIGKILL);
  }
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    fleet.Restart(host);
  }
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(Eventually([&] { return fleet.Ask(host, "/read/1", "a").status_ == 200; }, seconds(5)));
  }
  fleet.Store().SetFault(UserStoreFault::kNone);
  fleet.Store().Compact();
  CHECK(
    Eventually([&] { return fleet.Store().RowCount("quay_hosts") == fleet.Size(); }, seconds(3)));
  fleet.Store().Put("op", "config", UserDocument(9, { "k2" }).dump());
  for (std::size_t host = 0; host < fleet.Size(); ++host) {
    CHECK(
      Eventually([&] { return fleet.Ask(host, "/read/1", "b", "k2").status_ == 200; }, seconds(3)));
    CHECK(
      Eventually([&] { return fleet.Ask(host, "/read/1", "c", "k1").status_ == 401; }, seconds(3)));
  }
}
