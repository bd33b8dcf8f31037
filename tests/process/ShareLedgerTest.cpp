// Tests of the token ledger, alone and against a naive reference.
#include "peridotquay/process/ShareLedger.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <rapidcheck.h>
#include <vector>

using namespace peridotquay;

namespace {

const TimePoint kStart{ seconds(1000) };
const ClientAccountId kAccount{ "client" };

ShareRequest Want(double aTokens, std::uint64_t aGrant = 0, double aUsed = 0)
{
  return { 1, kAccount, aGrant, aUsed, aTokens };
}

// A ledger whose account is full.
ShareLedger Full(ShareLimit aLimit)
{
  ShareLedger ledger;
  SetShareLimit(ledger, kAccount, aLimit, kStart - std::chrono::hours(100000));
  UpdateAccount(ledger.accounts_.at(kAccount), kStart);
  return ledger;
}

// One use of tokens.
struct Use
{
  TimePoint time_;
  double tokens_ = 0;
};

// Naive reference: in each interval between two uses, no more than burst + rate * length, by adding
// up all uses in it.
bool WithinLimit(const std::vector<Use>& aUses, const ShareLimit& aLimit)
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

// A host with one grant, which it uses until its own clock says that it expired.
struct Holder
{
  std::uint64_t grant_ = 0;
  double tokens_ = 0;
  double used_ = 0;
  TimePoint expires_{};
};

} // namespace

// Guards against tokens minted by a new holder, a raised limit, or a move.
TEST_CASE("shares that move create no tokens", "[shares]")
{
  ShareLedger ledger;
  SetShareLimit(ledger, kAccount, { 10, 10 }, kStart);
  CHECK(GrantTokens(ledger, { "h" }, Want(1), kMaxGrantLifetime, kStart).tokens_ == 0);
  ledger = Full({ 10, 10 });
  SetShareLimit(ledger, kAccount, { 10, 100 }, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(10));
  SetShareLimit(ledger, kAccount, { 10, 4 }, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(4));
  SetShareLimit(ledger, kAccount, { 10, 100 }, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(4));
}

// Guards against a return of tokens after the grant expired, which would exceed the burst once the
// level was refilled.
TEST_CASE("unused tokens return before the expiry and not after it", "[shares]")
{
  auto ledger = Full({ 0.001, 10 });
  const auto grant = GrantTokens(ledger, { "h" }, Want(4), kMaxGrantLifetime, kStart);
  REQUIRE(grant.tokens_ == 4);
  REQUIRE(grant.lifetimeMs_ == 1000);
  GrantTokens(
    ledger, { "h" }, Want(0, grant.grant_, 1), kMaxGrantLifetime, kStart + milliseconds(10));
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(9).margin(0.01));
  const auto late = GrantTokens(ledger, { "h" }, Want(2), kMaxGrantLifetime, kStart);
  GrantTokens(ledger, { "h" }, Want(0, late.grant_, 0), kMaxGrantLifetime, kStart + seconds(2));
  CHECK(ledger.accounts_.at(kAccount).level_ == Approx(7).margin(0.01));
}

// Guards against a host that settles another host's grant, and against hostile numbers.
TEST_CASE("reports are checked", "[shares]")
{
  auto ledger = Full({ 0.001, 10 });
  const auto grant = GrantTokens(ledger, { "h" }, Want(4), kMaxGrantLifetime, kStart);
  GrantTokens(ledger, { "other" }, Want(0, grant.grant_, 0), kMaxGrantLifetime, kStart);
  CHECK(ledger.accounts_.at(kAccount).outstanding_ == 4);
  GrantTokens(ledger, { "h" }, Want(0, grant.grant_, -100), kMaxGrantLifetime, kStart);
  CHECK(ledger.accounts_.at(kAccount).level_ <= 10);
  const auto endless = GrantTokens(
    ledger, { "h" }, Want(std::numeric_limits<double>::infinity()), kMaxGrantLifetime, kStart);
  CHECK(endless.tokens_ == 0);
  CHECK(GrantTokens(ledger, { "h" }, Want(-5), kMaxGrantLifetime, kStart).tokens_ == 0);
}

// Guards against a burst that one host takes whole while others ask, and one that is refused
// because it is spread: 16 calls of a burst of 16 from 16 hosts are all granted.
TEST_CASE("a burst spread over hosts is granted", "[shares]")
{
  auto ledger = Full({ 100, 16 });
  const auto first = GrantTokens(ledger, { "greedy" }, Want(16), kMaxGrantLifetime, kStart);
  CHECK(first.tokens_ == 8);
  ledger = Full({ 100, 16 });
  double granted = 0;
  for (int host = 0; host < 16; ++host) {
    granted +=
      GrantTokens(ledger, { "h" + std::to_string(host) }, Want(1), kMaxGrantLifetime, kStart)
        .tokens_;
  }
  CHECK(granted == 16);
  const auto refused = GrantTokens(ledger, { "late" }, Want(1), kMaxGrantLifetime, kStart);
  CHECK(refused.tokens_ == 0);
  CHECK(refused.retryAfterMs_ >= 1);
}

