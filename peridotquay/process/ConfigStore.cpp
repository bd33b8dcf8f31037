// Loads the configuration from the platform, commits changes and resolves commits whose answer was
// lost.
#include "peridotquay/process/ConfigStore.h"

#include "peridotquay/version/ConfigCompiler.h"

#include <boost/outcome/try.hpp>

#include <algorithm>
#include <thread>

namespace peridotquay {

namespace {

/// Maximum number of changes in one read. Each has at most kMaxChangeBytes.
constexpr std::uint32_t kMaxChangesPerRead = 64;

/// Reads the change of a version; empty if its row doesn't exist.
Result<std::optional<ConfigChange>> ReadChange(Platform& aPlatform, Version aVersion)
{
  BOOST_OUTCOME_TRY(row, aPlatform.ReadRow(ChangeRowKey(aVersion)));
  if (!row) {
    return std::optional<ConfigChange>{};
  }
  BOOST_OUTCOME_TRY(change, DecodeChange(row->value_));
  return std::make_optional(std::move(change));
}

/// Reads the head row into version_ and headRevision_.
Result<StoredConfig> ReadHead(Platform& aPlatform)
{
  StoredConfig stored;
  BOOST_OUTCOME_TRY(row, aPlatform.ReadRow(kHeadRowKey));
  if (row) {
    BOOST_OUTCOME_TRY(version, DecodeHead(row->value_));
    stored.version_ = version;
    stored.headRevision_ = row->revision_;
  }
  return stored;
}

/// Reads the latest snapshot at or before a version; an empty one of version 0 if there is none.
Result<Snapshot> ReadLatestSnapshot(Platform& aPlatform, Version aMaxVersion)
{
  for (auto version = aMaxVersion - aMaxVersion % kSnapshotInterval; version > 0;
       version -= kSnapshotInterval) {
    BOOST_OUTCOME_TRY(text, aPlatform.GetObject(SnapshotName(version)));
    if (text) {
      BOOST_OUTCOME_TRY(snapshot, DecodeSnapshot(*text));
      if (snapshot.version_ != version) {
        return Fail(ErrorCode::kPlatformMalformed, SnapshotName(version));
      }
      return snapshot;
    }
  }
  return Snapshot{};
}

/// Applies the changes after the snapshot, up to and including a version.
Result<Entities> Replay(Platform& aPlatform, const Snapshot& aSnapshot, Version aVersion)
{
  auto entities = aSnapshot.entities_;
  for (auto version = aSnapshot.version_; version < aVersion;) {
    const auto wanted = std::min<Version>(kMaxChangesPerRead, aVersion - version);
    BOOST_OUTCOME_TRY(changes, LoadHistory(aPlatform, version, static_cast<std::uint32_t>(wanted)));
    for (const auto& change : changes) {
      ++version;
      if (change.version_ != version) {
        return Fail(
          ErrorCode::kPlatformMalformed, ChangeRowKey(version), "a change row for each version");
      }
      // A change that can't be applied counts as empty, as it does at every node. Otherwise one bad
      // row of another writer would block all further changes.
      static_cast<void>(ApplyChange(entities, change));
    }
    if (changes.empty()) {
      return Fail(
        ErrorCode::kPlatformMalformed, ChangeRowKey(version + 1), "a change row for each version");
    }
  }
  return entities;
}

auto VersionConflict(Version aStoredVersion)
{
  return Fail(ErrorCode::kVersionConflict, "version " + std::to_string(aStoredVersion));
}

/// Commit of a change whose answer was lost.
struct LostCommit
{
  const StoredConfig& base_;
  const ConfigChange& change_;
};

/// Writes the head row unchanged if it still has the revision that the lost transaction relies on.
/// The write changes the revision, so the lost transaction can't take effect any more. The result
/// is ignored because the caller reads the head row again.
void FenceLostCommit(Platform& aPlatform, const LostCommit& aLost)
{
  PlatformTransaction fence;
  fence.operationId_ = NewOperationId();
  fence.conditions_ = { { std::string(kHeadRowKey), aLost.base_.headRevision_ } };
  fence.writes_ = { { std::string(kHeadRowKey), EncodeHead(aLost.base_.version_) } };
  static_cast<void>(aPlatform.Transact(fence));
}

/// Reads the change row and the head row until they show whether the lost transaction took effect.
Result<Version> ResolveLostCommit(Platform& aPlatform,
                                  const LostCommit& aLost,
                                  const CommitSettings& aSettings)
{
  const auto start = Clock::now();
  while (Clock::now() - start < aSettings.resolveTimeout_) {
    // The head row is read before the change row. If the head's revision has changed and the change
    // row is absent, the lost transaction didn't take effect and never will, because its condition
    // on the head row fails.
    const auto head = ReadHead(aPlatform);
    const auto change = ReadChange(aPlatform, aLost.change_.version_);
    if (change.has_value() && change.assume_value()) {
      const bool ownChange = change.assume_value()->operationId_ == aLost.change_.operationId_;
      return ownChange ? Result<Version>(aLost.change_.version_)
                       : VersionConflict(aLost.change_.version_);
    }
    const bool absent = head.has_value() && change.has_value();
    if (absent && head.assume_value().headRevision_ != aLost.base_.headRevision_) {
      return Fail(ErrorCode::kPlatformUnavailable,
                  "change",
                  "the answer was lost, but the change was not written");
    }
    if (absent && Clock::now() - start >= aSettings.fenceDelay_) {
      FenceLostCommit(aPlatform, aLost);
    }
    std::this_thread::sleep_for(aSettings.resolveInterval_);
  }
  return Fail(ErrorCode::kPlatformUnknown,
              aLost.change_.operationId_,
              "unknown whether it was written; look for this operation id later");
}

/// Maximum number of attempts to write a change while the head row is rewritten with the same
/// version.
constexpr int kMaxWriteAttempts = 4;

/// Writes a checked change if the head row still has the revision in aBase.
Result<Version> WriteChange(Platform& aPlatform,
                            const StoredConfig& aBase,
                            const ConfigChange& aChange,
                            const CommitSettings& aSettings)
{
  PlatformTransaction transaction;
  transaction.operationId_ = aChange.operationId_;
  transaction.conditions_ = { { std::string(kHeadRowKey), aBase.headRevision_ },
                              { ChangeRowKey(aChange.version_), 0 } };
  transaction.writes_ = { { std::string(kHeadRowKey), EncodeHead(aChange.version_) },
                          { ChangeRowKey(aChange.version_), EncodeChange(aChange) } };
  const auto written = aPlatform.Transact(transaction);
  if (written.has_value()) {
    return aChange.version_;
  }
  const auto& error = written.assume_error();
  const bool lost =
    error.code_ == ErrorCode::kPlatformUnknown || error.code_ == ErrorCode::kPlatformMalformed;
  if (lost) {
    return ResolveLostCommit(aPlatform, { aBase, aChange }, aSettings);
  }
  return BOOST_OUTCOME_V2_NAMESPACE::failure(error);
}

} // namespace

Result<StoredConfig> LoadConfig(Platform& aPlatform)
{
  BOOST_OUTCOME_TRY(stored, ReadHead(aPlatform));
  BOOST_OUTCOME_TRY(snapshot, ReadLatestSnapshot(aPlatform, stored.version_));
  BOOST_OUTCOME_TRY(entities, Replay(aPlatform, snapshot, stored.version_));
  stored.entities_ = std::move(entities);
  stored.snapshotVersion_ = snapshot.version_;
  return stored;
}

Result<std::vector<ConfigChange>> LoadHistory(Platform& aPlatform,
                                              Version aAfter,
                                              std::uint32_t aLimit)
{
  std::vector<ConfigChange> changes;
  while (changes.size() < aLimit) {
    const auto last = aAfter + changes.size();
    const auto wanted = std::min<std::size_t>(kMaxChangesPerRead, aLimit - changes.size());
    BOOST_OUTCOME_TRY(rows,
                      aPlatform.ReadRange(
                        "config/change/", ChangeRowKey(last), static_cast<std::uint32_t>(wanted)));
    for (const auto& row : rows) {
      BOOST_OUTCOME_TRY(change, DecodeChange(row.value_));
      changes.push_back(std::move(change));
    }
    if (rows.size() < wanted) {
      break;
    }
  }
  return changes;
}

Result<Version> CommitChange(Platform& aPlatform,
                             const StoredConfig& aBase,
                             ConfigChange aChange,
                             const CommitSettings& aSettings)
{
  aChange.version_ = aBase.version_ + 1;
  auto entities = aBase.entities_;
  BOOST_OUTCOME_TRYV(ApplyChange(entities, aChange));
  BOOST_OUTCOME_TRYV(CheckEntities(entities));
  auto base = aBase;
  for (int i = 0; i < kMaxWriteAttempts; ++i) {
    auto written = WriteChange(aPlatform, base, aChange, aSettings);
    if (written.has_value() || written.assume_error().code_ != ErrorCode::kPlatformConflict) {
      return written;
    }
    BOOST_OUTCOME_TRY(head, ReadHead(aPlatform));
    if (head.version_ != aBase.version_) {
      return VersionConflict(head.version_);
    }
    // Another operator's commit fenced a lost transaction. The version is unchanged, so the change
    // still applies.
    base.headRevision_ = head.headRevision_;
  }
  return Fail(
    ErrorCode::kPlatformUnavailable, "change", "the head row keeps changing; not written");
}

bool IsSnapshotDue(const StoredConfig& aBase, Version aWritten)
{
  return aWritten - aWritten % kSnapshotInterval > aBase.snapshotVersion_;
}

Result<Version> WriteDueSnapshot(Platform& aPlatform)
{
  BOOST_OUTCOME_TRY(head, ReadHead(aPlatform));
  const auto due = head.version_ - head.version_ % kSnapshotInterval;
  if (due == 0) {
    return due;
  }
  BOOST_OUTCOME_TRY(latest, ReadLatestSnapshot(aPlatform, due));
  if (latest.version_ == due) {
    return due;
  }
  BOOST_OUTCOME_TRY(entities, Replay(aPlatform, latest, due));
  BOOST_OUTCOME_TRYV(
    aPlatform.PutObject(SnapshotName(due), EncodeSnapshot({ due, std::move(entities) })));
  return due;
}

} // namespace peridotquay
