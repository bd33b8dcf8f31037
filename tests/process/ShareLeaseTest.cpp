// Tests of the share lease in a simulation with virtual time: several data centres with two
// candidates each, which share one platform.
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

// Node that may acquire the lease of its data centre, with a clock of its own.
struct Candidate
{
  ShareLease lease_;
  ShareLedger ledger_;
  Duration offset_{};           ///< Difference of its clock from the simulation's time.
  TimePoint pausedUntil_{};     ///< The process doesn't run until then.
  bool platformCutOff_ = false; ///< It can't reach the platform, but hosts can reach it.
  std::string dataCentre_;
};

// Platform call that is on its way to the platform, or whose answer is on its way back.
struct CallInFlight
{
  TimePoint dueAt_;
  std::size_t from_ = 0;            ///< Index of the candidate that sent the call.
  bool executed_ = false;           ///< The answer is on its way back.
  bool answerLost_ = false;         ///< The answer never arrives; the caller times out after 2 s.
  std::uint64_t processNumber_ = 0; ///< Number of the calling process. A later process of the same
                                    ///< candidate doesn't receive the answer.
  PlatformCall call_;
  PlatformAnswer answer_;
};

// Use of granted tokens.
struct TokenUse
{
  TimePoint time_;
  double tokens_ = 0;
};

// Data centres a, b, ... with the candidates 2 * i and 2 * i + 1 in data centre i. At the start the
// candidate with the even index is the share leader.
class ShareSimulation
{
public:
  ShareSimulation(std::size_t aDataCentreCount, Duration aFloorLease, std::uint64_t aSeed)
    : random_(aSeed)
  {
    auto config = std::make_shared<Config>();
    config->version_ = 1;
    config->clientAccounts_[kAccount] = { kAccount, kRate, kBurst };
    config->policy_.floorLease_ = aFloorLease;
    for (std::size_t i = 0; i < aDataCentreCount; ++i) {
      const DataCentreId id{ std::string(1, static_cast<char>('a' + i)) };
      config->sites_[id] = { id, { "r" } };
    }
    config_ = config;
    for (std::size_t i = 0; i < 2 * aDataCentreCount; ++i) {
      candidates_.emplace_back();
      StartProcess(i);
      SetLeader(i, i % 2 == 0);
    }
  }

  std::vector<Candidate> candidates_;
  FakePlatform platform_;
  std::vector<TokenUse> uses_;
  TimePoint now_{ seconds(100000) };
  Duration maxDelay_ = milliseconds(20);
  double lostAnswerFraction_ = 0;

  // Starts a new process for a candidate, with an empty state and a new clock offset.
  void StartProcess(std::size_t aIndex)
  {
    auto& candidate = candidates_[aIndex];
    candidate = {};
    candidate.dataCentre_ = std::string(1, static_cast<char>('a' + aIndex / 2));
    candidate.offset_ = Random(seconds(50000));
    candidate.lease_ = MakeShareLease({},
                                      { "h" + std::to_string(aIndex) },
                                      ++incarnation_,
                                      { candidate.dataCentre_ },
                                      NextRandom(random_),
                                      LocalTime(aIndex));
    candidate.lease_.config_ = config_;
    ++processNumbers_[aIndex];
  }

  // Tells a candidate whether it is the share leader, as membership would. Both candidates of a
  // data centre may be told that they are.
  void SetLeader(std::size_t aIndex, bool aSelf)
  {
    auto ranking = std::make_shared<MemberRanking>();
    ranking->shareLeader_.host_ =
      aSelf ? candidates_[aIndex].lease_.self_ : HostId{ "somebody else" };
    candidates_[aIndex].lease_.ranking_ = ranking;
  }

  TimePoint LocalTime(std::size_t aIndex) const { return now_ + candidates_[aIndex].offset_; }

  void Run(Duration aLength)
  {
    const auto end = now_ + aLength;
    while (now_ < end) {
      now_ += milliseconds(50);
      AdvanceCalls();
      for (std::size_t i = 0; i < candidates_.size(); ++i) {
        if (candidates_[i].pausedUntil_ <= now_) {
          ShareLeaseEffects effects;
          StepShareLease(candidates_[i].lease_, candidates_[i].ledger_, LocalTime(i), effects);
          StartCall(i, effects);
        }
      }
    }
  }

