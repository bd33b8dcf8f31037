// Tests of the readers of the store against a store that goes back to an older copy of itself.
#include "peridotquay/connection/HttpServer.h"

#include "platform/ConfigWatch.h"
#include "platform/HostWatch.h"
#include "platform/StoreClient.h"
#include "standins/lib/UserStore.h"
#include "tests/platform/RunLoop.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <functional>
#include <thread>

using namespace peridotquay;
using namespace peridotquay::platform;
using testing::RunFor;
using testing::RunUntil;

namespace {

/// A time between the writes before and after the call, for a copy without the latter.
TimePoint TimeOfCopy()
{
  std::this_thread::sleep_for(milliseconds(20));
  const TimePoint time = Clock::now();
  std::this_thread::sleep_for(milliseconds(20));
  return time;
}

std::string Document(int aVersion, const std::string& aKey)
{
  return nlohmann::json{
    { "version", "r" + std::to_string(aVersion) },
    { "routes", nlohmann::json::object() },
    { "services", nlohmann::json::object() },
    { "tenants", { { "t", { { "api_keys", { aKey } } } } } }
  }.dump();
}

std::string Record(const std::string& aHost, std::uint64_t aRevision, TargetState aState)
{
  HostRecord record;
  record.host_ = { aHost };
  record.incarnation_ = 17;
  record.peer_ = { "127.0.0.1", 7000 };
  record.targetId_ = "i-" + aHost;
  record.targetState_ = aState;
  record.revision_ = aRevision;
  return EncodeRecord(record);
}

/// The readers of one host.
struct Reader
{
  explicit Reader(std::uint16_t aStorePort)
    : store_(loop_, { "127.0.0.1", aStorePort })
  {
    store_.SetEraHandler([this](const StoreEra&) {
      config_.OnEraRaised();
      hosts_.OnEraRaised();
    });
  }

  EventLoop loop_;
  StoreClient store_;
  std::vector<StoreRow> ownRows_;
  ConfigWatch config_{ loop_,
                       store_,
                       1,
                       Policy{},
                       { [](const auto&) {}, [](TimePoint) {}, [](bool) {}, [] {} } };
  HostWatch hosts_{ loop_,
                    store_,
                    2,
                    "own",
                    { [] {},
                      [this](const StoreRow& aRow) { ownRows_.push_back(aRow); },
                      [](const StorePosition&) {} } };
};

} // namespace

// Guards against a late answer of the earlier era that brings back what the store has lost.
TEST_CASE("an answer of an earlier era counts as an error", "[rollback]")
{
  EventLoop loop;
  std::vector<std::string> eras{ "2", "1", "", "1" };
  std::size_t calls = 0;
  auto server =
    Value(HttpServer::Listen(loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      HttpResponse response = JsonResponse(200, R"({"rows":[],"ver":5})");
      if (!eras[calls].empty()) {
        response.headers_.emplace_back("Store-Era", eras[calls]);
      }
      ++calls;
      aExchange->Respond(response);
    }));
  StoreClient store(loop, { "127.0.0.1", server->Port() });
  std::vector<Result<StoreRows>> reads;
  for (std::size_t i = 1; i <= 3; ++i) {
    store.Read("t", "", [&](Result<StoreRows> aRows) { reads.push_back(std::move(aRows)); });
    REQUIRE(RunUntil(loop, seconds(2), [&] { return reads.size() == i; }));
  }
  CHECK(Value(reads[0]).position_ == StorePosition{ 2, 5 });
  CHECK(Failure(reads[1]).code_ == ErrorCode::kNotFound);
  CHECK(Value(reads[2]).position_ == StorePosition{ 2, 5 });
  // The write was applied in the earlier era and is lost, so it has to be repeated.
  std::optional<Result<WriteResult>> written;
  store.Write({ "t", "k", "v", {} }, [&](Result<WriteResult> aResult) { written = aResult; });
  REQUIRE(RunUntil(loop, seconds(2), [&] { return written.has_value(); }));
  CHECK(Failure(*written).code_ == ErrorCode::kPlatformUnknown);
}

