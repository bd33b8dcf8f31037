// Tests of the baseline policy. Benchmark results are compared with it, so it must not perform
// worse than described.
#include "peridotquay/request/NaivePolicy.h"

#include <catch2/catch.hpp>

#include <map>

using namespace peridotquay;

// Guards against a baseline that prefers one target over another.
TEST_CASE("the baseline takes targets in turn", "[naive]")
{
  TargetView view;
  for (const char* host : { "a", "b", "c" }) {
    Target target;
    target.host_ = { host };
    view.targets_[{ "press" }].push_back(target);
  }
  NaiveState state;
  std::map<HostId, int> calls;
  for (int i = 0; i < 30; ++i) {
    ++calls[ChooseNaiveTarget(state, view, { "press" })->host_];
  }
  CHECK(calls == std::map<HostId, int>{ { { "a" }, 10 }, { { "b" }, 10 }, { { "c" }, 10 } });
  CHECK_FALSE(ChooseNaiveTarget(state, view, { "absent" }).has_value());
}

// Guards against a baseline bucket that gives more or less than burst + rate * time.
TEST_CASE("the baseline bucket gives burst and rate in each process", "[naive]")
{
  NaiveState state;
  const ClientAccount account{ { "kiln" }, 100, 20 };
  const TimePoint start{ seconds(50) };
  int consumed = 0;
  for (int ms = 0; ms <= 2000; ++ms) {
    consumed += TryConsumeNaiveRateToken(state, account, start + milliseconds(ms)) ? 1 : 0;
  }
  CHECK(consumed >= 219);
  CHECK(consumed <= 220);
  CHECK(AllowNaiveRetry(2));
  CHECK_FALSE(AllowNaiveRetry(3));
}
