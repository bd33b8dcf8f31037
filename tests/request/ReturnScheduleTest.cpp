// Tests of returning callers: how they are recognised, and that they are served before newcomers.
#include "peridotquay/request/ReturnSchedule.h"

#include "peridotquay/request/Admission.h"
#include "peridotquay/request/Random.h"
#include "peridotquay/request/RunLimit.h"

#include <catch2/catch.hpp>

#include <map>
#include <string>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };
const RouteId kRoute{ "balance" };

/// Requests by whether their caller came back, and how many of them were served.
struct Served
{
  int newOffered_ = 0;
  int newServed_ = 0;
  int returningOffered_ = 0;
  int returningServed_ = 0;

  double NewFraction() const { return static_cast<double>(newServed_) / newOffered_; }
  double ReturningFraction() const
  {
    return static_cast<double>(returningServed_) / returningOffered_;
  }
};

/// Plays 10 s in which twice as many requests come as can be served, each of which returns once,
/// 0.2 s after a refusal. aOffer takes the number of a request and whether it returns, aEndRuns
/// frees what is free at a time.
template<typename Offer, typename EndRuns>
void PlayReturns(const Offer& aOffer, const EndRuns& aEndRuns)
{
  std::map<TimePoint, int> returns;
  for (TimePoint now = kStart; now < kStart + seconds(10); now += milliseconds(5)) {
    aEndRuns(now);
    const auto due = returns.find(now);
    // The newcomer is first, so that it takes a place wherever the order doesn't count.
    if (!aOffer(now, false)) {
      ++returns[now + milliseconds(200)];
    }
    if (due != returns.end()) {
      for (int i = 0; i < due->second; ++i) {
        aOffer(now, true);
      }
    }
  }
}

Served PlayRunLimit(bool aSchedulesCapacity)
{
  RunLimitState state;
  state.settings_.capacityScheduling_ = aSchedulesCapacity;
  // The limit stays as it is: it isn't exceeded by a run that fails.
  state.settings_.minWindow_ = std::chrono::hours(1);
  state.routes_[kRoute].windowStart_ = kStart;
  state.routes_[kRoute].limit_ = 10;
  Served served;
  std::multimap<TimePoint, int> ends;
  PlayReturns(
    [&](TimePoint aNow, bool aReturning) {
      const bool begins = TryBeginRun(state, kRoute, aNow, aReturning);
      ++(aReturning ? served.returningOffered_ : served.newOffered_);
      if (begins) {
        ++(aReturning ? served.returningServed_ : served.newServed_);
        ends.emplace(aNow + milliseconds(100), 0);
      }
      return begins;
    },
    [&](TimePoint aNow) {
      while (!ends.empty() && ends.begin()->first <= aNow) {
        ends.erase(ends.begin());
        EndRun(state, kRoute, RunResult::kSucceeded, milliseconds(100), aNow);
      }
    });
  return served;
}

} // namespace

// Guards against a caller that waits for each attempt as long as a new one, and against deadlines
// of a former time that make every caller look as if it had waited.
TEST_CASE("the waited time is the difference to the longest recent deadline", "[returns]")
{
  StatedDeadlines state;
  CHECK(WaitedTime(state, kRoute, seconds(5), kStart) == Duration::zero());
  CHECK(WaitedTime(state, kRoute, milliseconds(4990), kStart) == Duration::zero());
  CHECK(WaitedTime(state, kRoute, milliseconds(3400), kStart) == milliseconds(1600));
  CHECK(WaitedTime(state, { "other" }, seconds(1), kStart) == Duration::zero());
  // It is kept over the end of a period, and forgotten after two.
  const TimePoint later = kStart + kDeadlinePeriod;
  CHECK(WaitedTime(state, kRoute, seconds(4), later) == seconds(1));
  CHECK(WaitedTime(state, kRoute, seconds(4), later + kDeadlinePeriod) == Duration::zero());
  CHECK(WaitedTime(state, kRoute, seconds(2), later + 5 * kDeadlinePeriod) == Duration::zero());
  for (int i = 0; i < 1000; ++i) {
    WaitedTime(state, { std::to_string(i) }, seconds(1), kStart);
  }
  CHECK(state.routes_.size() == kMaxDeadlineRoutes);
}

// Guards against callers that are refused again and again while newcomers of their account are
// served.
TEST_CASE("calls of an account wait in the order in which their callers came", "[returns]")
{
  for (const bool schedules : { false, true }) {
    AdmissionState state;
    state.settings_.adaptive_ = false;
    state.settings_.capacityScheduling_ = schedules;
    state.settings_.queueCapacity_ = 2;
    state.limit_ = 1;
    const auto offer = [&](std::uint64_t aId, const std::string& aAccount, Duration aWaited) {
      WaitingCall call{ aId,    Importance::kNormal, { aAccount }, 1,
                        kStart, kStart + seconds(5), kRoute,       aWaited };
      return OfferCall(state, call, kStart);
    };
    CHECK(offer(1, "a", {}).start_.size() == 1);
    offer(2, "a", {});
    offer(3, "a", {});
    // The full queue refuses the newest of the account.
    const AdmissionActions full = offer(4, "a", seconds(1));
    REQUIRE(full.refuse_.size() == 1);
    CHECK(full.refuse_[0].id_ == (schedules ? 3U : 4U));
    const auto next =
      FinishCall(state, ExecutionResult::kAnswered, milliseconds(10), kStart + milliseconds(10));
    CHECK(next.start_ == std::vector<std::uint64_t>{ schedules ? 4U : 2U });
    // A waited time has no effect on the shares of other accounts.
    CHECK(offer(5, "b", {}).refuse_.empty());
    const AdmissionActions other = offer(6, "a", seconds(100));
    REQUIRE(other.refuse_.size() == 1);
    CHECK(other.refuse_[0].id_ == (schedules ? 2U : 6U));
  }
}

// Guards against a run limit that admits whoever comes when a place is free.
TEST_CASE("a run limit admits returning requests before new ones", "[returns]")
{
  const Served off = PlayRunLimit(false);
  const Served on = PlayRunLimit(true);
  INFO("off: new " << off.NewFraction() << ", returning " << off.ReturningFraction() << "; on: new "
                   << on.NewFraction() << ", returning " << on.ReturningFraction());
  // Half of the requests can be served. Of these, nearly all go to callers that came back.
  CHECK(on.ReturningFraction() > 10 * on.NewFraction());
  CHECK(on.returningServed_ > 0.9 * (on.newServed_ + on.returningServed_));
  CHECK(off.ReturningFraction() < 0.2);
  // The places are all used.
  CHECK(on.newServed_ + on.returningServed_ >= 0.95 * (off.newServed_ + off.returningServed_));
}
