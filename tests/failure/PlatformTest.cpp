// Tests of configuration storage and operator commands against the platform stand-in, with
// concurrent operators, lost responses, outages and write limits.
#include "peridotquay/process/Platform.h"

#include "peridotquay/process/BlockingHttp.h"
#include "peridotquay/process/ConfigStore.h"
#include "peridotquay/process/OperatorCommands.h"
#include "peridotquay/process/RolloutStatus.h"
#include "peridotquay/version/ConfigCompiler.h"

#include "standins/lib/PlatformServer.h"
#include "tests/connection/RawSocket.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

#include <array>
#include <atomic>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <set>
#include <thread>

using namespace peridotquay;

namespace {

/// A platform stand-in with a client, and short timeouts that keep the tests fast.
struct PlatformFixture
{
  std::unique_ptr<PlatformServer> server_ = Value(PlatformServer::Start({}));
  std::unique_ptr<Platform> client_ = NewClient();
  CommitSettings commit_{ seconds(3), milliseconds(20), milliseconds(300) };

  std::unique_ptr<Platform> NewClient(std::vector<Address> aFirstAddresses = {}) const
  {
    PlatformClientSettings settings;
    settings.addresses_ = std::move(aFirstAddresses);
    settings.addresses_.push_back(server_->BoundAddress());
    settings.requestTimeout_ = milliseconds(400);
    return MakePlatformClient(settings);
  }

  void SetFaults(const std::string& aJson) const
  {
    PlatformFaults faults;
    REQUIRE(UpdatePlatformFaults(faults, aJson).has_value());
    server_->SetFaults(faults);
  }
};

/// Returns a change that creates or replaces one client account.
ConfigChange PutAccount(const std::string& aId, const std::string& aOperation, int aRate = 1)
{
  ConfigChange change;
  change.operatorName_ = "test";
  change.operationId_ = aOperation;
  change.edits_ = { { "account/" + aId, "{\"burst\":1,\"rate\":" + std::to_string(aRate) + "}" } };
  return change;
}

/// Returns a loopback address on which nothing listens.
Address ClosedPort()
{
  return { "127.0.0.1", peridotquay::testing::FreePort() };
}

std::string ExampleDirectory(const char* aName)
{
  return std::string(PQ_SOURCE_DIR) + "/examples/" + aName;
}

WriteOptions MakeWriteOptions(const PlatformFixture& aFixture,
                              std::optional<Version> aExpectedVersion = std::nullopt)
{
  WriteOptions options;
  options.operator_ = "test";
  options.expectedVersion_ = aExpectedVersion;
  options.commit_ = aFixture.commit_;
  return options;
}

/// Runs a shell command and returns its exit code and its output.
std::pair<int, std::string> RunProgram(const std::string& aCommand)
{
  std::string output;
  auto* pipe = popen((aCommand + " 2>&1").c_str(), "r");
  REQUIRE(pipe != nullptr);
  std::array<char, 4096> buffer{};
  for (std::size_t count = 0; (count = fread(buffer.data(), 1, buffer.size(), pipe)) > 0;) {
    output.append(buffer.data(), count);
  }
  const auto status = pclose(pipe);
  return { WEXITSTATUS(status), output };
}

} // namespace

// Guards against a stand-in that applies only a part of a transaction or ignores a condition.
TEST_CASE("transactions take effect as a whole or not at all", "[platform]")
{
  PlatformFixture fixture;
  const auto first =
    Value(fixture.client_->Transact({ "a", { { "x", 0 } }, { { "x", "1" }, { "y", "2" } } }));
  const auto conflict =
    Failure(fixture.client_->Transact({ "b", { { "y", first }, { "x", 0 } }, { { "y", "3" } } }));
  CHECK(conflict.code_ == ErrorCode::kPlatformConflict);
  CHECK(conflict.subject_ == "x");
  CHECK(conflict.allowed_ == std::to_string(first));
  CHECK(Value(fixture.client_->ReadRow("y"))->value_ == "2");
  // Repeating an operation id that took effect returns the first result and changes nothing.
  CHECK(Value(fixture.client_->Transact({ "a", { { "x", 0 } }, { { "x", "9" } } })) == first);
  CHECK(Value(fixture.client_->ReadRow("x"))->value_ == "1");
  Value(fixture.client_->Transact({ "c", { { "y", first } }, { { "y", std::nullopt } } }));
  CHECK_FALSE(Value(fixture.client_->ReadRow("y")).has_value());
  CHECK(Value(fixture.client_->ReadRange("", "", 10)).size() == 1);
  CHECK(Value(fixture.client_->ReadRange("x", "x", 10)).empty());
  CHECK_FALSE(Value(fixture.client_->GetObject("a/b c")).has_value());
  REQUIRE(fixture.client_->PutObject("a/b c", "body").has_value());
  CHECK(Value(fixture.client_->GetObject("a/b c")) == "body");
}