// Guards against a withdrawn key that is accepted again after the store lost its withdrawal, and
// against an equal version with another text that isn't put in force.
TEST_CASE("the older document of a copy isn't put in force, an equal version is", "[rollback]")
{
  standins::UserStore store;
  store.StateEra(4);
  store.Put("op", "config", Document(11, "withdrawn"));
  const TimePoint copied = TimeOfCopy();
  Reader reader(store.Port());
  reader.config_.SetReading(true);
  store.Put("op", "config", Document(12, "k"));
  const auto accepts = [&](const std::string& aKey) {
    const auto& config = reader.config_.Current();
    return config && FindAccountByKeyDigest(*config, KeyDigest(aKey)) != nullptr;
  };
  REQUIRE(RunUntil(reader.loop_, seconds(3), [&] { return accepts("k"); }));
  store.GoBack(Clock::now() - copied);
  REQUIRE(
    RunUntil(reader.loop_, seconds(5), [&] { return reader.config_.RowPosition().era_ == 5; }));
  CHECK_FALSE(accepts("withdrawn"));
  CHECK(accepts("k"));
  CHECK(reader.config_.Document() == Document(12, "k"));
  CHECK(reader.config_.FreshnessAge() < seconds(1));
  store.Put("op", "config", Document(12, "other"));
  CHECK(RunUntil(reader.loop_, seconds(3), [&] { return accepts("other"); }));
  // Back twice before the reader notices.
  store.GoBack(milliseconds(0));
  store.GoBack(seconds(10));
  CHECK(RunUntil(reader.loop_, seconds(5), [&] {
    return reader.store_.Era() == StoreEra{ 7, true };
  }));
  CHECK(accepts("other"));
}

// Guards against a withdrawn key that stays valid on hosts that hadn't received the withdrawal when
// the store lost it, and against a document of an earlier era that counts as checked.
TEST_CASE("a document that the store has lost passes between hosts", "[rollback]")
{
  const bool readsFirst = GENERATE(true, false);
  const bool fromEarlierEra = GENERATE(true, false);
  standins::UserStore store;
  store.StateEra(4);
  store.Put("op", "config", Document(11, "withdrawn"));
  const TimePoint copied = TimeOfCopy();
  store.Put("op", "config", Document(12, "k"));
  Reader informed(store.Port());
  informed.config_.SetReading(true);
  REQUIRE(
    RunUntil(informed.loop_, seconds(3), [&] { return informed.config_.Current() != nullptr; }));
  const StorePosition lost = informed.config_.RowPosition();
  store.GoBack(Clock::now() - copied);
  REQUIRE(
    RunUntil(informed.loop_, seconds(5), [&] { return informed.config_.RowPosition().era_ == 5; }));
  Reader other(store.Port());
  const auto inForce = [&] {
    return other.config_.Current() ? other.config_.Current()->version_ : 0;
  };
  if (readsFirst) {
    other.config_.SetReading(true);
    REQUIRE(RunUntil(other.loop_, seconds(3), [&] { return inForce() == 11; }));
    CHECK(other.config_.RowPosition() == informed.config_.RowPosition());
    // From the earlier era, or at the equal position of the new one.
    const StorePosition position = fromEarlierEra ? lost : informed.config_.RowPosition();
    other.config_.ApplyFeedRow({ "", informed.config_.Document(), position, false });
  } else {
    other.store_.RaiseEra(5);
    other.config_.ApplyFeedRow({ "", informed.config_.Document(), lost, false });
    other.config_.SetReading(true);
    REQUIRE(
      RunUntil(other.loop_, seconds(5), [&] { return other.config_.RowPosition().era_ == 5; }));
  }
  CHECK(inForce() == 12);
  CHECK(other.config_.RowPosition() == informed.config_.RowPosition());
  CHECK(other.config_.Document() == Document(12, "k"));
  // The copy's document doesn't replace it again.
  other.config_.ApplyFeedRow(
    { "", Document(11, "withdrawn"), informed.config_.RowPosition(), false });
  CHECK(inForce() == 12);
}

