// Tests of the watch of the operator's document.
#include "platform/ConfigWatch.h"

#include "platform/StoreClient.h"
#include "standins/lib/UserStore.h"
#include "tests/platform/RunLoop.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

#include <string>
#include <vector>

using namespace peridotquay;
using namespace peridotquay::platform;
using testing::RunFor;
using testing::RunUntil;

namespace {

std::string Document(int aVersion)
{
  return nlohmann::json{
    { "version", "r" + std::to_string(aVersion) },
    { "routes", nlohmann::json::object() },
    { "services", nlohmann::json::object() }
  }.dump();
}

/// A host's watch, and the versions that it put in force.
struct Watcher
{
  explicit Watcher(std::uint16_t aStorePort)
    : store_(loop_, { "127.0.0.1", aStorePort })
    , watch_(loop_,
             store_,
             1,
             Policy{},
             { .onConfig_ = [this](const auto& aConfig) { versions_.push_back(aConfig->version_); },
               .onFresh_ = [](TimePoint) {},
               .onStoreReachable_ = [](bool) {},
               .onDocumentRead_ = [] {},
               .onTableRows_ = {} })
  {
  }

  EventLoop loop_;
  StoreClient store_;
  std::vector<Version> versions_;
  ConfigWatch watch_;
};

} // namespace

// Guards against a withdrawn key that is accepted after a cut: an answer to a watch that lists
// several changes of the document put the oldest one in force and proved it fresh.
TEST_CASE("a watch that lists several changes applies the last one", "[watch]")
{
  standins::UserStore store;
  store.Put("op", "config", Document(11));
  Watcher watcher(store.Port());
  // A source opens its watch at once.
  watcher.watch_.SetFreshnessInterval(milliseconds(700));
  watcher.watch_.SetReading(true);
  REQUIRE(RunUntil(watcher.loop_, seconds(3), [&] { return watcher.versions_.size() == 1; }));
  RunFor(watcher.loop_, milliseconds(200));
  store.SetFault(standins::UserStoreFault::kHoldWatches);
  store.Put("op", "config", Document(12));
  store.Put("op", "config", Document(13));
  store.SetFault(standins::UserStoreFault::kNone);
  REQUIRE(RunUntil(watcher.loop_, seconds(3), [&] { return watcher.versions_.size() > 1; }));
  CHECK(watcher.versions_ == std::vector<Version>{ 11, 13 });
}
