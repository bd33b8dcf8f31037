// Blocking client of the platform: transactional table and object store over HTTP.
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
  std::uint64_t revision_ = 0; ///< Grows with each write of the table; never 0 for a stored row.
  std::string value_;
  bool operator==(const PlatformRow&) const = default;
};

/// A row must have this revision for a transaction to take effect; 0 means that it must not exist.
struct PlatformCondition
{
  std::string key_;
  std::uint64_t revision_ = 0;
  bool operator==(const PlatformCondition&) const = default;
};

/// Puts a row, or removes it if there is no value.
struct PlatformWrite
{
  std::string key_;
  std::optional<std::string> value_;
  bool operator==(const PlatformWrite&) const = default;
};

/// Takes effect as a whole or not at all.
struct PlatformTransaction
{
  std::string operationId_; ///< Unique for each transaction; a repeat within 10 min does nothing.
  std::vector<PlatformCondition> conditions_;
  std::vector<PlatformWrite> writes_;
  bool operator==(const PlatformTransaction&) const = default;
};

/// Settings of the client.
struct PlatformClientSettings
{
  std::vector<Address> addresses_; ///< Tried in turn; the one that answered last is tried first.
  Duration connectTimeout_ = milliseconds(500); ///< For each address.
  Duration requestTimeout_ = seconds(2);        ///< For a whole request over all addresses.
  std::size_t maxBodyBytes_ = std::size_t{ 32 } << 20U;
  bool operator==(const PlatformClientSettings&) const = default;
};

/// The platform's interface. Every call blocks for at most the request timeout. Errors of all
/// calls: kPlatformUnavailable (surely nothing was done), kPlatformMalformed.
class Platform
{
public:
  Platform() = default;
  Platform(const Platform&) = delete;
  Platform& operator=(const Platform&) = delete;
  virtual ~Platform() = default;

  /// Reads a row; empty if it doesn't exist.
  virtual Result<std::optional<PlatformRow>> ReadRow(std::string_view aKey) = 0;

  /// Reads rows whose keys begin with the prefix and are greater than aAfter, in the order of keys.
  virtual Result<std::vector<PlatformRow>> ReadRange(std::string_view aPrefix,
                                                     std::string_view aAfter,
                                                     std::uint32_t aLimit) = 0;

  /// Runs a transaction and returns its revision, which is the new revision of each row it wrote.
  /// Errors: kPlatformConflict (subject_ is the row, allowed_ its revision), kPlatformUnknown (no
  /// answer came; it may have taken effect).
  virtual Result<std::uint64_t> Transact(const PlatformTransaction& aTransaction) = 0;

  /// Stores an object, replacing an earlier one. Errors: kPlatformUnknown.
  virtual Result<void> PutObject(std::string_view aName, std::string_view aBody) = 0;

  /// Reads an object; empty if it doesn't exist.
  virtual Result<std::optional<std::string>> GetObject(std::string_view aName) = 0;
};

/// A client over HTTP. It connects at the first call. Not thread-safe; each thread has its own.
std::unique_ptr<Platform> MakePlatformClient(PlatformClientSettings aSettings);

/// A random operation id: 32 hex digits.
std::string NewOperationId();

} // namespace peridotquay
