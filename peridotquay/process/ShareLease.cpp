// Acquires, renews and releases the share lease, and moves units between data centres.
#include "peridotquay/process/ShareLease.h"

#include "peridotquay/version/MembershipRank.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>
#include <cmath>
#include <set>

namespace peridotquay {

namespace {

using Json = nlohmann::json;

constexpr std::string_view kLeaseRowPrefix = "share/";

// Maximum number of lease rows in one read, far above the number of data centres.
constexpr std::uint32_t kMaxLeaseRows = 256;

// Units that an account short of tokens wants in addition to its use or to double what it holds,
// whichever is more.
constexpr std::uint32_t kMinNeedUnits = kShareUnits / 20;

// Factor on the measured use for the units to keep, so that small variations cause no moves.
constexpr double kUseMarginFactor = 1.25;

// Returns 128 random bits in hexadecimal.
std::string RandomOperationId(ShareLease& aLease)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id;
  for (int half = 0; half < 2; ++half) {
    auto value = NextRandom(aLease.random_);
    for (int i = 0; i < 16; ++i) {
      id += kDigits[value & 0xfU];
      value >>= 4U;
    }
  }
  return id;
}

// True if this node is the share leader according to membership and a configuration is known.
bool IsCandidate(const ShareLease& aLease)
{
  return aLease.config_ != nullptr && aLease.ranking_ != nullptr &&
         aLease.ranking_->shareLeader_.host_ == aLease.self_;
}

TimePoint ElasticLeaseEnd(const ShareLease& aLease)
{
  return aLease.elasticRenewalSentAt_ + milliseconds(aLease.row_.elasticLeaseMs_);
}

TimePoint FloorLeaseEnd(const ShareLease& aLease)
{
  return aLease.floorRenewalSentAt_ + milliseconds(aLease.row_.floorLeaseMs_);
}

bool HoldsElastic(const ShareLease& aLease, TimePoint aNow)
{
  return aLease.held_ && aNow < ElasticLeaseEnd(aLease);
}

bool HoldsFloors(const ShareLease& aLease, TimePoint aNow)
{
  return aLease.held_ && aLease.floorEpoch_ == aLease.row_.epoch_ && aNow < FloorLeaseEnd(aLease);
}

std::uint64_t ToMilliseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(aDuration).count());
}

SharePortion OwnPortion(const ShareLease& aLease, const PoolEntry& aEntry)
{
  const auto found = aEntry.shares_.find(aLease.dataCentre_);
  return found == aEntry.shares_.end() ? SharePortion{} : found->second;
}

std::uint32_t UnitsToGive(const ShareLease& aLease, const ClientAccountId& aAccount)
{
  const auto found = aLease.unitsToGive_.find(aAccount);
  return found == aLease.unitsToGive_.end() ? 0 : found->second;
}

void ApplyLimits(ShareLease& aLease, ShareLedger& aLedger, TimePoint aNow)
{
  for (const auto& [account, entry] : aLease.poolEntries_) {
    SetShareLimit(aLedger, account, UsableLimit(aLease, account, aNow), aNow);
  }
}

void LoseLease(ShareLease& aLease, ShareLedger& aLedger, ShareLeaseEffects& aEffects)
{
  aLease.held_ = false;
  aLease.grantsStoppedAt_.reset();
  aLease.releaseSent_ = false;
  aLease.pending_.reset();
  aLease.poolEntries_.clear();
  aLease.unitsToGive_.clear();
  aLease.needs_.clear();
  ClearLedger(aLedger);
  aEffects.lost_ = true;
}

// Applies the pending write, which is known to have taken effect, to the state of this node.
void ApplyPendingWrite(ShareLease& aLease,
                       ShareLedger& aLedger,
                       std::uint64_t aRevision,
                       TimePoint aNow,
                       ShareLeaseEffects& aEffects)
{
  assert(aLease.pending_);
  const auto pending = std::move(*aLease.pending_);
  aLease.pending_.reset();
  aLease.revision_ = aRevision;
  if (pending.releases_) {
    aLease.floorEpoch_ = 0;
    LoseLease(aLease, aLedger, aEffects);
    return;
  }
  aLease.row_ = pending.row_;
  aLease.elasticRenewalSentAt_ = pending.sentAt_;
  if (pending.row_.floorEpoch_ == pending.row_.epoch_) {
    aLease.floorEpoch_ = pending.row_.epoch_;
    aLease.floorRenewalSentAt_ = pending.sentAt_;
  }
  // A release sent earlier has a condition on an earlier revision of the row, so it can't take
  // effect after this write.
  aLease.grantsStoppedAt_.reset();
  aLease.releaseSent_ = false;
  if (pending.acquires_) {
    aLease.held_ = true;
    aLease.nextCycleAt_ = aNow;
    aEffects.acquired_ = true;
  }
  for (const auto& [account, entry] : pending.poolEntries_) {
    aLease.poolEntries_[account] = entry;
    aLease.unitsToGive_.erase(account);
  }
  aLease.poolWrites_ += pending.poolEntries_.empty() ? 0 : 1;
  ApplyLimits(aLease, aLedger, aNow);
}

