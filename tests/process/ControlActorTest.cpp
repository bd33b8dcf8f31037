// Tests of the actors with a paused clock: nothing happens unless the test advances the time.
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

// One node whose three actors run in the test's thread, with a platform that answers at once.
class PausedNode
{
public:
  PausedNode()
    : system_(config_)
    , scheduler_(dynamic_cast<caf::scheduler::test_coordinator&>(system_.scheduler()))
  {
    scheduler_.advance_time(seconds(1000));
    ControlContext context{ {}, std::make_shared<ControlStatusSlots>() };
    context.port_.sendPeer_ = [this](const Address&, PeerMessage) { ++sent_; };
    context.port_.sendDatagram_ = [this](const Address&, PeerMessage) { ++sent_; };
    context.port_.publishConfig_ = [this](std::shared_ptr<const Config> aConfig) {
      config_ptr_ = std::move(aConfig);
    };
    context.port_.publishTargets_ = [this](std::shared_ptr<const TargetView> aView) {
      view_ = std::move(aView);
    };
    context.port_.publishFreshness_ = [this](TimePoint aTime) { fresh_ = aTime; };
    context.port_.deliverGrant_ = [this](ShareGrant aGrant, TimePoint aAsked) {
      grant_ = std::move(aGrant);
      asked_ = aAsked;
    };
    const auto platform = system_.spawn([this](caf::event_based_actor* aSelf) -> caf::behavior {
      return { [this, aSelf](const PlatformCallRequest& aJob) {
        auto answer = RunPlatformCall(platform_, aJob.call_);
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

  ~PausedNode()
  {
    for (const auto& actor : { membership_, versions_, shares_ }) {
      caf::anon_send_exit(actor, caf::exit_reason::user_shutdown);
    }
    scheduler_.run();
  }

  PausedNode(const PausedNode&) = delete;
  PausedNode& operator=(const PausedNode&) = delete;

  TimePoint Now() { return scheduler_.clock().now(); }

  void Advance(Duration aLength)
  {
    for (auto left = aLength; left > Duration{}; left -= milliseconds(100)) {
      scheduler_.advance_time(milliseconds(100));
      scheduler_.run();
    }
  }

  // Time passes without a chance to act, as in a paused process.
  void Pause(Duration aLength)
  {
    scheduler_.advance_time(aLength);
    scheduler_.run();
  }

  double Ask(double aWanted)
  {
    grant_.reset();
    caf::anon_send(shares_, TokenRequest{ { 77, { "mill" }, 0, 0, aWanted }, Now() });
    scheduler_.run();
    return grant_ ? grant_->tokens_ : -1;
  }

  void Accept(Version aVersion, const std::string& aAccount)
  {
    Change change;
    change.version_ = aVersion;
    change.edits_ = { { "account/mill", aAccount } };
    PlatformTransaction transaction;
    transaction.operationId_ = std::to_string(aVersion);
    transaction.writes_ = { { std::string(kHeadRowKey), EncodeHead(aVersion) },
                            { ChangeRowKey(aVersion), EncodeChange(change) } };
    REQUIRE(platform_.Transact(transaction).has_value());
  }

  FakePlatform platform_;
  std::shared_ptr<const Config> config_ptr_;
  std::shared_ptr<const TargetView> view_;
  std::optional<TimePoint> fresh_;
  std::optional<ShareGrant> grant_;
  TimePoint asked_{};
  int sent_ = 0;
  TestConfig config_;
  caf::actor_system system_;
  caf::scheduler::test_coordinator& scheduler_;
  caf::actor membership_;
  caf::actor versions_;
  caf::actor shares_;
};

} // namespace

// Guards against a timer that doesn't use the actor clock, and against a version that isn't
// published within a poll.
TEST_CASE("actors follow the platform by the actor clock", "[actors]")
{
  PausedNode node;
  node.Accept(1, R"({"burst":20,"rate":10})");
  node.Advance(seconds(1));
  REQUIRE(node.config_ptr_ != nullptr);
  CHECK(node.config_ptr_->version_ == 1);
  CHECK(node.view_->hosts_.size() == 1);
  node.Accept(2, R"({"burst":20,"rate":11})");
  node.scheduler_.run();
  CHECK(node.config_ptr_->version_ == 1);
  node.Advance(milliseconds(700));
  CHECK(node.config_ptr_->version_ == 2);
  CHECK(node.Now() - *node.fresh_ <= milliseconds(700));
}

// Guards against freshness that goes on while the platform is away, in a data centre without
// others.
TEST_CASE("freshness stops with the platform", "[actors]")
{
  PausedNode node;
  node.Accept(1, R"({"burst":20,"rate":10})");
  node.Advance(seconds(2));
  node.platform_.down_ = true;
  const auto before = *node.fresh_;
  node.Advance(seconds(30));
  CHECK(*node.fresh_ == before);
  node.platform_.down_ = false;
  node.Advance(seconds(1));
  CHECK(*node.fresh_ > before + seconds(29));
}

// Guards against a leader that grants from a lease that ended while its process was paused, and
// against grants counted from a later time than that of the request.
TEST_CASE("a paused leader grants nothing from an expired lease", "[actors]")
{
  PausedNode node;
  node.Accept(1, R"({"burst":20,"rate":10})");
  node.Advance(seconds(6));
  const auto asked = node.Now();
  CHECK(node.Ask(2) == 2);
  CHECK(node.grant_->nonce_ == 77);
  CHECK(node.asked_ == asked);
  node.platform_.down_ = true;
  node.Pause(seconds(700));
  CHECK(node.Ask(2) == 0);
  node.platform_.down_ = false;
  node.Advance(seconds(3));
  CHECK(node.Ask(2) == 2);
}
