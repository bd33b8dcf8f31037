// Tests of the stand-in target over real sockets, in the test process.
#include "standins/lib/FleetHttp.h"
#include "standins/lib/TargetBody.h"
#include "standins/lib/TargetServer.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <future>
#include <thread>

using namespace peridotquay;
using namespace peridotquay::standins;

namespace {

// A target that runs on its own thread until the end of the test.
class RunningTarget
{
public:
  explicit RunningTarget(TargetSettings aSettings)
    : context_(1)
    , server_(std::make_shared<TargetServer>(context_, std::move(aSettings)))
  {
    REQUIRE(server_->Start().has_value());
    address_ = { "127.0.0.1", server_->Port() };
    thread_ = std::thread([this] { context_.run(); });
  }

  ~RunningTarget()
  {
    boost::asio::post(context_, [this] { server_->Stop(); });
    thread_.join();
  }

  FetchResponse Fetch(FetchRequest aRequest) const
  {
    const auto reply = FetchHttp(address_, aRequest);
    REQUIRE(reply.has_value());
    return reply.assume_value();
  }

  FetchResponse Get(const std::string& aTarget) const { return Fetch({ "GET", aTarget, {}, "" }); }

  void SetFaults(const std::string& aJson) const
  {
    REQUIRE(Fetch({ "POST", "/faults", {}, aJson }).status_ == 200);
  }

  std::uint32_t InUse() const
  {
    return nlohmann::json::parse(Get("/load").body_).at("in_use").get<std::uint32_t>();
  }

  // Waits until aCount slots are in use; fails the test after 5 s.
  void AwaitInUse(std::uint32_t aCount) const
  {
    const auto giveUpAt = Clock::now() + seconds(5);
    while (InUse() != aCount) {
      REQUIRE(Clock::now() < giveUpAt);
      std::this_thread::yield();
    }
  }

  std::vector<TargetExecution> Executions() const
  {
    return ParseExecutions(Get("/executions").body_).assume_value();
  }

  Address address_;

private:
  boost::asio::io_context context_;
  std::shared_ptr<TargetServer> server_;
  std::thread thread_;
};

TargetSettings FastTargetSettings()
{
  TargetSettings settings;
  settings.serviceTime_ = milliseconds(1);
  return settings;
}

} // namespace

// Guards against equal bodies for different requests, which would hide that answers were swapped.
TEST_CASE("answer bodies depend on request target, body and length", "[target]")
{
  CHECK(TargetBody("/a?tag=1", "", 64) != TargetBody("/a?tag=2", "", 64));
  CHECK(TargetBody("/a", "x", 64) != TargetBody("/a", "y", 64));
  CHECK(TargetBody("/a", "x", 100).size() == 100);
  CHECK(QueryValue("/a?tag=1&from=b&length=7", "from") == "b");
  CHECK(QueryValue("/a?xtag=1", "tag").empty());
  CHECK(RequestedBodyLength("/a?length=7", 64) == 7);
  CHECK(RequestedBodyLength("/a?length=99999999", 64) == kMaxTargetBodyBytes);
  CHECK(WithQueryParameter(WithQueryParameter("/a", "b", "c"), "d", "e") == "/a?b=c&d=e");
}

// Guards against log entries without the fields that HistoryCheck needs.
TEST_CASE("a target answers and logs a request", "[target]")
{
  RunningTarget target(FastTargetSettings());
  const auto reply = target.Fetch({ "POST",
                                    "/stock?length=200&tag=7",
                                    { { "Quay-Request-Id", "id-1" },
                                      { "Quay-Key", "secret" },
                                      { "Quay-Client-Account", "kaya" },
                                      { "Quay-Retry-Budget", "2" } },
                                    "iron" });
  CHECK(reply.status_ == 200);
  CHECK(reply.body_ == TargetBody("/stock?length=200&tag=7", "iron", 200));
  const auto log = target.Executions();
  REQUIRE(log.size() == 1);
  CHECK(log[0].requestId_ == "id-1");
  CHECK(log[0].path_ == "/stock?length=200&tag=7");
  CHECK(log[0].clientAccount_ == "kaya");
  CHECK(log[0].retryBudget_ == "2");
  CHECK(log[0].hasKeyHeader_);
  CHECK_FALSE(log[0].hasCallHeader_);
  CHECK(log[0].executionStatus_ == ExecutionStatus::kAnswered);
  CHECK(log[0].endUs_ > log[0].startUs_);
  CHECK(ParseExecutions(WriteExecutions(log)).assume_value() == log);
}

