// Tests of the settings file of a node.
#include "peridotquay/process/Settings.h"

#include "tests/version/Mutate.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

#include <limits>

using namespace peridotquay;

namespace {

const std::string kSettings = R"(host = "north-1"
data_centre = "north"
region = "r1"
service = "bells"
callers = "127.0.0.1:8000"
outbound = "127.0.0.1:8001"
peers = "127.0.0.1:8002"
admin = "127.0.0.1:8003"
target = "127.0.0.1:8004"
seeds = ["127.0.0.1:9002"]
platform = ["127.0.0.1:9100", "[::1]:9100"]
port_file = "/tmp/ports"
log_directory = "/tmp"
target_connections = 200
caller_connections = 100
max_body_bytes = 1000
max_header_bytes = 2000
read_timeout_ms = 1500
drain_timeout_ms = 2500
seed = 7
naive = true
even_load = "always"
host_memory_mb = 300
pipelined_requests = 4
)";

/// Returns the error of the valid settings with the first aFrom replaced by aTo.
Error FailureWith(const std::string& aFrom, const std::string& aTo)
{
  auto text = kSettings;
  text.replace(text.find(aFrom), aFrom.size(), aTo);
  return Failure(ParseNodeSettingsText(text, "node.toml"));
}

void CheckError(const Error& aError, ErrorCode aCode, const char* aKey, unsigned aLine)
{
  INFO(Describe(aError));
  CHECK(aError.code_ == aCode);
  CHECK(aError.subject_ == aKey);
  CHECK(aError.location_.file_ == "node.toml");
  CHECK(aError.location_.line_ == aLine);
}

} // namespace

// Guards against a setting that is accepted but not stored, and against a missing file that is
// accepted.
TEST_CASE("settings of a file are read", "[settings]")
{
  const auto settings = Value(ParseNodeSettingsText(kSettings, "node.toml"));
  NodeSettings expected;
  expected.host_ = { "north-1" };
  expected.dataCentre_ = { "north" };
  expected.region_ = { "r1" };
  expected.service_ = { "bells" };
  expected.callers_ = { "127.0.0.1", 8000 };
  expected.outbound_ = { "127.0.0.1", 8001 };
  expected.peers_ = { "127.0.0.1", 8002 };
  expected.admin_ = { "127.0.0.1", 8003 };
  expected.target_ = { "127.0.0.1", 8004 };
  expected.seedPeers_ = { { "127.0.0.1", 9002 } };
  expected.platformAddresses_ = { { "127.0.0.1", 9100 }, { "::1", 9100 } };
  expected.portFile_ = "/tmp/ports";
  expected.logDirectory_ = "/tmp";
  expected.maxTargetConnections_ = 200;
  expected.maxCallerConnections_ = 100;
  expected.pipelinedRequests_ = 4;
  expected.maxBodyBytes_ = 1000;
  expected.maxHeaderBytes_ = 2000;
  expected.hostMemoryMb_ = 300;
  expected.readTimeout_ = milliseconds(1500);
  expected.drainTimeout_ = milliseconds(2500);
  expected.randomSeed_ = 7;
  expected.naive_ = true;
  expected.evenLoad_ = FeatureMode::kAlways;
  CHECK(settings == expected);
  CHECK(Failure(ParseNodeSettings("/nonexistent/x.toml")).code_ == ErrorCode::kFileUnreadable);
}

