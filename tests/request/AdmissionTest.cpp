// Tests of admission: invariants over random operations, fair shares against a max-min reference,
// and the adaptive limit with simulated targets.
#include "peridotquay/request/Admission.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <functional>
#include <map>
#include <rapidcheck.h>
#include <set>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };

WaitingCall MakeCall(std::uint64_t aId,
                     const std::string& aAccount,
                     TimePoint aNow,
                     Importance aImportance = Importance::kNormal,
                     double aWeight = 1,
                     Duration aDeadline = seconds(2))
{
  return { aId, aImportance, { aAccount }, aWeight, aNow, aNow + aDeadline };
}

/// Independent model of the waiting and running calls; checks the result of every operation.
struct AdmissionModel
{
  std::map<std::uint64_t, WaitingCall> waiting_;
  std::set<std::uint64_t> running_;

  void Apply(const AdmissionState& aState, const AdmissionActions& aActions, TimePoint aNow)
  {
    for (const std::uint64_t id : aActions.start_) {
      const auto call = waiting_.find(id);
      RC_ASSERT(call != waiting_.end());
      RC_ASSERT(call->second.deadline_ > aNow);
      const Importance importance = call->second.importance_;
      waiting_.erase(call);
      RC_ASSERT(running_.insert(id).second);
      for (const auto& other : waiting_) {
        const bool starts =
          std::find(aActions.start_.begin(), aActions.start_.end(), other.first) !=
          aActions.start_.end();
        const bool refused =
          std::any_of(aActions.refuse_.begin(),
                      aActions.refuse_.end(),
                      [&](const RefusedCall& aCall) { return aCall.id_ == other.first; });
        // No more important call may be left waiting.
        RC_ASSERT(starts || refused || other.second.importance_ >= importance);
      }
    }
    for (const RefusedCall& refused : aActions.refuse_) {
      const auto call = waiting_.find(refused.id_);
      RC_ASSERT(call != waiting_.end());
      const WaitingCall victim = call->second;
      waiting_.erase(call);
      RC_ASSERT(refused.retryAfterMs_ > 0U);
      if (refused.code_ == ErrorCode::kShed) {
        for (const auto& other : waiting_) {
          RC_ASSERT(other.second.importance_ <= victim.importance_);
        }
      } else {
        RC_ASSERT(refused.code_ == ErrorCode::kDeadlineExceeded);
      }
    }
    RC_ASSERT(aState.running_ == running_.size());
    RC_ASSERT(aState.queued_ == waiting_.size());
    RC_ASSERT(aState.queued_ <= aState.settings_.queueCapacity_);
    std::size_t sum = 0;
    for (const ClassQueue& queue : aState.queues_) {
      std::size_t calls = 0;
      for (const auto& entry : queue.accounts_) {
        calls += entry.second.calls_.size();
      }
      RC_ASSERT(calls == queue.size_);
      sum += calls;
    }
    RC_ASSERT(sum == aState.queued_);
    // No call waits while a slot is free, and no call starts above the limit.
    const bool hasSlot = static_cast<double>(running_.size()) + 1 <= aState.limit_;
    RC_ASSERT((waiting_.empty() || !hasSlot));
    const bool isOverLimit = static_cast<double>(running_.size()) > aState.limit_;
    RC_ASSERT((aActions.start_.empty() || !isOverLimit));
    RC_ASSERT(aState.limit_ >= 1);
    const bool isAboveSlots = aState.announcedSlots_ > 0 && aState.limit_ > aState.announcedSlots_;
    RC_ASSERT(!isAboveSlots);
  }
};

/// Reference for weighted max-min fair shares: repeatedly satisfies all accounts whose demand is
/// below an equal weighted share of the remaining capacity.
std::vector<double> FairShares(const std::vector<double>& aDemands,
                               const std::vector<double>& aWeights,
                               double aCapacity)
{
  std::vector<double> shares(aDemands.size(), 0);
  std::set<std::size_t> open;
  for (std::size_t i = 0; i < aDemands.size(); ++i) {
    open.insert(i);
  }
  while (!open.empty()) {
    double weights = 0;
    for (const std::size_t i : open) {
      weights += aWeights[i];
    }
    const double level = aCapacity / weights;
    std::set<std::size_t> satisfied;
    for (const std::size_t i : open) {
      if (aDemands[i] <= level * aWeights[i]) {
        satisfied.insert(i);
      }
    }
    for (const std::size_t i : open) {
      shares[i] = satisfied.empty() ? level * aWeights[i] : aDemands[i];
    }
    if (satisfied.empty()) {
      break;
    }
    for (const std::size_t i : satisfied) {
      aCapacity -= aDemands[i];
      open.erase(i);
    }
  }
  return shares;
}

