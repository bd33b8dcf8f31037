// Tests of distributed rate limiting over simulated hosts.
#include "peridotquay/request/RateShare.h"

#include "peridotquay/connection/PeerCodec.h"

#include <catch2/catch.hpp>

#include <random>
#include <rapidcheck.h>

using namespace peridotquay;

namespace {

const ClientAccountId kAccount{ "parish" };

/// Simulated hosts in virtual time that exchange delayed reports, and the times of granted tokens.
struct Fleet
{
  struct DelayedReports
  {
    TimePoint due_;
    std::size_t to_;
    RateReports reports_;
  };

  double rate_;
  double burst_;
  Duration nearDelay_ = milliseconds(2);
  Duration farDelay_ = milliseconds(25);
  TimePoint now_{ seconds(1000) };
  std::vector<RateShareState> hosts_;
  std::vector<bool> isolated_;
  std::vector<DelayedReports> delayed_;
  std::vector<TimePoint> grantedAt_;
  std::size_t refused_ = 0;
  std::uint64_t nonce_ = 1;
  std::uint64_t steps_ = 0;
  std::size_t regionBytes_ = 0;     ///< Sent between regions.
  std::size_t dataCentreBytes_ = 0; ///< Sent between data centres, also of different regions.
  std::mt19937_64 random_;

  Fleet(std::size_t aHosts, double aRate, double aBurst, std::uint64_t aSeed)
    : rate_(aRate)
    , burst_(aBurst)
    , isolated_(aHosts, false)
    , random_(aSeed)
  {
    for (std::size_t i = 0; i < aHosts; ++i) {
      hosts_.push_back(MakeStartedHost(i, 1));
    }
  }

  /// State of a host that starts now.
  RateShareState MakeStartedHost(std::size_t aHost, Incarnation aIncarnation)
  {
    RateShareState state;
    state.host_ = { "h" + std::to_string(aHost) };
    state.incarnation_ = aIncarnation;
    Config config;
    config.clientAccounts_[kAccount] = { kAccount, rate_, burst_ };
    SetRateLimits(state, config, now_);
    std::map<HostId, HostLocation> allHosts;
    for (std::size_t i = 0; i < isolated_.size(); ++i) {
      allHosts[{ "h" + std::to_string(i) }] = LocationOf(i);
    }
    state.location_ = LocationOf(aHost);
    SetShareHosts(state, allHosts, now_);
    return state;
  }

  /// Two regions of two data centres each.
  static HostLocation LocationOf(std::size_t aHost)
  {
    return { { "d" + std::to_string(aHost % 4) }, { aHost % 2 == 0 ? "east" : "west" } };
  }

  void Send(std::size_t aFrom, const OutgoingReports& aOutgoing)
  {
    for (const HostId& host : aOutgoing.to_) {
      const std::size_t to = std::stoul(host.value_.substr(1));
      if (!isolated_[aFrom] && !isolated_[to]) {
        const bool near = LocationOf(aFrom).region_ == LocationOf(to).region_;
        delayed_.push_back({ now_ + (near ? nearDelay_ : farDelay_), to, aOutgoing.reports_ });
        const std::size_t bytes = EncodePeerMessage(aOutgoing.reports_).size();
        regionBytes_ += near ? 0 : bytes;
        dataCentreBytes_ += LocationOf(aFrom) == LocationOf(to) ? 0 : bytes;
      }
    }
  }

  void RequestToken(std::size_t aHost)
  {
    ShareRequest request;
    request.nonce_ = nonce_++;
    request.clientAccount_ = kAccount;
    request.wanted_ = 1;
    if (GrantTokens(hosts_[aHost], request, now_).tokens_ >= 1) {
      grantedAt_.push_back(now_);
    } else {
      ++refused_;
    }
  }