// Guards against lost updates: of several operators who write the same version concurrently, one
// must succeed and the others must get a version conflict.
TEST_CASE("each version is written by exactly one of several concurrent operators", "[platform]")
{
  PlatformFixture fixture;
  constexpr int kOperators = 8;
  constexpr int kRounds = 20;
  std::atomic<int> committedCount{ 0 };
  std::atomic<int> otherErrors{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      const auto client = fixture.NewClient();
      for (int round = 0; round < kRounds; ++round) {
        const auto base = LoadConfig(*client);
        const auto id = std::to_string(i) + "-" + std::to_string(round);
        const auto written =
          base.has_error()
            ? Result<Version>(base.assume_error())
            : CommitChange(
                *client, base.assume_value(), PutAccount(id, "op-" + id), fixture.commit_);
        if (written.has_value()) {
          ++committedCount;
        } else if (written.assume_error().code_ != ErrorCode::kVersionConflict) {
          ++otherErrors;
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto stored = Value(LoadConfig(*fixture.client_));
  CHECK(otherErrors == 0);
  CHECK(committedCount > 0);
  CHECK(stored.version_ == static_cast<Version>(committedCount));
  CHECK(stored.entities_.size() == static_cast<std::size_t>(committedCount));
}

// Guards against a change that is written twice, or reported as failed, when its response is lost.
TEST_CASE("the outcome of a lost response is resolved by reading the change back", "[platform]")
{
  PlatformFixture fixture;
  fixture.SetFaults(R"({"lose_answers":0.5})");
  std::set<std::string> operations;
  for (int i = 0; i < 40; ++i) {
    const auto base = Value(LoadConfig(*fixture.client_));
    const auto operation = "op-" + std::to_string(i);
    CHECK(Value(CommitChange(
            *fixture.client_, base, PutAccount("a", operation, i + 1), fixture.commit_)) ==
          base.version_ + 1);
    operations.insert(operation);
  }
  CHECK(fixture.server_->Counts().lost_ > 5);
  const auto history = Value(LoadHistory(*fixture.client_, 0, 100));
  REQUIRE(history.size() == 40);
  for (const auto& change : history) {
    CHECK(operations.erase(change.operationId_) == 1);
  }
}

// Guards against a client that mistakes another operator's change for its own after a lost
// response.
TEST_CASE("a lost response is a conflict if another operator's change was written", "[platform]")
{
  PlatformFixture fixture;
  const auto base = Value(LoadConfig(*fixture.client_));
  Value(CommitChange(*fixture.client_, base, PutAccount("a", "winner"), fixture.commit_));
  const auto checkLost = [&] {
    const auto error =
      Failure(CommitChange(*fixture.client_, base, PutAccount("b", "loser"), fixture.commit_));
    CHECK(error.code_ == ErrorCode::kVersionConflict);
    CHECK(error.subject_ == "version 1");
    const auto stored = Value(LoadConfig(*fixture.client_));
    CHECK(stored.version_ == 1);
    CHECK_FALSE(stored.entities_.contains("account/b"));
  };
  checkLost();
  // Without any response, the operation id in the change row reveals the conflict.
  fixture.SetFaults(R"({"outage":"silent"})");
  std::jthread outageEnd([&fixture] {
    std::this_thread::sleep_for(milliseconds(700));
    fixture.SetFaults("{}");
  });
  checkLost();
  outageEnd.join();
}

// Guards against a delayed transaction that takes effect after its operator was told that it
// failed.
TEST_CASE("a transaction reported as failed can't take effect later", "[platform]")
{
  PlatformFixture fixture;
  const auto start = Value(LoadConfig(*fixture.client_));
  Value(CommitChange(*fixture.client_, start, PutAccount("a", "first"), fixture.commit_));
  const auto base = Value(LoadConfig(*fixture.client_));
  // Requests get no response for longer than the client waits; then the platform works again.
  fixture.SetFaults(R"({"outage":"silent"})");
  std::jthread outageEnd([&fixture] {
    std::this_thread::sleep_for(milliseconds(700));
    fixture.SetFaults("{}");
  });
  const auto error =
    Failure(CommitChange(*fixture.client_, base, PutAccount("b", "late"), fixture.commit_));
  outageEnd.join();
  CHECK(error.code_ == ErrorCode::kPlatformUnavailable);
  // The delayed transaction arrives unchanged, and its condition on the head row fails.
  const auto late = Failure(fixture.client_->Transact(
    { "late", { { "config/head", base.headRevision_ } }, { { "config/head", EncodeHead(2) } } }));
  CHECK(late.code_ == ErrorCode::kPlatformConflict);
  // The fence against the delayed transaction left the version unchanged, so an operator who loaded
  // the configuration before it can still write.
  CHECK(Value(CommitChange(*fixture.client_, base, PutAccount("c", "next"), fixture.commit_)) == 2);
}

// Guards against "unavailable" for a write that may have happened, and "unknown" for one that can't
// have happened.
TEST_CASE("outage errors state whether a write may have happened", "[platform]")
{
  PlatformFixture fixture;
  const auto base = Value(LoadConfig(*fixture.client_));
  const auto commit = [&](Platform& aClient) {
    return Failure(CommitChange(aClient, base, PutAccount("a", "op"), fixture.commit_)).code_;
  };
  fixture.SetFaults(R"({"outage":"refuse"})");
  CHECK(commit(*fixture.client_) == ErrorCode::kPlatformUnavailable);
  PlatformClientSettings unreachable;
  unreachable.addresses_ = { ClosedPort() };
  CHECK(commit(*MakePlatformClient(unreachable)) == ErrorCode::kPlatformUnavailable);
  CHECK(commit(*MakePlatformClient({})) == ErrorCode::kPlatformUnavailable);
  fixture.SetFaults(R"({"outage":"silent"})");
  fixture.commit_.resolveTimeout_ = milliseconds(600);
  CHECK(commit(*fixture.client_) == ErrorCode::kPlatformUnknown);
  fixture.SetFaults("{}");
  CHECK(Value(LoadConfig(*fixture.client_)).version_ == 0);
  // One of several addresses may refuse connections.
  const auto both = fixture.NewClient({ ClosedPort() });
  CHECK(Value(CommitChange(*both, base, PutAccount("a", "op2"), fixture.commit_)) == 1);
}

// Guards against a stand-in that doesn't enforce the platform's write limit, which tests of write
// budgets rely on.
TEST_CASE("the stand-in refuses writes above its rate limit", "[platform]")
{
  PlatformFixture fixture;
  fixture.SetFaults(R"({"writes_per_second":50})");
  const auto end = Clock::now() + seconds(1);
  int written = 0;
  int refused = 0;
  for (int i = 0; Clock::now() < end; ++i) {
    const auto result =
      fixture.client_->Transact({ "op" + std::to_string(i), {}, { { "x", "1" } } });
    if (result.has_value()) {
      ++written;
    } else {
      REQUIRE(result.assume_error().code_ == ErrorCode::kPlatformUnavailable);
      ++refused;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  // The limit holds 5 writes in reserve and adds 50 within the second.
  CHECK(written <= 57);
  CHECK(written >= 20);
  CHECK(refused > 0);
  CHECK(fixture.client_->ReadRow("x").has_value());
}

// Guards against missing snapshots, and against a load that skips changes before or after a
// snapshot.
TEST_CASE("a snapshot is written every 256 versions and loaded", "[platform]")
{
  PlatformFixture fixture;
  StoredConfig base = Value(LoadConfig(*fixture.client_));
  for (int i = 1; i <= 300; ++i) {
    const auto change = PutAccount("a" + std::to_string(i % 7), "op" + std::to_string(i), i);
    const auto version = Value(CommitChange(*fixture.client_, base, change, fixture.commit_));
    REQUIRE(ApplyChange(base.entities_, change).has_value());
    base.version_ = version;
    base.headRevision_ = Value(fixture.client_->ReadRow(kHeadRowKey))->revision_;
    CHECK(IsSnapshotDue(base, version + 1) == (version + 1 >= 256));
    // The writer of version 256 skips the snapshot; the writer of a later version must write it.
    if (i != 256) {
      CHECK(Value(WriteDueSnapshot(*fixture.client_)) == (i < 256 ? 0 : 256));
    }
  }
  const auto stored = Value(LoadConfig(*fixture.client_));
  CHECK(stored.version_ == 300);
  CHECK(stored.snapshotVersion_ == 256);
  CHECK(stored.entities_ == base.entities_);
  const auto snapshot =
    Value(DecodeSnapshot(*Value(fixture.client_->GetObject(SnapshotName(256)))));
  CHECK(snapshot.entities_.size() == 7);
}

// Guards against a change row of another writer that can't be applied and blocks all further
// changes.
TEST_CASE("a stored change that can't be applied is treated as empty", "[platform]")
{
  PlatformFixture fixture;
  ConfigChange broken;
  broken.version_ = 1;
  broken.edits_ = { { "account/absent", std::nullopt }, { "account/a", "{}" } };
  Value(fixture.client_->Transact(
    { "x", {}, { { "config/head", EncodeHead(1) }, { ChangeRowKey(1), EncodeChange(broken) } } }));
  const auto base = Value(LoadConfig(*fixture.client_));
  CHECK(base.version_ == 1);
  CHECK(base.entities_.empty());
  CHECK(Value(CommitChange(*fixture.client_, base, PutAccount("a", "op"), fixture.commit_)) == 2);
}

// Guards against an operator who overwrites a change without knowing of it.
TEST_CASE("applying against an old version reports the current version and its changes",
          "[platform]")
{
  PlatformFixture fixture;
  const auto foundry = ExampleDirectory("foundry");
  const auto first = ApplyCommand(*fixture.client_, foundry, MakeWriteOptions(fixture, 0));
  REQUIRE(first.exitCode_ == 0);
  CHECK(first.json_["version"] == 1);
  const auto granted =
    GrantKeyCommand(*fixture.client_, "museum", "desk", MakeWriteOptions(fixture));
  REQUIRE(granted.exitCode_ == 0);
  const auto outdated = ApplyCommand(*fixture.client_, foundry, MakeWriteOptions(fixture, 1));
  CHECK(outdated.exitCode_ == ExitCode(ErrorCode::kVersionConflict));
  CHECK(outdated.json_["winner"] == 2);
  REQUIRE(outdated.json_["changes"].size() == 1);
  CHECK(outdated.json_["changes"][0]["edits"][0]["json"]["account"] == "museum");
  // Applying the same files keeps the granted key. It fails once a key in the files was withdrawn.
  CHECK(
    ApplyCommand(*fixture.client_, foundry, MakeWriteOptions(fixture, 2)).json_["edits"].empty());
  const auto keys = ListKeysCommand(*fixture.client_, "guild-office").json_["keys"];
  REQUIRE(keys.size() == 1);
  const auto digest = keys[0]["digest"].get<std::string>();
  CHECK(WithdrawKeyCommand(*fixture.client_, digest, MakeWriteOptions(fixture)).exitCode_ == 0);
  const auto rejected = ApplyCommand(*fixture.client_, foundry, MakeWriteOptions(fixture));
  CHECK(rejected.exitCode_ == ExitCode(ErrorCode::kContradiction));
  CHECK(rejected.json_["error"]["line"].get<int>() > 0);
}

// Guards against a key stored in plain text: only its digest may reach the platform.
TEST_CASE("a granted key is never sent to the platform", "[platform]")
{
  PlatformFixture fixture;
  REQUIRE(
    ApplyCommand(*fixture.client_, ExampleDirectory("landesamt"), MakeWriteOptions(fixture, 0))
      .exitCode_ == 0);
  auto forged = MakeWriteOptions(fixture);
  forged.operator_ = "a\nversion 9 by b";
  CHECK(GrantKeyCommand(*fixture.client_, "growers", "", forged).exitCode_ ==
        ExitCode(ErrorCode::kOutOfRange));
  const auto granted = GrantKeyCommand(*fixture.client_, "growers", "", MakeWriteOptions(fixture));
  const auto key = granted.json_["key"].get<std::string>();
  for (const auto& row : Value(fixture.client_->ReadRange("", "", 1000))) {
    CHECK(row.value_.find(key) == std::string::npos);
    CHECK(row.value_.find(key.substr(3)) == std::string::npos);
  }
  const auto stored = Value(LoadConfig(*fixture.client_));
  const auto config = Value(CompileConfig(stored.entities_, { "hof-1" }, stored.version_));
  const auto* account = FindAccountByKeyDigest(*config, KeyDigest(key));
  REQUIRE(account != nullptr);
  CHECK(account->id_.value_ == "growers");
}

// Guards against "in force" being reported while a data centre lags, and against a wait that
// doesn't end after the last data centre reported.
TEST_CASE("the wait ends when every data centre reports the version", "[platform]")
{
  PlatformFixture fixture;
  const std::vector<DataCentreId> dataCentres{ { "north" }, { "south" } };
  const auto report = [&fixture](const char* aDataCentre,
                                 Version aVersion,
                                 std::vector<std::string> aUnreachableHosts) {
    const Watermark watermark{ { aDataCentre }, aVersion, 4, {}, std::move(aUnreachableHosts), 0 };
    Value(fixture.client_->Transact(
      { NewOperationId(),
        {},
        { { WatermarkRowKey({ aDataCentre }), EncodeWatermark(watermark) } } }));
  };
  const auto wait = [&](std::optional<Duration> aFreshnessBound) {
    return Value(WaitUntilInForce(*fixture.client_,
                                  { .version_ = 5,
                                    .dataCentres_ = dataCentres,
                                    .timeout_ = milliseconds(300),
                                    .readInterval_ = milliseconds(20),
                                    .freshnessBound_ = aFreshnessBound }));
  };
  report("north", 5, {});
  auto result = wait(std::nullopt);
  CHECK_FALSE(result.inForce_);
  CHECK_FALSE(result.rollout_.dataCentres_[1].reported_);
  report("south", 4, {});
  CHECK_FALSE(wait(std::nullopt).inForce_);
  // An unreachable host delays "in force" until the freshness bound has passed.
  report("south", 5, { "south-3" });
  CHECK_FALSE(wait(std::nullopt).inForce_);
  CHECK_FALSE(wait(seconds(1)).inForce_);
  result = wait(milliseconds(100));
  CHECK(result.inForce_);
  CHECK(result.byFreshnessBound_);
  CHECK(result.waited_ >= milliseconds(100));
  report("south", 6, {});
  result = wait(std::nullopt);
  CHECK(result.inForce_);
  CHECK_FALSE(result.byFreshnessBound_);
}

// Guards against a lowered freshness bound that takes effect while disconnected hosts may still use
// the old one.
TEST_CASE("a replaced freshness bound counts until no host can still use it", "[platform]")
{
  const Entities longer{ { "policy/default", R"({"key_freshness_bound_ms":60000})" } };
  Entities next{ { "policy/default", R"({"key_freshness_bound_ms":5000})" } };
  UpdateReplacedFreshnessBound(longer, next, 1000);
  CHECK(MaxUsableFreshnessBound(next, 2000) == seconds(60));
  CHECK(MaxUsableFreshnessBound(next, 1000 + 7200000) == seconds(5));
  // A second change of the policy keeps the bound that the first one replaced.
  Entities third{ { "policy/default", R"({"key_freshness_bound_ms":4000})" } };
  UpdateReplacedFreshnessBound(next, third, 2000);
  CHECK(MaxUsableFreshnessBound(third, 3000) == seconds(60));
  // If the bound isn't lowered, nothing is added, so applying the same files again changes nothing.
  Entities same{ { "policy/default", R"({"key_freshness_bound_ms":4000})" } };
  UpdateReplacedFreshnessBound(third, same, 3000);
  CHECK(same == third);
  CHECK(CheckEntities(third).has_value());
  Entities firstVersion = longer;
  UpdateReplacedFreshnessBound({}, firstVersion, 1000);
  CHECK(firstVersion == longer);
}

// Guards against a stand-in that ignores or misreads fault settings sent while it runs.
TEST_CASE("faults are set over HTTP", "[platform]")
{
  PlatformFixture fixture;
  BlockingHttp http(seconds(1), 65536);
  const auto post = [&](const char* aBody) {
    return http
      .Send(
        fixture.server_->BoundAddress(), { "POST", "/faults", aBody }, Clock::now() + seconds(1))
      .status_;
  };
  CHECK(post(R"({"outage":"refuse","delay_ms":5})") == 200);
  CHECK(fixture.server_->Faults().outage_ == PlatformOutage::kRefuse);
  CHECK(post(R"({"outage":"none"})") == 200);
  CHECK(fixture.server_->Faults().delayMs_ == 5);
  CHECK(post(R"({"outage":"x"})") == 400);
  CHECK(post(R"({"delay":5})") == 400);
  CHECK(post("[") == 400);
}

// Guards against failures of quayctl that share an exit code, and against commands without help.
TEST_CASE("quayctl exits with the code of each failure", "[platform]")
{
  PlatformFixture fixture;
  const std::string quayctl = std::string(PQ_BINARY_DIR) + "/quayctl ";
  const auto bound = fixture.server_->BoundAddress();
  const auto platform = " --platform=" + bound.ip_ + ":" + std::to_string(bound.port_);
  const auto write = platform + " --operator=test ";
  const auto foundry = ExampleDirectory("foundry");
  const auto code = [&](const std::string& aArguments) {
    return RunProgram(quayctl + aArguments).first;
  };
  for (const char* command : { "check",
                               "apply",
                               "diff",
                               "history",
                               "keys grant",
                               "keys withdraw",
                               "keys list",
                               "status",
                               "explain",
                               "drain" }) {
    const auto [exit, output] = RunProgram(quayctl + command + " --help");
    CHECK(exit == 0);
    CHECK(output.find(std::string("quayctl ") + command) == 0);
  }
  CHECK(code("nonsense") == kExitUsage);
  CHECK(code("apply " + foundry + write) == kExitUsage);
  CHECK(code("check /nonexistent") == ExitCode(ErrorCode::kFileUnreadable));
  CHECK(code("check " + foundry) == 0);
  CHECK(code("apply " + foundry + write + "--against=1") == ExitCode(ErrorCode::kVersionConflict));
  CHECK(code("apply " + foundry + write + "--against=0") == 0);
  CHECK(code("keys grant --account=none" + write) == ExitCode(ErrorCode::kUnknownReference));
  CHECK(code("keys withdraw 00000000" + write) == ExitCode(ErrorCode::kNotFound));
  CHECK(code("keys grant --account=museum --wait --timeout_ms=50" + write) == kExitNotInForce);
  CHECK(code("drain --node=127.0.0.1:" + std::to_string(ClosedPort().port_)) ==
        ExitCode(ErrorCode::kTargetUnreachable));
  const auto [exit, output] = RunProgram(quayctl + "history --json --limit=1" + platform);
  CHECK(exit == 0);
  CHECK(nlohmann::json::parse(output)["version"] == 2);
  fixture.SetFaults(R"({"outage":"refuse"})");
  CHECK(code("history" + platform) == ExitCode(ErrorCode::kPlatformUnavailable));
  // Every error code has its own exit code.
  std::set<int> codes;
  for (int i = static_cast<int>(ErrorCode::kFileUnreadable);
       i <= static_cast<int>(ErrorCode::kPlatformMalformed);
       ++i) {
    CHECK(codes.insert(ExitCode(static_cast<ErrorCode>(i))).second);
  }
}
