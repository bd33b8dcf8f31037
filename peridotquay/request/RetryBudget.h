// Retry budget of one request over its whole call chain, and retry ratio of one service at one
// node.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// Retries of a call context: it spends them on its own calls and lends them to deeper calls, which
/// the target makes while it serves the call. Invariant: left_ + lent_ + spent_ is the initial
/// budget.
struct RetryBudget
{
  std::uint32_t left_ = 0;
  std::uint32_t lent_ = 0;
  std::uint32_t spent_ = 0;
  bool operator==(const RetryBudget&) const = default;
};

/// Lends half of the remaining retries, rounded up, to a deeper call. Returns the number lent.
std::uint32_t LendRetries(RetryBudget& aBudget);

/// Adds the unspent retries of a deeper call to the budget again. aLent is the number lent to the
/// call and counts as at most lent_, aUnused counts as at most aLent.
void ReturnRetries(RetryBudget& aBudget, std::uint32_t aLent, std::uint32_t aUnused);

/// Spends one retry; false if none is left.
bool SpendRetry(RetryBudget& aBudget);

/// Settings of a retry ratio.
struct RetryRatioSettings
{
  double tokensPerFirstAttempt_ = 0.1; ///< Tokens added by the first attempt of a call.
  double maxTokens_ = 10; ///< Bounds the burst of retries after a time without failures.
  /// Without enough tokens, one retry is allowed if this time has passed since the last one.
  Duration minInterval_ = seconds(1);
  double mayHaveRunCost_ = 1; ///< Tokens that the retry of a call costs if it may have run.
  bool operator==(const RetryRatioSettings&) const = default;
};

/// Bounds the retries to one service from one node to tokensPerFirstAttempt_ for each first
/// attempt, but allows one in each minInterval_.
struct RetryRatio
{
  double tokens_ = 1; ///< 0 to maxTokens_.
  TimePoint lastRetryAt_{};
  bool operator==(const RetryRatio&) const = default;
};

/// Adds the tokens of the first attempt of a call.
void RecordFirstAttempt(RetryRatio& aRatio, const RetryRatioSettings& aSettings);

/// Consumes the tokens of a retry; false if the retry isn't allowed. A retry of a call that may
/// have run costs mayHaveRunCost_ instead of one token, because the deeper calls are repeated too.
bool ConsumeRetryToken(RetryRatio& aRatio,
                       const RetryRatioSettings& aSettings,
                       TimePoint aNow,
                       bool aMayHaveRun = false);

/// Whether ConsumeRetryToken would allow a retry.
bool HasRetryToken(const RetryRatio& aRatio,
                   const RetryRatioSettings& aSettings,
                   TimePoint aNow,
                   bool aMayHaveRun);

} // namespace peridotquay
