// Estimates the tokens that are left for all hosts, and this host's share of them.
#include "peridotquay/request/RateShare.h"

#include <algorithm>
#include <cmath>
#include <limits>
#include <utility>

namespace peridotquay {

namespace {

/// Time constant of the moving average of requested tokens.
constexpr double kDemandTimeConstantSeconds = 2.0;

/// Every host's demand counts as at least this fraction of the mean, so that a host whose demand
/// begins has a share immediately.
constexpr double kMinDemandFraction = 0.1;

/// A host's credit may always reach this while the account has tokens left, so that two
/// simultaneous requests of a small account are served.
constexpr double kMinCredit = 2;

/// Maximum number of reports in one datagram.
constexpr std::size_t kMaxReportsPerDatagram = 8;

/// Weight of the previous rate in the moving average of a host's use.
constexpr double kPreviousRateWeight = 0.6;

/// Every report whose sequence is a multiple of this names all accounts with use.
constexpr std::uint64_t kFullReportInterval = 8;

/// An assumed use below this many tokens per second is dropped.
constexpr double kMinAssumedPerSecond = 0.05;

/// A rate is computed over at least this time, because it is inaccurate between reports that follow
/// each other closely.
constexpr double kMinRateSeconds = 0.1;

/// Bounds of the retry hint.
constexpr double kMinRetryMs = 20;
constexpr double kMaxRetryMs = 2000;

/// Whether this host is cut off: it received no report of any host for isolationTimeout_, or longer
/// in a small fleet. A host that is cut off alone detects it this way before the others count as
/// silent one by one.
bool IsIsolated(const RateShareState& aState, TimePoint aNow)
{
  const RateShareSettings& settings = aState.settings_;
  const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(1, aState.hosts_.size()));
  return aNow - aState.lastReceivedAt_ >
         std::max<Duration>(settings.isolationTimeout_, 2 * settings.silenceTimeout_ / hosts);
}

/// Fraction of all hosts that aren't silent, this one included. Silent hosts keep an equal share.
double ActiveFraction(const RateShareState& aState)
{
  const double all = static_cast<double>(aState.hosts_.size()) + 1;
  return (1 + static_cast<double>(aState.activeHosts_)) / all;
}

/// This host's fraction of the demand of all hosts that aren't silent.
double DemandFraction(const RateShareState& aState, const AccountShare& aAccount)
{
  const double hosts = 1 + static_cast<double>(aState.activeHosts_);
  const double total = aAccount.demandPerSecond_ + aAccount.peerUsePerSecond_;
  const double minDemand = kMinDemandFraction * total / hosts + 1e-6;
  return (aAccount.demandPerSecond_ + minDemand) / (total + minDemand * hosts);
}

/// Tokens that this host may grant before it knows what others granted: its share of the tokens
/// that are left and of the allowed overshoot. The sum over all hosts is at most both together.
double MaxCredit(const RateShareState& aState, const AccountShare& aAccount, double aFraction)
{
  const RateShareSettings& settings = aState.settings_;
  const double overshoot =
    settings.overshootFraction_ * (settings.overshootSeconds_ * aAccount.rate_ + aAccount.burst_) +
    settings.overshootRequests_;
  const double hosts = static_cast<double>(aState.hosts_.size()) + 1;
  return std::max(0.0, aAccount.level_) * aFraction + overshoot / hosts;
}

/// Time since the last update in which this host earned credit. It ends creditPeriod_ after the
/// last report of another host: this host may be cut off, and then the others can't know what it
/// grants.
double EarningSeconds(const RateShareState& aState, const AccountShare& aAccount, TimePoint aNow)
{
  const TimePoint end = aState.activeHosts_ == 0
                          ? aNow
                          : std::min(aNow, aState.lastReceivedAt_ + aState.settings_.creditPeriod_);
  return std::max(0.0, ToSeconds(end - aAccount.updatedAt_));
}

/// Advances the account to aNow: refill, assumed use of other hosts, credit of this host.
void Advance(const RateShareState& aState, AccountShare& aAccount, TimePoint aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - aAccount.updatedAt_));
  const double earning = EarningSeconds(aState, aAccount, aNow);
  aAccount.updatedAt_ = std::max(aAccount.updatedAt_, aNow);
  const double active = ActiveFraction(aState);
  aAccount.level_ += (aAccount.rate_ * active - aAccount.peerUsePerSecond_) * elapsed;
  aAccount.level_ = std::min(aAccount.level_, aAccount.burst_ * active);
  aAccount.demandPerSecond_ *= std::exp(-elapsed / kDemandTimeConstantSeconds);
  const double maxCredit =
    std::max(kMinCredit, MaxCredit(aState, aAccount, DemandFraction(aState, aAccount)));
  aAccount.credit_ = std::min(
    aAccount.credit_ + maxCredit * earning / ToSeconds(aState.settings_.spreadPeriod_), maxCredit);
}