// Guards against grants that outlive the lease that covers them.
TEST_CASE("a grant ends with the lease", "[shares]")
{
  auto ledger = Full({ 1, 10 });
  CHECK(GrantTokens(ledger, { "h" }, Want(1), milliseconds(300), kStart).lifetimeMs_ == 300);
  CHECK(GrantTokens(ledger, { "h" }, Want(1), milliseconds(20), kStart).tokens_ == 0);
}

// Guards against any interleaving of grants, use, reports, expiry, late messages and pauses that
// lets an account use more than burst + rate * length in some interval.
TEST_CASE("no interval exceeds the burst and the rate", "[shares][property]")
{
  CHECK(rc::check([] {
    const ShareLimit limit{ *rc::gen::inRange(1, 200) * 1.0, *rc::gen::inRange(1, 40) * 1.0 };
    auto ledger = Full(limit);
    std::vector<Holder> holders(4);
    std::vector<Use> uses;
    auto now = kStart;
    const auto steps = *rc::gen::inRange<std::size_t>(10, 200);
    for (std::size_t i = 0; i < steps; ++i) {
      now += milliseconds(*rc::gen::element(0, 0, 1, 5, 20, 100, 700, 1500));
      const auto host = *rc::gen::inRange<std::size_t>(0, holders.size());
      auto& holder = holders[host];
      const HostId id{ "h" + std::to_string(host) };
      if (*rc::gen::inRange(0, 3) == 0) {
        const double usable = now < holder.expires_ ? holder.tokens_ - holder.used_ : 0;
        const double used = std::min(usable, *rc::gen::inRange(1, 6) * 1.0);
        holder.used_ += used;
        uses.push_back({ now, used });
        continue;
      }
      // The report gives the rest back, so the host stops using the old grant as it asks.
      const auto asked = now;
      const auto request = Want(*rc::gen::inRange(0, 12), holder.grant_, holder.used_);
      holder = {};
      if (*rc::gen::inRange(0, 8) == 0) {
        continue; // The request is lost.
      }
      now += milliseconds(*rc::gen::element(0, 1, 30, 2000));
      const auto grant = GrantTokens(ledger, id, request, kMaxGrantLifetime, now);
      const auto& account = ledger.accounts_.at(kAccount);
      RC_ASSERT(account.level_ + account.outstanding_ <= limit.burst_ + 1e-6);
      now += milliseconds(*rc::gen::element(0, 1, 30, 2000));
      if (*rc::gen::inRange(0, 8) != 0) {
        holder = { grant.grant_, grant.tokens_, 0, asked + milliseconds(grant.lifetimeMs_) };
      }
    }
    RC_ASSERT(WithinLimit(uses, limit));
  }));
}

// Guards against tokens created while a limit is lowered and raised: the sum over two holders that
// hand shares to each other stays within the whole limit.
TEST_CASE("two holders that move shares stay within the limit", "[shares][property]")
{
  CHECK(rc::check([] {
    const ShareLimit whole{ 100, 20 };
    const auto part = [&](int aPercent) {
      return ShareLimit{ whole.ratePerSecond_ * aPercent / 100, whole.burst_ * aPercent / 100 };
    };
    int percent[2] = { 50, 50 };
    ShareLedger ledgers[2] = { Full(part(50)), Full(part(50)) };
    std::vector<Use> uses;
    auto now = kStart;
    for (int i = 0; i < 150; ++i) {
      now += milliseconds(*rc::gen::element(0, 2, 20, 300, 1100));
      const auto side = *rc::gen::inRange<std::size_t>(0, 2);
      if (*rc::gen::inRange(0, 4) != 0) {
        const auto grant = GrantTokens(
          ledgers[side], { "h" }, Want(*rc::gen::inRange(1, 10)), kMaxGrantLifetime, now);
        uses.push_back({ now, grant.tokens_ });
        continue;
      }
      const int moved = std::min(percent[side], *rc::gen::inRange(1, 30));
      const auto lower = part(percent[side] - moved);
      SetShareLimit(ledgers[side], kAccount, lower, now);
      // Grants fall due before the other side gets the share.
      if (!FitsLimit(ledgers[side], kAccount, lower, now)) {
        now += kMaxGrantLifetime;
      }
      RC_ASSERT(FitsLimit(ledgers[side], kAccount, lower, now));
      percent[side] -= moved;
      percent[1 - side] += moved;
      SetShareLimit(ledgers[1 - side], kAccount, part(percent[1 - side]), now);
    }
    RC_ASSERT(WithinLimit(uses, whole));
  }));
}
