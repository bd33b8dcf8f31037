// The call path over real sockets: nodes in one process, targets as scripts.
#include "tests/failure/PathFleet.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <chrono>
#include <iostream>
#include <random>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

std::string EchoScript(const SeenRequest& aRequest)
{
  return HttpAnswer(200, aRequest.line_ + "|" + aRequest.body_, "X-Target: yes\r\n");
}

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

} // namespace

// Guards against answers that are cut, mixed up between calls or changed on their way through two
// hosts.
TEST_CASE("1,000 requests through two hosts return every byte", "[path]")
{
  ScriptTarget target(EchoScript);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  std::atomic<int> whole{ 0 };
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
        const auto answer = caller.Ask("POST", path, "Quay-Key: " + kTestKey + "\r\n", body);
        if (answer.status_ == 200 && answer.Outcome() == "ran" &&
            answer.body_ == "POST " + path + "|" + body) {
          ++whole;
        }
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  CHECK(whole == 1000);
  // No target ever sees a caller's key.
  for (const auto& seen : target.Seen()) {
    CHECK(seen.head_.find(kTestKey) == std::string::npos);
    CHECK(HeadValue(seen.head_, "Quay-Client-Account") == "acc");
    CHECK(HeadValue(seen.head_, "Quay-Call").size() == 32);
  }
}

// Guards against a refusal with another status or outcome than documented.
TEST_CASE("refusals have their status and say 'not run'", "[path]")
{
  ScriptTarget target(EchoScript);
  RunningNode node(TestSettings("only", "bell", target.Port()));
  {
    Caller early(node.node_->Ports().callers_);
    const auto answer = early.Ask("GET", "/bells");
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
    const auto answer = caller.Ask("GET", item.path_, item.headers_);
    CHECK(answer.status_ == item.status_);
    CHECK(answer.Outcome() == "not-run");
    CHECK(answer.body_.find("\"type\":\"" + item.type_ + "\"") != std::string::npos);
  }
  CHECK(target.Seen().empty());
  CHECK(caller.Ask("GET", "/open", "").status_ == 200);
  node.control_->tokens_ = false;
  const auto over = caller.Ask("GET", "/bells");
  CHECK(over.status_ == 429);
  CHECK_FALSE(HeadValue(over.head_, "Quay-Retry-After-Ms").empty());
}

// Guards against a withdrawn key that goes on working on a connection that is open already.
TEST_CASE("a withdrawn key is refused on an open connection", "[path]")
{
  ScriptTarget target(EchoScript);
  RunningNode node(TestSettings("only", "bell", target.Port()));
  Publish({ &node }, { &node });
  Caller caller(node.node_->Ports().callers_);
  CHECK(caller.Ask("GET", "/bells").status_ == 200);
  auto without = TestConfig();
  without->version_ = 2;
  without->keys_.clear();
  Publish({ &node }, { &node }, without);
  CHECK(WaitFor([&] { return caller.Ask("GET", "/bells").status_ == 401; }));
  // An older version that arrives late must not bring the key back.
  Publish({ &node }, { &node });
  std::this_thread::sleep_for(milliseconds(50));
  CHECK(caller.Ask("GET", "/bells").status_ == 401);
}

// Guards against a truncated answer that passes as whole, and against a second run of a request
// that must run at most once.
TEST_CASE("a truncated answer is retried or reported as unknown", "[path]")
{
  const std::string cut = "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nabc";
  std::atomic<int> runs{ 0 };
  ScriptTarget broken([&](const SeenRequest& aRequest) -> std::string {
    ++runs;
    static_cast<void>(aRequest);
    return cut + std::string();
  });
  ScriptTarget sound(EchoScript);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode left(TestSettings("left", "bell", broken.Port()));
  RunningNode right(TestSettings("right", "bell", sound.Port()));
  Publish({ &first, &left, &right }, { &left, &right });
  Caller caller(first.node_->Ports().callers_);
  static_cast<void>(runs);
  // The script leaves the connection open after the cut answer, so the deadline ends the wait.
  for (int i = 0; i < 4; ++i) {
    const auto answer = caller.Ask(
      "POST", "/deposits/1", "Quay-Key: " + kTestKey + "\r\nQuay-Deadline-Ms: 200\r\n", "x");
    if (answer.status_ == 200) {
      CHECK(answer.body_ == "POST /deposits/1|x");
    } else {
      CHECK(answer.status_ == 504);
      CHECK(answer.Outcome() == "unknown");
      CHECK(answer.body_.find("abc") == std::string::npos);
    }
  }
  CHECK(broken.Seen().size() + sound.Seen().size() == 4);
}