// Guards against a target that runs more requests than it has slots, or that holds a slot after the
// caller closed the connection.
TEST_CASE("a target without free slots refuses and a closed connection frees its slot", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.slots_ = 1;
  settings.serviceTime_ = seconds(60);
  RunningTarget target(settings);
  FetchRequest slowRequest{ "GET", "/slow", {}, "" };
  slowRequest.timeout_ = milliseconds(300);
  auto first =
    std::async(std::launch::async, [&] { return FetchHttp(target.address_, slowRequest); });
  target.AwaitInUse(1);
  const auto refused = target.Get("/other");
  CHECK(refused.status_ == 503);
  CHECK(refused.headers_.at("quay-outcome") == "not-run");
  CHECK_FALSE(first.get().has_value());
  target.AwaitInUse(0);
  const auto log = target.Executions();
  REQUIRE(log.size() == 2);
  CHECK(log[0].executionStatus_ == ExecutionStatus::kCancelled);
  CHECK(log[1].executionStatus_ == ExecutionStatus::kRefused);
  CHECK_FALSE(log[1].Started());
}

// Guards against a queue that starts requests before a slot is free or after their deadline, or
// that exceeds its max length.
TEST_CASE("requests wait for a slot in a bounded queue", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.slots_ = 1;
  settings.maxQueueLength_ = 2;
  settings.serviceTime_ = milliseconds(150);
  RunningTarget target(settings);
  const auto fetch = [&target](const std::string& aTarget) {
    return std::async(std::launch::async, [&target, aTarget] {
      return target.Fetch({ "GET", aTarget, {}, "" }).status_;
    });
  };
  auto first = fetch("/first");
  target.AwaitInUse(1);
  auto second = fetch("/second");
  while (target.Executions().size() < 2) {
    std::this_thread::yield();
  }
  const auto late = target.Fetch({ "GET", "/late", { { "Quay-Deadline-Ms", "30" } }, "" });
  CHECK(late.status_ == 503);
  CHECK(late.headers_.at("quay-outcome") == "not-run");
  auto third = fetch("/third");
  while (target.Executions().size() < 4) {
    std::this_thread::yield();
  }
  CHECK(target.Get("/beyond").status_ == 503);
  CHECK(first.get() == 200);
  CHECK(second.get() == 200);
  CHECK(third.get() == 200);
  const auto log = target.Executions();
  REQUIRE(log.size() == 5);
  for (const auto& entry : log) {
    const bool refused = entry.path_ == "/late" || entry.path_ == "/beyond";
    CHECK(entry.Started() == !refused);
  }
  CHECK(log[1].startUs_ >= log[0].endUs_);
  CHECK(target.InUse() == 0);
}

// Guards against requests that hold their slot or start after their deadline.
TEST_CASE("requests end at their deadline and don't start after it", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.serviceTime_ = seconds(60);
  RunningTarget target(settings);
  CHECK(target.Fetch({ "GET", "/a", { { "Quay-Deadline-Ms", "30" } }, "" }).status_ == 504);
  CHECK(target.Fetch({ "GET", "/a", { { "Quay-Deadline-Ms", "0" } }, "" }).status_ == 503);
  CHECK(target.InUse() == 0);
}

// Guards against deeper calls that lose the call token, the tag or the id of the calling execution,
// and against failed deeper calls that are answered as success.
TEST_CASE("deeper calls carry the call token, the tag and the calling execution", "[target]")
{
  for (const bool parallel : { false, true }) {
    RunningTarget deep(FastTargetSettings());
    TargetSettings settings = FastTargetSettings();
    settings.outbound_ = deep.address_;
    settings.deeperPaths_ = { "/deep/a?length=32", "/deep/b" };
    settings.parallelDeeperCalls_ = parallel;
    RunningTarget target(settings);
    const auto reply = target.Fetch({ "GET", "/top?tag=9", { { "Quay-Call", "token" } }, "" });
    CHECK(reply.status_ == 200);
    const auto targetLog = target.Executions();
    const auto log = deep.Executions();
    REQUIRE(log.size() == 2);
    CHECK(QueryValue(log[0].path_, "tag") == "9");
    CHECK(QueryValue(log[0].path_, "from") == targetLog.at(0).id_);
    CHECK(log[0].hasCallHeader_);
    deep.SetFaults(R"({"refuse":1})");
    CHECK(target.Get("/top").status_ == 502);
    CHECK(target.Executions().back().executionStatus_ == ExecutionStatus::kDeeperCallFailed);
  }
}

