// Retry budgets and retry ratios.
#include "peridotquay/request/RetryBudget.h"

#include <algorithm>

namespace peridotquay {

namespace {

/// Tolerates rounding errors: ten additions of 0.1 give slightly less than one token.
constexpr double kTokenSlack = 1e-9;

double TokenCost(const RetryRatioSettings& aSettings, bool aMayHaveRun)
{
  return aMayHaveRun ? aSettings.mayHaveRunCost_ : 1;
}

} // namespace

std::uint32_t LendRetries(RetryBudget& aBudget)
{
  const std::uint32_t lent = aBudget.left_ / 2 + aBudget.left_ % 2;
  aBudget.left_ -= lent;
  aBudget.lent_ += lent;
  return lent;
}

void ReturnRetries(RetryBudget& aBudget, std::uint32_t aLent, std::uint32_t aUnused)
{
  // A peer that claims more than it was lent must not enlarge the budget.
  const std::uint32_t lent = std::min(aLent, aBudget.lent_);
  const std::uint32_t unused = std::min(aUnused, lent);
  aBudget.lent_ -= lent;
  aBudget.left_ += unused;
  aBudget.spent_ += lent - unused;
}

bool SpendRetry(RetryBudget& aBudget)
{
  if (aBudget.left_ == 0) {
    return false;
  }
  --aBudget.left_;
  ++aBudget.spent_;
  return true;
}

void RecordFirstAttempt(RetryRatio& aRatio, const RetryRatioSettings& aSettings)
{
  aRatio.tokens_ = std::min(aSettings.maxTokens_,
                            aRatio.tokens_ + std::max(0.0, aSettings.tokensPerFirstAttempt_));
}

bool ConsumeRetryToken(RetryRatio& aRatio,
                       const RetryRatioSettings& aSettings,
                       TimePoint aNow,
                       bool aMayHaveRun)
{
  if (!HasRetryToken(aRatio, aSettings, aNow, aMayHaveRun)) {
    return false;
  }
  const double cost = TokenCost(aSettings, aMayHaveRun);
  if (aRatio.tokens_ >= cost - kTokenSlack) {
    aRatio.tokens_ = std::max(0.0, aRatio.tokens_ - cost);
  }
  aRatio.lastRetryAt_ = aNow;
  return true;
}

bool HasRetryToken(const RetryRatio& aRatio,
                   const RetryRatioSettings& aSettings,
                   TimePoint aNow,
                   bool aMayHaveRun)
{
  return aRatio.tokens_ >= TokenCost(aSettings, aMayHaveRun) - kTokenSlack ||
         aNow - aRatio.lastRetryAt_ >= aSettings.minInterval_;
}

} // namespace peridotquay
