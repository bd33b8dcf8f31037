// Tokens of client accounts that this host holds, and what to ask the share leader for.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

namespace peridotquay {

/// Most client accounts with tokens at one host.
inline constexpr std::size_t kMaxCachedAccounts = 256;

/// Longest time that a call waits for tokens.
inline constexpr Duration kMaxTokenWait = milliseconds(20);

/// Tokens of one grant.
struct GrantedTokens
{
  std::uint64_t grant_ = 0; ///< 0 for none.
  double tokens_ = 0;
  TimePoint expires_{};
};

/// What was used of a grant that is closed and not reported yet.
struct GrantUse
{
  std::uint64_t grant_ = 0;
  double used_ = 0;
  TimePoint expires_{}; ///< Nothing needs to be reported after this.
};

/// Tokens of one client account at this host.
struct CachedTokens
{
  std::uint64_t grant_ = 0; ///< Grant in use; 0 for none, otherwise it has at least one token.
  double tokens_ = 0;       ///< Usable until expires_.
  double usedOfGrant_ = 0;  ///< Reported with the next request.
  TimePoint expires_{};
  double usePerSecond_ = 0; ///< Moving average of takes.
  TimePoint lastTake_{};
  std::uint64_t askedNonce_ = 0; ///< Outstanding request; 0 if none.
  TimePoint asked_{};
  GrantedTokens next_;              ///< Used once the grant in use is spent or has expired.
  std::deque<GrantUse> unreported_; ///< Each request reports one of these.
  TimePoint refusedUntil_{};        ///< The leader had no tokens; callers get 429 until then.
};

/// Tokens at one host. Changed only through the functions below.
struct TokenCache
{
  std::map<ClientAccountId, CachedTokens> accounts_; ///< At most kMaxCachedAccounts.
  std::uint64_t nextNonce_ = 1;
};

enum class AcquireStatus : std::uint8_t
{
  kAcquired,
  kPending, ///< A request is under way: try again when a grant arrives, at most kMaxTokenWait.
  kRefused  ///< Over rate; see refusedUntil_ for the hint.
};

/// Result of a take with the request to send to the share leader, if any.
struct AcquireResult
{
  AcquireStatus status_ = AcquireStatus::kRefused;
  std::optional<ShareRequest> shareRequest_;
  std::uint32_t retryAfterMs_ = 0;
};

/// Takes one token for a call. Asks ahead when the rest won't last 100 ms at the recent use.
/// aWaiting counts the other calls of the account that wait for tokens. The use of a grant is
/// reported with the first request after the grant is spent, so no token is used after it was
/// reported unused.
AcquireResult AcquireToken(TokenCache& aCache,
                           const ClientAccountId& aAccount,
                           std::uint32_t aWaiting,
                           TimePoint aNow);

/// Adds a grant; aAsked is when it was asked for, by this node's clock. Late or unknown grants give
/// nothing.
void AddGrant(TokenCache& aCache, const ShareGrant& aGrant, TimePoint aAsked);

/// Requests that give back the tokens of accounts without a take for 200 ms and report use that is
/// still open. They want nothing, and their replies are ignored. Call about every 100 ms.
std::vector<ShareRequest> ReturnIdleTokens(TokenCache& aCache, TimePoint aNow);

} // namespace peridotquay
