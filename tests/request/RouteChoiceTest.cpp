// Tests of load balancing: choice of targets, ejection and slow start.
#include "peridotquay/request/RouteChoice.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace peridotquay;

namespace {

const ServiceId kService{ "press" };
const TimePoint kStart{ seconds(1000) };

Target MakeTarget(const std::string& aHost, const std::string& aDataCentre = "north")
{
  Target target;
  target.host_ = { aHost };
  target.incarnation_ = 1;
  target.dataCentre_ = { aDataCentre };
  target.region_ = { aDataCentre == "far" ? "r2" : "r1" };
  target.service_ = kService;
  return target;
}

TargetView MakeView(std::vector<Target> aTargets)
{
  TargetView view;
  view.targets_[kService] = std::move(aTargets);
  return view;
}

RoutingState MakeState()
{
  RoutingState state;
  state.dataCentre_ = { "north" };
  state.region_ = { "r1" };
  return state;
}

void RecordFailedCalls(RoutingState& aState, const Target& aTarget, int aTimes, TimePoint aNow)
{
  for (int i = 0; i < aTimes; ++i) {
    RecordCallSent(aState, aTarget);
    RecordCallEnded(aState, aTarget, AttemptResult::kFailed, milliseconds(1), -1, aNow);
  }
}

std::map<std::string, int> CountChoices(RoutingState& aState,
                                        const TargetView& aView,
                                        TimePoint aNow)
{
  std::map<std::string, int> counts;
  for (int i = 0; i < 2000; ++i) {
    const auto target = ChooseTarget(aState, aView, kService, {}, aNow);
    REQUIRE(target.has_value());
    ++counts[target->host_.value_];
  }
  return counts;
}

/// Simulates open-loop calls, one every millisecond. aLatencyMs gives the latency of a call, aLoad
/// the reported load of a target. Returns the fraction of the calls that went to the first target.
template<typename Latency, typename Load>
double FractionToFirst(const TargetView& aView, Latency aLatencyMs, Load aLoad)
{
  RoutingState state = MakeState();
  struct Running
  {
    Target target_;
    TimePoint start_{};
    TimePoint end_{};
  };
  std::vector<Running> running;
  std::map<std::string, int> inFlight;
  double callsToFirst = 0;
  constexpr int kCalls = 5000;
  for (int ms = 0; ms < kCalls; ++ms) {
    const TimePoint now = kStart + milliseconds(ms);
    std::erase_if(running, [&](const Running& aCall) {
      if (aCall.end_ > now) {
        return false;
      }
      --inFlight[aCall.target_.host_.value_];
      RecordCallEnded(state,
                      aCall.target_,
                      AttemptResult::kAnswered,
                      aCall.end_ - aCall.start_,
                      aLoad(aCall.target_),
                      now);
      return true;
    });
    const Target target = *ChooseTarget(state, aView, kService, {}, now);
    const std::string& host = target.host_.value_;
    callsToFirst += host == aView.targets_.at(kService).front().host_.value_ ? 1 : 0;
    ++inFlight[host];
    RecordCallSent(state, target);
    running.push_back({ target, now, now + milliseconds(aLatencyMs(target, inFlight[host])) });
  }
  return callsToFirst / kCalls;
}

} // namespace

