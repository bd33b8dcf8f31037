// The version stream of the configuration in the platform: loading, committing, history.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigDelta.h"

#include <cstdint>
#include <vector>

namespace peridotquay {

/// The latest configuration as read from the platform.
struct StoredConfig
{
  Version version_ = 0;            ///< 0 before the first change.
  std::uint64_t headRevision_ = 0; ///< Revision of the head row; 0 if there is none.
  Entities entities_;              ///< As of version_.
  Version snapshotVersion_ = 0;    ///< Latest snapshot in the object store; 0 for none.
  bool operator==(const StoredConfig&) const = default;
};

/// How long and how often a lost answer is resolved.
struct CommitSettings
{
  Duration resolveTimeout_ = seconds(10); ///< Reading back ends after this.
  Duration resolveInterval_ = milliseconds(200);
  /// After this time without a trace of the change it is barred from taking effect later.
  Duration barAfter_ = seconds(3);
  bool operator==(const CommitSettings&) const = default;
};

/// Reads the head, the latest snapshot at or before it and the changes since. Errors: those of the
/// platform; kPlatformMalformed if the stream has a gap.
Result<StoredConfig> LoadConfig(Platform& aPlatform);

/// Reads up to aLimit changes after a version, oldest first.
Result<std::vector<Change>> LoadHistory(Platform& aPlatform, Version aAfter, std::uint32_t aLimit);

/// Checks a change against the configuration that it was written for, and writes it as the next
/// version in one transaction. A lost answer is resolved by reading the change row back. If the row
/// stays absent, a conditional write of the head bars the lost transaction, so that a failure is
/// certain. Returns the new version. Errors:
/// - those of ApplyChange and CheckEntities: nothing was written;
/// - kVersionConflict: another change is the next version, nothing was written;
/// - kPlatformUnavailable: nothing was written;
/// - kPlatformUnknown: the platform could not be read until the timeout; subject_ is the operation
/// id.
Result<Version> CommitChange(Platform& aPlatform,
                             const StoredConfig& aBase,
                             Change aChange,
                             const CommitSettings& aSettings = {});

/// Whether a snapshot should be written after aWritten was committed on top of a loaded version.
bool IsSnapshotDue(const StoredConfig& aBase, Version aWritten);

/// Writes the snapshot of the latest version divisible by kSnapshotInterval unless it is there.
/// Returns the version of the latest snapshot, 0 if none is due. A missing snapshot only makes
/// loading slower, so a failure can be retried with the next change. It reads the snapshot before,
/// so call it only if IsSnapshotDue.
Result<Version> WriteDueSnapshot(Platform& aPlatform);

} // namespace peridotquay
