// Tests of what a guard refuses because of evacuations and allowed regions, and of the starts at a
// target that may be cold. The target is a server on the same loop.
#include "peridotquay/process/Guard.h"

#include "peridotquay/connection/HttpServer.h"

#include "platform/PlatformDialect.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <memory>
#include <vector>

using namespace peridotquay;
using namespace peridotquay::platform;

namespace {

struct GuardedTarget
{
  EventLoop loop_;
  std::vector<std::shared_ptr<HttpExchange>> received_;
  std::unique_ptr<HttpServer> server_ =
    Value(HttpServer::Listen(loop_, {}, [this](const std::shared_ptr<HttpExchange>& aExchange) {
      received_.push_back(aExchange);
    }));
  NodeSettings settings_ = Settings();
  Metrics metrics_;
  Guard guard_{ loop_, settings_, metrics_, PlatformDialect() };
  std::vector<Answer> answers_;
  std::uint64_t nextId_ = 1;

  NodeSettings Settings() const
  {
    NodeSettings settings;
    settings.host_ = { "h" };
    settings.dataCentre_ = { "d1" };
    settings.region_ = { "r1" };
    settings.service_ = { "s" };
    settings.target_ = { "127.0.0.1", server_->Port() };
    return settings;
  }

  void RunFor(Duration aTime)
  {
    loop_.After(aTime, [this] { loop_.Stop(); });
    loop_.Run();
  }

  void SetTarget(bool aIsEvacuated,
                 std::optional<Duration> aColdRemaining = std::nullopt,
                 std::uint32_t aSlots = 100)
  {
    guard_.SetTarget({ "t", TargetState::kReady, aSlots, aIsEvacuated, aColdRemaining });
  }

  void SetConfig(double aColdPerSecond,
                 const std::vector<RegionId>& aRouteRegions,
                 const std::vector<RegionId>& aAccountRegions)
  {
    auto config = std::make_shared<Config>();
    if (aColdPerSecond > 0) {
      config->coldStarts_[{ "s" }].perSecond_ = aColdPerSecond;
    }
    Route route;
    route.id_ = { "route" };
    route.allowedRegions_ = aRouteRegions;
    config->routes_.push_back(route);
    ClientAccount account;
    account.id_ = { "a" };
    account.allowedRegions_ = aAccountRegions;
    config->clientAccounts_[account.id_] = account;
    guard_.SetConfig(config);
  }

  void Send(int aCalls)
  {
    for (int i = 0; i < aCalls; ++i) {
      Call call;
      call.callId_ = nextId_++;
      call.service_ = { "s" };
      call.route_ = { "route" };
      call.method_ = "GET";
      call.path_ = "/x";
      call.clientAccount_ = { "a" };
      call.deadlineMs_ = 20'000;
      guard_.Run(
        call,
        [](std::uint64_t /*aNumber*/) {},
        [this](Answer aAnswer) { answers_.push_back(std::move(aAnswer)); });
    }
  }

  int NotRun(ErrorCode aCode) const
  {
    return static_cast<int>(std::count_if(answers_.begin(), answers_.end(), [&](const Answer& a) {
      return a.outcome_ == Outcome::kNotRun && a.error_ == static_cast<std::uint16_t>(aCode);
    }));
  }

  /// Starts one call that keeps the target's only slot, and another one that waits.
  void StartAndQueue()
  {
    SetTarget(false, Duration::zero(), 1);
    SetConfig(0, {}, {});
    Send(2);
    RunFor(milliseconds(100));
    REQUIRE(received_.size() == 1);
    REQUIRE(answers_.empty());
  }
};

} // namespace

// Guards against calls that reach the target of an evacuated data centre from hosts that learn of
// the order late, and against callers that are told that these calls may have run.
TEST_CASE("a guard refuses waiting and arriving calls when its data centre is evacuated",
          "[guard][evacuation]")
{
  GuardedTarget target;
  target.StartAndQueue();
  target.SetTarget(true, std::nullopt, 1);
  CHECK(target.NotRun(ErrorCode::kDraining) == 1);
  target.Send(3);
  target.RunFor(milliseconds(100));
  CHECK(target.NotRun(ErrorCode::kDraining) == 4);
  CHECK(target.received_.size() == 1);
}

// Guards against a call that runs in a region that the operator has excluded since it was sent.
TEST_CASE("a guard refuses calls that its region is excluded from", "[guard][evacuation]")
{
  for (const bool byAccount : { false, true }) {
    INFO("by account " << byAccount);
    GuardedTarget target;
    target.StartAndQueue();
    const std::vector<RegionId> other{ { "r2" } };
    const std::vector<RegionId> both{ { "r1" }, { "r2" } };
    target.SetConfig(0, byAccount ? both : other, byAccount ? other : both);
    CHECK(target.NotRun(ErrorCode::kNoTarget) == 1);
    target.Send(1);
    CHECK(target.NotRun(ErrorCode::kNoTarget) == 2);
    target.SetConfig(0, both, {});
    target.Send(1);
    CHECK(target.answers_.size() == 2);
  }
}

// Guards against a target that became cold while it got no calls and crashes on its return.
TEST_CASE("starts are limited after a return until a heartbeat says otherwise", "[guard][cold]")
{
  GuardedTarget target;
  target.SetTarget(false, Duration::zero());
  target.SetConfig(10, {}, {});
  target.Send(30);
  // Without an answer, the number of first calls doubles from 3 every 250 ms.
  target.RunFor(milliseconds(1500));
  REQUIRE(target.received_.size() == 30);
  target.SetTarget(true);
  target.SetTarget(false);
  target.Send(30);
  target.RunFor(milliseconds(1000));
  const std::size_t limited = target.received_.size() - 30;
  CHECK(limited >= 6);
  CHECK(limited <= 12);
  target.SetTarget(false, Duration::zero());
  target.RunFor(milliseconds(100));
  // Nothing ends at this target, so all calls that the guard kept have started.
  CHECK(target.received_.size() + target.answers_.size() == 60);
}

// Guards against a burst at a target that restarts and accepts connections before its first
// heartbeat.
TEST_CASE("starts are limited after a refused connection", "[guard][cold]")
{
  GuardedTarget target;
  target.SetTarget(false, Duration::zero());
  target.SetConfig(10, {}, {});
  CHECK(target.guard_.ColdPerSecond() == 0);
  target.server_.reset();
  target.Send(1);
  target.RunFor(milliseconds(200));
  CHECK(target.NotRun(ErrorCode::kTargetUnreachable) == 1);
  CHECK(target.guard_.ColdPerSecond() == Approx(9));
  target.SetTarget(false, Duration::zero());
  CHECK(target.guard_.ColdPerSecond() == 0);
}
