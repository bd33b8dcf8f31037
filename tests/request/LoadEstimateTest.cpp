// Tests of the estimated loads of targets and of the choice by them. The loads of the work plan are
// measured by bench/even_load_trials.
#include "peridotquay/request/LoadEstimate.h"

#include "peridotquay/request/RouteChoice.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace peridotquay;

namespace {

const TimePoint kNow{ seconds(1000) };
const ServiceId kService{ "ledger" };

/// Targets of one service with the same reported calls in each tier.
struct Table
{
  std::vector<TargetLoadEstimate> estimates_;
  ServiceLoad load_;

  /// Adds targets of one data centre that run aRunning of 100 calls.
  void Add(std::size_t aCount, std::size_t aTier, std::uint32_t aRunning)
  {
    const std::size_t first = estimates_.size();
    estimates_.resize(first + aCount);
    load_.targets_.resize(estimates_.size());
    for (std::size_t i = 0; i < estimates_.size(); ++i) {
      load_.targets_[i].estimate_ = &estimates_[i];
      if (i >= first) {
        load_.targets_[i].tier_ = aTier;
        load_.targets_[i].group_ = aTier;
        ApplyLoadReport(estimates_[i], { aRunning, 0, 100, 100 }, kNow);
      }
    }
    load_.groupCount_ = kTierCount;
  }
};

Target MakeTarget(int aNumber, const std::string& aDataCentre = "north")
{
  Target target;
  target.host_ = { "h" + std::to_string(aNumber) };
  target.incarnation_ = 1;
  target.dataCentre_ = { aDataCentre };
  target.region_ = { aDataCentre == "far" ? "r2" : "r1" };
  target.service_ = kService;
  return target;
}

RoutingState MakeState(FeatureMode aMode)
{
  RoutingState state;
  state.dataCentre_ = { "north" };
  state.region_ = { "r1" };
  state.settings_.evenLoad_ = aMode;
  return state;
}

} // namespace

// Load: reports stop, for example because a link is cut. Guards against a last report that keeps
// all calls at, or away from, a target for good.
TEST_CASE("a report that gets old decays to the mean of the service", "[load]")
{
  Table table;
  table.Add(10, 0, 50);
  ApplyLoadReport(table.estimates_[0], { 100, 40, 100, 100 }, kNow + milliseconds(1));
  ApplyLoadReport(table.estimates_[1], { 0, 0, 100, 100 }, kNow + milliseconds(1));
  RefreshShares({}, table.load_, 79, kNow + milliseconds(20));
  CHECK(table.estimates_[0].calls_ > 120);
  CHECK(table.estimates_[1].calls_ < 20);
  CHECK(table.load_.targets_[0].share_ < 0.2 * table.load_.targets_[2].share_);
  CHECK(table.load_.targets_[1].share_ > 2 * table.load_.targets_[2].share_);
  for (int i = 2; i < 250; ++i) {
    RefreshShares({}, table.load_, 79, kNow + i * milliseconds(20));
  }
  const double mean = table.load_.utilisation_[0] * 100;
  CHECK(table.estimates_[0].calls_ == Approx(mean).margin(8));
  CHECK(table.estimates_[1].calls_ == Approx(mean).margin(8));
  // Later they count as unknown, which is the mean.
  RefreshShares({}, table.load_, 79, kNow + seconds(20));
  CHECK_FALSE(table.load_.stated_);
}

// Load: many hosts choose at the same moment. Guards against own calls that a report which was
// measured before them hides, and against reports that overtake each other.
TEST_CASE("own calls since the report are added and late reports ignored", "[load]")
{
  TargetLoadEstimate estimate;
  AddSentCall(estimate, kNow - milliseconds(100));
  AddSentCall(estimate, kNow + milliseconds(5));
  AddSentCall(estimate, kNow + milliseconds(6));
  CHECK(ApplyLoadReport(estimate, { 10, 2, 100, 100 }, kNow));
  CHECK(estimate.calls_ == 14);
  CHECK_FALSE(ApplyLoadReport(estimate, { 99, 0, 100, 100 }, kNow - milliseconds(1)));
  CHECK(estimate.calls_ == 14);
}

