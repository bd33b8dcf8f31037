// Decides when to ask the source and when to follow it instead of reading the store.
#include "peridotquay/version/StoreFeed.h"

#include <algorithm>

namespace peridotquay {

namespace {

void RecordUnansweredQuery(StoreFeedState& aState)
{
  aState.queryPending_ = false;
  if (++aState.unanswered_ >= aState.settings_.maxUnanswered_) {
    aState.followingSource_ = false;
  }
}

} // namespace

std::optional<FeedQuery> CollectDueQuery(StoreFeedState& aState,
                                         const std::optional<HostId>& aSource,
                                         const RowVersions& aHeld,
                                         TimePoint aNow,
                                         Duration aSuspended)
{
  const StoreFeedSettings& settings = aState.settings_;
  if (aSource != aState.source_) {
    aState.source_ = aSource;
    aState.queryPending_ = false;
    aState.unanswered_ = 0;
    aState.answersWithMissingRows_ = 0;
    aState.followingSource_ = aState.followingSource_ && aSource.has_value();
  }
  if (!aSource) {
    return std::nullopt;
  }
  if (aState.queryPending_ && aNow - aState.querySentAt_ >= settings.answerTimeout_) {
    RecordUnansweredQuery(aState);
  } else if (aState.queryPending_ || aNow - aState.querySentAt_ < settings.queryInterval_) {
    return std::nullopt;
  }
  ++aState.nonce_;
  aState.queryPending_ = true;
  aState.querySentAt_ = aNow;
  aState.suspendedWhenSent_ = aSuspended;
  return FeedQuery{ aState.nonce_, aHeld };
}

FeedAnswerResult ApplyFeedAnswer(StoreFeedState& aState,
                                 const FeedAnswer& aAnswer,
                                 const RowVersions& aHeld,
                                 TimePoint aNow,
                                 Duration aSuspended)
{
  FeedAnswerResult result;
  if (!aState.queryPending_ || aAnswer.nonce_ != aState.nonce_) {
    return result;
  }
  aState.queryPending_ = false;
  aState.unanswered_ = 0;
  // Ages count from when the query was sent, and include suspension because the monotonic clock
  // stops meanwhile. So the configuration may seem less fresh than it is, but never fresher.
  const Duration elapsed = (aNow - aState.querySentAt_) + (aSuspended - aState.suspendedWhenSent_);
  const auto age = [&](std::uint64_t aMs) {
    return elapsed + milliseconds(static_cast<std::int64_t>(std::min(aMs, kMaxFreshnessAgeMs + 1)));
  };
  const bool storeAnsweredSource = age(aAnswer.answerAgeMs_) <= aState.settings_.maxStoreAnswerAge_;
  const bool lacksConfig = aAnswer.newest_.config_ > aHeld.config_;
  const bool lacksHosts = aAnswer.newest_.hosts_ > aHeld.hosts_;
  aState.answersWithMissingRows_ =
    lacksConfig || lacksHosts ? aState.answersWithMissingRows_ + 1 : 0;
  if (aState.answersWithMissingRows_ >= aState.settings_.maxAnswersWithMissingRows_) {
    aState.answersWithMissingRows_ = 0;
    result.readConfig_ = lacksConfig;
    result.readHosts_ = lacksHosts;
  }
  aState.followingSource_ = storeAnsweredSource && (aState.followingSource_ || !lacksConfig);
  if (!lacksConfig && aAnswer.freshnessAgeMs_ <= kMaxFreshnessAgeMs) {
    result.freshAt_ = aNow - age(aAnswer.freshnessAgeMs_);
  }
  return result;
}

void RecordFeedQuery(StoreFeedState& aState, TimePoint aNow)
{
  aState.lastQueryReceivedAt_ = aNow;
}

bool IsFeedSource(const StoreFeedState& aState, TimePoint aNow)
{
  return aState.lastQueryReceivedAt_ != TimePoint{} &&
         aNow - aState.lastQueryReceivedAt_ < aState.settings_.sourceLifetime_;
}

} // namespace peridotquay
