// Tests of the table of call contexts.
#include "peridotquay/request/CallContext.h"

#include <catch2/catch.hpp>

#include <set>

using namespace peridotquay;

// Guards against tokens that can be guessed or collide.
TEST_CASE("tokens are 128 random bits in hex", "[context]")
{
  std::set<std::string> tokens;
  for (int i = 0; i < 1000; ++i) {
    const std::string token = NewContextToken();
    CHECK(token.size() == 32);
    CHECK(token.find_first_not_of("0123456789abcdef") == std::string::npos);
    tokens.insert(token);
  }
  CHECK(tokens.size() == 1000);
}

// Guards against a token that is valid after its call ended, and against returning retries that a
// deeper call may still spend.
TEST_CASE("a context ends with its call", "[context]")
{
  ContextTable table;
  const std::string token = NewContextToken();
  CallContext context;
  context.budget_ = { 4, 0, 0 };
  REQUIRE(OpenContext(table, token, context));
  CallContext* found = FindContext(table, token);
  REQUIRE(found != nullptr);
  CHECK(LendRetries(found->budget_) == 2);
  CHECK(FindContext(table, std::string(32, '0')) == nullptr);
  CHECK(CloseContext(table, token) == 2);
  CHECK(FindContext(table, token) == nullptr);
  CHECK(CloseContext(table, token) == 0);
}

// Guards against unbounded memory, unbounded call chains, and a call that replaces the context of
// another.
TEST_CASE("the number and the depth of contexts are bounded", "[context]")
{
  ContextTable table;
  for (std::size_t i = 0; i < kMaxContexts; ++i) {
    REQUIRE(OpenContext(table, std::to_string(i), {}));
  }
  const auto full = OpenContext(table, "one more", {});
  REQUIRE_FALSE(full);
  CHECK(full.assume_error().code_ == ErrorCode::kLimitReached);
  CloseContext(table, "7");
  CHECK_FALSE(OpenContext(table, "8", {}));
  CallContext deep;
  deep.depth_ = kMaxCallDepth + 1;
  const auto tooDeep = OpenContext(table, "7", deep);
  REQUIRE_FALSE(tooDeep);
  CHECK(tooDeep.assume_error().code_ == ErrorCode::kDepthExceeded);
  CHECK(OpenContext(table, "7", {}));
}

// Guards against counting the time of parallel deeper calls twice.
TEST_CASE("the time of overlapping deeper calls counts once", "[context]")
{
  CallContext context;
  const TimePoint start{ seconds(10) };
  BeginDeeperCall(context, start);
  BeginDeeperCall(context, start + milliseconds(10));
  EndDeeperCall(context, start + milliseconds(20));
  CHECK(DeeperTime(context, start + milliseconds(30)) == milliseconds(30));
  EndDeeperCall(context, start + milliseconds(40));
  BeginDeeperCall(context, start + milliseconds(100));
  EndDeeperCall(context, start + milliseconds(101));
  CHECK(DeeperTime(context, start + milliseconds(200)) == milliseconds(41));
}
