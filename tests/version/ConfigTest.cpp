// Tests of look-ups in a compiled configuration.
#include "peridotquay/version/Config.h"

#include "peridotquay/version/ConfigCompiler.h"

#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

using namespace peridotquay;

namespace {

/// Two accounts, two sites, an open route and a route that needs a key. The overlay of south
/// narrows both routes.
Entities SampleEntities()
{
  return {
    { "account/harbour", R"({"burst":20,"rate":10})" },
    { "account/mill", R"({"burst":5,"rate":2.5})" },
    { "key/" + KeyDigest("secret"), R"({"account":"mill"})" },
    { "key/" + KeyDigest("old"), R"({"account":"mill","withdrawn":true})" },
    { "policy/default", R"({"queue_capacity":100})" },
    { "route/bells", R"({"open":true,"prefix":"/bells","service":"profiles"})" },
    { "route/bookings",
      R"({"accounts":["mill"],"importance":"critical","prefix":"/bells/bookings",)"
      R"("repeatable":false,"service":"profiles"})" },
    { "service/profiles", "{}" },
    { "site/north", R"({"region":"r1"})" },
    { "site/south",
      R"({"overlay":{"accounts":{"mill":{"rate_part":0.5}},"policy":{"queue_capacity":10},)"
      R"("routes":{"bells":{"open":false},"bookings":{"deadline_ms":500}}},"region":"r2"})" },
  };
}

} // namespace

// Guards against a prefix that matches inside a path segment, and against a shorter prefix that is
// preferred to a longer one.
TEST_CASE("the route with the longest prefix at a segment boundary is chosen", "[config]")
{
  const auto config = Value(CompileConfig(SampleEntities(), { "north" }, 7));
  REQUIRE(FindRoute(*config, "/bells") != nullptr);
  CHECK(FindRoute(*config, "/bells/7?x=/bells/bookings")->id_.value_ == "bells");
  CHECK(FindRoute(*config, "/bells/bookings/7")->id_.value_ == "bookings");
  CHECK(FindRoute(*config, "/bells/bookings?x=1")->id_.value_ == "bookings");
  CHECK(FindRoute(*config, "/bells/bookingsx")->id_.value_ == "bells");
  CHECK(FindRoute(*config, "/bellsx") == nullptr);
  CHECK(FindRoute(*config, "/") == nullptr);
  CHECK(FindRoute(*config, "") == nullptr);
}

// Guards against a path that matches an open route but that a target resolves to a route that needs
// a key.
TEST_CASE("ambiguous paths match no route", "[config]")
{
  const auto config = Value(CompileConfig(SampleEntities(), { "north" }, 7));
  CHECK(FindRoute(*config, "/bells/gro%C3%9Fe%20glocke")->id_.value_ == "bells");
  CHECK(FindRoute(*config, "/bells/")->id_.value_ == "bells");
  for (const char* path : { "/bells/x/../bookings",
                            "/bells/./bookings",
                            "/bells//bookings",
                            "/bells/%2E%2e/x",
                            "/bells%2fbookings",
                            "/bells\\bookings",
                            "/bells/%62ookings",
                            "/bells/bookings%3Bx",
                            "/bells/bookings;x=1",
                            "/bells/..;/bookings",
                            "/bells/%",
                            "/bells/%6",
                            "/bells/%zz",
                            "/bells/a%252e",
                            "/bells/%0d%0ax",
                            "/bells/a b",
                            "/bells#/bookings",
                            "/bells/x/.." }) {
    INFO(path);
    CHECK(FindRoute(*config, path) == nullptr);
  }
}

// Guards against withdrawn, unknown or truncated keys that are accepted for an account.
TEST_CASE("only keys in force are mapped to a client account", "[config]")
{
  const auto config = Value(CompileConfig(SampleEntities(), { "north" }, 7));
  const auto* account = FindAccountByKeyDigest(*config, KeyDigest("secret"));
  REQUIRE(account != nullptr);
  CHECK(account->id_.value_ == "mill");
  CHECK(FindAccountByKeyDigest(*config, KeyDigest("old")) == nullptr);
  CHECK(FindAccountByKeyDigest(*config, KeyDigest("other")) == nullptr);
  CHECK(FindAccountByKeyDigest(*config, KeyDigest("secret").substr(0, 63)) == nullptr);
  CHECK(FindAccountByKeyDigest(*config, "") == nullptr);
  CHECK(KeyDigest("abc") == "ba7816bf8f01cfea414140de5dae2223b00361a396177a9cb410ff61f20015ad");
}

// Guards against an overlay that is applied in another data centre, or not in its own.
TEST_CASE("an overlay narrows only its own data centre", "[config]")
{
  const auto north = Value(CompileConfig(SampleEntities(), { "north" }, 7));
  const auto south = Value(CompileConfig(SampleEntities(), { "south" }, 7));
  CHECK(north->policy_.queueCapacity_ == 100);
  CHECK(south->policy_.queueCapacity_ == 10);
  CHECK(FindRoute(*north, "/bells")->open_);
  CHECK_FALSE(FindRoute(*south, "/bells")->open_);
  CHECK(FindRoute(*south, "/bells/bookings")->deadline_ == milliseconds(500));
  CHECK(FindAccountByKeyDigest(*south, KeyDigest("secret"))->siteRateFraction_ == 0.5);
  CHECK(FindAccountByKeyDigest(*south, KeyDigest("secret"))->ratePerSecond_ == 2.5);
  CHECK(south->version_ == 7);
  CHECK(Failure(CompileConfig(SampleEntities(), { "west" }, 7)).code_ == ErrorCode::kUnknownSite);
}