  void Advance()
  {
    now_ += milliseconds(10);
    std::vector<DelayedReports> due;
    std::erase_if(delayed_, [&](DelayedReports& aDelayed) {
      if (aDelayed.due_ > now_) {
        return false;
      }
      due.push_back(aDelayed);
      return true;
    });
    for (const DelayedReports& delayed : due) {
      for (const OutgoingReports& outgoing :
           ApplyRateReports(hosts_[delayed.to_], delayed.reports_, now_)) {
        Send(delayed.to_, outgoing);
      }
      for (const auto& [host, levels] : CollectDueLevels(hosts_[delayed.to_], now_)) {
        // A datagram within a data centre takes less than one 10 ms step, so it isn't delayed.
        ApplyRateLevels(hosts_[std::stoul(host.value_.substr(1))], levels, now_);
      }
    }
    if (++steps_ % 10 != 0) {
      return;
    }
    for (std::size_t from = 0; from < hosts_.size(); ++from) {
      for (const OutgoingReports& outgoing : CollectDueReports(hosts_[from], now_)) {
        Send(from, outgoing);
      }
    }
  }

  /// Runs for aTime with aPerSecond requests per second, which the first aActiveHosts hosts
  /// receive.
  void Run(double aPerSecond, Duration aTime, std::size_t aActiveHosts)
  {
    const TimePoint end = now_ + aTime;
    std::poisson_distribution<int> arrivals(aPerSecond * 0.01);
    while (now_ < end) {
      Advance();
      for (int i = arrivals(random_); i > 0; --i) {
        RequestToken(random_() % aActiveHosts);
      }
    }
  }

  /// Maximum number of tokens granted in any window of this length.
  std::size_t MaxGrantedIn(Duration aWindow) const
  {
    std::size_t maxGranted = 0;
    std::size_t first = 0;
    for (std::size_t last = 0; last < grantedAt_.size(); ++last) {
      while (grantedAt_[last] - grantedAt_[first] > aWindow) {
        ++first;
      }
      maxGranted = std::max(maxGranted, last - first + 1);
    }
    return maxGranted;
  }
};

/// Required bound for every window of 5 s: a tenth more than rate and burst, plus 20 requests.
double MaxAllowedIn5s(double aRate, double aBurst)
{
  return (5 * aRate + aBurst) * 1.1 + 20;
}

} // namespace

// Guards against grants above rate and burst, which can happen because hosts receive the use of
// others with a delay.
TEST_CASE("an account over its rate gets its limit over all hosts", "[rate]")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    for (const double rate : { 10.0, 51.0, 400.0 }) {
      Fleet fleet(16, rate, rate, seed);
      fleet.Run(0.5 * rate, seconds(8), 16);
      fleet.Run(8 * rate, seconds(10), 16);
      INFO("seed " << seed << " rate " << rate);
      CHECK(fleet.MaxGrantedIn(seconds(5)) <= MaxAllowedIn5s(rate, rate));
      // At least nine tenths of the rate are served.
      CHECK(static_cast<double>(fleet.grantedAt_.size()) >= 0.9 * (4 * rate + 10 * rate));
    }
  }
}

// Guards against refusals of accounts that stay within their rate, with demand at all hosts or at a
// few.
TEST_CASE("an account within its rate is rarely refused", "[rate]")
{
  for (const std::size_t activeHosts : { std::size_t{ 16 }, std::size_t{ 4 }, std::size_t{ 1 } }) {
    for (const double rate : { 10.0, 51.0, 400.0 }) {
      std::size_t refused = 0;
      std::size_t requests = 0;
      for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Fleet fleet(16, rate, rate, seed);
        fleet.Run(0, seconds(8), 16);
        fleet.Run(rate / 1.6, seconds(20), activeHosts);
        refused += fleet.refused_;
        requests += fleet.grantedAt_.size() + fleet.refused_;
      }
      INFO("active hosts " << activeHosts << " rate " << rate << " refused " << refused << " of "
                           << requests);
      CHECK(static_cast<double>(refused) <= 0.01 * static_cast<double>(requests));
    }
  }
}

// Guards against isolated hosts and the rest of the fleet each granting the whole limit.
TEST_CASE("isolated hosts and the rest of the fleet together keep the limit", "[rate]")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    for (const double rate : { 10.0, 51.0, 400.0 }) {
      Fleet fleet(16, rate, rate, seed);
      fleet.Run(rate, seconds(8), 16);
      for (std::size_t i = 0; i < 6; ++i) {
        fleet.isolated_[i] = true;
      }
      fleet.Run(6 * rate, seconds(12), 16);
      fleet.isolated_.assign(16, false);
      fleet.Run(6 * rate, seconds(5), 16);
      INFO("seed " << seed << " rate " << rate);
      CHECK(fleet.MaxGrantedIn(seconds(5)) <= MaxAllowedIn5s(rate, rate));
    }
  }
}

