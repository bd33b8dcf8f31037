// JSON bodies of the platform's HTTP interface, used by the client and the stand-in.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Platform.h"

#include <string>
#include <string_view>
#include <vector>

namespace peridotquay {

/// Body of an answer to a transaction: the new revision, or the condition that failed.
struct PlatformTransactionResult
{
  std::string key_; ///< Empty on success.
  std::uint64_t revision_ = 0;
  bool operator==(const PlatformTransactionResult&) const = default;
};

std::string EncodePlatformRow(const PlatformRow& aRow);
std::string EncodePlatformRows(const std::vector<PlatformRow>& aRows);
std::string EncodePlatformTransaction(const PlatformTransaction& aTransaction);
std::string EncodePlatformTransactionResult(const PlatformTransactionResult& aResult);

// Errors of all decoders: kPlatformMalformed.
Result<PlatformRow> DecodePlatformRow(std::string_view aText);
Result<std::vector<PlatformRow>> DecodePlatformRows(std::string_view aText);
Result<PlatformTransaction> DecodePlatformTransaction(std::string_view aText);
Result<PlatformTransactionResult> DecodePlatformTransactionResult(std::string_view aText);

} // namespace peridotquay
