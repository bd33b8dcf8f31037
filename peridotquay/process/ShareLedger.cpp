// Refill, grants, settlement and expiry.
#include "peridotquay/process/ShareLedger.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotquay {

namespace {

// Absorbs rounding of sums of fractions in comparisons.
constexpr double kEpsilon = 1e-9;

// Share of the last period in the moving average: it follows a change within about 3 s.
constexpr double kUseWeight = 0.3;

void CapLevel(AccountLedger& aAccount)
{
  const double room = std::max(0.0, aAccount.limit_.burst_ - aAccount.outstanding_);
  aAccount.level_ = std::min(aAccount.level_, room);
}

// Tokens that a host kept after its clock ended the grant are lost, never returned: a return after
// the level was refilled would exceed the burst.
void Expire(AccountLedger& aAccount, TimePoint aNow)
{
  if (aNow < aAccount.nextExpiry_) {
    return;
  }
  aAccount.nextExpiry_ = TimePoint::max();
  for (auto it = aAccount.grants_.begin(); it != aAccount.grants_.end();) {
    if (it->second.expires_ <= aNow) {
      aAccount.outstanding_ -= it->second.tokens_;
      aAccount.usedInPeriod_ += it->second.tokens_;
      it = aAccount.grants_.erase(it);
    } else {
      aAccount.nextExpiry_ = std::min(aAccount.nextExpiry_, it->second.expires_);
      ++it;
    }
  }
  if (aAccount.grants_.empty()) {
    aAccount.outstanding_ = 0;
  }
}

// Adds what accrued since the last refill. The cap counts outstanding tokens.
void Refill(AccountLedger& aAccount, TimePoint aNow)
{
  if (aNow > aAccount.refilled_) {
    aAccount.level_ += aAccount.limit_.ratePerSecond_ * ToSeconds(aNow - aAccount.refilled_);
    aAccount.refilled_ = aNow;
  }
  CapLevel(aAccount);
}

void Settle(AccountLedger& aAccount, const HostId& aHost, const ShareRequest& aRequest)
{
  const auto found = aAccount.grants_.find(aRequest.grant_);
  if (found == aAccount.grants_.end() || found->second.host_ != aHost) {
    return;
  }
  const double tokens = found->second.tokens_;
  // Anything but a number counts as all used.
  const double used =
    std::isfinite(aRequest.used_) ? std::clamp(aRequest.used_, 0.0, tokens) : tokens;
  aAccount.outstanding_ -= tokens;
  aAccount.level_ += tokens - used;
  aAccount.usedInPeriod_ += used;
  aAccount.grants_.erase(found);
  if (aAccount.grants_.empty()) {
    aAccount.outstanding_ = 0;
  }
}

// Grants of small bursts live shorter. Used tokens count as outstanding until they are reported, so
// with a lifetime above burst / rate the refill would stand still while hosts hold used grants.
Duration GrantLifetime(const AccountLedger& aAccount)
{
  const double refillSeconds =
    aAccount.limit_.burst_ / std::max(aAccount.limit_.ratePerSecond_, kEpsilon);
  const double lifetime = std::min(refillSeconds / 2, ToSeconds(kMaxGrantLifetime));
  return std::max(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(lifetime)),
                  kMinGrantLifetime);
}

std::uint32_t RetryAfterMs(const AccountLedger& aAccount, TimePoint aNow)
{
  constexpr double kLongestMs = 1000;
  double waitMs = kLongestMs;
  const auto& limit = aAccount.limit_;
  if (limit.ratePerSecond_ > 0 && limit.burst_ >= 1) {
    waitMs = (1 - aAccount.level_) / limit.ratePerSecond_ * 1000;
  }
  // Without room below the burst, the next expiry frees some.
  if (aAccount.level_ + aAccount.outstanding_ + 1 > limit.burst_) {
    for (const auto& [id, grant] : aAccount.grants_) {
      waitMs = std::max(waitMs, std::min(kLongestMs, ToSeconds(grant.expires_ - aNow) * 1000));
    }
  }
  return static_cast<std::uint32_t>(std::ceil(std::clamp(waitMs, 1.0, kLongestMs)));
}

} // namespace

