// Tests of load plans and scenarios, and of the load generator with stand-in targets in this
// process.
#include "standins/lib/LoadRunner.h"

#include "standins/lib/FleetHttp.h"
#include "standins/lib/LoadScenario.h"
#include "standins/lib/LoadScore.h"
#include "standins/lib/TargetServer.h"

#include <boost/asio/post.hpp>
#include <catch2/catch.hpp>

#include <array>
#include <thread>

using namespace peridotquay;
using namespace peridotquay::standins;

namespace {

LoadPlan SmallPlan()
{
  LoadPlan plan;
  plan.phases_ = { { "only", 1, 1, {}, false } };
  plan.classes_ = { { "/top/stock", true, false, 1 } };
  plan.accounts_ = { { "kaya", "key-a", 0.75, 100 }, { "selin", "key-b", 0.25, 100 } };
  plan.baseRate_ = 200;
  plan.seed_ = 7;
  return plan;
}

// Two stand-in targets, of which the first calls the second without a node between them.
class TargetChain
{
public:
  TargetChain()
    : context_(1)
  {
    TargetSettings deep;
    deep.name_ = "deep";
    deep.serviceTime_ = milliseconds(1);
    deep_ = std::make_shared<TargetServer>(context_, deep);
    REQUIRE(deep_->Start().has_value());
    TargetSettings top = deep;
    top.name_ = "top";
    top.outbound_ = Address{ "127.0.0.1", deep_->Port() };
    top.deeperPaths_ = { "/deep/work" };
    top_ = std::make_shared<TargetServer>(context_, top);
    REQUIRE(top_->Start().has_value());
    address_ = { "127.0.0.1", top_->Port() };
    thread_ = std::thread([this] { context_.run(); });
  }

  ~TargetChain()
  {
    boost::asio::post(context_, [this] {
      top_->Stop();
      deep_->Stop();
      context_.stop();
    });
    thread_.join();
  }

  // Execution logs of both targets. Call only after the load has ended.
  std::vector<TargetExecution> Executions() const
  {
    auto all = top_->Executions();
    const auto more = deep_->Executions();
    all.insert(all.end(), more.begin(), more.end());
    return all;
  }

  Address address_;

private:
  boost::asio::io_context context_;
  std::shared_ptr<TargetServer> deep_;
  std::shared_ptr<TargetServer> top_;
  std::thread thread_;
};

} // namespace

// Guards against runs that can't be repeated with their seed, and against wrong rates.
TEST_CASE("arrivals are reproducible from the seed and have the planned rates", "[load]")
{
  LoadPlan plan = SmallPlan();
  plan.phases_ = { { "a", 50, 1, {}, false }, { "b", 50, 2, { 1, 3 }, true } };
  const auto arrivals = PlanArrivals(plan);
  CHECK(arrivals == PlanArrivals(plan));
  plan.seed_ = 8;
  CHECK(arrivals != PlanArrivals(plan));
  std::array<std::array<double, 2>, 2> counts{};
  double last = 0;
  for (const Arrival& arrival : arrivals) {
    CHECK(arrival.scheduledAt_ >= last);
    last = arrival.scheduledAt_;
    counts[arrival.phase_][arrival.account_] += 1;
  }
  CHECK(counts[0][0] == Approx(7500).epsilon(0.06));
  CHECK(counts[0][1] == Approx(2500).epsilon(0.06));
  CHECK(counts[1][0] == Approx(15000).epsilon(0.06));
  CHECK(counts[1][1] == Approx(15000).epsilon(0.06));
}

// Guards against a load generator that loses requests or confuses their answers.
TEST_CASE("every request of a load run is served and its history has no violations", "[load]")
{
  TargetChain chain;
  const LoadPlan plan = SmallPlan();
  const LoadResult result = RunLoad(plan, { { chain.address_ } }, [](TimePoint) {});
  const std::size_t count = PlanArrivals(plan).size();
  REQUIRE(result.records_.size() == count);
  CHECK(result.calls_.size() == count);
  std::size_t served = 0;
  for (const LoadRecord& record : result.records_) {
    served += record.served_ ? 1 : 0;
  }
  CHECK(served == count);
  const auto executions = chain.Executions();
  CHECK(executions.size() == 2 * count);
  auto history = CheckHistory(result.calls_, executions);
  // Without a node that removes it, the first target receives the caller's key, which is a
  // violation.
  CHECK(history.violations_[HistoryProperty::kNoKeySeen] == count);
  history.violations_[HistoryProperty::kNoKeySeen] = 0;
  CHECK(history.Holds());
  CHECK(history.maxCallTreeRetries_ == 0);
}

