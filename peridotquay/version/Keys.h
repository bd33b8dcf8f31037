// Keys of client accounts: making, granting, withdrawing and listing them.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/version/ConfigDelta.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// One key as the configuration knows it.
struct KeyRecord
{
  std::string digest_; ///< SHA-256, 64 lower-case hex digits.
  ClientAccountId clientAccount_;
  std::string label_;
  bool fromFile_ = false; ///< Listed in the base file rather than granted by command.
  bool withdrawn_ = false;
  bool operator==(const KeyRecord&) const = default;
};

/// A new random key of 256 bits: "pq_" and 64 hex digits.
std::string GenerateKey();

/// All keys, by digest. Malformed entities are left out.
std::vector<KeyRecord> ListKeys(const Entities& aEntities);

/// The edit that grants a key to a client account. Errors: kUnknownReference, kOutOfRange (label),
/// kContradiction (the digest is there already).
Result<EntityEdit> GrantKey(const Entities& aEntities,
                            const ClientAccountId& aAccount,
                            std::string_view aDigest,
                            const std::string& aLabel);

/// The edit that withdraws a key, named by its digest or by at least 8 leading digits of it. A key
/// of the base file stays as withdrawn until the file no longer lists it, so that applying the file
/// can't grant it again. Errors: kNotFound, kContradiction (several keys begin so), kOutOfRange.
Result<EntityEdit> WithdrawKey(const Entities& aEntities, std::string_view aDigest);

} // namespace peridotquay