// Load: a service of which some targets state no duration of work. Guards against exact counts of
// those targets that are dropped, so that a full target gets as many calls as the others.
TEST_CASE("reports without a duration of work count once the service states one", "[load]")
{
  RoutingState state = MakeState(FeatureMode::kStated);
  TargetView view;
  for (int i = 0; i < 4; ++i) {
    view.targets_[kService].push_back(MakeTarget(i));
    view.hosts_[view.targets_[kService].back().host_] = {};
  }
  for (int i = 0; i < 4; ++i) {
    const LoadReport report{ i == 1 ? 100U : 20U, i == 1 ? 50U : 0U, 100, i == 0 ? 100U : 0U };
    RecordLoadReport(state, view, { "h" + std::to_string(i) }, 1, report, kNow);
  }
  int chosen = 0;
  for (int i = 0; i < 200; ++i) {
    chosen += ChooseTarget(state, view, kService, {}, kNow)->host_.value_ == "h1" ? 1 : 0;
  }
  CHECK(IsLoadEven(state, kService));
  CHECK(chosen < 10);
  CHECK(state.stats_.at({ "h1" }).load_.calls_ == 150);
  CHECK(state.loads_.at(kService).load_.targets_[1].workSeconds_ ==
        state.loads_.at(kService).load_.targets_[0].workSeconds_);
}

// Load: a target without reports. Guards against own calls that the assumed mean hides, so that
// this host sends it more than its share.
TEST_CASE("own calls count at a target without a report", "[load]")
{
  Table table;
  table.Add(4, 0, 50);
  table.estimates_[0] = {};
  RefreshShares({}, table.load_, 2, kNow);
  const double before = table.estimates_[0].calls_;
  for (int i = 0; i < 60; ++i) {
    AddSentCall(table.estimates_[0], kNow);
  }
  RefreshShares({}, table.load_, 2, kNow + milliseconds(20));
  CHECK(table.estimates_[0].calls_ > before + 50);
  RefreshShares({}, table.load_, 2, kNow + milliseconds(1500));
  RefreshShares({}, table.load_, 2, kNow + milliseconds(3000));
  CHECK(table.estimates_[0].calls_ < before + 1);
}

// Load: a new target takes the place of another one. Guards against its share being decided by the
// queue of the previous target.
TEST_CASE("a replaced target doesn't keep the load of the previous one", "[load]")
{
  RoutingState state = MakeState(FeatureMode::kStated);
  TargetView view;
  for (int i = 0; i < 4; ++i) {
    view.targets_[kService].push_back(MakeTarget(i));
    view.targets_[kService].back().instance_ = "first-" + std::to_string(i);
  }
  RecordLoadReport(state, view, { "h0" }, 1, { 100, 90, 100, 300 }, kNow);
  RecordLoadReport(state, view, { "h1" }, 1, { 20, 0, 100, 100 }, kNow);
  (void)ChooseTarget(state, view, kService, {}, kNow + milliseconds(30));
  CHECK(state.stats_.at({ "h0" }).load_.calls_ > 150);
  TargetView next = view;
  next.targets_[kService][0].instance_ = "second-0";
  RemoveAbsentHosts(state, next);
  (void)ChooseTarget(state, next, kService, {}, kNow + milliseconds(60));
  CHECK(state.stats_.at({ "h0" }).load_.calls_ < 30);
  CHECK(state.stats_.at({ "h0" }).load_.report_.limit_ == 0);
  CHECK(state.stats_.at({ "h1" }).load_.report_.limit_ == 100);
}

