// Refills token buckets, grants tokens, and settles or expires grants.
#include "peridotquay/process/ShareLedger.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotquay {

namespace {

// Tolerance in tokens for rounding errors in comparisons.
constexpr double kEpsilon = 1e-9;

// Weight of the last period in the moving average of use, which follows a change within about 3 s.
constexpr double kUseAverageWeight = 0.3;

// Limits the level to what the burst leaves beside the outstanding tokens.
void CapLevel(AccountLedger& aAccount)
{
  const double maxLevel = std::max(0.0, aAccount.limit_.burst_ - aAccount.outstanding_);
  aAccount.level_ = std::min(aAccount.level_, maxLevel);
}

// Removes expired grants and counts their tokens as used. The tokens are never returned to the
// level: the refill may have replaced them already, and a return would then exceed the burst.
void ExpireGrants(AccountLedger& aAccount, TimePoint aNow)
{
  if (aNow < aAccount.nextExpiryAt_) {
    return;
  }
  aAccount.nextExpiryAt_ = TimePoint::max();
  for (auto it = aAccount.grants_.begin(); it != aAccount.grants_.end();) {
    if (it->second.expiresAt_ <= aNow) {
      aAccount.outstanding_ -= it->second.tokens_;
      aAccount.usedInPeriod_ += it->second.tokens_;
      it = aAccount.grants_.erase(it);
    } else {
      aAccount.nextExpiryAt_ = std::min(aAccount.nextExpiryAt_, it->second.expiresAt_);
      ++it;
    }
  }
  if (aAccount.grants_.empty()) {
    aAccount.outstanding_ = 0;
  }
}

// Adds the tokens that accrued since the last refill, up to the burst less the outstanding tokens.
void Refill(AccountLedger& aAccount, TimePoint aNow)
{
  if (aNow > aAccount.refilledAt_) {
    aAccount.level_ += aAccount.limit_.ratePerSecond_ * ToSeconds(aNow - aAccount.refilledAt_);
    aAccount.refilledAt_ = aNow;
  }
  CapLevel(aAccount);
}

// Ends the grant that the request reports on and returns its unused tokens to the level. Reports on
// an expired grant or on a grant of another host are ignored.
void SettleGrant(AccountLedger& aAccount, const HostId& aHost, const ShareRequest& aRequest)
{
  const auto found = aAccount.grants_.find(aRequest.grant_);
  if (found == aAccount.grants_.end() || found->second.host_ != aHost) {
    return;
  }
  const double tokens = found->second.tokens_;
  // NaN and infinity count as all tokens used.
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

// Lifetime of a grant: half of the time that refills the burst, but at least kMinGrantLifetime and
// at most kMaxGrantLifetime. Used tokens count as outstanding until they are reported or expire, so
// with a lifetime above burst / rate the refill would stop while hosts hold used grants.
Duration LifetimeOfGrants(const AccountLedger& aAccount)
{
  const double refillSeconds =
    aAccount.limit_.burst_ / std::max(aAccount.limit_.ratePerSecond_, kEpsilon);
  const double lifetime = std::min(refillSeconds / 2, ToSeconds(kMaxGrantLifetime));
  return std::max(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(lifetime)),
                  kMinGrantLifetime);
}

// Time after which a refused host should ask again: when the next token has accrued or, if the
// burst leaves no room for one, when the outstanding grants have expired.
std::uint32_t RetryAfterMs(const AccountLedger& aAccount, TimePoint aNow)
{
  constexpr double kMaxRetryAfterMs = 1000;
  double waitMs = kMaxRetryAfterMs;
  const auto& limit = aAccount.limit_;
  if (limit.ratePerSecond_ > 0 && limit.burst_ >= 1) {
    waitMs = (1 - aAccount.level_) / limit.ratePerSecond_ * 1000;
  }
  if (aAccount.level_ + aAccount.outstanding_ + 1 > limit.burst_) {
    for (const auto& [id, grant] : aAccount.grants_) {
      waitMs =
        std::max(waitMs, std::min(kMaxRetryAfterMs, ToSeconds(grant.expiresAt_ - aNow) * 1000));
    }
  }
  return static_cast<std::uint32_t>(std::ceil(std::clamp(waitMs, 1.0, kMaxRetryAfterMs)));
}

} // namespace

void UpdateAccount(AccountLedger& aAccount, TimePoint aNow)
{
  ExpireGrants(aAccount, aNow);
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
    account.refilledAt_ = aNow;
  }
  UpdateAccount(account, aNow);
  account.limit_ = aLimit;
  CapLevel(account);
}

ShareGrant GrantTokens(ShareLedger& aLedger,
                       const HostId& aHost,
                       const ShareRequest& aRequest,
                       Duration aMaxLifetime,
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
  ExpireGrants(account, aNow);
  SettleGrant(account, aHost, aRequest);
  Refill(account, aNow);
  const double wanted = std::isfinite(aRequest.wanted_) ? std::floor(aRequest.wanted_) : 0;
  if (wanted < 1) {
    return grant;
  }
  const auto lifetime = std::min(LifetimeOfGrants(account), aMaxLifetime);
  // Because a grant is at most half of the level, hosts may get less than they want while the level
  // never reaches zero. That counts as a shortage too.
  const bool levelLow =
    account.level_ < account.limit_.burst_ / 2 && wanted > std::floor(account.level_ / 2);
  if (levelLow || wanted > std::floor(account.level_ + kEpsilon)) {
    account.lastShortAt_ = aNow;
    account.everShort_ = true;
  }
  // At most half of the level, so that the first host that asks doesn't starve the others.
  const double maxTokens = std::max(1.0, std::floor(account.level_ / 2));
  const double tokens = std::min({ wanted, maxTokens, std::floor(account.level_ + kEpsilon) });
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
  account.nextExpiryAt_ = std::min(account.nextExpiryAt_, aNow + lifetime);
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
  const double periodSeconds = std::max(ToSeconds(aPeriod), kEpsilon);
  for (auto& [id, account] : aLedger.accounts_) {
    UpdateAccount(account, aNow);
    const double usePerSecond = account.usedInPeriod_ / periodSeconds;
    account.usePerSecond_ += kUseAverageWeight * (usePerSecond - account.usePerSecond_);
    account.usedInPeriod_ = 0;
  }
}

void ClearLedger(ShareLedger& aLedger)
{
  aLedger.accounts_.clear();
}

} // namespace peridotquay
