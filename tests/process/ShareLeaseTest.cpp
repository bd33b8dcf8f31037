// Tests of the share lease: several data centres with two candidates each, one platform, virtual
// time.
#include "peridotquay/process/ShareLease.h"

#include "peridotquay/version/MembershipRank.h"

#include "tests/version/FakePlatform.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <rapidcheck.h>

using namespace peridotquay;

namespace {

const ClientAccountId kAccount{ "client" };
constexpr double kRate = 100;
constexpr double kBurst = 40;

// One candidate for the lease of its data centre, with a clock of its own.
struct Candidate
{
  ShareLease lease_;
  ShareLedger ledger_;
  Duration offset_{};
  TimePoint pausedUntil_{};
  bool cut_ = false; ///< Doesn't reach the platform, but hosts reach it.
  std::string centre_;
};

// A platform call on its way there or back.
struct Travelling
{
  TimePoint due_;
  std::size_t from_ = 0;
  bool arrived_ = false;   ///< True: the answer travels back.
  bool lost_ = false;      ///< The answer never comes; the caller is told so after 2 s.
  std::uint64_t life_ = 0; ///< Of the process that sent it; a later one never gets the answer.
  PlatformCall call_;
  PlatformAnswer answer_;
};

struct Use
{
  TimePoint time_;
  double tokens_ = 0;
};

class ShareWorld
{
public:
  ShareWorld(std::size_t aCentres, Duration aFloorLease, std::uint64_t aSeed)
    : random_(aSeed)
  {
    auto config = std::make_shared<Config>();
    config->version_ = 1;
    config->clientAccounts_[kAccount] = { kAccount, kRate, kBurst };
    config->policy_.floorLease_ = aFloorLease;
    for (std::size_t i = 0; i < aCentres; ++i) {
      const DataCentreId id{ std::string(1, static_cast<char>('a' + i)) };
      config->sites_[id] = { id, { "r" } };
    }
    config_ = config;
    for (std::size_t i = 0; i < 2 * aCentres; ++i) {
      candidates_.emplace_back();
      Start(i);
      Lead(i, i % 2 == 0);
    }
  }

  std::vector<Candidate> candidates_;
  FakePlatform platform_;
  std::vector<Use> uses_;
  TimePoint now_{ seconds(100000) };
  Duration mostDelay_ = milliseconds(20);
  double loseAnswers_ = 0;

  // A new process.
  void Start(std::size_t aIndex)
  {
    auto& candidate = candidates_[aIndex];
    candidate = {};
    candidate.centre_ = std::string(1, static_cast<char>('a' + aIndex / 2));
    candidate.offset_ = Random(seconds(50000));
    candidate.lease_ = MakeShareLease({},
                                      { "h" + std::to_string(aIndex) },
                                      ++incarnation_,
                                      { candidate.centre_ },
                                      NextRandom(random_),
                                      Local(aIndex));
    candidate.lease_.config_ = config_;
    ++lives_[aIndex];
  }

  // Tells a node who leads, as membership would. Both candidates may think that they do.
  void Lead(std::size_t aIndex, bool aSelf)
  {
    auto ranking = std::make_shared<MemberRanking>();
    ranking->shareLeader_.host_ =
      aSelf ? candidates_[aIndex].lease_.self_ : HostId{ "somebody else" };
    candidates_[aIndex].lease_.ranking_ = ranking;
  }

  TimePoint Local(std::size_t aIndex) const { return now_ + candidates_[aIndex].offset_; }

  void Run(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (now_ < end) {
      now_ += milliseconds(50);
      Deliver();
      for (std::size_t i = 0; i < candidates_.size(); ++i) {
        if (candidates_[i].pausedUntil_ <= now_) {
          ShareLeaseEffects effects;
          StepShareLease(candidates_[i].lease_, candidates_[i].ledger_, Local(i), effects);
          Send(i, effects);
        }
      }
    }
  }

  // A host asks a candidate at most 100 ms after it decided to, and uses the grant at some time
  // before it expires, which it counts from before it asked. Returns the tokens used.
  double Ask(std::size_t aIndex, double aWanted, bool aAtOnce = true)
  {
    auto& candidate = candidates_[aIndex];
    if (candidate.pausedUntil_ > now_) {
      return 0;
    }
    const auto asked = aAtOnce ? now_ : now_ - Random(milliseconds(100));
    const auto grant = HandleShareRequest(candidate.lease_,
                                          candidate.ledger_,
                                          { "caller" },
                                          { 1, kAccount, 0, 0, aWanted },
                                          Local(aIndex));
    const auto expires = asked + milliseconds(grant.lifetimeMs_);
    if (grant.tokens_ == 0 || expires <= now_) {
      return 0;
    }
    uses_.push_back({ now_ + (aAtOnce ? Duration{} : Random(expires - now_)), grant.tokens_ });
    return grant.tokens_;
  }

