// Divides the rate limit of each client account among data centres. In each data centre one node,
// the share leader, holds a lease and grants tokens to the hosts within the share of its data
// centre.
//
// Rows of the platform table:
// - share/<data centre> is the lease of a data centre, which its holder renews each second;
// - share-pool records for each client account which units belong to which data centre and which
//   are free. A data centre has floor units, which never move, and elastic units, which move to
//   data centres with more demand.
// Every move is one transaction on the pool row and the lease row of the node that moves units. A
// holder whose lease row was changed by another node is fenced: it can't move anything.
//
// The module consists of free functions over one plain struct. It does no I/O: the caller runs the
// platform calls.
#pragma once

#include "peridotquay/process/PlatformCall.h"
#include "peridotquay/process/ShareLedger.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/Membership.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Number of units that the limit of one client account is divided into. Units are integers, so
/// that moves keep the sum exact.
inline constexpr std::uint32_t kShareUnits = 10000;

/// Key of the pool row.
inline constexpr std::string_view kPoolRowKey = "share-pool";

/// Key of the lease row of a data centre.
std::string LeaseRowKey(const DataCentreId& aDataCentre);

/// Lease row of a data centre.
struct LeaseRow
{
  std::uint64_t epoch_ = 0; ///< Fencing token; grows with each takeover and each reclaim.
  HostId holder_;           ///< Empty after a release or a reclaim.
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;   ///< Number of the write, counted by the holder.
  std::uint64_t floorEpoch_ = 0; ///< Epoch whose holder may use the floor units; 0 after a release.
  std::uint64_t elasticLeaseMs_ = 0;               ///< Duration of the lease on the elastic units.
  std::uint64_t floorLeaseMs_ = 0;                 ///< Duration of the lease on the floor units.
  std::map<ClientAccountId, std::uint32_t> needs_; ///< Units wanted beyond those held, by account.
  bool operator==(const LeaseRow&) const = default;
};

/// Units of one client account in one data centre.
struct SharePortion
{
  std::uint32_t floor_ = 0;
  std::uint32_t elastic_ = 0;
  bool operator==(const SharePortion&) const = default;
};

/// Division of one client account's units, as stored in the pool row.
/// Invariant: free_ and all portions in shares_ sum to kShareUnits.
struct PoolEntry
{
  std::uint32_t dataCentresWithFloor_ = 1;
  std::uint32_t floorUnits_ = 0; ///< Floor units of each data centre with a floor.
  std::uint32_t free_ = 0;       ///< Units that belong to no data centre.
  std::map<DataCentreId, SharePortion> shares_;
  bool operator==(const PoolEntry&) const = default;
};

using SharePool = std::map<ClientAccountId, PoolEntry>;

/// Convert the rows to and from JSON text. Decoding fails with kPlatformMalformed.
std::string EncodeLeaseRow(const LeaseRow& aRow);
Result<LeaseRow> DecodeLeaseRow(std::string_view aText);
std::string EncodeSharePool(const SharePool& aPool);
Result<SharePool> DecodeSharePool(std::string_view aText);

/// Converts a portion to a rate and a burst. If the account's burst has at least one token for each
/// data centre, each floor gets at least one whole token. The elastic units share the rest of the
/// burst, so the bursts of all data centres sum to at most the account's burst.
ShareLimit PortionLimit(const ClientAccount& aAccount,
                        const PoolEntry& aEntry,
                        const SharePortion& aPortion);

/// Intervals and limits of the lease.
struct ShareLeaseSettings
{
  Duration renewInterval_ = seconds(1);
  Duration acquireInterval_ = milliseconds(250); ///< Between reads while the lease isn't held.
  Duration idlePeriod_ = seconds(5); ///< An account that wasn't short of tokens for this long keeps
                                     ///< only the units that its use needs.
  Duration shortagePeriod_ = seconds(2); ///< For this long after it was short of tokens, an account
                                         ///< wants more units.
  std::size_t maxNeeds_ = 16;            ///< Maximum number of accounts in LeaseRow::needs_.
  bool operator==(const ShareLeaseSettings&) const = default;
};

/// Lease row of a data centre as this node last read it.
struct ObservedLease
{
  std::uint64_t revision_ = 0;
  LeaseRow row_;
  TimePoint firstSeenAt_{};        ///< End of the first read that returned revision_.
  TimePoint floorRenewalSeenAt_{}; ///< End of the first read that returned the last renewal of the
                                   ///< floor lease.
};