// Guards against a departed target that an older record brings back, a host that is lost with its
// row, and an own row that nobody writes again.
TEST_CASE("host records keep their own order when the store goes back", "[rollback]")
{
  standins::UserStore store;
  store.StateEra(0);
  store.Put(std::string(kHostTable), "a", Record("a", 1, TargetState::kReady));
  const TimePoint copied = TimeOfCopy();
  store.Put(std::string(kHostTable), "a", Record("a", 2, TargetState::kLeft));
  store.Put(std::string(kHostTable), "b", Record("b", 1, TargetState::kReady));
  store.Put(std::string(kHostTable), "own", Record("own", 1, TargetState::kReady));
  Reader reader(store.Port());
  reader.hosts_.SetReading(true);
  const auto& records = reader.hosts_.Records();
  REQUIRE(RunUntil(reader.loop_, seconds(3), [&] { return records.size() == 2; }));
  // Until the watch is open, so that it is the watch that shows the era.
  RunFor(reader.loop_, milliseconds(1500));
  store.GoBack(Clock::now() - copied);
  REQUIRE(
    RunUntil(reader.loop_, seconds(3), [&] { return reader.hosts_.KnownPosition().era_ == 1; }));
  CHECK(records.at("a").record_.targetState_ == TargetState::kLeft);
  CHECK(records.contains("b"));
  REQUIRE_FALSE(reader.ownRows_.empty());
  CHECK(reader.ownRows_.back().removed_);
  CHECK(reader.ownRows_.back().position_ == StorePosition{ 1, 0 });
  // Only rows of the new era are passed on, and as a complete set.
  const FeedRows fed = reader.hosts_.RowsAfter({ 0, 100 });
  CHECK(fed.era_ == 1);
  CHECK(fed.afterVersion_ == 0);
  REQUIRE(fed.rows_.size() == 1);
  // Another host that follows this one comes to the same result.
  Reader follower(store.Port());
  follower.hosts_.ApplyFeedRows({ FeedTable::kHosts,
                                  0,
                                  40,
                                  { { "a", Record("a", 2, TargetState::kLeft), 40 },
                                    { "b", Record("b", 1, TargetState::kReady), 39 } } });
  follower.hosts_.ApplyFeedRows(fed);
  CHECK(follower.hosts_.Records().at("a").record_.targetState_ == TargetState::kLeft);
  CHECK(follower.hosts_.Records().contains("b"));
  CHECK(follower.hosts_.KnownPosition() == reader.hosts_.KnownPosition());
  CHECK_FALSE(follower.ownRows_.empty());
  // A row of an earlier era changes nothing.
  follower.hosts_.ApplyFeedRows(
    { FeedTable::kHosts, 40, 41, { { "a", Record("a", 3, TargetState::kReady), 41 } } });
  CHECK(follower.hosts_.Records().at("a").record_.targetState_ == TargetState::kLeft);
  store.Put(std::string(kHostTable), "a", Record("a", 3, TargetState::kReady));
  REQUIRE(RunUntil(reader.loop_, seconds(4), [&] {
    return records.at("a").record_.targetState_ == TargetState::kReady;
  }));
  CHECK(RunUntil(reader.loop_, kAbsentRowGrace, [&] { return !records.contains("b"); }));
  CHECK(records.contains("a"));
}