// Guards against a node that starts with unknown, missing, contradictory or malformed settings, or
// with values of the wrong type or out of range.
TEST_CASE("errors of settings hold the location, key and allowed values", "[settings]")
{
  CheckError(FailureWith("seed = 7", "seeed = 7"), ErrorCode::kUnknownSetting, "seeed", 20);
  CheckError(FailureWith("seed = 7", "seed = \"7\""), ErrorCode::kWrongType, "seed", 20);
  CheckError(FailureWith("= 1500", "= 9"), ErrorCode::kOutOfRange, "read_timeout_ms", 18);
  CheckError(FailureWith("\"north-1\"", "\"a b\""), ErrorCode::kOutOfRange, "host", 1);
  CheckError(FailureWith("\"north-1\"", "\"a.b\""), ErrorCode::kOutOfRange, "host", 1);
  CheckError(
    FailureWith("\"127.0.0.1:8004\"", "\"localhost:80\""), ErrorCode::kOutOfRange, "target", 9);
  CheckError(FailureWith(":9002", ":0"), ErrorCode::kOutOfRange, "seeds", 10);
  CheckError(FailureWith(":8003", ":8000"), ErrorCode::kContradiction, "admin", 8);
  const std::string mode = "room_scheduling = ";
  CheckError(
    FailureWith("naive = true", mode + "\"on\""), ErrorCode::kOutOfRange, "room_scheduling", 21);
  CheckError(
    FailureWith("naive = true", mode + "true"), ErrorCode::kWrongType, "room_scheduling", 21);
  CheckError(FailureWith("naive = true", "naive = "), ErrorCode::kSyntax, "TOML", 21);
  CheckError(FailureWith("\"always\"", "\"on\""), ErrorCode::kOutOfRange, "even_load", 22);
  CheckError(FailureWith("\"always\"", "true"), ErrorCode::kWrongType, "even_load", 22);
  CHECK(FailureWith("region = \"r1\"\n", "").code_ == ErrorCode::kMissingSetting);
  CHECK(FailureWith("= 1500", "= 9").allowed_ == "10 to 600000");
}

// Guards against malformed files that crash the parser (mutations with seed 3).
TEST_CASE("mutated settings are parsed or fail with a location", "[settings]")
{
  std::mt19937_64 random(3);
  int failed = 0;
  for (int i = 0; i < 5000; ++i) {
    const auto settings = ParseNodeSettingsText(Mutate(kSettings, random), "node.toml");
    if (settings.has_error()) {
      ++failed;
      CHECK(settings.assume_error().location_.file_ == "node.toml");
    }
  }
  CHECK(failed > 1000);
}

// Guards against a planned stop that cuts calls although the process has more time: a fixed drain
// timeout suits one length of the grace time only. Guards also against a process that doesn't start
// because the time has a fraction.
TEST_CASE("the drain uses the time that a process has to stop", "[settings]")
{
  struct Case
  {
    const char* grace_;
    Duration timeout_;
    Duration accept_;
  };
  for (const Case& expected : { Case{ "6", milliseconds(5300), milliseconds(2400) },
                                Case{ "6.5", milliseconds(5716), milliseconds(2400) },
                                Case{ "2", milliseconds(1500), milliseconds(800) },
                                Case{ "0", milliseconds(2500), milliseconds(0) } }) {
    INFO("grace " << expected.grace_);
    const auto settings =
      Value(ParseNodeSettingsText(kSettings + "stop_grace_s = " + expected.grace_, "node.toml"));
    CHECK(std::chrono::floor<milliseconds>(settings.drainTimeout_) == expected.timeout_);
    CHECK(settings.drainAcceptPeriod_ == expected.accept_);
  }
  // Calls are ended in the last sixth, and the process has time left to exit.
  for (int grace = 5; grace <= 60; ++grace) {
    NodeSettings settings;
    SetDrainTimes(settings, seconds(grace));
    CHECK(settings.drainTimeout_ >= seconds(grace) * 5 / 6);
    CHECK(settings.drainTimeout_ <= seconds(grace) - milliseconds(500));
    CHECK(settings.drainAcceptPeriod_ < seconds(3));
  }
}

// Guards against callers that use up the descriptors that targets, peers and the platform need.
TEST_CASE("callers leave descriptors for targets, peers and the platform", "[settings]")
{
  NodeSettings settings;
  settings.maxTargetConnections_ = 400;
  settings.maxCallerConnections_ = 3000;
  CHECK(MaxCallerConnections(settings, 20000) == 3000);
  CHECK(MaxCallerConnections(settings, 4100) == 3000);
  CHECK(MaxCallerConnections(settings, 3656) == 3000);
  CHECK(MaxCallerConnections(settings, 3655) == 2999);
  CHECK(MaxCallerConnections(settings, 1312) == 656);
  CHECK(MaxCallerConnections(settings, 75) == 38);
  CHECK(MaxCallerConnections(settings, 1) == 1);
  CHECK(MaxCallerConnections(settings, std::numeric_limits<std::uint64_t>::max()) == 3000);
}
