// Tests of the rate that a target states and of the slow start before its first answer.
#include "peridotquay/request/StartRate.h"

#include "peridotquay/request/Admission.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <deque>
#include <vector>

using namespace peridotquay;

namespace {

/// A guard in front of a target that states a rate, on a simulated clock. Calls arrive evenly; each
/// runs for 60 ms.
struct RatedGuard
{
  AdmissionState state_;
  TimePoint now_{ seconds(1000) };
  std::optional<double> stated_;
  std::vector<TimePoint> starts_;
  std::deque<TimePoint> running_; ///< Start of each running call, oldest first.
  std::size_t refused_ = 0;
  Duration callTime_ = seconds(6); ///< From a call's arrival to its deadline.
  std::uint64_t nextId_ = 1;

  RatedGuard()
  {
    state_.settings_.adaptive_ = false;
    ApplyAnnouncedSlots(state_, 200);
  }

  void Apply(const AdmissionActions& aActions)
  {
    for (std::size_t i = 0; i < aActions.start_.size(); ++i) {
      starts_.push_back(now_);
      running_.push_back(now_);
    }
    refused_ += aActions.refuse_.size();
  }

  void Play(Duration aTime, double aArrivalsPerSecond)
  {
    const TimePoint end = now_ + aTime;
    double due = 0;
    while (now_ < end) {
      now_ += milliseconds(1);
      while (!running_.empty() && now_ - running_.front() >= milliseconds(60)) {
        const TimePoint startedAt = running_.front();
        running_.pop_front();
        RecordStatedRate(state_.startRate_, stated_, startedAt, now_);
        Apply(FinishCall(state_, ExecutionResult::kAnswered, now_ - startedAt, now_));
      }
      for (due += aArrivalsPerSecond / 1000; due >= 1; due -= 1) {
        Apply(OfferCall(
          state_, { nextId_++, Importance::kNormal, { "a" }, 1, now_, now_ + callTime_ }, now_));
      }
      // As in the guard, nothing updates the state while no call waits or ends.
      if (state_.queued_ > 0) {
        Apply(DropLateCalls(state_, now_));
      }
    }
  }

  /// Most starts in any 4 s from aFrom on.
  std::size_t MaxStartsIn4s(TimePoint aFrom) const { return MaxStartsIn(seconds(4), aFrom); }

  std::size_t MaxStartsIn(Duration aTime, TimePoint aFrom) const
  {
    std::size_t most = 0;
    for (auto first = starts_.begin(); first != starts_.end(); ++first) {
      if (*first >= aFrom) {
        const auto last = std::upper_bound(first, starts_.end(), *first + aTime);
        most = std::max(most, static_cast<std::size_t>(last - first));
      }
    }
    return most;
  }
};

} // namespace

// Guards against a target in need that gets more requests than it says it takes.
TEST_CASE("a target gets no more calls than it states", "[start-rate]")
{
  for (const double limit : { 0.0, 0.7, 5.0, 64.2, 800.0 }) {
    INFO("limit " << limit);
    RatedGuard guard;
    guard.Play(seconds(2), 300);
    guard.stated_ = limit;
    const TimePoint statedAt = guard.now_ + milliseconds(100);
    guard.Play(seconds(20), 300);
    CHECK(static_cast<double>(guard.MaxStartsIn4s(statedAt)) <= 1.5 * 4 * limit + 5);
    // What the target takes is used.
    const auto after = std::count_if(
      guard.starts_.begin(), guard.starts_.end(), [&](TimePoint aAt) { return aAt >= statedAt; });
    CHECK(static_cast<double>(after) >= 0.95 * std::min(limit, 300.0) * 20 - 2);
  }
}

// Guards against a limit that outlasts the target's need, and one that ends with the late answer to
// a call that started before the limit was stated.
TEST_CASE("a stated limit ends with the first later answer without one", "[start-rate]")
{
  StartRateState state;
  const TimePoint now{ seconds(50) };
  RecordStatedRate(state, 10.0, now, now + milliseconds(100));
  CHECK_FALSE(MayStart(state, 0, now + milliseconds(100)));
  RecordStatedRate(state, std::nullopt, now + milliseconds(50), now + milliseconds(150));
  CHECK(AllowedPerSecond(state, now) == 10.0);
  RecordStatedRate(state, std::nullopt, now + milliseconds(200), now + milliseconds(300));
  CHECK_FALSE(AllowedPerSecond(state, now + milliseconds(300)));
  CHECK(MayStart(state, 100, now + milliseconds(300)));
}

// Guards against a burst at a limited target from a guard that has just started and doesn't know
// the limit.
TEST_CASE("a guard that starts sends few calls before the first answer", "[start-rate]")
{
  RatedGuard guard;
  ResetStartRate(guard.state_.startRate_, guard.now_);
  guard.stated_ = 4.0;
  guard.Play(seconds(10), 300);
  CHECK(guard.MaxStartsIn4s({}) <= 1.5 * 4 * 4 + 5);
  // A target that doesn't answer at all isn't left idle.
  StartRateState silent;
  const TimePoint now{ seconds(50) };
  ResetStartRate(silent, now);
  RecordStart(silent, now);
  CHECK_FALSE(MayStart(silent, 3, now + milliseconds(100)));
  CHECK(MayStart(silent, 40, now + seconds(1)));
}

