// Tests of membership and dissemination together in a simulated network.
#include "tests/version/ControlNetwork.h"

#include <catch2/catch.hpp>

#include <rapidcheck.h>

using namespace peridotquay;

namespace {

// Hosts that a node can route to, itself included. A suspected host stays until it is declared
// dead.
std::size_t CountLivingHosts(const NetworkNode& aNode)
{
  return MakeTargetView(aNode.membership_).hosts_.size();
}

bool AllKnowAll(const ControlNetwork& aNetwork)
{
  return std::all_of(aNetwork.nodes_.begin(), aNetwork.nodes_.end(), [&](const auto& aNode) {
    return CountLivingHosts(aNode) == aNetwork.nodes_.size();
  });
}

Version MinVersionInForce(const ControlNetwork& aNetwork)
{
  Version minVersion = ~Version{ 0 };
  for (const auto& node : aNetwork.nodes_) {
    if (!node.stopped_) {
      minVersion = std::min(minVersion, node.dissemination_.versionInForce_);
    }
  }
  return minVersion;
}

Duration MaxFreshnessAge(const ControlNetwork& aNetwork, const std::string& aCentre = {})
{
  Duration maxAge{};
  for (std::size_t i = 0; i < aNetwork.nodes_.size(); ++i) {
    const auto& node = aNetwork.nodes_[i];
    if (node.stopped_ || (!aCentre.empty() && aNetwork.CentreOf(i) != aCentre)) {
      continue;
    }
    const auto freshUntil = FreshAsOf(node.dissemination_);
    maxAge =
      std::max(maxAge, freshUntil ? aNetwork.Local(i) - *freshUntil : Duration(seconds(1000000)));
  }
  return maxAge;
}

// The first change: one client account and a site for each data centre.
std::vector<EntityEdit> FirstChange(std::size_t aCentres)
{
  std::vector<EntityEdit> edits{ { "account/mill", R"({"burst":10,"rate":5})" } };
  for (std::size_t i = 0; i < aCentres; ++i) {
    edits.push_back({ "site/" + std::string(1, static_cast<char>('a' + i)), R"({"region":"r"})" });
  }
  return edits;
}

// A network after 30 s of joining, with version 1 accepted at its start.
std::unique_ptr<ControlNetwork> MakeSettledNetwork(NetworkSettings aSettings)
{
  auto network = std::make_unique<ControlNetwork>(aSettings);
  network->AcceptChange(FirstChange(aSettings.centres_));
  network->Run(seconds(30));
  return network;
}

} // namespace

// Guards against members that never learn of each other, also when a tenth of all messages is lost.
TEST_CASE("64 members that share one seed all learn of each other", "[network]")
{
  const double loss = GENERATE(0.0, 0.1);
  auto network = MakeSettledNetwork({ 64, 1, loss });
  CHECK(AllKnowAll(*network));
  CHECK(MinVersionInForce(*network) == 1);
  // Below the default of Policy::keyFreshnessBound_.
  CHECK(MaxFreshnessAge(*network) < seconds(10));
  CHECK_FALSE(network->violated_);
}

// Guards against live members that are declared dead because messages are lost, against a death
// that isn't known to all members after 12 s, and against a restarted host that stays dead.
TEST_CASE("all members detect a dead member and accept it after a restart", "[network]")
{
  auto network = MakeSettledNetwork({ 32, 1, 0.05 });
  REQUIRE(AllKnowAll(*network));
  network->Stop(5);
  network->Run(seconds(12));
  CHECK(network->CountSeeing(5, MemberState::kDead) == 31);
  for (std::size_t i = 0; i < 32; ++i) {
    CHECK((i == 5 || network->CountSeeing(i, MemberState::kDead) == 0));
  }
  network->Restart(5, 1000);
  network->Run(seconds(10));
  CHECK(AllKnowAll(*network));
}

// Guards against a paused node that isn't accepted again, or that itself declares the others dead.
TEST_CASE("a paused member that was declared dead is accepted again", "[network]")
{
  auto network = MakeSettledNetwork({ 16, 1, 0 });
  network->Pause(3, seconds(20));
  network->Run(seconds(19));
  CHECK(network->CountSeeing(3, MemberState::kDead) == 15);
  network->Run(seconds(20));
  CHECK(AllKnowAll(*network));
  CHECK_FALSE(network->violated_);
}