  // Requests tokens from a candidate for a host that uses the whole grant before it expires.
  // Without delay, the request arrives and the tokens are used at once. Otherwise the request takes
  // up to 100 ms, the lifetime counts from when it was sent, and the tokens are used at a random
  // time before the expiry. Returns the tokens used.
  double RequestTokens(std::size_t aIndex, double aWanted, bool aWithoutDelay = true)
  {
    auto& candidate = candidates_[aIndex];
    if (candidate.pausedUntil_ > now_) {
      return 0;
    }
    const auto sentAt = aWithoutDelay ? now_ : now_ - Random(milliseconds(100));
    const auto grant = HandleShareRequest(candidate.lease_,
                                          candidate.ledger_,
                                          { "caller" },
                                          { 1, kAccount, 0, 0, aWanted },
                                          LocalTime(aIndex));
    const auto expiresAt = sentAt + milliseconds(grant.lifetimeMs_);
    if (grant.tokens_ == 0 || expiresAt <= now_) {
      return 0;
    }
    uses_.push_back(
      { now_ + (aWithoutDelay ? Duration{} : Random(expiresAt - now_)), grant.tokens_ });
    return grant.tokens_;
  }

  // Requests tokens from a candidate every 50 ms and returns how many were used.
  double RequestTokensFor(std::size_t aIndex, Duration aLength, double aTokensPerRequest = 5)
  {
    double used = 0;
    for (auto end = now_ + aLength; now_ < end;) {
      Run(milliseconds(50));
      used += RequestTokens(aIndex, aTokensPerRequest);
    }
    return used;
  }

