// Questions to the host that reads the store, and when to do without it.
#include "peridotquay/version/StoreFeed.h"

#include <algorithm>

namespace peridotquay {

namespace {

void NoteUnanswered(StoreFeedState& aState)
{
  aState.open_ = false;
  if (++aState.unanswered_ >= aState.settings_.unanswered_) {
    aState.followingSource_ = false;
  }
}

} // namespace

std::optional<FeedQuestion> CollectDueQuestion(StoreFeedState& aState,
                                               const std::optional<HostId>& aSource,
                                               const RowVersions& aOwn,
                                               TimePoint aNow,
                                               Duration aSuspended)
{
  const StoreFeedSettings& settings = aState.settings_;
  if (aSource != aState.source_) {
    aState.source_ = aSource;
    aState.open_ = false;
    aState.unanswered_ = 0;
    aState.missed_ = 0;
    aState.followingSource_ = aState.followingSource_ && aSource.has_value();
  }
  if (!aSource) {
    return std::nullopt;
  }
  if (aState.open_ && aNow - aState.asked_ >= settings.answerTime_) {
    NoteUnanswered(aState);
  } else if (aState.open_ || aNow - aState.asked_ < settings.askInterval_) {
    return std::nullopt;
  }
  ++aState.nonce_;
  aState.open_ = true;
  aState.asked_ = aNow;
  aState.suspended_ = aSuspended;
  return FeedQuestion{ aState.nonce_, aOwn };
}

FeedAnswerResult ApplyFeedAnswer(StoreFeedState& aState,
                                 const FeedAnswer& aAnswer,
                                 const RowVersions& aOwn,
                                 TimePoint aNow,
                                 Duration aSuspended)
{
  FeedAnswerResult step;
  if (!aState.open_ || aAnswer.nonce_ != aState.nonce_) {
    return step;
  }
  aState.open_ = false;
  aState.unanswered_ = 0;
  // Counted from before the question was sent, so that the way of the answer and a suspension make
  // the proof look older, never younger.
  const Duration way = (aNow - aState.asked_) + (aSuspended - aState.suspended_);
  const auto age = [&](std::uint64_t aMs) {
    return way + milliseconds(static_cast<std::int64_t>(std::min(aMs, kMaxProofAgeMs + 1)));
  };
  const bool isSource = age(aAnswer.answerAgeMs_) <= aState.settings_.oldestAnswer_;
  const bool lacksConfig = aAnswer.newest_.config_ > aOwn.config_;
  const bool lacksHosts = aAnswer.newest_.hosts_ > aOwn.hosts_;
  aState.missed_ = lacksConfig || lacksHosts ? aState.missed_ + 1 : 0;
  if (aState.missed_ >= aState.settings_.missedRows_) {
    aState.missed_ = 0;
    step.readConfig_ = lacksConfig;
    step.readHosts_ = lacksHosts;
  }
  aState.followingSource_ = isSource && (aState.followingSource_ || !lacksConfig);
  if (!lacksConfig && aAnswer.proofAgeMs_ <= kMaxProofAgeMs) {
    step.provedAt_ = aNow - age(aAnswer.proofAgeMs_);
  }
  return step;
}

void RecordFeedQuestion(StoreFeedState& aState, TimePoint aNow)
{
  aState.wasAsked_ = aNow;
}

bool IsFeedSource(const StoreFeedState& aState, TimePoint aNow)
{
  return aState.wasAsked_ != TimePoint{} && aNow - aState.wasAsked_ < aState.settings_.askedTime_;
}

} // namespace peridotquay