// Guards against two halves of a data centre that never reconnect after a network partition,
// because each considers the other dead.
TEST_CASE("halves of a data centre reconnect after a network partition", "[network]")
{
  auto network = MakeSettledNetwork({ 16, 1, 0 });
  network->isPartitioned_ = [](std::size_t aLeft, std::size_t aRight) {
    return (aLeft < 8) != (aRight < 8);
  };
  network->Run(seconds(40));
  CHECK_FALSE(AllKnowAll(*network));
  network->isPartitioned_ = nullptr;
  network->Run(seconds(40));
  CHECK(AllKnowAll(*network));
}

// Guards against a change that isn't in force on all of 64 hosts after one second.
TEST_CASE("a change is in force everywhere within a second", "[network]")
{
  auto network = MakeSettledNetwork({ 64, 1, 0 });
  for (int i = 0; i < 20; ++i) {
    network->AcceptRateChange(10 + i);
    network->Run(seconds(1));
    CHECK(MinVersionInForce(*network) == network->acceptedAt_.size());
  }
  CHECK_FALSE(network->violated_);
}

// Guards against a node that keeps an old version when pushes are lost, and against a joining node
// that can't close a gap wider than the recent changes of its peers.
TEST_CASE("nodes get missed changes by sync and by snapshot", "[network]")
{
  auto network = MakeSettledNetwork({ 16, 1, 0.2 });
  network->Stop(7);
  for (int i = 0; i < 300; ++i) {
    network->AcceptRateChange(10 + i);
    network->Run(milliseconds(100));
  }
  network->Restart(7, 1000);
  network->Run(seconds(20));
  CHECK(network->nodes_[7].dissemination_.versionInForce_ == 301);
  CHECK(MinVersionInForce(*network) == 301);
  CHECK(network->platform_.objects_.count("config/snapshot/256") == 1);
  CHECK_FALSE(network->violated_);
}

// Guards against a watermark higher than the version of a reachable host, and against one that
// doesn't name a stopped host as unreachable.
TEST_CASE("the watermark doesn't exceed the version of any reachable host", "[network]")
{
  auto network = MakeSettledNetwork({ 16, 1, 0 });
  const auto row = [&] {
    const auto found = network->platform_.rows_.find("watermark/a");
    REQUIRE(found != network->platform_.rows_.end());
    return DecodeWatermark(found->second.value_).assume_value();
  };
  CHECK(row().version_ == 1);
  CHECK(row().nodes_ == 16);
  network->Pause(3, seconds(3));
  network->AcceptRateChange(6);
  for (int i = 0; i < 25; ++i) {
    network->Run(milliseconds(100));
    CHECK(row().version_ <= MinVersionInForce(*network));
  }
  network->Run(seconds(10));
  CHECK(row().version_ == 2);
  CHECK(row().lagging_.empty());
  network->Stop(3);
  network->Run(seconds(15));
  CHECK(row().unreachable_ == std::vector<std::string>{ "h3" });
}

// Guards against calls to a data centre behind a network partition, against its members being
// declared dead, and against members that aren't used again afterwards.
TEST_CASE("a partitioned data centre is unreachable and its members aren't dead", "[network]")
{
  auto network = MakeSettledNetwork({ 16, 4, 0 });
  REQUIRE(AllKnowAll(*network));
  const auto targets = [&](std::size_t aNode) {
    return MakeTargetView(network->nodes_[aNode].membership_).targets_.at(ServiceId{ "s" }).size();
  };
  CHECK(targets(0) == 16);
  network->isPartitioned_ = [&](std::size_t aLeft, std::size_t aRight) {
    return (network->CentreOf(aLeft) == "d") != (network->CentreOf(aRight) == "d");
  };
  network->Run(seconds(15));
  for (std::size_t node = 0; node < 16; ++node) {
    CHECK(targets(node) == (network->CentreOf(node) == "d" ? 4 : 12));
  }
  CHECK(network->CountSeeing(3, MemberState::kDead) == 0);
  // The data centre still reaches the platform and stays fresh.
  CHECK(MaxFreshnessAge(*network) < seconds(4));
  network->isPartitioned_ = nullptr;
  network->Run(seconds(20));
  for (std::size_t node = 0; node < 16; ++node) {
    CHECK(targets(node) == 16);
  }
}