  // Asks a data centre's leader every 50 ms; returns the tokens.
  double Demand(std::size_t aIndex, Duration aLength, double aEach = 5)
  {
    double used = 0;
    for (auto end = now_ + aLength; now_ < end;) {
      Run(milliseconds(50));
      used += Ask(aIndex, aEach);
    }
    return used;
  }

  // A bucket of the whole limit that is full at the start never runs dry: the same as at most
  // burst + rate * length in every interval.
  bool WithinLimit()
  {
    std::sort(uses_.begin(), uses_.end(), [](const Use& aLeft, const Use& aRight) {
      return aLeft.time_ < aRight.time_;
    });
    double level = kBurst;
    auto last = uses_.empty() ? now_ : uses_.front().time_;
    for (const auto& use : uses_) {
      level = std::min(kBurst, level + kRate * ToSeconds(use.time_ - last)) - use.tokens_;
      last = use.time_;
      if (level < -1e-6) {
        return false;
      }
    }
    return true;
  }

  bool Holds(std::size_t aIndex) const { return candidates_[aIndex].lease_.held_; }

  PoolEntry Pool()
  {
    return DecodeSharePool(platform_.rows_.at("share-pool").value_).assume_value().at(kAccount);
  }

private:
  Duration Random(Duration aBelow)
  {
    return Duration(static_cast<Duration::rep>(
      NextRandom(random_) %
      static_cast<std::uint64_t>(std::max<Duration::rep>(1, aBelow.count()))));
  }

  void Send(std::size_t aFrom, ShareLeaseEffects& aEffects)
  {
    if (!aEffects.call_) {
      return;
    }
    const bool lost =
      static_cast<double>(NextRandom(random_) >> 11U) / 9007199254740992.0 < loseAnswers_;
    Travelling call{ now_ + Random(mostDelay_),  aFrom, false, lost, lives_[aFrom],
                     std::move(*aEffects.call_), {} };
    call.answer_.startedAt_ = Local(aFrom);
    if (lost) {
      // The caller gives up after 2 s; the write may take effect long after that.
      Travelling failure = call;
      failure.arrived_ = true;
      failure.lost_ = false;
      failure.due_ = now_ + seconds(2);
      failure.answer_.error_ = Error{ ErrorCode::kPlatformUnknown, {}, {}, {} };
      travelling_.push_back(failure);
      call.due_ = now_ + Random(seconds(4));
    }
    travelling_.push_back(std::move(call));
  }

  void Deliver()
  {
    auto calls = std::move(travelling_);
    travelling_.clear();
    for (auto& call : calls) {
      if (call.arrived_ && call.life_ != lives_[call.from_]) {
        continue;
      }
      if (call.due_ > now_ || (call.arrived_ && candidates_[call.from_].pausedUntil_ > now_)) {
        travelling_.push_back(std::move(call));
      } else if (!call.arrived_) {
        const auto started = call.answer_.startedAt_;
        if (candidates_[call.from_].cut_) {
          call.answer_.error_ = Error{ ErrorCode::kPlatformUnavailable, {}, {}, {} };
        } else {
          call.answer_ = RunPlatformCall(platform_, call.call_);
        }
        call.answer_.startedAt_ = started;
        call.arrived_ = true;
        call.due_ = now_ + Random(mostDelay_);
        if (!call.lost_) {
          travelling_.push_back(std::move(call));
        }
      } else {
        auto& candidate = candidates_[call.from_];
        call.answer_.finishedAt_ = Local(call.from_);
        ShareLeaseEffects effects;
        HandleShareAnswer(
          candidate.lease_, candidate.ledger_, call.answer_, Local(call.from_), effects);
        Send(call.from_, effects);
      }
    }
  }

  std::uint64_t random_;
  Incarnation incarnation_ = 0;
  std::shared_ptr<const Config> config_;
  std::vector<Travelling> travelling_;
  std::map<std::size_t, std::uint64_t> lives_;
};

} // namespace

