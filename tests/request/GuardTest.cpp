// Tests of the guard with a target on a real socket.
#include "peridotquay/process/Guard.h"

#include "peridotquay/connection/HttpServer.h"

#include <catch2/catch.hpp>

#include <memory>
#include <string>
#include <thread>
#include <vector>

using namespace peridotquay;

namespace {

/// Sends one call through the guard and waits for its answer.
Answer RunCall(EventLoop& aLoop, Guard& aGuard)
{
  Call call;
  call.service_ = { "svc" };
  call.route_ = { "balance" };
  call.method_ = "GET";
  call.path_ = "/balance";
  call.deadlineMs_ = 2000;
  Answer result;
  aLoop.Post([&] {
    aGuard.Run(
      call,
      [](std::uint64_t) {},
      [&](Answer aAnswer) {
        result = std::move(aAnswer);
        aLoop.Stop();
      });
  });
  aLoop.Run();
  return result;
}

} // namespace

// Guards against a scheduling of insufficient capacity that is never switched on, because nothing
// tells the guard that its target states the duration of its work, and against one that stays on
// for a target that states none, or with the setting `off`.
TEST_CASE("the guard schedules capacity while its target states the duration of work", "[guard]")
{
  for (const FeatureMode mode : { FeatureMode::kStated, FeatureMode::kOff }) {
    EventLoop loop;
    auto server = HttpServer::Listen(loop, {}, [](const std::shared_ptr<HttpExchange>& aExchange) {
      aExchange->Respond({ 200, {}, "ok", std::nullopt });
    });
    REQUIRE(server.has_value());
    NodeSettings settings;
    settings.service_ = { "svc" };
    settings.target_ = { "127.0.0.1", server.assume_value()->Port() };
    settings.roomScheduling_ = mode;
    Metrics metrics;
    HttpDialect dialect = QuayDialect();
    dialect.load_ = [](const HttpResponse&) -> std::optional<TargetLoad> {
      return TargetLoad{ 1, 0, 10, 100 };
    };
    Guard guard(loop, settings, metrics, dialect);
    guard.SetTarget({ "one", TargetState::kReady, 10, false, {} });
    CHECK_FALSE(guard.SchedulesCapacity());
    CHECK(RunCall(loop, guard).status_ == 200);
    CHECK(guard.SchedulesCapacity() == (mode == FeatureMode::kStated));
    guard.SetTarget({ "two", TargetState::kReady, 10, false, {} });
    CHECK_FALSE(guard.SchedulesCapacity());
  }
}

// Guards against a refusal by the run limit that books capacity of the guard, which isn't short, or
// that tells its caller to return later than it can.
TEST_CASE("a refusal by the run limit books no return and keeps its own hint", "[guard]")
{
  EventLoop loop;
  auto server = HttpServer::Listen(loop, {}, [](const std::shared_ptr<HttpExchange>& aExchange) {
    aExchange->Respond({ 500, {}, "", std::nullopt });
  });
  REQUIRE(server.has_value());
  NodeSettings settings;
  settings.service_ = { "svc" };
  settings.target_ = { "127.0.0.1", server.assume_value()->Port() };
  settings.roomScheduling_ = FeatureMode::kAlways;
  Metrics metrics;
  Guard guard(loop, settings, metrics);
  const auto recordOverload = [&] {
    for (int i = 0; i < 20; ++i) {
      guard.RecordDeeperCall(1);
    }
  };
  recordOverload();
  for (int i = 0; i < 6; ++i) {
    RunCall(loop, guard);
  }
  // The window of the run limit ends after 200 ms; the limit is then a single run.
  std::this_thread::sleep_for(milliseconds(250));
  loop.Post([&] { loop.Stop(); });
  loop.Run();
  recordOverload();
  Call call;
  call.service_ = { "svc" };
  call.route_ = { "balance" };
  call.method_ = "GET";
  call.path_ = "/balance";
  std::vector<Answer> answers;
  loop.Post([&] {
    // The first one takes the only run.
    for (const std::uint32_t deadlineMs : { 2000, 150, 2000 }) {
      call.deadlineMs_ = deadlineMs;
      guard.Run(
        call,
        [](std::uint64_t) {},
        [&](Answer aAnswer) {
          answers.push_back(std::move(aAnswer));
          if (answers.size() == 3) {
            loop.Stop();
          }
        });
    }
  });
  loop.Run();
  for (const std::size_t refused : { 0, 1 }) {
    CHECK(answers.at(refused).error_ == static_cast<std::uint16_t>(ErrorCode::kShed));
  }
  CHECK(answers.at(0).retryAfterMs_ <= 50);
  CHECK(guard.BookedReturns() == 0);
}
