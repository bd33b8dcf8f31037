// Tokens of client accounts at one host.
#include "peridotquay/request/TokenCache.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

/// Time constant of the moving average of takes.
constexpr double kUseWindowSeconds = 1.0;

/// Asks ahead when the tokens at hand won't last this long.
constexpr double kAskAheadSeconds = 0.1;

/// A request brings the tokens at hand up to this much use. A grant lives 1 s, so the tokens are
/// used well before they expire.
constexpr double kHoldSeconds = 0.25;

/// A request without a reply after this time counts as lost.
constexpr Duration kAskTimeout = milliseconds(100);

/// Pause after a refusal that names no time.
constexpr Duration kLeastRefusal = milliseconds(20);

/// Tokens of an account without a take for this long are given back.
constexpr Duration kIdleReturn = milliseconds(200);

/// Use at aNow, decayed since the last take.
double CurrentUse(const CachedTokens& aTokens, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aTokens.lastTake_));
  return aTokens.usePerSecond_ * std::exp(-age / kUseWindowSeconds);
}

/// Remembers the use of the present grant for the next request and moves on to the next grant.
void CloseGrant(CachedTokens& aTokens, TimePoint aNow)
{
  // The leader treats an expired grant as used up, so only living grants need a report.
  if (aTokens.grant_ != 0 && aNow < aTokens.expires_) {
    aTokens.unreported_.push_back({ aTokens.grant_, aTokens.usedOfGrant_, aTokens.expires_ });
  }
  aTokens.grant_ = aTokens.next_.grant_;
  aTokens.tokens_ = aTokens.next_.tokens_;
  aTokens.expires_ = aTokens.next_.expires_;
  aTokens.usedOfGrant_ = 0;
  aTokens.next_ = {};
}

/// Drops expired grants and moves on from used-up ones.
void RollGrants(CachedTokens& aTokens, TimePoint aNow)
{
  if (aTokens.next_.grant_ != 0 && aNow >= aTokens.next_.expires_) {
    aTokens.next_ = {};
  }
  if (aTokens.grant_ != 0 && (aTokens.tokens_ < 1 || aNow >= aTokens.expires_)) {
    CloseGrant(aTokens, aNow);
  }
  std::erase_if(aTokens.unreported_,
                [aNow](const GrantUse& aUse) { return aNow >= aUse.expires_; });
}

/// A request with the oldest unreported use.
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

/// Makes room for one more account by forgetting the idle account that was used longest ago.
bool MakeRoom(TokenCache& aCache, TimePoint aNow)
{
  if (aCache.accounts_.size() < kMaxCachedAccounts) {
    return true;
  }
  auto oldest = aCache.accounts_.end();
  for (auto entry = aCache.accounts_.begin(); entry != aCache.accounts_.end(); ++entry) {
    const CachedTokens& tokens = entry->second;
    const bool asking = tokens.askedNonce_ != 0 && aNow - tokens.asked_ < kAskTimeout;
    const bool holding = (tokens.grant_ != 0 && aNow < tokens.expires_) || tokens.next_.grant_ != 0;
    if (!asking && !holding &&
        (oldest == aCache.accounts_.end() || tokens.lastTake_ < oldest->second.lastTake_)) {
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
    if (!MakeRoom(aCache, aNow)) {
      return { AcquireStatus::kRefused, std::nullopt, MillisecondsUntil(aNow + kAskTimeout, aNow) };
    }
    entry = aCache.accounts_.try_emplace(aAccount).first;
  }
  CachedTokens& tokens = entry->second;
  RollGrants(tokens, aNow);
  const bool asking = tokens.askedNonce_ != 0 && aNow - tokens.asked_ < kAskTimeout;
  const bool refused = aNow < tokens.refusedUntil_;

  AcquireResult step;
  double wanted = 0;
  if (tokens.grant_ != 0) {
    step.status_ = AcquireStatus::kAcquired;
    tokens.usePerSecond_ = CurrentUse(tokens, aNow) + 1 / kUseWindowSeconds;
    tokens.lastTake_ = aNow;
    tokens.tokens_ -= 1;
    tokens.usedOfGrant_ += 1;
    // Below ten calls a second a token asked for ahead would mostly expire unused.
    const double rest = tokens.tokens_ + tokens.next_.tokens_;
    const double ahead = tokens.usePerSecond_ * kAskAheadSeconds;
    if (ahead >= 1 && rest < ahead) {
      wanted = std::ceil(tokens.usePerSecond_ * kHoldSeconds - rest);
    }
    RollGrants(tokens, aNow);
  } else if (refused) {
    step.status_ = AcquireStatus::kRefused;
    step.retryAfterMs_ = MillisecondsUntil(tokens.refusedUntil_, aNow);
  } else {
    step.status_ = AcquireStatus::kPending;
    wanted = std::max(static_cast<double>(aWaiting) + 1,
                      std::ceil(CurrentUse(tokens, aNow) * kHoldSeconds));
  }
  if (wanted >= 1 && !asking && !refused) {
    step.shareRequest_ = MakeRequest(aCache, aAccount, tokens, wanted);
    tokens.askedNonce_ = step.shareRequest_->nonce_;
    tokens.asked_ = aNow;
  }
  return step;
}

void AddGrant(TokenCache& aCache, const ShareGrant& aGrant, TimePoint aAsked)
{
  const auto entry = aCache.accounts_.find(aGrant.clientAccount_);
  if (entry == aCache.accounts_.end() || aGrant.nonce_ == 0 ||
      entry->second.askedNonce_ != aGrant.nonce_) {
    return;
  }
  CachedTokens& tokens = entry->second;
  tokens.askedNonce_ = 0;
  if (!(aGrant.tokens_ >= 1) || aGrant.grant_ == 0) {
    // A grant of less than one token is used for nothing; its report gives the fraction back.
    if (aGrant.grant_ != 0 && aGrant.tokens_ > 0) {
      tokens.unreported_.push_back({ aGrant.grant_, 0, aAsked + milliseconds(aGrant.lifetimeMs_) });
    }
    tokens.refusedUntil_ =
      aAsked + std::max<Duration>(kLeastRefusal, milliseconds(aGrant.retryAfterMs_));
    return;
  }
  tokens.refusedUntil_ = {};
  GrantedTokens granted{ aGrant.grant_, aGrant.tokens_, aAsked + milliseconds(aGrant.lifetimeMs_) };
  if (tokens.grant_ == 0) {
    tokens.grant_ = granted.grant_;
    tokens.tokens_ = granted.tokens_;
    tokens.expires_ = granted.expires_;
    tokens.usedOfGrant_ = 0;
  } else if (tokens.next_.grant_ == 0) {
    tokens.next_ = granted;
  } else {
    tokens.unreported_.push_back({ granted.grant_, 0, granted.expires_ });
  }
}

std::vector<ShareRequest> ReturnIdleTokens(TokenCache& aCache, TimePoint aNow)
{
  std::vector<ShareRequest> requests;
  for (auto& [account, tokens] : aCache.accounts_) {
    RollGrants(tokens, aNow);
    if (aNow - tokens.lastTake_ < kIdleReturn) {
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