// Compares the own lease row as read with the pending write and detects a lost lease. Only this
// process writes rows with its epoch, host and incarnation, so such a row shows which write took
// effect last, even if the answer to the write was lost.
void ResolveOwnRow(ShareLease& aLease,
                   ShareLedger& aLedger,
                   TimePoint aNow,
                   ShareLeaseEffects& aEffects)
{
  const auto found = aLease.observed_.find(aLease.dataCentre_);
  if (found == aLease.observed_.end()) {
    return;
  }
  const auto& row = found->second.row_;
  auto& pending = aLease.pending_;
  const bool ownWrite =
    row.incarnation_ == aLease.incarnation_ && pending && row.epoch_ == pending->row_.epoch_ &&
    row.sequence_ == pending->row_.sequence_ && row.holder_ == pending->row_.holder_;
  if (ownWrite) {
    ApplyPendingWrite(aLease, aLedger, found->second.revision_, aNow, aEffects);
    return;
  }
  if (!aLease.held_) {
    return;
  }
  if (row.epoch_ != aLease.row_.epoch_ || row.holder_ != aLease.self_ ||
      row.incarnation_ != aLease.incarnation_) {
    LoseLease(aLease, aLedger, aEffects);
  } else {
    aLease.revision_ = found->second.revision_;
  }
}

void StartCall(ShareLease& aLease,
               ShareCallKind aKind,
               PlatformCall aCall,
               ShareLeaseEffects& aEffects)
{
  assert(!aLease.call_ && !aEffects.call_);
  aLease.call_ = aKind;
  aEffects.call_ = std::move(aCall);
}

// Starts a transaction that writes the lease row of this node if the row is unchanged. The caller
// puts the conditions and writes of other rows into aTransaction.
void StartWrite(ShareLease& aLease,
                PendingLeaseWrite aPending,
                PlatformTransaction aTransaction,
                TimePoint aNow,
                ShareLeaseEffects& aEffects)
{
  auto& row = aPending.row_;
  row.incarnation_ = aLease.incarnation_;
  row.sequence_ = ++aLease.sequence_;
  row.elasticLeaseMs_ = ToMilliseconds(aLease.config_->policy_.elasticLease_);
  row.floorLeaseMs_ = ToMilliseconds(aLease.config_->policy_.floorLease_);
  aPending.sentAt_ = aNow;
  const auto key = LeaseRowKey(aLease.dataCentre_);
  aTransaction.operationId_ = RandomOperationId(aLease);
  aTransaction.conditions_.insert(aTransaction.conditions_.begin(), { key, aLease.revision_ });
  aTransaction.writes_.push_back({ key, EncodeLeaseRow(row) });
  aLease.pending_ = std::move(aPending);
  StartCall(aLease, ShareCallKind::kWrite, TransactCall{ std::move(aTransaction) }, aEffects);
}

// Acquires the lease if it is free or the elastic lease of its holder has certainly ended. The
// duration is counted from the end of the first read that returned the current revision.
void TryAcquire(ShareLease& aLease, TimePoint aNow, ShareLeaseEffects& aEffects)
{
  const auto found = aLease.observed_.find(aLease.dataCentre_);
  PendingLeaseWrite pending;
  pending.acquires_ = true;
  pending.row_.holder_ = aLease.self_;
  pending.row_.epoch_ = 1;
  pending.row_.floorEpoch_ = 1;
  aLease.revision_ = 0;
  aLease.floorUsableAt_ = aNow;
  if (found != aLease.observed_.end()) {
    const auto& seen = found->second;
    const auto elasticLease =
      std::max(milliseconds(seen.row_.elasticLeaseMs_),
               std::chrono::duration_cast<milliseconds>(aLease.config_->policy_.elasticLease_));
    // True if this process acquired the lease but lost the answer, and has sent another acquisition
    // since. Nothing was granted under the lease.
    const bool ownAcquisition =
      seen.row_.holder_ == aLease.self_ && seen.row_.incarnation_ == aLease.incarnation_;
    if (!seen.row_.holder_.value_.empty() && !ownAcquisition &&
        aNow - seen.firstSeenAt_ < elasticLease) {
      return;
    }
    aLease.revision_ = seen.revision_;
    pending.row_.epoch_ = seen.row_.epoch_ + 1;
    const bool floorsFree =
      seen.row_.floorEpoch_ == 0 || (ownAcquisition && seen.row_.floorEpoch_ == seen.row_.epoch_);
    // True if this process held the floors before a reclaim. Its ledger was cleared since, so hosts
    // may still use its earlier grants until these expire.
    const bool floorsKept =
      seen.row_.floorEpoch_ != 0 && seen.row_.floorEpoch_ == aLease.floorEpoch_;
    pending.row_.floorEpoch_ = floorsFree ? pending.row_.epoch_ : seen.row_.floorEpoch_;
    const auto floorLease =
      std::max(milliseconds(seen.row_.floorLeaseMs_),
               std::chrono::duration_cast<milliseconds>(aLease.config_->policy_.floorLease_));
    aLease.floorUsableAt_ = floorsFree ? aNow : seen.floorRenewalSeenAt_ + floorLease;
    if (floorsKept) {
      aLease.floorUsableAt_ = aNow + kMaxGrantLifetime;
    }
  }
  StartWrite(aLease, std::move(pending), {}, aNow, aEffects);
}

