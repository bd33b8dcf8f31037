// Platform calls as data. Decision code returns them, and an actor with its own thread runs them,
// so that decision code never blocks.
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

/// Result of a PlatformCall. Only the members for the kind of call are set.
struct PlatformAnswer
{
  std::optional<Error> error_;        ///< Empty on success.
  std::vector<PlatformRow> rows_;     ///< Rows read; empty if the row of a ReadRowCall is absent.
  std::uint64_t revision_ = 0;        ///< Revision of the transaction.
  std::optional<std::string> object_; ///< Object read; empty if it doesn't exist.
  TimePoint startedAt_{};             ///< Just before the call was sent.
  TimePoint finishedAt_{};            ///< Just after the answer arrived.
  bool operator==(const PlatformAnswer&) const = default;
};

/// Runs a call and blocks until it ends. The caller sets startedAt_ and finishedAt_.
PlatformAnswer RunPlatformCall(Platform& aPlatform, const PlatformCall& aCall);

} // namespace peridotquay
