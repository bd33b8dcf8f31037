// Baseline policy for comparison in benchmarks.
#include "peridotquay/request/NaivePolicy.h"

#include <algorithm>

namespace peridotquay {

std::optional<Target> ChooseNaiveTarget(NaiveState& aState,
                                        const TargetView& aView,
                                        const ServiceId& aService)
{
  const auto found = aView.targets_.find(aService);
  if (found == aView.targets_.end() || found->second.empty()) {
    return std::nullopt;
  }
  const std::uint64_t position = aState.nextPosition_[aService]++;
  return found->second[position % found->second.size()];
}

bool TryConsumeNaiveRateToken(NaiveState& aState, const ClientAccount& aAccount, TimePoint aNow)
{
  const auto [entry, isNew] = aState.buckets_.try_emplace(aAccount.id_);
  NaiveBucket& bucket = entry->second;
  if (isNew) {
    bucket = { aAccount.burst_, aNow };
  }
  if (aNow > bucket.refilledAt_) {
    const double gained = ToSeconds(aNow - bucket.refilledAt_) * aAccount.ratePerSecond_;
    bucket.tokens_ = std::min(aAccount.burst_, bucket.tokens_ + gained);
    bucket.refilledAt_ = aNow;
  }
  if (bucket.tokens_ < 1) {
    return false;
  }
  bucket.tokens_ -= 1;
  return true;
}

bool AllowNaiveRetry(std::uint32_t aRetries)
{
  return aRetries < kNaiveRetries;
}

} // namespace peridotquay