void UpdateAccount(AccountLedger& aAccount, TimePoint aNow)
{
  Expire(aAccount, aNow);
  Refill(aAccount, aNow);
}

void SetShareLimit(ShareLedger& aLedger,
                   const ClientAccountId& aAccount,
                   const ShareLimit& aLimit,
                   TimePoint aNow)
{
  const auto [it, added] = aLedger.accounts_.try_emplace(aAccount);
  auto& account = it->second;
  if (added) {
    account.refilled_ = aNow;
  }
  UpdateAccount(account, aNow);
  account.limit_ = aLimit;
  CapLevel(account);
}

ShareGrant GrantTokens(ShareLedger& aLedger,
                       const HostId& aHost,
                       const ShareRequest& aRequest,
                       Duration aLongest,
                       TimePoint aNow)
{
  ShareGrant grant;
  grant.nonce_ = aRequest.nonce_;
  grant.clientAccount_ = aRequest.clientAccount_;
  const auto found = aLedger.accounts_.find(aRequest.clientAccount_);
  if (found == aLedger.accounts_.end()) {
    grant.retryAfterMs_ = 1000;
    return grant;
  }
  auto& account = found->second;
  Expire(account, aNow);
  Settle(account, aHost, aRequest);
  Refill(account, aNow);
  const double wanted = std::isfinite(aRequest.wanted_) ? std::floor(aRequest.wanted_) : 0;
  if (wanted < 1) {
    return grant;
  }
  const auto lifetime = std::min(GrantLifetime(account), aLongest);
  // Also short if the halving keeps the level up while hosts get less than they want.
  const bool low =
    account.level_ < account.limit_.burst_ / 2 && wanted > std::floor(account.level_ / 2);
  if (low || wanted > std::floor(account.level_ + kEpsilon)) {
    account.short_ = aNow;
    account.everShort_ = true;
  }
  // Half of the level at most, so that the first host to ask doesn't starve the others.
  const double most = std::max(1.0, std::floor(account.level_ / 2));
  const double tokens = std::min({ wanted, most, std::floor(account.level_ + kEpsilon) });
  if (tokens < 1 || lifetime < kMinGrantLifetime) {
    grant.retryAfterMs_ = RetryAfterMs(account, aNow);
    return grant;
  }
  grant.grant_ = aLedger.nextGrant_++;
  grant.tokens_ = tokens;
  grant.lifetimeMs_ =
    static_cast<std::uint32_t>(std::chrono::duration_cast<milliseconds>(lifetime).count());
  account.level_ = std::max(0.0, account.level_ - tokens);
  account.outstanding_ += tokens;
  account.grants_[grant.grant_] = { aHost, tokens, aNow + lifetime };
  account.nextExpiry_ = std::min(account.nextExpiry_, aNow + lifetime);
  assert(account.level_ + account.outstanding_ <= account.limit_.burst_ + 1e-6 ||
         account.level_ == 0);
  return grant;
}

bool FitsLimit(const ShareLedger& aLedger,
               const ClientAccountId& aAccount,
               const ShareLimit& aLimit,
               TimePoint aNow)
{
  const auto found = aLedger.accounts_.find(aAccount);
  if (found == aLedger.accounts_.end()) {
    return true;
  }
  auto account = found->second;
  UpdateAccount(account, aNow);
  return account.level_ + account.outstanding_ <= aLimit.burst_ + kEpsilon;
}

void EndUsePeriod(ShareLedger& aLedger, Duration aPeriod, TimePoint aNow)
{
  const double length = std::max(ToSeconds(aPeriod), kEpsilon);
  for (auto& [id, account] : aLedger.accounts_) {
    UpdateAccount(account, aNow);
    const double use = account.usedInPeriod_ / length;
    account.usePerSecond_ += kUseWeight * (use - account.usePerSecond_);
    account.usedInPeriod_ = 0;
  }
}

void ClearLedger(ShareLedger& aLedger)
{
  aLedger.accounts_.clear();
}

} // namespace peridotquay