/// State with a concurrency limit that never changes.
AdmissionState FixedLimit(std::uint32_t aLimit, std::uint32_t aCapacity)
{
  AdmissionState state;
  state.settings_.initialLimit_ = state.settings_.minLimit_ = state.settings_.maxLimit_ = aLimit;
  state.settings_.queueCapacity_ = aCapacity;
  state.limit_ = aLimit;
  return state;
}

/// Simulates a target behind a guard, with waiting calls at all times, in steps of 1 ms.
class SaturatedTarget
{
public:
  /// Latency in milliseconds of a call, by the number that runs at its start; negative refuses.
  using Latency = std::function<double(std::uint32_t)>;

  AdmissionState state_;
  int answered_ = 0;
  int refused_ = 0;
  double minLimitInRun_ = 1e9;

  /// Runs for aTime and keeps aQueued calls waiting. If it is 0, a call is offered when none runs.
  void Run(Duration aTime, std::size_t aQueued, const Latency& aLatency)
  {
    minLimitInRun_ = 1e9;
    for (const TimePoint end = now_ + aTime; now_ < end; now_ += milliseconds(1)) {
      while (!ends_.empty() && ends_.begin()->first <= now_) {
        const Running call = ends_.begin()->second;
        ends_.erase(ends_.begin());
        answered_ += call.result_ == ExecutionResult::kAnswered ? 1 : 0;
        refused_ += call.result_ == ExecutionResult::kTargetRefused ? 1 : 0;
        StartAll(FinishCall(state_, call.result_, now_ - call.start_, now_), aLatency);
      }
      while (state_.queued_ < aQueued || (aQueued == 0 && state_.running_ == 0)) {
        StartAll(OfferCall(state_,
                           MakeCall(++lastId_, "a", now_, Importance::kNormal, 1, seconds(600)),
                           now_),
                 aLatency);
      }
      minLimitInRun_ = std::min(minLimitInRun_, state_.limit_);
    }
  }

private:
  struct Running
  {
    TimePoint start_{};
    ExecutionResult result_ = ExecutionResult::kAnswered;
  };

  void StartAll(const AdmissionActions& aActions, const Latency& aLatency)
  {
    for (std::size_t i = 0; i < aActions.start_.size(); ++i) {
      const double latency = aLatency(static_cast<std::uint32_t>(ends_.size()) + 1);
      // Latencies vary by 20 % in both directions, so that the window means are noisy.
      noise_ = noise_ * 1664525U + 1013904223U;
      const double factor = 0.8 + 0.4 * (noise_ >> 8U) / 16777216.0;
      const auto micros = static_cast<std::int64_t>(std::abs(latency) * factor * 1000);
      ends_.emplace(
        now_ + microseconds(micros),
        Running{ now_,
                 latency < 0 ? ExecutionResult::kTargetRefused : ExecutionResult::kAnswered });
    }
  }

  TimePoint now_ = kStart;
  std::multimap<TimePoint, Running> ends_;
  std::uint64_t lastId_ = 0;
  std::uint32_t noise_ = 1;
};

} // namespace

