// Holds client accounts to their rate and burst over all hosts without a leader: hosts report what
// they used to each other, and each takes its part of what all of them left. Within a data centre
// every host reports to every other; a relay carries the reports to other data centres.
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

/// Settings of the shares.
struct RateShareSettings
{
  /// What is left of a burst is handed out over this time, so that use that isn't reported yet
  /// can't exceed it.
  Duration spread_ = milliseconds(200);
  /// Use is reported after this time if it is more than reportPart_ of the burst.
  Duration reportInterval_ = milliseconds(200);
  double reportPart_ = 0.01;
  /// One host of a data centre relays its reports to the other data centres of the region, and one
  /// of the region to other regions, each at most this often: these links are paid by volume.
  Duration nearRelayInterval_ = milliseconds(100);
  Duration farRelayInterval_ = milliseconds(200);
  /// A relay of the region that isn't heard for so long is replaced by the next host; it is heard
  /// every idleReport_, with pauses of relays between. The same for other regions, which are
  /// farther. Both are less than silence_, so that the hosts behind a relay don't count as silent.
  Duration nearRelaySilence_ = milliseconds(700);
  Duration farRelaySilence_ = milliseconds(1100);
  /// What the limit may be exceeded by: a part of what is allowed in overshootSeconds_, and a
  /// number of requests. Divided among the hosts, it lets each take a few requests at once.
  double overshootPart_ = 0.03;
  double overshootSeconds_ = 5;
  double overshootRequests_ = 4;
  /// Part of a burst that is handed out; the rest covers use that is not known during a cut.
  double burstPart_ = 0.7;
  /// Longest time between two reports; one without use shows that the host is there.
  Duration idleReport_ = milliseconds(300);
  /// A host without a report for this long is taken to use its equal part.
  Duration silence_ = milliseconds(1500);
  /// A host that hears nobody for this long is taken to be cut off from all.
  Duration isolation_ = milliseconds(330);
  /// Credit is earned so long after any host was heard.
  Duration earnTime_ = milliseconds(150);
  Duration grantLifetime_ = milliseconds(1000);
  /// First reports of a host that just started; each is answered with levels, because it hears the
  /// other hosts one after the other.
  std::uint64_t newReports_ = 5;
  /// A host that has run for so long knows the levels.
  Duration settled_ = milliseconds(3000);
  bool operator==(const RateShareSettings&) const = default;
};

/// Use of one account by one other host.
struct PeerUse
{
  double used_ = 0;           ///< Since the start of that host, as it reported last.
  double perSecond_ = 0;      ///< Between its last reports; assumed to go on until the next one.
  TimePoint since_{};         ///< Since when perSecond_ is taken off the level without a report.
  std::uint64_t changed_ = 0; ///< Sequence of the report that changed it last.
};

/// Another host.
struct SharePeer
{
  Incarnation incarnation_ = 0;
  std::uint64_t sequence_ = 0; ///< Of its last report.
  TimePoint heard_{};
  bool silent_ = true; ///< Its use isn't assumed; it is taken to use its equal part.
  std::map<ClientAccountId, PeerUse> uses_;
  /// An account that isn't in uses_ wasn't used: this host heard the peer from its start on, or
  /// heard a report of all accounts.
  bool complete_ = false;
  std::uint64_t relayedNear_ = 0; ///< Sequence of its last report relayed within the region.
  std::uint64_t relayedFar_ = 0;  ///< The same to other regions.
};

/// Where a host is.
struct HostLocation
{
  DataCentreId dataCentre_;
  RegionId region_;
  bool operator==(const HostLocation&) const = default;
};

/// One account as this host sees it.
struct AccountShare
{
  double rate_ = 0;
  double burst_ = 0;
  double level_ = 0;  ///< Tokens that all hosts together have left; at most burst_.
  double credit_ = 0; ///< Tokens that this host may grant now; at least 0.
  double used_ = 0;   ///< Granted by this host and not given back, since its start.
  double reported_ = 0;
  std::uint64_t changed_ = 0; ///< Sequence of the own report that named it last.
  double demand_ = 0;         ///< Moving average of tokens wanted a second.
  double peersPerSecond_ = 0; ///< Invariant: sum of perSecond_ of all hosts that aren't silent.
  TimePoint updated_{};
};

/// A grant to this host's own cache whose use isn't known yet.
struct OpenGrant
{
  ClientAccountId account_;
  double tokens_ = 0;
  TimePoint expires_{};
};

/// State of one host. Changed only through the functions below.
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
  TimePoint started_{};        ///< When the first limits came.
  std::set<HostId> newcomers_; ///< Hosts of the data centre that must be told the levels.
  std::size_t heardHosts_ = 0; ///< Invariant: hosts in peers_ that aren't silent.
  std::uint64_t sequence_ = 0; ///< Of the last own report.
  TimePoint heard_{};          ///< When any other host was heard last.
  TimePoint reported_{};
  TimePoint relayedNear_{};
  TimePoint relayedFar_{};
  std::uint64_t ownRelayedNear_ = 0; ///< Sequence of the last own report relayed within the region.
  std::uint64_t ownRelayedFar_ = 0;  ///< The same to other regions.
  /// Times that relays were looked for; they choose among the hosts of a place without a known one.
  std::uint64_t nearRounds_ = 0;
  std::uint64_t farRounds_ = 0;
};

/// Reports and the hosts that must get them.
struct OutgoingReports
{
  RateReports reports_;
  std::vector<HostId> to_;
};

/// Takes the limits of a configuration. A lowered burst takes effect at once.
void SetRateLimits(RateShareState& aState, const Config& aConfig, TimePoint aNow);

/// Takes the other hosts that may grant tokens.
void SetShareHosts(RateShareState& aState, std::map<HostId, HostLocation> aHosts, TimePoint aNow);

/// Settles the use of an earlier grant and grants tokens, or says when to come back.
ShareGrant GrantTokens(RateShareState& aState, const ShareRequest& aRequest, TimePoint aNow);

/// Reports that are due: the own one to the hosts of the data centre, and what this host relays to
/// other data centres and regions. Call about every 100 ms.
std::vector<OutgoingReports> CollectDueReports(RateShareState& aState, TimePoint aNow);

/// Hosts of the data centre that just started, each with what this host must tell it.
std::map<HostId, RateLevels> CollectDueLevels(RateShareState& aState, TimePoint aNow);

/// Takes the levels after a start. Without them a host begins with empty bursts, as it must when
/// all hosts started at once and nobody knows what was used.
void ApplyRateLevels(RateShareState& aState, const RateLevels& aLevels, TimePoint aNow);

/// The host that relays for this data centre; empty if this host does.
std::optional<HostId> DataCentreRelay(const RateShareState& aState, TimePoint aNow);

/// Other hosts that weren't heard for the time although others of their region were: they are down
/// or cut off. A host that was never heard counts from aSince on.
std::set<HostId> FindSilentHosts(const RateShareState& aState,
                                 Duration aTime,
                                 TimePoint aSince,
                                 TimePoint aNow);

/// Takes reports of other hosts. Late and repeated ones have no effect. Returns what this host must
/// pass on to its data centre and region.
std::vector<OutgoingReports> ApplyRateReports(RateShareState& aState,
                                              const RateReports& aReports,
                                              TimePoint aNow);

} // namespace peridotquay