// Guards against a second burst after all hosts restart together and lose what they knew of the
// use.
TEST_CASE("restarted hosts don't hand out the burst again", "[rate]")
{
  for (std::uint64_t seed = 1; seed <= 30; ++seed) {
    const double rate = 51;
    Fleet fleet(16, rate, rate, seed);
    fleet.Run(0, seconds(8), 16);
    fleet.Run(4 * rate, seconds(3), 16);
    for (std::size_t i = 0; i < 16; ++i) {
      fleet.hosts_[i] = fleet.MakeStartedHost(i, 2);
    }
    fleet.Run(4 * rate, seconds(8), 16);
    INFO("seed " << seed);
    CHECK(fleet.MaxGrantedIn(seconds(5)) <= MaxAllowedIn5s(rate, rate));
  }
}

// Guards against refusals below the limit while hosts restart one after the other: a host that
// begins with empty bursts must receive the levels from the others.
TEST_CASE("accounts within their rate are served while hosts restart one by one", "[rate]")
{
  for (const std::size_t hosts : { std::size_t{ 16 }, std::size_t{ 73 } }) {
    for (const double rate : { 20.0, 60.0, 400.0 }) {
      Fleet fleet(hosts, rate, rate, 1);
      fleet.Run(0, seconds(8), hosts);
      fleet.Run(0.6 * rate, seconds(10), hosts);
      const std::size_t refusedBefore = fleet.refused_;
      const std::size_t grantedBefore = fleet.grantedAt_.size();
      for (std::size_t i = 0; i < 16; ++i) {
        fleet.hosts_[i] = fleet.MakeStartedHost(i, 2);
        fleet.Run(0.6 * rate, seconds(1), hosts);
      }
      const std::size_t requests =
        fleet.refused_ - refusedBefore + fleet.grantedAt_.size() - grantedBefore;
      INFO("hosts " << hosts << " rate " << rate << " refused " << fleet.refused_ - refusedBefore
                    << " of " << requests);
      CHECK(static_cast<double>(fleet.refused_ - refusedBefore) <=
            0.05 * static_cast<double>(requests));
    }
  }
}

// Guards against grants above the limit when many starting hosts receive the same levels.
TEST_CASE("hosts that restart a few at a time keep the limit", "[rate]")
{
  for (std::uint64_t seed = 1; seed <= 20; ++seed) {
    for (const double rate : { 10.0, 51.0, 400.0 }) {
      Fleet fleet(16, rate, rate, seed);
      fleet.Run(rate, seconds(8), 16);
      for (std::size_t i = 0; i < 24; ++i) {
        for (const std::size_t host : { i % 16, (i + 5) % 16, (i + 10) % 16 }) {
          fleet.hosts_[host] = fleet.MakeStartedHost(host, 2 + i);
        }
        fleet.Run(5 * rate, milliseconds(700), 16);
      }
      INFO("seed " << seed << " rate " << rate);
      CHECK(fleet.MaxGrantedIn(seconds(5)) <= MaxAllowedIn5s(rate, rate));
    }
  }
}

// Guards against returned tokens of a grant that still count as used.
TEST_CASE("unused tokens of a grant can be granted again", "[rate]")
{
  Fleet fleet(1, 10, 20, 1);
  fleet.Run(0, seconds(8), 1);
  RateShareState& host = fleet.hosts_[0];
  const ShareGrant grant = GrantTokens(host, { 1, kAccount, 0, 0, 8 }, fleet.now_);
  REQUIRE(grant.tokens_ == 8);
  const ShareGrant rest = GrantTokens(host, { 2, kAccount, 0, 0, 20 }, fleet.now_);
  CHECK(rest.tokens_ <= 12);
  CHECK(GrantTokens(host, { 4, kAccount, 0, 0, 1 }, fleet.now_).tokens_ == 0);
  CHECK(GrantTokens(host, { 3, kAccount, grant.grant_, 0, 8 }, fleet.now_).tokens_ == 8);
}

