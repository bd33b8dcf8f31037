// Token ledger of the share leader: grants tokens of client accounts to hosts within the shares of
// the data centre.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>

namespace peridotquay {

/// Longest lifetime of a grant, counted by the requester from before it asked.
inline constexpr Duration kMaxGrantLifetime = seconds(1);

/// Shortest lifetime that is granted: below it a grant may expire before it arrives.
inline constexpr Duration kMinGrantLifetime = milliseconds(50);

/// Part of a client account's limit that the ledger may hand out.
struct ShareLimit
{
  double ratePerSecond_ = 0;
  double burst_ = 0;
  bool operator==(const ShareLimit&) const = default;
};

/// Tokens granted and neither reported nor expired.
struct OutstandingGrant
{
  HostId host_;
  double tokens_ = 0;
  TimePoint expires_{}; ///< By this node's clock; the requester's own limit is earlier.
};

/// Ledger of one client account.
/// Invariant: level_ + outstanding_ <= limit_.burst_, or level_ is 0 after the limit was lowered.
struct AccountLedger
{
  ShareLimit limit_;
  double level_ = 0;       ///< Tokens that can be granted now.
  double outstanding_ = 0; ///< Sum of grants_.
  TimePoint refilled_{};
  std::map<std::uint64_t, OutstandingGrant> grants_;
  TimePoint nextExpiry_{}; ///< No grant expires before this.
  double usedInPeriod_ = 0;
  double usePerSecond_ = 0; ///< Moving average of use.
  TimePoint short_{};       ///< When a request last found too few tokens.
  bool everShort_ = false;
};

/// All client accounts of one data centre. Changed only through the functions below.
struct ShareLedger
{
  std::map<ClientAccountId, AccountLedger> accounts_;
  std::uint64_t nextGrant_ = 1;
};

/// Sets the share of an account. A new account starts without tokens, and a raised limit adds none:
/// shares that move create no tokens.
void SetShareLimit(ShareLedger& aLedger,
                   const ClientAccountId& aAccount,
                   const ShareLimit& aLimit,
                   TimePoint aNow);

/// Settles the report in the request, then grants up to what it wants, at most half of the level at
/// once. aLongest bounds the lifetime by the rest of the lease. An unknown account gets no tokens.
ShareGrant GrantTokens(ShareLedger& aLedger,
                       const HostId& aHost,
                       const ShareRequest& aRequest,
                       Duration aLongest,
                       TimePoint aNow);

/// Refills and expires one account up to now.
void UpdateAccount(AccountLedger& aAccount, TimePoint aNow);

/// True if the account holds no more than a lower limit would allow, so that the difference can be
/// handed to another holder.
bool FitsLimit(const ShareLedger& aLedger,
               const ClientAccountId& aAccount,
               const ShareLimit& aLimit,
               TimePoint aNow);

/// Ends a period of the moving average of use. Called once a second.
void EndUsePeriod(ShareLedger& aLedger, Duration aPeriod, TimePoint aNow);

/// Forgets all accounts, when the lease is lost. Grants not expired yet are covered by the lease
/// that they were granted under.
void ClearLedger(ShareLedger& aLedger);

} // namespace peridotquay
