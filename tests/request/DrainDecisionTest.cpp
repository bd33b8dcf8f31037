// Tests of the decision which calls a draining host still passes on.
#include "peridotquay/request/DrainDecision.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const TimePoint kNow{ seconds(100) };
const TimePoint kEndsAt = kNow + seconds(1);

DrainingCall WithDeadline(Duration aLeft)
{
  return { kNow + aLeft, false, std::nullopt };
}

} // namespace

// Guards against calls that are passed on late in a drain and cut when it ends.
TEST_CASE("a call that may outlast the drain is refused", "[drain]")
{
  DrainingCall call = WithDeadline(seconds(1) + milliseconds(1));
  CHECK(DecideDuringDrain(call, kEndsAt, kNow) == DrainDecision::kRefuse);
  call.longestDuration_ = milliseconds(700);
  CHECK(DecideDuringDrain(call, kEndsAt, kNow) == DrainDecision::kRefuse);
  call.longestDuration_ = milliseconds(20);
  CHECK(DecideDuringDrain(call, kEndsAt, kNow) == DrainDecision::kEndsByDuration);
  CHECK(DecideDuringDrain(call, kEndsAt, kEndsAt - milliseconds(20)) == DrainDecision::kRefuse);
}

// Guards against refusing calls that a drain can wait for, and those without which a call that the
// local target runs would fail.
TEST_CASE("a call that ends in time or serves a running call is passed on", "[drain]")
{
  CHECK(DecideDuringDrain(WithDeadline(seconds(1)), kEndsAt, kNow) ==
        DrainDecision::kEndsByDeadline);
  DrainingCall deeper = WithDeadline(seconds(4));
  deeper.servesRunningCall_ = true;
  deeper.longestDuration_ = seconds(3);
  CHECK(DecideDuringDrain(deeper, kEndsAt, kNow) == DrainDecision::kServesRunningCall);
}

// Guards against taking a caller's request for a deeper call, and against not recognizing a deeper
// call whose deadline was stated a little earlier or later.
TEST_CASE("a deeper call has the deadline of the call that it serves", "[drain]")
{
  CHECK(IsDeeperDeadline(kNow + milliseconds(10), kNow));
  CHECK(IsDeeperDeadline(kNow - milliseconds(2), kNow));
  CHECK_FALSE(IsDeeperDeadline(kNow + milliseconds(100), kNow));
  CHECK_FALSE(IsDeeperDeadline(kNow - seconds(1), kNow));
}

// Guards against taking a caller's request for a deeper call because its deadline happens to be
// that of a running call (LOST_SOAK=kaya-dokum:20:8-8 at ca12653).
TEST_CASE("a route is used by the target if it makes most of the calls", "[drain]")
{
  OpenRouteUse use;
  RecordOpenCall(use, true);
  RecordOpenCall(use, true);
  CHECK_FALSE(IsUsedByTarget(use));
  RecordOpenCall(use, true);
  CHECK(IsUsedByTarget(use));
  for (int i = 0; i < 3; ++i) {
    CHECK(IsUsedByTarget(use));
    RecordOpenCall(use, false);
  }
  CHECK(IsUsedByTarget(use));
  RecordOpenCall(use, false);
  CHECK_FALSE(IsUsedByTarget(use));
  for (std::uint32_t i = 0; i < 2 * kMaxOpenCalls; ++i) {
    RecordOpenCall(use, i % 4 != 0);
  }
  CHECK(IsUsedByTarget(use));
  CHECK(use.calls_ <= kMaxOpenCalls);
}
