// Calls of the platform as data, so that decision code can ask for one without blocking.
#pragma once

#include "peridotquay/process/Platform.h"
#include "peridotquay/process/Time.h"

#include <cstdint>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace peridotquay {

struct ReadRowCall
{
  std::string key_;
  bool operator==(const ReadRowCall&) const = default;
};

struct ReadRangeCall
{
  std::string prefix_;
  std::string after_;
  std::uint32_t limit_ = 0;
  bool operator==(const ReadRangeCall&) const = default;
};

struct TransactCall
{
  PlatformTransaction transaction_;
  bool operator==(const TransactCall&) const = default;
};

struct PutObjectCall
{
  std::string name_;
  std::string body_;
  bool operator==(const PutObjectCall&) const = default;
};

struct GetObjectCall
{
  std::string name_;
  bool operator==(const GetObjectCall&) const = default;
};

using PlatformCall =
  std::variant<ReadRowCall, ReadRangeCall, TransactCall, PutObjectCall, GetObjectCall>;

/// Answer to a PlatformCall.
struct PlatformAnswer
{
  std::optional<Error> error_;        ///< Empty on success.
  std::vector<PlatformRow> rows_;     ///< Of reads; a row that doesn't exist isn't there.
  std::uint64_t revision_ = 0;        ///< Of a transaction.
  std::optional<std::string> object_; ///< Of GetObject.
  TimePoint startedAt_{};             ///< Just before the call was sent.
  TimePoint finishedAt_{};            ///< Just after the answer arrived.
  bool operator==(const PlatformAnswer&) const = default;
};

/// Runs a call on a platform. Blocks as the platform does. Times are left to the caller.
PlatformAnswer RunPlatformCall(Platform& aPlatform, const PlatformCall& aCall);

} // namespace peridotquay
