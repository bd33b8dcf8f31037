// Tests of configuration files: locations and codes of errors, overlays, malformed input.
#include "peridotquay/version/ConfigParser.h"

#include "peridotquay/process/OperatorCommands.h"
#include "peridotquay/version/ConfigCompiler.h"

#include "tests/version/Mutate.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

#include <fstream>
#include <sstream>

using namespace peridotquay;

namespace {

const std::string kBase = R"([policy]
queue_capacity = 100
[sites.north]
region = "r1"
[sites.south]
region = "r2"
[services.bells]
[accounts.mill]
rate = 10
burst = 20
[accounts.harbour]
rate = 5
burst = 5
[routes.open]
prefix = "/open"
service = "bells"
open = true
[routes.book]
prefix = "/book"
service = "bells"
importance = "critical"
repeatable = false
deadline_ms = 1000
max_retries = 2
accounts = ["mill"]
)";

Error ParseBaseFailure(const std::string& aBase)
{
  return Failure(ParseConfigFiles({ "base.toml", aBase }, {}));
}

Error ParseOverlayFailure(const std::string& aOverlay)
{
  return Failure(ParseConfigFiles({ "base.toml", kBase }, { { "north.toml", aOverlay } }));
}

void CheckError(const Error& aError, ErrorCode aCode, const std::string& aFile, unsigned aLine)
{
  INFO(Describe(aError));
  CHECK(aError.code_ == aCode);
  CHECK(aError.location_.file_ == aFile);
  CHECK(aError.location_.line_ == aLine);
  CHECK(aError.location_.column_ > 0);
}

std::string ReadText(const std::string& aFile)
{
  std::ostringstream text;
  text << std::ifstream(aFile).rdbuf();
  return text.str();
}

} // namespace

// Guards against mistakes in the base file that are accepted or reported at the wrong location.
TEST_CASE("errors in the base file are reported with their location", "[config]")
{
  REQUIRE(ParseConfigFiles({ "base.toml", kBase }, {}).has_value());
  CheckError(ParseBaseFailure("[policy]\nqueue = 1\n"), ErrorCode::kUnknownSetting, "base.toml", 2);
  CheckError(ParseBaseFailure("[polic]\n"), ErrorCode::kUnknownSetting, "base.toml", 1);
  CheckError(
    ParseBaseFailure("[policy]\nqueue_capacity = 1025\n"), ErrorCode::kOutOfRange, "base.toml", 2);
  CheckError(
    ParseBaseFailure("[policy]\n\nretry_ratio = \"x\"\n"), ErrorCode::kWrongType, "base.toml", 3);
  CheckError(
    ParseBaseFailure("[policy]\nretry_ratio = nan\n"), ErrorCode::kOutOfRange, "base.toml", 2);
  CheckError(ParseBaseFailure("[policy]\nx = 1979-05-27\n"), ErrorCode::kWrongType, "base.toml", 2);
  CheckError(
    ParseBaseFailure("[accounts.a]\nrate = 1\n"), ErrorCode::kMissingSetting, "base.toml", 1);
  CheckError(ParseBaseFailure("a = \n"), ErrorCode::kSyntax, "base.toml", 1);
  CheckError(ParseBaseFailure("\n[.a]\n"), ErrorCode::kSyntax, "base.toml", 2);
  CheckError(ParseBaseFailure("[sites.a]\nregion = \"r\"\noverlay = {}\n"),
             ErrorCode::kUnknownSetting,
             "base.toml",
             3);
  CheckError(ParseBaseFailure("[policy]\nelastic_lease_ms = 20000\nfloor_lease_ms = 20000\n"),
             ErrorCode::kContradiction,
             "base.toml",
             2);
  const auto baseLines = 26U;
  CheckError(ParseBaseFailure(kBase + "[routes.twice]\nprefix = \"/book\"\nservice = \"bells\"\n"),
             ErrorCode::kContradiction,
             "base.toml",
             baseLines + 1);
  CheckError(ParseBaseFailure(kBase + "[routes.x]\nprefix = \"/x\"\nservice = \"none\"\n"),
             ErrorCode::kUnknownReference,
             "base.toml",
             baseLines + 2);
  CheckError(ParseBaseFailure(
               kBase + "[routes.x]\nprefix = \"/x\"\nservice = \"bells\"\naccounts = [\"no\"]\n"),
             ErrorCode::kUnknownReference,
             "base.toml",
             baseLines + 3);
  CheckError(ParseBaseFailure(kBase + "[routes.x]\nprefix = \"/x/../y\"\nservice = \"bells\"\n"),
             ErrorCode::kOutOfRange,
             "base.toml",
             baseLines + 1);
}

