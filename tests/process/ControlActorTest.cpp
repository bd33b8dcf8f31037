// Tests of the control actors with a clock that moves only when the test advances it.
#include "peridotquay/process/ControlActor.h"

#include "tests/version/FakePlatform.h"

#include <caf/actor_system_config.hpp>
#include <caf/all.hpp>
#include <caf/scheduler/test_coordinator.hpp>
#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

struct TestConfig : caf::actor_system_config
{
  TestConfig() { set("scheduler.policy", caf::atom("testing")); }
};

// Node whose actors run in the test's thread, with a platform that answers at once.
class ManualClockNode
{
public:
  ManualClockNode()
    : system_(config_)
    , scheduler_(dynamic_cast<caf::scheduler::test_coordinator&>(system_.scheduler()))
  {
    scheduler_.advance_time(seconds(1000));
    ControlContext context{ {}, std::make_shared<ControlStatusSlots>() };
    context.callbacks_.sendPeer_ = [this](const Address&, PeerMessage) { ++messagesSent_; };
    context.callbacks_.sendDatagram_ = [this](const Address&, PeerMessage) { ++messagesSent_; };
    context.callbacks_.publishConfig_ = [this](std::shared_ptr<const Config> aConfig) {
      publishedConfig_ = std::move(aConfig);
    };
    context.callbacks_.publishTargets_ = [this](std::shared_ptr<const TargetView> aView) {
      publishedTargets_ = std::move(aView);
    };
    context.callbacks_.publishFreshness_ = [this](TimePoint aTime) { publishedFreshness_ = aTime; };
    context.callbacks_.deliverGrant_ = [this](ShareGrant aGrant, TimePoint aRequestedAt) {
      grant_ = std::move(aGrant);
      grantRequestedAt_ = aRequestedAt;
    };
    const auto platform = system_.spawn([this](caf::event_based_actor* aSelf) -> caf::behavior {
      return { [this, aSelf](const PlatformCallRequest& aRequest) {
        auto answer = RunPlatformCall(platform_, aRequest.call_);
        answer.startedAt_ = aSelf->clock().now();
        answer.finishedAt_ = aSelf->clock().now();
        return answer;
      } };
    });
    MemberEntry self;
    self.host_.value_ = "h0";
    self.incarnation_ = 1;
    self.peer_ = { "127.0.0.1", 1 };
    self.dataCentre_.value_ = "a";
    self.service_.value_ = "s";
    const auto now = Now();
    shares_ = SpawnShareActor(
      system_, context, MakeShareLease({}, self.host_, 1, self.dataCentre_, 3, now), platform);
    versions_ = SpawnVersionActor(
      system_, context, MakeDissemination({}, self.dataCentre_, 4, now), platform, shares_);
    membership_ = SpawnMembershipActor(
      system_, context, MakeMembership({}, self, {}, 5, now), versions_, shares_);
    scheduler_.run();
  }

  ~ManualClockNode()
  {
    for (const auto& actor : { membership_, versions_, shares_ }) {
      caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
    }
    scheduler_.run();
  }

  ManualClockNode(const ManualClockNode&) = delete;
  ManualClockNode& operator=(const ManualClockNode&) = delete;

  TimePoint Now() { return scheduler_.clock().now(); }

  void Advance(Duration aLength)
  {
    for (auto remaining = aLength; remaining > Duration{}; remaining -= milliseconds(100)) {
      scheduler_.advance_time(milliseconds(100));
      scheduler_.run();
    }
  }

  // Advances the time in one step, in which no actor runs, as in a paused process.
  void Pause(Duration aLength)
  {
    scheduler_.advance_time(aLength);
    scheduler_.run();
  }

  double RequestTokens(double aWanted)
  {
    grant_.reset();
    caf::anon_send(shares_, TokenRequest{ { 77, { "mill" }, 0, 0, aWanted }, Now() });
    scheduler_.run();
    return grant_ ? grant_->tokens_ : -1;
  }

  void CommitVersion(Version aVersion, const std::string& aAccount)
  {
    ConfigChange change;
    change.version_ = aVersion;
    change.edits_ = { { "account/mill", aAccount } };
    PlatformTransaction transaction;
    transaction.operationId_ = std::to_string(aVersion);
    transaction.writes_ = { { std::string(kHeadRowKey), EncodeHead(aVersion) },
                            { ChangeRowKey(aVersion), EncodeChange(change) } };
    REQUIRE(platform_.Transact(transaction).has_value());
  }

  FakePlatform platform_;
  std::shared_ptr<const Config> publishedConfig_;
  std::shared_ptr<const TargetView> publishedTargets_;
  std::optional<TimePoint> publishedFreshness_;
  std::optional<ShareGrant> grant_;
  TimePoint grantRequestedAt_{};
  int messagesSent_ = 0;
  TestConfig config_;
  caf::actor_system system_;
  caf::scheduler::test_coordinator& scheduler_;
  caf::actor membership_;
  caf::actor versions_;
  caf::actor shares_;
};

} // namespace

// Guards against a timer that doesn't use the clock of the actor system, and against a new version
// that isn't published within 700 ms.
TEST_CASE("actors poll the platform by the clock of the actor system", "[actors]")
{
  ManualClockNode node;
  node.CommitVersion(1, R"({"burst":20,"rate":10})");
  node.Advance(seconds(1));
  REQUIRE(node.publishedConfig_ != nullptr);
  CHECK(node.publishedConfig_->version_ == 1);
  CHECK(node.publishedTargets_->hosts_.size() == 1);
  node.CommitVersion(2, R"({"burst":20,"rate":11})");
  node.scheduler_.run();
  CHECK(node.publishedConfig_->version_ == 1);
  node.Advance(milliseconds(700));
  CHECK(node.publishedConfig_->version_ == 2);
  CHECK(node.Now() - *node.publishedFreshness_ <= milliseconds(700));
}

// Guards against freshness that advances while the only node of a data centre can't reach the
// platform.
TEST_CASE("freshness doesn't advance in a platform outage", "[actors]")
{
  ManualClockNode node;
  node.CommitVersion(1, R"({"burst":20,"rate":10})");
  node.Advance(seconds(2));
  node.platform_.down_ = true;
  const auto before = *node.publishedFreshness_;
  node.Advance(seconds(30));
  CHECK(*node.publishedFreshness_ == before);
  node.platform_.down_ = false;
  node.Advance(seconds(1));
  CHECK(*node.publishedFreshness_ > before + seconds(29));
}

// Guards against a share leader that grants tokens under a lease that ended while its process was
// paused, and against a grant whose lifetime is counted from a later time than the request.
TEST_CASE("a share leader grants nothing after its lease ended during a pause", "[actors]")
{
  ManualClockNode node;
  node.CommitVersion(1, R"({"burst":20,"rate":10})");
  node.Advance(seconds(6));
  const auto requestedAt = node.Now();
  CHECK(node.RequestTokens(2) == 2);
  CHECK(node.grant_->nonce_ == 77);
  CHECK(node.grantRequestedAt_ == requestedAt);
  node.platform_.down_ = true;
  node.Pause(seconds(700));
  CHECK(node.RequestTokens(2) == 0);
  node.platform_.down_ = false;
  node.Advance(seconds(3));
  CHECK(node.RequestTokens(2) == 2);
}