// Load: targets of different speeds, and one that states a false speed. Guards against slow targets
// that get as many calls as fast ones, and against a false statement that attracts calls to a busy
// target.
TEST_CASE("shares follow the speed, except at a target busier than the others", "[load]")
{
  Table table;
  table.Add(8, 0, 70);
  ApplyLoadReport(table.estimates_[0], { 70, 0, 100, 50 }, kNow + milliseconds(1));
  ApplyLoadReport(table.estimates_[1], { 70, 0, 100, 300 }, kNow + milliseconds(1));
  ApplyLoadReport(table.estimates_[2], { 75, 0, 100, 1 }, kNow + milliseconds(1));
  RefreshShares({}, table.load_, 79, kNow + milliseconds(1));
  const auto share = [&](std::size_t aTarget) { return table.load_.targets_[aTarget].share_; };
  CHECK(share(0) > 1.4 * share(3));
  CHECK(share(1) < 0.6 * share(3));
  CHECK(share(2) <= share(3));
}

// Load: a burst at the callers of one data centre. Guards against all hosts that switch to farther
// targets at once, and against calls that stay there.
TEST_CASE("the share of farther targets rises and falls with the excess", "[load]")
{
  Table table;
  table.Add(4, 0, 80);
  table.Add(4, 1, 20);
  table.Add(8, 2, 20);
  TimePoint now = kNow;
  const auto run = [&](std::uint32_t aNear, Duration aTime) {
    double largestStep = 0;
    for (const TimePoint end = now + aTime; now < end;) {
      now += milliseconds(20);
      for (std::size_t i = 0; i < 4; ++i) {
        ApplyLoadReport(table.estimates_[i], { aNear, 0, 100, 100 }, now);
      }
      const double before = table.load_.leaving_[0];
      RefreshShares({}, table.load_, 79, now);
      largestStep = std::max(largestStep, std::abs(table.load_.leaving_[0] - before));
    }
    return largestStep;
  };
  run(80, seconds(1));
  CHECK(table.load_.leaving_ == std::array<double, 2>{ 0, 0 });
  run(92, milliseconds(100));
  CHECK(table.load_.leaving_[0] > 0);
  CHECK(table.load_.leaving_[0] < 0.03);
  // A jump of the utilisation by 0.38 moves half of that at once and the rest gradually.
  CHECK(run(130, milliseconds(500)) < 0.21);
  CHECK(table.load_.leaving_[0] > 0.3);
  CHECK(table.load_.leaving_[0] < 0.5);
  CHECK(table.load_.leaving_[1] == 0);
  run(60, seconds(2));
  CHECK(table.load_.leaving_[0] == 0);
}

// Load: a data centre is overloaded while no other one has targets. Guards against an excess that
// adds up meanwhile and moves all calls to the first farther target that starts.
TEST_CASE("an excess that no farther target can take doesn't count later", "[load]")
{
  Table table;
  table.Add(4, 0, 150);
  TimePoint now = kNow;
  const auto refresh = [&] {
    now += milliseconds(20);
    for (TargetLoadEstimate& estimate : table.estimates_) {
      ApplyLoadReport(estimate, { estimate.report_.running_, 0, 100, 100 }, now);
    }
    RefreshShares({}, table.load_, 79, now);
  };
  for (int i = 0; i < 250; ++i) {
    refresh();
  }
  CHECK(table.load_.leaving_[0] == 0);
  table.Add(4, 1, 0);
  refresh();
  CHECK(table.load_.leaving_[0] > 0.25);
  CHECK(table.load_.leaving_[0] < 0.35);
}

