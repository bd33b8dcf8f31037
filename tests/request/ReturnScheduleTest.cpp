// Tests of returning callers: how they are recognised, when they are told to come back, and that
// they are served before newcomers.
#include "peridotquay/request/ReturnSchedule.h"

#include "peridotquay/request/Admission.h"
#include "peridotquay/request/Random.h"
#include "peridotquay/request/RunLimit.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <tuple>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };
const RouteId kRoute{ "balance" };
const std::pair<RouteId, ClientAccountId> kKey{ kRoute, { "a" } };

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
      const bool begins = TryBeginRun(state, kRoute, aNow, { "a" }, aReturning);
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

/// One guard with 20 slots, runs of 100 ms and a short queue. Callers come back once after a
/// refusal, when they are told to.
struct ReturnScene
{
  bool schedules_ = false;
  std::map<std::string, double> perSecond_; ///< By account; all have the same weight.
  double slotsInTrouble_ = 20;              ///< From 5 s to 15 s.

  struct Result
  {
    std::map<std::string, Served> accounts_;
    int served_ = 0;
    int servedInTrouble_ = 0;
    int inTime_ = 0; ///< Served within 1.5 s of the first attempt.
  };

  Result Play() const
  {
    struct Caller
    {
      std::string account_;
      TimePoint firstAt_{};
      bool returned_ = false;
    };
    AdmissionState state;
    state.settings_.adaptive_ = false;
    state.settings_.capacityScheduling_ = schedules_;
    state.settings_.queueCapacity_ = 40;
    ReturnSchedule returns;
    Result result;
    std::map<std::uint64_t, Caller> callers;
    std::multimap<TimePoint, std::uint64_t> ends;
    std::multimap<TimePoint, Caller> due;
    std::map<std::string, double> arrivals;
    std::uint64_t id = 0;
    TimePoint now = kStart;
    const auto refuse = [&](const Caller& aCaller, std::uint32_t aHintMs) {
      if (aCaller.returned_) {
        return;
      }
      const Duration left = aCaller.firstAt_ + seconds(5) - now;
      if (schedules_) {
        RefusedRequest request = DescribeRefused(
          state, { 0, Importance::kNormal, { aCaller.account_ }, 1, now, now + left, kRoute }, now);
        request.left_ = left;
        request.spare_ = aCaller.firstAt_ + milliseconds(1350) - now;
        aHintMs = BookReturn(returns, request, now).retryAfterMs_;
      }
      const Duration wait = std::min<Duration>(milliseconds(aHintMs), left / 3);
      due.emplace(now + wait, Caller{ aCaller.account_, aCaller.firstAt_, true });
    };
    const auto apply = [&](const AdmissionActions& aActions) {
      for (const std::uint64_t started : aActions.start_) {
        ends.emplace(now + milliseconds(100), started);
      }
      for (const RefusedCall& refused : aActions.refuse_) {
        refuse(callers.at(refused.id_), refused.retryAfterMs_);
        callers.erase(refused.id_);
      }
    };
    const auto offer = [&](const Caller& aCaller) {
      Served& served = result.accounts_[aCaller.account_];
      ++(aCaller.returned_ ? served.returningOffered_ : served.newOffered_);
      const ClientAccountId account{ aCaller.account_ };
      const bool hasBooking =
        schedules_ && aCaller.returned_ && UseBooking(returns, account, Importance::kNormal, now);
      if (schedules_ && !hasBooking &&
          IsCapacityKept(returns, state, Importance::kNormal, account, now)) {
        refuse(aCaller, 0);
        return;
      }
      callers[++id] = aCaller;
      const TimePoint deadline = aCaller.firstAt_ + seconds(5);
      apply(OfferCall(
        state,
        { id, Importance::kNormal, account, 1, now, deadline, kRoute, now - aCaller.firstAt_ },
        now));
    };
    for (int step = 0; step < 20000; ++step, now += milliseconds(1)) {
      const bool inTrouble = step >= 5000 && step < 15000;
      state.limit_ = inTrouble ? slotsInTrouble_ : 20;
      while (!ends.empty() && ends.begin()->first <= now) {
        const std::uint64_t ended = ends.begin()->second;
        ends.erase(ends.begin());
        const Caller& caller = callers.at(ended);
        Served& served = result.accounts_[caller.account_];
        ++(caller.returned_ ? served.returningServed_ : served.newServed_);
        ++result.served_;
        result.servedInTrouble_ += inTrouble ? 1 : 0;
        result.inTime_ += now - caller.firstAt_ <= milliseconds(1500) ? 1 : 0;
        callers.erase(ended);
        apply(FinishCall(state, ExecutionResult::kAnswered, milliseconds(100), now, kRoute));
      }
      for (const auto& [account, perSecond] : perSecond_) {
        for (arrivals[account] += perSecond / 1000; arrivals[account] >= 1; --arrivals[account]) {
          offer({ account, now, false });
        }
      }
      while (!due.empty() && due.begin()->first <= now) {
        const Caller caller = due.begin()->second;
        due.erase(due.begin());
        offer(caller);
      }
      if (step % 10 == 0) {
        apply(DropLateCalls(state, now));
      }
    }
    return result;
  }
};

} // namespace