// Guards against choosing a target that is draining, left or tried already, and against choosing
// none although the service has a usable one.
TEST_CASE("a usable target is chosen if there is one", "[route]")
{
  CHECK(rc::check("random views and results", [] {
    RoutingState state = MakeState();
    state.random_ = *rc::gen::arbitrary<std::uint64_t>();
    std::vector<Target> targets;
    const int count = *rc::gen::inRange(1, 7);
    for (int i = 0; i < count; ++i) {
      Target target = MakeTarget(std::string(1, static_cast<char>('a' + i)),
                                 *rc::gen::element<std::string>("north", "south", "far"));
      target.state_ = *rc::gen::element(TargetState::kCold,
                                        TargetState::kReady,
                                        TargetState::kReady,
                                        TargetState::kDraining,
                                        TargetState::kLeft);
      target.readySince_ = kStart - seconds(*rc::gen::inRange(0, 20));
      targets.push_back(target);
    }
    const TargetView view = MakeView(targets);
    TimePoint now = kStart;
    for (int i = 0; i < 60; ++i) {
      now += milliseconds(*rc::gen::inRange(0, 100));
      std::vector<HostId> exclude;
      for (const Target& target : targets) {
        if (*rc::gen::inRange(0, 4) == 0) {
          exclude.push_back(target.host_);
        }
      }
      const bool exists = std::any_of(targets.begin(), targets.end(), [&](const Target& aTarget) {
        return (aTarget.state_ == TargetState::kCold || aTarget.state_ == TargetState::kReady) &&
               std::find(exclude.begin(), exclude.end(), aTarget.host_) == exclude.end();
      });
      const auto chosen = ChooseTarget(state, view, kService, exclude, now);
      RC_ASSERT(chosen.has_value() == exists);
      if (!chosen) {
        continue;
      }
      RC_ASSERT(chosen->state_ == TargetState::kCold || chosen->state_ == TargetState::kReady);
      RC_ASSERT(std::find(exclude.begin(), exclude.end(), chosen->host_) == exclude.end());
      RecordCallSent(state, *chosen);
      RecordCallEnded(state,
                      *chosen,
                      *rc::gen::element(AttemptResult::kAnswered,
                                        AttemptResult::kRefused,
                                        AttemptResult::kFailed,
                                        AttemptResult::kTimedOut),
                      milliseconds(5),
                      0.5,
                      now);
      RC_ASSERT(state.stats_.at(chosen->host_).inFlight_ == 0U);
    }
  }));
}

// Guards against an outage of the whole service caused by ejection.
TEST_CASE("at most half of a service is ejected", "[route]")
{
  for (int count = 1; count <= 5; ++count) {
    std::vector<Target> targets;
    for (int i = 0; i < count; ++i) {
      targets.push_back(MakeTarget(std::string(1, static_cast<char>('a' + i))));
    }
    const TargetView view = MakeView(targets);
    RoutingState state = MakeState();
    for (const Target& target : targets) {
      RecordFailedCalls(state, target, 5, kStart);
    }
    const auto counts = CountChoices(state, view, kStart + milliseconds(10));
    CHECK(static_cast<int>(counts.size()) == count - count / 2);
  }
}

// Guards against a broken target that keeps receiving calls, and against one that is ejected
// permanently.
TEST_CASE("ejection lasts one second and doubles", "[route]")
{
  RoutingState state = MakeState();
  const TargetView view = MakeView({ MakeTarget("a"), MakeTarget("b"), MakeTarget("c") });
  const Target& broken = view.targets_.at(kService)[0];
  RecordFailedCalls(state, broken, 4, kStart);
  CHECK(CountChoices(state, view, kStart).contains("a"));
  RecordFailedCalls(state, broken, 1, kStart);
  CHECK_FALSE(CountChoices(state, view, kStart + milliseconds(999)).contains("a"));
  CHECK(CountChoices(state, view, kStart + milliseconds(1000)).contains("a"));
  // Late failures during the ejection don't count.
  RecordFailedCalls(state, broken, 5, kStart + milliseconds(1000));
  RecordFailedCalls(state, broken, 50, kStart + milliseconds(1100));
  CHECK_FALSE(CountChoices(state, view, kStart + milliseconds(2999)).contains("a"));
  CHECK(CountChoices(state, view, kStart + milliseconds(3000)).contains("a"));
  // A new incarnation starts without the old one's failures.
  RecordFailedCalls(state, broken, 5, kStart + seconds(3));
  Target restarted = broken;
  restarted.incarnation_ = 2;
  const TargetView after = MakeView({ restarted, MakeTarget("b"), MakeTarget("c") });
  CHECK(CountChoices(state, after, kStart + seconds(3)).contains("a"));
}