// Guards against a critical call that is refused or waits while a less important one starts, queues
// above their capacity, calls that are lost or start twice, and starts above the limit or after the
// deadline.
TEST_CASE("admission keeps its invariants over random operations", "[admission]")
{
  CHECK(rc::check("random operations", [] {
    AdmissionState state;
    state.settings_.queueCapacity_ = *rc::gen::inRange(0U, 12U);
    state.settings_.minLimit_ = 1;
    state.limit_ = *rc::gen::inRange(1, 6);
    AdmissionModel model;
    TimePoint now = kStart;
    std::uint64_t nextId = 1;
    const int steps = *rc::gen::inRange(0, 300);
    for (int i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::element(0, 0, 1, 5, 50));
      const int action = *rc::gen::inRange(0, 20);
      if (action < 10) {
        const auto importance = static_cast<Importance>(*rc::gen::inRange(0, 4));
        const WaitingCall call = MakeCall(nextId++,
                                          *rc::gen::element<std::string>("a", "b", "c"),
                                          now,
                                          importance,
                                          *rc::gen::element(0.0, 1.0, 5.0),
                                          milliseconds(*rc::gen::element(0, 20, 200, 2000)));
        model.waiting_[call.id_] = call;
        model.Apply(state, OfferCall(state, call, now), now);
      } else if (action < 16 && !model.running_.empty()) {
        model.running_.erase(model.running_.begin());
        const auto end = *rc::gen::element(ExecutionResult::kAnswered,
                                           ExecutionResult::kAnswered,
                                           ExecutionResult::kTargetRefused,
                                           ExecutionResult::kTimedOut,
                                           ExecutionResult::kCancelled);
        const auto service = milliseconds(*rc::gen::inRange(0, 100));
        model.Apply(state, FinishCall(state, end, service, now), now);
      } else if (action < 18) {
        model.Apply(state, DropLateCalls(state, now), now);
        for (const auto& entry : model.waiting_) {
          RC_ASSERT(entry.second.deadline_ > now);
        }
      } else if (action == 18 && !model.waiting_.empty()) {
        const std::uint64_t id = model.waiting_.begin()->first;
        RC_ASSERT(CancelWaiting(state, id));
        RC_ASSERT(!CancelWaiting(state, id));
        model.waiting_.erase(id);
        model.Apply(state, {}, now);
      } else {
        ApplyAnnouncedSlots(state, *rc::gen::element(0U, 1U, 3U, 10U));
        model.Apply(state, DropLateCalls(state, now), now);
        const AdmissionLevel level = CurrentAdmissionLevel(state, now);
        RC_ASSERT(
          (level.minAdmittedImportance_ != Importance::kCritical || level.admittedFraction_ == 1));
      }
    }
  }));
}

// Guards against a queue in which an account gets less than its weighted max-min fair share,
// whether it offers little, much, or in bursts.
TEST_CASE("accounts get their weighted max-min fair shares", "[admission]")
{
  CHECK(rc::check("random demands and weights", [] {
    const int accounts = *rc::gen::inRange(2, 9);
    constexpr std::uint32_t kLimit = 20;
    constexpr int kRounds = 600;
    std::vector<double> demands;
    std::vector<double> weights;
    std::vector<int> bursts;
    for (int i = 0; i < accounts; ++i) {
      demands.push_back(*rc::gen::inRange(1, 30));
      weights.push_back(*rc::gen::element(1.0, 2.0, 5.0, 20.0));
      bursts.push_back(*rc::gen::element(1, 1, 3));
    }
    AdmissionState state = FixedLimit(kLimit, 1000);
    std::vector<double> served(accounts, 0);
    std::map<std::uint64_t, int> owner;
    std::uint64_t nextId = 1;
    TimePoint now = kStart;
    const auto count = [&](const AdmissionActions& aActions) {
      for (const std::uint64_t id : aActions.start_) {
        served[owner[id]] += 1;
      }
    };
    for (int round = 0; round < kRounds; ++round) {
      now += milliseconds(10);
      for (int i = 0; i < accounts; ++i) {
        const int calls = round % bursts[i] == 0 ? static_cast<int>(demands[i]) * bursts[i] : 0;
        for (int k = 0; k < calls; ++k) {
          owner[nextId] = i;
          count(OfferCall(
            state,
            MakeCall(nextId, std::to_string(i), now, Importance::kNormal, weights[i], seconds(20)),
            now));
          ++nextId;
        }
      }
      for (std::uint32_t running = state.running_; running > 0; --running) {
        count(FinishCall(state, ExecutionResult::kAnswered, milliseconds(10), now));
      }
    }
    const auto fair = FairShares(demands, weights, kLimit);
    for (int i = 0; i < accounts; ++i) {
      // The margin covers the first round and the calls that still wait at the end.
      RC_ASSERT(served[i] >= 0.95 * fair[i] * kRounds - 40);
    }
  }));
}