// Guards against an overlay that permits more than the base, or that changes the importance of a
// critical route.
TEST_CASE("overlays that widen the base are rejected with their location", "[config]")
{
  const std::string head = "data_centre = \"north\"\n";
  const auto expectWidens = [&head](const std::string& aText, unsigned aLine) {
    CheckError(ParseOverlayFailure(head + aText), ErrorCode::kOverlayWidens, "north.toml", aLine);
  };
  expectWidens("[routes.book]\ndeadline_ms = 1001\n", 3);
  expectWidens("[routes.book]\nmax_retries = 3\n", 3);
  expectWidens("[routes.book]\nopen = true\n", 3);
  expectWidens("[routes.book]\naccounts = [\"mill\", \"harbour\"]\n", 3);
  expectWidens("[routes.book]\naccounts = []\n", 3);
  expectWidens("[routes.book]\nimportance = \"high\"\n", 3);
  expectWidens("[routes.open]\n\nimportance = \"critical\"\n", 4);
  expectWidens("[policy]\nqueue_capacity = 101\n", 3);
  expectWidens("[policy]\nkey_freshness_bound_ms = 10001\n", 3);
  CheckError(ParseOverlayFailure(head + "[accounts.mill]\nrate = 20\n"),
             ErrorCode::kUnknownSetting,
             "north.toml",
             3);
  CheckError(ParseOverlayFailure(head + "[accounts.mill]\nrate_part = 1.5\n"),
             ErrorCode::kOutOfRange,
             "north.toml",
             3);
  CheckError(ParseOverlayFailure(head + "[policy]\nfloor_fraction = 0.1\n"),
             ErrorCode::kUnknownSetting,
             "north.toml",
             3);
  CheckError(ParseOverlayFailure(head + "[routes.none]\nmax_retries = 0\n"),
             ErrorCode::kUnknownReference,
             "north.toml",
             2);
  CheckError(ParseOverlayFailure(head + "[routes.open]\naccounts = [\"mill\"]\n"),
             ErrorCode::kContradiction,
             "north.toml",
             3);
  CheckError(
    ParseOverlayFailure("data_centre = \"west\"\n"), ErrorCode::kUnknownSite, "north.toml", 1);
  CheckError(ParseOverlayFailure(""), ErrorCode::kMissingSetting, "north.toml", 1);
}

// Guards against a withdrawn key of the base file that is valid again after the file is applied
// again.
TEST_CASE("files can't grant a withdrawn key again", "[config]")
{
  const std::string key = "key/" + std::string(64, 'a');
  const Entities files{ { key, R"({"account":"mill","source":"file"})" } };
  const Entities current{ { key, R"({"account":"mill","source":"file","withdrawn":true})" } };
  CHECK(Failure(MergeConfigFiles(current, files)).code_ == ErrorCode::kContradiction);
  CHECK(Value(MergeConfigFiles(current, {})).empty());
  const Entities granted{ { key, R"({"account":"mill","source":"command"})" } };
  CHECK(Value(MergeConfigFiles(granted, {})) == granted);
}

// Guards against example deployments that no longer pass the checks.
TEST_CASE("the example deployments compile at every site", "[config]")
{
  for (const char* name : { "foundry", "landesamt" }) {
    const auto entities =
      Value(ReadConfigDirectory(std::string(PQ_SOURCE_DIR) + "/examples/" + name));
    auto sites = 0;
    for (const auto& [entity, json] : entities) {
      if (entity.compare(0, 5, "site/") == 0) {
        ++sites;
        const auto config = Value(CompileConfig(entities, { entity.substr(5) }, 1));
        CHECK(config->clientAccounts_.size() == 8);
        CHECK(config->keys_.size() == 8);
      }
    }
    CHECK(sites == 4);
  }
}

// Guards against malformed files that crash the parser or whose errors name no file; seed 1.
TEST_CASE("mutated files give valid entities or an error with a location", "[config]")
{
  const auto base = ReadText(std::string(PQ_SOURCE_DIR) + "/examples/foundry/base.toml");
  const auto overlay = ReadText(std::string(PQ_SOURCE_DIR) + "/examples/foundry/aegean-2.toml");
  REQUIRE_FALSE(base.empty());
  std::mt19937_64 random(1);
  int accepted = 0;
  for (int i = 0; i < 3000; ++i) {
    const bool mutateBase = i % 2 == 0;
    const auto parsed =
      ParseConfigFiles({ "base.toml", mutateBase ? Mutate(base, random) : base },
                       { { "o.toml", mutateBase ? overlay : Mutate(overlay, random) } });
    if (parsed.has_error()) {
      CHECK_FALSE(parsed.assume_error().location_.file_.empty());
    } else {
      ++accepted;
      CHECK(CheckEntities(parsed.assume_value()).has_value());
    }
  }
  // Mutations of comments and descriptions leave a file valid.
  CHECK(accepted > 0);
  CHECK(accepted < 3000);
}
