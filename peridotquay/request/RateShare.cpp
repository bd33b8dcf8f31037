// Estimate of the tokens that all hosts have left, and this host's part of them.
#include "peridotquay/request/RateShare.h"

#include <algorithm>
#include <cmath>

namespace peridotquay {

namespace {

/// Time constant of the moving average of wanted tokens.
constexpr double kDemandSeconds = 2.0;

/// Every host's demand counts as at least this part of the mean, so that a host whose demand begins
/// has a share at once.
constexpr double kLeastDemandPart = 0.1;

/// Tokens that a host may always take at once while any are left, so that two requests of a small
/// account that come together are served.
constexpr double kLeastCredit = 2;

/// Reports in one datagram.
constexpr std::size_t kReportsAtOnce = 8;

/// Weight of the rate before a report in the moving average of a host's use.
constexpr double kSlowerRate = 0.6;

/// Each so many reports one names all accounts with use.
constexpr std::uint64_t kWholeReports = 8;

/// Below so many requests a second an assumed use is dropped.
constexpr double kNoRate = 0.05;

/// Reports that come closer together say little of the rate between them.
constexpr double kLeastRateSeconds = 0.1;

/// Bounds of the hint when to come back.
constexpr double kLeastRetryMs = 20;
constexpr double kLongestRetryMs = 2000;

/// Whether no host is heard although several should be. A host that is cut off alone notices it so
/// long before each of the others counts as silent.
bool IsIsolated(const RateShareState& aState, TimePoint aNow)
{
  const RateShareSettings& settings = aState.settings_;
  const auto hosts = static_cast<std::int64_t>(std::max<std::size_t>(1, aState.hosts_.size()));
  return aNow - aState.heard_ >
         std::max<Duration>(settings.isolation_, 2 * settings.silence_ / hosts);
}

/// Part of all hosts that this one hears, itself included. The others keep their equal part.
double HeardPart(const RateShareState& aState)
{
  const double all = static_cast<double>(aState.hosts_.size()) + 1;
  return (1 + static_cast<double>(aState.heardHosts_)) / all;
}

/// This host's part of the demand of all hosts that it hears.
double DemandPart(const RateShareState& aState, const AccountShare& aAccount)
{
  const double hosts = 1 + static_cast<double>(aState.heardHosts_);
  const double total = aAccount.demand_ + aAccount.peersPerSecond_;
  const double least = kLeastDemandPart * total / hosts + 1e-6;
  return (aAccount.demand_ + least) / (total + least * hosts);
}

/// Tokens that this host may take before it hears what others took: its part of what is left, and
/// of what the limit may be exceeded by. Over all hosts that is no more than both together.
double MostCredit(const RateShareState& aState, const AccountShare& aAccount, double aPart)
{
  const RateShareSettings& settings = aState.settings_;
  const double overshoot =
    settings.overshootPart_ * (settings.overshootSeconds_ * aAccount.rate_ + aAccount.burst_) +
    settings.overshootRequests_;
  const double hosts = static_cast<double>(aState.hosts_.size()) + 1;
  return std::max(0.0, aAccount.level_) * aPart + overshoot / hosts;
}

/// Time since the last update in which this host earned credit. A host that has heard nobody for a
/// moment may be cut off; then the others can't know what it takes.
double EarningSeconds(const RateShareState& aState, const AccountShare& aAccount, TimePoint aNow)
{
  const TimePoint end =
    aState.heardHosts_ == 0 ? aNow : std::min(aNow, aState.heard_ + aState.settings_.earnTime_);
  return std::max(0.0, ToSeconds(end - aAccount.updated_));
}

/// Moves the account to aNow: refill, assumed use of other hosts, credit of this host.
void Advance(const RateShareState& aState, AccountShare& aAccount, TimePoint aNow)
{
  const double elapsed = std::max(0.0, ToSeconds(aNow - aAccount.updated_));
  const double earning = EarningSeconds(aState, aAccount, aNow);
  aAccount.updated_ = std::max(aAccount.updated_, aNow);
  const double heard = HeardPart(aState);
  aAccount.level_ += (aAccount.rate_ * heard - aAccount.peersPerSecond_) * elapsed;
  aAccount.level_ = std::min(aAccount.level_, aAccount.burst_ * heard);
  aAccount.demand_ *= std::exp(-elapsed / kDemandSeconds);
  const double most =
    std::max(kLeastCredit, MostCredit(aState, aAccount, DemandPart(aState, aAccount)));
  aAccount.credit_ =
    std::min(aAccount.credit_ + most * earning / ToSeconds(aState.settings_.spread_), most);
}

void AdvanceAll(RateShareState& aState, TimePoint aNow)
{
  for (auto& [id, share] : aState.accounts_) {
    Advance(aState, share, aNow);
  }
}

/// Ends the assumption that a host goes on as it reported last. What was assumed stays counted.
void StopAssuming(RateShareState& aState, SharePeer& aPeer, TimePoint aNow)
{
  for (auto& [id, use] : aPeer.uses_) {
    const auto account = aState.accounts_.find(id);
    if (account != aState.accounts_.end()) {
      account->second.peersPerSecond_ =
        std::max(0.0, account->second.peersPerSecond_ - use.perSecond_);
    }
    use.used_ += use.perSecond_ * std::max(0.0, ToSeconds(aNow - use.since_));
    use.perSecond_ = 0;
    use.since_ = aNow;
  }
  aPeer.silent_ = true;
  --aState.heardHosts_;
}

/// Finds hosts that fell silent.
void UpdateSilence(RateShareState& aState, TimePoint aNow)
{
  const bool isolated = IsIsolated(aState, aNow);
  bool advanced = false;
  for (auto& [host, peer] : aState.peers_) {
    const bool silent = isolated || aNow - peer.heard_ > aState.settings_.silence_;
    if (!silent || peer.silent_) {
      continue;
    }
    if (!advanced) {
      AdvanceAll(aState, aNow);
      advanced = true;
    }
    StopAssuming(aState, peer, aNow);
  }
}

void SettleGrant(RateShareState& aState, const ShareRequest& aRequest)
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

/// Whether another host was heard lately enough to relay.
bool MayRelay(const RateShareState& aState, const HostId& aHost, TimePoint aNow)
{
  const auto peer = aState.peers_.find(aHost);
  const auto place = aState.hosts_.find(aHost);
  if (peer == aState.peers_.end() || place == aState.hosts_.end() ||
      peer->second.heard_ == TimePoint{}) {
    return false;
  }
  const bool near = place->second.region_ == aState.location_.region_;
  return aNow - peer->second.heard_ <=
         (near ? aState.settings_.nearRelaySilence_ : aState.settings_.farRelaySilence_);
}

/// The host that relays for this region, which is also a relay of its data centre; empty if this
/// host does.
std::optional<HostId> RegionRelay(const RateShareState& aState, TimePoint aNow)
{
  for (const auto& [host, place] : aState.hosts_) {
    if (host < aState.host_ && place.region_ == aState.location_.region_ &&
        MayRelay(aState, host, aNow)) {
      return host;
    }
  }
  return std::nullopt;
}

std::vector<HostId> HostsOfDataCentre(const RateShareState& aState)
{
  std::vector<HostId> hosts;
  for (const auto& [host, place] : aState.hosts_) {
    if (place == aState.location_) {
      hosts.push_back(host);
    }
  }
  return hosts;
}

/// Hosts by the place that they share.
using Places = std::map<std::pair<RegionId, DataCentreId>, std::vector<HostId>>;

/// The relay of each place: its first host that was heard lately. Of a place without one, its first
/// host and the others are tried by turns: the first may be down for good.
std::vector<HostId> RelaysOf(const RateShareState& aState,
                             const Places& aPlaces,
                             std::uint64_t& aRound,
                             TimePoint aNow)
{
  std::vector<HostId> relays;
  ++aRound;
  for (const auto& [place, hosts] : aPlaces) {
    const auto relay = std::find_if(hosts.begin(), hosts.end(), [&](const HostId& aHost) {
      return MayRelay(aState, aHost, aNow);
    });
    const std::size_t next = aRound % 2 == 0 ? 0 : aRound / 2 % hosts.size();
    relays.push_back(relay != hosts.end() ? *relay : hosts[next]);
  }
  return relays;
}

/// Relays of the other data centres of the region.
std::vector<HostId> NearRelays(RateShareState& aState, TimePoint aNow)
{
  Places places;
  for (const auto& [host, place] : aState.hosts_) {
    if (place.region_ == aState.location_.region_ &&
        place.dataCentre_ != aState.location_.dataCentre_) {
      places[{ place.region_, place.dataCentre_ }].push_back(host);
    }
  }
  return RelaysOf(aState, places, aState.nearRounds_, aNow);
}

/// Relays of the other regions.
std::vector<HostId> FarRelays(RateShareState& aState, TimePoint aNow)
{
  Places places;
  for (const auto& [host, place] : aState.hosts_) {
    if (place.region_ != aState.location_.region_) {
      places[{ place.region_, {} }].push_back(host);
    }
  }
  return RelaysOf(aState, places, aState.farRounds_, aNow);
}

bool IsReportDue(const RateShareState& aState, TimePoint aNow)
{
  const Duration age = aNow - aState.reported_;
  const bool used =
    std::any_of(aState.accounts_.begin(), aState.accounts_.end(), [&](const auto& aEntry) {
      const AccountShare& share = aEntry.second;
      return std::abs(share.used_ - share.reported_) >=
             std::max(1.0, aState.settings_.reportPart_ * share.burst_);
    });
  return age >= aState.settings_.idleReport_ || (used && age >= aState.settings_.reportInterval_);
}

/// The own report: accounts whose use changed, or all with use from time to time, because reports
/// may be lost.
RateReport OwnReport(RateShareState& aState)
{
  const bool whole = aState.sequence_ % kWholeReports == 0;
  RateReport report{ aState.host_, aState.incarnation_, aState.sequence_, {} };
  for (auto& [id, share] : aState.accounts_) {
    if (share.used_ != share.reported_ || (whole && share.used_ >= 1)) {
      report.uses_.push_back({ id, static_cast<std::uint64_t>(std::max(0.0, share.used_)) });
      share.reported_ = share.used_;
      share.changed_ = aState.sequence_;
    }
  }
  return report;
}

/// Reports of the data centre that weren't relayed within the region yet, or reports of the region
/// that weren't relayed to other regions.
std::vector<RateReport> NewReports(RateShareState& aState, bool aFar)
{
  std::vector<RateReport> reports;
  std::uint64_t& ownRelayed = aFar ? aState.ownRelayedFar_ : aState.ownRelayedNear_;
  if (aState.sequence_ > ownRelayed) {
    RateReport report{ aState.host_, aState.incarnation_, aState.sequence_, {} };
    for (const auto& [id, share] : aState.accounts_) {
      if (share.changed_ > ownRelayed) {
        report.uses_.push_back({ id, static_cast<std::uint64_t>(std::max(0.0, share.reported_)) });
      }
    }
    ownRelayed = aState.sequence_;
    reports.push_back(std::move(report));
  }
  for (auto& [host, peer] : aState.peers_) {
    const auto place = aState.hosts_.find(host);
    const bool ours =
      place != aState.hosts_.end() && (aFar ? place->second.region_ == aState.location_.region_
                                            : place->second == aState.location_);
    std::uint64_t& relayed = aFar ? peer.relayedFar_ : peer.relayedNear_;
    if (!ours || peer.silent_ || peer.sequence_ <= relayed) {
      continue;
    }
    RateReport report{ host, peer.incarnation_, peer.sequence_, {} };
    for (const auto& [id, use] : peer.uses_) {
      if (use.changed_ > relayed) {
        report.uses_.push_back({ id, static_cast<std::uint64_t>(use.used_) });
      }
    }
    relayed = peer.sequence_;
    reports.push_back(std::move(report));
  }
  return reports;
}

/// Adds reports to the steps, as many datagrams as they need.
void AddSteps(std::vector<OutgoingReports>& aSteps,
              const HostId& aSender,
              const std::vector<RateReport>& aReports,
              const std::vector<HostId>& aTo)
{
  for (std::size_t first = 0; !aTo.empty() && first < aReports.size(); first += kReportsAtOnce) {
    const auto begin = aReports.begin() + static_cast<std::ptrdiff_t>(first);
    const auto end = aReports.begin() +
                     static_cast<std::ptrdiff_t>(std::min(first + kReportsAtOnce, aReports.size()));
    aSteps.push_back({ { aSender, { begin, end } }, aTo });
  }
}

/// Takes what a host used of one account.
void NoteUse(RateShareState& aState,
             SharePeer& aPeer,
             const AccountUse& aUse,
             double aSeconds,
             bool aWasSilent,
             TimePoint aNow)
{
  const auto account = aState.accounts_.find(aUse.account_);
  if (account == aState.accounts_.end()) {
    return;
  }
  AccountShare& share = account->second;
  Advance(aState, share, aNow);
  const bool unknown = !aPeer.complete_ && !aPeer.uses_.contains(aUse.account_);
  PeerUse& known = aPeer.uses_[aUse.account_];
  const double assumed = known.perSecond_ * std::max(0.0, ToSeconds(aNow - known.since_));
  const double more = static_cast<double>(aUse.used_) - known.used_;
  known.used_ = static_cast<double>(aUse.used_);
  known.since_ = aNow;
  known.changed_ = aPeer.sequence_;
  // Use before this host heard of the other one is in the past.
  if (aSeconds <= 0 || unknown) {
    return;
  }
  share.level_ = std::min(share.level_ - more + assumed, share.burst_);
  const double rate = std::max(0.0, more) / std::max(aSeconds, kLeastRateSeconds);
  const double before = known.perSecond_;
  const double slower = aWasSilent ? 0 : kSlowerRate;
  known.perSecond_ = slower * before + (1 - slower) * rate;
  share.peersPerSecond_ = std::max(0.0, share.peersPerSecond_ + known.perSecond_ - before);
}

/// Lowers the assumed use of accounts that a report doesn't name: they weren't used.
void NoteUnused(RateShareState& aState, SharePeer& aPeer, TimePoint aNow)
{
  for (auto& [id, use] : aPeer.uses_) {
    if (use.changed_ == aPeer.sequence_ || use.perSecond_ <= 0) {
      continue;
    }
    const auto account = aState.accounts_.find(id);
    if (account == aState.accounts_.end()) {
      continue;
    }
    AccountShare& share = account->second;
    Advance(aState, share, aNow);
    share.level_ = std::min(
      share.level_ + use.perSecond_ * std::max(0.0, ToSeconds(aNow - use.since_)), share.burst_);
    use.since_ = aNow;
    const double before = use.perSecond_;
    use.perSecond_ = before < kNoRate ? 0 : kSlowerRate * before;
    share.peersPerSecond_ = std::max(0.0, share.peersPerSecond_ + use.perSecond_ - before);
  }
}

/// Takes what another host used; false if the report tells nothing new.
bool NoteReport(RateShareState& aState, const RateReport& aReport, TimePoint aNow)
{
  if (!aState.hosts_.contains(aReport.host_)) {
    return false;
  }
  SharePeer& peer = aState.peers_[aReport.host_];
  const bool newStart = aReport.incarnation_ > peer.incarnation_;
  if (aReport.incarnation_ < peer.incarnation_ ||
      (!newStart && aReport.sequence_ <= peer.sequence_)) {
    return false;
  }
  const bool first = peer.heard_ == TimePoint{};
  const double elapsed = first ? 0 : std::max(1e-3, ToSeconds(aNow - peer.heard_));
  if (newStart && !peer.silent_) {
    AdvanceAll(aState, aNow);
    StopAssuming(aState, peer, aNow);
  }
  if (newStart) {
    peer.uses_.clear();
    peer.relayedNear_ = 0;
    peer.relayedFar_ = 0;
  }
  const bool wasSilent = peer.silent_;
  if (wasSilent) {
    AdvanceAll(aState, aNow);
    peer.silent_ = false;
    ++aState.heardHosts_;
  }
  peer.incarnation_ = aReport.incarnation_;
  peer.sequence_ = aReport.sequence_;
  peer.heard_ = aNow;
  aState.heard_ = aNow;
  // The first report of a start names all use since then.
  peer.complete_ = newStart ? aReport.sequence_ <= 1 : peer.complete_;
  for (const AccountUse& use : aReport.uses_) {
    NoteUse(aState, peer, use, elapsed, wasSilent, aNow);
  }
  NoteUnused(aState, peer, aNow);
  peer.complete_ = peer.complete_ || aReport.sequence_ % kWholeReports == 0;
  if (aReport.sequence_ <= aState.settings_.newReports_ &&
      aState.hosts_.at(aReport.host_) == aState.location_) {
    aState.newcomers_.insert(aReport.host_);
  }
  return true;
}

} // namespace

void SetRateLimits(RateShareState& aState, const Config& aConfig, TimePoint aNow)
{
  if (aState.started_ == TimePoint{}) {
    aState.started_ = aNow;
  }
  std::erase_if(aState.accounts_, [&](const auto& aEntry) {
    return !aConfig.clientAccounts_.contains(aEntry.first);
  });
  for (const auto& [id, account] : aConfig.clientAccounts_) {
    const auto [entry, isNew] = aState.accounts_.try_emplace(id);
    AccountShare& share = entry->second;
    if (isNew) {
      // What other hosts used of the burst isn't known, so it begins empty.
      share.updated_ = aNow;
    } else {
      Advance(aState, share, aNow);
    }
    share.rate_ = account.ratePerSecond_;
    share.burst_ = std::max(1.0, aState.settings_.burstPart_ * account.burst_);
    share.level_ = std::min(share.level_, share.burst_);
    share.credit_ = std::min(share.credit_, std::max(kLeastCredit, share.level_));
  }
}

void SetShareHosts(RateShareState& aState, std::map<HostId, HostLocation> aHosts, TimePoint aNow)
{
  aHosts.erase(aState.host_);
  AdvanceAll(aState, aNow);
  for (auto& [host, peer] : aState.peers_) {
    if (!aHosts.contains(host) && !peer.silent_) {
      StopAssuming(aState, peer, aNow);
    }
  }
  std::erase_if(aState.peers_, [&](const auto& aEntry) { return !aHosts.contains(aEntry.first); });
  aState.hosts_ = std::move(aHosts);
}

ShareGrant GrantTokens(RateShareState& aState, const ShareRequest& aRequest, TimePoint aNow)
{
  SettleGrant(aState, aRequest);
  // Tokens of an expired grant count as used.
  std::erase_if(aState.grants_,
                [aNow](const auto& aEntry) { return aNow >= aEntry.second.expires_; });
  ShareGrant reply;
  reply.nonce_ = aRequest.nonce_;
  reply.clientAccount_ = aRequest.clientAccount_;
  const auto entry = aState.accounts_.find(aRequest.clientAccount_);
  if (entry == aState.accounts_.end() || aRequest.wanted_ < 1) {
    return reply;
  }
  AccountShare& account = entry->second;
  if (aState.heardHosts_ > 0 && IsIsolated(aState, aNow)) {
    UpdateSilence(aState, aNow);
  }
  Advance(aState, account, aNow);
  account.demand_ += aRequest.wanted_ / kDemandSeconds;
  const double tokens = std::floor(std::min({ aRequest.wanted_, account.credit_, account.level_ }));
  if (tokens < 1) {
    const double part = DemandPart(aState, account);
    const double wait = 1000 / std::max(1e-3, account.rate_ * part);
    reply.retryAfterMs_ =
      static_cast<std::uint32_t>(std::clamp(wait, kLeastRetryMs, kLongestRetryMs));
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
  std::vector<OutgoingReports> steps;
  UpdateSilence(aState, aNow);
  if (IsReportDue(aState, aNow)) {
    aState.reported_ = aNow;
    ++aState.sequence_;
    AddSteps(steps, aState.host_, { OwnReport(aState) }, HostsOfDataCentre(aState));
  }
  if (aNow - aState.relayedNear_ >= aState.settings_.nearRelayInterval_ &&
      !DataCentreRelay(aState, aNow)) {
    aState.relayedNear_ = aNow;
    AddSteps(steps, aState.host_, NewReports(aState, false), NearRelays(aState, aNow));
  }
  if (aNow - aState.relayedFar_ >= aState.settings_.farRelayInterval_ &&
      !RegionRelay(aState, aNow)) {
    aState.relayedFar_ = aNow;
    AddSteps(steps, aState.host_, NewReports(aState, true), FarRelays(aState, aNow));
  }
  return steps;
}

std::map<HostId, RateLevels> CollectDueLevels(RateShareState& aState, TimePoint aNow)
{
  std::map<HostId, RateLevels> due;
  const std::set<HostId> newcomers = std::move(aState.newcomers_);
  aState.newcomers_.clear();
  if (newcomers.empty() || aState.started_ == TimePoint{} ||
      aNow - aState.started_ < aState.settings_.settled_ || IsIsolated(aState, aNow)) {
    return due;
  }
  AdvanceAll(aState, aNow);
  std::vector<AccountLevel> levels;
  for (const auto& [id, share] : aState.accounts_) {
    levels.push_back({ id, static_cast<std::uint64_t>(std::max(0.0, share.level_)) });
  }
  for (const HostId& host : newcomers) {
    const SharePeer& peer = aState.peers_[host];
    due[host] = { peer.incarnation_, peer.sequence_, levels };
  }
  return due;
}

void ApplyRateLevels(RateShareState& aState, const RateLevels& aLevels, TimePoint aNow)
{
  const bool fresh = aLevels.sequence_ <= aState.settings_.newReports_ &&
                     aNow - aState.started_ < aState.settings_.settled_;
  if (aLevels.incarnation_ != aState.incarnation_ || aLevels.sequence_ != aState.sequence_ ||
      !fresh) {
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
    share.level_ =
      std::min(static_cast<double>(level.tokens_) - unreported, share.burst_ * HeardPart(aState));
  }
}

std::optional<HostId> DataCentreRelay(const RateShareState& aState, TimePoint aNow)
{
  for (const auto& [host, place] : aState.hosts_) {
    if (host < aState.host_ && place == aState.location_ && MayRelay(aState, host, aNow)) {
      return host;
    }
  }
  return std::nullopt;
}

std::set<HostId> FindSilentHosts(const RateShareState& aState,
                                 Duration aTime,
                                 TimePoint aSince,
                                 TimePoint aNow)
{
  std::set<HostId> lost;
  std::set<RegionId> heard;
  for (const auto& [host, place] : aState.hosts_) {
    const auto peer = aState.peers_.find(host);
    const TimePoint last =
      peer == aState.peers_.end() ? aSince : std::max(aSince, peer->second.heard_);
    if (aNow - last > aTime) {
      lost.insert(host);
    } else if (peer != aState.peers_.end() && !peer->second.silent_) {
      heard.insert(place.region_);
    }
  }
  std::erase_if(
    lost, [&](const HostId& aHost) { return !heard.contains(aState.hosts_.at(aHost).region_); });
  return lost;
}

std::vector<OutgoingReports> ApplyRateReports(RateShareState& aState,
                                              const RateReports& aReports,
                                              TimePoint aNow)
{
  std::vector<RateReport> outside;
  std::vector<RateReport> far;
  for (const RateReport& report : aReports.reports_) {
    if (!NoteReport(aState, report, aNow)) {
      continue;
    }
    const HostLocation& place = aState.hosts_.at(report.host_);
    if (place != aState.location_) {
      outside.push_back(report);
    }
    if (place.region_ != aState.location_.region_) {
      far.push_back(report);
    }
  }
  const auto sender = aState.hosts_.find(aReports.sender_);
  const HostLocation from = sender == aState.hosts_.end() ? aState.location_ : sender->second;
  const auto near = DataCentreRelay(aState, aNow);
  const auto region = RegionRelay(aState, aNow);
  std::vector<OutgoingReports> onward;
  if (!near) {
    AddSteps(onward, aState.host_, outside, HostsOfDataCentre(aState));
  }
  if (!region) {
    AddSteps(onward, aState.host_, far, NearRelays(aState, aNow));
  }
  // A sender from elsewhere that doesn't know the relay here yet tries other hosts.
  if (from.region_ != aState.location_.region_ && region) {
    AddSteps(onward, aState.host_, far, { *region });
  } else if (from.region_ == aState.location_.region_ && from != aState.location_ && near) {
    AddSteps(onward, aState.host_, outside, { *near });
  }
  return onward;
}

} // namespace peridotquay
