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

/// Token ratio of one route at one node: retries are at most ratio * first tries, and at least one
/// a second.
struct RetryRatio
{
  double tokens_ = 1; ///< 0 to kRetryRatioCap.
  TimePoint last_{};
  bool operator==(const RetryRatio&) const = default;
};

/// Upper bound of saved retry tokens, so that a quiet hour doesn't pay for a storm.
inline constexpr double kRetryRatioCap = 10;

/// Counts a first try.
void NoteFirstTry(RetryRatio& aRatio, double aPerFirstTry);

/// Takes one retry token; false if the route has spent its ratio.
bool TakeRetryToken(RetryRatio& aRatio, TimePoint aNow);

} // namespace peridotquay