void AdvanceAll(RateShareState& aState, TimePoint aNow)
{
  for (auto& [id, share] : aState.accounts_) {
    Advance(aState, share, aNow);
  }
}

/// Marks a host as silent: its use is no longer assumed to continue. What was assumed until aNow
/// stays counted.
void StopAssumingUse(RateShareState& aState, SharePeer& aPeer, TimePoint aNow)
{
  for (auto& [id, use] : aPeer.uses_) {
    const auto account = aState.accounts_.find(id);
    if (account != aState.accounts_.end()) {
      account->second.peerUsePerSecond_ =
        std::max(0.0, account->second.peerUsePerSecond_ - use.usePerSecond_);
    }
    use.used_ += use.usePerSecond_ * std::max(0.0, ToSeconds(aNow - use.assumedSince_));
    use.usePerSecond_ = 0;
    use.assumedSince_ = aNow;
  }
  aPeer.silent_ = true;
  --aState.activeHosts_;
}

/// Marks hosts that sent no report for silenceTimeout_ as silent, or all if this host is cut off.
void MarkSilentHosts(RateShareState& aState, TimePoint aNow)
{
  const bool isolated = IsIsolated(aState, aNow);
  bool advanced = false;
  for (auto& [host, peer] : aState.peers_) {
    const bool silent = isolated || aNow - peer.lastReceivedAt_ > aState.settings_.silenceTimeout_;
    if (!silent || peer.silent_) {
      continue;
    }
    if (!advanced) {
      AdvanceAll(aState, aNow);
      advanced = true;
    }
    StopAssumingUse(aState, peer, aNow);
  }
}

/// Returns the unused tokens of the grant whose use the request reports.
void ReturnUnusedTokens(RateShareState& aState, const ShareRequest& aRequest)
{
  const auto grant = aState.grants_.find(aRequest.grant_);
  if (grant == aState.grants_.end()) {
    return;
  }
  const double unused =
    std::clamp(grant->second.tokens_ - aRequest.used_, 0.0, grant->second.tokens_);
  const auto account = aState.accounts_.find(grant->second.account_);
  if (account != aState.accounts_.end()) {
    account->second.used_ -= unused;
    account->second.level_ += unused;
    account->second.credit_ += unused;
  }
  aState.grants_.erase(grant);
}

/// Whether another host's last report is recent enough for it to be a relay.
bool MayRelay(const RateShareState& aState, const HostId& aHost, TimePoint aNow)
{
  const auto peer = aState.peers_.find(aHost);
  const auto location = aState.hosts_.find(aHost);
  if (peer == aState.peers_.end() || location == aState.hosts_.end() ||
      peer->second.lastReceivedAt_ == TimePoint{}) {
    return false;
  }
  const bool near = location->second.region_ == aState.location_.region_;
  return aNow - peer->second.lastReceivedAt_ <=
         (near ? aState.settings_.nearRelayTimeout_ : aState.settings_.farRelayTimeout_);
}