// Guards against rows that can be written and not read back, and against a pool row that mints
// units.
TEST_CASE("share rows read back and a bad pool is refused", "[lease]")
{
  const ShareRow row{ 3, { "h" }, 5, 7, 2, 5000, 600000, { { kAccount, 12 } } };
  CHECK(DecodeShareRow(EncodeShareRow(row)).assume_value() == row);
  SharePool pool;
  pool[kAccount] = { 2, 1000, 500, { { { "a" }, { 1000, 7500 } }, { { "b" }, { 1000, 0 } } } };
  CHECK(DecodeSharePool(EncodeSharePool(pool)).assume_value() == pool);
  pool[kAccount].free_ = 501;
  CHECK(DecodeSharePool(EncodeSharePool(pool)).has_error());
  for (const char* text : { "", "{", "[]", "{\"accounts\":[1]}", "{\"accounts\":{\"a\":{}}}" }) {
    CHECK(DecodeSharePool(text).has_error());
    CHECK(DecodeShareRow(text).has_error());
  }
}

// Guards against limits of data centres that add up to more than the account's, also where each
// floor is rounded up to a whole token.
TEST_CASE("limits of all data centres add up to the account's", "[lease]")
{
  for (const double burst : { 3.0, 4.0, 10.0, 1000.0 }) {
    const ClientAccount account{ kAccount, 50, burst };
    PoolEntry entry{ 4, 625, 300, {} };
    ShareLimit sum;
    for (const std::uint32_t elastic : { 0U, 200U, 3000U, 4000U }) {
      const auto limit = PortionLimit(account, entry, { 625, elastic });
      CHECK((burst < 4 || limit.burst_ >= 1));
      sum.ratePerSecond_ += limit.ratePerSecond_;
      sum.burst_ += limit.burst_;
    }
    CHECK(sum.ratePerSecond_ <= 50);
    CHECK(sum.burst_ <= burst + 1e-9);
  }
}

// Guards against two holders of one lease: a taker waits for the whole elastic lease after its
// read, and for the whole floor lease before it uses floors.
TEST_CASE("a crashed leader's lease is taken over after 5 s and its floors later", "[lease]")
{
  ShareWorld world(1, seconds(600), 3);
  world.Run(seconds(3));
  REQUIRE(world.Holds(0));
  world.candidates_[0].pausedUntil_ = world.now_ + seconds(10000);
  world.Lead(1, true);
  world.Run(milliseconds(4800));
  CHECK_FALSE(world.Holds(1));
  world.Run(seconds(1));
  CHECK(world.Holds(1));
  CHECK(world.candidates_[1].lease_.row_.epoch_ == 2);
  world.Run(seconds(2));
  // One data centre: 75 % elastic, 25 % floor.
  CHECK(UsableLimit(world.candidates_[1].lease_, kAccount, world.Local(1)).ratePerSecond_ ==
        Approx(kRate * 0.75));
  world.Run(seconds(590));
  CHECK(UsableLimit(world.candidates_[1].lease_, kAccount, world.Local(1)).ratePerSecond_ ==
        Approx(kRate * 0.75));
  world.Run(seconds(20));
  CHECK(UsableLimit(world.candidates_[1].lease_, kAccount, world.Local(1)).ratePerSecond_ ==
        Approx(kRate));
}

// Guards against a planned change of leader that costs the floors or takes long.
TEST_CASE("a leader that is no longer first releases the lease", "[lease]")
{
  ShareWorld world(1, seconds(600), 4);
  world.Run(seconds(3));
  world.Lead(0, false);
  world.Lead(1, true);
  world.Run(milliseconds(1800));
  CHECK_FALSE(world.Holds(0));
  CHECK(world.Holds(1));
  world.Run(seconds(2));
  CHECK(UsableLimit(world.candidates_[1].lease_, kAccount, world.Local(1)).ratePerSecond_ ==
        Approx(kRate));
}

// Guards against a holder that goes on after its lease ended, and against one that loses its floors
// in an outage.
TEST_CASE("in an outage the elastic share lapses and the floor stays", "[lease]")
{
  ShareWorld world(2, seconds(600), 5);
  world.Run(seconds(4));
  world.platform_.down_ = true;
  world.Run(seconds(7));
  const auto limit = UsableLimit(world.candidates_[0].lease_, kAccount, world.Local(0));
  CHECK(limit.ratePerSecond_ == Approx(kRate * 0.125));
  CHECK(world.Demand(0, seconds(10)) >= kRate * 0.125 * 9);
  world.Run(seconds(600));
  CHECK(world.Ask(0, 1) == 0);
  world.platform_.down_ = false;
  world.Run(seconds(4));
  CHECK(world.Ask(0, 1) == 1);
  CHECK(world.WithinLimit());
}

