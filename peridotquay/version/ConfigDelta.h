// The configuration as named entities, changes to it, and their JSON text in the platform.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/version/Ids.h"

#include <map>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// The whole configuration, by entity name, as canonical JSON: objects with sorted keys and no
/// white space. Names: account/<id>, key/<digest>, route/<id>, service/<id>, site/<data centre>,
/// policy/default.
using Entities = std::map<std::string, std::string>;

/// Largest change in bytes of JSON text.
inline constexpr std::size_t kMaxChangeBytes = 65536;

/// Largest configuration in bytes, names and JSON text together.
inline constexpr std::size_t kMaxConfigBytes = std::size_t{ 8 } << 20U;

/// Versions between two snapshots in the object store.
inline constexpr Version kSnapshotInterval = 256;

/// Row that holds the latest version as {"version":N}.
inline constexpr std::string_view kHeadRowKey = "config/head";

/// Row of one change: config/change/ and the version with 16 digits.
std::string ChangeRowKey(Version aVersion);

/// Object of one snapshot: config/snapshot/<version>.
std::string SnapshotName(Version aVersion);

/// Edits that turn aFrom into aTo, sorted by name.
std::vector<EntityEdit> DiffEntities(const Entities& aFrom, const Entities& aTo);

/// Applies the edits of a change as a whole; the entities are untouched on failure. Errors:
/// kChangeTooLarge, kSyntax (an entity isn't a JSON object), kContradiction (an entity is edited
/// twice), kNotFound (an absent entity is removed).
Result<void> ApplyChange(Entities& aEntities, const Change& aChange);

/// JSON text of a change, as stored in its row.
std::string EncodeChange(const Change& aChange);

/// Parses the text of a change row. Errors: kPlatformMalformed, kChangeTooLarge.
Result<Change> DecodeChange(std::string_view aText);

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

/// What the control side reports of one data centre in row watermark/<data centre>.
struct Watermark
{
  DataCentreId dataCentre_;
  Version version_ = 0;     ///< Least version in force at the hosts that can be reached.
  std::uint32_t nodes_ = 0; ///< Hosts that the watermark covers.
  std::vector<std::string> lagging_;
  std::vector<std::string> unreachable_;
  std::uint64_t writtenMs_ = 0; ///< Wall clock of the writer; for people only.
  bool operator==(const Watermark&) const = default;
};

/// Row of the watermark of a data centre.
std::string WatermarkRowKey(const DataCentreId& aDataCentre);

/// JSON text of a watermark row.
std::string EncodeWatermark(const Watermark& aWatermark);

/// Parses the text of a watermark row. Errors: kPlatformMalformed.
Result<Watermark> DecodeWatermark(std::string_view aText);

} // namespace peridotquay