// Stores the lease rows of all data centres and the times at which changes were first seen.
void RecordLeaseRows(ShareLease& aLease, const PlatformAnswer& aAnswer)
{
  std::set<DataCentreId> present;
  for (const auto& stored : aAnswer.rows_) {
    if (stored.key_.rfind(kLeaseRowPrefix, 0) != 0) {
      continue;
    }
    const auto row = DecodeLeaseRow(stored.value_);
    if (row.has_error()) {
      continue;
    }
    const DataCentreId id{ stored.key_.substr(kLeaseRowPrefix.size()) };
    present.insert(id);
    const bool known = aLease.observed_.count(id) != 0;
    auto& seen = aLease.observed_[id];
    if (known && seen.revision_ == stored.revision_) {
      continue;
    }
    const auto& newRow = row.assume_value();
    // A reclaim raises the epoch but leaves the floor epoch, so it doesn't renew the floors.
    const bool renewsFloors =
      !known || newRow.floorEpoch_ != seen.row_.floorEpoch_ || newRow.floorEpoch_ == newRow.epoch_;
    if (renewsFloors) {
      seen.floorRenewalSeenAt_ = aAnswer.finishedAt_;
    }
    seen.revision_ = stored.revision_;
    seen.row_ = newRow;
    seen.firstSeenAt_ = aAnswer.finishedAt_;
  }
  std::erase_if(aLease.observed_,
                [&](const auto& aSeen) { return present.count(aSeen.first) == 0; });
}

bool IsShortOfTokens(const ShareLease& aLease, const AccountLedger& aAccount, TimePoint aNow)
{
  return aAccount.everShort_ && aNow - aAccount.lastShortAt_ < aLease.settings_.shortagePeriod_;
}

// Units that cover the measured use of an account whose whole limit is aRatePerSecond.
std::uint32_t UnitsForMeasuredUse(const AccountLedger& aAccount, double aRatePerSecond)
{
  const double units =
    std::ceil(aAccount.usePerSecond_ * kUseMarginFactor / aRatePerSecond * kShareUnits);
  return static_cast<std::uint32_t>(std::clamp(units, 0.0, double{ kShareUnits }));
}

// Returns the units of an account that other data centres want, and the number of data centres that
// want some.
std::pair<std::uint32_t, std::uint32_t> NeedsOfOthers(const ShareLease& aLease,
                                                      const ClientAccountId& aAccount,
                                                      TimePoint aNow)
{
  std::uint32_t units = 0;
  std::uint32_t dataCentreCount = 0;
  for (const auto& [id, seen] : aLease.observed_) {
    const bool leaseRuns = aNow - seen.firstSeenAt_ < milliseconds(seen.row_.elasticLeaseMs_);
    const auto need = seen.row_.needs_.find(aAccount);
    if (id != aLease.dataCentre_ && leaseRuns && need != seen.row_.needs_.end()) {
      units += need->second;
      ++dataCentreCount;
    }
  }
  return { units, dataCentreCount };
}

