// Tests of the version stream against the platform stand-in: races of operators, lost answers,
// outages, ceilings.
#include "peridotquay/process/Platform.h"

#include "peridotquay/process/BlockingHttp.h"
#include "peridotquay/process/ConfigStore.h"
#include "peridotquay/process/OperatorCommands.h"
#include "peridotquay/process/RolloutStatus.h"
#include "peridotquay/version/ConfigCompiler.h"

#include "standins/lib/PlatformServer.h"
#include "tests/version/ResultValue.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
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

/// A stand-in with a client, and settings that keep the tests short.
struct Bench
{
  std::unique_ptr<PlatformServer> server_ = Value(PlatformServer::Start({}));
  std::unique_ptr<Platform> client_ = NewClient();
  CommitSettings commit_{ seconds(3), milliseconds(20), milliseconds(300) };

  std::unique_ptr<Platform> NewClient(std::vector<Address> aOthers = {}) const
  {
    PlatformClientSettings settings;
    settings.addresses_ = std::move(aOthers);
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

/// A change that puts one client account.
Change PutAccount(const std::string& aId, const std::string& aOperation, int aRate = 1)
{
  Change change;
  change.operatorName_ = "test";
  change.operationId_ = aOperation;
  change.edits_ = { { "account/" + aId, "{\"burst\":1,\"rate\":" + std::to_string(aRate) + "}" } };
  return change;
}

/// A port on loopback that nothing listens on.
Address ClosedPort()
{
  boost::asio::io_context context;
  boost::asio::ip::tcp::acceptor acceptor(context,
                                          { boost::asio::ip::make_address("127.0.0.1"), 0 });
  return { "127.0.0.1", acceptor.local_endpoint().port() };
}

std::string ExampleDirectory(const char* aName)
{
  return std::string(PQ_SOURCE_DIR) + "/examples/" + aName;
}

WriteOptions Options(const Bench& aBench, std::optional<Version> aAgainst = std::nullopt)
{
  WriteOptions options;
  options.operator_ = "test";
  options.expectedVersion_ = aAgainst;
  options.commit_ = aBench.commit_;
  return options;
}

/// Runs a program and returns its output and exit code.
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

// Guards against a table that applies part of a transaction or ignores a condition.
TEST_CASE("transactions take effect as a whole or not at all", "[platform]")
{
  Bench bench;
  const auto first =
    Value(bench.client_->Transact({ "a", { { "x", 0 } }, { { "x", "1" }, { "y", "2" } } }));
  const auto conflict =
    Failure(bench.client_->Transact({ "b", { { "y", first }, { "x", 0 } }, { { "y", "3" } } }));
  CHECK(conflict.code_ == ErrorCode::kPlatformConflict);
  CHECK(conflict.subject_ == "x");
  CHECK(conflict.allowed_ == std::to_string(first));
  CHECK(Value(bench.client_->ReadRow("y"))->value_ == "2");
  // A repeat of an operation that took effect is answered alike and does nothing.
  CHECK(Value(bench.client_->Transact({ "a", { { "x", 0 } }, { { "x", "9" } } })) == first);
  CHECK(Value(bench.client_->ReadRow("x"))->value_ == "1");
  Value(bench.client_->Transact({ "c", { { "y", first } }, { { "y", std::nullopt } } }));
  CHECK_FALSE(Value(bench.client_->ReadRow("y")).has_value());
  CHECK(Value(bench.client_->ReadRange("", "", 10)).size() == 1);
  CHECK(Value(bench.client_->ReadRange("x", "x", 10)).empty());
  CHECK_FALSE(Value(bench.client_->GetObject("a/b c")).has_value());
  REQUIRE(bench.client_->PutObject("a/b c", "body").has_value());
  CHECK(Value(bench.client_->GetObject("a/b c")) == "body");
}

// Guards against a lost update: of operators who write at once, one wins and the others are told.
TEST_CASE("in a race of operators each version has one winner", "[platform]")
{
  Bench bench;
  constexpr int kOperators = 8;
  constexpr int kRounds = 20;
  std::atomic<int> wins{ 0 };
  std::atomic<int> otherErrors{ 0 };
  std::vector<std::thread> threads;
  for (int i = 0; i < kOperators; ++i) {
    threads.emplace_back([&, i] {
      const auto client = bench.NewClient();
      for (int round = 0; round < kRounds; ++round) {
        const auto base = LoadConfig(*client);
        const auto id = std::to_string(i) + "-" + std::to_string(round);
        const auto written =
          base.has_error()
            ? Result<Version>(base.assume_error())
            : CommitChange(*client, base.assume_value(), PutAccount(id, "op-" + id), bench.commit_);
        if (written.has_value()) {
          ++wins;
        } else if (written.assume_error().code_ != ErrorCode::kVersionConflict) {
          ++otherErrors;
        }
      }
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  const auto stored = Value(LoadConfig(*bench.client_));
  CHECK(otherErrors == 0);
  CHECK(wins > 0);
  CHECK(stored.version_ == static_cast<Version>(wins));
  CHECK(stored.entities_.size() == static_cast<std::size_t>(wins));
}

// Guards against a change that is written twice, or reported as failed, when its answer is lost.
TEST_CASE("lost answers are resolved by reading back", "[platform]")
{
  Bench bench;
  bench.SetFaults(R"({"lose_answers":0.5})");
  std::set<std::string> operations;
  for (int i = 0; i < 40; ++i) {
    const auto base = Value(LoadConfig(*bench.client_));
    const auto operation = "op-" + std::to_string(i);
    CHECK(
      Value(CommitChange(*bench.client_, base, PutAccount("a", operation, i + 1), bench.commit_)) ==
      base.version_ + 1);
    operations.insert(operation);
  }
  CHECK(bench.server_->Counts().lost_ > 5);
  const auto history = Value(LoadHistory(*bench.client_, 0, 100));
  REQUIRE(history.size() == 40);
  for (const auto& change : history) {
    CHECK(operations.erase(change.operationId_) == 1);
  }
}

// Guards against taking another operator's change for one's own after a lost answer.
TEST_CASE("a lost answer behind another operator's change is a conflict", "[platform]")
{
  Bench bench;
  const auto base = Value(LoadConfig(*bench.client_));
  Value(CommitChange(*bench.client_, base, PutAccount("a", "winner"), bench.commit_));
  const auto checkLost = [&] {
    const auto error =
      Failure(CommitChange(*bench.client_, base, PutAccount("b", "loser"), bench.commit_));
    CHECK(error.code_ == ErrorCode::kVersionConflict);
    CHECK(error.subject_ == "version 1");
    const auto stored = Value(LoadConfig(*bench.client_));
    CHECK(stored.version_ == 1);
    CHECK_FALSE(stored.entities_.contains("account/b"));
  };
  checkLost();
  // The same without an answer: the change row shows another operation id.
  bench.SetFaults(R"({"outage":"silent"})");
  std::jthread repair([&bench] {
    std::this_thread::sleep_for(milliseconds(700));
    bench.SetFaults("{}");
  });
  checkLost();
  repair.join();
}

// Guards against a transaction that arrives after its operator was told that it failed.
TEST_CASE("a transaction without a trace is barred from taking effect later", "[platform]")
{
  Bench bench;
  const auto start = Value(LoadConfig(*bench.client_));
  Value(CommitChange(*bench.client_, start, PutAccount("a", "first"), bench.commit_));
  const auto base = Value(LoadConfig(*bench.client_));
  // Requests get no answer for longer than the client waits, then the platform works again.
  bench.SetFaults(R"({"outage":"silent"})");
  std::jthread repair([&bench] {
    std::this_thread::sleep_for(milliseconds(700));
    bench.SetFaults("{}");
  });
  const auto error =
    Failure(CommitChange(*bench.client_, base, PutAccount("b", "late"), bench.commit_));
  repair.join();
  CHECK(error.code_ == ErrorCode::kPlatformUnavailable);
  // The delayed transaction arrives now, as it was sent: its condition on the head fails.
  const auto late = Failure(bench.client_->Transact(
    { "late", { { "config/head", base.headRevision_ } }, { { "config/head", EncodeHead(2) } } }));
  CHECK(late.code_ == ErrorCode::kPlatformConflict);
  // The version did not move, and an operator who loaded it before the bar can still write.
  CHECK(Value(CommitChange(*bench.client_, base, PutAccount("c", "next"), bench.commit_)) == 2);
}

// Guards against "unavailable" when the write may have happened, and "unknown" when it can't have.
TEST_CASE("outages are told apart by whether something may have been written", "[platform]")
{
  Bench bench;
  const auto base = Value(LoadConfig(*bench.client_));
  const auto commit = [&](Platform& aClient) {
    return Failure(CommitChange(aClient, base, PutAccount("a", "op"), bench.commit_)).code_;
  };
  bench.SetFaults(R"({"outage":"refuse"})");
  CHECK(commit(*bench.client_) == ErrorCode::kPlatformUnavailable);
  PlatformClientSettings nobody;
  nobody.addresses_ = { ClosedPort() };
  CHECK(commit(*MakePlatformClient(nobody)) == ErrorCode::kPlatformUnavailable);
  CHECK(commit(*MakePlatformClient({})) == ErrorCode::kPlatformUnavailable);
  bench.SetFaults(R"({"outage":"silent"})");
  bench.commit_.resolveTimeout_ = milliseconds(600);
  CHECK(commit(*bench.client_) == ErrorCode::kPlatformUnknown);
  bench.SetFaults("{}");
  CHECK(Value(LoadConfig(*bench.client_)).version_ == 0);
  // One address that refuses connections doesn't matter.
  const auto both = bench.NewClient({ ClosedPort() });
  CHECK(Value(CommitChange(*both, base, PutAccount("a", "op2"), bench.commit_)) == 1);
}

// Guards against a stand-in without the platform's ceilings: proofs of write budgets rely on them.
TEST_CASE("the stand-in refuses writes over its ceiling", "[platform]")
{
  Bench bench;
  bench.SetFaults(R"({"writes_per_second":50})");
  const auto end = Clock::now() + seconds(1);
  int written = 0;
  int refused = 0;
  for (int i = 0; Clock::now() < end; ++i) {
    const auto result = bench.client_->Transact({ "op" + std::to_string(i), {}, { { "x", "1" } } });
    if (result.has_value()) {
      ++written;
    } else {
      REQUIRE(result.assume_error().code_ == ErrorCode::kPlatformUnavailable);
      ++refused;
    }
    std::this_thread::sleep_for(milliseconds(1));
  }
  CHECK(written <= 57);
  CHECK(written >= 20);
  CHECK(refused > 0);
  CHECK(bench.client_->ReadRow("x").has_value());
}

// Guards against missing snapshots and against a load that misses changes around them.
TEST_CASE("a snapshot is written every 256 versions and loaded", "[platform]")
{
  Bench bench;
  StoredConfig base = Value(LoadConfig(*bench.client_));
  for (int i = 1; i <= 300; ++i) {
    const auto change = PutAccount("a" + std::to_string(i % 7), "op" + std::to_string(i), i);
    const auto version = Value(CommitChange(*bench.client_, base, change, bench.commit_));
    REQUIRE(ApplyChange(base.entities_, change).has_value());
    base.version_ = version;
    base.headRevision_ = Value(bench.client_->ReadRow(kHeadRowKey))->revision_;
    CHECK(IsSnapshotDue(base, version + 1) == (version + 1 >= 256));
    // The writer of version 256 fails to write the snapshot; a later one makes up for it.
    if (i != 256) {
      CHECK(Value(WriteDueSnapshot(*bench.client_)) == (i < 256 ? 0 : 256));
    }
  }
  const auto stored = Value(LoadConfig(*bench.client_));
  CHECK(stored.version_ == 300);
  CHECK(stored.snapshotVersion_ == 256);
  CHECK(stored.entities_ == base.entities_);
  const auto snapshot = Value(DecodeSnapshot(*Value(bench.client_->GetObject(SnapshotName(256)))));
  CHECK(snapshot.entities_.size() == 7);
}

// Guards against a row of another writer that bars all further changes.
TEST_CASE("a stored change that can't be applied counts as empty", "[platform]")
{
  Bench bench;
  Change broken;
  broken.version_ = 1;
  broken.edits_ = { { "account/absent", std::nullopt }, { "account/a", "{}" } };
  Value(bench.client_->Transact(
    { "x", {}, { { "config/head", EncodeHead(1) }, { ChangeRowKey(1), EncodeChange(broken) } } }));
  const auto base = Value(LoadConfig(*bench.client_));
  CHECK(base.version_ == 1);
  CHECK(base.entities_.empty());
  CHECK(Value(CommitChange(*bench.client_, base, PutAccount("a", "op"), bench.commit_)) == 2);
}

// Guards against an operator who overwrites a change that he hasn't seen.
TEST_CASE("an apply for an old version shows the winner and its changes", "[platform]")
{
  Bench bench;
  const auto foundry = ExampleDirectory("foundry");
  const auto first = ApplyCommand(*bench.client_, foundry, Options(bench, 0));
  REQUIRE(first.exitCode_ == 0);
  CHECK(first.json_["version"] == 1);
  const auto granted = GrantKeyCommand(*bench.client_, "museum", "desk", Options(bench));
  REQUIRE(granted.exitCode_ == 0);
  const auto lost = ApplyCommand(*bench.client_, foundry, Options(bench, 1));
  CHECK(lost.exitCode_ == ExitCode(ErrorCode::kVersionConflict));
  CHECK(lost.json_["winner"] == 2);
  REQUIRE(lost.json_["changes"].size() == 1);
  CHECK(lost.json_["changes"][0]["edits"][0]["json"]["account"] == "museum");
  // The same files leave the granted key alone; a withdrawn key of the files bars them.
  CHECK(ApplyCommand(*bench.client_, foundry, Options(bench, 2)).json_["edits"].empty());
  const auto keys = ListKeysCommand(*bench.client_, "guild-office").json_["keys"];
  REQUIRE(keys.size() == 1);
  const auto digest = keys[0]["digest"].get<std::string>();
  CHECK(WithdrawKeyCommand(*bench.client_, digest, Options(bench)).exitCode_ == 0);
  const auto barred = ApplyCommand(*bench.client_, foundry, Options(bench));
  CHECK(barred.exitCode_ == ExitCode(ErrorCode::kContradiction));
  CHECK(barred.json_["error"]["line"].get<int>() > 0);
}

// Guards against a key in the platform: only its digest may be stored.
TEST_CASE("the platform never sees a granted key", "[platform]")
{
  Bench bench;
  REQUIRE(
    ApplyCommand(*bench.client_, ExampleDirectory("landesamt"), Options(bench, 0)).exitCode_ == 0);
  auto forged = Options(bench);
  forged.operator_ = "a\nversion 9 by b";
  CHECK(GrantKeyCommand(*bench.client_, "growers", "", forged).exitCode_ ==
        ExitCode(ErrorCode::kOutOfRange));
  const auto granted = GrantKeyCommand(*bench.client_, "growers", "", Options(bench));
  const auto key = granted.json_["key"].get<std::string>();
  for (const auto& row : Value(bench.client_->ReadRange("", "", 1000))) {
    CHECK(row.value_.find(key) == std::string::npos);
    CHECK(row.value_.find(key.substr(3)) == std::string::npos);
  }
  const auto stored = Value(LoadConfig(*bench.client_));
  const auto config = Value(CompileConfig(stored.entities_, { "hof-1" }, stored.version_));
  const auto* account = FindAccountByKeyDigest(*config, KeyDigest(key));
  REQUIRE(account != nullptr);
  CHECK(account->id_.value_ == "growers");
}

// Guards against "in force" while a site lags, and against a wait that misses the last site.
TEST_CASE("waiting ends when every site reports the version", "[platform]")
{
  Bench bench;
  const std::vector<DataCentreId> sites{ { "north" }, { "south" } };
  const auto report = [&bench](const char* aSite, Version aVersion, std::vector<std::string> aOut) {
    const Watermark mark{ { aSite }, aVersion, 4, {}, std::move(aOut), 0 };
    Value(bench.client_->Transact(
      { NewOperationId(), {}, { { WatermarkRowKey({ aSite }), EncodeWatermark(mark) } } }));
  };
  const auto wait = [&](std::optional<Duration> aBound) {
    return Value(WaitUntilInForce(*bench.client_,
                                  { .version_ = 5,
                                    .dataCentres_ = sites,
                                    .timeout_ = milliseconds(300),
                                    .interval_ = milliseconds(20),
                                    .freshnessBound_ = aBound }));
  };
  report("north", 5, {});
  auto result = wait(std::nullopt);
  CHECK_FALSE(result.inForce_);
  CHECK_FALSE(result.rollout_.dataCentres_[1].reported_);
  report("south", 4, {});
  CHECK_FALSE(wait(std::nullopt).inForce_);
  // An unreachable host holds up the report until the freshness bound has passed.
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

// Guards against a bound that was lowered a moment ago while cut-off hosts still use the old one.
TEST_CASE("a replaced freshness bound counts until it can't be in use", "[platform]")
{
  const Entities longer{ { "policy/default", R"({"key_freshness_bound_ms":60000})" } };
  Entities next{ { "policy/default", R"({"key_freshness_bound_ms":5000})" } };
  UpdateReplacedFreshnessBound(longer, next, 1000);
  CHECK(MaxUsableFreshnessBound(next, 2000) == seconds(60));
  CHECK(MaxUsableFreshnessBound(next, 1000 + 7200000) == seconds(5));
  // A second change of the policy doesn't forget the first.
  Entities third{ { "policy/default", R"({"key_freshness_bound_ms":4000})" } };
  UpdateReplacedFreshnessBound(next, third, 2000);
  CHECK(MaxUsableFreshnessBound(third, 3000) == seconds(60));
  // Without a lower bound nothing is added, so that applying the same files changes nothing.
  Entities same{ { "policy/default", R"({"key_freshness_bound_ms":4000})" } };
  UpdateReplacedFreshnessBound(third, same, 3000);
  CHECK(same == third);
  CHECK(CheckEntities(third).has_value());
  Entities firstVersion = longer;
  UpdateReplacedFreshnessBound({}, firstVersion, 1000);
  CHECK(firstVersion == longer);
}

// Guards against faults that can't be set while the stand-in runs.
TEST_CASE("faults are set over HTTP", "[platform]")
{
  Bench bench;
  BlockingHttp http(seconds(1), 65536);
  const auto post = [&](const char* aBody) {
    return http
      .Send(bench.server_->BoundAddress(), { "POST", "/faults", aBody }, Clock::now() + seconds(1))
      .status_;
  };
  CHECK(post(R"({"outage":"refuse","delay_ms":5})") == 200);
  CHECK(bench.server_->Faults().outage_ == PlatformOutage::kRefuse);
  CHECK(post(R"({"outage":"none"})") == 200);
  CHECK(bench.server_->Faults().delayMs_ == 5);
  CHECK(post(R"({"outage":"x"})") == 400);
  CHECK(post(R"({"delay":5})") == 400);
  CHECK(post("[") == 400);
}

// Guards against exit codes of quayctl that don't tell failures apart.
TEST_CASE("quayctl exits with the code of each failure", "[platform]")
{
  Bench bench;
  const std::string quayctl = std::string(PQ_BINARY_DIR) + "/quayctl ";
  const auto bound = bench.server_->BoundAddress();
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
  bench.SetFaults(R"({"outage":"refuse"})");
  CHECK(code("history" + platform) == ExitCode(ErrorCode::kPlatformUnavailable));
  // Exit codes are distinct.
  std::set<int> codes;
  for (int i = static_cast<int>(ErrorCode::kFileUnreadable);
       i <= static_cast<int>(ErrorCode::kPlatformMalformed);
       ++i) {
    CHECK(codes.insert(ExitCode(static_cast<ErrorCode>(i))).second);
  }
}
