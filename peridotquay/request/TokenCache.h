// Rate limit tokens of client accounts that this host holds, and requests for more to the host that
// grants them.
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

/// Maximum number of client accounts in a TokenCache.
inline constexpr std::size_t kMaxCachedAccounts = 256;

/// Maximum time that a call waits for tokens.
inline constexpr Duration kMaxTokenWait = milliseconds(20);

/// Tokens of one grant.
struct GrantedTokens
{
  std::uint64_t grant_ = 0; ///< Id of the grant; 0 for none.
  double tokens_ = 0;
  TimePoint expiresAt_{};
};

/// Use of a closed grant that isn't reported yet. No more tokens are consumed from a closed grant.
struct GrantUse
{
  std::uint64_t grant_ = 0;
  double used_ = 0;
  TimePoint expiresAt_{}; ///< No report is needed after this time.
};

/// Tokens of one client account at this host.
struct CachedTokens
{
  std::uint64_t grant_ = 0; ///< Grant in use; 0 for none, otherwise it has at least one token.
  double tokens_ = 0;       ///< Usable until expiresAt_.
  double usedOfGrant_ = 0;  ///< Tokens consumed from grant_; reported after it is closed.
  TimePoint expiresAt_{};
  double usePerSecond_ = 0; ///< Moving average of the tokens consumed per second.
  TimePoint lastAcquiredAt_{};
  std::uint64_t requestNonce_ = 0; ///< Nonce of the outstanding request; 0 if none.
  TimePoint requestedAt_{};
  GrantedTokens next_;              ///< Used after the grant in use is spent or has expired.
  std::deque<GrantUse> unreported_; ///< Each request reports one of these.
  TimePoint refusedUntil_{};        ///< No tokens were granted; callers get 429 until then.
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
  kPending, ///< A request is outstanding: the call waits for its grant, at most kMaxTokenWait.
  kRefused  ///< The account is over its rate; retryAfterMs_ is the hint for the caller.
};

/// Result of AcquireToken.
struct AcquireResult
{
  AcquireStatus status_ = AcquireStatus::kRefused;
  std::optional<ShareRequest> shareRequest_; ///< To be sent to the granting host.
  std::uint32_t retryAfterMs_ = 0;
};

/// Acquires one token for a call. Requests more tokens when the remaining ones won't last 100 ms at
/// the recent use. aWaiting is the number of other calls of the account that wait for tokens. The
/// use of a grant is reported with the first request after the grant is spent, so that no token is
/// used after it was reported as unused.
AcquireResult AcquireToken(TokenCache& aCache,
                           const ClientAccountId& aAccount,
                           std::uint32_t aWaiting,
                           TimePoint aNow);

/// Adds a grant. aRequestedAt is the time of its request by this node's clock, from which its
/// lifetime counts. Grants that are late, repeated or weren't requested are ignored.
void AddGrant(TokenCache& aCache, const ShareGrant& aGrant, TimePoint aRequestedAt);

/// Requests that give back the tokens of accounts that consumed none for 200 ms and report the use
/// that wasn't reported yet. They ask for no tokens, and their replies are ignored. Called every
/// 100 ms.
std::vector<ShareRequest> ReturnIdleTokens(TokenCache& aCache, TimePoint aNow);

} // namespace peridotquay
