// Tests of the token ledger, in part against a brute-force check of the limit.
#include "peridotquay/process/ShareLedger.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };
const ClientAccountId kAccount{ "client" };

ShareRequest MakeRequest(double aTokens, std::uint64_t aGrant = 0, double aUsed = 0)
{
  return { 1, kAccount, aGrant, aUsed, aTokens };
}

// Returns a ledger whose account has a full bucket.
ShareLedger MakeFullLedger(ShareLimit aLimit)
{
  ShareLedger ledger;
  SetShareLimit(ledger, kAccount, aLimit, kStart - std::chrono::hours(100000));
  UpdateAccount(ledger.accounts_.at(kAccount), kStart);
  return ledger;
}

// Use of granted tokens.
struct TokenUse
{
  TimePoint time_;
  double tokens_ = 0;
};

// Brute-force check: adds up the uses in each interval between two uses, and returns false if they
// exceed burst + rate * length in any.
bool WithinLimit(const std::vector<TokenUse>& aUses, const ShareLimit& aLimit)
{
  for (std::size_t first = 0; first < aUses.size(); ++first) {
    double sum = 0;
    for (std::size_t last = first; last < aUses.size(); ++last) {
      sum += aUses[last].tokens_;
      const double length = ToSeconds(aUses[last].time_ - aUses[first].time_);
      if (sum > aLimit.burst_ + aLimit.ratePerSecond_ * length + 1e-6) {
        return false;
      }
    }
  }
  return true;
}

// Grant of one host, which uses it until the grant expires by the host's own clock.
struct HostGrant
{
  std::uint64_t grant_ = 0;
  double tokens_ = 0;
  double used_ = 0;
  TimePoint expiresAt_{};
};

} // namespace

// Guards against tokens that are created by a new ledger, a raised limit, or a limit that is
// lowered and raised again.
TEST_CASE("changes of the limit create no tokens", "[shares]")
{
  ShareLedger ledger;
  SetShareLimit(ledger, kAccount, { 10, 10 }, kStart);
  CHECK(GrantTokens(ledger, { "h" }, MakeRequest(1), kMaxGrantLifetime, kStart).tokens_ == 0);
  ledger = MakeFullLedger({ 10, 10 });
  SetShareLimit(ledger, kAccount, { 10, 100 }, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(10));
  SetShareLimit(ledger, kAccount, { 10, 4 }, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(4));
  SetShareLimit(ledger, kAccount, { 10, 100 }, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(4));
}

// Guards against tokens that are returned after their grant expired: the refill has replaced them
// by then, and the burst would be exceeded.
TEST_CASE("unused tokens are returned before the grant expires but not after it", "[shares]")
{
  auto ledger = MakeFullLedger({ 0.001, 10 });
  const auto grant = GrantTokens(ledger, { "h" }, MakeRequest(4), kMaxGrantLifetime, kStart);
  REQUIRE(grant.tokens_ == 4);
  REQUIRE(grant.lifetimeMs_ == 1000);
  GrantTokens(
    ledger, { "h" }, MakeRequest(0, grant.grant_, 1), kMaxGrantLifetime, kStart + milliseconds(10));
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(9).margin(0.01));
  const auto late = GrantTokens(ledger, { "h" }, MakeRequest(2), kMaxGrantLifetime, kStart);
  GrantTokens(
    ledger, { "h" }, MakeRequest(0, late.grant_, 0), kMaxGrantLifetime, kStart + seconds(2));
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(7).margin(0.01));
}

// Guards against a host that settles another host's grant, and against requests with negative or
// infinite numbers that create tokens.
TEST_CASE("a request can't return other hosts' tokens or create tokens", "[shares]")
{
  auto ledger = MakeFullLedger({ 0.001, 10 });
  const auto grant = GrantTokens(ledger, { "h" }, MakeRequest(4), kMaxGrantLifetime, kStart);
  GrantTokens(ledger, { "other" }, MakeRequest(0, grant.grant_, 0), kMaxGrantLifetime, kStart);
  CHECK(ledger.accounts_.at(kAccount).outstanding_ == 4);
  GrantTokens(ledger, { "h" }, MakeRequest(0, grant.grant_, -100), kMaxGrantLifetime, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ <= 10);
  const auto endless = GrantTokens(ledger,
                                   { "h" },
                                   MakeRequest(std::numeric_limits<double>::infinity()),
                                   kMaxGrantLifetime,
                                   kStart);
  CHECK(endless.tokens_ == 0);
  CHECK(GrantTokens(ledger, { "h" }, MakeRequest(-5), kMaxGrantLifetime, kStart).tokens_ == 0);
}

// Guards against one host that receives the whole burst while others ask, and against a burst that
// is refused because it comes from many hosts: with a burst of 16, one call from each of 16 hosts
// is granted.
TEST_CASE("one host gets at most half of the burst and many hosts get all of it", "[shares]")
{
  auto ledger = MakeFullLedger({ 100, 16 });
  const auto first = GrantTokens(ledger, { "greedy" }, MakeRequest(16), kMaxGrantLifetime, kStart);
  CHECK(first.tokens_ == 8);
  ledger = MakeFullLedger({ 100, 16 });
  double granted = 0;
  for (int host = 0; host < 16; ++host) {
    granted +=
      GrantTokens(ledger, { "h" + std::to_string(host) }, MakeRequest(1), kMaxGrantLifetime, kStart)
        .tokens_;
  }
  CHECK(granted == 16);
  const auto refused = GrantTokens(ledger, { "late" }, MakeRequest(1), kMaxGrantLifetime, kStart);
  CHECK(refused.tokens_ == 0);
  CHECK(refused.retryAfterMs_ >= 1);
}