// Decides for each account how many units this data centre wants, and how many elastic units it
// stops using because others want them.
void PlanMoves(ShareLease& aLease, ShareLedger& aLedger, TimePoint aNow)
{
  aLease.needs_.clear();
  for (const auto& [id, account] : aLease.config_->clientAccounts_) {
    const auto entry = aLease.poolEntries_.find(id);
    const auto ledger = aLedger.accounts_.find(id);
    if (entry == aLease.poolEntries_.end() || ledger == aLedger.accounts_.end()) {
      continue;
    }
    const auto own = OwnPortion(aLease, entry->second);
    const auto held = own.floor_ + own.elastic_;
    const auto used = UnitsForMeasuredUse(ledger->second, account.ratePerSecond_);
    const bool shortOfTokens = IsShortOfTokens(aLease, ledger->second, aNow);
    // Units above the fraction that the site overlay allows would stay unused here.
    const auto maxUnits =
      static_cast<std::uint32_t>(std::ceil(account.siteRateFraction_ * kShareUnits));
    if (shortOfTokens && aLease.needs_.size() < aLease.settings_.maxNeeds_) {
      const auto want = std::min(maxUnits, std::max(used, 2 * held) + kMinNeedUnits);
      if (want > held) {
        aLease.needs_[id] = want - held;
      }
    }
    const auto [needed, dataCentreCount] = NeedsOfOthers(aLease, id, aNow);
    if (needed == 0 || own.elastic_ == 0) {
      continue;
    }
    const auto elasticTotal =
      kShareUnits - entry->second.dataCentresWithFloor_ * entry->second.floorUnits_;
    std::uint32_t keep = used > own.floor_ ? used - own.floor_ : 0;
    if (shortOfTokens) {
      keep = elasticTotal / (dataCentreCount + 1);
    } else if (ledger->second.everShort_ &&
               aNow - ledger->second.lastShortAt_ < aLease.settings_.idlePeriod_) {
      keep = std::max(keep, elasticTotal / (dataCentreCount + 1));
    }
    keep = std::min(keep, maxUnits > own.floor_ ? maxUnits - own.floor_ : 0);
    const auto spare = own.elastic_ > keep ? own.elastic_ - keep : 0;
    const auto give = std::min(spare, needed);
    if (give > UnitsToGive(aLease, id)) {
      aLease.unitsToGive_[id] = give;
    }
  }
  ApplyLimits(aLease, aLedger, aNow);
}

// Data centres of the configuration or, if it names none, those known from membership.
std::set<DataCentreId> DataCentresWithFloor(const ShareLease& aLease)
{
  std::set<DataCentreId> dataCentres;
  for (const auto& [id, site] : aLease.config_->sites_) {
    dataCentres.insert(id);
  }
  if (dataCentres.empty()) {
    for (const auto& [id, delegates] : aLease.ranking_->delegates_) {
      dataCentres.insert(id);
    }
    dataCentres.insert(aLease.dataCentre_);
  }
  return dataCentres;
}

// Divides the units of an account equally among the data centres.
PoolEntry MakeInitialEntry(const ShareLease& aLease)
{
  const auto dataCentres = DataCentresWithFloor(aLease);
  const auto count = static_cast<std::uint32_t>(dataCentres.size());
  PoolEntry entry;
  entry.dataCentresWithFloor_ = count;
  entry.floorUnits_ = static_cast<std::uint32_t>(
    std::floor(aLease.config_->policy_.floorFraction_ * kShareUnits / count));
  const auto elastic = (kShareUnits - count * entry.floorUnits_) / count;
  entry.free_ = kShareUnits - count * (entry.floorUnits_ + elastic);
  for (const auto& id : dataCentres) {
    entry.shares_[id] = { entry.floorUnits_, elastic };
  }
  return entry;
}

// True if units are to be moved, or if the pool may lack an account.
bool MustReadPool(const ShareLease& aLease)
{
  if (!aLease.needs_.empty() || !aLease.unitsToGive_.empty()) {
    return true;
  }
  return std::any_of(aLease.config_->clientAccounts_.begin(),
                     aLease.config_->clientAccounts_.end(),
                     [&](const auto& aAccount) {
                       return aLease.poolEntries_.find(aAccount.first) == aLease.poolEntries_.end();
                     });
}

// Other data centres whose elastic lease has certainly ended.
std::vector<DataCentreId> LapsedDataCentres(const ShareLease& aLease, TimePoint aNow)
{
  std::vector<DataCentreId> lapsed;
  for (const auto& [id, seen] : aLease.observed_) {
    const auto elasticLease =
      std::max(milliseconds(seen.row_.elasticLeaseMs_),
               std::chrono::duration_cast<milliseconds>(aLease.config_->policy_.elasticLease_));
    if (id != aLease.dataCentre_ && aNow - seen.firstSeenAt_ >= elasticLease) {
      lapsed.push_back(id);
    }
  }
  return lapsed;
}

// Frees the elastic units that a lapsed data centre holds of the accounts that need units here.
// Returns true if it freed any.
bool ReclaimNeededUnits(const ShareLease& aLease, const DataCentreId& aLapsed, SharePool& aPool)
{
  bool moved = false;
  for (const auto& [account, need] : aLease.needs_) {
    const auto entry = aPool.find(account);
    if (entry == aPool.end()) {
      continue;
    }
    const auto share = entry->second.shares_.find(aLapsed);
    if (share != entry->second.shares_.end() && share->second.elastic_ > 0) {
      entry->second.free_ += share->second.elastic_;
      share->second.elastic_ = 0;
      moved = true;
    }
  }
  return moved;
}

