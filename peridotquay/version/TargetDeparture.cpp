// Decides which departures are sent to which host.
#include "peridotquay/version/TargetDeparture.h"

#include "peridotquay/version/StoreRecall.h"

#include <algorithm>
#include <iterator>
#include <optional>

namespace peridotquay {

namespace {

// Departures held for one host. More of them within the retention aren't those of one target.
constexpr std::size_t kMaxHeldStarts = 16;

DepartedStart WithAge(const std::string& aStart, TimePoint aDepartedAt, TimePoint aNow)
{
  const auto age = std::chrono::ceil<milliseconds>(aNow - aDepartedAt).count();
  return { aStart, static_cast<std::uint64_t>(std::max<std::int64_t>(0, age)) };
}

/// Time of a departure by its age; empty if it has expired. Copies keep the age, so that hosts that
/// pass a departure to each other don't renew it.
std::optional<TimePoint> DepartureTime(const TargetDepartureState& aState,
                                       const DepartedStart& aDeparted,
                                       TimePoint aNow)
{
  const auto retentionMs =
    std::chrono::duration_cast<milliseconds>(aState.settings_.retention_).count();
  if (aDeparted.ageMs_ >= static_cast<std::uint64_t>(retentionMs)) {
    return std::nullopt;
  }
  return aNow - milliseconds(static_cast<std::int64_t>(aDeparted.ageMs_));
}

TargetDepartures DescribeHeld(const HeldDepartures& aHeld,
                              const HostId& aOwner,
                              const HostId& aSelf,
                              TimePoint aNow)
{
  TargetDepartures message{ aOwner, aSelf, {} };
  for (const auto& [start, departedAt] : aHeld.starts_) {
    message.starts_.push_back(WithAge(start, departedAt, aNow));
  }
  return message;
}

template<typename Entries, typename TimeOf>
void EraseExpired(Entries& aEntries, Duration aRetention, TimePoint aNow, TimeOf aTimeOf)
{
  std::erase_if(aEntries,
                [&](const auto& aEntry) { return aNow - aTimeOf(aEntry.second) > aRetention; });
}

/// Adds the transfers to holders that haven't confirmed.
void CollectCopies(TargetDepartureState& aState,
                   const StoredDeparture& aIsStored,
                   TimePoint aNow,
                   std::vector<std::pair<HostId, TargetDepartures>>& aDue)
{
  const TargetDepartureSettings& settings = aState.settings_;
  std::map<HostId, TargetDepartures> transfers;
  for (auto& [start, departure] : aState.own_) {
    if (!departure.mayBeCopied_ || aNow - departure.recordedAt_ < settings.storeTime_ ||
        aNow - departure.sentAt_ < settings.resendInterval_ || aIsStored(aState.self_, start)) {
      continue;
    }
    departure.sentAt_ = aNow;
    for (const HostId& holder : aState.holders_) {
      if (!departure.holders_.contains(holder)) {
        TargetDepartures& transfer = transfers[holder];
        transfer.host_ = aState.self_;
        transfer.sender_ = aState.self_;
        transfer.starts_.push_back(WithAge(start, departure.recordedAt_, aNow));
      }
    }
  }
  std::move(transfers.begin(), transfers.end(), std::back_inserter(aDue));
}

/// Adds the repetitions to hosts whose departures the store doesn't show.
void CollectRepetitions(TargetDepartureState& aState,
                        const StoredDeparture& aIsStored,
                        TimePoint aNow,
                        std::vector<std::pair<HostId, TargetDepartures>>& aDue)
{
  for (auto& [host, held] : aState.held_) {
    if (aNow - held.repeatedAt_ < aState.settings_.repeatInterval_) {
      continue;
    }
    TargetDepartures message = DescribeHeld(held, host, aState.self_, aNow);
    std::erase_if(message.starts_, [&, &owner = host](const DepartedStart& aDeparted) {
      return aIsStored(owner, aDeparted.start_);
    });
    if (!message.starts_.empty()) {
      held.repeatedAt_ = aNow;
      aDue.emplace_back(host, std::move(message));
    }
  }
}

} // namespace

void RecordDeparture(TargetDepartureState& aState,
                     const std::string& aStart,
                     bool aMayBeCopied,
                     TimePoint aNow)
{
  OwnDeparture departure;
  departure.recordedAt_ = aNow;
  departure.mayBeCopied_ = aMayBeCopied;
  aState.own_.try_emplace(aStart, std::move(departure));
}

void ForgetDeparture(TargetDepartureState& aState, const std::string& aStart)
{
  aState.own_.erase(aStart);
}

bool HasDeparted(const TargetDepartureState& aState, const std::string& aStart)
{
  return aState.own_.contains(aStart);
}

bool HasEnoughCopies(const TargetDepartureState& aState, const std::string& aStart)
{
  const auto departure = aState.own_.find(aStart);
  const std::size_t wanted = std::min(aState.settings_.minCopies_, aState.holders_.size());
  return departure != aState.own_.end() && wanted > 0 &&
         departure->second.holders_.size() >= wanted;
}

void ChooseHolders(TargetDepartureState& aState,
                   const std::vector<HostId>& aNear,
                   const std::vector<HostId>& aElsewhere)
{
  const TargetDepartureSettings& settings = aState.settings_;
  aState.holders_ = NextHosts(aState.self_, aNear, settings.maxNearHolders_);
  const std::size_t elsewhere = std::min(settings.maxHoldersElsewhere_, aElsewhere.size());
  std::copy_n(aElsewhere.begin(), elsewhere, std::back_inserter(aState.holders_));
}

std::vector<std::pair<HostId, TargetDepartures>>
CollectDueDepartures(TargetDepartureState& aState, const StoredDeparture& aIsStored, TimePoint aNow)
{
  const Duration retention = aState.settings_.retention_;
  EraseExpired(aState.own_, retention, aNow, [](const OwnDeparture& aDeparture) {
    return aDeparture.recordedAt_;
  });
  for (auto& [host, held] : aState.held_) {
    EraseExpired(held.starts_, retention, aNow, [](TimePoint aDepartedAt) { return aDepartedAt; });
  }
  std::erase_if(aState.held_, [](const auto& aEntry) { return aEntry.second.starts_.empty(); });
  std::vector<std::pair<HostId, TargetDepartures>> due;
  CollectCopies(aState, aIsStored, aNow, due);
  CollectRepetitions(aState, aIsStored, aNow, due);
  return due;
}

TargetDepartures HoldDepartures(TargetDepartureState& aState,
                                const TargetDepartures& aMessage,
                                TimePoint aNow)
{
  HeldDepartures& held = aState.held_[aMessage.host_];
  for (const DepartedStart& departed : aMessage.starts_) {
    const auto departedAt = DepartureTime(aState, departed, aNow);
    const bool hasRoom =
      held.starts_.contains(departed.start_) || held.starts_.size() < kMaxHeldStarts;
    if (departedAt && hasRoom) {
      held.starts_.try_emplace(departed.start_, *departedAt);
    }
  }
  held.repeatedAt_ = aNow;
  return DescribeHeld(held, aMessage.host_, aState.self_, aNow);
}

TargetDepartures DeparturesHeldFor(const TargetDepartureState& aState,
                                   const HostId& aHost,
                                   TimePoint aNow)
{
  const auto held = aState.held_.find(aHost);
  return DescribeHeld(
    held == aState.held_.end() ? HeldDepartures{} : held->second, aHost, aState.self_, aNow);
}

std::vector<std::string> ApplyHeldDepartures(TargetDepartureState& aState,
                                             const TargetDepartures& aMessage,
                                             TimePoint aNow)
{
  std::vector<std::string> unknown;
  for (const DepartedStart& departed : aMessage.starts_) {
    const auto departedAt = DepartureTime(aState, departed, aNow);
    if (!departedAt) {
      continue;
    }
    if (!HasDeparted(aState, departed.start_)) {
      RecordDeparture(aState, departed.start_, true, *departedAt);
      unknown.push_back(departed.start_);
    }
    aState.own_[departed.start_].holders_.insert(aMessage.sender_);
  }
  return unknown;
}

} // namespace peridotquay
