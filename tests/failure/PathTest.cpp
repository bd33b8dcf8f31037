// Tests of the call path over real sockets, with in-process nodes and scripted targets.
#include "tests/failure/PathFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

std::string EchoRequest(const ReceivedRequest& aRequest)
{
  return MakeHttpResponse(200, aRequest.line_ + "|" + aRequest.body_, "X-Target: yes\r\n");
}

// Waits up to 3 s for a condition. Returns false on timeout.
bool WaitFor(const std::function<bool()>& aCondition)
{
  for (int i = 0; i < 600; ++i) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(5));
  }
  return false;
}

/// A new request id.
std::string IssueId(Caller& aCaller, const std::string& aKeyHeader)
{
  const auto issued = aCaller.SendRequest("POST", "/quay/request-ids", aKeyHeader);
  const auto start = issued.body_.find('"', issued.body_.find('[')) + 1;
  return issued.body_.substr(start, issued.body_.find('"', start) - start);
}

} // namespace

// Guards against responses that are truncated, mixed up between calls or altered on their way
// through two hosts.
TEST_CASE("1,000 requests through two hosts return unaltered responses", "[path]")
{
  ScriptedTarget target(EchoRequest);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  std::atomic<int> unaltered{ 0 };
  std::vector<std::thread> callers;
  std::vector<std::vector<double>> latencies(4);
  for (int c = 0; c < 4; ++c) {
    callers.emplace_back([&, c] {
      std::mt19937 random(static_cast<unsigned>(100 + c));
      Caller caller(first.node_->Ports().callers_);
      for (int i = 0; i < 250; ++i) {
        std::string body(random() % (i % 50 == 0 ? 300000 : 2000), '\0');
        std::generate(body.begin(), body.end(), [&] { return static_cast<char>(random()); });
        const std::string path = "/bells/" + std::to_string(c) + "/" + std::to_string(i);
        const auto answer =
          caller.SendRequest("POST", path, "Quay-Key: " + kTestKey + "\r\n", body);
        if (answer.status_ == 200 && answer.Outcome() == "ran" &&
            answer.body_ == "POST " + path + "|" + body) {
          ++unaltered;
        }
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(unaltered == 1000);
  // Callers' keys must not reach targets.
  for (const auto& seen : target.ReceivedRequests()) {
    CHECK(seen.head_.find(kTestKey) == std::string::npos);
    CHECK(HeaderValue(seen.head_, "Quay-Client-Account") == "acc");
    CHECK(HeaderValue(seen.head_, "Quay-Call").size() == 32);
  }
}

// Guards against refusals whose status, outcome or error type differs from the documented one.
TEST_CASE("refusals have the documented status and say 'not run'", "[path]")
{
  ScriptedTarget target(EchoRequest);
  RunningNode node(TestSettings("only", "bell", target.Port()));
  {
    Caller early(node.node_->Ports().callers_);
    const auto answer = early.SendRequest("GET", "/bells");
    CHECK(answer.status_ == 503);
    CHECK(answer.body_.find("configuration-not-fresh") != std::string::npos);
  }
  Publish({ &node }, { &node });
  struct Case
  {
    std::string path_;
    std::string headers_;
    int status_;
    std::string type_;
  };
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  const std::vector<Case> cases = {
    { "/bells", "", 401, "missing-key" },
    { "/bells", "Quay-Key: wrong\r\n", 401, "unknown-key" },
    { "/private", key, 403, "route-not-allowed" },
    { "/bellsx", key, 404, "no-route" },
    { "/deep", key, 503, "no-target" },
    { "/bells", key + "Quay-Deadline-Ms: x\r\n", 400, "malformed-request" },
    { "/bells", key + "Quay-Deadline-Ms: 0\r\n", 400, "malformed-request" },
    { "/bells", key + "Quay-Importance: most\r\n", 400, "malformed-request" },
    { "/bells", key + "Quay-Retry-Budget: -1\r\n", 400, "malformed-request" },
    { "/deposits", key + "Quay-Request-Id: nonsense\r\n", 400, "bad-request-id" },
  };
  Caller caller(node.node_->Ports().callers_);
  for (const auto& item : cases) {
    INFO(item.path_ << " " << item.headers_);
    const auto answer = caller.SendRequest("GET", item.path_, item.headers_);
    CHECK(answer.status_ == item.status_);
    CHECK(answer.Outcome() == "not-run");
    CHECK(answer.body_.find("\"type\":\"" + item.type_ + "\"") != std::string::npos);
  }
  CHECK(target.ReceivedRequests().empty());
  CHECK(caller.SendRequest("GET", "/open", "").status_ == 200);
  node.control_->grantsTokens_ = false;
  const auto rateLimited = caller.SendRequest("GET", "/bells");
  CHECK(rateLimited.status_ == 429);
  CHECK_FALSE(HeaderValue(rateLimited.head_, "Quay-Retry-After-Ms").empty());
}

// Guards against a withdrawn key that is still accepted on a connection opened before the
// withdrawal.
TEST_CASE("a withdrawn key is refused on an open connection", "[path]")
{
  ScriptedTarget target(EchoRequest);
  RunningNode node(TestSettings("only", "bell", target.Port()));
  Publish({ &node }, { &node });
  Caller caller(node.node_->Ports().callers_);
  CHECK(caller.SendRequest("GET", "/bells").status_ == 200);
  auto configWithoutKey = TestConfig();
  configWithoutKey->version_ = 2;
  configWithoutKey->keys_.clear();
  Publish({ &node }, { &node }, configWithoutKey);
  CHECK(WaitFor([&] { return caller.SendRequest("GET", "/bells").status_ == 401; }));
  // An older version that arrives late must not restore the key.
  Publish({ &node }, { &node });
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(caller.SendRequest("GET", "/bells").status_ == 401);
}

// Guards against a truncated response that is passed on as complete, and against a second run of a
// request that must run at most once.
TEST_CASE("a truncated response is never passed on and its outcome is unknown", "[path]")
{
  const std::string truncated = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
  std::atomic<int> runs{ 0 };
  ScriptedTarget broken([&](const ReceivedRequest& aRequest) -> std::string {
    ++runs;
    static_cast<void>(aRequest);
    return truncated + std::string();
  });
  ScriptedTarget sound(EchoRequest);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode left(TestSettings("left", "bell", broken.Port()));
  RunningNode right(TestSettings("right", "bell", sound.Port()));
  Publish({ &first, &left, &right }, { &left, &right });
  Caller caller(first.node_->Ports().callers_);
  static_cast<void>(runs);
  // The target leaves the connection open after the truncated response, so the deadline ends the
  // wait.
  for (int i = 0; i < 4; ++i) {
    const auto answer = caller.SendRequest(
      "POST", "/deposits/1", "Quay-Key: " + kTestKey + "\r\nQuay-Deadline-Ms: 200\r\n", "x");
    if (answer.status_ == 200) {
      CHECK(answer.body_ == "POST /deposits/1|x");
    } else {
      CHECK(answer.status_ == 504);
      CHECK(answer.Outcome() == "unknown");
      CHECK(answer.body_.find("abc") == std::string::npos);
    }
  }
  CHECK(broken.ReceivedRequests().size() + sound.ReceivedRequests().size() == 4);
}

// Guards against a missing retry after the target reported "not-run", and against more attempts
// than the retry budget allows.
TEST_CASE("refusals by a target are retried at another target within the budget", "[path]")
{
  ScriptedTarget busy(
    [](const ReceivedRequest&) { return MakeHttpResponse(503, "", "Quay-Outcome: not-run\r\n"); });
  ScriptedTarget sound(EchoRequest);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode left(TestSettings("left", "bell", busy.Port()));
  RunningNode right(TestSettings("right", "bell", sound.Port()));
  Publish({ &first, &left, &right }, { &left, &right });
  Caller caller(first.node_->Ports().callers_);
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  for (int i = 0; i < 10; ++i) {
    const auto answer = caller.SendRequest("POST", "/deposits", key, "x");
    CHECK(answer.status_ == 200);
  }
  Publish({ &first, &left, &right }, { &left });
  std::this_thread::sleep_for(milliseconds(20));
  const auto before = busy.ReceivedRequests().size();
  const auto answer = caller.SendRequest("POST", "/bells", key + "Quay-Retry-Budget: 0\r\n", "x");
  CHECK(answer.status_ == 503);
  CHECK(answer.Outcome() == "not-run");
  CHECK(busy.ReceivedRequests().size() == before + 1);
}

// Guards against nested calls that lose the client account or the deadline, and against routes with
// keys that accept nested calls without a valid call context.
TEST_CASE("nested calls carry the context of the call that they serve", "[path]")
{
  ScriptedTarget archive(EchoRequest);
  std::atomic<std::uint16_t> outbound{ 0 };
  ScriptedTarget front([&](const ReceivedRequest& aRequest) {
    Caller nested(outbound);
    const std::string token = HeaderValue(aRequest.head_, "Quay-Call");
    const auto withToken =
      nested.SendRequest("POST", "/deep", "Quay-Call: " + token + "\r\n", "inner");
    const auto withoutToken = nested.SendRequest("POST", "/deep", "", "inner");
    const auto wrongToken =
      nested.SendRequest("POST", "/deep", "Quay-Call: " + std::string(32, '0') + "\r\n", "inner");
    return MakeHttpResponse(200,
                            std::to_string(withToken.status_) + "|" + withToken.body_ + "|" +
                              std::to_string(withoutToken.status_) + "|" +
                              std::to_string(wrongToken.status_));
  });
  RunningNode first(TestSettings("first", "bell", front.Port()));
  RunningNode second(TestSettings("second", "archive", archive.Port()));
  outbound = first.node_->Ports().outbound_;
  Publish({ &first, &second }, { &first, &second });
  Caller caller(first.node_->Ports().callers_);
  const auto answer = caller.SendRequest("GET", "/bells");
  CHECK(answer.body_ == "200|POST /deep|inner|401|401");
  REQUIRE(archive.ReceivedRequests().size() == 1);
  CHECK(HeaderValue(archive.ReceivedRequests()[0].head_, "Quay-Client-Account") == "acc");
  CHECK(std::stoi(HeaderValue(archive.ReceivedRequests()[0].head_, "Quay-Deadline-Ms")) <= 2000);
}

// Guards against a second run of a request id that is repeated concurrently at the issuing host and
// at another host.
TEST_CASE("a request id runs once and repeats get the same response", "[path]")
{
  std::atomic<int> runs{ 0 };
  ScriptedTarget target([&](const ReceivedRequest& aRequest) {
    std::this_thread::sleep_for(milliseconds(50));
    return MakeHttpResponse(201, "run " + std::to_string(++runs) + aRequest.body_);
  });
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  Caller caller(first.node_->Ports().callers_);
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  CHECK(caller.SendRequest("POST", "/quay/request-ids", "").status_ == 401);
  const auto issued = caller.SendRequest("POST", "/quay/request-ids?count=2", key);
  REQUIRE(issued.status_ == 200);
  const auto start = issued.body_.find('"', issued.body_.find('[')) + 1;
  const std::string id = issued.body_.substr(start, issued.body_.find('"', start) - start);
  const std::string headers = key + "Quay-Request-Id: " + id + "\r\n";
  std::vector<std::thread> threads;
  std::mutex mutex;
  std::vector<std::string> answers;
  for (int i = 0; i < 6; ++i) {
    threads.emplace_back([&, i] {
      Caller repeat((i % 2 == 0 ? first : second).node_->Ports().callers_);
      const auto answer = repeat.SendRequest("POST", "/deposits", headers, "!");
      const std::lock_guard lock(mutex);
      answers.push_back(std::to_string(answer.status_) + answer.body_ + answer.Outcome());
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  CHECK(runs == 1);
  for (const auto& answer : answers) {
    CHECK(answer == "201run 1!ran");
  }
  CHECK(caller.SendRequest("POST", "/deposits", headers, "another body").status_ == 400);
  const auto forged = headers.substr(0, headers.size() - 4) + "zz\r\n";
  CHECK(caller.SendRequest("POST", "/deposits", forged, "!").status_ == 400);
  // A request id of a host that no longer exists may have run.
  const auto gone = caller.SendRequest(
    "POST", "/deposits", key + "Quay-Request-Id: gone.1.1." + std::string(32, 'a') + "\r\n", "!");
  CHECK(gone.status_ == 504);
  CHECK(gone.Outcome() == "unknown");
  CHECK(runs == 1);
}

// Guards against "not run" for the repeat of a request that ran, when its host can't tell any more
// whether the key or the route still holds.
TEST_CASE("a repeat of a request that ran is never refused as not run", "[path]")
{
  ScriptedTarget target(EchoRequest);
  RunningNode owner(TestSettings("owner", "bell", target.Port()));
  RunningNode other(TestSettings("other", "front", 1));
  Publish({ &owner, &other }, { &owner });
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  Caller caller(owner.node_->Ports().callers_);
  Caller otherCaller(other.node_->Ports().callers_);
  const std::string used = key + "Quay-Request-Id: " + IssueId(caller, key) + "\r\n";
  const std::string unused = key + "Quay-Request-Id: " + IssueId(caller, key) + "\r\n";
  const auto first = caller.SendRequest("POST", "/deposits", used, "!");
  REQUIRE(first.Outcome() == "ran");
  const auto publish = [&](const std::function<void(Config&)>& aChange) {
    auto config = TestConfig();
    config->version_ = 2;
    aChange(*config);
    owner.control_->callbacks_.publishConfig_(config);
    other.control_->callbacks_.publishConfig_(config);
  };
  SECTION("the configuration isn't fresh")
  {
    publish([](Config& aConfig) { aConfig.policy_.keyFreshnessBound_ = Duration::min(); });
    const auto repeat = caller.SendRequest("POST", "/deposits", used, "!");
    CHECK(repeat.Outcome() == "ran");
    CHECK(repeat.body_ == first.body_);
    const auto refused = caller.SendRequest("POST", "/deposits", unused, "!");
    CHECK(refused.status_ == 503);
    CHECK(refused.Outcome() == "not-run");
    CHECK(otherCaller.SendRequest("POST", "/deposits", used, "!").Outcome() == "unknown");
  }
  SECTION("the key was withdrawn")
  {
    publish([](Config& aConfig) { aConfig.keys_.clear(); });
    CHECK(caller.SendRequest("POST", "/deposits", used, "!").Outcome() == "unknown");
    CHECK(caller.SendRequest("POST", "/deposits", unused, "!").status_ == 401);
    CHECK(otherCaller.SendRequest("POST", "/deposits", used, "!").Outcome() == "unknown");
  }
  SECTION("the route was removed")
  {
    publish([](Config& aConfig) { aConfig.routes_.clear(); });
    CHECK(caller.SendRequest("POST", "/deposits", used, "!").Outcome() == "unknown");
    CHECK(caller.SendRequest("POST", "/deposits", unused, "!").status_ == 404);
  }
  SECTION("the route was removed at the owner of the id only")
  {
    auto config = TestConfig();
    config->version_ = 2;
    config->routes_.clear();
    owner.control_->callbacks_.publishConfig_(config);
    CHECK(otherCaller.SendRequest("POST", "/deposits", used, "!").Outcome() == "unknown");
  }
  CHECK(target.ReceivedRequests().size() == 1);
}

// Guards against a process that ends because another host forwarded a request of a client account
// that its own configuration doesn't have, since versions reach hosts at different times.
TEST_CASE("a forwarded request of an unknown account is refused as not run", "[path]")
{
  ScriptedTarget target(EchoRequest);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode owner(TestSettings("owner", "bell", target.Port()));
  Publish({ &first, &owner }, { &owner });
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  Caller ownerCaller(owner.node_->Ports().callers_);
  const std::string headers = key + "Quay-Request-Id: " + IssueId(ownerCaller, key) + "\r\n";
  auto withoutAccount = TestConfig();
  withoutAccount->version_ = 2;
  withoutAccount->clientAccounts_.clear();
  withoutAccount->keys_.clear();
  owner.control_->callbacks_.publishConfig_(withoutAccount);
  Caller caller(first.node_->Ports().callers_);
  const auto refused = caller.SendRequest("POST", "/deposits", headers, "!");
  CHECK(refused.status_ == 503);
  CHECK(refused.Outcome() == "not-run");
  CHECK(target.ReceivedRequests().empty());
  // Once the owner knows the account, the same id may run.
  auto withAccount = TestConfig();
  withAccount->version_ = 3;
  owner.control_->callbacks_.publishConfig_(withAccount);
  const auto answer = caller.SendRequest("POST", "/deposits", headers, "!");
  CHECK(answer.status_ == 200);
  CHECK(answer.Outcome() == "ran");
  CHECK(target.ReceivedRequests().size() == 1);
}

// Guards against a drain that aborts requests in flight, accepts new ones, or loses the records of
// request ids.
TEST_CASE("a draining node finishes its calls and hands its records to a successor", "[path]")
{
  std::atomic<int> runs{ 0 };
  ScriptedTarget target([&](const ReceivedRequest&) {
    std::this_thread::sleep_for(milliseconds(300));
    return MakeHttpResponse(200, "run " + std::to_string(++runs));
  });
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  Caller caller(first.node_->Ports().callers_);
  const std::string headers = key + "Quay-Request-Id: " + IssueId(caller, key) + "\r\n";
  REQUIRE(caller.SendRequest("POST", "/deposits", headers).body_ == "run 1");

  ReceivedResponse inFlight;
  std::thread slow([&] { inFlight = caller.SendRequest("GET", "/bells"); });
  std::this_thread::sleep_for(milliseconds(100));
  Caller late(first.node_->Ports().callers_);
  first.node_->Drain();
  std::this_thread::sleep_for(milliseconds(50));
  const auto refused = late.SendRequest("GET", "/bells");
  CHECK(refused.status_ == 503);
  CHECK(refused.Outcome() == "not-run");
  slow.join();
  CHECK(inFlight.status_ == 200);
  CHECK(inFlight.body_ == "run 2");
  REQUIRE(WaitFor([&] { return first.control_->hasAnnouncedLeft_.load(); }));
  CHECK(first.control_->successor_ == "second");
  // The successor has the record, and the tombstone directs other hosts to it.
  Caller other(second.node_->Ports().callers_);
  ReceivedResponse repeat;
  CHECK(WaitFor([&] {
    repeat = other.SendRequest("POST", "/deposits", headers);
    return repeat.status_ == 200;
  }));
  CHECK(repeat.body_ == "run 1");
  CHECK(runs == 2);
}

// Guards against calls that a draining node repeats at another target, which works on them when the
// drain ends.
TEST_CASE("a refused call isn't repeated if a drain may end before it", "[path][drain]")
{
  ScriptedTarget refusing([](const ReceivedRequest&) {
    std::this_thread::sleep_for(milliseconds(400));
    return MakeHttpResponse(503, "", "Quay-Outcome: not-run\r\n");
  });
  ScriptedTarget slow([](const ReceivedRequest&) {
    std::this_thread::sleep_for(milliseconds(1000));
    return MakeHttpResponse(200, "");
  });
  NodeSettings settings = TestSettings("first", "front", 1);
  settings.drainTimeout_ = milliseconds(800);
  RunningNode first(settings);
  RunningNode second(TestSettings("second", "bell", refusing.Port()));
  RunningNode third(TestSettings("third", "bell", slow.Port()));
  Publish({ &first, &second, &third }, { &second });
  Caller caller(first.node_->Ports().callers_);
  ReceivedResponse answer;
  std::thread request([&] { answer = caller.SendRequest("POST", "/deposits"); });
  REQUIRE(WaitFor([&] { return !refusing.ReceivedRequests().empty(); }));
  Publish({ &first, &second, &third }, { &second, &third });
  first.node_->Drain();
  request.join();
  CHECK(answer.status_ == 503);
  CHECK(answer.Outcome() == "not-run");
  CHECK(slow.ReceivedRequests().empty());
}

// Guards against calls without a context that a draining node takes at the listener of its target
// and cuts when the drain ends, and against refusing those that have one.
TEST_CASE("a draining node passes on only calls that end in time or have a context",
          "[path][drain]")
{
  std::atomic<std::uint16_t> outbound{ 0 };
  std::atomic<int> openStatus{ 0 };
  ScriptedTarget calling([&](const ReceivedRequest& aRequest) {
    std::this_thread::sleep_for(milliseconds(300));
    Caller target(outbound);
    openStatus = target.SendRequest("GET", "/open", "").status_;
    const std::string context = "Quay-Call: " + HeaderValue(aRequest.head_, "Quay-Call") + "\r\n";
    return MakeHttpResponse(target.SendRequest("GET", "/deep", context).status_, "");
  });
  ScriptedTarget archive(EchoRequest);
  NodeSettings settings = TestSettings("first", "bell", calling.Port());
  settings.drainTimeout_ = milliseconds(800);
  RunningNode first(settings);
  RunningNode second(TestSettings("second", "archive", archive.Port()));
  outbound = first.node_->Ports().outbound_;
  const auto config = TestConfig();
  config->routes_.back().service_ = { "archive" }; // That of /open.
  Publish({ &first, &second }, { &first, &second }, config);
  Caller caller(first.node_->Ports().callers_);
  ReceivedResponse answer;
  std::thread request([&] { answer = caller.SendRequest("GET", "/bells"); });
  REQUIRE(WaitFor([&] { return !calling.ReceivedRequests().empty(); }));
  first.node_->Drain();
  request.join();
  CHECK(openStatus == 503);
  CHECK(answer.status_ == 200);
}

// Guards against a request that keeps running after its caller disconnected.
TEST_CASE("closing the caller's connection cancels the request at the target", "[path]")
{
  std::atomic<bool> reached{ false };
  std::atomic<bool> cancelled{ false };
  RawListener listener;
  std::thread target([&] {
    for (int i = 0; i < 3; ++i) {
      RawSocket socket = listener.Accept();
      const std::string head = socket.ReadUntil("\r\n\r\n");
      if (head.find("/bells") == std::string::npos) {
        continue;
      }
      reached = true;
      cancelled = socket.ReadUntil("never").empty();
      return;
    }
  });
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", listener.Port()));
  Publish({ &first, &second }, { &second });
  {
    RawSocket caller(first.node_->Ports().callers_);
    caller.Write("GET /bells HTTP/1.1\r\nHost: h\r\nQuay-Key: " + kTestKey +
                 "\r\nQuay-Deadline-Ms: 2000\r\n\r\n");
    REQUIRE(WaitFor([&] { return reached.load(); }));
  }
  const TimePoint closed = Clock::now();
  target.join();
  CHECK(cancelled);
  CHECK(Clock::now() - closed < milliseconds(500));
}

// Guards against admin endpoints that don't respond or lack the values that operators rely on.
TEST_CASE("the admin endpoints report the state and start a drain", "[path]")
{
  ScriptedTarget target(EchoRequest);
  RunningNode node(TestSettings("only", "bell", target.Port()));
  Publish({ &node }, { &node });
  Caller caller(node.node_->Ports().callers_);
  CHECK(caller.SendRequest("GET", "/bells").status_ == 200);
  Caller admin(node.node_->Ports().admin_);
  const auto status = admin.SendRequest("GET", "/status", "");
  CHECK(status.status_ == 200);
  CHECK(status.body_.find("\"host\":\"only\"") != std::string::npos);
  const auto metrics = admin.SendRequest("GET", "/metrics", "");
  CHECK(metrics.body_.find("quay_caller_requests_total 1\n") != std::string::npos);
  // Bytes that aren't UTF-8 ended the process.
  CHECK(admin.SendRequest("GET", "/explain?path=%2Fbells%2F%E4&account=%FF", "").status_ == 200);
  const auto explain = admin.SendRequest("GET", "/explain?path=%2Fbells%2F1&account=acc", "");
  CHECK(explain.body_.find("\"decision\":\"forward\"") != std::string::npos);
  CHECK(admin.SendRequest("GET", "/none", "").status_ == 404);
  CHECK(admin.SendRequest("POST", "/drain", "").status_ == 202);
  CHECK(WaitFor([&] { return node.control_->hasAnnouncedLeft_.load(); }));
}
