// Distributed rate limiting without a leader: keeps client accounts within their rate and burst
// over all hosts. Hosts report to each other what they used, and each grants a share of the tokens
// that are left. Within a data centre every host reports to every other one; one host of it relays
// the reports to other data centres.
#pragma once

#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Config.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace peridotquay {

/// Intervals, timeouts and tolerances of distributed rate limiting.
struct RateShareSettings
{
  /// The tokens that are left are handed out over this time, so that use that isn't reported yet
  /// can't exceed them.
  Duration spreadPeriod_ = milliseconds(200);
  /// Use is reported after this time if it changed by at least reportFraction_ of the burst.
  Duration reportInterval_ = milliseconds(200);
  double reportFraction_ = 0.01;
  /// One host of a data centre relays its reports to the other data centres of the region, and one
  /// host of the region relays to other regions. Each relays at most once in its interval, because
  /// these links are paid by volume.
  Duration nearRelayInterval_ = milliseconds(100);
  Duration farRelayInterval_ = milliseconds(200);
  /// A relay of this region without a report for nearRelayTimeout_, or of another region for
  /// farRelayTimeout_, is replaced by the next host. Both are longer than idleReportInterval_ plus
  /// the relay intervals, and shorter than silenceTimeout_, so that the hosts behind a lost relay
  /// don't count as silent.
  Duration nearRelayTimeout_ = milliseconds(700);
  Duration farRelayTimeout_ = milliseconds(1100);
  /// The limit may be exceeded by overshootFraction_ of the tokens allowed in overshootSeconds_
  /// plus overshootRequests_. Divided among the hosts, this lets each grant a few requests
  /// immediately.
  double overshootFraction_ = 0.03;
  double overshootSeconds_ = 5;
  double overshootRequests_ = 4;
  /// Fraction of a burst that is handed out. The rest covers use that isn't known while hosts are
  /// cut off from each other.
  double burstFraction_ = 0.7;
  /// Maximum time between two reports. A report without use shows that the host is alive.
  Duration idleReportInterval_ = milliseconds(300);
  /// A host that sent no report for this long is assumed to use an equal share of all limits.
  Duration silenceTimeout_ = milliseconds(1500);
  /// A host that receives no reports for this long, or longer in a small fleet, assumes that it is
  /// cut off from all others.
  Duration isolationTimeout_ = milliseconds(330);
  /// A host earns credit for this long after the last report of any other host.
  Duration creditPeriod_ = milliseconds(150);
  Duration grantLifetime_ = milliseconds(1000);
  /// Number of reports after the start of a host that the others of its data centre answer with
  /// their levels. More than one, because a starting host learns of the others one by one.
  std::uint64_t startupReports_ = 5;
  /// A host that has run for this long knows the levels and sends them to starting hosts.
  Duration startupPeriod_ = milliseconds(3000);
  bool operator==(const RateShareSettings&) const = default;
};

/// Use of one account by one other host, as this host knows it.
struct PeerUse
{
  double used_ = 0;          ///< Tokens since the start of that host, from its last report.
  double usePerSecond_ = 0;  ///< Moving average over its reports, assumed until the next one.
  TimePoint assumedSince_{}; ///< Time from which usePerSecond_ is assumed without a report.
  std::uint64_t changedInReport_ = 0; ///< Sequence of the last report that named the account.
};

/// State of another host.
struct SharePeer
{
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0; ///< Sequence of its last report.
  TimePoint lastReceivedAt_{}; ///< When its last report was received.
  bool silent_ = true; ///< No use is assumed; it keeps an equal share of all limits instead.
  std::map<ClientAccountId, PeerUse> uses_;
  /// An account that isn't in uses_ wasn't used: this host received the peer's reports from its
  /// start on, or one that names all accounts with use.
  bool allUsesKnown_ = false;
  std::uint64_t relayedNear_ = 0;  ///< Sequence of its last report relayed within the region.
  std::uint64_t relayedFar_ = 0;   ///< Sequence of its last report relayed to other regions.
  std::optional<LoadReport> load_; ///< Load of its target in its last report.
};

/// Data centre and region of a host.
struct HostLocation
{
  DataCentreId dataCentre_;
  RegionId region_;
  bool operator==(const HostLocation&) const = default;
};

/// Limit of one account, and what this host knows of its use.
struct AccountShare
{
  double rate_ = 0;
  double burst_ = 0;
  double level_ = 0;    ///< Estimate of the tokens left for all hosts; at most burst_.
  double credit_ = 0;   ///< Tokens that this host may grant now; not negative.
  double used_ = 0;     ///< Tokens granted by this host since its start and not returned.
  double reported_ = 0; ///< Value of used_ in the last report that named the account.
  std::uint64_t changedInReport_ = 0; ///< Sequence of the last own report that named the account.
  double demandPerSecond_ = 0;        ///< Moving average of the tokens requested per second.
  /// Invariant: sum of PeerUse::usePerSecond_ over all hosts that aren't silent.
  double peerUsePerSecond_ = 0;
  TimePoint updatedAt_{};
};