// Guards against a retry that isn't made although the target said that nothing ran, and against
// more attempts than the budget.
TEST_CASE("refusals by a target are retried elsewhere within the budget", "[path]")
{
  ScriptTarget busy(
    [](const SeenRequest&) { return HttpAnswer(503, "", "Quay-Outcome: not-run\r\n"); });
  ScriptTarget sound(EchoScript);
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode left(TestSettings("left", "bell", busy.Port()));
  RunningNode right(TestSettings("right", "bell", sound.Port()));
  Publish({ &first, &left, &right }, { &left, &right });
  Caller caller(first.node_->Ports().callers_);
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  for (int i = 0; i < 10; ++i) {
    const auto answer = caller.Ask("POST", "/deposits", key, "x");
    CHECK(answer.status_ == 200);
  }
  Publish({ &first, &left, &right }, { &left });
  std::this_thread::sleep_for(milliseconds(20));
  const auto before = busy.Seen().size();
  const auto answer = caller.Ask("POST", "/bells", key + "Quay-Retry-Budget: 0\r\n", "x");
  CHECK(answer.status_ == 503);
  CHECK(answer.Outcome() == "not-run");
  CHECK(busy.Seen().size() == before + 1);
}

// Guards against deeper calls that lose the client account, exceed the lent retries, or get more
// than open routes without a context.
TEST_CASE("deeper calls carry the context of the call they serve", "[path]")
{
  ScriptTarget archive(EchoScript);
  std::atomic<std::uint16_t> outbound{ 0 };
  ScriptTarget front([&](const SeenRequest& aRequest) {
    Caller deeper(outbound);
    const std::string token = HeadValue(aRequest.head_, "Quay-Call");
    const auto with = deeper.Ask("POST", "/deep", "Quay-Call: " + token + "\r\n", "inner");
    const auto without = deeper.Ask("POST", "/deep", "", "inner");
    const auto wrong =
      deeper.Ask("POST", "/deep", "Quay-Call: " + std::string(32, '0') + "\r\n", "inner");
    return HttpAnswer(200,
                      std::to_string(with.status_) + "|" + with.body_ + "|" +
                        std::to_string(without.status_) + "|" + std::to_string(wrong.status_));
  });
  RunningNode first(TestSettings("first", "bell", front.Port()));
  RunningNode second(TestSettings("second", "archive", archive.Port()));
  outbound = first.node_->Ports().outbound_;
  Publish({ &first, &second }, { &first, &second });
  Caller caller(first.node_->Ports().callers_);
  const auto answer = caller.Ask("GET", "/bells");
  CHECK(answer.body_ == "200|POST /deep|inner|401|401");
  REQUIRE(archive.Seen().size() == 1);
  CHECK(HeadValue(archive.Seen()[0].head_, "Quay-Client-Account") == "acc");
  CHECK(std::stoi(HeadValue(archive.Seen()[0].head_, "Quay-Deadline-Ms")) <= 2000);
}

