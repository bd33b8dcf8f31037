// Table of call contexts by token.
#include "peridotquay/request/CallContext.h"

#include <openssl/rand.h>

#include <array>
#include <cassert>
#include <cstdlib>

namespace peridotquay {

Result<void> OpenContext(ContextTable& aTable, std::string aToken, const CallContext& aContext)
{
  if (aTable.contexts_.size() >= kMaxContexts) {
    return Fail(ErrorCode::kLimitReached, "call contexts", std::to_string(kMaxContexts));
  }
  if (aContext.depth_ > kMaxCallDepth) {
    return Fail(ErrorCode::kDepthExceeded, "call depth", std::to_string(int{ kMaxCallDepth }));
  }
  if (!aTable.contexts_.emplace(std::move(aToken), aContext).second) {
    return Fail(ErrorCode::kLimitReached, "call context token in use");
  }
  return Success();
}

CallContext* FindContext(ContextTable& aTable, std::string_view aToken)
{
  const auto found = aTable.contexts_.find(aToken);
  return found == aTable.contexts_.end() ? nullptr : &found->second;
}

std::uint32_t CloseContext(ContextTable& aTable, std::string_view aToken)
{
  const auto found = aTable.contexts_.find(aToken);
  if (found == aTable.contexts_.end()) {
    return 0;
  }
  const std::uint32_t unspent = found->second.budget_.left_;
  aTable.contexts_.erase(found);
  return unspent;
}

void BeginDeeperCall(CallContext& aContext, TimePoint aNow)
{
  if (aContext.deeperCalls_ == 0) {
    aContext.deeperSince_ = aNow;
  }
  ++aContext.deeperCalls_;
}

void EndDeeperCall(CallContext& aContext, TimePoint aNow)
{
  assert(aContext.deeperCalls_ > 0);
  --aContext.deeperCalls_;
  if (aContext.deeperCalls_ == 0) {
    aContext.deeperTime_ += aNow - aContext.deeperSince_;
  }
}

Duration DeeperTime(const CallContext& aContext, TimePoint aNow)
{
  const Duration open = aContext.deeperCalls_ > 0 ? aNow - aContext.deeperSince_ : Duration::zero();
  return aContext.deeperTime_ + open;
}

std::string NewContextToken()
{
  std::array<unsigned char, 16> bytes{};
  // Tokens that can be guessed would let others use the accounts and retry budgets of a call.
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    std::abort();
  }
  static constexpr std::string_view kDigits = "0123456789abcdef";
  std::string token;
  token.reserve(2 * bytes.size());
  for (const unsigned char byte : bytes) {
    token.push_back(kDigits[byte >> 4U]);
    token.push_back(kDigits[byte & 15U]);
  }
  return token;
}

} // namespace peridotquay
