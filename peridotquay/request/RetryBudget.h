// Retry budget of one request over its whole call chain, and the retry ratio of one route.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// Retries that a call context may still spend or lend. Invariant: left + lent + spent == initial
/// budget.
struct RetryBudget
{
  std::uint32_t left_ = 0;
  std::uint32_t lent_ = 0;
  std::uint32_t spent_ = 0;
  bool operator==(const RetryBudget&) const = default;
};

/// Lends half of what is left, rounded up, to a deeper call. Returns the number lent.
std::uint32_t LendRetries(RetryBudget& aBudget);

/// Takes back unspent retries of a deeper call. More than was lent counts as what was lent.
void ReturnRetries(RetryBudget& aBudget, std::uint32_t aLent, std::uint32_t aUnused);

/// Spends one retry; false if none is left.
bool SpendRetry(RetryBudget& aBudget);

/// Limits of a token ratio.
struct RetryRatioSettings
{
  double tokensPerFirstAttempt_ = 0.1; ///< Tokens earned by a first try.
  double cap_ = 10; ///< Most saved tokens, so that a quiet hour doesn't pay for a storm.
  /// With no tokens left, one retry is allowed after this time.
  Duration leastInterval_ = seconds(1);
  double mayHaveRunCost_ = 1; ///< Tokens of a retry of a call that may have run.
  bool operator==(const RetryRatioSettings&) const = default;
};

/// Token ratio of one service at one node: retries are at most ratio * first tries, and at least
/// one in each least interval.
struct RetryRatio
{
  double tokens_ = 1; ///< 0 to the cap.
  TimePoint last_{};
  bool operator==(const RetryRatio&) const = default;
};

/// Counts a first try.
void RecordFirstAttempt(RetryRatio& aRatio, const RetryRatioSettings& aSettings);

/// Takes a retry's tokens; false if the service has spent its ratio.
/// A retry of a call that may have run costs mayHaveRunCost_, because its own calls are repeated
/// too.
bool ConsumeRetryToken(RetryRatio& aRatio,
                       const RetryRatioSettings& aSettings,
                       TimePoint aNow,
                       bool aMayHaveRun = false);

} // namespace peridotquay
