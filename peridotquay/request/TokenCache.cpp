// Rate limit tokens of client accounts at one host.
#include "peridotquay/request/TokenCache.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

/// Time constant of the moving average of consumed tokens.
constexpr double kUseTimeConstantSeconds = 1.0;

/// More tokens are requested when the remaining ones won't last this long.
constexpr double kRequestAheadSeconds = 0.1;

/// A request asks for the tokens of this much time. A grant lives 1 s, so they are used well before
/// they expire.
constexpr double kRequestedUseSeconds = 0.25;

/// A request without a reply after this time counts as lost.
constexpr Duration kRequestTimeout = milliseconds(100);

/// Minimum time for which a refusal holds if its retry hint is shorter or absent.
constexpr Duration kMinRefusalPeriod = milliseconds(20);

/// Tokens of an account that consumed none for this long are given back.
constexpr Duration kIdlePeriod = milliseconds(200);

/// Tokens used per second at aNow, decayed since the last consumed token.
double CurrentUsePerSecond(const CachedTokens& aTokens, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aTokens.lastAcquiredAt_));
  return aTokens.usePerSecond_ * std::exp(-age / kUseTimeConstantSeconds);
}

/// Closes the grant in use: stores its use for the next request and continues with the next grant.
void CloseGrant(CachedTokens& aTokens, TimePoint aNow)
{
  // The granting host counts an expired grant as used up, so it needs no report.
  if (aTokens.grant_ != 0 && aNow < aTokens.expiresAt_) {
    aTokens.unreported_.push_back({ aTokens.grant_, aTokens.usedOfGrant_, aTokens.expiresAt_ });
  }
  aTokens.grant_ = aTokens.next_.grant_;
  aTokens.tokens_ = aTokens.next_.tokens_;
  aTokens.expiresAt_ = aTokens.next_.expiresAt_;
  aTokens.usedOfGrant_ = 0;
  aTokens.next_ = {};
}

/// Drops expired grants and continues with the next grant if the one in use is spent.
void AdvanceGrants(CachedTokens& aTokens, TimePoint aNow)
{
  if (aTokens.next_.grant_ != 0 && aNow >= aTokens.next_.expiresAt_) {
    aTokens.next_ = {};
  }
  if (aTokens.grant_ != 0 && (aTokens.tokens_ < 1 || aNow >= aTokens.expiresAt_)) {
    CloseGrant(aTokens, aNow);
  }
  std::erase_if(aTokens.unreported_,
                [aNow](const GrantUse& aUse) { return aNow >= aUse.expiresAt_; });
}

/// A request for aWanted tokens that also reports the oldest unreported use.
ShareRequest MakeRequest(TokenCache& aCache,
                         const ClientAccountId& aAccount,
                         CachedTokens& aTokens,
                         double aWanted)
{
  ShareRequest request;
  request.nonce_ = aCache.nextNonce_++;
  request.clientAccount_ = aAccount;
  request.wanted_ = aWanted;
  if (!aTokens.unreported_.empty()) {
    request.grant_ = aTokens.unreported_.front().grant_;
    request.used_ = aTokens.unreported_.front().used_;
    aTokens.unreported_.pop_front();
  }
  return request;
}

/// Makes room for one more account: if the cache is full, removes the least recently used account
/// that neither holds tokens nor waits for a grant. False if there is none.
bool EvictIdleAccount(TokenCache& aCache, TimePoint aNow)
{
  if (aCache.accounts_.size() < kMaxCachedAccounts) {
    return true;
  }
  auto oldest = aCache.accounts_.end();
  for (auto entry = aCache.accounts_.begin(); entry != aCache.accounts_.end(); ++entry) {
    const CachedTokens& tokens = entry->second;
    const bool requestPending =
      tokens.requestNonce_ != 0 && aNow - tokens.requestedAt_ < kRequestTimeout;
    const bool holding =
      (tokens.grant_ != 0 && aNow < tokens.expiresAt_) || tokens.next_.grant_ != 0;
    if (!requestPending && !holding &&
        (oldest == aCache.accounts_.end() ||
         tokens.lastAcquiredAt_ < oldest->second.lastAcquiredAt_)) {
      oldest = entry;
    }
  }
  if (oldest == aCache.accounts_.end()) {
    return false;
  }
  aCache.accounts_.erase(oldest);
  return true;
}

std::uint32_t MillisecondsUntil(TimePoint aThen, TimePoint aNow)
{
  const auto left = std::chrono::ceil<milliseconds>(aThen - aNow).count();
  return static_cast<std::uint32_t>(std::max<std::int64_t>(1, left));
}

} // namespace

