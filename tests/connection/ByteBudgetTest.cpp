// Tests of ByteBudget and HeldBytes.
#include "peridotquay/connection/ByteBudget.h"

#include <catch2/catch.hpp>

#include <optional>
#include <vector>

using namespace peridotquay;

// Guards against bytes that are held beyond the limit, or that aren't given back.
TEST_CASE("a budget refuses what doesn't fit and gets all bytes back", "[budget]")
{
  EventLoop loop;
  const auto budget = std::make_shared<ByteBudget>(loop, 2000);
  {
    HeldBytes first(budget, nullptr);
    HeldBytes second(budget, nullptr);
    CHECK(first.Reserve(600));
    CHECK_FALSE(second.Reserve(401));
    CHECK(second.Bytes() == 0);
    CHECK(second.Reserve(400));
    CHECK_FALSE(first.Reserve(601));
    CHECK(first.Bytes() == 600);
    CHECK(first.Reserve(100));
    CHECK(second.Reserve(900));
    first.ReserveAlways(500);
    CHECK(budget->used_ == 1400);
  }
  CHECK(budget->used_ == 0);
  CHECK(budget->refusedMessages_ == 2);
  HeldBytes unlimited(nullptr, nullptr);
  CHECK(unlimited.Reserve(1U << 30U));
}

// Guards against a message that ends while its other side is active, and against one that keeps the
// room of others although its other side is idle.
TEST_CASE("idle messages are ended to make room, the largest first", "[budget]")
{
  EventLoop loop;
  const auto budget = std::make_shared<ByteBudget>(loop, 2000);
  std::vector<int> ended;
  std::vector<std::unique_ptr<HeldBytes>> held;
  for (int i = 0; i < 3; ++i) {
    held.push_back(std::make_unique<HeldBytes>(budget, [&, i] {
      ended.push_back(i);
      held[static_cast<std::size_t>(i)]->Release();
    }));
  }
  REQUIRE(held[0]->Reserve(200));
  REQUIRE(held[1]->Reserve(300));
  REQUIRE(held[2]->Reserve(500));
  held[0]->SetNeedsOtherSide(true);
  held[1]->SetNeedsOtherSide(true);
  HeldBytes other(budget, nullptr);
  CHECK_FALSE(other.Reserve(100));
  CHECK(ended.empty());
  loop.After(milliseconds(1100), [&] { loop.Stop(); });
  loop.Run();
  // The largest one doesn't depend on its other side.
  CHECK(other.Reserve(100));
  CHECK(ended == std::vector<int>{ 1 });
  CHECK(other.Reserve(400));
  CHECK(ended == std::vector<int>{ 1, 0 });
  CHECK_FALSE(other.Reserve(600));
  CHECK(budget->endedMessages_ == 2);
}

// Guards against ending a message whose other side may pause for longer than others.
TEST_CASE("a message with a longer idle time is ended later", "[budget]")
{
  EventLoop loop;
  const auto budget = std::make_shared<ByteBudget>(loop, 1000);
  int ended = 0;
  HeldBytes patient(budget, [&] {
    ++ended;
    patient.Release();
  });
  patient.ReserveAlways(1000);
  patient.SetNeedsOtherSide(true, milliseconds(1500));
  HeldBytes answer(budget, nullptr);
  bool served = false;
  CHECK_FALSE(answer.ReserveOrWait(500, [&] { served = true; }));
  loop.After(milliseconds(1200), [&] { loop.Stop(); });
  loop.Run();
  CHECK(ended == 0);
  CHECK_FALSE(served);
  loop.After(milliseconds(500), [&] { loop.Stop(); });
  loop.Run();
  CHECK(ended == 1);
  CHECK(served);
}

// Guards against answers that wait for ever or out of order, and against later ones that overtake.
TEST_CASE("messages that wait for room get it in order", "[budget]")
{
  EventLoop loop;
  const auto budget = std::make_shared<ByteBudget>(loop, 1000);
  std::vector<int> served;
  std::optional<HeldBytes> first(std::in_place, budget, nullptr);
  HeldBytes second(budget, nullptr);
  HeldBytes third(budget, nullptr);
  HeldBytes fourth(budget, nullptr);
  first->ReserveAlways(900);
  CHECK_FALSE(second.ReserveOrWait(700, [&] { served.push_back(2); }));
  CHECK_FALSE(third.ReserveOrWait(50, [&] { served.push_back(3); }));
  CHECK_FALSE(fourth.ReserveOrWait(50, [&] { served.push_back(4); }));
  fourth.Release();
  CHECK_FALSE(HeldBytes(budget, nullptr).Reserve(10));
  loop.After(milliseconds(50), [&] { first.reset(); });
  loop.After(milliseconds(200), [&] { loop.Stop(); });
  loop.Run();
  CHECK(served == std::vector<int>{ 2, 3 });
  CHECK(budget->used_ == 750);
}

// Guards against answers that together grow without bound because their callers don't read them.
TEST_CASE("beyond twice the limit messages are ended at once", "[budget]")
{
  EventLoop loop;
  const auto budget = std::make_shared<ByteBudget>(loop, 1000);
  int ended = 0;
  std::vector<std::unique_ptr<HeldBytes>> held;
  for (std::size_t i = 0; i < 5; ++i) {
    held.push_back(std::make_unique<HeldBytes>(budget, [&, i] {
      ++ended;
      held[i]->Release();
    }));
    held.back()->ReserveAlways(500);
    held.back()->SetNeedsOtherSide(true);
  }
  loop.After(milliseconds(100), [&] { loop.Stop(); });
  loop.Run();
  CHECK(ended == 1);
  CHECK(budget->used_ == 2000);
}

// Guards against requests that hold all bytes and wait for answers that find no room.
TEST_CASE("requests leave room for answers", "[budget]")
{
  EventLoop loop;
  const auto budget = std::make_shared<ByteBudget>(loop, 1000);
  HeldBytes request(budget, nullptr);
  HeldBytes another(budget, nullptr);
  HeldBytes answer(budget, nullptr);
  CHECK(request.Reserve(500));
  CHECK_FALSE(another.Reserve(1));
  CHECK(answer.ReserveOrWait(500, nullptr));
}