// Frees all elastic units of a lapsed data centre. Fencing its holder ends the holder's claim on
// all of them, not only on the accounts that need units here.
void FreeElasticUnits(const DataCentreId& aLapsed, SharePool& aPool)
{
  for (auto& [account, entry] : aPool) {
    const auto share = entry.shares_.find(aLapsed);
    if (share != entry.shares_.end()) {
      entry.free_ += share->second.elastic_;
      share->second.elastic_ = 0;
    }
  }
}

// Makes the next row of the held lease. It takes over the floors if the floor lease of the earlier
// holder has ended.
PendingLeaseWrite MakeRenewal(const ShareLease& aLease, TimePoint aNow)
{
  PendingLeaseWrite pending;
  pending.row_ = aLease.row_;
  pending.row_.needs_ = aLease.needs_;
  if (pending.row_.floorEpoch_ != pending.row_.epoch_ && aNow >= aLease.floorUsableAt_) {
    pending.row_.floorEpoch_ = pending.row_.epoch_;
  }
  return pending;
}

// Stores the pool entries as read. If the portion of this data centre differs from the known one, a
// write whose answer was lost took effect. Units that it freed must not be freed again.
void ApplyPoolRow(ShareLease& aLease, ShareLedger& aLedger, const SharePool& aPool, TimePoint aNow)
{
  for (const auto& [account, entry] : aPool) {
    const auto known = aLease.poolEntries_.find(account);
    if (known != aLease.poolEntries_.end() &&
        OwnPortion(aLease, known->second) != OwnPortion(aLease, entry)) {
      aLease.unitsToGive_.erase(account);
    }
    aLease.poolEntries_[account] = entry;
  }
  ApplyLimits(aLease, aLedger, aNow);
}

// Renews the lease and moves units in the same transaction: adds missing accounts to the pool,
// reclaims units of lapsed data centres, frees units that this node has stopped using and that no
// outstanding token relies on, and takes free units that this data centre wants.
void WriteMoves(ShareLease& aLease,
                ShareLedger& aLedger,
                SharePool aPool,
                std::uint64_t aPoolRevision,
                TimePoint aNow,
                ShareLeaseEffects& aEffects)
{
  auto pending = MakeRenewal(aLease, aNow);
  PlatformTransaction transaction;
  ApplyPoolRow(aLease, aLedger, aPool, aNow);
  const SharePool poolBefore = aPool;
  for (const auto& [id, account] : aLease.config_->clientAccounts_) {
    if (aPool.find(id) == aPool.end()) {
      aPool[id] = MakeInitialEntry(aLease);
    }
  }
  for (const auto& id : LapsedDataCentres(aLease, aNow)) {
    if (ReclaimNeededUnits(aLease, id, aPool)) {
      FreeElasticUnits(id, aPool);
      const auto& seen = aLease.observed_.at(id);
      // Fences the lapsed holder: its row gets the next epoch and no holder.
      auto fencedRow = seen.row_;
      ++fencedRow.epoch_;
      fencedRow.holder_ = {};
      fencedRow.needs_.clear();
      transaction.conditions_.push_back({ LeaseRowKey(id), seen.revision_ });
      transaction.writes_.push_back({ LeaseRowKey(id), EncodeLeaseRow(fencedRow) });
    }
  }
  for (auto& [account, entry] : aPool) {
    const auto giving = UnitsToGive(aLease, account);
    auto& own = entry.shares_[aLease.dataCentre_];
    const auto units = std::min(giving, own.elastic_);
    const auto limit = UsableLimit(aLease, account, aNow);
    if (units > 0 && FitsLimit(aLedger, account, limit, aNow)) {
      own.elastic_ -= units;
      entry.free_ += units;
    }
    const auto need = aLease.needs_.find(account);
    if (need != aLease.needs_.end() && giving == 0) {
      const auto taken = std::min(need->second, entry.free_);
      entry.free_ -= taken;
      own.elastic_ += taken;
    }
    if (own == SharePortion{}) {
      entry.shares_.erase(aLease.dataCentre_);
    }
  }
  for (const auto& [account, entry] : aPool) {
    const auto known = poolBefore.find(account);
    if (known == poolBefore.end() || known->second != entry) {
      pending.poolEntries_[account] = entry;
    }
  }
  if (aPool != poolBefore) {
    transaction.conditions_.push_back({ std::string(kPoolRowKey), aPoolRevision });
    transaction.writes_.push_back({ std::string(kPoolRowKey), EncodeSharePool(aPool) });
  }
  StartWrite(aLease, std::move(pending), std::move(transaction), aNow, aEffects);
}