// Load: a large data centre is overloaded beside a small one. Guards against more calls than the
// small one can run, which would queue there at once.
TEST_CASE("a small farther tier gets no more calls than it can run", "[load]")
{
  const std::uint32_t small = GENERATE(2U, 10U, 40U);
  Table table;
  table.Add(10, 0, 150);
  table.Add(1, 1, 0);
  // Calls run for usualWork_: the small target holds what left within this time.
  const double work = ToSeconds(LoadEstimateSettings{}.usualWork_);
  const double sentPerSecond = 1000 / work;
  double held = 0;
  double highest = 0;
  TimePoint now = kNow;
  for (int i = 0; i < 500; ++i) {
    now += milliseconds(20);
    for (std::size_t j = 0; j < 10; ++j) {
      ApplyLoadReport(table.estimates_[j], { 150, 0, 100, 100 }, now);
    }
    ApplyLoadReport(table.estimates_[10], { static_cast<std::uint32_t>(held), 0, small, 100 }, now);
    RefreshShares({}, table.load_, 79, now);
    const double arrived = table.load_.leaving_[0] * sentPerSecond * 0.02;
    held += arrived - std::min<double>(held, small) * 0.02 / work;
    highest = std::max(highest, held);
  }
  CHECK(highest < 1.5 * small + 2);
  CHECK(held > 0.6 * small);
}

// Load: a target refuses most of its calls and therefore runs few. Guards against more calls to it
// than to the others, and against one that gets none after it recovered.
TEST_CASE("a refusing target gets fewer calls until it recovers", "[load]")
{
  RoutingState state = MakeState(FeatureMode::kStated);
  TargetView view;
  for (int i = 0; i < 4; ++i) {
    view.targets_[kService].push_back(MakeTarget(i));
    view.hosts_[view.targets_[kService].back().host_] = {};
  }
  TimePoint now = kNow;
  // Reported calls of the refusing target are as low as its refusals make them.
  const auto run = [&](bool aRefuses) {
    int chosen = 0;
    for (int i = 0; i < 2000; ++i) {
      now += milliseconds(25);
      const Target target = *ChooseTarget(state, view, kService, {}, now);
      const bool first = target.host_.value_ == "h0";
      const LoadReport report{ first && aRefuses ? 20U : 50U, 0, 100, 100 };
      chosen += first && i >= 1000 ? 1 : 0;
      RecordCallSent(state, target, now);
      RecordCallEnded(state,
                      target,
                      first && aRefuses ? AttemptResult::kRefused : AttemptResult::kAnswered,
                      milliseconds(300),
                      0.5,
                      now,
                      &report);
    }
    return chosen;
  };
  const int refusing = run(true);
  const int recovered = run(false);
  CAPTURE(refusing, recovered);
  CHECK(refusing < 200);
  CHECK(refusing > 0);
  CHECK(recovered > 200);
}

// Load: targets start beside a full one in a data centre. Guards against their slots, of which they
// may use few at first, hiding that calls must leave.
TEST_CASE("targets in slow start hardly count in the utilisation of their tier", "[load]")
{
  Table table;
  table.Add(1, 0, 130);
  table.Add(9, 0, 0);
  table.Add(4, 1, 20);
  for (std::size_t i = 1; i < 10; ++i) {
    table.load_.targets_[i].allowed_ = 0.02;
  }
  RefreshShares({}, table.load_, 79, kNow);
  CHECK(table.load_.utilisation_[0] > 1);
  CHECK(table.load_.leaving_[0] > 0);
}

// Guards against an assumed duration of work that includes the wait in a queue.
TEST_CASE("answers of a target with a queue don't count as durations of work", "[load]")
{
  RoutingState state = MakeState(FeatureMode::kStated);
  const Target target = MakeTarget(1);
  const auto answer = [&](std::uint32_t aQueued, Duration aTime) {
    const LoadReport report{ 100, aQueued, 100, 100 };
    RecordCallSent(state, target, kNow);
    RecordCallEnded(state, target, AttemptResult::kAnswered, aTime, 1, kNow, &report);
    return state.loads_.at(kService).load_.usualWorkSeconds_;
  };
  CHECK(answer(0, milliseconds(200)) == Approx(0.2));
  CHECK(answer(30, seconds(3)) == Approx(0.2));
}

