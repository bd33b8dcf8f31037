// Tests of whole control planes with real actors, the real clock and the test platform over HTTP.
// Messages between nodes are passed within the process.
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

// Stores what the control plane of one node published.
struct FakeDataPlane
{
  std::mutex mutex_;
  std::condition_variable changed_;
  std::shared_ptr<const Config> config_;
  std::shared_ptr<const TargetView> targets_;
  std::optional<TimePoint> freshness_;
  std::deque<std::pair<ShareGrant, TimePoint>> grants_;

  // Waits until the condition holds or the timeout ends. Returns whether it holds.
  bool Await(Duration aTimeout, const std::function<bool()>& aCondition)
  {
    std::unique_lock<std::mutex> lock(mutex_);
    return changed_.wait_for(lock, aTimeout, aCondition);
  }
};

// Control planes of several nodes in one process. The address of node i is 127.0.0.1 with port
// i + 1, but no socket is opened; the fleet passes messages by this port number.
class Fleet
{
public:
  Fleet(std::size_t aNodeCount, const Address& aPlatform)
    : dataPlanes_(aNodeCount)
    , controlPlanes_(aNodeCount)
  {
    for (std::size_t i = 0; i < aNodeCount; ++i) {
      dataPlanes_[i] = std::make_unique<FakeDataPlane>();
    }
    for (std::size_t i = 0; i < aNodeCount; ++i) {
      Start(i, aPlatform);
    }
  }

  ~Fleet()
  {
    {
      const std::lock_guard<std::mutex> lock(mutex_);
      closed_ = true;
    }
    for (auto& plane : controlPlanes_) {
      plane.reset();
    }
  }

  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  std::vector<std::unique_ptr<FakeDataPlane>> dataPlanes_;
  std::vector<std::unique_ptr<ControlPlane>> controlPlanes_;

private:
  void Start(std::size_t aIndex, const Address& aPlatform)
  {
    NodeSettings settings;
    settings.host_.value_ = "h" + std::to_string(aIndex);
    settings.dataCentre_.value_ = "a";
    settings.service_.value_ = "s";
    settings.peers_ = { "127.0.0.1", static_cast<std::uint16_t>(aIndex + 1) };
    settings.seedPeers_ = { { "127.0.0.1", 1 } };
    settings.platformAddresses_ = { aPlatform };
    settings.randomSeed_ = 5;
    const Hello hello{ kPeerProtocolVersion, settings.host_, 1000 + aIndex, settings.dataCentre_ };
    auto* dataPlane = dataPlanes_[aIndex].get();
    DataPlaneCallbacks callbacks;
    const auto deliver = [this](const Address& aTo,
                                const std::function<void(ControlPlane&)>& aDeliver) {
      const std::lock_guard<std::mutex> lock(mutex_);
      const std::size_t to = aTo.port_ - 1U;
      if (!closed_ && to < controlPlanes_.size() && controlPlanes_[to] != nullptr) {
        aDeliver(*controlPlanes_[to]);
      }
    };
    callbacks.sendPeer_ = [=](const Address& aTo, PeerMessage aMessage) {
      deliver(aTo, [&](ControlPlane& aPlane) {
        aPlane.OnPeerMessage(hello, { "127.0.0.1", 0 }, std::move(aMessage));
      });
    };
    callbacks.sendDatagram_ = [=](const Address& aTo, PeerMessage aMessage) {
      deliver(aTo, [&](ControlPlane& aPlane) {
        aPlane.OnDatagram(settings.peers_, std::move(aMessage));
      });
    };
    const auto update = [dataPlane](const std::function<void()>& aChange) {
      const std::lock_guard<std::mutex> lock(dataPlane->mutex_);
      aChange();
      dataPlane->changed_.notify_all();
    };
    callbacks.publishConfig_ = [=](std::shared_ptr<const Config> aConfig) {
      update([&] { dataPlane->config_ = std::move(aConfig); });
    };
    callbacks.publishTargets_ = [=](std::shared_ptr<const TargetView> aTargets) {
      update([&] { dataPlane->targets_ = std::move(aTargets); });
    };
    callbacks.publishFreshness_ = [=](TimePoint aTime) {
      update([&] { dataPlane->freshness_ = aTime; });
    };
    callbacks.deliverGrant_ = [=](ShareGrant aGrant, TimePoint aRequestedAt) {
      update([&] { dataPlane->grants_.emplace_back(std::move(aGrant), aRequestedAt); });
    };
    auto plane = MakeControlPlane(settings, hello.incarnation_, std::move(callbacks));
    const std::lock_guard<std::mutex> lock(mutex_);
    controlPlanes_[aIndex] = std::move(plane);
  }

  std::mutex mutex_;
  bool closed_ = false;
};

void Commit(Platform& aPlatform, Version aVersion, std::vector<EntityEdit> aEdits)
{
  ConfigChange change;
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

// Guards against nodes that, knowing only a seed address, don't find each other, don't put the
// configuration or, within 2 s, a later change in force, don't get tokens, or don't agree on one
// share leader and two delegates.
TEST_CASE("four nodes of one data centre start and apply changes", "[control]")
{
  auto server = PlatformServer::Start({});
  REQUIRE(server.has_value());
  const auto address = server.assume_value()->BoundAddress();
  auto platform = MakePlatformClient({ { address } });
  Commit(*platform,
         1,
         { { "account/mill", R"({"burst":40,"rate":400})" }, { "site/a", R"({"region":"r"})" } });
  Fleet fleet(4, address);
  for (auto& dataPlane : fleet.dataPlanes_) {
    CHECK(dataPlane->Await(seconds(10), [&] {
      return dataPlane->config_ != nullptr && dataPlane->config_->version_ == 1 &&
             dataPlane->freshness_ && dataPlane->targets_ != nullptr &&
             dataPlane->targets_->hosts_.size() == 4;
    }));
  }
  Commit(*platform, 2, { { "account/mill", R"({"burst":40,"rate":500})" } });
  const auto committedAt = Clock::now();
  for (auto& dataPlane : fleet.dataPlanes_) {
    CHECK(dataPlane->Await(seconds(5), [&] { return dataPlane->config_->version_ == 2; }));
  }
  CHECK(Clock::now() - committedAt < seconds(2));

  // Each node gets tokens from the node that holds the share lease.
  for (std::size_t node = 0; node < 4; ++node) {
    auto& dataPlane = *fleet.dataPlanes_[node];
    bool granted = false;
    for (std::uint64_t attempt = 1; attempt <= 100 && !granted; ++attempt) {
      fleet.controlPlanes_[node]->RequestTokens({ attempt, { "mill" }, 0, 0, 1 });
      dataPlane.Await(milliseconds(100), [&] { return !dataPlane.grants_.empty(); });
      const std::lock_guard<std::mutex> lock(dataPlane.mutex_);
      granted = !dataPlane.grants_.empty() && dataPlane.grants_.front().first.tokens_ >= 1;
      dataPlane.grants_.clear();
    }
    CHECK(granted);
  }
  std::uint32_t leaders = 0;
  std::uint32_t delegates = 0;
  for (auto& plane : fleet.controlPlanes_) {
    const auto status = plane->Status();
    CHECK(status.membersAlive_ == 4);
    CHECK(status.version_ == 2);
    leaders += status.shareLeader_ ? 1 : 0;
    delegates += status.delegate_ ? 1 : 0;
  }
  CHECK(leaders == 1);
  CHECK(delegates == 2);
}