// Stops granting at once, and releases the lease in a later call once all grants have expired,
// because another node may acquire it and grant from then on.
void ReleaseLease(ShareLease& aLease, TimePoint aNow, ShareLeaseEffects& aEffects)
{
  if (!aLease.grantsStoppedAt_) {
    aLease.grantsStoppedAt_ = aNow;
  }
  if (aNow - *aLease.grantsStoppedAt_ < kMaxGrantLifetime) {
    return;
  }
  aLease.nextCycleAt_ = aNow + aLease.settings_.renewInterval_;
  PendingLeaseWrite pending;
  pending.row_ = aLease.row_;
  pending.row_.holder_ = {};
  pending.row_.needs_.clear();
  const bool holdsFloors = aLease.floorEpoch_ == aLease.row_.epoch_;
  pending.row_.floorEpoch_ = holdsFloors ? 0 : aLease.row_.floorEpoch_;
  pending.releases_ = true;
  aLease.releaseSent_ = true;
  StartWrite(aLease, std::move(pending), {}, aNow, aEffects);
}

void HandleLeaseRows(ShareLease& aLease,
                     ShareLedger& aLedger,
                     const PlatformAnswer& aAnswer,
                     TimePoint aNow,
                     ShareLeaseEffects& aEffects)
{
  if (aAnswer.error_) {
    return;
  }
  RecordLeaseRows(aLease, aAnswer);
  ResolveOwnRow(aLease, aLedger, aNow, aEffects);
  if (!IsCandidate(aLease)) {
    if (aLease.held_) {
      ReleaseLease(aLease, aNow, aEffects);
    }
    return;
  }
  if (!aLease.held_) {
    TryAcquire(aLease, aNow, aEffects);
    return;
  }
  PlanMoves(aLease, aLedger, aNow);
  if (MustReadPool(aLease)) {
    StartCall(
      aLease, ShareCallKind::kReadPoolRow, ReadRowCall{ std::string(kPoolRowKey) }, aEffects);
  } else {
    StartWrite(aLease, MakeRenewal(aLease, aNow), {}, aNow, aEffects);
  }
}

void HandlePoolRow(ShareLease& aLease,
                   ShareLedger& aLedger,
                   const PlatformAnswer& aAnswer,
                   TimePoint aNow,
                   ShareLeaseEffects& aEffects)
{
  if (!aLease.held_ || !IsCandidate(aLease)) {
    return;
  }
  SharePool pool;
  std::uint64_t revision = 0;
  if (!aAnswer.error_ && !aAnswer.rows_.empty()) {
    auto decoded = DecodeSharePool(aAnswer.rows_.front().value_);
    revision = aAnswer.rows_.front().revision_;
    if (decoded.has_error()) {
      // The lease is renewed even if the pool row is malformed or can't be read.
      StartWrite(aLease, MakeRenewal(aLease, aNow), {}, aNow, aEffects);
      return;
    }
    pool = std::move(decoded.assume_value());
  }
  if (aAnswer.error_) {
    StartWrite(aLease, MakeRenewal(aLease, aNow), {}, aNow, aEffects);
  } else {
    WriteMoves(aLease, aLedger, std::move(pool), revision, aNow, aEffects);
  }
}

void HandleWriteAnswer(ShareLease& aLease,
                       ShareLedger& aLedger,
                       const PlatformAnswer& aAnswer,
                       TimePoint aNow,
                       ShareLeaseEffects& aEffects)
{
  if (!aAnswer.error_) {
    if (aLease.pending_) {
      ApplyPendingWrite(aLease, aLedger, aAnswer.revision_, aNow, aEffects);
    }
    return;
  }
  // kPlatformUnavailable means that the write had no effect. Otherwise the answer was lost, or
  // there was a conflict, which an earlier write with a lost answer may have caused. The pending
  // write is then kept, and the next read shows whether it took effect.
  if (aAnswer.error_->code_ == ErrorCode::kPlatformUnavailable) {
    aLease.pending_.reset();
  }
  aLease.nextCycleAt_ = aNow + aLease.settings_.acquireInterval_;
}

} // namespace

std::string LeaseRowKey(const DataCentreId& aDataCentre)
{
  return std::string(kLeaseRowPrefix) + aDataCentre.value_;
}

std::string EncodeLeaseRow(const LeaseRow& aRow)
{
  Json needs = Json::object();
  for (const auto& [account, units] : aRow.needs_) {
    needs[account.value_] = units;
  }
  return Json{
    { "epoch", aRow.epoch_ },
    { "holder", aRow.holder_.value_ },
    { "incarnation", aRow.incarnation_ },
    { "sequence", aRow.sequence_ },
    { "floor_epoch", aRow.floorEpoch_ },
    { "elastic_ms", aRow.elasticLeaseMs_ },
    { "floor_ms", aRow.floorLeaseMs_ },
    { "needs", std::move(needs) }
  }.dump();
}