// Guards against credit for idle time: an account that was idle must not get all slots.
TEST_CASE("an account earns no credit while it is idle", "[admission]")
{
  AdmissionState state = FixedLimit(1, 100);
  OfferCall(state, MakeCall(1, "steady", kStart), kStart);
  for (std::uint64_t id = 2; id < 52; ++id) {
    OfferCall(state, MakeCall(id, "steady", kStart), kStart);
  }
  for (int i = 0; i < 30; ++i) {
    FinishCall(state, ExecutionResult::kAnswered, milliseconds(1), kStart);
  }
  for (std::uint64_t id = 100; id < 120; ++id) {
    OfferCall(state, MakeCall(id, "back", kStart), kStart);
  }
  int startsOfIdleAccount = 0;
  for (int i = 0; i < 20; ++i) {
    startsOfIdleAccount +=
      FinishCall(state, ExecutionResult::kAnswered, milliseconds(1), kStart).start_.at(0) >= 100
        ? 1
        : 0;
  }
  CHECK(startsOfIdleAccount >= 9);
  CHECK(startsOfIdleAccount <= 11);
}

// Guards against starvation of an account with a single call by an account with many.
TEST_CASE("a small account isn't starved by a large one", "[admission]")
{
  AdmissionState state = FixedLimit(1, 1000);
  for (std::uint64_t id = 1; id < 500; ++id) {
    OfferCall(state, MakeCall(id, "large", kStart, Importance::kNormal, 1000), kStart);
  }
  OfferCall(state, MakeCall(1000, "small", kStart, Importance::kNormal, 1), kStart);
  int position = 0;
  for (; position < 10; ++position) {
    if (FinishCall(state, ExecutionResult::kAnswered, milliseconds(1), kStart).start_.at(0) ==
        1000) {
      break;
    }
  }
  CHECK(position <= 2);
}

// Guards against a full queue that refuses a critical call, or a call of an account below its
// share.
TEST_CASE("a full queue sheds the lowest class and the account most over its share", "[admission]")
{
  AdmissionState state = FixedLimit(1, 4);
  OfferCall(state, MakeCall(1, "a", kStart), kStart);
  OfferCall(state, MakeCall(2, "a", kStart), kStart);
  OfferCall(state, MakeCall(3, "a", kStart), kStart);
  OfferCall(state, MakeCall(4, "b", kStart), kStart);
  OfferCall(state, MakeCall(5, "c", kStart, Importance::kLow), kStart);
  const auto victim = [&](const WaitingCall& aCall) {
    const AdmissionActions actions = OfferCall(state, aCall, kStart);
    CHECK(actions.start_.empty());
    REQUIRE(actions.refuse_.size() == 1);
    CHECK(actions.refuse_[0].code_ == ErrorCode::kShed);
    return actions.refuse_[0].id_;
  };
  CHECK(victim(MakeCall(6, "c", kStart, Importance::kLow)) == 6);
  CHECK(victim(MakeCall(7, "b", kStart, Importance::kCritical)) == 5);
  CHECK(victim(MakeCall(8, "c", kStart)) == 3);
  CHECK(victim(MakeCall(9, "b", kStart)) == 9);
  CHECK(victim(MakeCall(10, "b", kStart, Importance::kCritical)) == 2);
  CHECK(FinishCall(state, ExecutionResult::kAnswered, milliseconds(1), kStart).start_ ==
        std::vector<std::uint64_t>{ 7 });
}

// Guards against running calls that can't be answered in time, and against a short slowdown after
// which no call is admitted any more.
TEST_CASE("late calls are dropped, and a short slowdown doesn't block admission", "[admission]")
{
  AdmissionState state = FixedLimit(1, 100);
  OfferCall(state, MakeCall(1, "a", kStart), kStart);
  FinishCall(state, ExecutionResult::kAnswered, milliseconds(100), kStart);
  OfferCall(state, MakeCall(2, "a", kStart), kStart);
  OfferCall(state, MakeCall(3, "a", kStart, Importance::kNormal, 1, milliseconds(200)), kStart);
  OfferCall(state, MakeCall(4, "a", kStart, Importance::kCritical, 1, milliseconds(200)), kStart);
  const AdmissionActions tooShort =
    OfferCall(state, MakeCall(5, "a", kStart, Importance::kNormal, 1, milliseconds(90)), kStart);
  REQUIRE(tooShort.refuse_.size() == 1);
  CHECK(tooShort.refuse_[0].code_ == ErrorCode::kDeadlineExceeded);
  CHECK(DropLateCalls(state, kStart + milliseconds(99)).refuse_.empty());
  // Call 3 has waited for half of its time. Call 4 is critical and waits while its deadline can be
  // met.
  const AdmissionActions normalDropped = DropLateCalls(state, kStart + milliseconds(101));
  REQUIRE(normalDropped.refuse_.size() == 1);
  CHECK(normalDropped.refuse_[0].id_ == 3);
  const AdmissionActions criticalDropped = DropLateCalls(state, kStart + milliseconds(200));
  REQUIRE(criticalDropped.refuse_.size() == 1);
  CHECK(criticalDropped.refuse_[0].id_ == 4);

  FinishCall(state, ExecutionResult::kAnswered, seconds(60), kStart + seconds(1));
  const TimePoint later = kStart + seconds(1);
  CHECK(OfferCall(state, MakeCall(6, "a", later, Importance::kNormal, 1, milliseconds(50)), later)
          .start_.size() == 1);
}

