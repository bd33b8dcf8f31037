// Chooses the source, and decides when to ask it and when to follow it instead of reading the
// store.
#include "peridotquay/version/StoreFeed.h"

#include <algorithm>

namespace peridotquay {

namespace {

bool IsPaused(const StoreFeedState& aState, const HostId& aHost, TimePoint aNow)
{
  const auto failures = aState.failures_.find(aHost);
  return failures != aState.failures_.end() && aNow < failures->second.pausedUntil_;
}

bool IsElsewhere(const FeedCandidates& aCandidates, const HostId& aHost)
{
  const auto& hosts = aCandidates.elsewhere_;
  return std::find(hosts.begin(), hosts.end(), aHost) != hosts.end();
}

/// Hosts that this one may ask, in the order of preference.
std::vector<HostId> EligibleSources(const StoreFeedState& aState, const FeedCandidates& aCandidates)
{
  std::vector<HostId> hosts = aCandidates.others_;
  if (aCandidates.storeAnswersSelf_) {
    hosts.resize(HostsBeforeSelf(aCandidates));
    return hosts;
  }
  if (HostsBeforeSelf(aCandidates) < aState.settings_.maxRelays_) {
    hosts.insert(hosts.end(), aCandidates.elsewhere_.begin(), aCandidates.elsewhere_.end());
  }
  return hosts;
}

/// The first eligible host that isn't paused. If all are paused, one of the first ones and of those
/// elsewhere: the one whose last failure is the oldest.
std::optional<HostId> ChooseSource(const StoreFeedState& aState,
                                   const FeedCandidates& aCandidates,
                                   const std::vector<HostId>& aEligible,
                                   TimePoint aNow)
{
  const auto usable = std::find_if(aEligible.begin(), aEligible.end(), [&](const HostId& aHost) {
    return !IsPaused(aState, aHost, aNow);
  });
  if (usable != aEligible.end()) {
    return *usable;
  }
  std::optional<HostId> oldest;
  for (std::size_t i = 0; i < aEligible.size(); ++i) {
    const HostId& host = aEligible[i];
    const bool isAsked = i < aState.settings_.maxAskedInTurn_ || IsElsewhere(aCandidates, host);
    if (isAsked &&
        (!oldest || aState.failures_.at(host).failedAt_ < aState.failures_.at(*oldest).failedAt_)) {
      oldest = host;
    }
  }
  return oldest;
}

/// Excludes the source from the choice for a while, unless it is excluded already.
void PauseSource(StoreFeedState& aState, TimePoint aNow)
{
  const StoreFeedSettings& settings = aState.settings_;
  SourceFailures& failures = aState.failures_[*aState.source_];
  failures.failedAt_ = aNow;
  if (IsPaused(aState, *aState.source_, aNow)) {
    return;
  }
  Duration pause = settings.firstSourcePause_;
  for (std::uint32_t i = 0; i < failures.count_ && pause < settings.maxSourcePause_; ++i) {
    pause *= 2;
  }
  ++failures.count_;
  failures.pausedUntil_ = aNow + std::min(pause, settings.maxSourcePause_);
}

void BeginSearch(StoreFeedState& aState, TimePoint aNow)
{
  if (!aState.searchingSince_) {
    aState.searchingSince_ = aNow;
  }
}

/// Finds failures of the source since the last tick.
void CheckSource(StoreFeedState& aState, TimePoint aNow)
{
  const StoreFeedSettings& settings = aState.settings_;
  if (aState.queryPending_ && aNow - aState.querySentAt_ >= settings.answerTimeout_) {
    aState.queryPending_ = false;
    ++aState.unanswered_;
  }
  const bool isSilent = aState.unanswered_ >= settings.maxUnanswered_;
  const Duration patience =
    aState.source_ == aState.lastUsableSource_ ? Duration::zero() : settings.sourceStartTimeout_;
  const bool isUnusable =
    aState.sourceUnusableSince_ && aNow - *aState.sourceUnusableSince_ >= patience;
  if (aState.source_ && (isSilent || isUnusable)) {
    PauseSource(aState, aNow);
    BeginSearch(aState, aNow);
  }
}

void SetSource(StoreFeedState& aState, const std::optional<HostId>& aSource)
{
  if (aSource == aState.source_) {
    return;
  }
  aState.source_ = aSource;
  aState.queryPending_ = false;
  // A new source is asked at once.
  aState.querySentAt_ = {};
  aState.unanswered_ = 0;
  aState.answersWithMissingRows_ = 0;
  aState.sourceUnusableSince_.reset();
}

} // namespace

std::size_t HostsBeforeSelf(const FeedCandidates& aCandidates)
{
  const auto& hosts = aCandidates.others_;
  return static_cast<std::size_t>(std::lower_bound(hosts.begin(), hosts.end(), aCandidates.self_) -
                                  hosts.begin());
}

std::optional<FeedQuery> CollectDueQuery(StoreFeedState& aState,
                                         const FeedCandidates& aCandidates,
                                         const RowPositions& aHeld,
                                         TimePoint aNow,
                                         Duration aSuspended)
{
  const StoreFeedSettings& settings = aState.settings_;
  CheckSource(aState, aNow);
  const std::vector<HostId> eligible = EligibleSources(aState, aCandidates);
  SetSource(aState, ChooseSource(aState, aCandidates, eligible, aNow));
  aState.sourceIsElsewhere_ = aState.source_ && IsElsewhere(aCandidates, *aState.source_);
  aState.hasOtherSource_ = std::any_of(eligible.begin(), eligible.end(), [&](const HostId& aHost) {
    return aHost != aState.source_ && !IsPaused(aState, aHost, aNow);
  });
  const bool searchFailed = aState.searchingSince_ &&
                            aNow - *aState.searchingSince_ >= settings.searchTimeout_ &&
                            HostsBeforeSelf(aCandidates) < settings.maxSearchingReaders_;
  if (!aState.source_ || searchFailed || IsPaused(aState, *aState.source_, aNow)) {
    aState.followingSource_ = false;
  }
  if (!aState.source_ || aState.queryPending_) {
    return std::nullopt;
  }
  const bool isFailing = aState.sourceUnusableSince_.has_value() || aState.unanswered_ > 0;
  const bool asksAgainSoon = isFailing && !IsPaused(aState, *aState.source_, aNow);
  const Duration interval =
    aState.sourceIsElsewhere_ ? settings.relayQueryInterval_ : settings.queryInterval_;
  if (!asksAgainSoon && aState.querySentAt_ != TimePoint{} &&
      aNow - aState.querySentAt_ < interval) {
    return std::nullopt;
  }
  ++aState.nonce_;
  aState.queryPending_ = true;
  aState.querySentAt_ = aNow;
  aState.suspendedWhenSent_ = aSuspended;
  return FeedQuery{ aState.nonce_, aHeld };
}

bool NeedsDocument(const RowPositions& aHeld, const RowPositions& aOther)
{
  return aOther.config_ > aHeld.config_ ||
         (aHeld.era_ != 0 && aOther.documentVersion_ > aHeld.documentVersion_);
}

FeedAnswerResult ApplyFeedAnswer(StoreFeedState& aState,
                                 const FeedAnswer& aAnswer,
                                 const RowPositions& aHeld,
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
  const bool lacksConfig = NeedsDocument(aHeld, aAnswer.newest_);
  const bool lacksHosts = aAnswer.newest_.hosts_ > aHeld.hosts_;
  aState.answersWithMissingRows_ =
    lacksConfig || lacksHosts ? aState.answersWithMissingRows_ + 1 : 0;
  if (aState.answersWithMissingRows_ >= aState.settings_.maxAnswersWithMissingRows_) {
    aState.answersWithMissingRows_ = 0;
    result.readConfig_ = lacksConfig;
    result.readHosts_ = lacksHosts;
  }
  if (storeAnsweredSource) {
    aState.lastUsableSource_ = aState.source_;
    aState.sourceUnusableSince_.reset();
    aState.searchingSince_.reset();
    aState.failures_.erase(*aState.source_);
    aState.followingSource_ = aState.followingSource_ || !lacksConfig;
    if (aState.sourceIsElsewhere_) {
      aState.relayedAnswerAt_ = aNow - age(aAnswer.answerAgeMs_);
      aState.suspendedAtRelayedAnswer_ = aSuspended;
    }
  } else {
    if (!aState.sourceUnusableSince_) {
      aState.sourceUnusableSince_ = aNow;
    }
    BeginSearch(aState, aNow);
    // After a long suspension nothing is known of the source, so its followers don't wait.
    const bool hasAlternative =
      aState.hasOtherSource_ || aState.source_ != aState.lastUsableSource_;
    if (!hasAlternative || elapsed > aState.settings_.maxStoreAnswerAge_) {
      aState.followingSource_ = false;
    }
  }
  const bool sourceHasNewerRow = aAnswer.newest_.config_ > aHeld.config_;
  result.sendDocument_ = !sourceHasNewerRow && aAnswer.newest_.era_ != 0 &&
                         aAnswer.newest_.documentVersion_ < aHeld.documentVersion_;
  // A source that hasn't seen the store go back proves nothing about the store's content since.
  const bool knowsEra = aAnswer.newest_.era_ >= aHeld.era_;
  if (!lacksConfig && knowsEra && aAnswer.freshnessAgeMs_ <= kMaxFreshnessAgeMs) {
    result.freshAt_ = aNow - age(aAnswer.freshnessAgeMs_);
  }
  return result;
}

std::string_view SourceChangeReason(const StoreFeedState& aState)
{
  if (aState.unanswered_ > 0) {
    return "silent";
  }
  return aState.sourceUnusableSince_ ? "stale" : "preferred";
}

std::optional<Duration> RelayedAnswerAge(const StoreFeedState& aState,
                                         TimePoint aNow,
                                         Duration aSuspended)
{
  if (!aState.sourceIsElsewhere_ || !aState.relayedAnswerAt_) {
    return std::nullopt;
  }
  return aNow - *aState.relayedAnswerAt_ + (aSuspended - aState.suspendedAtRelayedAnswer_);
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