Result<LeaseRow> DecodeLeaseRow(std::string_view aText)
{
  try {
    const auto json = Json::parse(aText);
    LeaseRow row;
    json.at("epoch").get_to(row.epoch_);
    json.at("holder").get_to(row.holder_.value_);
    json.at("incarnation").get_to(row.incarnation_);
    json.at("sequence").get_to(row.sequence_);
    json.at("floor_epoch").get_to(row.floorEpoch_);
    json.at("elastic_ms").get_to(row.elasticLeaseMs_);
    json.at("floor_ms").get_to(row.floorLeaseMs_);
    for (const auto& [account, units] : json.at("needs").items()) {
      row.needs_[ClientAccountId{ account }] = units.get<std::uint32_t>();
    }
    return row;
  } catch (const Json::exception& failure) {
    return Fail(ErrorCode::kPlatformMalformed, "share row", failure.what());
  }
}

std::string EncodeSharePool(const SharePool& aPool)
{
  Json accounts = Json::object();
  for (const auto& [account, entry] : aPool) {
    Json shares = Json::object();
    for (const auto& [id, share] : entry.shares_) {
      shares[id.value_] = Json::array({ share.floor_, share.elastic_ });
    }
    accounts[account.value_] = Json{ { "sites", entry.dataCentresWithFloor_ },
                                     { "floor", entry.floorUnits_ },
                                     { "free", entry.free_ },
                                     { "shares", std::move(shares) } };
  }
  return Json{ { "accounts", std::move(accounts) } }.dump();
}

Result<SharePool> DecodeSharePool(std::string_view aText)
{
  try {
    const auto json = Json::parse(aText);
    SharePool pool;
    for (const auto& [account, value] : json.at("accounts").items()) {
      PoolEntry entry;
      value.at("sites").get_to(entry.dataCentresWithFloor_);
      value.at("floor").get_to(entry.floorUnits_);
      value.at("free").get_to(entry.free_);
      std::uint64_t sum = entry.free_;
      for (const auto& [id, share] : value.at("shares").items()) {
        const SharePortion portion{ share.at(0).get<std::uint32_t>(),
                                    share.at(1).get<std::uint32_t>() };
        sum += std::uint64_t{ portion.floor_ } + portion.elastic_;
        entry.shares_[DataCentreId{ id }] = portion;
      }
      if (sum != kShareUnits || entry.dataCentresWithFloor_ == 0 ||
          std::uint64_t{ entry.dataCentresWithFloor_ } * entry.floorUnits_ > kShareUnits) {
        return Fail(ErrorCode::kPlatformMalformed, "share-pool", account);
      }
      pool[ClientAccountId{ account }] = std::move(entry);
    }
    return pool;
  } catch (const Json::exception& failure) {
    return Fail(ErrorCode::kPlatformMalformed, "share-pool", failure.what());
  }
}

ShareLimit PortionLimit(const ClientAccount& aAccount,
                        const PoolEntry& aEntry,
                        const SharePortion& aPortion)
{
  ShareLimit limit;
  const double units = aPortion.floor_ + aPortion.elastic_;
  limit.ratePerSecond_ = aAccount.ratePerSecond_ * units / kShareUnits;
  const double floorCount = aEntry.dataCentresWithFloor_;
  const double exactFloorBurst = aAccount.burst_ * aEntry.floorUnits_ / kShareUnits;
  const bool wholeToken = aAccount.burst_ >= floorCount && aEntry.floorUnits_ > 0;
  const double floorBurst = wholeToken ? std::max(exactFloorBurst, 1.0) : exactFloorBurst;
  const double elasticTotal = kShareUnits - floorCount * aEntry.floorUnits_;
  const double elasticBurst = aAccount.burst_ - floorCount * floorBurst;
  if (aPortion.floor_ > 0) {
    limit.burst_ += floorBurst;
  }
  if (elasticTotal > 0) {
    limit.burst_ += elasticBurst * aPortion.elastic_ / elasticTotal;
  }
  // The site overlay may limit the data centre to less than its units stand for.
  limit.ratePerSecond_ =
    std::min(limit.ratePerSecond_, aAccount.ratePerSecond_ * aAccount.siteRateFraction_);
  limit.burst_ = std::min(limit.burst_, aAccount.burst_ * aAccount.siteRateFraction_);
  return limit;
}

