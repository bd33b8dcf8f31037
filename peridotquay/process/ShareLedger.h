// Token ledger of the share leader: a token bucket for each client account, filled at the data
// centre's share of the account's limit. Hosts receive tokens from it in grants that expire.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>

namespace peridotquay {

/// Maximum lifetime of a grant. The requester counts it from when it sent the request.
inline constexpr Duration kMaxGrantLifetime = seconds(1);

/// Minimum lifetime of a grant. A shorter one may expire before it arrives.
inline constexpr Duration kMinGrantLifetime = milliseconds(50);

/// Part of a client account's limit within which the ledger may grant tokens.
struct ShareLimit
{
  double ratePerSecond_ = 0;
  double burst_ = 0;
  bool operator==(const ShareLimit&) const = default;
};

/// A grant that has neither expired nor been reported on by its host.
struct OutstandingGrant
{
  HostId host_;
  double tokens_ = 0;
  TimePoint expiresAt_{}; ///< By this node's clock. The requester stops using the grant earlier.
};

/// Token bucket and outstanding grants of one client account.
/// Invariant: level_ + outstanding_ <= limit_.burst_, or level_ is 0 after the limit was lowered.
struct AccountLedger
{
  ShareLimit limit_;
  double level_ = 0;       ///< Tokens that can be granted now.
  double outstanding_ = 0; ///< Sum of the tokens in grants_.
  TimePoint refilledAt_{};
  std::map<std::uint64_t, OutstandingGrant> grants_;
  TimePoint nextExpiryAt_{}; ///< No grant expires before this.
  double usedInPeriod_ = 0;  ///< Tokens used since the last EndUsePeriod.
  double usePerSecond_ = 0;  ///< Moving average of the tokens used per second.
  TimePoint lastShortAt_{};  ///< When a request last found too few tokens; valid if everShort_.
  bool everShort_ = false;
};

/// Ledger of all client accounts in one data centre. Changed only through the functions below.
struct ShareLedger
{
  std::map<ClientAccountId, AccountLedger> accounts_;
  std::uint64_t nextGrant_ = 1;
};

/// Sets the limit of an account. A new account starts without tokens and a raised limit adds none,
/// so that moving a share between data centres creates no tokens.
void SetShareLimit(ShareLedger& aLedger,
                   const ClientAccountId& aAccount,
                   const ShareLimit& aLimit,
                   TimePoint aNow);

/// Settles the earlier grant that the request reports on, then grants the wanted tokens, but at
/// most half of the level or one token, whichever is more. aMaxLifetime is the time until the lease
/// ends. An unknown account gets no tokens.
ShareGrant GrantTokens(ShareLedger& aLedger,
                       const HostId& aHost,
                       const ShareRequest& aRequest,
                       Duration aMaxLifetime,
                       TimePoint aNow);

/// Removes expired grants and adds the tokens that accrued until aNow.
void UpdateAccount(AccountLedger& aAccount, TimePoint aNow);

/// True if the level and the outstanding grants of the account fit into the burst of aLimit. Then
/// the rest of the current limit can be given to another data centre.
bool FitsLimit(const ShareLedger& aLedger,
               const ClientAccountId& aAccount,
               const ShareLimit& aLimit,
               TimePoint aNow);

/// Adds the use in the period that ends now to the moving average. Called once a second.
void EndUsePeriod(ShareLedger& aLedger, Duration aPeriod, TimePoint aNow);

/// Removes all accounts when the lease is lost. Grants that haven't expired yet end before the
/// lease under which they were granted.
void ClearLedger(ShareLedger& aLedger);

} // namespace peridotquay