// Guards against a limit that grows without bound while the target is nearly idle.
TEST_CASE("the limit of an idle target doesn't grow", "[admission]")
{
  SaturatedTarget target;
  target.Run(seconds(60), 0, [](std::uint32_t) { return 5.0; });
  CHECK(target.state_.limit_ <= 16);
}

// Guards against a limit that stays below what the target can run at once.
TEST_CASE("the limit reaches the announced slots", "[admission]")
{
  for (const std::uint32_t slots : { 20U, 50U, 250U }) {
    SaturatedTarget target;
    ApplyAnnouncedSlots(target.state_, slots);
    target.state_.limit_ = 16;
    target.Run(seconds(3), 50, [](std::uint32_t) { return 10.0; });
    CHECK(target.state_.limit_ == slots);
  }
}

// Guards against refused calls in a surge while announced slots are free, and against trusting the
// announced slots after the target refused calls below them.
TEST_CASE("announced slots are trusted until the target refuses calls below them", "[admission]")
{
  AdmissionState state;
  ApplyAnnouncedSlots(state, 250);
  for (std::uint64_t id = 1; id <= 250; ++id) {
    CHECK(OfferCall(state, MakeCall(id, "a", kStart), kStart).start_.size() == 1);
  }
  CHECK(OfferCall(state, MakeCall(251, "a", kStart), kStart).start_.empty());
  for (int i = 0; i < 250; ++i) {
    FinishCall(state, ExecutionResult::kTargetRefused, milliseconds(1), kStart + milliseconds(i));
  }
  const double limit = state.limit_;
  CHECK(limit < 200);
  ApplyAnnouncedSlots(state, 250);
  ApplyAnnouncedSlots(state, 260);
  CHECK(state.limit_ == limit);
}

// Guards against a limit that collapses during a latency spike or while a deeper service is slow,
// and against one that doesn't recover.
TEST_CASE("a latency spike doesn't collapse the limit", "[admission]")
{
  SaturatedTarget target;
  ApplyAnnouncedSlots(target.state_, 50);
  const auto fast = [](std::uint32_t) { return 20.0; };
  target.Run(seconds(3), 100, fast);
  target.Run(seconds(5), 100, [](std::uint32_t) { return 100.0; });
  CHECK(target.minLimitInRun_ >= 25);
  CHECK(target.state_.limit_ >= 45);
  target.Run(seconds(2), 100, fast);
  CHECK(target.minLimitInRun_ >= 25);
  CHECK(target.state_.limit_ >= 45);
}

// Guards against a latency floor that doesn't follow a target which became slower or faster
// permanently.
TEST_CASE("the latency floor follows a lasting change", "[admission]")
{
  SaturatedTarget target;
  ApplyAnnouncedSlots(target.state_, 50);
  target.Run(seconds(3), 100, [](std::uint32_t) { return 10.0; });
  for (const double latency : { 30.0, 17.0, 170.0, 5.0 }) {
    target.Run(seconds(30), 100, [latency](std::uint32_t) { return latency; });
    CHECK(target.state_.floorSeconds_ * 1000 >= 0.7 * latency);
    CHECK(target.state_.floorSeconds_ * 1000 <= 1.3 * latency);
    CHECK(target.state_.limit_ == 50);
  }
}

