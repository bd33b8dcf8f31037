// Tests of retry budgets over trees of calls and of retry ratios.
#include "peridotquay/request/RetryBudget.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>
#include <vector>

using namespace peridotquay;

namespace {

std::uint32_t Sum(const RetryBudget& aBudget)
{
  return aBudget.left_ + aBudget.lent_ + aBudget.spent_;
}

/// Simulates one call with random fan-out, retries, and answers that are lost or claim too many
/// unused retries. Returns the number of retries made in its tree; aUnused receives the number of
/// retries that it returns.
std::uint32_t RunCall(std::uint32_t aRetries, int aDepth, std::uint32_t& aUnused)
{
  RetryBudget budget{ aRetries, 0, 0 };
  std::uint32_t made = 0;
  if (aDepth < 8) {
    const int children = *rc::gen::inRange(0, aDepth < 4 ? 4 : 2);
    std::vector<std::uint32_t> lent;
    for (int i = 0; i < children; ++i) {
      lent.push_back(LendRetries(budget));
      RC_ASSERT(Sum(budget) == aRetries);
    }
    for (const std::uint32_t retries : lent) {
      std::uint32_t unused = 0;
      made += RunCall(retries, aDepth + 1, unused);
      const int answer = *rc::gen::inRange(0, 4);
      const std::uint32_t claimed = answer == 0 ? 0 : answer == 1 ? unused + 100 : unused;
      // The guard limits a claim that is too large to its own count of unused retries.
      ReturnRetries(budget, retries, answer == 1 ? std::min(claimed, unused) : claimed);
      RC_ASSERT(Sum(budget) == aRetries);
    }
  }
  const int wanted = *rc::gen::inRange(0, 4);
  for (int i = 0; i < wanted && SpendRetry(budget); ++i) {
    ++made;
  }
  RC_ASSERT(Sum(budget) == aRetries);
  aUnused = budget.left_;
  return made;
}

} // namespace

// Guards against retries that multiply at each hop of a call chain.
TEST_CASE("retries of a tree of calls stay within the budget", "[retry]")
{
  CHECK(rc::check("budget of a random tree", [] {
    const auto retries = *rc::gen::inRange<std::uint32_t>(0, 17);
    std::uint32_t unused = 0;
    const std::uint32_t made = RunCall(retries, 0, unused);
    RC_ASSERT(made + unused <= retries);
  }));
}

// Guards against a peer that enlarges a budget by returning more than it was lent.
TEST_CASE("returned retries never exceed what was lent", "[retry]")
{
  CHECK(rc::check("hostile returns", [] {
    RetryBudget budget{ *rc::gen::inRange<std::uint32_t>(0, 17), 0, 0 };
    const std::uint32_t total = Sum(budget);
    for (int i = 0; i < 10; ++i) {
      LendRetries(budget);
      ReturnRetries(
        budget, *rc::gen::inRange<std::uint32_t>(0, 40), *rc::gen::inRange<std::uint32_t>(0, 40));
      RC_ASSERT(Sum(budget) == total);
      RC_ASSERT(budget.left_ <= total);
    }
  }));
}

// Guards against a budget that is copied to a deeper call instead of shared with it, and against a
// last retry that can't be lent.
TEST_CASE("half of the budget is lent, rounded up", "[retry]")
{
  RetryBudget budget{ 3, 0, 0 };
  CHECK(LendRetries(budget) == 2);
  CHECK(LendRetries(budget) == 1);
  CHECK(LendRetries(budget) == 0);
  CHECK_FALSE(SpendRetry(budget));
  ReturnRetries(budget, 2, 1);
  CHECK(budget == RetryBudget{ 1, 1, 1 });
}

// Guards against retries of calls that ran, whose repeated deeper calls exceed the retry ratio of
// deeper services.
TEST_CASE("a retry of a call that may have run costs more", "[retry]")
{
  const RetryRatioSettings settings{ .tokensPerFirstAttempt_ = 0.5,
                                     .minInterval_ = seconds(100),
                                     .mayHaveRunCost_ = 2 };
  RetryRatio state;
  const TimePoint now{ seconds(1000) };
  state.lastRetryAt_ = now;
  CHECK_FALSE(ConsumeRetryToken(state, settings, now, true));
  RecordFirstAttempt(state, settings);
  RecordFirstAttempt(state, settings);
  CHECK(ConsumeRetryToken(state, settings, now, true));
  CHECK_FALSE(ConsumeRetryToken(state, settings, now, false));
}

// Guards against retry storms on one service, and against a service with few calls that may never
// retry.
TEST_CASE("retries are limited to the ratio plus one per second", "[retry]")
{
  const RetryRatioSettings settings;
  CHECK(rc::check("ratio over random traffic", [] {
    const RetryRatioSettings drawn{ .tokensPerFirstAttempt_ = *rc::gen::element(0.0, 0.1, 0.3) };
    RetryRatio state;
    TimePoint now{ seconds(1000) };
    const TimePoint start = now;
    double firstAttempts = 0;
    double retries = 0;
    const auto steps = *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 30));
    for (const int step : steps) {
      now += milliseconds(step);
      if (step % 3 != 0) {
        RecordFirstAttempt(state, drawn);
        firstAttempts += 1;
      } else if (ConsumeRetryToken(state, drawn, now)) {
        retries += 1;
      }
      RC_ASSERT(retries <=
                2 + drawn.tokensPerFirstAttempt_ * firstAttempts + ToSeconds(now - start) + 1e-6);
    }
  }));

  RetryRatio state;
  const TimePoint now{ seconds(1000) };
  CHECK(ConsumeRetryToken(state, settings, now));
  CHECK_FALSE(ConsumeRetryToken(state, settings, now + milliseconds(999)));
  CHECK(ConsumeRetryToken(state, settings, now + milliseconds(1000)));
  for (int i = 0; i < 10; ++i) {
    RecordFirstAttempt(state, settings);
  }
  CHECK(ConsumeRetryToken(state, settings, now + milliseconds(1001)));

  // A long time without retries must not allow a large burst of them.
  for (int i = 0; i < 100000; ++i) {
    RecordFirstAttempt(state, settings);
  }
  int burst = 0;
  while (ConsumeRetryToken(state, settings, now + milliseconds(1002))) {
    ++burst;
  }
  CHECK(burst == static_cast<int>(settings.maxTokens_));
}
