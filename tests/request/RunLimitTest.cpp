// Tests of the run limits, alone and in a model of an overloaded service graph.
#include "peridotquay/request/RunLimit.h"

#include "standins/lib/ServiceGraph.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <string>

using namespace peridotquay;
using namespace peridotquay::standins;

namespace {

const RouteId kNeedsDeeper{ "read" };
const RouteId kIndependent{ "photo" };

/// A guard whose runs all take the same time, with a simulated clock.
struct LimitedGuard
{
  RunLimitState state_;
  TimePoint now_{ seconds(1000) };

  /// For one second, begins ten runs of each route at once every 100 ms and ends those that began
  /// 100 ms before. Those that need deeper calls fail by aFailed of 10. Returns the refused runs of
  /// kNeedsDeeper.
  int PlaySecond(double aOverload, int aFailed)
  {
    int refused = 0;
    for (int step = 0; step < 10; ++step) {
      const int begun = BeginRuns(kNeedsDeeper, refused);
      int otherRefused = 0;
      const int others = BeginRuns(kIndependent, otherRefused);
      CHECK(otherRefused == 0);
      now_ += milliseconds(100);
      for (int i = 0; i < 10; ++i) {
        RecordDeeperCall(state_, aOverload, now_);
      }
      for (int i = 0; i < begun; ++i) {
        const bool fails = i * 10 < aFailed * begun;
        EndRun(state_,
               kNeedsDeeper,
               fails ? RunResult::kFailed : RunResult::kSucceeded,
               milliseconds(100),
               now_);
      }
      for (int i = 0; i < others; ++i) {
        EndRun(state_, kIndependent, RunResult::kSucceeded, milliseconds(100), now_);
      }
    }
    return refused;
  }

private:
  int BeginRuns(const RouteId& aRoute, int& aRefused)
  {
    int begun = 0;
    for (int i = 0; i < 10; ++i) {
      const bool begins = TryBeginRun(state_, aRoute, now_);
      begun += begins ? 1 : 0;
      aRefused += begins ? 0 : 1;
    }
    return begun;
  }
};

/// Requests that were served in time or late, as a fraction of those that the remaining capacity
/// allows, in the phase with the given index.
double ServedOfAllowed(const GraphScene& aScene, const GraphResult& aResult, std::size_t aPhase)
{
  const bool last = aPhase + 1 == aScene.phases_.size();
  const double end = last ? aScene.durationSeconds_ : aScene.phases_[aPhase + 1].atSecond_;
  const GraphSecond sum = aResult.Sum(
    -1, static_cast<std::size_t>(aScene.phases_[aPhase].atSecond_), static_cast<std::size_t>(end));
  return (sum.good_ + sum.late_) / sum.offered_ / AllowedFraction(aScene, aScene.phases_[aPhase]);
}

/// Fraction of the requests that are served in time from 2 s after the last phase began.
double ServedAfterRecovery(const GraphScene& aScene, const GraphResult& aResult)
{
  const auto from = static_cast<std::size_t>(aScene.phases_.back().atSecond_) + 2;
  const GraphSecond sum = aResult.Sum(-1, from, static_cast<std::size_t>(aScene.durationSeconds_));
  return sum.good_ / sum.offered_;
}

GraphScene FindScene(const std::string& aName)
{
  const auto scenes = GraphScenes();
  return *std::find_if(
    scenes.begin(), scenes.end(), [&](const GraphScene& aScene) { return aScene.name_ == aName; });
}

} // namespace

// Guards against limits where deeper services have room, for example while targets fail for another
// reason.
TEST_CASE("runs aren't limited without overloaded deeper calls", "[runs]")
{
  LimitedGuard guard;
  for (int second = 0; second < 10; ++second) {
    CHECK(guard.PlaySecond(0, 4) == 0);
  }
  CHECK_FALSE(guard.state_.routes_.at(kNeedsDeeper).limit_);
}

// Guards against runs that fail in a deeper call after their target has worked on them, and against
// refusals on a route of the same target that makes no deeper calls.
TEST_CASE("only routes whose runs fail in deeper calls are limited", "[runs]")
{
  LimitedGuard guard;
  guard.PlaySecond(0, 0);
  for (int second = 0; second < 4; ++second) {
    guard.PlaySecond(1, 6);
  }
  REQUIRE(guard.state_.routes_.at(kNeedsDeeper).limit_);
  CHECK(*guard.state_.routes_.at(kNeedsDeeper).limit_ <= 4);
  CHECK(*guard.state_.routes_.at(kNeedsDeeper).limit_ >= guard.state_.settings_.minLimit_);
  CHECK_FALSE(guard.state_.routes_.at(kIndependent).limit_);
  // It is back within 2 s of the end of the overload, and then removed.
  int refused = 100;
  for (int second = 0; second < 3; ++second) {
    refused = guard.PlaySecond(0, 0);
  }
  CHECK(refused == 0);
  for (int second = 0; second < 4; ++second) {
    guard.PlaySecond(0, 0);
  }
  CHECK_FALSE(guard.state_.routes_.at(kNeedsDeeper).limit_);
}