  // True if all uses fit into one token bucket with the account's whole limit that is full at the
  // start. This holds exactly if no interval has more uses than burst + rate * length.
  bool WithinLimit()
  {
    std::sort(uses_.begin(), uses_.end(), [](const TokenUse& aLeft, const TokenUse& aRight) {
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

  bool HoldsLease(std::size_t aIndex) const { return candidates_[aIndex].lease_.held_; }

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

  // Sends the call in aEffects, if there is one, with a random delay.
  void StartCall(std::size_t aFrom, ShareLeaseEffects& aEffects)
  {
    if (!aEffects.call_) {
      return;
    }
    const bool answerLost =
      static_cast<double>(NextRandom(random_) >> 11U) / 9007199254740992.0 < lostAnswerFraction_;
    CallInFlight call{ now_ + Random(maxDelay_),   aFrom, false, answerLost, processNumbers_[aFrom],
                       std::move(*aEffects.call_), {} };
    call.answer_.startedAt_ = LocalTime(aFrom);
    if (answerLost) {
      // The caller times out after 2 s; the write may take effect up to 2 s later.
      CallInFlight failure = call;
      failure.executed_ = true;
      failure.answerLost_ = false;
      failure.dueAt_ = now_ + seconds(2);
      failure.answer_.error_ = Error{ ErrorCode::kPlatformUnknown, {}, {}, {} };
      callsInFlight_.push_back(failure);
      call.dueAt_ = now_ + Random(seconds(4));
    }
    callsInFlight_.push_back(std::move(call));
  }

  // Executes the calls and delivers the answers that are due. Calls to the platform from a
  // candidate that is cut off fail, and answers wait while the candidate is paused.
  void AdvanceCalls()
  {
    auto calls = std::move(callsInFlight_);
    callsInFlight_.clear();
    for (auto& call : calls) {
      if (call.executed_ && call.processNumber_ != processNumbers_[call.from_]) {
        continue;
      }
      if (call.dueAt_ > now_ || (call.executed_ && candidates_[call.from_].pausedUntil_ > now_)) {
        callsInFlight_.push_back(std::move(call));
      } else if (!call.executed_) {
        const auto started = call.answer_.startedAt_;
        if (candidates_[call.from_].platformCutOff_) {
          call.answer_.error_ = Error{ ErrorCode::kPlatformUnavailable, {}, {}, {} };
        } else {
          call.answer_ = RunPlatformCall(platform_, call.call_);
        }
        call.answer_.startedAt_ = started;
        call.executed_ = true;
        call.dueAt_ = now_ + Random(maxDelay_);
        if (!call.answerLost_) {
          callsInFlight_.push_back(std::move(call));
        }
      } else {
        auto& candidate = candidates_[call.from_];
        call.answer_.finishedAt_ = LocalTime(call.from_);
        ShareLeaseEffects effects;
        HandleShareAnswer(
          candidate.lease_, candidate.ledger_, call.answer_, LocalTime(call.from_), effects);
        StartCall(call.from_, effects);
      }
    }
  }

  std::uint64_t random_;
  Incarnation incarnation_ = 0;
  std::shared_ptr<const Config> config_;
  std::vector<CallInFlight> callsInFlight_;
  std::map<std::size_t, std::uint64_t> processNumbers_;
};

} // namespace

// Guards against rows that can be written but not read back, and against a pool row whose units sum
// to more than the whole limit.
TEST_CASE("rows round-trip and a pool row with too many units is rejected", "[lease]")
{
  const LeaseRow row{ 3, { "h" }, 5, 7, 2, 5000, 600000, { { kAccount, 12 } } };
  CHECK(DecodeLeaseRow(EncodeLeaseRow(row)).assume_value() == row);
  SharePool pool;
  pool[kAccount] = { 2, 1000, 500, { { { "a" }, { 1000, 7500 } }, { { "b" }, { 1000, 0 } } } };
  CHECK(DecodeSharePool(EncodeSharePool(pool)).assume_value() == pool);
  pool[kAccount].free_ = 501;
  CHECK(DecodeSharePool(EncodeSharePool(pool)).has_error());
  for (const char* text : { "", "{", "[]", "{\"accounts\":[1]}", "{\"accounts\":{\"a\":{}}}" }) {
    CHECK(DecodeSharePool(text).has_error());
    CHECK(DecodeLeaseRow(text).has_error());
  }
}

// Guards against data centres whose limits sum to more than the account's limit, also if each floor
// is rounded up to a whole token.
TEST_CASE("limits of all data centres sum to at most the account's limit", "[lease]")
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

// Guards against two nodes that grant under the same lease: after it first read the row, the
// successor of a crashed leader waits for the whole elastic lease before it acquires the lease, and
// for the whole floor lease before it uses the floors.
TEST_CASE("a crashed leader's lease is taken over after 5 s, its floors after the floor lease",
          "[lease]")
{
  ShareSimulation simulation(1, seconds(600), 3);
  simulation.Run(seconds(3));
  REQUIRE(simulation.HoldsLease(0));
  simulation.candidates_[0].pausedUntil_ = simulation.now_ + seconds(10000);
  simulation.SetLeader(1, true);
  simulation.Run(milliseconds(4800));
  CHECK_FALSE(simulation.HoldsLease(1));
  simulation.Run(seconds(1));
  CHECK(simulation.HoldsLease(1));
  CHECK(simulation.candidates_[1].lease_.row_.epoch_ == 2);
  simulation.Run(seconds(2));
  // One data centre: 75 % elastic, 25 % floor.
  CHECK(UsableLimit(simulation.candidates_[1].lease_, kAccount, simulation.LocalTime(1))
          .ratePerSecond_ == Approx(kRate * 0.75));
  simulation.Run(seconds(590));
  CHECK(UsableLimit(simulation.candidates_[1].lease_, kAccount, simulation.LocalTime(1))
          .ratePerSecond_ == Approx(kRate * 0.75));
  simulation.Run(seconds(20));
  CHECK(UsableLimit(simulation.candidates_[1].lease_, kAccount, simulation.LocalTime(1))
          .ratePerSecond_ == Approx(kRate));
}

// Guards against a planned change of the share leader that makes the floors unusable or takes until
// the lease ends.
TEST_CASE("a holder that is no longer the share leader releases its lease and floors", "[lease]")
{
  ShareSimulation simulation(1, seconds(600), 4);
  simulation.Run(seconds(3));
  simulation.SetLeader(0, false);
  simulation.SetLeader(1, true);
  simulation.Run(milliseconds(1800));
  CHECK_FALSE(simulation.HoldsLease(0));
  CHECK(simulation.HoldsLease(1));
  simulation.Run(seconds(2));
  CHECK(UsableLimit(simulation.candidates_[1].lease_, kAccount, simulation.LocalTime(1))
          .ratePerSecond_ == Approx(kRate));
}

// Guards against a holder that uses the elastic share after its lease ended, and against one that
// loses its floors while the platform can't be reached.
TEST_CASE("in a platform outage the elastic share lapses before the floor", "[lease]")
{
  ShareSimulation simulation(2, seconds(600), 5);
  simulation.Run(seconds(4));
  simulation.platform_.down_ = true;
  simulation.Run(seconds(7));
  const auto limit =
    UsableLimit(simulation.candidates_[0].lease_, kAccount, simulation.LocalTime(0));
  CHECK(limit.ratePerSecond_ == Approx(kRate * 0.125));
  CHECK(simulation.RequestTokensFor(0, seconds(10)) >= kRate * 0.125 * 9);
  simulation.Run(seconds(600));
  CHECK(simulation.RequestTokens(0, 1) == 0);
  simulation.platform_.down_ = false;
  simulation.Run(seconds(4));
  CHECK(simulation.RequestTokens(0, 1) == 1);
  CHECK(simulation.WithinLimit());
}

// Guards against a busy data centre that keeps only its equal share while others are idle, and
// against an uneven division between two busy data centres.
TEST_CASE("elastic units move to busy data centres and are divided evenly among them", "[lease]")
{
  ShareSimulation simulation(4, seconds(600), 6);
  simulation.Run(seconds(4));
  simulation.RequestTokensFor(0, seconds(10));
  const auto first = simulation.RequestTokensFor(0, seconds(10));
  // The whole limit except the floors of the three idle data centres.
  CHECK(first >= kRate * 10 * (1 - 3 * 0.0625) * 0.9);
  double sums[2] = {};
  for (int i = 0; i < 600; ++i) {
    simulation.Run(milliseconds(50));
    const double both[2] = { simulation.RequestTokens(0, 5), simulation.RequestTokens(2, 5) };
    for (int side = 0; side < 2 && i >= 300; ++side) {
      sums[side] += both[side];
    }
  }
  CHECK(sums[0] + sums[1] >= kRate * 15 * (1 - 2 * 0.0625) * 0.85);
  CHECK(std::min(sums[0], sums[1]) >= 0.8 * std::max(sums[0], sums[1]));
  CHECK(simulation.WithinLimit());
}

// Guards against elastic units that stay unused after their data centre failed, and against a data
// centre that still uses its elastic units after others reclaimed them.
TEST_CASE("elastic units of a failed data centre are reclaimed and fenced", "[lease]")
{
  ShareSimulation simulation(2, seconds(600), 7);
  simulation.Run(seconds(4));
  simulation.candidates_[0].pausedUntil_ = simulation.now_ + seconds(60);
  simulation.RequestTokensFor(2, seconds(15));
  CHECK(simulation.RequestTokensFor(2, seconds(10)) >= kRate * 10 * 0.875 * 0.9);
  CHECK(simulation.Pool().shares_.at({ "a" }).elastic_ == 0);
  simulation.Run(seconds(40));
  CHECK(simulation.HoldsLease(0));
  CHECK(UsableLimit(simulation.candidates_[0].lease_, kAccount, simulation.LocalTime(0))
          .ratePerSecond_ == Approx(kRate * 0.125));
  CHECK(simulation.WithinLimit());
}

// Guards against a lost answer that leaves the lease without a holder or a move incomplete.
TEST_CASE("after lost answers the lease rows are read back to see which writes took effect",
          "[lease]")
{
  ShareSimulation simulation(2, seconds(600), 8);
  simulation.lostAnswerFraction_ = 0.3;
  simulation.Run(seconds(20));
  CHECK(simulation.HoldsLease(0));
  CHECK(simulation.HoldsLease(2));
  simulation.RequestTokensFor(0, seconds(40));
  CHECK(simulation.RequestTokensFor(0, seconds(20)) > kRate * 20 * 0.5);
  CHECK(simulation.WithinLimit());
}

// Guards against an account that uses more than burst + rate * length in some interval, for random
// interleavings of demand, moves, lost and late writes, pauses, restarts, outages, and two nodes
// that both consider themselves the share leader.
TEST_CASE("an account never exceeds its limit over all data centres", "[lease][property]")
{
  CHECK(rc::check([] {
    const auto dataCentreCount = *rc::gen::inRange<std::size_t>(1, 4);
    ShareSimulation simulation(dataCentreCount, seconds(20), *rc::gen::arbitrary<std::uint64_t>());
    simulation.lostAnswerFraction_ = *rc::gen::element(0.0, 0.2, 0.5);
    simulation.maxDelay_ = milliseconds(*rc::gen::element(20, 400, 2500));
    for (int i = 0; i < 60; ++i) {
      const auto index = *rc::gen::inRange<std::size_t>(0, 2 * dataCentreCount);
      switch (*rc::gen::inRange(0, 24)) {
        case 0:
          simulation.candidates_[index].pausedUntil_ =
            simulation.now_ + milliseconds(*rc::gen::element(500, 4000, 8000, 30000));
          break;
        case 1:
          simulation.StartProcess(index);
          simulation.SetLeader(index, true);
          break;
        case 2:
          simulation.SetLeader(index, false);
          break;
        case 3:
          simulation.SetLeader(index, true);
          break;
        case 5:
        case 6:
          simulation.candidates_[index].platformCutOff_ =
            !simulation.candidates_[index].platformCutOff_;
          break;
        case 4:
          simulation.platform_.down_ = !simulation.platform_.down_;
          break;
        default:
          break;
      }
      // Every 50 ms each candidate is asked for more than it can grant, so that any grant beyond
      // the limit shows.
      const auto end =
        simulation.now_ + milliseconds(*rc::gen::element(50, 50, 200, 1000, 3000, 8000));
      while (simulation.now_ < end) {
        simulation.Run(milliseconds(50));
        for (std::size_t candidateIndex = 0; candidateIndex < 2 * dataCentreCount;
             ++candidateIndex) {
          simulation.RequestTokens(
            candidateIndex, 40, simulation.now_.time_since_epoch() / milliseconds(50) % 10 != 0);
        }
      }
    }
    RC_ASSERT(simulation.WithinLimit());
  }));
}