/// The host that relays for this region, which is also a relay of its data centre; empty if this
/// host does.
std::optional<HostId> RegionRelay(const RateShareState& aState, TimePoint aNow)
{
  for (const auto& [host, location] : aState.hosts_) {
    if (host < aState.host_ && location.region_ == aState.location_.region_ &&
        MayRelay(aState, host, aNow)) {
      return host;
    }
  }
  return std::nullopt;
}

std::vector<HostId> HostsOfDataCentre(const RateShareState& aState)
{
  std::vector<HostId> hosts;
  for (const auto& [host, location] : aState.hosts_) {
    if (location == aState.location_) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

/// Hosts by data centre, or by region with an empty data centre.
using HostsByLocation = std::map<std::pair<RegionId, DataCentreId>, std::vector<HostId>>;

/// Selects the relay of each location: its first host with a recent report. Where there is none,
/// the searches alternate between the first host and each of the others in turn, because the first
/// may be down permanently.
std::vector<HostId> SelectRelays(const RateShareState& aState,
                                 const HostsByLocation& aHostsByLocation,
                                 std::uint64_t& aSearches,
                                 TimePoint aNow)
{
  std::vector<HostId> relays;
  ++aSearches;
  for (const auto& [location, hosts] : aHostsByLocation) {
    const auto relay = std::find_if(hosts.begin(), hosts.end(), [&](const HostId& aHost) {
      return MayRelay(aState, aHost, aNow);
    });
    const std::size_t next = aSearches % 2 == 0 ? 0 : aSearches / 2 % hosts.size();
    relays.push_back(relay != hosts.end() ? *relay : hosts[next]);
  }
  return relays;
}

/// Relays of the other data centres of the region.
std::vector<HostId> NearRelays(RateShareState& aState, TimePoint aNow)
{
  HostsByLocation hostsByLocation;
  for (const auto& [host, location] : aState.hosts_) {
    if (location.region_ == aState.location_.region_ &&
        location.dataCentre_ != aState.location_.dataCentre_) {
      hostsByLocation[{ location.region_, location.dataCentre_ }].push_back(host);
    }
  }
  return SelectRelays(aState, hostsByLocation, aState.nearRelaySearches_, aNow);
}

/// Relays of the other regions.
std::vector<HostId> FarRelays(RateShareState& aState, TimePoint aNow)
{
  HostsByLocation hostsByLocation;
  for (const auto& [host, location] : aState.hosts_) {
    if (location.region_ != aState.location_.region_) {
      hostsByLocation[{ location.region_, {} }].push_back(host);
    }
  }
  return SelectRelays(aState, hostsByLocation, aState.farRelaySearches_, aNow);
}

bool IsReportDue(const RateShareState& aState, TimePoint aNow)
{
  const Duration age = aNow - aState.reportedAt_;
  const bool useChanged =
    std::any_of(aState.accounts_.begin(), aState.accounts_.end(), [&](const auto& aEntry) {
      const AccountShare& share = aEntry.second;
      return std::abs(share.used_ - share.reported_) >=
             std::max(1.0, aState.settings_.reportFraction_ * share.burst_);
    });
  return age >= aState.settings_.idleReportInterval_ ||
         (useChanged && age >= aState.settings_.reportInterval_);
}

/// Makes the own report: accounts whose use changed, or every kFullReportInterval reports all
/// accounts with use, because reports may be lost.
RateReport MakeOwnReport(RateShareState& aState)
{
  const bool full = aState.sequence_ % kFullReportInterval == 0;
  RateReport report{ aState.host_, aState.incarnation_, aState.sequence_, {}, aState.ownLoad_ };
  for (auto& [id, share] : aState.accounts_) {
    if (share.used_ != share.reported_ || (full && share.used_ >= 1)) {
      report.uses_.push_back({ id, static_cast<std::uint64_t>(std::max(0.0, share.used_)) });
      share.reported_ = share.used_;
      share.changedInReport_ = aState.sequence_;
    }
  }
  return report;
}

/// Collects the reports to relay and marks them as relayed: the region's if aToOtherRegions,
/// otherwise those of the data centre, which go to the other data centres of the region.
std::vector<RateReport> TakeUnrelayedReports(RateShareState& aState,
                                             bool aToOtherRegions,
                                             TimePoint aNow)
{
  std::vector<RateReport> reports;
  std::uint64_t& ownRelayed = aToOtherRegions ? aState.ownRelayedFar_ : aState.ownRelayedNear_;
  if (aState.sequence_ > ownRelayed) {
    RateReport report{ aState.host_, aState.incarnation_, aState.sequence_, {}, aState.ownLoad_ };
    for (const auto& [id, share] : aState.accounts_) {
      if (share.changedInReport_ > ownRelayed) {
        report.uses_.push_back({ id, static_cast<std::uint64_t>(std::max(0.0, share.reported_)) });
      }
    }
    ownRelayed = aState.sequence_;
    reports.push_back(std::move(report));
  }
  for (auto& [host, peer] : aState.peers_) {
    const auto location = aState.hosts_.find(host);
    const bool isIncluded = location != aState.hosts_.end() &&
                            (aToOtherRegions ? location->second.region_ == aState.location_.region_
                                             : location->second == aState.location_);
    std::uint64_t& relayed = aToOtherRegions ? peer.relayedFar_ : peer.relayedNear_;
    if (!isIncluded || peer.silent_ || peer.sequence_ <= relayed) {
      continue;
    }
    RateReport report{ host, peer.incarnation_, peer.sequence_, {}, peer.load_ };
    if (report.load_) {
      // The load was measured when the host reported it, not when this host relays it.
      const auto held =
        std::chrono::duration_cast<milliseconds>(aNow - peer.lastReceivedAt_).count();
      constexpr std::uint64_t kMaxAge = std::numeric_limits<std::uint32_t>::max();
      report.load_->ageMs_ = static_cast<std::uint32_t>(std::min(
        kMaxAge,
        report.load_->ageMs_ + static_cast<std::uint64_t>(std::max<std::int64_t>(0, held))));
    }
    for (const auto& [id, use] : peer.uses_) {
      if (use.changedInReport_ > relayed) {
        report.uses_.push_back({ id, static_cast<std::uint64_t>(use.used_) });
      }
    }
    relayed = peer.sequence_;
    reports.push_back(std::move(report));
  }
  return reports;
}

/// Adds reports to aOutgoing, split by kMaxReportsPerDatagram.
void AddOutgoingReports(std::vector<OutgoingReports>& aOutgoing,
                        const HostId& aSender,
                        const std::vector<RateReport>& aReports,
                        const std::vector<HostId>& aTo)
{
  for (std::size_t first = 0; !aTo.empty() && first < aReports.size();
       first += kMaxReportsPerDatagram) {
    const auto begin = aReports.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end =
      aReports.begin() +
      static_cast<std::ptrdiff_t>(std::min(first + kMaxReportsPerDatagram, aReports.size()));
    aOutgoing.push_back({ { aSender, { begin, end } }, aTo });
  }
}

/// Applies the reported use of one account by a host. aElapsedSeconds is the time since the host's
/// previous report; 0 if there was none.
void ApplyUse(RateShareState& aState,
              SharePeer& aPeer,
              const AccountUse& aUse,
              double aElapsedSeconds,
              bool aWasSilent,
              TimePoint aNow)
{
  const auto account = aState.accounts_.find(aUse.account_);
  if (account == aState.accounts_.end()) {
    return;
  }
  AccountShare& share = account->second;
  Advance(aState, share, aNow);
  const bool unknown = !aPeer.allUsesKnown_ && !aPeer.uses_.contains(aUse.account_);
  PeerUse& known = aPeer.uses_[aUse.account_];
  const double assumed = known.usePerSecond_ * std::max(0.0, ToSeconds(aNow - known.assumedSince_));
  const double newUse = static_cast<double>(aUse.used_) - known.used_;
  known.used_ = static_cast<double>(aUse.used_);
  known.assumedSince_ = aNow;
  known.changedInReport_ = aPeer.sequence_;
  // A first report may include use from before this host knew the other one, so it isn't counted.
  if (aElapsedSeconds <= 0 || unknown) {
    return;
  }
  share.level_ = std::min(share.level_ - newUse + assumed, share.burst_);
  const double rate = std::max(0.0, newUse) / std::max(aElapsedSeconds, kMinRateSeconds);
  const double previousRate = known.usePerSecond_;
  const double weight = aWasSilent ? 0 : kPreviousRateWeight;
  known.usePerSecond_ = weight * previousRate + (1 - weight) * rate;
  share.peerUsePerSecond_ =
    std::max(0.0, share.peerUsePerSecond_ + known.usePerSecond_ - previousRate);
}

/// Lowers the assumed use of accounts that a host's last report doesn't name: they weren't used.
void ApplyNoUse(RateShareState& aState, SharePeer& aPeer, TimePoint aNow)
{
  for (auto& [id, use] : aPeer.uses_) {
    if (use.changedInReport_ == aPeer.sequence_ || use.usePerSecond_ <= 0) {
      continue;
    }
    const auto account = aState.accounts_.find(id);
    if (account == aState.accounts_.end()) {
      continue;
    }
    AccountShare& share = account->second;
    Advance(aState, share, aNow);
    share.level_ = std::min(share.level_ + use.usePerSecond_ *
                                             std::max(0.0, ToSeconds(aNow - use.assumedSince_)),
                            share.burst_);
    use.assumedSince_ = aNow;
    const double previousRate = use.usePerSecond_;
    use.usePerSecond_ =
      previousRate < kMinAssumedPerSecond ? 0 : kPreviousRateWeight * previousRate;
    share.peerUsePerSecond_ =
      std::max(0.0, share.peerUsePerSecond_ + use.usePerSecond_ - previousRate);
  }
}

/// Keeps the newest load of each host, so that loads that nobody takes don't add up.
void AddReceivedLoad(RateShareState& aState, const ReceivedLoad& aLoad)
{
  const auto known =
    std::find_if(aState.receivedLoads_.begin(),
                 aState.receivedLoads_.end(),
                 [&](const ReceivedLoad& aKnown) { return aKnown.host_ == aLoad.host_; });
  if (known == aState.receivedLoads_.end()) {
    aState.receivedLoads_.push_back(aLoad);
  } else {
    *known = aLoad;
  }
}

/// Applies a report of another host; false if it is late, repeated or from an unknown host.
bool ApplyRateReport(RateShareState& aState, const RateReport& aReport, TimePoint aNow)
{
  if (!aState.hosts_.contains(aReport.host_)) {
    return false;
  }
  SharePeer& peer = aState.peers_[aReport.host_];
  // The incarnation is the wall clock at the start, which may be set back before a restart. A lower
  // one is therefore new if the known one has sent no report for as long as a silent host.
  const bool knownOneIsSilent = aNow - peer.lastReceivedAt_ > aState.settings_.silenceTimeout_;
  const bool isNewIncarnation = aReport.incarnation_ > peer.incarnation_ ||
                                (aReport.incarnation_ < peer.incarnation_ && knownOneIsSilent);
  if (!isNewIncarnation &&
      (aReport.incarnation_ < peer.incarnation_ || aReport.sequence_ <= peer.sequence_)) {
    return false;
  }
  const bool isFirstReport = peer.lastReceivedAt_ == TimePoint{};
  const double elapsed = isFirstReport ? 0 : std::max(1e-3, ToSeconds(aNow - peer.lastReceivedAt_));
  if (isNewIncarnation && !peer.silent_) {
    AdvanceAll(aState, aNow);
    StopAssumingUse(aState, peer, aNow);
  }
  if (isNewIncarnation) {
    peer.uses_.clear();
    peer.relayedNear_ = 0;
    peer.relayedFar_ = 0;
  }
  const bool wasSilent = peer.silent_;
  if (wasSilent) {
    AdvanceAll(aState, aNow);
    peer.silent_ = false;
    ++aState.activeHosts_;
  }
  peer.incarnation_ = aReport.incarnation_;
  peer.sequence_ = aReport.sequence_;
  peer.lastReceivedAt_ = aNow;
  aState.lastReceivedAt_ = aNow;
  peer.load_ = aReport.load_;
  if (aReport.load_) {
    AddReceivedLoad(aState,
                    { aReport.host_,
                      aReport.incarnation_,
                      *aReport.load_,
                      aNow - milliseconds(aReport.load_->ageMs_) });
  }
  // The first report after a start names all use since the start.
  peer.allUsesKnown_ = isNewIncarnation ? aReport.sequence_ <= 1 : peer.allUsesKnown_;
  for (const AccountUse& use : aReport.uses_) {
    ApplyUse(aState, peer, use, elapsed, wasSilent, aNow);
  }
  ApplyNoUse(aState, peer, aNow);
  peer.allUsesKnown_ = peer.allUsesKnown_ || aReport.sequence_ % kFullReportInterval == 0;
  if (aReport.sequence_ <= aState.settings_.startupReports_ &&
      aState.hosts_.at(aReport.host_) == aState.location_) {
    aState.startingHosts_.insert(aReport.host_);
  }
  return true;
}

} // namespace

void SetRateLimits(RateShareState& aState, const Config& aConfig, TimePoint aNow)
{
  if (aState.startedAt_ == TimePoint{}) {
    aState.startedAt_ = aNow;
  }
  std::erase_if(aState.accounts_, [&](const auto& aEntry) {
    return !aConfig.clientAccounts_.contains(aEntry.first);
  });
  for (const auto& [id, account] : aConfig.clientAccounts_) {
    const auto [entry, isNew] = aState.accounts_.try_emplace(id);
    AccountShare& share = entry->second;
    if (isNew) {
      // The use of the burst by other hosts isn't known, so the account begins without tokens.
      share.updatedAt_ = aNow;
    } else {
      Advance(aState, share, aNow);
    }
    share.rate_ = account.ratePerSecond_;
    share.burst_ = std::max(1.0, aState.settings_.burstFraction_ * account.burst_);
    share.level_ = std::min(share.level_, share.burst_);
    share.credit_ = std::min(share.credit_, std::max(kMinCredit, share.level_));
  }
}

void SetShareHosts(RateShareState& aState, std::map<HostId, HostLocation> aHosts, TimePoint aNow)
{
  aHosts.erase(aState.host_);
  AdvanceAll(aState, aNow);
  for (auto& [host, peer] : aState.peers_) {
    if (!aHosts.contains(host) && !peer.silent_) {
      StopAssumingUse(aState, peer, aNow);
    }
  }
  std::erase_if(aState.peers_, [&](const auto& aEntry) { return !aHosts.contains(aEntry.first); });
  aState.hosts_ = std::move(aHosts);
}

ShareGrant GrantTokens(RateShareState& aState, const ShareRequest& aRequest, TimePoint aNow)
{
  ReturnUnusedTokens(aState, aRequest);
  // Tokens of an expired grant count as used.
  std::erase_if(aState.grants_,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second.expiresAt_; });
  ShareGrant reply;
  reply.nonce_ = aRequest.nonce_;
  reply.clientAccount_ = aRequest.clientAccount_;
  const auto entry = aState.accounts_.find(aRequest.clientAccount_);
  if (entry == aState.accounts_.end() || aRequest.wanted_ < 1) {
    return reply;
  }
  AccountShare& account = entry->second;
  if (aState.activeHosts_ > 0 && IsIsolated(aState, aNow)) {
    MarkSilentHosts(aState, aNow);
  }
  Advance(aState, account, aNow);
  account.demandPerSecond_ += aRequest.wanted_ / kDemandTimeConstantSeconds;
  const double tokens = std::floor(std::min({ aRequest.wanted_, account.credit_, account.level_ }));
  if (tokens < 1) {
    const double fraction = DemandFraction(aState, account);
    const double waitMs = 1000 / std::max(1e-3, account.rate_ * fraction);
    reply.retryAfterMs_ = static_cast<std::uint32_t>(std::clamp(waitMs, kMinRetryMs, kMaxRetryMs));
    return reply;
  }
  account.credit_ -= tokens;
  account.level_ -= tokens;
  account.used_ += tokens;
  reply.grant_ = aState.nextGrant_++;
  reply.tokens_ = tokens;
  reply.lifetimeMs_ = static_cast<std::uint32_t>(
    std::chrono::duration_cast<milliseconds>(aState.settings_.grantLifetime_).count());
  aState.grants_[reply.grant_] = { entry->first, tokens, aNow + aState.settings_.grantLifetime_ };
  return reply;
}