// Guards against grants that last longer than the lease that covers them.
TEST_CASE("a grant expires no later than the lease", "[shares]")
{
  auto ledger = MakeFullLedger({ 1, 10 });
  CHECK(GrantTokens(ledger, { "h" }, MakeRequest(1), milliseconds(300), kStart).lifetimeMs_ == 300);
  CHECK(GrantTokens(ledger, { "h" }, MakeRequest(1), milliseconds(20), kStart).tokens_ == 0);
}

// Guards against an account that uses more than burst + rate * length in some interval, for random
// interleavings of grants, use, reports, expiry, late messages and pauses.
TEST_CASE("uses within any interval stay within the burst and the rate", "[shares][property]")
{
  CHECK(rc::check([] {
    const ShareLimit limit{ *rc::gen::inRange(1, 200) * 1.0, *rc::gen::inRange(1, 40) * 1.0 };
    auto ledger = MakeFullLedger(limit);
    std::vector<HostGrant> hostGrants(4);
    std::vector<TokenUse> uses;
    auto now = kStart;
    const auto steps = *rc::gen::inRange<std::size_t>(10, 200);
    for (std::size_t i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::element(0, 0, 1, 5, 20, 100, 700, 1500));
      const auto host = *rc::gen::inRange<std::size_t>(0, hostGrants.size());
      auto& hostGrant = hostGrants[host];
      const HostId id{ "h" + std::to_string(host) };
      if (*rc::gen::inRange(0, 3) == 0) {
        const double usable = now < hostGrant.expiresAt_ ? hostGrant.tokens_ - hostGrant.used_ : 0;
        const double used = std::min(usable, *rc::gen::inRange(1, 6) * 1.0);
        hostGrant.used_ += used;
        uses.push_back({ now, used });
        continue;
      }
      // The request returns the unused tokens, so the host stops using the old grant when it sends
      // the request.
      const auto sentAt = now;
      const auto request = MakeRequest(*rc::gen::inRange(0, 12), hostGrant.grant_, hostGrant.used_);
      hostGrant = {};
      if (*rc::gen::inRange(0, 8) == 0) {
        continue; // The request is lost.
      }
      now += milliseconds(*rc::gen::element(0, 1, 30, 2000));
      const auto grant = GrantTokens(ledger, id, request, kMaxGrantLifetime, now);
      const auto& account = ledger.accounts_.at(kAccount);
      RC_ASSERT(account.level_ + account.outstanding_ <= limit.burst_ + 1e-6);
      now += milliseconds(*rc::gen::element(0, 1, 30, 2000));
      if (*rc::gen::inRange(0, 8) != 0) {
        hostGrant = { grant.grant_, grant.tokens_, 0, sentAt + milliseconds(grant.lifetimeMs_) };
      }
    }
    RC_ASSERT(WithinLimit(uses, limit));
  }));
}

// Guards against tokens that are created when a share moves: the uses under two ledgers that give
// shares to each other must stay within the whole limit.
TEST_CASE("two ledgers that move shares stay within the whole limit", "[shares][property]")
{
  CHECK(rc::check([] {
    const ShareLimit whole{ 100, 20 };
    const auto percentOf = [&](int aPercent) {
      return ShareLimit{ whole.ratePerSecond_ * aPercent / 100, whole.burst_ * aPercent / 100 };
    };
    int percent[2] = { 50, 50 };
    ShareLedger ledgers[2] = { MakeFullLedger(percentOf(50)), MakeFullLedger(percentOf(50)) };
    std::vector<TokenUse> uses;
    auto now = kStart;
    for (int i = 0; i < 150; ++i) {
      now += milliseconds(*rc::gen::element(0, 2, 20, 300, 1100));
      const auto side = *rc::gen::inRange<std::size_t>(0, 2);
      if (*rc::gen::inRange(0, 4) != 0) {
        const auto grant = GrantTokens(
          ledgers[side], { "h" }, MakeRequest(*rc::gen::inRange(1, 10)), kMaxGrantLifetime, now);
        uses.push_back({ now, grant.tokens_ });
        continue;
      }
      const int moved = std::min(percent[side], *rc::gen::inRange(1, 30));
      const auto lower = percentOf(percent[side] - moved);
      SetShareLimit(ledgers[side], kAccount, lower, now);
      // The grants must expire before the other ledger receives the share.
      if (!FitsLimit(ledgers[side], kAccount, lower, now)) {
        now += kMaxGrantLifetime;
      }
      RC_ASSERT(FitsLimit(ledgers[side], kAccount, lower, now));
      percent[side] -= moved;
      percent[1 - side] += moved;
      SetShareLimit(ledgers[1 - side], kAccount, percentOf(percent[1 - side]), now);
    }
    RC_ASSERT(WithinLimit(uses, whole));
  }));
}