// Guards against calls that wait at a target with a low rate until they are late, although another
// target has room, and against important calls that are refused because less important ones wait.
TEST_CASE("calls that would wait long for a stated rate are refused at once", "[start-rate]")
{
  RatedGuard guard;
  guard.stated_ = 10.0;
  guard.Play(seconds(1), 20);
  guard.refused_ = 0;
  guard.Play(seconds(10), 100);
  CHECK(guard.refused_ > 850);
  // The calls that wait start within 15 % of the 6 s that they have.
  CHECK(guard.state_.queued_ <= 10);
  const auto important = OfferCall(
    guard.state_,
    { guard.nextId_++, Importance::kHigh, { "a" }, 1, guard.now_, guard.now_ + seconds(6) },
    guard.now_);
  CHECK(important.refuse_.empty());
  const auto normal = OfferCall(
    guard.state_,
    { guard.nextId_++, Importance::kNormal, { "a" }, 1, guard.now_, guard.now_ + seconds(6) },
    guard.now_);
  REQUIRE(normal.refuse_.size() == 1);
  CHECK(normal.refuse_[0].code_ == ErrorCode::kShed);
  CHECK(normal.refuse_[0].retryAfterMs_ >= 500);
  // Callers' hosts see a full target.
  CHECK(EffectiveLimit(guard.state_, guard.now_) <= 1);
}

// Guards against a cold target that gets more than it tolerates in a second and crashes: after its
// start, after a restart of the guard, and after a return from evacuation or a relapse, when the
// guard has just started many calls.
TEST_CASE("a cold target gets fewer calls than it tolerates", "[start-rate]")
{
  for (const double tolerated : { 0.4, 3.0, 20.0, 150.0 }) {
    INFO("tolerated " << tolerated);
    const double bound = tolerated * 1.5 + 8;
    RatedGuard guard;
    StartRateState& rate = guard.state_.startRate_;
    SetColdRate(rate, tolerated, guard.now_);
    ResetStartRate(rate, guard.now_);
    const TimePoint unknownAt = guard.now_;
    guard.Play(seconds(3), 400);
    CHECK(static_cast<double>(guard.MaxStartsIn(seconds(1), unknownAt)) < bound);
    RecordCold(rate, seconds(2), guard.now_);
    guard.Play(milliseconds(1990), 400);
    CHECK(static_cast<double>(guard.MaxStartsIn(seconds(1), unknownAt)) < bound);
    // What it tolerates is used, and the limit ends with the cold start.
    CHECK(static_cast<double>(guard.starts_.size()) >= 0.85 * tolerated * 4.99 - 2);
    guard.Play(seconds(3), 400);
    CHECK_FALSE(AllowedPerSecond(rate, guard.now_));
    const TimePoint relapseAt = guard.now_;
    AssumeCold(rate, guard.now_);
    guard.Play(seconds(3), 400);
    CHECK(static_cast<double>(guard.MaxStartsIn(seconds(1), relapseAt)) < bound);
    // A report that it isn't cold ends the assumption.
    RecordCold(rate, {}, guard.now_);
    CHECK_FALSE(AllowedPerSecond(rate, guard.now_));
  }
}

// Guards against a limit for cold targets that raises a lower stated one, or the other way round.
TEST_CASE("the lower of the stated rate and that of a cold target applies", "[start-rate]")
{
  const TimePoint now{ seconds(50) };
  StartRateState state;
  SetColdRate(state, 10, now);
  RecordCold(state, seconds(5), now);
  RecordStatedRate(state, 4.0, now, now);
  CHECK(AllowedPerSecond(state, now) == 4.0);
  RecordStatedRate(state, 40.0, now, now);
  CHECK(AllowedPerSecond(state, now) == 9.0);
  CHECK_FALSE(MayStart(state, 0, now));
  // Without a tolerated rate in the document, a cold target has no limit.
  SetColdRate(state, 0, now);
  CHECK(AllowedPerSecond(state, now) == 40.0);
}

// Guards against a target with a low limit that gets nothing although it is idle: refused calls
// must not keep the allowed starts and the end of a cold start from being updated. Nothing else
// runs on the guard in that time.
TEST_CASE("a low rate is used with short deadlines", "[start-rate]")
{
  for (const double tolerated : { 0.4, 1.0, 3.0, 4.5 }) {
    for (const double arrivals : { 5.0, 300.0 }) {
      INFO("tolerated " << tolerated << ", arrivals " << arrivals);
      RatedGuard guard;
      guard.callTime_ = milliseconds(1500);
      StartRateState& rate = guard.state_.startRate_;
      SetColdRate(rate, tolerated, guard.now_);
      RecordCold(rate, seconds(30), guard.now_);
      guard.Play(milliseconds(29990), arrivals);
      CHECK(static_cast<double>(guard.starts_.size()) >= 0.8 * 0.9 * tolerated * 30 - 1);
      CHECK(static_cast<double>(guard.MaxStartsIn(seconds(1), {})) < 1.5 * tolerated + 8);
      // All calls start once the cold start has ended.
      guard.Play(seconds(1), arrivals);
      const std::size_t refused = guard.refused_;
      guard.Play(seconds(4), arrivals);
      CHECK(guard.refused_ == refused);
    }
  }
}

// Guards against a target that restarts or relapses and crashes because the answer to an earlier
// call says that it isn't cold.
TEST_CASE("an answer to an earlier call doesn't end a cold start", "[start-rate]")
{
  const TimePoint now{ seconds(50) };
  StartRateState state;
  SetColdRate(state, 10, now);
  AssumeCold(state, now);
  RecordCold(state, {}, now + milliseconds(20), now - milliseconds(10));
  CHECK(ColdPerSecond(state, now + milliseconds(20)));
  RecordCold(state, seconds(5), now + milliseconds(100));
  RecordCold(state, {}, now + milliseconds(200), now + milliseconds(50));
  CHECK(ColdPerSecond(state, now + milliseconds(200)));
  RecordCold(state, {}, now + milliseconds(300), now + milliseconds(150));
  CHECK_FALSE(ColdPerSecond(state, now + milliseconds(300)));
}