std::vector<OutgoingReports> CollectDueReports(RateShareState& aState, TimePoint aNow)
{
  std::vector<OutgoingReports> outgoing;
  MarkSilentHosts(aState, aNow);
  if (IsReportDue(aState, aNow)) {
    aState.reportedAt_ = aNow;
    ++aState.sequence_;
    AddOutgoingReports(
      outgoing, aState.host_, { MakeOwnReport(aState) }, HostsOfDataCentre(aState));
  }
  if (aNow - aState.relayedNearAt_ >= aState.settings_.nearRelayInterval_ &&
      !DataCentreRelay(aState, aNow)) {
    aState.relayedNearAt_ = aNow;
    AddOutgoingReports(
      outgoing, aState.host_, TakeUnrelayedReports(aState, false, aNow), NearRelays(aState, aNow));
  }
  if (aNow - aState.relayedFarAt_ >= aState.settings_.farRelayInterval_ &&
      !RegionRelay(aState, aNow)) {
    aState.relayedFarAt_ = aNow;
    AddOutgoingReports(
      outgoing, aState.host_, TakeUnrelayedReports(aState, true, aNow), FarRelays(aState, aNow));
  }
  return outgoing;
}

std::map<HostId, RateLevels> CollectDueLevels(RateShareState& aState, TimePoint aNow)
{
  std::map<HostId, RateLevels> due;
  const std::set<HostId> startingHosts = std::move(aState.startingHosts_);
  aState.startingHosts_.clear();
  if (startingHosts.empty() || aState.startedAt_ == TimePoint{} ||
      aNow - aState.startedAt_ < aState.settings_.startupPeriod_ || IsIsolated(aState, aNow)) {
    return due;
  }
  AdvanceAll(aState, aNow);
  std::vector<AccountLevel> levels;
  for (const auto& [id, share] : aState.accounts_) {
    levels.push_back({ id, static_cast<std::uint64_t>(std::max(0.0, share.level_)) });
  }
  for (const HostId& host : startingHosts) {
    const SharePeer& peer = aState.peers_[host];
    due[host] = { peer.incarnation_, peer.sequence_, levels };
  }
  return due;
}

