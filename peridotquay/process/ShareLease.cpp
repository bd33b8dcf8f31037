// Acquisition, renewal, fencing and moves of rate shares.
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

constexpr std::string_view kSharePrefix = "share/";

// Most lease rows of one read; far above the number of data centres.
constexpr std::uint32_t kShareRows = 256;

// A short account asks for double of what it holds and this much more.
constexpr std::uint32_t kLeastNeed = kShareUnits / 20;

// Units kept beyond the measured use, so that small variations cause no moves.
constexpr double kUseMargin = 1.25;

std::string OperationId(ShareLease& aLease)
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

bool IsCandidate(const ShareLease& aLease)
{
  return aLease.config_ != nullptr && aLease.ranking_ != nullptr &&
         aLease.ranking_->shareLeader_.host_ == aLease.self_;
}

TimePoint ElasticEnd(const ShareLease& aLease)
{
  return aLease.elasticSent_ + milliseconds(aLease.row_.elasticMs_);
}

TimePoint FloorEnd(const ShareLease& aLease)
{
  return aLease.floorSent_ + milliseconds(aLease.row_.floorMs_);
}

bool HoldsElastic(const ShareLease& aLease, TimePoint aNow)
{
  return aLease.held_ && aNow < ElasticEnd(aLease);
}

bool HoldsFloors(const ShareLease& aLease, TimePoint aNow)
{
  return aLease.held_ && aLease.floorEpoch_ == aLease.row_.epoch_ && aNow < FloorEnd(aLease);
}

std::uint64_t Milliseconds(Duration aDuration)
{
  return static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(aDuration).count());
}

SharePortion OwnPortion(const ShareLease& aLease, const PoolEntry& aEntry)
{
  const auto found = aEntry.shares_.find(aLease.dataCentre_);
  return found == aEntry.shares_.end() ? SharePortion{} : found->second;
}

std::uint32_t Giving(const ShareLease& aLease, const ClientAccountId& aAccount)
{
  const auto found = aLease.giving_.find(aAccount);
  return found == aLease.giving_.end() ? 0 : found->second;
}

void ApplyLimits(ShareLease& aLease, ShareLedger& aLedger, TimePoint aNow)
{
  for (const auto& [account, entry] : aLease.entries_) {
    SetShareLimit(aLedger, account, UsableLimit(aLease, account, aNow), aNow);
  }
}

void Lose(ShareLease& aLease, ShareLedger& aLedger, ShareLeaseEffects& aEffects)
{
  aLease.held_ = false;
  aLease.stopped_.reset();
  aLease.releaseSent_ = false;
  aLease.pending_.reset();
  aLease.entries_.clear();
  aLease.giving_.clear();
  aLease.needs_.clear();
  ClearLedger(aLedger);
  aEffects.lost_ = true;
}

// Applies a write of the own row that is known to have taken effect.
void Commit(ShareLease& aLease,
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
    Lose(aLease, aLedger, aEffects);
    return;
  }
  aLease.row_ = pending.row_;
  aLease.elasticSent_ = pending.sent_;
  if (pending.row_.floorEpoch_ == pending.row_.epoch_) {
    aLease.floorEpoch_ = pending.row_.epoch_;
    aLease.floorSent_ = pending.sent_;
  }
  // Only a later write that took effect shows that an earlier release never will.
  aLease.stopped_.reset();
  aLease.releaseSent_ = false;
  if (pending.acquires_) {
    aLease.held_ = true;
    aLease.nextCycle_ = aNow;
    aEffects.taken_ = true;
  }
  for (const auto& [account, entry] : pending.entries_) {
    aLease.entries_[account] = entry;
    aLease.giving_.erase(account);
  }
  aLease.moves_ += pending.entries_.empty() ? 0 : 1;
  ApplyLimits(aLease, aLedger, aNow);
}

