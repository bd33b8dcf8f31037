// The configuration as named entities, changes to it, and the JSON text in which the platform
// stores both.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/version/Ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// The whole configuration: canonical JSON (objects with sorted keys and no white space) by entity
/// name. Names: account/<id>, key/<digest>, route/<id>, service/<id>, site/<data centre>,
/// policy/default, policy/replaced.
using Entities = std::map<std::string, std::string>;

/// Maximum size of a change, as JSON text.
inline constexpr std::size_t kMaxChangeBytes = 65536;

/// Maximum size of a configuration, names and JSON text together.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{ 8 } << 20U;

/// Number of versions from one snapshot in the object store to the next.
inline constexpr Version kSnapshotInterval = 256;

/// Key of the row that holds the latest version as {"version":N}.
inline constexpr std::string_view kHeadRowKey = "config/head";

/// Key of the row of a change: config/change/<version>, with 16 digits.
std::string ChangeRowKey(Version aVersion);

/// Name of the object that holds a snapshot: config/snapshot/<version>.
std::string SnapshotName(Version aVersion);

/// Returns the edits that turn aFrom into aTo, sorted by name.
std::vector<EntityEdit> DiffEntities(const Entities& aFrom, const Entities& aTo);

/// Applies all edits of a change. On failure none is applied. Errors:
/// kChangeTooLarge, kSyntax (an entity isn't a JSON object), kContradiction (an entity is edited
/// twice), kNotFound (an absent entity is removed).
Result<void> ApplyChange(Entities& aEntities, const ConfigChange& aChange);

/// JSON text of a change, as stored in its row.
std::string EncodeChange(const ConfigChange& aChange);

/// Parses the text of a change row. Errors: kPlatformMalformed, kChangeTooLarge.
Result<ConfigChange> DecodeChange(std::string_view aText);

/// JSON text of the head row.
std::string EncodeHead(Version aVersion);

/// Parses the text of the head row. Errors: kPlatformMalformed.
Result<Version> DecodeHead(std::string_view aText);

/// A configuration with its version, as stored in the object store.
struct Snapshot
{
  Version version_ = 0;
  Entities entities_;
  bool operator==(const Snapshot&) const = default;
};

/// JSON text of a snapshot.
std::string EncodeSnapshot(const Snapshot& aSnapshot);

/// Parses the text of a snapshot. Errors: kPlatformMalformed, kChangeTooLarge.
Result<Snapshot> DecodeSnapshot(std::string_view aText);

/// Configuration version that the hosts of a data centre have reached. The control plane stores it
/// in row watermark/<data centre>.
struct Watermark
{
  DataCentreId dataCentre_;
  Version version_ = 0;              ///< Lowest version in force at the hosts that can be reached.
  std::uint32_t nodes_ = 0;          ///< Number of hosts that the watermark covers.
  std::vector<std::string> lagging_; ///< Some of the hosts that hold version_ back.
  std::vector<std::string> unreachable_; ///< Hosts that can't be reached.
  std::uint64_t writtenMs_ = 0; ///< Wall clock of the writer in milliseconds; for display only.
  bool operator==(const Watermark&) const = default;
};

/// Key of the row of a data centre's watermark.
std::string WatermarkRowKey(const DataCentreId& aDataCentre);

/// JSON text of a watermark row.
std::string EncodeWatermark(const Watermark& aWatermark);

/// Parses the text of a watermark row. Errors: kPlatformMalformed.
Result<Watermark> DecodeWatermark(std::string_view aText);

} // namespace peridotquay
