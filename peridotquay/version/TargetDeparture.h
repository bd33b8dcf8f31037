// Keeps the departures of targets known beyond the process that was told of them. A host passes
// a departure that the platform's store hasn't taken yet to other hosts, the holders. They confirm
// it, and repeat it to the departed target's host until the store shows it, because that host's
// process may have been replaced meanwhile.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <functional>
#include <map>
#include <set>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotquay {

/// Intervals and limits of the replication of departures.
struct TargetDepartureSettings
{
  /// Time that the store has to take a departure before other hosts get copies. A sound store
  /// takes 10 ms, and 50 ms from another region.
  Duration storeTime_ = milliseconds(100);
  /// Time between two transfers to a holder that hasn't confirmed.
  Duration resendInterval_ = milliseconds(200);
  /// Time between two repetitions by a holder. A host takes no ready target into use before it has
  /// had the time for three of them (kDepartureRecallTime).
  Duration repeatInterval_ = milliseconds(300);
  /// A departure is forgotten this long after it was recorded first. Heartbeats arrive at most a
  /// few seconds late.
  Duration retention_ = seconds(60);
  /// Holders in the same data centre, those after this host in the order of ids. In addition, one
  /// host of each other data centre is asked, up to maxHoldersElsewhere_.
  std::size_t maxNearHolders_ = 3;
  std::size_t maxHoldersElsewhere_ = 2;
  /// Holders that must have confirmed before a departure may be acknowledged: two hosts may be
  /// lost at once.
  std::size_t minCopies_ = 2;
  bool operator==(const TargetDepartureSettings&) const = default;
};

/// A process that has just started takes no ready target into use before the hosts that it asked
/// have told which departures they hold (StoreRecall.h). If it can't ask, because it has read
/// nothing from the store, it waits this long for their repetitions.
inline constexpr Duration kDepartureRecallTime = milliseconds(1000);

/// A departure of the local target.
struct OwnDeparture
{
  TimePoint recordedAt_{};
  TimePoint sentAt_{}; ///< Of the last transfer to holders; zero before the first one.
  /// Whether holders may get it. False if the target doesn't state its start time: a later start
  /// with the same id would be taken for the one that departed.
  bool mayBeCopied_ = true;
  std::set<HostId> holders_; ///< Hosts that have confirmed it.
};

/// Departures of the target of another host, which that host asked this one to hold.
struct HeldDepartures
{
  std::map<std::string, TimePoint> starts_; ///< When each one departed.
  TimePoint repeatedAt_{};                  ///< When they were last sent to that host.
};

/// Departures that one host knows. Changed only by the functions below.
struct TargetDepartureState
{
  TargetDepartureSettings settings_;
  HostId self_;
  std::map<std::string, OwnDeparture> own_; ///< By name of the target's start.
  std::map<HostId, HeldDepartures> held_;   ///< By host of the target, never this one.
  std::vector<HostId> holders_;             ///< Hosts that are asked to hold departures now.
};

/// Whether the store shows that a start of a host's target has departed.
using StoredDeparture = std::function<bool(const HostId&, std::string_view aStart)>;

/// Records that a start of the local target has departed. No effect if that is known.
void RecordDeparture(TargetDepartureState& aState,
                     const std::string& aStart,
                     bool aMayBeCopied,
                     TimePoint aNow);

/// Forgets a departure of the local target.
void ForgetDeparture(TargetDepartureState& aState, const std::string& aStart);

/// Whether a start of the local target is known to have departed.
bool HasDeparted(const TargetDepartureState& aState, const std::string& aStart);

/// Whether enough other hosts hold a departure of the local target. It then outlives this process.
bool HasEnoughCopies(const TargetDepartureState& aState, const std::string& aStart);

/// Chooses the holders. aNear: live hosts of the data centre in the order of ids, without this one;
/// aElsewhere: live hosts of other data centres, nearest first.
void ChooseHolders(TargetDepartureState& aState,
                   const std::vector<HostId>& aNear,
                   const std::vector<HostId>& aElsewhere);

/// Returns the transfers and repetitions that are due and removes expired departures. Called every
/// 100 ms.
std::vector<std::pair<HostId, TargetDepartures>> CollectDueDepartures(
  TargetDepartureState& aState,
  const StoredDeparture& aIsStored,
  TimePoint aNow);

/// Records departures of another host's target and returns all that are held for that host.
TargetDepartures HoldDepartures(TargetDepartureState& aState,
                                const TargetDepartures& aMessage,
                                TimePoint aNow);

/// The departures that are held for a host.
TargetDepartures DeparturesHeldFor(const TargetDepartureState& aState,
                                   const HostId& aHost,
                                   TimePoint aNow);

/// Applies a confirmation or repetition by a holder. Returns the starts that this host didn't know
/// to have departed.
std::vector<std::string> ApplyHeldDepartures(TargetDepartureState& aState,
                                             const TargetDepartures& aMessage,
                                             TimePoint aNow);

} // namespace peridotquay
