// JSON bodies of the platform's HTTP interface, used by the client and by the test platform.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Platform.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Body of the response to a transaction: the revision of the transaction, or the row whose
/// condition failed and its current revision.
struct PlatformTransactionResult
{
  std::string key_; ///< Key of the row whose condition failed; empty on success.
  std::uint64_t revision_ = 0;
  bool operator==(const PlatformTransactionResult&) const = default;
};

std::string EncodePlatformRow(const PlatformRow& aRow);
std::string EncodePlatformRows(const std::vector<PlatformRow>& aRows);
std::string EncodePlatformTransaction(const PlatformTransaction& aTransaction);
std::string EncodePlatformTransactionResult(const PlatformTransactionResult& aResult);

// Every decoder returns kPlatformMalformed for an invalid body.
Result<PlatformRow> DecodePlatformRow(std::string_view aText);
Result<std::vector<PlatformRow>> DecodePlatformRows(std::string_view aText);
Result<PlatformTransaction> DecodePlatformTransaction(std::string_view aText);
Result<PlatformTransactionResult> DecodePlatformTransactionResult(std::string_view aText);

} // namespace peridotquay