void ApplyRateLevels(RateShareState& aState, const RateLevels& aLevels, TimePoint aNow)
{
  const bool starting = aLevels.sequence_ <= aState.settings_.startupReports_ &&
                        aNow - aState.startedAt_ < aState.settings_.startupPeriod_;
  if (aLevels.incarnation_ != aState.incarnation_ || aLevels.sequence_ != aState.sequence_ ||
      !starting) {
    return;
  }
  for (const AccountLevel& level : aLevels.levels_) {
    const auto account = aState.accounts_.find(level.account_);
    if (account == aState.accounts_.end()) {
      continue;
    }
    AccountShare& share = account->second;
    Advance(aState, share, aNow);
    const double unreported = std::max(0.0, share.used_ - share.reported_);
    share.level_ = std::min(static_cast<double>(level.tokens_) - unreported,
                            share.burst_ * ActiveFraction(aState));
  }
}

std::optional<HostId> DataCentreRelay(const RateShareState& aState, TimePoint aNow)
{
  for (const auto& [host, location] : aState.hosts_) {
    if (host < aState.host_ && location == aState.location_ && MayRelay(aState, host, aNow)) {
      return host;
    }
  }
  return std::nullopt;
}

std::vector<HostId> ReportingHostsOfDataCentre(const RateShareState& aState, TimePoint aNow)
{
  std::vector<HostId> hosts = HostsOfDataCentre(aState);
  std::erase_if(hosts, [&](const HostId& aHost) {
    return aHost == aState.host_ || !MayRelay(aState, aHost, aNow);
  });
  return hosts;
}

