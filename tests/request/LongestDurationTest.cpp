// Tests of the longest duration of recent calls.
#include "peridotquay/request/LongestDuration.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(100) };

LongestDuration WithCalls(std::uint32_t aCalls, Duration aDuration, TimePoint aNow)
{
  LongestDuration longest;
  for (std::uint32_t i = 0; i < aCalls; ++i) {
    RecordDuration(longest, aDuration, aNow);
  }
  return longest;
}

} // namespace

// Guards against an estimate that rests on too few calls.
TEST_CASE("the longest duration is empty until there are enough calls", "[durations]")
{
  LongestDuration longest;
  CHECK_FALSE(LongestRecentDuration(longest, kStart));
  longest = WithCalls(kMinDurations - 1, milliseconds(20), kStart);
  CHECK_FALSE(LongestRecentDuration(longest, kStart));
  RecordDuration(longest, milliseconds(10), kStart);
  CHECK(LongestRecentDuration(longest, kStart) == milliseconds(20));
}

// Guards against forgetting a long call at the end of a period, and against keeping it for ever.
TEST_CASE("a long call counts for one to two periods", "[durations]")
{
  LongestDuration longest = WithCalls(kMinDurations, milliseconds(20), kStart);
  RecordDuration(longest, seconds(3), kStart);
  TimePoint now = kStart;
  for (int i = 0; i < 59; ++i) {
    now += kDurationPeriod / 60;
    RecordDuration(longest, milliseconds(20), now);
    CHECK(LongestRecentDuration(longest, now) == seconds(3));
  }
  for (int i = 0; i < 61; ++i) {
    now += kDurationPeriod / 60;
    RecordDuration(longest, milliseconds(20), now);
  }
  CHECK(LongestRecentDuration(longest, now) == milliseconds(20));
}

// Guards against an estimate from calls of long ago.
TEST_CASE("calls before the last two periods don't count", "[durations]")
{
  const LongestDuration longest = WithCalls(kMinDurations, milliseconds(20), kStart);
  CHECK(LongestRecentDuration(longest, kStart + kDurationPeriod / 2));
  CHECK_FALSE(LongestRecentDuration(longest, kStart + 2 * kDurationPeriod));
}