// Guards against calls to far targets while near ones accept, and against refused calls while far
// targets would accept them.
TEST_CASE("calls spill over to the next tier when the nearer one refuses", "[route]")
{
  RoutingState state = MakeState();
  const TargetView view = MakeView(
    { MakeTarget("a"), MakeTarget("b"), MakeTarget("s", "south"), MakeTarget("f", "far") });
  const auto& targets = view.targets_.at(kService);
  const auto refuse = [&](const Target& aTarget) {
    RecordCallSent(state, aTarget);
    RecordCallEnded(state, aTarget, AttemptResult::kRefused, milliseconds(1), 1, kStart);
  };
  const auto hosts = [&] {
    std::set<std::string> names;
    for (const auto& entry : CountChoices(state, view, kStart + milliseconds(1))) {
      names.insert(entry.first);
    }
    return names;
  };
  CHECK(hosts() == std::set<std::string>{ "a", "b" });
  refuse(targets[0]);
  CHECK(hosts() == std::set<std::string>{ "b" });
  refuse(targets[1]);
  CHECK(hosts() == std::set<std::string>{ "s" });
  refuse(targets[2]);
  CHECK(hosts() == std::set<std::string>{ "f" });
  refuse(targets[3]);
  CHECK(hosts() == std::set<std::string>{ "a", "b" });
}

// Guards against a target that draws all traffic by reporting or announcing no load.
TEST_CASE("a false report of low load draws a bounded part of the traffic", "[route]")
{
  std::vector<Target> targets{ MakeTarget("a"), MakeTarget("b"), MakeTarget("c"), MakeTarget("d") };
  for (std::size_t i = 1; i < targets.size(); ++i) {
    targets[i].announcedLoad_ = 1;
  }
  const TargetView view = MakeView(targets);
  const auto load = [](const Target& aTarget) { return aTarget.host_.value_ == "a" ? 0.0 : 1.0; };
  const auto equal = [](const Target&, int) { return 20; };
  CHECK(FractionToFirst(view, equal, load) < 0.4);
  // If its latency grows with its calls, the node's own observation outweighs the report.
  const auto loaded = [](const Target& aTarget, int aInFlight) {
    return aTarget.host_.value_ == "a" ? 20 + 4 * aInFlight : 20;
  };
  CHECK(FractionToFirst(view, loaded, load) < 0.25);
}

// Guards against a slow target that keeps its full share of the traffic, and against one that is
// avoided permanently although it recovered.
TEST_CASE("a slow target gets fewer calls and is tried again later", "[route]")
{
  const TargetView view = MakeView({ MakeTarget("a"), MakeTarget("b"), MakeTarget("c") });
  const auto slow = [](const Target& aTarget, int) {
    return aTarget.host_.value_ == "a" ? 100 : 10;
  };
  const auto noLoad = [](const Target&) { return -1.0; };
  const double fraction = FractionToFirst(view, slow, noLoad);
  CHECK(fraction < 0.15);
  CHECK(fraction > 0);

  RoutingState state = MakeState();
  const auto& targets = view.targets_.at(kService);
  for (std::size_t i = 0; i < targets.size(); ++i) {
    RecordCallSent(state, targets[i]);
    RecordCallEnded(state,
                    targets[i],
                    AttemptResult::kAnswered,
                    i == 0 ? seconds(2) : milliseconds(10),
                    -1,
                    kStart);
  }
  CHECK_FALSE(CountChoices(state, view, kStart).contains("a"));
  for (int ms = 0; ms < 20000; ms += 100) {
    for (std::size_t i = 1; i < targets.size(); ++i) {
      RecordCallSent(state, targets[i]);
      RecordCallEnded(state,
                      targets[i],
                      AttemptResult::kAnswered,
                      milliseconds(10),
                      -1,
                      kStart + milliseconds(ms));
    }
  }
  CHECK(CountChoices(state, view, kStart + seconds(20)).contains("a"));
}

// Guards against full load on a target that has just started.
TEST_CASE("the share of a cold target rises gradually", "[route]")
{
  double previousFraction = 0;
  for (const int age : { 0, 2, 5, 10 }) {
    std::vector<Target> targets{
      MakeTarget("a"), MakeTarget("b"), MakeTarget("c"), MakeTarget("d")
    };
    targets[0].state_ = TargetState::kCold;
    targets[0].readySince_ = kStart - seconds(age);
    RoutingState state = MakeState();
    const double fraction = CountChoices(state, MakeView(targets), kStart)["a"] / 2000.0;
    CHECK(fraction <= 0.07 * age + 0.03);
    CHECK(fraction >= previousFraction);
    previousFraction = fraction;
  }
  CHECK(previousFraction > 0.2);
}