// Guards against coordinated omission: latency must include the time that requests wait during a
// stall.
TEST_CASE("latency counts from the scheduled arrival", "[load]")
{
  TargetChain chain;
  std::thread freezer;
  const LoadResult result = RunLoad(SmallPlan(), { { chain.address_ } }, [&](TimePoint aStart) {
    freezer = std::thread([&chain, aStart] {
      const auto post = [&chain](const std::string& aJson) {
        CHECK(FetchHttp(chain.address_, { "POST", "/faults", {}, aJson }).has_value());
      };
      std::this_thread::sleep_until(aStart + milliseconds(300));
      post(R"({"freeze":true})");
      std::this_thread::sleep_until(aStart + milliseconds(700));
      post(R"({"freeze":false})");
    });
  });
  freezer.join();
  std::size_t slow = 0;
  for (const LoadRecord& record : result.records_) {
    slow += record.latencySeconds_ > 0.2 ? 1 : 0;
  }
  // Of a 0.4 s stall, arrivals of the first 0.2 s at 200 per second wait more than 0.2 s.
  CHECK(slow >= 25);
}

// Guards against callers that retry without being configured to, or make fewer retries than
// configured.
TEST_CASE("callers make the configured number of retries", "[load]")
{
  TargetChain chain;
  LoadPlan plan = SmallPlan();
  plan.phases_ = { { "only", 0.2, 1, {}, false } };
  const auto refuse = [&chain] {
    CHECK(
      FetchHttp(chain.address_, { "POST", "/faults", {}, R"({"refuse":1000000})" }).has_value());
  };
  refuse();
  for (const std::uint32_t retries : { 0U, 2U }) {
    plan.callerRetries_ = retries;
    plan.immediateRetries_ = retries > 0;
    plan.tagPrefix_ = "run" + std::to_string(retries);
    const LoadResult result = RunLoad(plan, { { chain.address_ } }, [](TimePoint) {});
    for (const LoadRecord& record : result.records_) {
      CHECK_FALSE(record.served_);
      CHECK(record.attempts_ == retries + 1);
      CHECK(record.firstErrorType_ == "target-refused");
    }
    auto history = CheckHistory(result.calls_, chain.Executions());
    CHECK(history.violations_[HistoryProperty::kNotRunIsTrue] == 0);
  }
}

// Guards against a scenario that lacks phases or accounts, or has events outside of the disturbance
// and the time after it.
TEST_CASE("every scenario is complete for both large profiles", "[load]")
{
  for (const char* name : { "foundry", "landesamt" }) {
    const FleetProfile profile = FindProfile(name);
    CHECK(CapacityPerSecond(profile) > 100);
    CHECK(CapacityPerSecond(profile, 5) < CapacityPerSecond(profile) / 3);
    double fractions = 0;
    for (const FleetClass& requestClass : profile.classes_) {
      fractions += requestClass.fraction_;
    }
    CHECK(fractions == Approx(1));
    for (const std::string& scenarioName : ScenarioNames()) {
      const auto scenario = MakeScenario(scenarioName, profile);
      REQUIRE(scenario.has_value());
      CHECK_FALSE(scenario->description_.empty());
      const double end = PhaseStart(*scenario, "");
      for (const ScenarioEvent& event : scenario->events_) {
        CHECK(event.at_ >= PhaseStart(*scenario, "trigger"));
        CHECK(event.at_ < end);
      }
      CHECK(MakePlan(*scenario, profile, 1).accounts_.size() == 8);
    }
  }
  CHECK_FALSE(MakeScenario("no-such", FindProfile("foundry")).has_value());
  CHECK(FindProfile("no-such").name_.empty());
}
