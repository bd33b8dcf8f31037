// Lease of a data centre's rate shares in the platform table, and moves of shares between data
// centres through the pool row.
//
// Rows: share/<data centre> is the lease, renewed each second by its holder. share-pool holds, for
// each client account, how its units are allotted: to data centres (floor and elastic) or free.
// Every move is one transaction on the pool row and the mover's lease row, so that a fenced holder
// can't move anything. Free functions over one plain struct.
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

/// Parts that one client account's limit is divided into. Integers, so that moves keep the sum
/// exact.
inline constexpr std::uint32_t kShareUnits = 10000;

/// Row of the pool.
inline constexpr std::string_view kPoolRowKey = "share-pool";

/// Row of a data centre's lease.
std::string ShareRowKey(const DataCentreId& aDataCentre);

/// The lease row.
struct ShareRow
{
  std::uint64_t epoch_ = 0; ///< Grows with each takeover and each reclaim.
  HostId holder_;           ///< Empty: released or reclaimed.
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0;   ///< Number of the holder's write.
  std::uint64_t floorEpoch_ = 0; ///< Epoch whose holder may use the floors; 0: released.
  std::uint64_t elasticMs_ = 0;  ///< Lease times of the holder.
  std::uint64_t floorMs_ = 0;
  std::map<ClientAccountId, std::uint32_t> needs_; ///< Units wanted beyond those held.
  bool operator==(const ShareRow&) const = default;
};

/// Units of one client account in one data centre.
struct SharePortion
{
  std::uint32_t floor_ = 0;
  std::uint32_t elastic_ = 0;
  bool operator==(const SharePortion&) const = default;
};

/// One client account in the pool row.
/// Invariant: free_ and all portions sum to kShareUnits.
struct PoolEntry
{
  std::uint32_t sites_ = 1;      ///< Data centres with a floor.
  std::uint32_t floorUnits_ = 0; ///< Floor of each of them.
  std::uint32_t free_ = 0;
  std::map<DataCentreId, SharePortion> shares_;
  bool operator==(const PoolEntry&) const = default;
};

using SharePool = std::map<ClientAccountId, PoolEntry>;

/// JSON text of the rows. Decoding fails with kPlatformMalformed.
std::string EncodeShareRow(const ShareRow& aRow);
Result<ShareRow> DecodeShareRow(std::string_view aText);
std::string EncodeSharePool(const SharePool& aPool);
Result<SharePool> DecodeSharePool(std::string_view aText);

/// Limit that an portion stands for. Each floor holds at least one token if the burst has one for
/// every data centre; what floors hold is taken from the elastic part, so the sum stays the burst.
ShareLimit PortionLimit(const ClientAccount& aAccount,
                        const PoolEntry& aEntry,
                        const SharePortion& aPortion);

/// Settings of the lease.
struct ShareLeaseSettings
{
  Duration renewInterval_ = seconds(1);
  Duration acquireInterval_ = milliseconds(250); ///< Reads while the lease isn't held.
  Duration idleAfter_ = seconds(5); ///< Not short of tokens for this long: spare units are given.
  Duration shortFor_ = seconds(2);  ///< Short of tokens within this: more units are wanted.
  std::size_t needs_ = 16;          ///< Most accounts named as needed in the lease row.
  bool operator==(const ShareLeaseSettings&) const = default;
};

/// A lease row of any data centre as read.
struct ObservedShare
{
  std::uint64_t revision_ = 0;
  ShareRow row_;
  TimePoint seen_{};      ///< After the read that first showed this revision.
  TimePoint floorSeen_{}; ///< After the read that first showed this floor epoch in use, or its
                          ///< last renewal.
};

/// A write of the own lease row whose effect on this node isn't applied yet.
struct PendingShareWrite
{
  ShareRow row_;
  TimePoint sent_{};
  std::map<ClientAccountId, PoolEntry> entries_; ///< Pool entries written with it.
  bool acquires_ = false;
  bool releases_ = false;
};

enum class ShareCallKind : std::uint8_t
{
  kReadRows,
  kReadPool,
  kWrite
};

/// State of the lease at one node. Changed only through the functions below.
struct ShareLease
{
  ShareLeaseSettings settings_;
  HostId self_;
  Incarnation incarnation_ = 0;
  DataCentreId dataCentre_;
  std::uint64_t random_ = 1;
  std::shared_ptr<const Config> config_;
  std::shared_ptr<const MemberRanking> ranking_;

  bool held_ = false;
  ShareRow row_;               ///< As last known to be in force, while held.
  std::uint64_t revision_ = 0; ///< Of the own row.
  TimePoint elasticSent_{};    ///< Before the last renewal that took effect was sent.
  TimePoint floorSent_{};
  std::uint64_t floorEpoch_ = 0; ///< Epoch under which this process holds the floors; 0: none.
  TimePoint floorFrom_{}; ///< With floors of an earlier holder: when their lease has surely ended.
  std::optional<TimePoint> stopped_; ///< Since when nothing is granted, before a release.
  bool releaseSent_ = false;         ///< A release may take effect at any time.

  std::map<ClientAccountId, PoolEntry> entries_;    ///< Pool entries as of the last read or write.
  std::map<ClientAccountId, std::uint32_t> giving_; ///< Elastic units out of use, to be given.
  std::map<DataCentreId, ObservedShare> observed_;
  std::map<ClientAccountId, std::uint32_t> needs_;
  std::optional<PendingShareWrite> pending_;
  std::uint64_t sequence_ = 0;

  std::optional<ShareCallKind> call_;
  TimePoint nextCycle_{};
  TimePoint periodStart_{};
  std::uint64_t moves_ = 0; ///< Pool writes that took effect.
};

/// What the owner has to do after a step.
struct ShareLeaseEffects
{
  std::optional<PlatformCall> call_; ///< At most one at a time; answer through HandleShareAnswer.
  bool taken_ = false;
  bool lost_ = false;
};

ShareLease MakeShareLease(ShareLeaseSettings aSettings,
                          HostId aSelf,
                          Incarnation aIncarnation,
                          DataCentreId aDataCentre,
                          std::uint64_t aSeed,
                          TimePoint aNow);

/// Does what is due: acquire, renew, move, release.
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

/// Answers a host's request for tokens. Checks the lease by the clock before it grants.
ShareGrant HandleShareRequest(ShareLease& aLease,
                              ShareLedger& aLedger,
                              const HostId& aHost,
                              const ShareRequest& aRequest,
                              TimePoint aNow);

/// Limit of an account that this node may hand out now: nothing without a lease, the floor after
/// the elastic lease ended.
ShareLimit UsableLimit(const ShareLease& aLease, const ClientAccountId& aAccount, TimePoint aNow);

/// Time that grants may still live: the rest of the lease that covers them.
Duration RemainingLease(const ShareLease& aLease, TimePoint aNow);

} // namespace peridotquay