// Guards against calls in a region that the route doesn't allow, or in an evacuated data centre.
TEST_CASE("the choice by load keeps to allowed regions and evacuations", "[load]")
{
  RoutingState state = MakeState(FeatureMode::kStated);
  TargetView view;
  for (int i = 0; i < 6; ++i) {
    const std::string dataCentre = i < 2 ? "north" : i < 4 ? "south" : "far";
    view.targets_[kService].push_back(MakeTarget(i, dataCentre));
  }
  for (int i = 0; i < 6; ++i) {
    const LoadReport report{ i < 2 ? 200U : 10U, 0, 100, 100 };
    RecordLoadReport(state, view, { "h" + std::to_string(i) }, 1, report, kNow);
  }
  view.evacuated_ = { DataCentreId{ "south" } };
  const std::vector<RegionId> allowed{ { "r1" } };
  const TargetFilter filter{ &allowed, nullptr };
  for (int i = 0; i < 200; ++i) {
    const auto chosen = ChooseTarget(state, view, kService, {}, kNow, {}, filter);
    REQUIRE(chosen.has_value());
    CHECK(chosen->dataCentre_.value_ == "north");
  }
}

// Load: a target becomes unreachable between two refreshes of the shares. Guards against calls to
// it until the next refresh, and against a changed view that restarts the time since the last one.
TEST_CASE("an ejection affects the next choice", "[load]")
{
  RoutingState state = MakeState(FeatureMode::kStated);
  TargetView view;
  for (int i = 0; i < 3; ++i) {
    view.targets_[kService].push_back(MakeTarget(i));
  }
  for (int i = 0; i < 3; ++i) {
    RecordLoadReport(state, view, { "h" + std::to_string(i) }, 1, { 20, 0, 100, 100 }, kNow);
  }
  (void)ChooseTarget(state, view, kService, {}, kNow);
  const Target& lost = view.targets_[kService][0];
  RecordCallSent(state, lost, kNow);
  RecordCallEnded(state, lost, AttemptResult::kUnreachable, {}, -1, kNow);
  for (int i = 0; i < 100; ++i) {
    CHECK(ChooseTarget(state, view, kService, {}, kNow)->host_ != lost.host_);
  }
  TargetView next = view;
  RemoveAbsentHosts(state, next);
  CHECK(state.loads_.at(kService).load_.refreshedAt_ == kNow);
  (void)ChooseTarget(state, next, kService, {}, kNow + milliseconds(5));
  CHECK(state.loads_.at(kService).load_.refreshedAt_ == kNow + milliseconds(5));
}

// Guards against another choice at services whose targets don't state their duration of work.
TEST_CASE("services without a stated duration of work keep their choice", "[load]")
{
  CHECK(rc::check("random calls and reports", [] {
    RoutingState off = MakeState(FeatureMode::kOff);
    RoutingState stated = MakeState(FeatureMode::kStated);
    off.random_ = stated.random_ = *rc::gen::arbitrary<std::uint64_t>();
    TargetView view;
    for (int i = 0; i < 6; ++i) {
      view.targets_[kService].push_back(MakeTarget(i, i < 3 ? "north" : "far"));
    }
    view.targets_[{ "other" }].push_back(MakeTarget(9));
    view.targets_[{ "other" }].back().service_ = { "other" };
    TimePoint now = kNow;
    for (int i = 0; i < 50; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 300));
      const LoadReport report{ *rc::gen::inRange(0U, 200U), 0, 100, 0 };
      RecordLoadReport(stated, view, { "h1" }, 1, report, now);
      // Another service beside it states its duration of work.
      RecordLoadReport(stated, view, { "h9" }, 1, { report.running_, 0, 100, 150 }, now);
      RC_ASSERT(stated.loads_.contains({ "other" }));
      const auto one = ChooseTarget(off, view, kService, {}, now, milliseconds(500));
      const auto two = ChooseTarget(stated, view, kService, {}, now, milliseconds(500));
      RC_ASSERT(one == two);
      for (RoutingState* state : { &off, &stated }) {
        RecordCallSent(*state, *one, now);
        RecordCallEnded(*state,
                        *one,
                        AttemptResult::kAnswered,
                        milliseconds(20),
                        report.running_ / 100.0,
                        now,
                        state == &stated ? &report : nullptr);
      }
    }
  }));
}

