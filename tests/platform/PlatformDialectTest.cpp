// Tests of the HTTP headers, refusals and statuses of the users' platform.
#include "platform/PlatformDialect.h"

#include <catch2/catch.hpp>

using namespace peridotquay;
using namespace peridotquay::platform;

// Guards against a caller's key that reaches a target, and against a caller that forges the
// account, service, target id or deadline which the target receives.
TEST_CASE("a caller can't set the headers that the node sets", "[platform]")
{
  HeaderList headers{ { "Authorization", "Token k" },  { "x-tenant-id", "other" },
                      { "X-Caller-Service", "other" }, { "X-Expected-Instance", "other" },
                      { "X-Deadline-Ms", "9" },        { "X-Request-Id", "id" },
                      { "Accept", "text/plain" } };
  const HttpDialect& dialect = PlatformDialect();
  dialect.rewriteForGuard_(headers, { "own" });
  CHECK_FALSE(FindHeader(headers, "Authorization"));
  CHECK_FALSE(FindHeader(headers, "X-Tenant-Id"));
  CHECK(FindHeader(headers, "X-Caller-Service") == "own");
  Call call;
  call.clientAccount_ = { "t1" };
  dialect.rewriteForTarget_(headers, { call, "", "i-1", 750 });
  const HeaderList expected{ { "X-Request-Id", "id" },         { "Accept", "text/plain" },
                             { "X-Caller-Service", "own" },    { "X-Deadline-Ms", "750" },
                             { "X-Expected-Instance", "i-1" }, { "X-Tenant-Id", "t1" } };
  CHECK(headers == expected);
}

// Guards against a request that ran but is retried as refused, and against a refused request that
// isn't recognized as such.
TEST_CASE("only a target's refusal means that the request didn't run", "[platform]")
{
  const auto refusal = PlatformDialect().refusal_;
  CHECK(refusal({ 503, { { "X-Not-Executed", "1" } }, "", std::nullopt }));
  CHECK(refusal({ 421, {}, "", std::nullopt }));
  CHECK_FALSE(refusal({ 503, {}, "", std::nullopt }));
  CHECK_FALSE(refusal({ 500, {}, "", std::nullopt }));
  CHECK_FALSE(refusal({ 200, {}, "", std::nullopt }));
}

// Guards against a malformed load header that is read as a load, and against a stated duration of
// work that makes the guard discard the slots.
TEST_CASE("a load header needs three numbers and may state the duration of work", "[platform]")
{
  const auto load = [](const char* aText) {
    return PlatformDialect().load_({ 200, { { "X-Server-Load", aText } }, "", std::nullopt });
  };
  CHECK(load("3,0,8") == TargetLoad{ 3, 0, 8, {} });
  CHECK(load("3,0,8,1") == TargetLoad{ 3, 0, 8, 1 });
  CHECK(load("3,0,8,250") == TargetLoad{ 3, 0, 8, 250 });
  CHECK(load("3,0,8,62.6") == TargetLoad{ 3, 0, 8, 63 });
  for (const char* text : { "",
                            "3",
                            "3,0",
                            "3,0,",
                            "a,0,8",
                            "3;0;8",
                            "3,0,-1",
                            "3,0,8,",
                            "3,0,8,x",
                            "3,0,8,0",
                            "3,0,8,-5",
                            "3,0,8,1e9",
                            "3,0,8,100,1",
                            "3,0,8,inf" }) {
    INFO(text);
    CHECK_FALSE(load(text));
  }
}

// Guards against a status that states that the request didn't run although it may have run.
TEST_CASE("only requests that didn't run get a status that says so", "[platform]")
{
  const auto failure = PlatformDialect().failure_;
  for (int code = 1; code <= static_cast<int>(ErrorCode::kNotFound); ++code) {
    const auto status = failure(static_cast<ErrorCode>(code), Outcome::kUnknown, "", 100).status_;
    CHECK((status == 502 || status == 504));
  }
  CHECK(failure(ErrorCode::kShed, Outcome::kNotRun, "", 0).status_ == 503);
  CHECK(failure(ErrorCode::kNoRoute, Outcome::kNotRun, "", 0).status_ == 404);
  CHECK(failure(ErrorCode::kUnknownKey, Outcome::kNotRun, "", 0).status_ == 401);
  const HttpResponse overRate = failure(ErrorCode::kOverRate, Outcome::kNotRun, "", 250);
  CHECK(overRate.status_ == 429);
  CHECK(FindHeader(overRate.headers_, "Retry-After") == "0.250");
}

// Guards against a stated limit or departure that isn't read, and malformed ones that are.
TEST_CASE("an answer's headers state a target's limit and departure", "[platform]")
{
  const auto notice = PlatformDialect().notice_;
  CHECK(notice({}) == TargetNotice{});
  CHECK(notice({ { "Server-Limit", "64.2" } }) == TargetNotice{ 64.2, false });
  CHECK(notice({ { "server-limit", "0" }, { "server-leaving", "1" } }) == TargetNotice{ 0, true });
  CHECK_FALSE(notice({ { "Server-Leaving", "0" } }).leaving_);
  for (const char* text : { "", "-1", "nan", "inf", "64.2x", " 5", "1e400" }) {
    INFO(text);
    CHECK_FALSE(notice({ { "Server-Limit", text } }).maxPerSecond_);
  }
}

// Guards against a target that states itself cold outside of its heartbeats and isn't believed.
TEST_CASE("an answer may state how long its target stays cold", "[dialect]")
{
  const auto cold = [](const std::string& aText) {
    return PlatformDialect().notice_({ { "X-Cold-Ms", aText } }).coldRemaining_;
  };
  CHECK(cold("1500") == Duration(milliseconds(1500)));
  CHECK(cold("0") == Duration::zero());
  CHECK_FALSE(cold("-1"));
  CHECK_FALSE(cold("soon"));
  CHECK_FALSE(PlatformDialect().notice_({}).coldRemaining_);
}