// Guards against use that is counted twice because a report arrives twice or late.
TEST_CASE("repeated reports and reports of an earlier incarnation have no effect", "[rate]")
{
  Fleet fleet(2, 10, 100, 1);
  fleet.Run(0, seconds(30), 2);
  RateShareState& host = fleet.hosts_[0];
  const RateReport first{ { "h1" }, 2, 5, { { kAccount, 20 } } };
  ApplyRateReports(host, { { "h1" }, { first } }, fleet.now_);
  const double level = host.accounts_.at(kAccount).level_;
  ApplyRateReports(host, { { "h1" }, { first } }, fleet.now_);
  CHECK(host.accounts_.at(kAccount).level_ == Approx(level));
  // A report of an earlier incarnation has no effect.
  ApplyRateReports(host, { { "h1" }, { { { "h1" }, 1, 9, { { kAccount, 90 } } } } }, fleet.now_);
  CHECK(host.accounts_.at(kAccount).level_ == Approx(level));
}

// Guards against earlier use that counts as new: a host that has just started learns another host's
// use of an account only when that host uses the account again.
TEST_CASE("another host's use before this host started doesn't lower the level", "[rate]")
{
  Fleet fleet(2, 10, 100, 1);
  fleet.Run(0, seconds(30), 2);
  RateShareState& host = fleet.hosts_[0];
  ApplyRateReports(host, { { "h1" }, { { { "h1" }, 2, 50, {} } } }, fleet.now_);
  const double level = host.accounts_.at(kAccount).level_;
  fleet.now_ += milliseconds(300);
  ApplyRateReports(host, { { "h1" }, { { { "h1" }, 2, 51, { { kAccount, 70 } } } } }, fleet.now_);
  CHECK(host.accounts_.at(kAccount).level_ >= level);
  CHECK(host.accounts_.at(kAccount).peerUsePerSecond_ == Approx(0));
  const double before = host.accounts_.at(kAccount).level_;
  ApplyRateReports(host, { { "h1" }, { { { "h1" }, 2, 52, { { kAccount, 75 } } } } }, fleet.now_);
  CHECK(host.accounts_.at(kAccount).level_ == Approx(before - 5));
}

// Guards against report traffic that grows on the links between regions, which are paid by volume.
TEST_CASE("reports between regions take less than 8 KiB per second", "[rate]")
{
  Fleet fleet(16, 51, 51, 1);
  fleet.Run(30, seconds(20), 16);
  // A report of one account has about 30 bytes; each host sends at least one per second.
  CHECK(fleet.regionBytes_ / 20 < 8192);
}

// Guards against reports from every host to every other one: their number would grow with the
// square of the hosts, and links between data centres are paid by volume.
TEST_CASE("bytes between data centres grow with the hosts, not their square", "[rate]")
{
  const auto bytesPerHost = [](std::size_t aHosts) {
    Fleet fleet(aHosts, 200, 200, 1);
    fleet.Run(120, seconds(20), aHosts);
    return static_cast<double>(fleet.dataCentreBytes_) / 20 / static_cast<double>(aHosts);
  };
  const double few = bytesPerHost(16);
  CHECK(bytesPerHost(80) < 1.5 * few);
}

// Guards against loads of targets that reach only a part of the hosts or count as newer than they
// are after a relay, and against their bytes on the links between regions.
TEST_CASE("all hosts get the loads of all targets with their age", "[rate]")
{
  const auto run = [](bool aStated) {
    Fleet fleet(80, 51, 51, 1);
    fleet.Run(30, seconds(5), 80);
    for (std::size_t i = 0; aStated && i < fleet.hosts_.size(); ++i) {
      fleet.hosts_[i].ownLoad_ = LoadReport{ static_cast<std::uint32_t>(i), 4, 72, 130 };
    }
    fleet.regionBytes_ = 0;
    fleet.Run(30, seconds(10), 80);
    return fleet;
  };
  Fleet fleet = run(true);
  std::map<HostId, TimePoint> newest;
  for (const ReceivedLoad& load : TakeReceivedLoads(fleet.hosts_[5])) {
    CHECK(load.report_.running_ == std::stoul(load.host_.value_.substr(1)));
    CHECK(load.measuredAt_ <= fleet.now_);
    newest[load.host_] = std::max(newest[load.host_], load.measuredAt_);
  }
  CHECK(newest.size() == 79);
  for (const auto& [host, measuredAt] : newest) {
    INFO(host.value_);
    CHECK(fleet.now_ - measuredAt <= milliseconds(900));
  }
  CHECK(TakeReceivedLoads(fleet.hosts_[5]).empty());
  const std::size_t added = fleet.regionBytes_ - run(false).regionBytes_;
  CHECK(static_cast<double>(added) / 10 / 80 < 40);
}