// Guards against a limit far above the calls that a target can run at once, if it announces no
// slots and queues calls itself: calls must queue in the guard, which respects importance and
// deadlines.
TEST_CASE("the limit falls to the capacity of a target that queues calls itself", "[admission]")
{
  SaturatedTarget target;
  const auto latency = [](std::uint32_t aRunning) { return 10.0 * std::max(1.0, aRunning / 20.0); };
  target.Run(seconds(60), 100, latency);
  CHECK(target.state_.limit_ >= 18);
  CHECK(target.state_.limit_ <= 45);
  CHECK(target.answered_ >= 0.95 * 2000 * 60);
}

// Guards against many refusals by a target that announces more slots than it has.
TEST_CASE("the limit falls when the target refuses and rises when it accepts", "[admission]")
{
  SaturatedTarget target;
  ApplyAnnouncedSlots(target.state_, 50);
  target.Run(seconds(30), 100, [](std::uint32_t aRunning) { return aRunning > 20 ? -1.0 : 10.0; });
  CHECK(target.refused_ <= 0.01 * target.answered_);
  CHECK(target.answered_ >= 0.95 * 2000 * 30);
  // The limit rises again when the target accepts more calls.
  target.Run(seconds(15), 100, [](std::uint32_t aRunning) { return aRunning > 40 ? -1.0 : 10.0; });
  CHECK(target.state_.limit_ >= 38);
}

// Guards against a target that is nearly idle because it refuses some calls at any load.
TEST_CASE("refusals at random don't collapse the limit", "[admission]")
{
  SaturatedTarget target;
  ApplyAnnouncedSlots(target.state_, 50);
  std::uint32_t random = 1;
  target.Run(seconds(30), 100, [&](std::uint32_t) {
    random = random * 1664525U + 1013904223U;
    return (random >> 8U) % 100 < 5 ? -1.0 : 10.0;
  });
  CHECK(target.answered_ >= 0.85 * 5000 * 30);
}

// Guards against callers' hosts that refuse critical calls, refuse calls without overload, or send
// no probes of a closed class.
TEST_CASE("callers' hosts refuse closed classes and send probes", "[admission]")
{
  ReceivedAdmissionLevel received;
  const auto countSent = [&](Importance aImportance, TimePoint aNow) {
    int count = 0;
    for (int i = 0; i < 10000; ++i) {
      count += ShouldSendCall(received, aImportance, aNow) ? 1 : 0;
    }
    return count;
  };
  CHECK(countSent(Importance::kLow, kStart) == 10000);
  RecordAdmissionLevel(received, { Importance::kNormal, 0.4 }, kStart);
  CHECK(countSent(Importance::kCritical, kStart) == 10000);
  CHECK(countSent(Importance::kHigh, kStart) == 10000);
  CHECK(countSent(Importance::kNormal, kStart) == Approx(4000).margin(300));
  CHECK(countSent(Importance::kLow, kStart) == Approx(100).margin(50));
  RecordAdmissionLevel(received, { Importance::kCritical, 0.5 }, kStart);
  CHECK(countSent(Importance::kCritical, kStart) == 10000);
  CHECK(countSent(Importance::kLow, kStart + kAdmissionLevelLifetime) == 10000);
}

// Guards against an admission level that oscillates, that closes a class which is served in part
// (accounts below their share would lose calls too), or that stays low after the overload.
TEST_CASE("the announced level closes only classes that are shed completely", "[admission]")
{
  AdmissionState state = FixedLimit(10, 20);
  ReceivedAdmissionLevel received;
  std::multimap<TimePoint, TimePoint> ends;
  std::uint64_t id = 0;
  std::array<int, kImportanceClassCount> offered{};
  std::array<int, kImportanceClassCount> sent{};
  int answered = 0;
  TimePoint now = kStart;
  // Capacity is 1,000 calls a second; a tenth of the calls is critical, the rest normal and low.
  const auto run = [&](Duration aTime, int aPerMs) {
    offered = sent = {};
    answered = 0;
    const auto recordStarts = [&](const AdmissionActions& aActions) {
      for (std::size_t i = 0; i < aActions.start_.size(); ++i) {
        ends.emplace(now + milliseconds(10), now);
      }
    };
    for (const TimePoint end = now + aTime; now < end; now += milliseconds(1)) {
      while (!ends.empty() && ends.begin()->first <= now) {
        ends.erase(ends.begin());
        ++answered;
        recordStarts(FinishCall(state, ExecutionResult::kAnswered, milliseconds(10), now));
        RecordAdmissionLevel(received, CurrentAdmissionLevel(state, now), now);
      }
      for (int i = 0; i < aPerMs; ++i) {
        const Importance importance = ++id % 10 == 0 ? Importance::kCritical
                                      : id % 2 == 0  ? Importance::kNormal
                                                     : Importance::kLow;
        const auto index = static_cast<std::size_t>(importance);
        ++offered[index];
        if (ShouldSendCall(received, importance, now)) {
          ++sent[index];
          recordStarts(OfferCall(state, MakeCall(id, "a", now, importance), now));
        }
      }
    }
  };
  run(seconds(2), 4);
  run(seconds(5), 4);
  CHECK(answered >= 4950);
  CHECK(sent[0] == offered[0]);
  CHECK(sent[2] == offered[2]);
  CHECK(sent[3] <= 0.05 * offered[3]);
  run(seconds(1), 1);
  run(seconds(1), 1);
  CHECK(sent == offered);
  CHECK(answered >= 990);
}