// Guards against a second run of a request id, from the issuing host, another host and
// concurrently.
TEST_CASE("a request id runs once and repeats get the same answer", "[path]")
{
  std::atomic<int> runs{ 0 };
  ScriptTarget target([&](const SeenRequest& aRequest) {
    std::this_thread::sleep_for(milliseconds(50));
    return HttpAnswer(201, "run " + std::to_string(++runs) + aRequest.body_);
  });
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  Caller caller(first.node_->Ports().callers_);
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  CHECK(caller.Ask("POST", "/quay/request-ids", "").status_ == 401);
  const auto issued = caller.Ask("POST", "/quay/request-ids?count=2", key);
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
      const auto answer = repeat.Ask("POST", "/deposits", headers, "!");
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
  CHECK(caller.Ask("POST", "/deposits", headers, "another body").status_ == 400);
  const auto forged = headers.substr(0, headers.size() - 4) + "zz\r\n";
  CHECK(caller.Ask("POST", "/deposits", forged, "!").status_ == 400);
  // An id of a host that is gone may have run.
  const auto gone = caller.Ask(
    "POST", "/deposits", key + "Quay-Request-Id: gone.1.1." + std::string(32, 'a') + "\r\n", "!");
  CHECK(gone.status_ == 504);
  CHECK(gone.Outcome() == "unknown");
  CHECK(runs == 1);
}

// Guards against a shutdown that cuts requests in flight, accepts new work, or loses records of
// request ids.
TEST_CASE("a draining node finishes its calls and hands over its records", "[path]")
{
  std::atomic<int> runs{ 0 };
  ScriptTarget target([&](const SeenRequest&) {
    std::this_thread::sleep_for(milliseconds(300));
    return HttpAnswer(200, "run " + std::to_string(++runs));
  });
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  const std::string key = "Quay-Key: " + kTestKey + "\r\n";
  Caller caller(first.node_->Ports().callers_);
  const auto issued = caller.Ask("POST", "/quay/request-ids", key);
  const auto start = issued.body_.find('"', issued.body_.find('[')) + 1;
  const std::string id = issued.body_.substr(start, issued.body_.find('"', start) - start);
  const std::string headers = key + "Quay-Request-Id: " + id + "\r\n";
  REQUIRE(caller.Ask("POST", "/deposits", headers).body_ == "run 1");

  SeenAnswer inFlight;
  std::thread slow([&] { inFlight = caller.Ask("GET", "/bells"); });
  std::this_thread::sleep_for(milliseconds(100));
  Caller late(first.node_->Ports().callers_);
  first.node_->Drain();
  std::this_thread::sleep_for(milliseconds(50));
  const auto refused = late.Ask("GET", "/bells");
  CHECK(refused.status_ == 503);
  CHECK(refused.Outcome() == "not-run");
  slow.join();
  CHECK(inFlight.status_ == 200);
  CHECK(inFlight.body_ == "run 2");
  REQUIRE(WaitFor([&] { return first.control_->left_.load(); }));
  CHECK(first.control_->successor_ == "second");
  // The successor has the record; the tombstone makes other hosts ask it.
  Caller other(second.node_->Ports().callers_);
  SeenAnswer repeat;
  CHECK(WaitFor([&] {
    repeat = other.Ask("POST", "/deposits", headers);
    return repeat.status_ == 200;
  }));
  CHECK(repeat.body_ == "run 1");
  CHECK(runs == 2);
}

// Guards against a request that goes on running after its caller is gone.
TEST_CASE("closing the connection cancels the request at the target", "[path]")
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

// Guards against an admin front that fails to answer while an operator needs it.
TEST_CASE("the admin front answers", "[path]")
{
  ScriptTarget target(EchoScript);
  RunningNode node(TestSettings("only", "bell", target.Port()));
  Publish({ &node }, { &node });
  Caller caller(node.node_->Ports().callers_);
  CHECK(caller.Ask("GET", "/bells").status_ == 200);
  Caller admin(node.node_->Ports().admin_);
  const auto status = admin.Ask("GET", "/status", "");
  CHECK(status.status_ == 200);
  CHECK(status.body_.find("\"host\":\"only\"") != std::string::npos);
  const auto metrics = admin.Ask("GET", "/metrics", "");
  CHECK(metrics.body_.find("quay_caller_requests_total 1\n") != std::string::npos);
  const auto explain = admin.Ask("GET", "/explain?path=%2Fbells%2F1&account=acc", "");
  CHECK(explain.body_.find("\"decision\":\"forward\"") != std::string::npos);
  CHECK(admin.Ask("GET", "/none", "").status_ == 404);
  CHECK(admin.Ask("POST", "/drain", "").status_ == 202);
  CHECK(WaitFor([&] { return node.control_->left_.load(); }));
}