// Guards against the choice of a target that drains, was tried already or failed, against choosing
// none although one is usable, and against use of a view that was replaced.
TEST_CASE("the choice by load picks a usable target if there is one", "[load]")
{
  CHECK(rc::check("random views, reports and results", [] {
    RoutingState state = MakeState(FeatureMode::kStated);
    state.random_ = *rc::gen::arbitrary<std::uint64_t>();
    TargetView view;
    TimePoint now = kNow;
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      if (i % 15 == 0) {
        std::vector<Target> targets;
        for (int j = *rc::gen::inRange(0, 3); j < 6; j += *rc::gen::inRange(1, 3)) {
          targets.push_back(MakeTarget(j, *rc::gen::element<std::string>("north", "south", "far")));
          targets.back().state_ = *rc::gen::element(
            TargetState::kCold, TargetState::kReady, TargetState::kDraining, TargetState::kLeft);
          targets.back().incarnation_ = *rc::gen::inRange(1, 3);
        }
        view.targets_[kService] = targets;
        RemoveAbsentHosts(state, view);
      }
      std::vector<HostId> exclude;
      bool exists = false;
      for (const Target& target : view.targets_.at(kService)) {
        RecordLoadReport(state,
                         view,
                         target.host_,
                         target.incarnation_,
                         { *rc::gen::inRange(0U, 200U), 0, *rc::gen::inRange(0U, 100U), 150 },
                         now);
        const bool isExcluded = *rc::gen::inRange(0, 4) == 0;
        if (isExcluded) {
          exclude.push_back(target.host_);
        }
        exists = exists || (!isExcluded && target.state_ <= TargetState::kReady);
      }
      // Whether a target is neither excluded, ejected, failing nor refusing at the moment.
      const auto isGood = [&](const Target& aTarget) {
        const auto stats = state.stats_.find(aTarget.host_);
        return aTarget.state_ <= TargetState::kReady &&
               std::find(exclude.begin(), exclude.end(), aTarget.host_) == exclude.end() &&
               (stats == state.stats_.end() || stats->second.incarnation_ != aTarget.incarnation_ ||
                (stats->second.ejectedUntil_ <= now && stats->second.refusedUntil_ <= now &&
                 stats->second.failureFraction_ < 0.5));
      };
      const auto& all = view.targets_.at(kService);
      const bool anyGood = std::any_of(all.begin(), all.end(), isGood);
      const auto ejectedCount = std::count_if(all.begin(), all.end(), [&](const Target& aTarget) {
        const auto stats = state.stats_.find(aTarget.host_);
        return stats != state.stats_.end() && stats->second.ejectedUntil_ > now;
      });
      const auto chosen = ChooseTarget(state, view, kService, exclude, now);
      RC_ASSERT(chosen.has_value() == exists);
      if (const auto table = state.loads_.find(kService);
          table != state.loads_.end() && !all.empty()) {
        RC_ASSERT(table->second.load_.refreshedAt_ + milliseconds(20) > now);
      }
      if (chosen) {
        // More ejections than half of the targets aren't all observed.
        if (anyGood && 2 * ejectedCount <= static_cast<long>(all.size())) {
          RC_ASSERT(isGood(*chosen));
        }
        RC_ASSERT(chosen->state_ <= TargetState::kReady);
        RC_ASSERT(std::find(exclude.begin(), exclude.end(), chosen->host_) == exclude.end());
        RecordCallSent(state, *chosen, now);
        const LoadReport report{ 5, 0, 100, 90 };
        RecordCallEnded(state,
                        *chosen,
                        *rc::gen::element(AttemptResult::kAnswered,
                                          AttemptResult::kRefused,
                                          AttemptResult::kUnreachable),
                        milliseconds(5),
                        0.05,
                        now,
                        &report);
        RecordFailureFraction(state, *chosen, *rc::gen::element(0.0, 0.0, 0.9), now);
      }
    }
  }));
}