// Guards against a limit that falls because a deeper service slowed down. The queue behind the
// lower limit refused 8 % of the calls at 0.7 of the capacity.
TEST_CASE("time in deeper calls doesn't lower the limit", "[admission]")
{
  AdmissionState state;
  TimePoint now{ seconds(100) };
  ApplyAnnouncedSlots(state, 16);
  for (std::uint64_t id = 1; id <= 2000; ++id) {
    OfferCall(state, { id, Importance::kNormal, {}, 1, now, now + seconds(10) }, now);
    // In the second half the deeper calls take ten times longer.
    const Duration deeper = milliseconds(id < 1000 ? 100 : 1000);
    now += milliseconds(5);
    FinishCall(
      state, ExecutionResult::kAnswered, { milliseconds(40) + deeper, milliseconds(40) }, now);
  }
  CHECK(state.limit_ == Approx(16));
}

// Guards against short calls that are refused as too late because other routes of the target have
// longer service times.
TEST_CASE("whether a call is too late depends on the service time of its route", "[admission]")
{
  AdmissionState state;
  const TimePoint now{ seconds(1000) };
  const auto call = [&](std::uint64_t aId, const char* aRoute, Duration aLeft) {
    WaitingCall waiting;
    waiting.id_ = aId;
    waiting.importance_ = Importance::kCritical;
    waiting.route_ = { aRoute };
    waiting.arrivedAt_ = now;
    waiting.deadline_ = now + aLeft;
    return waiting;
  };
  for (std::uint64_t i = 1; i <= 20; ++i) {
    const bool slow = i % 2 == 0;
    OfferCall(state, call(i, slow ? "slow" : "quick", seconds(5)), now);
    FinishCall(state,
               ExecutionResult::kAnswered,
               milliseconds(slow ? 900 : 20),
               now,
               { slow ? "slow" : "quick" });
  }
  OfferCall(state, call(30, "slow", seconds(5)), now);
  CHECK(OfferCall(state, call(31, "quick", milliseconds(100)), now).refuse_.empty());
  CHECK(OfferCall(state, call(32, "slow", milliseconds(100)), now).refuse_.size() == 1);
  CHECK(OfferCall(state, call(33, "unseen", milliseconds(100)), now).refuse_.size() == 1);
}

// Guards against a target that serves only the calls of other targets, because they are critical
// and always wait.
TEST_CASE("lower classes keep their share of the starts", "[admission]")
{
  for (const double share : { 0.0, 0.25 }) {
    AdmissionState state;
    state.settings_.adaptive_ = false;
    state.settings_.lowerClassShare_ = share;
    state.limit_ = 1;
    std::uint64_t id = 0;
    std::map<std::uint64_t, Importance> classes;
    std::map<Importance, int> started;
    const auto record = [&](const AdmissionActions& aActions) {
      for (const std::uint64_t call : aActions.start_) {
        ++started[classes.at(call)];
      }
    };
    TimePoint now = kStart;
    for (int i = 0; i < 400; ++i) {
      for (const Importance importance : { Importance::kCritical, Importance::kLow }) {
        classes[++id] = importance;
        record(OfferCall(state, MakeCall(id, "a", now, importance, 1, seconds(100)), now));
      }
      now += milliseconds(10);
      record(FinishCall(state, ExecutionResult::kAnswered, milliseconds(10), now));
    }
    const int lower = started[Importance::kLow];
    CHECK(lower == Approx(share * 400).margin(2));
    CHECK(started[Importance::kCritical] == Approx((1 - share) * 400).margin(2));
  }
}

