// Contexts of calls that run at the local target. Deeper calls name their context by an opaque
// token.
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

/// Deepest chain of calls.
inline constexpr std::uint8_t kMaxDepth = 8;

/// Most contexts at once; more are refused.
inline constexpr std::size_t kMaxContexts = 8192;

/// Context of one running call.
struct CallContext
{
  RetryBudget budget_;
  TimePoint deadline_{};
  ClientAccountId clientAccount_;
  Importance importance_ = Importance::kLow;
  std::uint8_t depth_ = 0;
  std::uint32_t deeperCalls_ = 0; ///< Deeper calls outstanding.
  TimePoint deeperSince_{};       ///< With deeperCalls_ > 0: since when any is outstanding.
  Duration deeperTime_{};         ///< Time in which any was outstanding, up to deeperSince_.
  bool operator==(const CallContext&) const = default;
};

/// All contexts at one guard, by token.
struct ContextTable
{
  std::map<std::string, CallContext, std::less<>> contexts_; ///< At most kMaxContexts.
};

/// Adds a context under the token, 32 hex digits from a cryptographic generator. Errors:
/// kLimitReached.
Result<void> OpenContext(ContextTable& aTable, std::string aToken, const CallContext& aContext);

/// The context of a token; null if the token is unknown or its call has ended.
CallContext* FindContext(ContextTable& aTable, std::string_view aToken);

/// Ends a context. Returns the unspent retries; retries still lent to unfinished deeper calls don't
/// count.
std::uint32_t CloseContext(ContextTable& aTable, std::string_view aToken);

/// Counts a deeper call as started.
void BeginDeeperCall(CallContext& aContext, TimePoint aNow);

/// Counts a deeper call as ended.
void EndDeeperCall(CallContext& aContext, TimePoint aNow);

/// Time up to now in which deeper calls were outstanding.
Duration DeeperTime(const CallContext& aContext, TimePoint aNow);

/// A new token.
std::string NewContextToken();

} // namespace peridotquay