// Guards against demand in one data centre that stays at an equal share while others are idle, and
// against two busy ones that don't share.
TEST_CASE("elastic shares follow demand", "[lease]")
{
  ShareWorld world(4, seconds(600), 6);
  world.Run(seconds(4));
  world.Demand(0, seconds(10));
  const auto first = world.Demand(0, seconds(10));
  // All but the floors of the three idle data centres.
  CHECK(first >= kRate * 10 * (1 - 3 * 0.0625) * 0.9);
  double sums[2] = {};
  for (int i = 0; i < 600; ++i) {
    world.Run(milliseconds(50));
    const double both[2] = { world.Ask(0, 5), world.Ask(2, 5) };
    for (int side = 0; side < 2 && i >= 300; ++side) {
      sums[side] += both[side];
    }
  }
  CHECK(sums[0] + sums[1] >= kRate * 15 * (1 - 2 * 0.0625) * 0.85);
  CHECK(std::min(sums[0], sums[1]) >= 0.8 * std::max(sums[0], sums[1]));
  CHECK(world.WithinLimit());
}

// Guards against elastic shares that are lost with a data centre: others take them when they need
// them, and the data centre can't use them any more when it is back.
TEST_CASE("a lapsed data centre's elastic share is reclaimed", "[lease]")
{
  ShareWorld world(2, seconds(600), 7);
  world.Run(seconds(4));
  world.candidates_[0].pausedUntil_ = world.now_ + seconds(60);
  world.Demand(2, seconds(15));
  CHECK(world.Demand(2, seconds(10)) >= kRate * 10 * 0.875 * 0.9);
  CHECK(world.Pool().shares_.at({ "a" }).elastic_ == 0);
  world.Run(seconds(40));
  CHECK(world.Holds(0));
  CHECK(UsableLimit(world.candidates_[0].lease_, kAccount, world.Local(0)).ratePerSecond_ ==
        Approx(kRate * 0.125));
  CHECK(world.WithinLimit());
}

// Guards against a lost answer that leaves the lease without a holder or a move half done.
TEST_CASE("lost answers are resolved by reading back", "[lease]")
{
  ShareWorld world(2, seconds(600), 8);
  world.loseAnswers_ = 0.3;
  world.Run(seconds(20));
  CHECK(world.Holds(0));
  CHECK(world.Holds(2));
  world.Demand(0, seconds(40));
  CHECK(world.Demand(0, seconds(20)) > kRate * 20 * 0.5);
  CHECK(world.WithinLimit());
}

// Guards against any interleaving of demand, moves, lost and late writes, pauses, restarts, outages
// and disputed leadership that lets an account use more than burst + rate * length in some
// interval.
TEST_CASE("no interval exceeds the limit over all data centres", "[lease][property]")
{
  CHECK(rc::check([] {
    const auto centres = *rc::gen::inRange<std::size_t>(1, 4);
    ShareWorld world(centres, seconds(20), *rc::gen::arbitrary<std::uint64_t>());
    world.loseAnswers_ = *rc::gen::element(0.0, 0.2, 0.5);
    world.mostDelay_ = milliseconds(*rc::gen::element(20, 400, 2500));
    for (int i = 0; i < 60; ++i) {
      const auto index = *rc::gen::inRange<std::size_t>(0, 2 * centres);
      switch (*rc::gen::inRange(0, 24)) {
        case 0:
          world.candidates_[index].pausedUntil_ =
            world.now_ + milliseconds(*rc::gen::element(500, 4000, 8000, 30000));
          break;
        case 1:
          world.Start(index);
          world.Lead(index, true);
          break;
        case 2:
          world.Lead(index, false);
          break;
        case 3:
          world.Lead(index, true);
          break;
        case 5:
        case 6:
          world.candidates_[index].cut_ = !world.candidates_[index].cut_;
          break;
        case 4:
          world.platform_.down_ = !world.platform_.down_;
          break;
        default:
          break;
      }
      // Every candidate is asked for all it has all the time, so that no excess stays hidden.
      const auto end = world.now_ + milliseconds(*rc::gen::element(50, 50, 200, 1000, 3000, 8000));
      while (world.now_ < end) {
        world.Run(milliseconds(50));
        for (std::size_t asked = 0; asked < 2 * centres; ++asked) {
          world.Ask(asked, 40, world.now_.time_since_epoch() / milliseconds(50) % 10 != 0);
        }
      }
    }
    RC_ASSERT(world.WithinLimit());
  }));
}