// Guards against memory that grows with every host that was ever a target.
TEST_CASE("stats of absent hosts without calls in flight are removed", "[route]")
{
  RoutingState state = MakeState();
  const Target gone = MakeTarget("gone");
  const Target busy = MakeTarget("busy");
  RecordFailedCalls(state, gone, 1, kStart);
  RecordCallSent(state, busy);
  RemoveAbsentHosts(state, MakeView({ MakeTarget("a") }));
  CHECK_FALSE(state.stats_.contains(gone.host_));
  CHECK(state.stats_.contains(busy.host_));
}

// Guards against a queue at the only target of the own data centre while a target in another one
// has free slots. After a host failed, 6 % of the calls failed in the queue of the overloaded
// target beside it.
TEST_CASE("calls spill over to a farther tier when nearer targets queue", "[route]")
{
  RoutingState state;
  state.dataCentre_ = DataCentreId{ "north-1" };
  state.region_ = RegionId{ "north" };
  std::vector<Target> targets{ MakeTarget("own"), MakeTarget("near"), MakeTarget("far") };
  const char* centres[] = { "north-1", "north-2", "south-1" };
  for (std::size_t i = 0; i < targets.size(); ++i) {
    targets[i].dataCentre_ = DataCentreId{ centres[i] };
    targets[i].region_ = RegionId{ i < 2 ? "north" : "south" };
  }
  const TargetView view = MakeView(targets);
  const auto report = [&](std::size_t aTarget, double aLoad) {
    RecordCallSent(state, targets[aTarget]);
    RecordCallEnded(
      state, targets[aTarget], AttemptResult::kAnswered, milliseconds(20), aLoad, kStart);
  };
  const auto chosen = [&] {
    return ChooseTarget(state, view, targets[0].service_, {}, kStart)->host_.value_;
  };
  report(0, 0.9);
  CHECK(chosen() == "own");
  report(0, 1.1);
  CHECK(chosen() == "near");
  // Links between regions are slow and paid by volume, so a short queue is preferred.
  report(1, 1.1);
  CHECK(chosen() == "own");
  report(0, 1.5);
  report(1, 1.5);
  CHECK(chosen() == "far");
}

// Guards against a dead host that must fail failuresToEject_ calls, each of which costs a retry,
// before it is ejected, also after an earlier ejection.
TEST_CASE("an unreachable target is ejected immediately and again after one failure", "[route]")
{
  RoutingState state;
  const std::vector<Target> targets{ MakeTarget("a"), MakeTarget("b") };
  const TargetView view = MakeView(targets);
  const auto fail = [&](AttemptResult aResult, TimePoint aNow) {
    RecordCallSent(state, targets[0]);
    RecordCallEnded(state, targets[0], aResult, milliseconds(1), -1, aNow);
  };
  const auto ejected = [&](TimePoint aNow) {
    return CountChoices(state, view, aNow).count("a") == 0;
  };
  fail(AttemptResult::kUnreachable, kStart);
  CHECK(ejected(kStart + milliseconds(999)));
  CHECK_FALSE(ejected(kStart + milliseconds(1001)));
  fail(AttemptResult::kFailed, kStart + milliseconds(1001));
  CHECK(ejected(kStart + milliseconds(2900)));
}

// Guards against a target that fails its calls immediately: it seems fast and idle, and would draw
// more and more calls.
TEST_CASE("a target that fails more calls than the others is avoided", "[route]")
{
  RoutingState state;
  const std::vector<Target> targets{ MakeTarget("a"), MakeTarget("b"), MakeTarget("c") };
  const TargetView view = MakeView(targets);
  for (const Target& target : targets) {
    RecordFailureFraction(state, target, target.host_.value_ == "a" ? 0.4 : 0.02, kStart);
  }
  CHECK(CountChoices(state, view, kStart).count("a") == 0);
  CHECK(CountChoices(state, view, kStart + seconds(1)).count("a") == 0);
  // It is tried again although no newer report arrived: reports only come with answers to calls.
  CHECK(CountChoices(state, view, kStart + seconds(4)).count("a") == 1);
  // If all other targets were tried for the call, it is chosen.
  const auto last = ChooseTarget(state, view, kService, { { "b" }, { "c" } }, kStart);
  REQUIRE(last);
  CHECK(last->host_.value_ == "a");
}