ShareLease MakeShareLease(ShareLeaseSettings aSettings,
                          HostId aSelf,
                          Incarnation aIncarnation,
                          DataCentreId aDataCentre,
                          std::uint64_t aSeed,
                          TimePoint aNow)
{
  ShareLease lease;
  lease.settings_ = aSettings;
  lease.self_ = std::move(aSelf);
  lease.incarnation_ = aIncarnation;
  lease.dataCentre_ = std::move(aDataCentre);
  lease.random_ = aSeed;
  lease.nextCycleAt_ = aNow;
  lease.usePeriodStartedAt_ = aNow;
  return lease;
}

void StepShareLease(ShareLease& aLease,
                    ShareLedger& aLedger,
                    TimePoint aNow,
                    ShareLeaseEffects& aEffects)
{
  if (aNow - aLease.usePeriodStartedAt_ >= aLease.settings_.renewInterval_) {
    EndUsePeriod(aLedger, aNow - aLease.usePeriodStartedAt_, aNow);
    aLease.usePeriodStartedAt_ = aNow;
  }
  if (aLease.call_) {
    return;
  }
  const bool isCandidate = IsCandidate(aLease);
  if (aLease.held_ && !isCandidate && !aLease.pending_) {
    if (aNow >= aLease.nextCycleAt_ || !aLease.grantsStoppedAt_) {
      ReleaseLease(aLease, aNow, aEffects);
    }
    return;
  }
  // After a release was sent, granting resumes only when a later write has taken effect. Until then
  // the release may still take effect.
  if (isCandidate && !aLease.releaseSent_) {
    aLease.grantsStoppedAt_.reset();
  }
  if ((!isCandidate && !aLease.pending_) || aNow < aLease.nextCycleAt_) {
    return;
  }
  aLease.nextCycleAt_ =
    aNow + (aLease.held_ ? aLease.settings_.renewInterval_ : aLease.settings_.acquireInterval_);
  StartCall(aLease,
            ShareCallKind::kReadLeaseRows,
            ReadRangeCall{ std::string(kLeaseRowPrefix), {}, kMaxLeaseRows },
            aEffects);
}

void HandleShareAnswer(ShareLease& aLease,
                       ShareLedger& aLedger,
                       const PlatformAnswer& aAnswer,
                       TimePoint aNow,
                       ShareLeaseEffects& aEffects)
{
  if (!aLease.call_) {
    return;
  }
  const auto kind = *aLease.call_;
  aLease.call_.reset();
  switch (kind) {
    case ShareCallKind::kReadLeaseRows:
      HandleLeaseRows(aLease, aLedger, aAnswer, aNow, aEffects);
      break;
    case ShareCallKind::kReadPoolRow:
      HandlePoolRow(aLease, aLedger, aAnswer, aNow, aEffects);
      break;
    case ShareCallKind::kWrite:
      HandleWriteAnswer(aLease, aLedger, aAnswer, aNow, aEffects);
      break;
  }
}

ShareLimit UsableLimit(const ShareLease& aLease, const ClientAccountId& aAccount, TimePoint aNow)
{
  const auto entry = aLease.poolEntries_.find(aAccount);
  if (entry == aLease.poolEntries_.end() || aLease.config_ == nullptr || aLease.grantsStoppedAt_) {
    return {};
  }
  const auto account = aLease.config_->clientAccounts_.find(aAccount);
  if (account == aLease.config_->clientAccounts_.end()) {
    return {};
  }
  auto own = OwnPortion(aLease, entry->second);
  own.elastic_ -= std::min(own.elastic_, UnitsToGive(aLease, aAccount));
  if (!HoldsElastic(aLease, aNow)) {
    own.elastic_ = 0;
  }
  if (!HoldsFloors(aLease, aNow)) {
    own.floor_ = 0;
  }
  return PortionLimit(account->second, entry->second, own);
}

Duration RemainingLease(const ShareLease& aLease, TimePoint aNow)
{
  if (HoldsElastic(aLease, aNow)) {
    return ElasticLeaseEnd(aLease) - aNow;
  }
  return HoldsFloors(aLease, aNow) ? FloorLeaseEnd(aLease) - aNow : Duration{};
}

ShareGrant HandleShareRequest(ShareLease& aLease,
                              ShareLedger& aLedger,
                              const HostId& aHost,
                              const ShareRequest& aRequest,
                              TimePoint aNow)
{
  if (aLease.poolEntries_.find(aRequest.clientAccount_) != aLease.poolEntries_.end()) {
    SetShareLimit(
      aLedger, aRequest.clientAccount_, UsableLimit(aLease, aRequest.clientAccount_, aNow), aNow);
  }
  return GrantTokens(aLedger, aHost, aRequest, RemainingLease(aLease, aNow), aNow);
}

} // namespace peridotquay
