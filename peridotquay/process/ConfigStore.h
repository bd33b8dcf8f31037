// Stores the configuration in the platform as a stream of numbered changes: loads it, commits
// changes and reads the history. A head row holds the latest version, each change has a row of its
// own, and the object store holds snapshots.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigDelta.h"

#include <cstdint>
#include <vector>

namespace peridotquay {

/// The latest configuration as read from the platform.
struct StoredConfig
{
  Version version_ = 0;            ///< Latest version; 0 before the first change.
  std::uint64_t headRevision_ = 0; ///< Revision of the head row; 0 if there is none.
  Entities entities_;              ///< Entities of version_.
  Version snapshotVersion_ = 0;    ///< Version of the latest snapshot; 0 if there is none.
  bool operator==(const StoredConfig&) const = default;
};

/// How CommitChange finds out whether a change whose answer was lost was written.
struct CommitSettings
{
  Duration resolveTimeout_ = seconds(10);        ///< Maximum time for reading the change row back.
  Duration resolveInterval_ = milliseconds(200); ///< Between these reads.
  /// If the change row is still absent after this time, the change is prevented from taking effect
  /// later.
  Duration fenceDelay_ = seconds(3);
  bool operator==(const CommitSettings&) const = default;
};

/// Reads the head row, the latest snapshot at or before its version and the changes after the
/// snapshot. Errors: those of the platform; kPlatformMalformed if a change is missing.
Result<StoredConfig> LoadConfig(Platform& aPlatform);

/// Reads up to aLimit changes after a version, oldest first.
Result<std::vector<ConfigChange>> LoadHistory(Platform& aPlatform,
                                              Version aAfter,
                                              std::uint32_t aLimit);

/// Checks a change against the configuration that it is based on, and writes it as the next version
/// in one transaction. If the answer is lost, the change row is read back. If the row stays absent,
/// a conditional write of the head row prevents the lost transaction from taking effect later, so
/// that a reported failure is certain. Returns the new version. Errors:
/// - those of ApplyChange and CheckEntities: nothing was written;
/// - kVersionConflict: another change became the next version, nothing was written;
/// - kPlatformUnavailable: nothing was written;
/// - kPlatformUnknown: the platform couldn't be read until the timeout, so the change may have been
///   written; subject_ is the operation id.
Result<Version> CommitChange(Platform& aPlatform,
                             const StoredConfig& aBase,
                             ConfigChange aChange,
                             const CommitSettings& aSettings = {});

/// True if a snapshot should be written after version aWritten was committed on top of aBase.
bool IsSnapshotDue(const StoredConfig& aBase, Version aWritten);

/// Writes the snapshot of the latest version divisible by kSnapshotInterval unless it exists.
/// Returns the version of that snapshot, 0 if none is due. A missing snapshot only makes loading
/// slower, so a failure can be retried with the next change. The function reads the previous
/// snapshot, so call it only if IsSnapshotDue returns true.
Result<Version> WriteDueSnapshot(Platform& aPlatform);

} // namespace peridotquay
