// Blocking client of the platform, which offers a transactional table and an object store over
// HTTP.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// One row of the table.
struct PlatformRow
{
  std::string key_;
  /// Revision of the row's last write. It grows with each write of the table and is never 0.
  std::uint64_t revision_ = 0;
  std::string value_;
  bool operator==(const PlatformRow&) const = default;
};

/// Precondition of a transaction: the row has this revision, or doesn't exist if it is 0.
struct PlatformCondition
{
  std::string key_;
  std::uint64_t revision_ = 0;
  bool operator==(const PlatformCondition&) const = default;
};

/// Write of a transaction: stores a row, or removes it if there is no value.
struct PlatformWrite
{
  std::string key_;
  std::optional<std::string> value_;
  bool operator==(const PlatformWrite&) const = default;
};

/// Atomic transaction: all writes take effect if all conditions hold, otherwise none does.
struct PlatformTransaction
{
  /// Idempotency key, unique for each transaction: a repeat within 10 min has no further effect.
  std::string operationId_;
  std::vector<PlatformCondition> conditions_;
  std::vector<PlatformWrite> writes_;
  bool operator==(const PlatformTransaction&) const = default;
};

/// Settings of a platform client.
struct PlatformClientSettings
{
  std::vector<Address> addresses_; ///< Tried in turn, starting with the one that answered last.
  Duration connectTimeout_ = milliseconds(500); ///< For each connection attempt.
  Duration requestTimeout_ = seconds(2);        ///< For a request, over all addresses.
  std::size_t maxBodyBytes_ = std::size_t{ 32 } << 20U;
  bool operator==(const PlatformClientSettings&) const = default;
};

/// Interface to the platform. Each call blocks, for at most the request timeout. Errors of all
/// calls: kPlatformUnavailable (the call had no effect), kPlatformMalformed (invalid response).
class Platform
{
public:
  Platform() = default;
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  virtual ~Platform() = default;

  /// Reads a row; empty if it doesn't exist.
  virtual Result<std::optional<PlatformRow>> ReadRow(std::string_view aKey) = 0;

  /// Reads at most aLimit rows whose keys begin with aPrefix and are greater than aAfter, by key.
  virtual Result<std::vector<PlatformRow>> ReadRange(std::string_view aPrefix,
                                                     std::string_view aAfter,
                                                     std::uint32_t aLimit) = 0;

  /// Runs a transaction and returns its revision, which is the new revision of each row written.
  /// Errors: kPlatformConflict (a condition failed: subject_ is the row's key, allowed_ its current
  /// revision), kPlatformUnknown (no answer came, so it may have taken effect).
  virtual Result<std::uint64_t> Transact(const PlatformTransaction& aTransaction) = 0;

  /// Stores an object and replaces any earlier one of that name. Errors: kPlatformUnknown.
  virtual Result<void> PutObject(std::string_view aName, std::string_view aBody) = 0;

  /// Reads an object; empty if it doesn't exist.
  virtual Result<std::optional<std::string>> GetObject(std::string_view aName) = 0;
};

/// Creates an HTTP client, which connects at the first call. Not thread-safe; each thread needs its
/// own client.
std::unique_ptr<Platform> MakePlatformClient(PlatformClientSettings aSettings);

/// Returns a random operation id of 32 hex digits.
std::string NewOperationId();

} // namespace peridotquay