// Compares the own row with what this node wrote. Only this process writes rows with its epoch,
// host and incarnation, so such a row shows which write took effect last, even if its answer was
// lost.
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
  const bool mine =
    row.incarnation_ == aLease.incarnation_ && pending && row.epoch_ == pending->row_.epoch_ &&
    row.sequence_ == pending->row_.sequence_ && row.holder_ == pending->row_.holder_;
  if (mine) {
    Commit(aLease, aLedger, found->second.revision_, aNow, aEffects);
    return;
  }
  if (!aLease.held_) {
    return;
  }
  if (row.epoch_ != aLease.row_.epoch_ || row.holder_ != aLease.self_ ||
      row.incarnation_ != aLease.incarnation_) {
    Lose(aLease, aLedger, aEffects);
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

// Writes the own row, with conditions on it and on every other row that the write relies on.
void StartWrite(ShareLease& aLease,
                PendingShareWrite aPending,
                PlatformTransaction aTransaction,
                TimePoint aNow,
                ShareLeaseEffects& aEffects)
{
  auto& row = aPending.row_;
  row.incarnation_ = aLease.incarnation_;
  row.sequence_ = ++aLease.sequence_;
  row.elasticMs_ = Milliseconds(aLease.config_->policy_.elasticLease_);
  row.floorMs_ = Milliseconds(aLease.config_->policy_.floorLease_);
  aPending.sent_ = aNow;
  const auto key = ShareRowKey(aLease.dataCentre_);
  aTransaction.operationId_ = OperationId(aLease);
  aTransaction.conditions_.insert(aTransaction.conditions_.begin(), { key, aLease.revision_ });
  aTransaction.writes_.push_back({ key, EncodeShareRow(row) });
  aLease.pending_ = std::move(aPending);
  StartCall(aLease, ShareCallKind::kWrite, TransactCall{ std::move(aTransaction) }, aEffects);
}

// Takes the lease if it is free or its elastic part has surely ended. Counts from after the read
// that first showed the present revision.
void TryAcquire(ShareLease& aLease, TimePoint aNow, ShareLeaseEffects& aEffects)
{
  const auto found = aLease.observed_.find(aLease.dataCentre_);
  PendingShareWrite pending;
  pending.acquires_ = true;
  pending.row_.holder_ = aLease.self_;
  pending.row_.epoch_ = 1;
  pending.row_.floorEpoch_ = 1;
  aLease.revision_ = 0;
  aLease.floorFrom_ = aNow;
  if (found != aLease.observed_.end()) {
    const auto& seen = found->second;
    const auto elastic =
      std::max(milliseconds(seen.row_.elasticMs_),
               std::chrono::duration_cast<milliseconds>(aLease.config_->policy_.elasticLease_));
    // An own acquisition whose answer was lost, and that was repeated before it showed: nothing was
    // granted under it.
    const bool unused =
      seen.row_.holder_ == aLease.self_ && seen.row_.incarnation_ == aLease.incarnation_;
    if (!seen.row_.holder_.value_.empty() && !unused && aNow - seen.seen_ < elastic) {
      return;
    }
    aLease.revision_ = seen.revision_;
    pending.row_.epoch_ = seen.row_.epoch_ + 1;
    const bool floorsFree =
      seen.row_.floorEpoch_ == 0 || (unused && seen.row_.floorEpoch_ == seen.row_.epoch_);
    // This process holds the floors from before a reclaim. Its ledger was cleared since, so grants
    // that it made may still be used for their lifetime.
    const bool regained = seen.row_.floorEpoch_ != 0 && seen.row_.floorEpoch_ == aLease.floorEpoch_;
    pending.row_.floorEpoch_ = floorsFree ? pending.row_.epoch_ : seen.row_.floorEpoch_;
    const auto floor =
      std::max(milliseconds(seen.row_.floorMs_),
               std::chrono::duration_cast<milliseconds>(aLease.config_->policy_.floorLease_));
    aLease.floorFrom_ = floorsFree ? aNow : seen.floorSeen_ + floor;
    if (regained) {
      aLease.floorFrom_ = aNow + kMaxGrantLifetime;
    }
  }
  StartWrite(aLease, std::move(pending), {}, aNow, aEffects);
}

void Observe(ShareLease& aLease, const PlatformAnswer& aAnswer)
{
  std::set<DataCentreId> present;
  for (const auto& stored : aAnswer.rows_) {
    if (stored.key_.rfind(kSharePrefix, 0) != 0) {
      continue;
    }
    const auto row = DecodeShareRow(stored.value_);
    if (row.has_error()) {
      continue;
    }
    const DataCentreId id{ stored.key_.substr(kSharePrefix.size()) };
    present.insert(id);
    const bool known = aLease.observed_.count(id) != 0;
    auto& seen = aLease.observed_[id];
    if (known && seen.revision_ == stored.revision_) {
      continue;
    }
    const auto& read = row.assume_value();
    // A reclaim changes the row without renewing the floors.
    const bool renewsFloors =
      !known || read.floorEpoch_ != seen.row_.floorEpoch_ || read.floorEpoch_ == read.epoch_;
    if (renewsFloors) {
      seen.floorSeen_ = aAnswer.finishedAt_;
    }
    seen.revision_ = stored.revision_;
    seen.row_ = read;
    seen.seen_ = aAnswer.finishedAt_;
  }
  std::erase_if(aLease.observed_,
                [&](const auto& aSeen) { return present.count(aSeen.first) == 0; });
}

bool IsShort(const ShareLease& aLease, const AccountLedger& aAccount, TimePoint aNow)
{
  return aAccount.everShort_ && aNow - aAccount.short_ < aLease.settings_.shortFor_;
}

std::uint32_t UnitsOfUse(const AccountLedger& aAccount, double aRate)
{
  const double units = std::ceil(aAccount.usePerSecond_ * kUseMargin / aRate * kShareUnits);
  return static_cast<std::uint32_t>(std::clamp(units, 0.0, double{ kShareUnits }));
}

// What other data centres want of an account, and how many of them want it.
std::pair<std::uint32_t, std::uint32_t> NeedsOfOthers(const ShareLease& aLease,
                                                      const ClientAccountId& aAccount,
                                                      TimePoint aNow)
{
  std::uint32_t units = 0;
  std::uint32_t centres = 0;
  for (const auto& [id, seen] : aLease.observed_) {
    const bool live = aNow - seen.seen_ < milliseconds(seen.row_.elasticMs_);
    const auto need = seen.row_.needs_.find(aAccount);
    if (id != aLease.dataCentre_ && live && need != seen.row_.needs_.end()) {
      units += need->second;
      ++centres;
    }
  }
  return { units, centres };
}

// Decides what this data centre needs, and takes out of use what it can spare for others.
void Plan(ShareLease& aLease, ShareLedger& aLedger, TimePoint aNow)
{
  aLease.needs_.clear();
  for (const auto& [id, account] : aLease.config_->clientAccounts_) {
    const auto entry = aLease.entries_.find(id);
    const auto ledger = aLedger.accounts_.find(id);
    if (entry == aLease.entries_.end() || ledger == aLedger.accounts_.end()) {
      continue;
    }
    const auto own = OwnPortion(aLease, entry->second);
    const auto held = own.floor_ + own.elastic_;
    const auto used = UnitsOfUse(ledger->second, account.ratePerSecond_);
    const bool isShort = IsShort(aLease, ledger->second, aNow);
    // Units beyond the site's part would lie idle here.
    const auto most =
      static_cast<std::uint32_t>(std::ceil(account.siteRateFraction_ * kShareUnits));
    if (isShort && aLease.needs_.size() < aLease.settings_.needs_) {
      const auto want = std::min(most, std::max(used, 2 * held) + kLeastNeed);
      if (want > held) {
        aLease.needs_[id] = want - held;
      }
    }
    const auto [needed, centres] = NeedsOfOthers(aLease, id, aNow);
    if (needed == 0 || own.elastic_ == 0) {
      continue;
    }
    const auto elasticTotal = kShareUnits - entry->second.sites_ * entry->second.floorUnits_;
    std::uint32_t keep = used > own.floor_ ? used - own.floor_ : 0;
    if (isShort) {
      keep = elasticTotal / (centres + 1);
    } else if (ledger->second.everShort_ &&
               aNow - ledger->second.short_ < aLease.settings_.idleAfter_) {
      keep = std::max(keep, elasticTotal / (centres + 1));
    }
    keep = std::min(keep, most > own.floor_ ? most - own.floor_ : 0);
    const auto spare = own.elastic_ > keep ? own.elastic_ - keep : 0;
    const auto give = std::min(spare, needed);
    if (give > Giving(aLease, id)) {
      aLease.giving_[id] = give;
    }
  }
  ApplyLimits(aLease, aLedger, aNow);
}

std::set<DataCentreId> Sites(const ShareLease& aLease)
{
  std::set<DataCentreId> sites;
  for (const auto& [id, site] : aLease.config_->sites_) {
    sites.insert(id);
  }
  if (sites.empty()) {
    for (const auto& [id, delegates] : aLease.ranking_->delegates_) {
      sites.insert(id);
    }
    sites.insert(aLease.dataCentre_);
  }
  return sites;
}

PoolEntry FirstEntry(const ShareLease& aLease)
{
  const auto sites = Sites(aLease);
  const auto count = static_cast<std::uint32_t>(sites.size());
  PoolEntry entry;
  entry.sites_ = count;
  entry.floorUnits_ = static_cast<std::uint32_t>(
    std::floor(aLease.config_->policy_.floorFraction_ * kShareUnits / count));
  const auto elastic = (kShareUnits - count * entry.floorUnits_) / count;
  entry.free_ = kShareUnits - count * (entry.floorUnits_ + elastic);
  for (const auto& id : sites) {
    entry.shares_[id] = { entry.floorUnits_, elastic };
  }
  return entry;
}

bool NeedsPool(const ShareLease& aLease)
{
  if (!aLease.needs_.empty() || !aLease.giving_.empty()) {
    return true;
  }
  return std::any_of(aLease.config_->clientAccounts_.begin(),
                     aLease.config_->clientAccounts_.end(),
                     [&](const auto& aAccount) {
                       return aLease.entries_.find(aAccount.first) == aLease.entries_.end();
                     });
}

// Data centres whose elastic lease has surely ended and whose units are wanted here. The reclaim
// fences the holder: its row gets the next epoch and no holder.
std::vector<DataCentreId> Lapsed(const ShareLease& aLease, TimePoint aNow)
{
  std::vector<DataCentreId> lapsed;
  for (const auto& [id, seen] : aLease.observed_) {
    const auto elastic =
      std::max(milliseconds(seen.row_.elasticMs_),
               std::chrono::duration_cast<milliseconds>(aLease.config_->policy_.elasticLease_));
    if (id != aLease.dataCentre_ && aNow - seen.seen_ >= elastic) {
      lapsed.push_back(id);
    }
  }
  return lapsed;
}

// Moves the elastic units of lapsed data centres to the free ones, for accounts that need some.
bool Reclaim(const ShareLease& aLease, const DataCentreId& aLapsed, SharePool& aPool)
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

// The fence ends the lapsed holder's claim on all its elastic units, so all become free.
void FreeAll(const DataCentreId& aLapsed, SharePool& aPool)
{
  for (auto& [account, entry] : aPool) {
    const auto share = entry.shares_.find(aLapsed);
    if (share != entry.shares_.end()) {
      entry.free_ += share->second.elastic_;
      share->second.elastic_ = 0;
    }
  }
}

PendingShareWrite Renewal(const ShareLease& aLease, TimePoint aNow)
{
  PendingShareWrite pending;
  pending.row_ = aLease.row_;
  pending.row_.needs_ = aLease.needs_;
  if (pending.row_.floorEpoch_ != pending.row_.epoch_ && aNow >= aLease.floorFrom_) {
    pending.row_.floorEpoch_ = pending.row_.epoch_;
  }
  return pending;
}

// Takes over what the pool row says. It differs from what is known here if a write took effect
// whose answer was lost; units given by such a write must not be given again.
void AdoptPool(ShareLease& aLease, ShareLedger& aLedger, const SharePool& aPool, TimePoint aNow)
{
  for (const auto& [account, entry] : aPool) {
    const auto known = aLease.entries_.find(account);
    if (known != aLease.entries_.end() &&
        OwnPortion(aLease, known->second) != OwnPortion(aLease, entry)) {
      aLease.giving_.erase(account);
    }
    aLease.entries_[account] = entry;
  }
  ApplyLimits(aLease, aLedger, aNow);
}

// Gives what no longer carries tokens and takes what is free, in one transaction with the renewal.
void WriteMoves(ShareLease& aLease,
                ShareLedger& aLedger,
                SharePool aPool,
                std::uint64_t aPoolRevision,
                TimePoint aNow,
                ShareLeaseEffects& aEffects)
{
  auto pending = Renewal(aLease, aNow);
  PlatformTransaction transaction;
  AdoptPool(aLease, aLedger, aPool, aNow);
  const SharePool before = aPool;
  for (const auto& [id, account] : aLease.config_->clientAccounts_) {
    if (aPool.find(id) == aPool.end()) {
      aPool[id] = FirstEntry(aLease);
    }
  }
  for (const auto& id : Lapsed(aLease, aNow)) {
    if (Reclaim(aLease, id, aPool)) {
      FreeAll(id, aPool);
      const auto& seen = aLease.observed_.at(id);
      auto fenced = seen.row_;
      ++fenced.epoch_;
      fenced.holder_ = {};
      fenced.needs_.clear();
      transaction.conditions_.push_back({ ShareRowKey(id), seen.revision_ });
      transaction.writes_.push_back({ ShareRowKey(id), EncodeShareRow(fenced) });
    }
  }
  for (auto& [account, entry] : aPool) {
    const auto giving = Giving(aLease, account);
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
    const auto known = before.find(account);
    if (known == before.end() || known->second != entry) {
      pending.entries_[account] = entry;
    }
  }
  if (aPool != before) {
    transaction.conditions_.push_back({ std::string(kPoolRowKey), aPoolRevision });
    transaction.writes_.push_back({ std::string(kPoolRowKey), EncodeSharePool(aPool) });
  }
  StartWrite(aLease, std::move(pending), std::move(transaction), aNow, aEffects);
}

void Release(ShareLease& aLease, TimePoint aNow, ShareLeaseEffects& aEffects)
{
  if (!aLease.stopped_) {
    aLease.stopped_ = aNow;
  }
  // Every grant has expired before another holder can grant.
  if (aNow - *aLease.stopped_ < kMaxGrantLifetime) {
    return;
  }
  aLease.nextCycle_ = aNow + aLease.settings_.renewInterval_;
  PendingShareWrite pending;
  pending.row_ = aLease.row_;
  pending.row_.holder_ = {};
  pending.row_.needs_.clear();
  const bool ownFloors = aLease.floorEpoch_ == aLease.row_.epoch_;
  pending.row_.floorEpoch_ = ownFloors ? 0 : aLease.row_.floorEpoch_;
  pending.releases_ = true;
  aLease.releaseSent_ = true;
  StartWrite(aLease, std::move(pending), {}, aNow, aEffects);
}

void HandleRows(ShareLease& aLease,
                ShareLedger& aLedger,
                const PlatformAnswer& aAnswer,
                TimePoint aNow,
                ShareLeaseEffects& aEffects)
{
  if (aAnswer.error_) {
    return;
  }
  Observe(aLease, aAnswer);
  ResolveOwnRow(aLease, aLedger, aNow, aEffects);
  if (!IsCandidate(aLease)) {
    if (aLease.held_) {
      Release(aLease, aNow, aEffects);
    }
    return;
  }
  if (!aLease.held_) {
    TryAcquire(aLease, aNow, aEffects);
    return;
  }
  Plan(aLease, aLedger, aNow);
  if (NeedsPool(aLease)) {
    StartCall(aLease, ShareCallKind::kReadPool, ReadRowCall{ std::string(kPoolRowKey) }, aEffects);
  } else {
    StartWrite(aLease, Renewal(aLease, aNow), {}, aNow, aEffects);
  }
}

void HandlePool(ShareLease& aLease,
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
      // The lease is renewed even if the pool can't be read.
      StartWrite(aLease, Renewal(aLease, aNow), {}, aNow, aEffects);
      return;
    }
    pool = std::move(decoded.assume_value());
  }
  if (aAnswer.error_) {
    StartWrite(aLease, Renewal(aLease, aNow), {}, aNow, aEffects);
  } else {
    WriteMoves(aLease, aLedger, std::move(pool), revision, aNow, aEffects);
  }
}

