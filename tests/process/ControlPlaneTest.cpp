// Tests of whole control planes: real actors and clock, the platform stand-in over HTTP, and
// messages between nodes passed within the process.
#include "peridotquay/process/MakeControlPlane.h"
#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigDelta.h"

#include "standins/lib/PlatformServer.h"

#include <catch2/catch.hpp>

#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

using namespace peridotquay;

namespace {

// What the socket side of one node was told.
struct SocketSide
{
  std::mutex mutex_;
  std::condition_variable changed_;
  std::shared_ptr<const Config> config_;
  std::shared_ptr<const TargetView> targets_;
  std::optional<TimePoint> fresh_;
  std::deque<std::pair<ShareGrant, TimePoint>> grants_;

  // Waits until the condition holds, at most the given time.
  bool Await(Duration aLongest, const std::function<bool()>& aCondition)
  {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, aLongest, aCondition);
  }
};

// Nodes in one process. Addresses are "127.0.0.1" and the node's number; nothing is opened.
class Fleet
{
public:
  Fleet(std::size_t aNodes, const Address& aPlatform)
    : sides_(aNodes)
    , planes_(aNodes)
  {
    for (std::size_t i = 0; i < aNodes; ++i) {
      sides_[i] = std::make_unique<SocketSide>();
    }
    for (std::size_t i = 0; i < aNodes; ++i) {
      Start(i, aPlatform);
    }
  }

  ~Fleet()
  {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
    }
    for (auto& plane : planes_) {
      plane.reset();
    }
  }

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::vector<std::unique_ptr<SocketSide>> sides_;
  std::vector<std::unique_ptr<ControlPlane>> planes_;

private:
  void Start(std::size_t aNode, const Address& aPlatform)
  {
    NodeSettings settings;
    settings.host_.value_ = "h" + std::to_string(aNode);
    settings.dataCentre_.value_ = "a";
    settings.service_.value_ = "s";
    settings.peers_ = { "127.0.0.1", static_cast<std::uint16_t>(aNode + 1) };
    settings.seeds_ = { { "127.0.0.1", 1 } };
    settings.platform_ = { aPlatform };
    settings.randomSeed_ = 5;
    const Hello hello{ kPeerProtocolVersion, settings.host_, 1000 + aNode, settings.dataCentre_ };
    auto* side = sides_[aNode].get();
    DataPlaneCallbacks port;
    const auto deliver = [this](const Address& aTo,
                                const std::function<void(ControlPlane&)>& aUse) {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::size_t to = aTo.port_ - 1U;
      if (!closed_ && to < planes_.size() && planes_[to] != nullptr) {
        aUse(*planes_[to]);
      }
    };
    port.sendPeer_ = [=](const Address& aTo, PeerMessage aMessage) {
      deliver(aTo, [&](ControlPlane& aPlane) {
        aPlane.OnPeerMessage(hello, { "127.0.0.1", 0 }, std::move(aMessage));
      });
    };
    port.sendDatagram_ = [=](const Address& aTo, PeerMessage aMessage) {
      deliver(aTo, [&](ControlPlane& aPlane) {
        aPlane.OnDatagram(settings.peers_, std::move(aMessage));
      });
    };
    const auto update = [side](const std::function<void()>& aChange) {
      const std::lock_guard<std::mutex> lock(side->mutex_);
      aChange();
      side->changed_.notify_all();
    };
    port.publishConfig_ = [=](std::shared_ptr<const Config> aConfig) {
      update([&] { side->config_ = std::move(aConfig); });
    };
    port.publishTargets_ = [=](std::shared_ptr<const TargetView> aTargets) {
      update([&] { side->targets_ = std::move(aTargets); });
    };
    port.publishFreshness_ = [=](TimePoint aTime) { update([&] { side->fresh_ = aTime; }); };
    port.deliverGrant_ = [=](ShareGrant aGrant, TimePoint aAsked) {
      update([&] { side->grants_.emplace_back(std::move(aGrant), aAsked); });
    };
    auto plane = MakeControlPlane(settings, hello.incarnation_, std::move(port));
    const std::lock_guard<std::mutex> lock(mutex_);
    planes_[aNode] = std::move(plane);
  }

  std::mutex mutex_;
  bool closed_ = false;
};

void Accept(Platform& aPlatform, Version aVersion, std::vector<EntityEdit> aEdits)
{
  Change change;
  change.version_ = aVersion;
  change.operatorName_ = "test";
  change.operationId_ = NewOperationId();
  change.edits_ = std::move(aEdits);
  PlatformTransaction transaction;
  transaction.operationId_ = change.operationId_;
  transaction.writes_ = { { std::string(kHeadRowKey), EncodeHead(aVersion) },
                          { ChangeRowKey(aVersion), EncodeChange(change) } };
  REQUIRE(aPlatform.Transact(transaction).has_value());
}

} // namespace

// Guards against a control side that doesn't come up from static seeds: members known, the
// configuration in force and fresh, tokens granted, and a later change in force within 1 s.
TEST_CASE("four nodes of one data centre come up and follow changes", "[control]")
{
  auto server = PlatformServer::Start({});
  REQUIRE(server.has_value());
  const auto address = server.assume_value()->Bound();
  auto platform = MakePlatformClient({ { address } });
  Accept(*platform,
         1,
         { { "account/mill", R"({"burst":40,"rate":400})" }, { "site/a", R"({"region":"r"})" } });
  Fleet fleet(4, address);
  for (auto& side : fleet.sides_) {
    CHECK(side->Await(seconds(10), [&] {
      return side->config_ != nullptr && side->config_->version_ == 1 && side->fresh_ &&
             side->targets_ != nullptr && side->targets_->hosts_.size() == 4;
    }));
  }
  Accept(*platform, 2, { { "account/mill", R"({"burst":40,"rate":500})" } });
  const auto accepted = Clock::now();
  for (auto& side : fleet.sides_) {
    CHECK(side->Await(seconds(5), [&] { return side->config_->version_ == 2; }));
  }
  CHECK(Clock::now() - accepted < seconds(2));

  // Each node gets tokens, from whichever node holds the lease.
  for (std::size_t node = 0; node < 4; ++node) {
    auto& side = *fleet.sides_[node];
    bool granted = false;
    for (std::uint64_t attempt = 1; attempt <= 100 && !granted; ++attempt) {
      fleet.planes_[node]->RequestTokens({ attempt, { "mill" }, 0, 0, 1 });
      side.Await(milliseconds(100), [&] { return !side.grants_.empty(); });
      const std::lock_guard<std::mutex> lock(side.mutex_);
      granted = !side.grants_.empty() && side.grants_.front().first.tokens_ >= 1;
      side.grants_.clear();
    }
    CHECK(granted);
  }
  std::uint32_t leaders = 0;
  std::uint32_t delegates = 0;
  for (auto& plane : fleet.planes_) {
    const auto status = plane->Status();
    CHECK(status.membersAlive_ == 4);
    CHECK(status.version_ == 2);
    leaders += status.shareLeader_ ? 1 : 0;
    delegates += status.delegate_ ? 1 : 0;
  }
  CHECK(leaders == 1);
  CHECK(delegates == 2);
}
