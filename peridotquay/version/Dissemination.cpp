// Push tree, sync, freshness by confirmations and outage evidence, watermark and contact rows.
#include "peridotquay/version/Dissemination.h"

#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/MembershipRank.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cassert>

namespace peridotquay {

namespace {

// Maximum number of rows in one read of changes or contacts. The largest changes make 4 MiB.
constexpr std::uint32_t kMaxRowsPerRead = 64;

// Maximum number of addresses in a contact row. Enough that some are alive after a rack failed.
constexpr std::size_t kMaxContactAddresses = 4;

// A node that knows no other member waits this long before it replaces its contact row, so that it
// first tries the addresses in the row.
constexpr Duration kContactReplacementDelay = seconds(3);

constexpr std::string_view kContactPrefix = "contacts/";

using Json = nlohmann::json;
using EventKind = DisseminationEvent::Kind;

std::size_t ChangeBytes(const ConfigChange& aChange)
{
  constexpr std::size_t kFixedBytes = 32;
  std::size_t bytes = kFixedBytes + aChange.operatorName_.size() + aChange.operationId_.size() +
                      aChange.summary_.size();
  for (const auto& edit : aChange.edits_) {
    bytes += 8 + edit.name_.size() + (edit.json_ ? edit.json_->size() : 0);
  }
  return bytes;
}

std::size_t OwnPosition(const Dissemination& aState)
{
  const auto& members = aState.ranking_->members_;
  const auto found = std::find_if(members.begin(), members.end(), [&](const auto& aMember) {
    return aMember.host_ == aState.ranking_->self_;
  });
  return static_cast<std::size_t>(found - members.begin());
}

bool IsRoot(const Dissemination& aState)
{
  return aState.ranking_ != nullptr && OwnPosition(aState) == 0;
}

void PublishFreshness(Dissemination& aState,
                      std::optional<TimePoint> aBefore,
                      DisseminationEffects& aEffects)
{
  const auto after = FreshAsOf(aState);
  assert(!aBefore || (after && *after >= *aBefore));
  if (after != aBefore) {
    aEffects.freshAsOf_ = after;
  }
}

// Applies a confirmation. If its version isn't in force here yet, it is kept until that version is.
void ApplyConfirmation(Dissemination& aState,
                       FreshnessConfirmation aConfirmation,
                       DisseminationEffects& aEffects)
{
  aState.latestVersion_ = std::max(aState.latestVersion_, aConfirmation.version_);
  if (aState.versionInForce_ < aConfirmation.version_) {
    if (!aState.pendingConfirmation_ || aState.pendingConfirmation_->time_ < aConfirmation.time_) {
      aState.pendingConfirmation_ = aConfirmation;
    }
    return;
  }
  const auto before = FreshAsOf(aState);
  if (!aState.confirmedFreshAsOf_ || *aState.confirmedFreshAsOf_ < aConfirmation.time_) {
    aState.confirmedFreshAsOf_ = aConfirmation.time_;
  }
  PublishFreshness(aState, before, aEffects);
}

void ApplyPendingConfirmation(Dissemination& aState, DisseminationEffects& aEffects)
{
  if (aState.pendingConfirmation_ &&
      aState.pendingConfirmation_->version_ <= aState.versionInForce_) {
    const auto confirmation = *aState.pendingConfirmation_;
    aState.pendingConfirmation_.reset();
    ApplyConfirmation(aState, confirmation, aEffects);
  }
}

void RecordRecentChange(Dissemination& aState, const ConfigChange& aChange)
{
  aState.recentChanges_.push_back(aChange);
  aState.recentBytes_ += ChangeBytes(aChange);
  while (
    aState.recentChanges_.size() > aState.settings_.maxRecentVersions_ ||
    (aState.recentChanges_.size() > 1 && aState.recentBytes_ > aState.settings_.maxRecentBytes_)) {
    aState.recentBytes_ -= ChangeBytes(aState.recentChanges_.front());
    aState.recentChanges_.pop_front();
  }
}

// Compiles the applied version and puts it in force. If it can't be compiled, the version in force
// stays until a later one compiles.
void PutInForce(Dissemination& aState, DisseminationEffects& aEffects)
{
  const auto version = aState.version_;
  auto compiled = CompileConfig(aState.configCache_, aState.entities_, aState.dataCentre_, version);
  if (compiled.has_error()) {
    aEffects.events_.push_back({ EventKind::kVersionRejected, Describe(compiled.assume_error()) });
    return;
  }
  const auto& config = compiled.assume_value();
  assert(version > aState.versionInForce_);
  aState.versionInForce_ = version;
  aState.freshnessBound_ = config->policy_.keyFreshnessBound_;
  aState.sites_.clear();
  for (const auto& [id, site] : config->sites_) {
    aState.sites_.insert(id);
  }
  aEffects.config_ = config;
  aEffects.events_.push_back({ EventKind::kVersionInForce, std::to_string(version) });
  ApplyPendingConfirmation(aState, aEffects);
}

// Applies the changes that follow version_ without a gap. Returns false at the first gap.
bool ApplyChanges(Dissemination& aState,
                  const std::vector<ConfigChange>& aChanges,
                  DisseminationEffects& aEffects)
{
  const auto before = aState.version_;
  bool contiguous = true;
  for (const auto& change : aChanges) {
    aState.latestVersion_ = std::max(aState.latestVersion_, change.version_);
    if (change.version_ <= aState.version_) {
      continue;
    }
    if (change.version_ != aState.version_ + 1) {
      contiguous = false;
      break;
    }
    const auto applied = ApplyChange(aState.entities_, change);
    if (applied.has_error()) {
      // An invalid change counts as a version without edits, as at every other node.
      aEffects.events_.push_back({ EventKind::kVersionRejected, Describe(applied.assume_error()) });
    } else {
      MarkEntitiesChanged(aState.configCache_, change.edits_);
    }
    aState.version_ = change.version_;
    RecordRecentChange(aState, change);
    if (IsRoot(aState) && aState.version_ % kSnapshotInterval == 0 &&
        (aState.sites_.empty() || *aState.sites_.begin() == aState.dataCentre_)) {
      aState.snapshotDue_ = aState.version_;
      aState.snapshotBody_ = EncodeSnapshot({ aState.version_, aState.entities_ });
    }
  }
  if (aState.version_ > before) {
    PutInForce(aState, aEffects);
  }
  return contiguous;
}

void ApplySnapshot(Dissemination& aState,
                   Version aVersion,
                   Entities aEntities,
                   DisseminationEffects& aEffects)
{
  aState.latestVersion_ = std::max(aState.latestVersion_, aVersion);
  if (aVersion <= aState.version_) {
    return;
  }
  aState.entities_ = std::move(aEntities);
  ResetConfigCache(aState.configCache_);
  aState.version_ = aVersion;
  aState.recentChanges_.clear();
  aState.recentBytes_ = 0;
  PutInForce(aState, aEffects);
}

void ApplySnapshotChange(Dissemination& aState,
                         const ConfigChange& aChange,
                         DisseminationEffects& aEffects)
{
  Entities entities;
  for (const auto& edit : aChange.edits_) {
    if (edit.json_) {
      entities[edit.name_] = *edit.json_;
    }
  }
  ApplySnapshot(aState, aChange.version_, std::move(entities), aEffects);
}

// Sends changes to the children of this node in the push tree of the last version among them.
void PushToChildren(Dissemination& aState,
                    const std::vector<ConfigChange>& aChanges,
                    DisseminationEffects& aEffects)
{
  if (aChanges.empty() || aState.ranking_ == nullptr ||
      aChanges.back().version_ <= aState.pushedVersion_) {
    return;
  }
  aState.pushedVersion_ = aChanges.back().version_;
  const auto order =
    PushOrder(*aState.ranking_, aState.pushedVersion_, aState.settings_.treeArity_);
  const auto self = std::find_if(order.begin(), order.end(), [&](const auto& aMember) {
    return aMember.host_ == aState.ranking_->self_;
  });
  if (self == order.end()) {
    return;
  }
  const auto position = static_cast<std::size_t>(self - order.begin());
  for (const auto child : TreeChildren(position, order.size(), aState.settings_.treeArity_)) {
    aEffects.messages_.push_back(
      { order[child].address_, VersionPush{ order.front().host_, aChanges }, false });
  }
}

// The first recent changes after a version that fit into one message, at least one if there is any.
std::vector<ConfigChange> RecentChangesAfter(const Dissemination& aState, Version aVersion)
{
  std::vector<ConfigChange> changes;
  std::size_t bytes = 0;
  for (const auto& change : aState.recentChanges_) {
    if (change.version_ <= aVersion) {
      continue;
    }
    bytes += ChangeBytes(change);
    if (!changes.empty() && bytes > aState.settings_.maxReplyBytes_) {
      break;
    }
    changes.push_back(change);
  }
  return changes;
}

// Pushes the changes that weren't pushed yet, at the root. Another node that read them from the
// platform sends them to the root.
void StartPush(Dissemination& aState, bool aFromPlatform, DisseminationEffects& aEffects)
{
  if (aState.ranking_ == nullptr || aState.version_ <= aState.pushedVersion_ ||
      aState.recentChanges_.empty()) {
    return;
  }
  auto changes = RecentChangesAfter(aState, aState.pushedVersion_);
  if (changes.empty() || changes.back().version_ != aState.version_) {
    // Too much for one message: the last change alone leaves the children a gap, so they sync.
    changes = { aState.recentChanges_.back() };
  }
  if (IsRoot(aState)) {
    PushToChildren(aState, changes, aEffects);
  } else if (aFromPlatform) {
    const auto& root = aState.ranking_->members_.front();
    aEffects.messages_.push_back({ root.address_, VersionPush{ root.host_, changes }, false });
  }
}

// Rounds up, so that the time never seems more recent than it is.
std::uint64_t AgeMs(const std::optional<TimePoint>& aTime, TimePoint aNow)
{
  if (!aTime) {
    return kUnknownAgeMs;
  }
  return static_cast<std::uint64_t>(std::chrono::ceil<milliseconds>(aNow - *aTime).count());
}

// The whole configuration as one change; empty if it doesn't fit into a frame.
std::vector<ConfigChange> SnapshotChange(const Dissemination& aState)
{
  ConfigChange change;
  change.version_ = aState.version_;
  change.edits_.reserve(aState.entities_.size());
  for (const auto& [name, json] : aState.entities_) {
    change.edits_.push_back({ name, json });
  }
  if (ChangeBytes(change) > aState.settings_.maxSnapshotBytes_) {
    return {};
  }
  return { std::move(change) };
}

// The other delegate of the own data centre; null if there is none.
const RankedMember* OtherDelegate(const Dissemination& aState)
{
  const auto& members = aState.ranking_->members_;
  const auto position = OwnPosition(aState);
  if (members.size() < 2 || position > 1) {
    return nullptr;
  }
  return &members[1 - position];
}

// Evidence that this data centre doesn't reach the platform: the last polls of both delegates
// failed. A delegate that sent nothing may still reach the platform, so its own report is required.
std::optional<OutageEvidence> OwnOutage(const Dissemination& aState, TimePoint aNow)
{
  if (!IsDelegate(aState) || !aState.failedPollStartedAt_ || aState.pendingConfirmation_ ||
      aState.versionInForce_ == 0) {
    return std::nullopt;
  }
  OutageEvidence evidence{ aState.versionInForce_, *aState.failedPollStartedAt_ };
  if (OtherDelegate(aState) != nullptr) {
    const auto& other = aState.otherDelegateOutage_;
    if (!other || aNow - other->time_ >= aState.freshnessBound_ ||
        other->version_ > aState.versionInForce_) {
      return std::nullopt;
    }
    evidence.time_ = std::min(evidence.time_, other->time_);
  }
  return evidence;
}

void HandleSyncRequest(Dissemination& aState,
                       const Hello& aSender,
                       const Address& aFrom,
                       const SyncRequest& aRequest,
                       TimePoint aNow,
                       DisseminationEffects& aEffects)
{
  const bool fromOwnCentre = aSender.dataCentre_ == aState.dataCentre_;
  if (fromOwnCentre && aRequest.subtreeNodes_ > 0) {
    aState.subtreeReports_[aSender.host_] = {
      aRequest.minSubtreeVersion_, aRequest.subtreeNodes_, aRequest.lagging_, aNow
    };
  }
  SyncReply reply;
  reply.nonce_ = aRequest.nonce_;
  reply.version_ = aState.versionInForce_;
  // Extensions aren't reported to other data centres, because they would hide that this one doesn't
  // reach the platform.
  reply.ageMs_ = AgeMs(fromOwnCentre ? FreshAsOf(aState) : aState.confirmedFreshAsOf_, aNow);
  if (!fromOwnCentre) {
    if (const auto outage = OwnOutage(aState, aNow)) {
      reply.outageAgeMs_ = AgeMs(outage->time_, aNow);
    }
  } else if (aState.failedPollStartedAt_ && !aState.pendingConfirmation_) {
    reply.outageAgeMs_ = AgeMs(aState.failedPollStartedAt_, aNow);
  }
  if (aRequest.version_ < aState.version_) {
    const bool covered = !aState.recentChanges_.empty() &&
                         aState.recentChanges_.front().version_ <= aRequest.version_ + 1;
    if (covered) {
      reply.changes_ = RecentChangesAfter(aState, aRequest.version_);
    } else {
      reply.changes_ = SnapshotChange(aState);
      reply.snapshot_ = true;
    }
  }
  aEffects.messages_.push_back({ aFrom, std::move(reply), false });
}

// Data centres whose outage evidence an extension requires: all but this one.
std::set<DataCentreId> OtherCentres(const Dissemination& aState)
{
  auto centres = aState.sites_;
  if (aState.ranking_ != nullptr) {
    for (const auto& [id, delegates] : aState.ranking_->delegates_) {
      centres.insert(id);
    }
  }
  centres.erase(aState.dataCentre_);
  return centres;
}

// Extends freshness to the oldest outage evidence if this and every other data centre recently
// failed to reach the platform. Without another data centre there is no such evidence and no
// extension.
void ExtendFreshness(Dissemination& aState, TimePoint aNow, DisseminationEffects& aEffects)
{
  const auto others = OtherCentres(aState);
  const auto outage = OwnOutage(aState, aNow);
  if (others.empty() || !outage) {
    return;
  }
  TimePoint oldest = outage->time_;
  for (const auto& id : others) {
    const auto found = aState.centreOutages_.find(id);
    if (found == aState.centreOutages_.end() ||
        aNow - found->second.time_ >= aState.freshnessBound_ ||
        found->second.version_ > aState.versionInForce_) {
      return;
    }
    oldest = std::min(oldest, found->second.time_);
  }
  const auto before = FreshAsOf(aState);
  if (!aState.extendedUntil_ || *aState.extendedUntil_ < oldest) {
    aState.extendedUntil_ = oldest;
  }
  PublishFreshness(aState, before, aEffects);
}

// Converts an age in a reply to a time of the local clock. The age is counted back from when the
// request was sent, so that transit and pauses can only make the time earlier.
std::optional<TimePoint> TimeFromAge(TimePoint aSent, std::uint64_t aAgeMs)
{
  const auto since = std::chrono::duration_cast<milliseconds>(aSent.time_since_epoch());
  if (aAgeMs == kUnknownAgeMs || aAgeMs > static_cast<std::uint64_t>(since.count())) {
    return std::nullopt;
  }
  return aSent - milliseconds(aAgeMs);
}

void HandleSyncReply(Dissemination& aState,
                     const SyncReply& aReply,
                     TimePoint aNow,
                     DisseminationEffects& aEffects)
{
  const auto found = aState.sentSyncs_.find(aReply.nonce_);
  if (found == aState.sentSyncs_.end()) {
    return;
  }
  const auto sent = found->second;
  aState.sentSyncs_.erase(found);
  const bool fromOwnCentre = sent.dataCentre_ == aState.dataCentre_;
  if (fromOwnCentre) {
    aState.lastParentReplyAt_ = aNow;
  }
  if (aReply.snapshot_ && !aReply.changes_.empty()) {
    ApplySnapshotChange(aState, aReply.changes_.front(), aEffects);
  } else if (aReply.snapshot_) {
    aState.fetchNeeded_ = true;
    aState.nextPollAt_ = aNow;
  } else {
    ApplyChanges(aState, aReply.changes_, aEffects);
    // The reply didn't contain all changes: request the rest now.
    if (!aReply.changes_.empty() && aState.version_ < aReply.version_) {
      aState.nextSyncAt_ = aNow;
    }
  }
  if (const auto time = TimeFromAge(sent.sentAt_, aReply.ageMs_)) {
    ApplyConfirmation(aState, { aReply.version_, *time }, aEffects);
  }
  const auto outage = TimeFromAge(sent.sentAt_, aReply.outageAgeMs_);
  const auto* other = OtherDelegate(aState);
  if (other != nullptr && other->host_ == sent.host_) {
    aState.otherDelegateOutage_.reset();
    if (outage) {
      aState.otherDelegateOutage_ = OutageEvidence{ aReply.version_, *outage };
    }
  }
  if (!fromOwnCentre) {
    aState.centreOutages_.erase(sent.dataCentre_);
    if (outage) {
      aState.centreOutages_[sent.dataCentre_] = { aReply.version_, *outage };
    }
  }
  ExtendFreshness(aState, aNow, aEffects);
  StartPush(aState, false, aEffects);
}

void HandlePush(Dissemination& aState,
                const VersionPush& aPush,
                TimePoint aNow,
                DisseminationEffects& aEffects)
{
  const bool contiguous = ApplyChanges(aState, aPush.changes_, aEffects);
  PushToChildren(aState, aPush.changes_, aEffects);
  if (!contiguous) {
    aState.nextSyncAt_ = aNow;
  }
}

void SendSync(Dissemination& aState,
              const RankedMember& aTo,
              const DataCentreId& aDataCentre,
              const SubtreeReport& aReport,
              TimePoint aNow,
              DisseminationEffects& aEffects)
{
  const auto nonce = aState.nextNonce_++;
  aState.sentSyncs_[nonce] = { aDataCentre, aTo.host_, aNow };
  aEffects.messages_.push_back(
    { aTo.address_,
      SyncRequest{ nonce, aState.version_, aReport.minVersion_, aReport.nodes_, aReport.lagging_ },
      false });
}

// The member to sync with: the parent in the tree without rotation, the second delegate for the
// root and for nodes whose parent is silent.
const RankedMember* FindParent(const Dissemination& aState, TimePoint aNow)
{
  const auto& members = aState.ranking_->members_;
  const auto position = OwnPosition(aState);
  if (members.size() < 2 || position >= members.size()) {
    return nullptr;
  }
  if (position == 0) {
    return &members[1];
  }
  const auto parent = (position - 1) / aState.settings_.treeArity_;
  const bool silent = aNow - aState.lastParentReplyAt_ > aState.settings_.replyTimeout_;
  if (silent && position > 1 && parent != 1) {
    return &members[1];
  }
  return &members[parent];
}

// Syncs with other data centres if this node is a delegate without a recent confirmation.
void SyncWithOtherCentres(Dissemination& aState, TimePoint aNow, DisseminationEffects& aEffects)
{
  const bool confirmed =
    aState.confirmedFreshAsOf_ &&
    aNow - *aState.confirmedFreshAsOf_ < aState.settings_.maxConfirmationAge_ &&
    !aState.pendingConfirmation_;
  if (confirmed || !IsDelegate(aState)) {
    return;
  }
  for (const auto& [id, delegates] : aState.ranking_->delegates_) {
    if (!delegates.empty()) {
      const auto& peer = delegates[(aState.syncCount_ + OwnPosition(aState)) % delegates.size()];
      SendSync(aState, peer, id, {}, aNow, aEffects);
    }
  }
}

void Sync(Dissemination& aState, TimePoint aNow, DisseminationEffects& aEffects)
{
  if (aNow < aState.nextSyncAt_ || aState.ranking_ == nullptr) {
    return;
  }
  aState.nextSyncAt_ = aNow + aState.settings_.syncInterval_;
  ++aState.syncCount_;
  std::erase_if(aState.sentSyncs_, [&](const auto& aSent) {
    return aNow - aSent.second.sentAt_ > aState.settings_.replyTimeout_;
  });
  if (const auto* parent = FindParent(aState, aNow)) {
    if (parent->host_ != aState.parent_) {
      aState.parent_ = parent->host_;
      aState.lastParentReplyAt_ = aNow;
    }
    // The root sends no report, because the second delegate would count it as a child.
    const auto report = IsRoot(aState) ? SubtreeReport{} : AggregateReports(aState, aNow);
    SendSync(aState, *parent, aState.dataCentre_, report, aNow, aEffects);
  }
  SyncWithOtherCentres(aState, aNow, aEffects);
}

std::string NewOperationId(Dissemination& aState)
{
  constexpr std::string_view kDigits = "0123456789abcdef";
  std::string id;
  for (int half = 0; half < 2; ++half) {
    auto value = NextRandom(aState.random_);
    for (int i = 0; i < 16; ++i) {
      id += kDigits[value & 0xfU];
      value >>= 4U;
    }
  }
  return id;
}

void StartCall(Dissemination& aState,
               VersionCallKind aKind,
               PlatformCall aCall,
               DisseminationEffects& aEffects)
{
  assert(!aState.call_ && !aEffects.call_);
  aState.call_ = aKind;
  aEffects.call_ = std::move(aCall);
}

// A write without conditions: each row has one regular writer, and no decision depends on its old
// content.
TransactCall MakeRowWrite(Dissemination& aState, std::string aKey, std::string aValue)
{
  TransactCall call;
  call.transaction_.operationId_ = NewOperationId(aState);
  call.transaction_.writes_.push_back({ std::move(aKey), std::move(aValue) });
  return call;
}

void StartFetch(Dissemination& aState, DisseminationEffects& aEffects)
{
  const auto snapshotVersion = aState.latestVersion_ - aState.latestVersion_ % kSnapshotInterval;
  const bool useSnapshot = aState.latestVersion_ - aState.version_ > kSnapshotInterval &&
                           snapshotVersion > aState.version_;
  if (useSnapshot && !aState.snapshotTried_) {
    aState.snapshotTried_ = true;
    StartCall(aState,
              VersionCallKind::kReadSnapshot,
              GetObjectCall{ SnapshotName(snapshotVersion) },
              aEffects);
  } else {
    ReadRangeCall call{ "config/change/", ChangeRowKey(aState.version_), kMaxRowsPerRead };
    StartCall(aState, VersionCallKind::kReadChanges, std::move(call), aEffects);
  }
}

void Poll(Dissemination& aState, TimePoint aNow, DisseminationEffects& aEffects)
{
  const bool due = aNow >= aState.nextPollAt_ && (IsDelegate(aState) || aState.fetchNeeded_);
  if (!due || aState.call_) {
    return;
  }
  aState.nextPollAt_ = aNow + aState.settings_.pollInterval_;
  StartCall(aState, VersionCallKind::kReadHead, ReadRowCall{ std::string(kHeadRowKey) }, aEffects);
}

// Builds the watermark; empty while the report of an alive or suspected member is missing.
std::optional<Watermark> MakeWatermark(Dissemination& aState, TimePoint aNow)
{
  const auto report = AggregateReports(aState, aNow);
  if (report.nodes_ < aState.ranking_->members_.size()) {
    return std::nullopt;
  }
  aState.watermark_ = report.minVersion_;
  Watermark watermark;
  watermark.dataCentre_ = aState.dataCentre_;
  watermark.version_ = report.minVersion_;
  watermark.nodes_ = report.nodes_;
  for (const auto& host : report.lagging_) {
    watermark.lagging_.push_back(host.value_);
  }
  for (const auto& host : aState.ranking_->unreachable_) {
    watermark.unreachable_.push_back(host.value_);
  }
  return watermark;
}

void WriteWatermark(Dissemination& aState,
                    TimePoint aNow,
                    std::uint64_t aWallMs,
                    DisseminationEffects& aEffects)
{
  if (aNow < aState.nextWatermarkAt_ || aState.call_ || !aState.platformReachable_ ||
      !IsRoot(aState)) {
    return;
  }
  aState.nextWatermarkAt_ = aNow + aState.settings_.watermarkInterval_;
  auto watermark = MakeWatermark(aState, aNow);
  if (!watermark) {
    return;
  }
  auto content = EncodeWatermark(*watermark);
  if (content == aState.writtenWatermark_) {
    return;
  }
  aState.writtenWatermark_ = std::move(content);
  watermark->writtenMs_ = aWallMs;
  auto call =
    MakeRowWrite(aState, WatermarkRowKey(aState.dataCentre_), EncodeWatermark(*watermark));
  StartCall(aState, VersionCallKind::kWriteWatermark, std::move(call), aEffects);
}

std::string EncodeContacts(const Dissemination& aState, std::uint64_t aWallMs)
{
  Json addresses = Json::array();
  for (const auto& member : aState.ranking_->members_) {
    if (addresses.size() < kMaxContactAddresses) {
      addresses.push_back(member.address_.ip_ + ":" + std::to_string(member.address_.port_));
    }
  }
  return Json{
    { "data_centre", aState.dataCentre_.value_ },
    { "addresses", std::move(addresses) },
    { "written_ms", aWallMs }
  }.dump();
}

std::optional<Address> ParseAddress(const std::string& aText)
{
  const auto colon = aText.rfind(':');
  if (colon == std::string::npos || colon + 1 == aText.size() || aText.size() - colon > 6) {
    return std::nullopt;
  }
  unsigned port = 0;
  for (const char c : aText.substr(colon + 1)) {
    if (c < '0' || c > '9') {
      return std::nullopt;
    }
    port = port * 10 + static_cast<unsigned>(c - '0');
  }
  if (port == 0 || port > 65535) {
    return std::nullopt;
  }
  return Address{ aText.substr(0, colon), static_cast<std::uint16_t>(port) };
}

void DecodeContacts(const PlatformRow& aRow, std::vector<Address>& aContacts)
{
  const auto json = Json::parse(aRow.value_, nullptr, false);
  if (!json.is_object() || !json.contains("addresses") || !json["addresses"].is_array()) {
    return;
  }
  for (const auto& text : json["addresses"]) {
    const auto address = text.is_string() ? ParseAddress(text.get<std::string>()) : std::nullopt;
    if (address) {
      aContacts.push_back(*address);
    }
  }
}

void ExchangeContacts(Dissemination& aState,
                      TimePoint aNow,
                      std::uint64_t aWallMs,
                      DisseminationEffects& aEffects)
{
  if (aState.call_ || !aState.platformReachable_ || !IsDelegate(aState)) {
    return;
  }
  const bool alone = aState.ranking_->members_.size() < 2;
  if (aNow >= aState.nextContactReadAt_) {
    aState.nextContactReadAt_ =
      aNow + (alone ? aState.settings_.contactIntervalAlone_ : aState.settings_.contactInterval_);
    StartCall(aState,
              VersionCallKind::kReadContacts,
              ReadRangeCall{ std::string(kContactPrefix), {}, kMaxRowsPerRead },
              aEffects);
    return;
  }
  const bool mayWrite = !alone || aNow - aState.aloneSince_ >= kContactReplacementDelay;
  if (!IsRoot(aState) || !mayWrite || aNow < aState.nextContactWriteAt_) {
    return;
  }
  auto content = EncodeContacts(aState, 0);
  if (content == aState.writtenContacts_) {
    return;
  }
  aState.nextContactWriteAt_ = aNow + aState.settings_.contactInterval_;
  aState.writtenContacts_ = std::move(content);
  auto call = MakeRowWrite(aState,
                           std::string(kContactPrefix) + aState.dataCentre_.value_,
                           EncodeContacts(aState, aWallMs));
  StartCall(aState, VersionCallKind::kWriteContacts, std::move(call), aEffects);
}

void WriteSnapshot(Dissemination& aState, DisseminationEffects& aEffects)
{
  if (aState.snapshotDue_ == 0 || aState.call_ || !aState.platformReachable_) {
    return;
  }
  PutObjectCall call{ SnapshotName(aState.snapshotDue_), aState.snapshotBody_ };
  StartCall(aState, VersionCallKind::kWriteSnapshot, std::move(call), aEffects);
}

void ReportFreshnessChange(Dissemination& aState, TimePoint aNow, DisseminationEffects& aEffects)
{
  const auto until = FreshAsOf(aState);
  const bool fresh = until && aNow - *until < aState.freshnessBound_;
  if (fresh != aState.reportedFresh_) {
    aState.reportedFresh_ = fresh;
    aEffects.events_.push_back(
      { fresh ? EventKind::kFreshnessRegained : EventKind::kFreshnessLost, {} });
  }
}

void RecordPlatformState(Dissemination& aState,
                         const PlatformAnswer& aAnswer,
                         DisseminationEffects& aEffects)
{
  const bool reachable =
    !aAnswer.error_ || (aAnswer.error_->code_ != ErrorCode::kPlatformUnavailable &&
                        aAnswer.error_->code_ != ErrorCode::kPlatformUnknown);
  if (reachable != aState.platformReachable_ || !aState.platformKnown_) {
    aEffects.events_.push_back(
      { reachable ? EventKind::kPlatformReachable : EventKind::kPlatformUnreachable, {} });
  }
  aState.platformReachable_ = reachable;
  aState.platformKnown_ = true;
}

void HandleHead(Dissemination& aState,
                const PlatformAnswer& aAnswer,
                DisseminationEffects& aEffects)
{
  aState.failedPollStartedAt_.reset();
  if (aAnswer.error_) {
    const auto code = aAnswer.error_->code_;
    if (code == ErrorCode::kPlatformUnavailable || code == ErrorCode::kPlatformUnknown) {
      aState.failedPollStartedAt_ = aAnswer.startedAt_;
    }
    return;
  }
  Version head = 0;
  if (!aAnswer.rows_.empty()) {
    const auto decoded = DecodeHead(aAnswer.rows_.front().value_);
    if (decoded.has_error()) {
      aEffects.events_.push_back({ EventKind::kVersionRejected, Describe(decoded.assume_error()) });
      return;
    }
    head = decoded.assume_value();
  }
  ApplyConfirmation(aState, { head, aAnswer.startedAt_ }, aEffects);
  if (aState.version_ < head) {
    StartFetch(aState, aEffects);
  } else {
    aState.fetchNeeded_ = false;
    aState.snapshotTried_ = false;
  }
}

void HandleChanges(Dissemination& aState,
                   const PlatformAnswer& aAnswer,
                   DisseminationEffects& aEffects)
{
  if (aAnswer.error_) {
    return;
  }
  std::vector<ConfigChange> changes;
  for (const auto& row : aAnswer.rows_) {
    auto change = DecodeChange(row.value_);
    if (change.has_error()) {
      aEffects.events_.push_back({ EventKind::kVersionRejected, Describe(change.assume_error()) });
      break;
    }
    changes.push_back(std::move(change.assume_value()));
  }
  const auto before = aState.version_;
  ApplyChanges(aState, changes, aEffects);
  StartPush(aState, true, aEffects);
  if (aState.version_ >= aState.latestVersion_) {
    aState.fetchNeeded_ = false;
    aState.snapshotTried_ = false;
  } else if (aState.version_ > before) {
    StartFetch(aState, aEffects);
  }
}

void HandleSnapshot(Dissemination& aState,
                    const PlatformAnswer& aAnswer,
                    DisseminationEffects& aEffects)
{
  if (aAnswer.error_) {
    aState.snapshotTried_ = false;
    return;
  }
  if (aAnswer.object_) {
    auto snapshot = DecodeSnapshot(*aAnswer.object_);
    if (snapshot.has_error()) {
      aEffects.events_.push_back(
        { EventKind::kVersionRejected, Describe(snapshot.assume_error()) });
    } else {
      ApplySnapshot(aState,
                    snapshot.assume_value().version_,
                    std::move(snapshot.assume_value().entities_),
                    aEffects);
    }
  }
  if (aState.version_ < aState.latestVersion_) {
    StartFetch(aState, aEffects);
  }
}

} // namespace

Dissemination MakeDissemination(DisseminationSettings aSettings,
                                DataCentreId aDataCentre,
                                std::uint64_t aSeed,
                                TimePoint aNow)
{
  Dissemination state;
  state.settings_ = aSettings;
  state.dataCentre_ = std::move(aDataCentre);
  state.random_ = aSeed;
  const auto jitter = [&](Duration aInterval) {
    return Duration(static_cast<Duration::rep>(NextRandom(state.random_) %
                                               static_cast<std::uint64_t>(aInterval.count())));
  };
  // Random, so that a late reply to an earlier process on this host matches no request of this one.
  state.nextNonce_ = NextRandom(state.random_);
  // Random first times stagger the nodes, also the polls of the two delegates.
  state.nextPollAt_ = aNow + jitter(aSettings.pollInterval_);
  state.nextSyncAt_ = aNow + jitter(aSettings.syncInterval_) / 2;
  state.lastParentReplyAt_ = aNow;
  state.aloneSince_ = aNow;
  return state;
}

void SetRanking(Dissemination& aState,
                std::shared_ptr<const MemberRanking> aRanking,
                TimePoint aNow)
{
  const bool wasAlone = aState.ranking_ == nullptr || aState.ranking_->members_.size() < 2;
  aState.ranking_ = std::move(aRanking);
  if (wasAlone && aState.ranking_->members_.size() > 1) {
    // The first other members are known now: request the configuration from them.
    aState.nextSyncAt_ = aNow;
  }
  if (!wasAlone && aState.ranking_->members_.size() < 2) {
    aState.aloneSince_ = aNow;
  }
}

void StepDissemination(Dissemination& aState,
                       TimePoint aNow,
                       std::uint64_t aWallMs,
                       DisseminationEffects& aEffects)
{
  if (aState.ranking_ == nullptr) {
    return;
  }
  std::erase_if(aState.subtreeReports_, [&](const auto& aReport) {
    return aNow - aReport.second.receivedAt_ > aState.settings_.reportLifetime_;
  });
  Sync(aState, aNow, aEffects);
  Poll(aState, aNow, aEffects);
  WriteSnapshot(aState, aEffects);
  WriteWatermark(aState, aNow, aWallMs, aEffects);
  ExchangeContacts(aState, aNow, aWallMs, aEffects);
  ReportFreshnessChange(aState, aNow, aEffects);
}

void HandleVersionMessage(Dissemination& aState,
                          const Hello& aSender,
                          const Address& aFrom,
                          const PeerMessage& aMessage,
                          TimePoint aNow,
                          DisseminationEffects& aEffects)
{
  if (const auto* request = std::get_if<SyncRequest>(&aMessage)) {
    HandleSyncRequest(aState, aSender, aFrom, *request, aNow, aEffects);
  } else if (const auto* reply = std::get_if<SyncReply>(&aMessage)) {
    HandleSyncReply(aState, *reply, aNow, aEffects);
  } else if (const auto* push = std::get_if<VersionPush>(&aMessage)) {
    HandlePush(aState, *push, aNow, aEffects);
  } else if (const auto* summary = std::get_if<DataCentreSummary>(&aMessage)) {
    if (summary->platformReachable_) {
      aState.centreOutages_.erase(summary->dataCentre_);
    }
  }
}

void HandlePlatformAnswer(Dissemination& aState,
                          const PlatformAnswer& aAnswer,
                          TimePoint aNow,
                          DisseminationEffects& aEffects)
{
  if (!aState.call_) {
    return;
  }
  const auto kind = *aState.call_;
  aState.call_.reset();
  RecordPlatformState(aState, aAnswer, aEffects);
  switch (kind) {
    case VersionCallKind::kReadHead:
      HandleHead(aState, aAnswer, aEffects);
      break;
    case VersionCallKind::kReadChanges:
      HandleChanges(aState, aAnswer, aEffects);
      break;
    case VersionCallKind::kReadSnapshot:
      HandleSnapshot(aState, aAnswer, aEffects);
      break;
    case VersionCallKind::kReadContacts:
      for (const auto& row : aAnswer.rows_) {
        DecodeContacts(row, aEffects.contacts_);
      }
      break;
    case VersionCallKind::kWriteWatermark:
      // After a failure or a lost answer the row is written again even with the same content.
      if (aAnswer.error_) {
        aState.writtenWatermark_.clear();
      }
      break;
    case VersionCallKind::kWriteContacts:
      if (aAnswer.error_) {
        aState.writtenContacts_.clear();
      }
      break;
    case VersionCallKind::kWriteSnapshot:
      if (!aAnswer.error_) {
        aState.snapshotDue_ = 0;
        aState.snapshotBody_ = {};
      }
      break;
  }
  ReportFreshnessChange(aState, aNow, aEffects);
}

void FillSummary(const Dissemination& aState, DataCentreSummary& aSummary, TimePoint aNow)
{
  aSummary.version_ = aState.versionInForce_;
  aSummary.ageMs_ = AgeMs(aState.confirmedFreshAsOf_, aNow);
  aSummary.platformReachable_ = aState.platformReachable_;
}

std::optional<TimePoint> FreshAsOf(const Dissemination& aState)
{
  if (!aState.confirmedFreshAsOf_ || !aState.extendedUntil_) {
    return aState.confirmedFreshAsOf_ ? aState.confirmedFreshAsOf_ : aState.extendedUntil_;
  }
  return std::max(*aState.confirmedFreshAsOf_, *aState.extendedUntil_);
}

bool IsDelegate(const Dissemination& aState)
{
  return aState.ranking_ != nullptr && OwnPosition(aState) < aState.settings_.delegateCount_;
}

std::vector<RankedMember> PushOrder(const MemberRanking& aRanking,
                                    Version aVersion,
                                    std::size_t aArity)
{
  auto order = aRanking.members_;
  if (order.size() > 2) {
    // Rotating by the number of inner nodes makes those of one version leaves of the next.
    const auto others = order.size() - 1;
    const auto inner = (others + aArity - 1) / aArity;
    const auto offset = static_cast<std::ptrdiff_t>(aVersion * inner % others);
    std::rotate(order.begin() + 1, order.begin() + 1 + offset, order.end());
  }
  return order;
}

std::vector<std::size_t> TreeChildren(std::size_t aPosition, std::size_t aSize, std::size_t aArity)
{
  std::vector<std::size_t> children;
  for (std::size_t i = 1; i <= aArity && aPosition * aArity + i < aSize; ++i) {
    children.push_back(aPosition * aArity + i);
  }
  return children;
}

SubtreeReport AggregateReports(const Dissemination& aState, TimePoint aNow)
{
  SubtreeReport total;
  total.receivedAt_ = aNow;
  total.nodes_ = 1;
  total.minVersion_ = aState.versionInForce_;
  for (const auto& [host, report] : aState.subtreeReports_) {
    total.nodes_ += report.nodes_;
    if (report.minVersion_ != 0 &&
        (total.minVersion_ == 0 || report.minVersion_ < total.minVersion_)) {
      total.minVersion_ = report.minVersion_;
    }
  }
  // A node names the hosts below it that are at the minimum, if its own version is higher.
  for (const auto& [host, report] : aState.subtreeReports_) {
    if (report.minVersion_ == 0 || report.minVersion_ != total.minVersion_ ||
        report.minVersion_ >= aState.versionInForce_) {
      continue;
    }
    auto named = report.lagging_;
    if (named.empty()) {
      named.push_back(host);
    }
    for (const auto& lagging : named) {
      if (total.lagging_.size() < aState.settings_.maxLaggingHosts_) {
        total.lagging_.push_back(lagging);
      }
    }
  }
  return total;
}

} // namespace peridotquay