/// Write of this node's lease row that isn't applied to ShareLease yet, because its answer is
/// outstanding or was lost.
struct PendingLeaseWrite
{
  LeaseRow row_;
  TimePoint sentAt_{};
  std::map<ClientAccountId, PoolEntry> poolEntries_; ///< Pool entries in the same transaction.
  bool acquires_ = false;                            ///< The write acquires the lease.
  bool releases_ = false;                            ///< The write releases the lease.
};

/// Purpose of the platform call in progress.
enum class ShareCallKind : std::uint8_t
{
  kReadLeaseRows,
  kReadPoolRow,
  kWrite
};

/// State of the lease at one node. Changed only through the functions below.
struct ShareLease
{
  ShareLeaseSettings settings_;
  HostId self_;
  Incarnation incarnation_ = 0;
  DataCentreId dataCentre_;
  std::uint64_t random_ = 1; ///< State of the random number generator for operation ids.
  std::shared_ptr<const Config> config_;
  std::shared_ptr<const MemberRanking> ranking_;

  bool held_ = false;
  LeaseRow row_;                     ///< Last own write known to have taken effect, while held_.
  std::uint64_t revision_ = 0;       ///< Revision of the lease row of dataCentre_.
  TimePoint elasticRenewalSentAt_{}; ///< When the last renewal that took effect was sent.
  TimePoint floorRenewalSentAt_{};   ///< When the last renewal of the floors was sent.
  std::uint64_t floorEpoch_ = 0; ///< Epoch in which this process holds the floors; 0 if it doesn't.
  TimePoint floorUsableAt_{};    ///< When the floors of an earlier holder may be used here.
  std::optional<TimePoint> grantsStoppedAt_; ///< When granting stopped in preparation of a release.
  bool releaseSent_ = false; ///< A release was sent, which may take effect at any time.

  std::map<ClientAccountId, PoolEntry> poolEntries_;     ///< As of the last read or write.
  std::map<ClientAccountId, std::uint32_t> unitsToGive_; ///< Elastic units that this node no longer
                                                         ///< uses and will free.
  std::map<DataCentreId, ObservedLease> observed_;       ///< Lease rows of all data centres.
  std::map<ClientAccountId, std::uint32_t> needs_;       ///< Written as LeaseRow::needs_.
  std::optional<PendingLeaseWrite> pending_;
  std::uint64_t sequence_ = 0; ///< Number of the last write sent.

  std::optional<ShareCallKind> call_; ///< The call in progress.
  TimePoint nextCycleAt_{};           ///< When the lease rows are read next.
  TimePoint usePeriodStartedAt_{};    ///< Start of the current period for EndUsePeriod.
  std::uint64_t poolWrites_ = 0;      ///< Number of pool writes that took effect.
};

/// What the caller must do after a function of this module.
struct ShareLeaseEffects
{
  std::optional<PlatformCall> call_; ///< Call to run. No other call is returned until its answer
                                     ///< has been passed to HandleShareAnswer.
  bool acquired_ = false;            ///< The lease was acquired.
  bool lost_ = false;                ///< The lease was lost or released.
};

ShareLease MakeShareLease(ShareLeaseSettings aSettings,
                          HostId aSelf,
                          Incarnation aIncarnation,
                          DataCentreId aDataCentre,
                          std::uint64_t aSeed,
                          TimePoint aNow);

/// Starts the platform call that is due to acquire, renew or release the lease or to move units.
/// Called at every tick.
void StepShareLease(ShareLease& aLease,
                    ShareLedger& aLedger,
                    TimePoint aNow,
                    ShareLeaseEffects& aEffects);

/// Handles the answer to the call in ShareLeaseEffects::call_.
void HandleShareAnswer(ShareLease& aLease,
                       ShareLedger& aLedger,
                       const PlatformAnswer& aAnswer,
                       TimePoint aNow,
                       ShareLeaseEffects& aEffects);

/// Answers a host's request for tokens. Checks that the lease still runs at aNow before it grants,
/// because the process may have been paused.
ShareGrant HandleShareRequest(ShareLease& aLease,
                              ShareLedger& aLedger,
                              const HostId& aHost,
                              const ShareRequest& aRequest,
                              TimePoint aNow);

/// Limit within which this node may grant tokens of an account now: zero without a lease, and only
/// the floor after the elastic lease has ended.
ShareLimit UsableLimit(const ShareLease& aLease, const ClientAccountId& aAccount, TimePoint aNow);

/// Time until the end of the lease that covers new grants, which bounds their lifetime.
Duration RemainingLease(const ShareLease& aLease, TimePoint aNow);

} // namespace peridotquay