std::vector<HostId> ReportingHostsElsewhere(const RateShareState& aState, TimePoint aNow)
{
  std::vector<HostId> hosts;
  std::set<DataCentreId> dataCentres{ aState.location_.dataCentre_ };
  for (const bool ownRegion : { true, false }) {
    for (const auto& [host, location] : aState.hosts_) {
      if ((location.region_ == aState.location_.region_) == ownRegion &&
          !dataCentres.contains(location.dataCentre_) && MayRelay(aState, host, aNow)) {
        dataCentres.insert(location.dataCentre_);
        hosts.push_back(host);
      }
    }
  }
  return hosts;
}

std::set<HostId> FindSilentHosts(const RateShareState& aState,
                                 Duration aTime,
                                 TimePoint aSince,
                                 TimePoint aNow)
{
  std::set<HostId> silentHosts;
  std::set<RegionId> activeRegions;
  for (const auto& [host, location] : aState.hosts_) {
    const auto peer = aState.peers_.find(host);
    const TimePoint lastReceivedAt =
      peer == aState.peers_.end() ? aSince : std::max(aSince, peer->second.lastReceivedAt_);
    if (aNow - lastReceivedAt > aTime) {
      silentHosts.insert(host);
    } else if (peer != aState.peers_.end() && !peer->second.silent_) {
      activeRegions.insert(location.region_);
    }
  }
  std::erase_if(silentHosts, [&](const HostId& aHost) {
    return !activeRegions.contains(aState.hosts_.at(aHost).region_);
  });
  return silentHosts;
}

