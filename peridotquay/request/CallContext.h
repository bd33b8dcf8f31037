// Contexts of calls that run at the local target. A deeper call is one that the target makes while
// it serves a call; it names the context of that call by an opaque token.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/request/Outcome.h"
#include "peridotquay/request/RetryBudget.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

namespace peridotquay {

/// Maximum depth of a chain of calls.
inline constexpr std::uint8_t kMaxCallDepth = 8;

/// Maximum number of contexts; calls beyond it are refused.
inline constexpr std::size_t kMaxContexts = 8192;

/// What a running call shares with its deeper calls, and how long they took.
struct CallContext
{
  RetryBudget budget_;
  TimePoint deadline_{};
  ClientAccountId clientAccount_;
  Importance importance_ = Importance::kLow;
  std::uint8_t depth_ = 0;
  std::uint32_t deeperCalls_ = 0; ///< Outstanding deeper calls.
  TimePoint deeperSince_{};       ///< Start of the last period with outstanding deeper calls.
  Duration deeperTime_{}; ///< Total length of the ended periods with outstanding deeper calls.
  bool operator==(const CallContext&) const = default;
};

/// All contexts at one guard, by token.
struct ContextTable
{
  std::map<std::string, CallContext, std::less<>> contexts_; ///< At most kMaxContexts.
};

/// Adds a context under the token, 32 hex digits from a cryptographic generator. Errors:
/// kLimitReached, kDepthExceeded.
Result<void> OpenContext(ContextTable& aTable, std::string aToken, const CallContext& aContext);

/// The context of a token; null if the token is unknown or its call has ended.
CallContext* FindContext(ContextTable& aTable, std::string_view aToken);

/// Ends a context. Returns the unspent retries; retries still lent to unfinished deeper calls don't
/// count.
std::uint32_t CloseContext(ContextTable& aTable, std::string_view aToken);

/// Records the start of a deeper call.
void BeginDeeperCall(CallContext& aContext, TimePoint aNow);

/// Records the end of a deeper call.
void EndDeeperCall(CallContext& aContext, TimePoint aNow);

/// Time until aNow in which at least one deeper call was outstanding.
Duration DeeperTime(const CallContext& aContext, TimePoint aNow);

/// A new random token: 32 hex digits.
std::string NewContextToken();

} // namespace peridotquay