// Guards against a caller that waits for each attempt as long as a new one, and against deadlines
// of a former time that make every caller look as if it had waited.
TEST_CASE("the waited time is the difference to the longest recent deadline", "[returns]")
{
  StatedDeadlines state;
  CHECK(WaitedTime(state, kKey, seconds(5), kStart) == Duration::zero());
  CHECK(WaitedTime(state, kKey, milliseconds(4990), kStart) == Duration::zero());
  CHECK(WaitedTime(state, kKey, milliseconds(3400), kStart) == milliseconds(1600));
  CHECK(WaitedTime(state, { { "other" }, { "a" } }, seconds(1), kStart) == Duration::zero());
  // It is kept over the end of a period, and forgotten after two.
  const TimePoint later = kStart + kDeadlinePeriod;
  CHECK(WaitedTime(state, kKey, seconds(4), later) == seconds(1));
  CHECK(WaitedTime(state, kKey, seconds(4), later + kDeadlinePeriod) == Duration::zero());
  CHECK(WaitedTime(state, kKey, seconds(2), later + 5 * kDeadlinePeriod) == Duration::zero());
  const TimePoint flood = later + 5 * kDeadlinePeriod;
  for (int i = 0; i < 5000; ++i) {
    WaitedTime(state, { kRoute, { std::to_string(i) } }, seconds(1), flood);
  }
  CHECK(state.entries_.size() == kMaxStatedDeadlines);
  // Entries of accounts that come no more don't keep others out for ever.
  WaitedTime(state, kKey, seconds(5), flood + 2 * kDeadlinePeriod);
  CHECK(state.entries_.size() == 1);
}

// Guards against one caller with a long deadline that makes the first attempts of all other
// accounts look like returns.
TEST_CASE("the waited time is measured against the deadlines of the same account", "[returns]")
{
  StatedDeadlines state;
  CHECK(WaitedTime(state, { kRoute, { "a" } }, seconds(60), kStart) == Duration::zero());
  CHECK(WaitedTime(state, { kRoute, { "b" } }, seconds(5), kStart) == Duration::zero());
  CHECK(WaitedTime(state, { kRoute, { "a" } }, seconds(59), kStart) == seconds(1));
}