/// A grant to this host's token cache whose use isn't known yet.
struct OpenGrant
{
  ClientAccountId account_;
  double tokens_ = 0;
  TimePoint expiresAt_{};
};

/// Load of another host's target, as it was reported.
struct ReceivedLoad
{
  HostId host_;
  Incarnation incarnation_ = 0;
  LoadReport report_;
  TimePoint measuredAt_{}; ///< By this host's clock; later by the time that messages travelled.
};

/// Rate limiting state of one host. Changed only through the functions below.
struct RateShareState
{
  RateShareSettings settings_;
  HostId host_;
  HostLocation location_;
  Incarnation incarnation_ = 0;
  std::map<ClientAccountId, AccountShare> accounts_;
  std::map<HostId, HostLocation> hosts_; ///< All other hosts.
  std::map<HostId, SharePeer> peers_;
  std::map<std::uint64_t, OpenGrant> grants_;
  std::uint64_t nextGrant_ = 1;
  TimePoint startedAt_{};          ///< When the first limits were set.
  std::set<HostId> startingHosts_; ///< Hosts of the data centre to which levels must be sent.
  std::size_t activeHosts_ = 0;    ///< Invariant: number of hosts in peers_ that aren't silent.
  std::uint64_t sequence_ = 0;     ///< Sequence of the last own report.
  TimePoint lastReceivedAt_{};     ///< When the last report of any other host was received.
  TimePoint reportedAt_{};
  TimePoint relayedNearAt_{};
  TimePoint relayedFarAt_{};
  std::uint64_t ownRelayedNear_ = 0; ///< Sequence of the last own report relayed within the region.
  std::uint64_t ownRelayedFar_ = 0;  ///< Sequence of the last own report relayed to other regions.
  /// Number of searches for relays; they select the host that is tried where none is known.
  std::uint64_t nearRelaySearches_ = 0;
  std::uint64_t farRelaySearches_ = 0;
  /// Present load of this host's target for its reports; set by the owner.
  std::optional<LoadReport> ownLoad_;
  std::vector<ReceivedLoad>
    receivedLoads_; ///< The newest load of each host since TakeReceivedLoads.
};

/// Reports and the hosts to which they must be sent.
struct OutgoingReports
{
  RateReports reports_;
  std::vector<HostId> to_;
};

/// Sets the limits of all accounts from a configuration. A lowered burst takes effect immediately.
void SetRateLimits(RateShareState& aState, const Config& aConfig, TimePoint aNow);

/// Sets the hosts that grant tokens; this host may be among them.
void SetShareHosts(RateShareState& aState, std::map<HostId, HostLocation> aHosts, TimePoint aNow);

/// Returns the unused tokens of the earlier grant that the request reports, then grants tokens or a
/// hint when to retry.
ShareGrant GrantTokens(RateShareState& aState, const ShareRequest& aRequest, TimePoint aNow);

/// Collects the reports that are due: the own one to the hosts of the data centre, and those that
/// this host relays to other data centres and regions. Called every 100 ms.
std::vector<OutgoingReports> CollectDueReports(RateShareState& aState, TimePoint aNow);

/// Hosts of the data centre that just started, each with the levels that must be sent to it.
std::map<HostId, RateLevels> CollectDueLevels(RateShareState& aState, TimePoint aNow);

/// Applies the levels that another host sent after this host's start. Without them a host begins
/// with empty bursts, which is necessary when all hosts start together and none knows what was
/// used.
void ApplyRateLevels(RateShareState& aState, const RateLevels& aLevels, TimePoint aNow);

/// The host that relays for this data centre; empty if this host does.
std::optional<HostId> DataCentreRelay(const RateShareState& aState, TimePoint aNow);

/// The other hosts of the data centre that sent a report recently, in the order of their ids.
std::vector<HostId> ReportingHostsOfDataCentre(const RateShareState& aState, TimePoint aNow);

/// The first host of each other data centre that reported recently; those of the own region come
/// first.
std::vector<HostId> ReportingHostsElsewhere(const RateShareState& aState, TimePoint aNow);

/// Other hosts that sent no report for aTime although others of their region did: they are down or
/// cut off. aSince counts as the last report of a host that sent none.
std::set<HostId> FindSilentHosts(const RateShareState& aState,
                                 Duration aTime,
                                 TimePoint aSince,
                                 TimePoint aNow);

/// Applies reports of other hosts. Late and repeated ones have no effect. Returns the reports that
/// this host must pass on in its data centre and region.
std::vector<OutgoingReports> ApplyRateReports(RateShareState& aState,
                                              const RateReports& aReports,
                                              TimePoint aNow);

/// Returns the loads of targets that the reports applied since the last call stated.
std::vector<ReceivedLoad> TakeReceivedLoads(RateShareState& aState);

} // namespace peridotquay