std::vector<OutgoingReports> ApplyRateReports(RateShareState& aState,
                                              const RateReports& aReports,
                                              TimePoint aNow)
{
  std::vector<RateReport> otherCentreReports;
  std::vector<RateReport> otherRegionReports;
  for (const RateReport& report : aReports.reports_) {
    if (!ApplyRateReport(aState, report, aNow)) {
      continue;
    }
    const HostLocation& location = aState.hosts_.at(report.host_);
    if (location != aState.location_) {
      otherCentreReports.push_back(report);
    }
    if (location.region_ != aState.location_.region_) {
      otherRegionReports.push_back(report);
    }
  }
  const auto sender = aState.hosts_.find(aReports.sender_);
  const HostLocation from = sender == aState.hosts_.end() ? aState.location_ : sender->second;
  const auto dataCentreRelay = DataCentreRelay(aState, aNow);
  const auto regionRelay = RegionRelay(aState, aNow);
  std::vector<OutgoingReports> forwarded;
  if (!dataCentreRelay) {
    AddOutgoingReports(forwarded, aState.host_, otherCentreReports, HostsOfDataCentre(aState));
  }
  if (!regionRelay) {
    AddOutgoingReports(forwarded, aState.host_, otherRegionReports, NearRelays(aState, aNow));
  }
  // A sender in another location that doesn't know the relay of this one yet tries other hosts.
  if (from.region_ != aState.location_.region_ && regionRelay) {
    AddOutgoingReports(forwarded, aState.host_, otherRegionReports, { *regionRelay });
  } else if (from.region_ == aState.location_.region_ && from != aState.location_ &&
             dataCentreRelay) {
    AddOutgoingReports(forwarded, aState.host_, otherCentreReports, { *dataCentreRelay });
  }
  return forwarded;
}

std::vector<ReceivedLoad> TakeReceivedLoads(RateShareState& aState)
{
  return std::exchange(aState.receivedLoads_, {});
}

} // namespace peridotquay