AcquireResult AcquireToken(TokenCache& aCache,
                           const ClientAccountId& aAccount,
                           std::uint32_t aWaiting,
                           TimePoint aNow)
{
  auto entry = aCache.accounts_.find(aAccount);
  if (entry == aCache.accounts_.end()) {
    if (!EvictIdleAccount(aCache, aNow)) {
      return { AcquireStatus::kRefused,
               std::nullopt,
               MillisecondsUntil(aNow + kRequestTimeout, aNow) };
    }
    entry = aCache.accounts_.try_emplace(aAccount).first;
  }
  CachedTokens& tokens = entry->second;
  AdvanceGrants(tokens, aNow);
  const bool requestPending =
    tokens.requestNonce_ != 0 && aNow - tokens.requestedAt_ < kRequestTimeout;
  const bool refused = aNow < tokens.refusedUntil_;

  AcquireResult result;
  double wanted = 0;
  if (tokens.grant_ != 0) {
    result.status_ = AcquireStatus::kAcquired;
    tokens.usePerSecond_ = CurrentUsePerSecond(tokens, aNow) + 1 / kUseTimeConstantSeconds;
    tokens.lastAcquiredAt_ = aNow;
    tokens.tokens_ -= 1;
    tokens.usedOfGrant_ += 1;
    // Below ten calls per second, tokens requested ahead would mostly expire unused.
    const double remaining = tokens.tokens_ + tokens.next_.tokens_;
    const double ahead = tokens.usePerSecond_ * kRequestAheadSeconds;
    if (ahead >= 1 && remaining < ahead) {
      wanted = std::ceil(tokens.usePerSecond_ * kRequestedUseSeconds - remaining);
    }
    AdvanceGrants(tokens, aNow);
  } else if (refused) {
    result.status_ = AcquireStatus::kRefused;
    result.retryAfterMs_ = MillisecondsUntil(tokens.refusedUntil_, aNow);
  } else {
    result.status_ = AcquireStatus::kPending;
    wanted = std::max(static_cast<double>(aWaiting) + 1,
                      std::ceil(CurrentUsePerSecond(tokens, aNow) * kRequestedUseSeconds));
  }
  if (wanted >= 1 && !requestPending && !refused) {
    result.shareRequest_ = MakeRequest(aCache, aAccount, tokens, wanted);
    tokens.requestNonce_ = result.shareRequest_->nonce_;
    tokens.requestedAt_ = aNow;
  }
  return result;
}

void AddGrant(TokenCache& aCache, const ShareGrant& aGrant, TimePoint aRequestedAt)
{
  const auto entry = aCache.accounts_.find(aGrant.clientAccount_);
  if (entry == aCache.accounts_.end() || aGrant.nonce_ == 0 ||
      entry->second.requestNonce_ != aGrant.nonce_) {
    return;
  }
  CachedTokens& tokens = entry->second;
  tokens.requestNonce_ = 0;
  if (!(aGrant.tokens_ >= 1) || aGrant.grant_ == 0) {
    // A grant of less than one token can't be used. Reporting a use of 0 gives it back.
    if (aGrant.grant_ != 0 && aGrant.tokens_ > 0) {
      tokens.unreported_.push_back(
        { aGrant.grant_, 0, aRequestedAt + milliseconds(aGrant.lifetimeMs_) });
    }
    tokens.refusedUntil_ =
      aRequestedAt + std::max<Duration>(kMinRefusalPeriod, milliseconds(aGrant.retryAfterMs_));
    return;
  }
  tokens.refusedUntil_ = {};
  GrantedTokens granted{ aGrant.grant_,
                         aGrant.tokens_,
                         aRequestedAt + milliseconds(aGrant.lifetimeMs_) };
  if (tokens.grant_ == 0) {
    tokens.grant_ = granted.grant_;
    tokens.tokens_ = granted.tokens_;
    tokens.expiresAt_ = granted.expiresAt_;
    tokens.usedOfGrant_ = 0;
  } else if (tokens.next_.grant_ == 0) {
    tokens.next_ = granted;
  } else {
    tokens.unreported_.push_back({ granted.grant_, 0, granted.expiresAt_ });
  }
}

std::vector<ShareRequest> ReturnIdleTokens(TokenCache& aCache, TimePoint aNow)
{
  std::vector<ShareRequest> requests;
  for (auto& [account, tokens] : aCache.accounts_) {
    AdvanceGrants(tokens, aNow);
    if (aNow - tokens.lastAcquiredAt_ < kIdlePeriod) {
      continue;
    }
    while (tokens.grant_ != 0) {
      CloseGrant(tokens, aNow);
    }
    while (!tokens.unreported_.empty()) {
      requests.push_back(MakeRequest(aCache, account, tokens, 0));
    }
  }
  return requests;
}

} // namespace peridotquay
