// Decides whom a starting process asks and how long it waits for answers.
#include "peridotquay/version/StoreRecall.h"

#include <algorithm>
#include <iterator>

namespace peridotquay {

namespace {

constexpr std::size_t kMaxNearAsked = 8;

// Hosts of each other data centre: the first ones, which relay between data centres and hold
// departures, and as many after the asking host's id, so that many hosts that start at once don't
// rely on the same ones.
constexpr std::size_t kMaxFirstAsked = 2;
constexpr std::size_t kMaxNextAsked = 2;

} // namespace

std::vector<HostId> NextHosts(const HostId& aSelf,
                              const std::vector<HostId>& aHosts,
                              std::size_t aMax)
{
  const auto next = std::upper_bound(aHosts.begin(), aHosts.end(), aSelf) - aHosts.begin();
  std::vector<HostId> hosts;
  for (std::size_t i = 0; i < std::min(aMax, aHosts.size()); ++i) {
    hosts.push_back(aHosts[(static_cast<std::size_t>(next) + i) % aHosts.size()]);
  }
  return hosts;
}

std::vector<HostId> HostsToRecallFrom(const HostId& aSelf,
                                      const std::vector<HostId>& aNear,
                                      const std::map<DataCentreId, std::vector<HostId>>& aElsewhere)
{
  std::vector<HostId> hosts = NextHosts(aSelf, aNear, kMaxNearAsked);
  for (const auto& [dataCentre, others] : aElsewhere) {
    const auto first = std::min(kMaxFirstAsked, others.size());
    hosts.insert(hosts.end(), others.begin(), std::next(others.begin(), static_cast<long>(first)));
    for (const HostId& host : NextHosts(aSelf, others, kMaxNextAsked)) {
      if (std::find(hosts.begin(), hosts.end(), host) == hosts.end()) {
        hosts.push_back(host);
      }
    }
  }
  return hosts;
}

void BeginRecall(StoreRecallState& aState, const std::vector<HostId>& aHosts, TimePoint aNow)
{
  aState.unanswered_ = { aHosts.begin(), aHosts.end() };
  aState.startedAt_ = aNow;
  aState.sentAt_ = {};
  aState.documentVersion_ = 0;
}

std::vector<HostId> CollectDueRecalls(StoreRecallState& aState, TimePoint aNow)
{
  if (aState.startedAt_ && aNow - *aState.startedAt_ >= aState.settings_.timeout_) {
    aState.unanswered_.clear();
  }
  if (aState.unanswered_.empty() || aNow - aState.sentAt_ < aState.settings_.resendInterval_) {
    return {};
  }
  aState.sentAt_ = aNow;
  return { aState.unanswered_.begin(), aState.unanswered_.end() };
}

void ApplyRecallAnswer(StoreRecallState& aState,
                       const HostId& aFrom,
                       std::uint64_t aDocumentVersion)
{
  aState.unanswered_.erase(aFrom);
  aState.documentVersion_ = std::max(aState.documentVersion_, aDocumentVersion);
}

bool IsRecallComplete(const StoreRecallState& aState)
{
  return aState.startedAt_ && aState.unanswered_.empty();
}

bool IsStoreTrusted(const StoreRecallState& aState, std::uint64_t aVersionInForce)
{
  return IsRecallComplete(aState) && aVersionInForce >= aState.documentVersion_;
}

bool IsDocumentOverdue(const StoreRecallState& aState,
                       std::uint64_t aVersionInForce,
                       TimePoint aNow)
{
  return aState.startedAt_ && aVersionInForce < aState.documentVersion_ &&
         aNow - *aState.startedAt_ >= aState.settings_.documentTimeout_;
}

} // namespace peridotquay