// Guards against a limit that falls further while the runs that began before its last decrease
// still fail: that would refuse requests for which there is room.
TEST_CASE("failures of runs from before a decrease don't lower the limit again", "[runs]")
{
  LimitedGuard guard;
  RouteRuns& route = guard.state_.routes_[kNeedsDeeper];
  route.usualSeconds_ = 0.3;
  route.windowStart_ = guard.now_;
  for (int i = 0; i < 20; ++i) {
    REQUIRE(TryBeginRun(guard.state_, kNeedsDeeper, guard.now_));
  }
  const auto endRuns = [&](int aRuns, Duration aTime) {
    for (int i = 0; i < aRuns; ++i) {
      RecordDeeperCall(guard.state_, 1, guard.now_);
      EndRun(guard.state_, kNeedsDeeper, RunResult::kFailed, aTime, guard.now_);
    }
  };
  guard.now_ += milliseconds(150);
  endRuns(9, milliseconds(150));
  guard.now_ += milliseconds(150);
  endRuns(1, milliseconds(300));
  const double limit = route.limit_.value_or(0);
  REQUIRE(limit >= 10);
  guard.now_ += milliseconds(100);
  endRuns(9, milliseconds(400));
  guard.now_ += milliseconds(300);
  endRuns(1, milliseconds(700));
  // The overload of deeper calls alone lowers it by a small step.
  CHECK(*route.limit_ >= limit * (1 - guard.state_.settings_.maxOverloadStep_) - 1e-9);
}

// Guards against a hint with which the caller can't be served within its objective even if there is
// room, and against callers that return together.
TEST_CASE("a refused caller is told to return within its objective", "[runs]")
{
  RunLimitState state;
  state.routes_[kNeedsDeeper].usualSeconds_ = 0.4;
  std::uint32_t least = UINT32_MAX;
  std::uint32_t most = 0;
  for (int i = 0; i < 100; ++i) {
    const std::uint32_t hint = RunRetryAfterMs(state, kNeedsDeeper, milliseconds(900));
    least = std::min(least, hint);
    most = std::max(most, hint);
  }
  CHECK(least >= 100);
  CHECK(most + 400 <= 900);
  CHECK(most - least >= 100);
  CHECK(RunRetryAfterMs(state, kNeedsDeeper, milliseconds(50)) >= 70);
}

TEST_CASE("the overload of an answer follows the queue and the deeper calls", "[runs]")
{
  CHECK(CallOverload(0, 46, 0) == 0);
  CHECK(CallOverload(4, 46, 0) == 0);
  CHECK(CallOverload(100, 46, 0) == 1);
  CHECK(CallOverload(0, 46, 0.4) == Approx(0.4));
  CHECK(CallOverload(5, 0, 0) == 0);
}

// Guards against routes that fill the memory of a node: names of routes come from the operator.
TEST_CASE("the number of limited routes is bounded", "[runs]")
{
  RunLimitState state;
  const TimePoint now{ seconds(1000) };
  for (int i = 0; i < 1000; ++i) {
    const RouteId route{ "r" + std::to_string(i) };
    CHECK(TryBeginRun(state, route, now));
    EndRun(state, route, RunResult::kSucceeded, milliseconds(10), now + milliseconds(10));
  }
  CHECK(state.routes_.size() == kMaxLimitedRoutes);
}

// Load patterns in which, without limits, targets work on runs that fail in a deeper call: a
// lasting overload, a burst, and the loss of half of the deepest service's targets. The bounds are
// those of docs/design.md: 0.9 of what the remaining capacity allows, and recovery within 2 s.
TEST_CASE("goodput doesn't collapse when a shared deeper service is overloaded", "[runs]")
{
  for (const std::string name : { "lasting-2", "lasting-5", "half-gone" }) {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      GraphScene scene = FindScene(name);
      scene.seed_ = seed;
      INFO(name << " seed " << seed);
      CHECK(ServedOfAllowed(scene, PlayScene(scene), 1) >= 0.9);
      scene.limitsRuns_ = false;
      CHECK(ServedOfAllowed(scene, PlayScene(scene), 1) < 0.6);
    }
  }
}

// A slight overload, a slow deepest service and a loss in the middle of the graph don't collapse
// without limits, and limits must not make them worse.
TEST_CASE("run limits cost nothing where goodput doesn't collapse", "[runs]")
{
  for (const std::string name : { "lasting-1.2", "slow-2", "middle-gone" }) {
    GraphScene scene = FindScene(name);
    INFO(name);
    CHECK(ServedOfAllowed(scene, PlayScene(scene), 0) >= 0.98);
    CHECK(ServedOfAllowed(scene, PlayScene(scene), 1) >= 0.9);
  }
}

TEST_CASE("a service graph recovers within 2 s of the end of an overload", "[runs]")
{
  for (const std::string name : { "burst-3s", "retries-3", "half-gone", "slow-2", "middle-gone" }) {
    for (const std::uint64_t seed : { 1, 2, 3 }) {
      GraphScene scene = FindScene(name);
      scene.seed_ = seed;
      INFO(name << " seed " << seed);
      CHECK(ServedAfterRecovery(scene, PlayScene(scene)) >= 0.98);
    }
  }
  // Without limits, the retries alone keep the deepest service overloaded.
  GraphScene scene = FindScene("retries-3");
  scene.limitsRuns_ = false;
  CHECK(ServedAfterRecovery(scene, PlayScene(scene)) < 0.9);
}

// The least urgent kind triples at the service that runs the deepest calls of the others, while its
// targets take twice as long. Guards against history lists that take the slots of receipt reads, so
// that the most urgent kind is refused or late.
TEST_CASE("the most urgent kind is served while the least urgent one is refused", "[runs]")
{
  GraphScene scene = TopUpScenes().front();
  const auto balance = [&](bool aSchedules) {
    scene.schedulesCapacity_ = aSchedules;
    const GraphSecond sum = PlayScene(scene).Sum(0, 8, 18);
    return sum.good_ / sum.offered_;
  };
  for (const std::uint64_t seed : { 1, 2, 3 }) {
    scene.seed_ = seed;
    INFO("seed " << seed);
    CHECK(balance(true) >= 0.98);
    CHECK(balance(false) < 0.6);
  }
}