// Guards against faults without effect, which would make load experiments test nothing.
TEST_CASE("each fault takes effect when set and ends when reset", "[target]")
{
  RunningTarget target(FastTargetSettings());
  target.SetFaults(R"({"drop_answers":1})");
  const auto cut = FetchHttp(target.address_, { "GET", "/a?length=1000", {}, "" });
  REQUIRE_FALSE(cut.has_value());
  CHECK(cut.assume_error().code_ == ErrorCode::kTruncatedAnswer);
  CHECK(target.Get("/a").status_ == 200);

  target.SetFaults(R"({"freeze":true})");
  FetchRequest shortRequest{ "GET", "/a", {}, "" };
  shortRequest.timeout_ = milliseconds(100);
  const auto frozen = FetchHttp(target.address_, shortRequest);
  REQUIRE_FALSE(frozen.has_value());
  CHECK(frozen.assume_error().code_ == ErrorCode::kDeadlineExceeded);
  target.SetFaults(R"({"freeze":false})");
  CHECK(target.Get("/a").status_ == 200);

  target.SetFaults(R"({"false_slots":999,"false_in_use":0,"state":"cold"})");
  CHECK(nlohmann::json::parse(target.Get("/load").body_).at("slots") == 999);
  CHECK(nlohmann::json::parse(target.Get("/health").body_).at("state") == "cold");
  target.SetFaults(R"({"false_slots":null,"state":""})");
  CHECK(nlohmann::json::parse(target.Get("/load").body_).at("slots") == 50);

  target.SetFaults(R"({"slow_factor":100})");
  const auto before = Clock::now();
  CHECK(target.Get("/a").status_ == 200);
  CHECK(Clock::now() - before >= milliseconds(100));
  CHECK(target.Fetch({ "POST", "/faults", {}, R"({"slow":2})" }).status_ == 400);
  CHECK(target.Fetch({ "POST", "/faults", {}, R"({"slow_factor":0})" }).status_ == 400);
}

// Guards against a draining target that accepts new requests or aborts current ones.
TEST_CASE("a draining target refuses new requests and finishes current ones", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.serviceTime_ = milliseconds(200);
  RunningTarget target(settings);
  auto first = std::async(std::launch::async, [&] {
    return FetchHttp(target.address_, { "GET", "/a", {}, "" });
  });
  target.AwaitInUse(1);
  CHECK(target.Fetch({ "POST", "/drain", {}, "" }).status_ == 200);
  CHECK(nlohmann::json::parse(target.Get("/health").body_).at("state") == "draining");
  const auto refused = target.Get("/b");
  CHECK(refused.status_ == 503);
  CHECK(refused.headers_.at("quay-outcome") == "not-run");
  CHECK(first.get().assume_value().status_ == 200);
}

// Guards against a report lag without effect, which would give experiments with stale load the
// current load.
TEST_CASE("the reported load is as old as the report lag", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.serviceTime_ = milliseconds(400);
  settings.reportLag_ = seconds(60);
  RunningTarget target(settings);
  auto first = std::async(std::launch::async, [&] {
    return FetchHttp(target.address_, { "GET", "/a", {}, "" });
  });
  const auto giveUpAt = Clock::now() + seconds(5);
  while (target.Executions().empty()) {
    REQUIRE(Clock::now() < giveUpAt);
  }
  CHECK(target.InUse() == 0);
  CHECK(first.get().has_value());
}

// Guards against a connection limit without effect, and against one that blocks the control paths.
TEST_CASE("connections over the limit may use the control paths only", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.maxConnections_ = 0;
  RunningTarget target(settings);
  CHECK_FALSE(FetchHttp(target.address_, { "GET", "/a", {}, "" }).has_value());
  CHECK(target.Get("/health").status_ == 200);
}

// Guards against a cold target that is as fast as a warm one or reports another state.
TEST_CASE("a cold target is slower and reports the state cold", "[target]")
{
  TargetSettings settings = FastTargetSettings();
  settings.serviceTime_ = milliseconds(20);
  settings.coldPeriod_ = seconds(60);
  settings.coldFactor_ = 5;
  RunningTarget target(settings);
  const auto before = Clock::now();
  CHECK(target.Get("/a").status_ == 200);
  CHECK(Clock::now() - before >= milliseconds(60));
  CHECK(nlohmann::json::parse(target.Get("/health").body_).at("state") == "cold");
}