// Guards against long calls of a lower class that take most of the slots because their share counts
// starts: a history list takes 16 times as long as the receipt reads that wait behind it.
TEST_CASE("lower classes keep their share of the slot time", "[admission]")
{
  const auto slotSeconds = [](bool aBySlotTime, const std::vector<Importance>& aClasses) {
    AdmissionState state;
    state.settings_.adaptive_ = false;
    state.settings_.lowerClassShare_ = 0.25;
    state.settings_.capacityScheduling_ = aBySlotTime;
    state.limit_ = 1;
    std::map<std::uint64_t, Importance> classes;
    std::map<Importance, double> seconds;
    std::uint64_t id = 0;
    std::uint64_t running = 0;
    TimePoint now = kStart;
    for (int i = 0; i < 4000; ++i) {
      AdmissionActions actions;
      const auto offer = [&](Importance aImportance) {
        WaitingCall call = MakeCall(++id, "a", now, aImportance, 1, std::chrono::hours(10));
        call.route_ = { aImportance == Importance::kCritical ? "receipts" : "history" };
        classes[id] = aImportance;
        const AdmissionActions offered = OfferCall(state, call, now);
        actions.start_.insert(actions.start_.end(), offered.start_.begin(), offered.start_.end());
      };
      for (const Importance importance : aClasses) {
        while (state.queues_[static_cast<std::size_t>(importance)].size_ < 2) {
          offer(importance);
        }
      }
      if (running != 0) {
        const Importance ended = classes.at(running);
        const bool isCritical = ended == Importance::kCritical;
        const Duration time = milliseconds(isCritical ? 55 : 880);
        now += time;
        seconds[ended] += ToSeconds(time);
        const RouteId route{ isCritical ? "receipts" : "history" };
        actions = FinishCall(state, ExecutionResult::kAnswered, time, now, route);
      }
      running = actions.start_.empty() ? 0 : actions.start_.front();
    }
    const double all = ToSeconds(now - kStart);
    for (auto& entry : seconds) {
      entry.second /= all;
    }
    return seconds;
  };
  const std::vector<Importance> two{ Importance::kCritical, Importance::kLow };
  CHECK(slotSeconds(true, two)[Importance::kLow] == Approx(0.25).margin(0.01));
  CHECK(slotSeconds(false, two)[Importance::kLow] > 0.8);
  // No class below a waiting one is starved.
  auto three = slotSeconds(true, { Importance::kCritical, Importance::kNormal, Importance::kLow });
  CHECK(three[Importance::kNormal] == Approx(0.25 * 0.95).margin(0.01));
  CHECK(three[Importance::kLow] == Approx(0.25 * 0.05).margin(0.005));
  // Among requests, the most urgent ones get nearly all of it.
  auto requests = slotSeconds(true, { Importance::kHigh, Importance::kNormal, Importance::kLow });
  CHECK(requests[Importance::kHigh] == Approx(0.95).margin(0.01));
  CHECK(requests[Importance::kLow] > 0.001);
}

// Guards against calls that are dropped instead of started and still cost or earn their class a
// part of the slot time.
TEST_CASE("a dropped call isn't charged to its class", "[admission]")
{
  AdmissionState state;
  state.settings_.adaptive_ = false;
  state.settings_.lowerClassShare_ = 0.25;
  state.settings_.capacityScheduling_ = true;
  state.limit_ = 1;
  const auto offer = [&](std::uint64_t aId, Importance aImportance, Duration aDeadline) {
    OfferCall(state, MakeCall(aId, "a", kStart, aImportance, 1, aDeadline), kStart);
  };
  offer(1, Importance::kCritical, seconds(100));
  offer(2, Importance::kCritical, milliseconds(20));
  offer(3, Importance::kCritical, milliseconds(20));
  offer(4, Importance::kLow, milliseconds(20));
  const TimePoint late = kStart + milliseconds(30);
  const auto actions = FinishCall(state, ExecutionResult::kAnswered, milliseconds(30), late);
  CHECK(actions.start_.empty());
  CHECK(actions.refuse_.size() == 3);
  for (const double credit : state.lowerClassSeconds_) {
    CHECK(credit == 0);
  }
}