void HandleWritten(ShareLease& aLease,
                   ShareLedger& aLedger,
                   const PlatformAnswer& aAnswer,
                   TimePoint aNow,
                   ShareLeaseEffects& aEffects)
{
  if (!aAnswer.error_) {
    if (aLease.pending_) {
      Commit(aLease, aLedger, aAnswer.revision_, aNow, aEffects);
    }
    return;
  }
  // After a lost answer, or a conflict that a write with a lost answer may have caused, the next
  // read shows what took effect. A write that surely did nothing is forgotten.
  if (aAnswer.error_->code_ == ErrorCode::kPlatformUnavailable) {
    aLease.pending_.reset();
  }
  aLease.nextCycle_ = aNow + aLease.settings_.acquireInterval_;
}

} // namespace

std::string ShareRowKey(const DataCentreId& aDataCentre)
{
  return std::string(kSharePrefix) + aDataCentre.value_;
}

std::string EncodeShareRow(const ShareRow& aRow)
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
    { "elastic_ms", aRow.elasticMs_ },
    { "floor_ms", aRow.floorMs_ },
    { "needs", std::move(needs) }
  }.dump();
}

Result<ShareRow> DecodeShareRow(std::string_view aText)
{
  try {
    const auto json = Json::parse(aText);
    ShareRow row;
    json.at("epoch").get_to(row.epoch_);
    json.at("holder").get_to(row.holder_.value_);
    json.at("incarnation").get_to(row.incarnation_);
    json.at("sequence").get_to(row.sequence_);
    json.at("floor_epoch").get_to(row.floorEpoch_);
    json.at("elastic_ms").get_to(row.elasticMs_);
    json.at("floor_ms").get_to(row.floorMs_);
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
    accounts[account.value_] = Json{ { "sites", entry.sites_ },
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
      value.at("sites").get_to(entry.sites_);
      value.at("floor").get_to(entry.floorUnits_);
      value.at("free").get_to(entry.free_);
      std::uint64_t sum = entry.free_;
      for (const auto& [id, share] : value.at("shares").items()) {
        const SharePortion portion{ share.at(0).get<std::uint32_t>(),
                                    share.at(1).get<std::uint32_t>() };
        sum += std::uint64_t{ portion.floor_ } + portion.elastic_;
        entry.shares_[DataCentreId{ id }] = portion;
      }
      if (sum != kShareUnits || entry.sites_ == 0 ||
          std::uint64_t{ entry.sites_ } * entry.floorUnits_ > kShareUnits) {
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
  const double sites = aEntry.sites_;
  const double floorPart = aAccount.burst_ * aEntry.floorUnits_ / kShareUnits;
  const bool wholeToken = aAccount.burst_ >= sites && aEntry.floorUnits_ > 0;
  const double floorBurst = wholeToken ? std::max(floorPart, 1.0) : floorPart;
  const double elasticTotal = kShareUnits - sites * aEntry.floorUnits_;
  const double elasticBurst = aAccount.burst_ - sites * floorBurst;
  if (aPortion.floor_ > 0) {
    limit.burst_ += floorBurst;
  }
  if (elasticTotal > 0) {
    limit.burst_ += elasticBurst * aPortion.elastic_ / elasticTotal;
  }
  // The overlay of the site may hold the data centre below what its units stand for.
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
  lease.nextCycle_ = aNow;
  lease.periodStart_ = aNow;
  return lease;
}

void StepShareLease(ShareLease& aLease,
                    ShareLedger& aLedger,
                    TimePoint aNow,
                    ShareLeaseEffects& aEffects)
{
  if (aNow - aLease.periodStart_ >= aLease.settings_.renewInterval_) {
    EndUsePeriod(aLedger, aNow - aLease.periodStart_, aNow);
    aLease.periodStart_ = aNow;
  }
  if (aLease.call_) {
    return;
  }
  const bool candidate = IsCandidate(aLease);
  if (aLease.held_ && !candidate && !aLease.pending_) {
    if (aNow >= aLease.nextCycle_ || !aLease.stopped_) {
      Release(aLease, aNow, aEffects);
    }
    return;
  }
  // A release that may still take effect keeps granting stopped until a renewal has taken effect.
  if (candidate && !aLease.releaseSent_) {
    aLease.stopped_.reset();
  }
  if ((!candidate && !aLease.pending_) || aNow < aLease.nextCycle_) {
    return;
  }
  aLease.nextCycle_ =
    aNow + (aLease.held_ ? aLease.settings_.renewInterval_ : aLease.settings_.acquireInterval_);
  StartCall(aLease,
            ShareCallKind::kReadRows,
            ReadRangeCall{ std::string(kSharePrefix), {}, kShareRows },
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
    case ShareCallKind::kReadRows:
      HandleRows(aLease, aLedger, aAnswer, aNow, aEffects);
      break;
    case ShareCallKind::kReadPool:
      HandlePool(aLease, aLedger, aAnswer, aNow, aEffects);
      break;
    case ShareCallKind::kWrite:
      HandleWritten(aLease, aLedger, aAnswer, aNow, aEffects);
      break;
  }
}

ShareLimit UsableLimit(const ShareLease& aLease, const ClientAccountId& aAccount, TimePoint aNow)
{
  const auto entry = aLease.entries_.find(aAccount);
  if (entry == aLease.entries_.end() || aLease.config_ == nullptr || aLease.stopped_) {
    return {};
  }
  const auto account = aLease.config_->clientAccounts_.find(aAccount);
  if (account == aLease.config_->clientAccounts_.end()) {
    return {};
  }
  auto own = OwnPortion(aLease, entry->second);
  own.elastic_ -= std::min(own.elastic_, Giving(aLease, aAccount));
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
    return ElasticEnd(aLease) - aNow;
  }
  return HoldsFloors(aLease, aNow) ? FloorEnd(aLease) - aNow : Duration{};
}

ShareGrant HandleShareRequest(ShareLease& aLease,
                              ShareLedger& aLedger,
                              const HostId& aHost,
                              const ShareRequest& aRequest,
                              TimePoint aNow)
{
  if (aLease.entries_.find(aRequest.clientAccount_) != aLease.entries_.end()) {
    SetShareLimit(
      aLedger, aRequest.clientAccount_, UsableLimit(aLease, aRequest.clientAccount_, aNow), aNow);
  }
  return GrantTokens(aLedger, aHost, aRequest, RemainingLease(aLease, aNow), aNow);
}

} // namespace peridotquay