// Guards against requests without a stated deadline, for which the route's own would be taken, that
// make requests with a shorter one look like returns.
TEST_CASE("a request without a stated deadline has no waited time", "[returns]")
{
  StatedDeadlines state;
  CHECK(WaitedTime(state, kKey, {}, kStart) == Duration::zero());
  CHECK(state.entries_.empty());
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

// Guards against refused returns of one account that keep the new requests of all others out, and
// against places kept for them that look like demand, so that the limit grows without need.
TEST_CASE("a run limit keeps places from the account of the refused returns only", "[returns]")
{
  RunLimitState state;
  state.settings_.capacityScheduling_ = true;
  state.settings_.minWindow_ = std::chrono::hours(1);
  RouteRuns& route = state.routes_[kRoute];
  route.windowStart_ = kStart;
  route.limit_ = 4;
  for (int i = 0; i < 4; ++i) {
    REQUIRE(TryBeginRun(state, kRoute, kStart, { "a" }));
  }
  for (int i = 0; i < 6; ++i) {
    CHECK_FALSE(TryBeginRun(state, kRoute, kStart, { "a" }, true));
  }
  for (int i = 0; i < 3; ++i) {
    EndRun(state, kRoute, RunResult::kSucceeded, milliseconds(10), kStart);
  }
  const std::uint32_t refused = route.windowRefused_;
  route.limitReachedAt_ = {};
  CHECK_FALSE(TryBeginRun(state, kRoute, kStart, { "a" }));
  CHECK(route.windowRefused_ == refused);
  CHECK(route.limitReachedAt_ == TimePoint{});
  CHECK(TryBeginRun(state, kRoute, kStart, { "b" }));
  CHECK(TryBeginRun(state, kRoute, kStart, { "a" }, true));
  // The number of accounts is bounded, and those whose refusals are long ago make room.
  route.limit_ = 1;
  for (int i = 0; i < 1000; ++i) {
    TryBeginRun(state, kRoute, kStart, { std::to_string(i) }, true);
  }
  CHECK(route.returningRefused_.size() == kMaxReturningAccounts);
  TryBeginRun(state, kRoute, kStart + seconds(10), { "late" }, true);
  CHECK(route.returningRefused_.size() == 1);
}

// Guards against hints that call everybody back at once, too early or too late, and against callers
// of little weight or importance that come back as early as others.
TEST_CASE("returns are booked for when the capacity reaches them", "[returns]")
{
  ReturnSchedule state;
  state.usedFraction_ = 1;
  state.settings_.jitter_ = 0;
  // Runs of 0.1 s in 10 slots: 100 a second.
  const TimePoint now = kStart + seconds(8);
  const auto book = [&](Importance aImportance, double aStartsPerOwn, double aAhead) {
    ReturnSchedule copy = state;
    return BookReturn(
             copy, { aImportance, { "a" }, aStartsPerOwn, seconds(6), 0.1 * aAhead, 0.1, 10 }, now)
      .retryAfterMs_;
  };
  const std::uint32_t usual = book(Importance::kNormal, 1, 50);
  CHECK(usual == Approx(510).margin(30));
  CHECK(book(Importance::kNormal, 1, 0) == 100);
  // Without capacity in time the returns are spread, and none is kept.
  CHECK(book(Importance::kNormal, 1, 5000) >= 1000);
  CHECK(book(Importance::kNormal, 1, 5000) <= 2000);
  std::uint32_t last = 0;
  for (int i = 0; i < 40; ++i) {
    last = BookReturn(state, { Importance::kNormal, { "a" }, 1, seconds(6), 1, 0.1, 10 }, now)
             .retryAfterMs_;
  }
  CHECK(last == Approx(500).margin(30));
  // Booked returns of lower classes don't delay higher ones.
  CHECK(book(Importance::kHigh, 1, 10) < 130);
  CHECK(book(Importance::kLow, 1, 10) > last);
  // An account that gets half of the starts waits longer for its booked returns.
  CHECK(book(Importance::kNormal, 2, 10) == Approx(910).margin(50));
  // When they are due, capacity is kept for them, but not from other accounts of their class.
  const TimePoint due = now + milliseconds(500);
  AdmissionState guard;
  guard.limit_ = 10;
  guard.running_ = 8;
  CHECK(IsCapacityKept(state, guard, Importance::kNormal, { "a" }, due));
  CHECK(IsCapacityKept(state, guard, Importance::kLow, { "b" }, due));
  CHECK_FALSE(IsCapacityKept(state, guard, Importance::kNormal, { "b" }, due));
  CHECK_FALSE(IsCapacityKept(state, guard, Importance::kHigh, { "a" }, due));
  // New requests get a fifth of the limit, however many returns are due.
  guard.running_ = 1;
  CHECK_FALSE(IsCapacityKept(state, guard, Importance::kNormal, { "a" }, due));
  // Waiting calls of less important classes don't use the capacity before the request.
  guard.queues_[static_cast<std::size_t>(Importance::kLow)].size_ = 5;
  CHECK_FALSE(IsCapacityKept(state, guard, Importance::kNormal, { "a" }, due));
  guard.queues_[static_cast<std::size_t>(Importance::kHigh)].size_ = 5;
  CHECK(IsCapacityKept(state, guard, Importance::kNormal, { "a" }, due));
  // Bookings that nobody uses expire, and the next ones keep less.
  CHECK_FALSE(IsCapacityKept(state, guard, Importance::kNormal, { "a" }, due + seconds(1)));
  CHECK(state.booked_.empty());
  CHECK(state.usedFraction_ < 0.5);
}

// Guards against bookings that a request of another class uses up, which then keep nothing for the
// ones that they were made for.
TEST_CASE("a booking is used by its account and class only", "[returns]")
{
  ReturnSchedule state;
  const RefusedRequest request{ Importance::kNormal, { "a" }, 1, seconds(6), 0, 0.1, 10 };
  REQUIRE(BookReturn(state, request, kStart).isBooked_);
  CHECK_FALSE(UseBooking(state, { "a" }, Importance::kLow, kStart));
  CHECK_FALSE(UseBooking(state, { "b" }, Importance::kNormal, kStart));
  CHECK(UseBooking(state, { "a" }, Importance::kNormal, kStart));
  CHECK_FALSE(UseBooking(state, { "a" }, Importance::kNormal, kStart));
}

// Guards against bookings for a guessed time, for callers that can't wait until they are due, and
// against callers that all return after the same minimum wait or later than they can.
TEST_CASE("nothing is booked without a known time that the caller can wait", "[returns]")
{
  ReturnSchedule state;
  RefusedRequest request{ Importance::kNormal, { "a" }, 1, seconds(6), 0, 0, 10 };
  CHECK_FALSE(BookReturn(state, request, kStart).isBooked_);
  request.slotSeconds_ = 0.1;
  request.mayBook_ = false;
  CHECK_FALSE(BookReturn(state, request, kStart).isBooked_);
  request.mayBook_ = true;
  std::set<std::uint32_t> hints;
  for (int i = 0; i < 20; ++i) {
    ReturnSchedule fresh;
    fresh.random_ += static_cast<std::uint64_t>(i) * 1'000'003;
    const BookingResult result = BookReturn(fresh, request, kStart);
    CHECK(result.isBooked_);
    CHECK(result.retryAfterMs_ >= 85);
    CHECK(result.retryAfterMs_ <= 115);
    hints.insert(result.retryAfterMs_);
  }
  CHECK(hints.size() > 5);
  request.left_ = milliseconds(240);
  const BookingResult result = BookReturn(state, request, kStart);
  CHECK_FALSE(result.isBooked_);
  CHECK(result.retryAfterMs_ <= 80);
  CHECK(state.booked_.empty());
}

// One account sends 7.5 times its load; 0.7 of the capacity for 10 s; five times the capacity.
// Guards against returns that are refused while newcomers are served, that come together, and that
// cost the other accounts their share or the target its work.
TEST_CASE("callers that come back are served before newcomers", "[returns]")
{
  const std::map<std::string, double> surge{ { "a", 300 }, { "b", 40 }, { "c", 40 }, { "d", 40 } };
  const std::map<std::string, double> even{ { "a", 45 }, { "b", 45 }, { "c", 45 }, { "d", 45 } };
  const std::map<std::string, double> five{
    { "a", 250 }, { "b", 250 }, { "c", 250 }, { "d", 250 }
  };
  for (const auto& [name, perSecond, slots] :
       { std::tuple{ "surge", surge, 20.0 }, { "shortage", even, 14.0 }, { "five", five, 20.0 } }) {
    ReturnScene scene{ false, perSecond, slots };
    const auto off = scene.Play();
    scene.schedules_ = true;
    const auto on = scene.Play();
    INFO(name);
    INFO("served in time: " << off.inTime_ << ", " << on.inTime_);
    CHECK(on.served_ >= off.served_);
    CHECK(on.inTime_ >= 0.97 * off.inTime_);
    CHECK(on.servedInTrouble_ >= 0.9 * 10 * slots * 10);
    for (const auto& [account, served] : on.accounts_) {
      const double wanted = std::min(perSecond.at(account), 50.0) * 20;
      const Served& before = off.accounts_.at(account);
      if (served.returningOffered_ > 100) {
        CHECK(served.ReturningFraction() > served.NewFraction());
        CHECK(served.ReturningFraction() > before.ReturningFraction());
      }
      if (std::string(name) != "shortage") {
        CHECK(served.newServed_ + served.returningServed_ >= 0.9 * wanted);
      }
    }
  }
}