// Guards against avoiding all targets because a service that they all call makes them fail.
TEST_CASE("failures that all targets have in common exclude none of them", "[route]")
{
  RoutingState state;
  const std::vector<Target> targets{ MakeTarget("a"), MakeTarget("b"), MakeTarget("c") };
  const TargetView view = MakeView(targets);
  for (const Target& target : targets) {
    RecordFailureFraction(state, target, target.host_.value_ == "a" ? 0.7 : 0.65, kStart);
  }
  CHECK(CountChoices(state, view, kStart).size() == 3);
}

// Guards against a host without statistics after it restarted with a lower incarnation, because its
// clock was set back: its failed calls and its load weren't recorded, so it was never ejected.
TEST_CASE("a target that restarted with a lower incarnation is ejected when it fails", "[route]")
{
  RoutingState state = MakeState();
  Target before = MakeTarget("a");
  before.incarnation_ = 100;
  RecordCallSent(state, before);
  RecordCallEnded(state, before, AttemptResult::kAnswered, milliseconds(5), 0.1, kStart);
  RecordCallSent(state, before);
  Target after = MakeTarget("a");
  after.incarnation_ = 70;
  RecordFailedCalls(state, after, 10, kStart);
  // The end of a call to the earlier process changes nothing.
  RecordCallEnded(state, before, AttemptResult::kAnswered, milliseconds(5), 0.1, kStart);
  const TargetView view = MakeView({ after, MakeTarget("b") });
  CHECK(CountChoices(state, view, kStart + milliseconds(10))["a"] == 0);
}

namespace {

/// Hosts that 2,000 choices under a filter reach.
std::set<std::string> ReachedHosts(const TargetView& aView, const TargetFilter& aFilter)
{
  RoutingState state = MakeState();
  std::set<std::string> reached;
  for (int i = 0; i < 2000; ++i) {
    if (const auto target = ChooseTarget(state, aView, kService, {}, kStart, {}, aFilter)) {
      reached.insert(target->host_.value_);
    }
  }
  return reached;
}

} // namespace

// Guards against requests that reach a region which the route or the account doesn't allow, also
// when all targets of the allowed one are ejected.
TEST_CASE("the lists of the route and of the account both restrict the regions", "[route]")
{
  const std::vector<RegionId> none;
  const std::vector<RegionId> near{ { "r1" } };
  const std::vector<RegionId> far{ { "r2" } };
  const std::vector<RegionId> both{ { "r1" }, { "r2" } };
  const TargetView view =
    MakeView({ MakeTarget("a"), MakeTarget("b", "south"), MakeTarget("c", "far") });
  CHECK(ReachedHosts(view, { &far, &none }) == std::set<std::string>{ "c" });
  CHECK(ReachedHosts(view, { &none, &far }) == std::set<std::string>{ "c" });
  CHECK(ReachedHosts(view, { &both, &far }) == std::set<std::string>{ "c" });
  CHECK(ReachedHosts(view, { &near, &far }).empty());
  CHECK(ReachedHosts(view, { &none, nullptr }) == ReachedHosts(view, {}));

  RoutingState state = MakeState();
  const Target onlyAllowed = MakeTarget("c", "far");
  RecordFailedCalls(state, onlyAllowed, 5, kStart);
  CHECK(ChooseTarget(state, view, kService, {}, kStart, {}, { &far, nullptr })->host_.value_ ==
        "c");
  CHECK_FALSE(ChooseTarget(state, view, kService, { { "c" } }, kStart, {}, { &far, nullptr }));
}

// Guards against new requests to targets of a data centre that the operator evacuates.
TEST_CASE("an evacuated data centre is not chosen until it returns", "[route]")
{
  TargetView view = MakeView({ MakeTarget("a"), MakeTarget("b", "south") });
  view.evacuated_ = { { "north" } };
  CHECK(ReachedHosts(view, {}) == std::set<std::string>{ "b" });
  view.evacuated_ = { { "north" }, { "south" } };
  CHECK(ReachedHosts(view, {}).empty());
  view.evacuated_.clear();
  CHECK(ReachedHosts(view, {}).contains("a"));
}
