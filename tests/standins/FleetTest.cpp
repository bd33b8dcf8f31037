// Tests of the fleet profiles and of the child processes of a fleet.
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/ConfigParser.h"

#include "standins/lib/FleetProcess.h"
#include "standins/lib/FleetProfile.h"

#include <catch2/catch.hpp>

#include <signal.h>

using namespace peridotquay;
using namespace peridotquay::standins;

// Guards against a generated base configuration that can't be parsed or compiled, or that lacks the
// routes and keys that callers use.
TEST_CASE("the base configurations of all profiles compile and have their routes and keys",
          "[fleet]")
{
  for (const char* name : { "foundry", "landesamt", "pair" }) {
    const FleetProfile profile = FindProfile(name);
    const auto entities = ParseConfigFiles({ "base.toml", BaseConfiguration(profile) },
                                           { { "overlay.toml", "data_centre = \"north-1\"\n" } });
    if (entities.has_error()) {
      FAIL(Describe(entities.assume_error()));
    }
    const auto config = CompileConfig(entities.assume_value(), { "north-1" }, 1);
    REQUIRE(config.has_value());
    const Config& compiled = *config.assume_value();
    const std::string path = "/" + profile.services_[0].name_ + "/" + profile.classes_[0].name_;
    REQUIRE(FindRoute(compiled, path) != nullptr);
    CHECK(FindRoute(compiled, path)->service_.value_ == profile.services_[0].name_);
    CHECK(FindAccountByKeyDigest(compiled, KeyDigest(profile.accounts_[0].key_)) != nullptr);
    CHECK(FindRoute(compiled, "/" + profile.services_[1].name_ + "/work") != nullptr);
  }
}

// Guards against a child process that outlives its owner, and against a lost exit status.
TEST_CASE("a child process ends with its owner and reports its exit status", "[fleet]")
{
  pid_t id = 0;
  {
    auto process = FleetProcess::Start({ "/bin/sleep", "60" }, "/dev/null");
    REQUIRE(process.has_value());
    id = process.assume_value().Id();
    CHECK(process.assume_value().Alive());
    CHECK_FALSE(process.assume_value().Wait(milliseconds(20)).has_value());
  }
  CHECK(::kill(id, 0) != 0);
  auto failing = FleetProcess::Start({ "/bin/false" }, "/dev/null");
  REQUIRE(failing.has_value());
  CHECK(failing.assume_value().Wait(seconds(5)) == 1);
  CHECK_FALSE(failing.assume_value().Alive());
  auto missing = FleetProcess::Start({ "/nowhere/program" }, "/dev/null");
  REQUIRE(missing.has_value());
  CHECK(missing.assume_value().Wait(seconds(5)) == 127);
}
