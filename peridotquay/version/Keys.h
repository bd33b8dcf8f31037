// Generates, grants, withdraws and lists the keys of client accounts.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/ConfigDelta.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// A key in the configuration.
struct KeyRecord
{
  std::string digest_; ///< SHA-256, 64 lower-case hex digits.
  ClientAccountId clientAccount_;
  std::string label_;
  bool fromFile_ = false; ///< Listed in the base file rather than granted by command.
  bool withdrawn_ = false;
  bool operator==(const KeyRecord&) const = default;
};

/// Generates a random key of 256 bits: "pq_" and 64 hex digits.
std::string GenerateKey();

/// Returns all keys, sorted by digest. Malformed entities are left out.
std::vector<KeyRecord> ListKeys(const Entities& aEntities);

/// Returns the edit that grants a key to a client account. Errors: kUnknownReference, kOutOfRange
/// (label), kContradiction (the digest exists already).
Result<EntityEdit> GrantKey(const Entities& aEntities,
                            const ClientAccountId& aAccount,
                            std::string_view aDigest,
                            const std::string& aLabel);

/// Returns the edit that withdraws a key, given its digest or at least 8 leading digits of it. A
/// key of the base file stays in the configuration as withdrawn until the file no longer lists it,
/// so that applying the file can't grant it again. Errors: kNotFound, kContradiction (several keys
/// in force begin with these digits), kOutOfRange.
Result<EntityEdit> WithdrawKey(const Entities& aEntities, std::string_view aDigest);

} // namespace peridotquay
