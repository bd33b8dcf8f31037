// Baseline policy for comparison in benchmarks: round robin, three retries at every hop, a token
// bucket with the account's full rate in each process, and no admission control.
#pragma once

#include "peridotquay/process/Time.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/Ids.h"
#include "peridotquay/version/TargetView.h"

#include <cstdint>
#include <map>
#include <optional>

namespace peridotquay {

/// Maximum number of retries of one call at one hop, regardless of retries at other hops.
inline constexpr std::uint32_t kNaiveRetries = 3;

/// A plain token bucket.
struct NaiveBucket
{
  double tokens_ = 0;
  TimePoint refilledAt_{};
};

/// State of the baseline in one process.
struct NaiveState
{
  std::map<ServiceId, std::uint64_t> nextPosition_; ///< Round-robin position by service.
  std::map<ClientAccountId, NaiveBucket> buckets_;
};

/// The next target of the service in round-robin order, regardless of its state; none if the
/// service has no targets.
std::optional<Target> ChooseNaiveTarget(NaiveState& aState,
                                        const TargetView& aView,
                                        const ServiceId& aService);

/// Consumes one token of this process's bucket, which has the account's full rate and burst.
/// Returns false if the bucket has none.
bool TryConsumeNaiveRateToken(NaiveState& aState, const ClientAccount& aAccount, TimePoint aNow);

/// Whether a failed call is retried after aRetries retries at this hop.
bool AllowNaiveRetry(std::uint32_t aRetries);

} // namespace peridotquay