// Guards against lost freshness, which stops keyed routes, in a data centre that is separated only
// from the platform, or in all of them during a platform outage. Also guards against an isolated
// data centre that stays fresh.
TEST_CASE("freshness is kept during platform outages and lost in isolation", "[network]")
{
  auto network = MakeSettledNetwork({ 16, 4, 0 });
  SECTION("one data centre without the platform")
  {
    network->centresWithoutPlatform_ = { "b" };
    network->Run(seconds(60));
    CHECK(MaxFreshnessAge(*network) < seconds(8));
    network->AcceptRateChange(7);
    network->Run(seconds(5));
    CHECK(MinVersionInForce(*network) == 2);
  }
  SECTION("an outage of the whole platform")
  {
    network->platform_.down_ = true;
    network->Run(seconds(300));
    CHECK(MaxFreshnessAge(*network) < seconds(10));
    network->platform_.down_ = false;
    network->AcceptRateChange(7);
    network->Run(seconds(5));
    CHECK(MinVersionInForce(*network) == 2);
  }
  SECTION("an isolated data centre without the platform")
  {
    network->centresWithoutPlatform_ = { "d" };
    network->isPartitioned_ = [&](std::size_t aLeft, std::size_t aRight) {
      return (network->CentreOf(aLeft) == "d") != (network->CentreOf(aRight) == "d");
    };
    network->Run(seconds(60));
    CHECK(MaxFreshnessAge(*network, "d") > seconds(50));
    CHECK(MaxFreshnessAge(*network, "a") < seconds(4));
  }
  SECTION("an isolated data centre during an outage")
  {
    network->platform_.down_ = true;
    network->isPartitioned_ = [&](std::size_t aLeft, std::size_t aRight) {
      return (network->CentreOf(aLeft) == "d") != (network->CentreOf(aRight) == "d");
    };
    network->Run(seconds(60));
    CHECK(MaxFreshnessAge(*network, "d") > seconds(50));
    CHECK(MaxFreshnessAge(*network, "a") > seconds(50));
  }
  CHECK_FALSE(network->violated_);
}

// Guards against a node that claims to be fresher than it is and against versions that decrease,
// under random loss, delays of seconds, pauses, network partitions and restarts.
TEST_CASE("a node never claims to be fresher than it is", "[network][property]")
{
  CHECK(rc::check([] {
    NetworkSettings settings;
    settings.nodes_ = *rc::gen::inRange<std::size_t>(3, 16);
    settings.centres_ = *rc::gen::inRange<std::size_t>(1, 4);
    settings.loss_ = *rc::gen::element(0.0, 0.05, 0.3);
    settings.maxDelay_ = milliseconds(*rc::gen::element(5, 50, 1500, 4000));
    settings.seed_ = *rc::gen::arbitrary<std::uint64_t>();
    ControlNetwork network(settings);
    network.AcceptChange(FirstChange(settings.centres_));
    for (int i = 0; i < 40; ++i) {
      const auto node = *rc::gen::inRange<std::size_t>(0, settings.nodes_);
      switch (*rc::gen::inRange(0, 8)) {
        case 0:
        case 1:
        case 2:
          network.AcceptRateChange(10 + i);
          break;
        case 3:
          network.Pause(node, milliseconds(*rc::gen::element(300, 2000, 12000)));
          break;
        case 4:
          network.Restart(node, 1000 + static_cast<Incarnation>(i));
          break;
        case 5:
          network.centresWithoutPlatform_ = { network.CentreOf(node) };
          break;
        case 6: {
          const auto isolated = network.CentreOf(node);
          network.isPartitioned_ = [&network, isolated](std::size_t aLeft, std::size_t aRight) {
            return (network.CentreOf(aLeft) == isolated) != (network.CentreOf(aRight) == isolated);
          };
          break;
        }
        default:
          network.isPartitioned_ = nullptr;
          network.centresWithoutPlatform_.clear();
      }
      network.Run(milliseconds(*rc::gen::element(50, 400, 2000)));
    }
    RC_LOG() << network.violation_;
    RC_ASSERT(!network.violated_);
    // Without faults all nodes reach the latest version.
    network.isPartitioned_ = nullptr;
    network.centresWithoutPlatform_.clear();
    network.Run(seconds(90));
    if (settings.loss_ < 0.3 && settings.maxDelay_ < seconds(1)) {
      RC_ASSERT(MinVersionInForce(network) == network.acceptedAt_.size());
    }
    RC_ASSERT(!network.violated_);
  }));
}