// Guards against a departed target that a host without the newer record takes as ready, because the
// copy's row was passed on in place of the held record. Its owner ended and doesn't write it again.
TEST_CASE("a record that the store has lost passes to a host that starts later", "[rollback]")
{
  const std::string table(kHostTable);
  standins::UserStore store;
  store.StateEra(0);
  store.Put(table, "a", Record("a", 1, TargetState::kReady));
  const TimePoint copied = TimeOfCopy();
  store.Put(table, "a", Record("a", 2, TargetState::kLeft));
  Reader reader(store.Port());
  reader.hosts_.SetReading(true);
  REQUIRE(RunUntil(reader.loop_, seconds(3), [&] { return reader.hosts_.Records().size() == 1; }));
  store.GoBack(Clock::now() - copied);
  reader.config_.CheckFreshnessNow();
  REQUIRE(
    RunUntil(reader.loop_, seconds(5), [&] { return reader.hosts_.KnownPosition().era_ == 1; }));
  Reader later(store.Port());
  const auto state = [&] { return later.hosts_.Records().at("a").record_.targetState_; };
  SECTION("the feed's complete set comes first")
  {
    later.hosts_.ApplyFeedRows(reader.hosts_.RowsAfter({}));
    later.hosts_.SetReading(true);
    REQUIRE(RunUntil(later.loop_, seconds(3), [&] { return later.hosts_.HasRead(); }));
  }
  SECTION("the read comes first")
  {
    later.hosts_.SetReading(true);
    REQUIRE(RunUntil(later.loop_, seconds(3), [&] { return later.hosts_.HasRead(); }));
    CHECK(state() == TargetState::kReady);
    CHECK(later.hosts_.KnownPosition() == reader.hosts_.KnownPosition());
    later.hosts_.ApplyFeedRows(reader.hosts_.KeptRecords());
  }
  CHECK(state() == TargetState::kLeft);
  CHECK(later.hosts_.KnownPosition() == reader.hosts_.KnownPosition());
  CHECK(later.hosts_.RowsAfter({}).rows_ == reader.hosts_.RowsAfter({}).rows_);
  // A newer row of the store ends it.
  store.Put(table, "a", Record("a", 3, TargetState::kReady));
  CHECK(RunUntil(later.loop_, seconds(4), [&] { return state() == TargetState::kReady; }));
  CHECK(later.hosts_.KeptRecords().rows_.empty());
}

// Guards against a loop of reads of all rows while the store answers watches with 410, and against
// a watch that is repeated from a position that the store has refused.
TEST_CASE("each 410 leads to one read, and the next watch starts from it", "[rollback]")
{
  EventLoop loop;
  std::size_t reads = 0;
  std::vector<std::string> watches;
  auto server =
    Value(HttpServer::Listen(loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      const std::string path(aExchange->request_.path_);
      if (path.starts_with("/-/rows-feed?")) {
        watches.push_back(path);
        if (watches.size() <= 2) {
          aExchange->Respond({ 410, {}, "", std::nullopt });
        } else {
          aExchange->Respond(JsonResponse(200, R"({"rows":[],"ver":8})"));
        }
        return;
      }
      ++reads;
      aExchange->Respond(
        JsonResponse(200, R"({"rows":[],"ver":)" + std::to_string(5 + reads) + "}"));
    }));
  StoreClient store(loop, { "127.0.0.1", server->Port() });
  HostWatch hosts(
    loop, store, 2, "own", { [] {}, [](const StoreRow&) {}, [](const StorePosition&) {} });
  hosts.SetReading(true);
  REQUIRE(RunUntil(loop, seconds(8), [&] { return watches.size() == 2; }));
  RunFor(loop, seconds(4));
  CHECK(reads == 2);
  CHECK(watches.size() == 2);
  REQUIRE(RunUntil(loop, seconds(10), [&] { return watches.size() >= 4; }));
  CHECK(reads == 3);
  CHECK(watches[2].find("after=8&") != std::string::npos);
}

// Guards against a read in flight that delays the reads of a new era until it times out.
TEST_CASE("reads in flight are abandoned when the era rises", "[rollback]")
{
  EventLoop loop;
  std::vector<std::shared_ptr<HttpExchange>> unanswered;
  auto server =
    Value(HttpServer::Listen(loop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      unanswered.push_back(aExchange);
    }));
  StoreClient store(loop, { "127.0.0.1", server->Port() });
  HostWatch hosts(
    loop, store, 2, "own", { [] {}, [](const StoreRow&) {}, [](const StorePosition&) {} });
  store.SetEraHandler([&](const StoreEra&) { hosts.OnEraRaised(); });
  hosts.SetReading(true);
  REQUIRE(RunUntil(loop, seconds(1), [&] { return unanswered.size() == 1; }));
  store.RaiseEra(1);
  CHECK(RunUntil(loop, milliseconds(700), [&] { return unanswered.size() == 2; }));
}