// Guards against memory that grows while nobody takes the received loads.
TEST_CASE("only the newest received load of each host is kept", "[rate]")
{
  Fleet fleet(16, 51, 51, 1);
  for (RateShareState& host : fleet.hosts_) {
    host.ownLoad_ = LoadReport{ 1, 0, 72, 100 };
  }
  fleet.Run(30, seconds(10), 16);
  CHECK(fleet.hosts_[5].receivedLoads_.size() == 15);
}

// Guards against a region whose reports never arrive because its first hosts are down permanently.
TEST_CASE("regions exchange reports although the first hosts of both are down", "[rate]")
{
  Fleet fleet(16, 50, 50, 1);
  for (const std::size_t down : { 0, 1, 2, 3, 4, 5 }) {
    fleet.isolated_[down] = true;
  }
  fleet.Run(20, seconds(12), 16);
  for (std::size_t host = 6; host < 16; ++host) {
    INFO("host " << host);
    CHECK(fleet.hosts_[host].activeHosts_ == 9);
  }
}

// Guards against regions that need as many attempts as they have hosts to find each other's relay:
// until then each leaves the other's share of all rates unused.
TEST_CASE("large regions that restarted together exchange reports within two seconds", "[rate]")
{
  Fleet fleet(80, 60, 60, 1);
  fleet.Run(40, seconds(6), 80);
  for (std::size_t i = 0; i < 80; ++i) {
    fleet.hosts_[i] = fleet.MakeStartedHost(i, 2);
    // The first hosts of both regions stay down.
    fleet.isolated_[i] = i < 4 || i == 10 || i == 11 || i == 12 || i == 13;
  }
  fleet.Run(40, seconds(2), 80);
  for (std::size_t host = 20; host < 80; ++host) {
    INFO("host " << host);
    CHECK(fleet.hosts_[host].activeHosts_ >= 71);
  }
}

// Guards against calls to a host that is down permanently, and against treating a region that is
// cut off as down.
TEST_CASE("a host that sends no more reports is found to be silent", "[rate]")
{
  Fleet fleet(8, 50, 50, 1);
  const TimePoint start = fleet.now_;
  fleet.Run(20, seconds(6), 8);
  CHECK(FindSilentHosts(fleet.hosts_[0], seconds(4), start, fleet.now_).empty());
  fleet.isolated_[3] = true;
  fleet.Run(20, seconds(6), 8);
  CHECK(FindSilentHosts(fleet.hosts_[0], seconds(4), start, fleet.now_) ==
        std::set<HostId>{ { "h3" } });
  // The isolated host receives no reports, so it can't tell which hosts are down.
  CHECK(FindSilentHosts(fleet.hosts_[3], seconds(4), start, fleet.now_).empty());
  fleet.isolated_[3] = false;
  fleet.Run(20, seconds(3), 8);
  CHECK(FindSilentHosts(fleet.hosts_[0], seconds(4), start, fleet.now_).empty());
}

// Guards against a host that counts as down from its restart until its clock, which was set back
// meanwhile, passes the start of the process before. Its reports were refused for so long, so that
// no other host sent it calls.
TEST_CASE("a host that restarts after its clock was set back is heard again", "[rate]")
{
  Fleet fleet(8, 50, 50, 1);
  fleet.hosts_[3] = fleet.MakeStartedHost(3, 100'000);
  const TimePoint start = fleet.now_;
  fleet.Run(20, seconds(6), 8);
  REQUIRE(FindSilentHosts(fleet.hosts_[0], seconds(4), start, fleet.now_).empty());
  fleet.hosts_[3] = fleet.MakeStartedHost(3, 70'000);
  for (int i = 0; i < 100; ++i) {
    fleet.Run(20, milliseconds(100), 8);
    for (const std::size_t host : { 0, 1, 2, 7 }) {
      INFO("host " << host << ", " << i << " tenths of a second after the restart");
      REQUIRE(FindSilentHosts(fleet.hosts_[host], seconds(4), start, fleet.now_).empty());
    }
  }
  CHECK(fleet.hosts_[0].peers_.at({ "h3" }).incarnation_ == 70'000);
}
