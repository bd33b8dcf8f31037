// Property tests of changes and overlays, tests of keys, and malformed input to the decoders.
#include "peridotquay/version/ConfigDelta.h"

#include "peridotquay/version/Config.h"
#include "peridotquay/version/ConfigCompiler.h"
#include "peridotquay/version/ConfigReader.h"
#include "peridotquay/version/Keys.h"

#include "tests/version/Mutate.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>

#include <algorithm>
#include <rapidcheck.h>

using namespace peridotquay;

namespace {

/// Up to 12 random entities from few names and values, so that two results overlap.
Entities RandomEntities()
{
  Entities entities;
  for (int i = 0; i < 12; ++i) {
    const auto rate = *rc::gen::inRange(0, 4);
    if (rate > 0) {
      entities["account/a" + std::to_string(i)] =
        "{\"burst\":1,\"rate\":" + std::to_string(rate) + "}";
    }
  }
  return entities;
}

ConfigChange ChangeWith(std::vector<EntityEdit> aEdits)
{
  ConfigChange change;
  change.version_ = 3;
  change.operatorName_ = "ayşe";
  change.operationId_ = "op";
  change.edits_ = std::move(aEdits);
  return change;
}

ConfigJson RandomOverlay()
{
  auto overlay = ConfigJson::object();
  const auto setMaybe = [](ConfigJson& aTable, const char* aKey, const ConfigJson& aValue) {
    if (*rc::gen::arbitrary<bool>()) {
      aTable[aKey] = aValue;
    }
  };
  auto& route = overlay["routes"][*rc::gen::element("open", "book", "any")] = ConfigJson::object();
  setMaybe(route, "deadline_ms", *rc::gen::inRange(1, 2000));
  setMaybe(route, "max_retries", *rc::gen::inRange(0, 6));
  setMaybe(route, "open", *rc::gen::arbitrary<bool>());
  setMaybe(route, "importance", *rc::gen::element("critical", "high", "normal", "low"));
  setMaybe(route,
           "accounts",
           *rc::gen::element(ConfigJson::array(),
                             ConfigJson::array({ "mill" }),
                             ConfigJson::array({ "mill", "harbour" }),
                             ConfigJson::array({ "harbour" })));
  auto& account = overlay["accounts"]["mill"] = ConfigJson::object();
  setMaybe(account, "rate_part", *rc::gen::inRange(-1, 30) / 10.0);
  setMaybe(overlay["policy"], "queue_capacity", *rc::gen::inRange(0, 200));
  if (overlay["policy"].is_null()) {
    overlay.erase("policy");
  }
  return overlay;
}

Entities EntitiesWith(const ConfigJson& aOverlay)
{
  return { { "account/harbour", R"({"burst":5,"rate":5})" },
           { "account/mill", R"({"burst":5,"rate":5})" },
           { "policy/default", R"({"queue_capacity":100})" },
           { "route/any", R"({"prefix":"/any","service":"s"})" },
           { "route/book",
             R"({"accounts":["mill"],"deadline_ms":1000,"importance":"critical",)"
             R"("max_retries":2,"prefix":"/book","service":"s"})" },
           { "route/open", R"({"importance":"normal","open":true,"prefix":"/o","service":"s"})" },
           { "service/s", "{}" },
           { "site/north", R"({"region":"r"})" },
           { "site/south", ConfigJson{ { "region", "r" }, { "overlay", aOverlay } }.dump() } };
}

/// Whether a client account may use a route. An empty account stands for a request without a key.
bool MayUse(const Route& aRoute, const std::string& aAccount)
{
  const auto& list = aRoute.clientAccounts_;
  return aRoute.open_ ||
         (!aAccount.empty() &&
          (list.empty() ||
           std::find(list.begin(), list.end(), ClientAccountId{ aAccount }) != list.end()));
}

} // namespace

// Guards against a difference that misses an edit, and against changes and snapshots that are
// altered by encoding and decoding.
TEST_CASE("applying the difference of two configurations gives the second", "[config]")
{
  CHECK(rc::check([] {
    const auto from = RandomEntities();
    const auto to = RandomEntities();
    auto state = from;
    const auto change = ChangeWith(DiffEntities(from, to));
    RC_ASSERT(ApplyChange(state, change).has_value());
    RC_ASSERT(state == to);
    RC_ASSERT(DiffEntities(state, to).empty());
    RC_ASSERT(Value(DecodeChange(EncodeChange(change))) == change);
    const Snapshot snapshot{ 9, to };
    RC_ASSERT(Value(DecodeSnapshot(EncodeSnapshot(snapshot))) == snapshot);
  }));
}

// Guards against an accepted overlay that permits a client account more than the base does, or that
// raises a route's limits or importance.
TEST_CASE("an accepted overlay permits nothing that the base doesn't", "[config]")
{
  int accepted = 0;
  CHECK(rc::check([&accepted] {
    const auto entities = EntitiesWith(RandomOverlay());
    const auto south = CompileConfig(entities, { "south" }, 1);
    if (south.has_error()) {
      return;
    }
    ++accepted;
    const auto north = Value(CompileConfig(entities, { "north" }, 1));
    const auto& narrowed = *south.assume_value();
    RC_ASSERT(narrowed.routes_.size() == north->routes_.size());
    for (std::size_t i = 0; i < narrowed.routes_.size(); ++i) {
      const auto& base = north->routes_[i];
      const auto& route = narrowed.routes_[i];
      RC_ASSERT(route.deadline_ <= base.deadline_);
      RC_ASSERT(route.maxRetries_ <= base.maxRetries_);
      RC_ASSERT(route.importance_ >= base.importance_);
      RC_ASSERT(base.importance_ != Importance::kCritical || route.importance_ == base.importance_);
      for (const char* account : { "", "mill", "harbour" }) {
        RC_ASSERT(!MayUse(route, account) || MayUse(base, account));
      }
    }
    const auto fraction = narrowed.clientAccounts_.at({ "mill" }).siteRateFraction_;
    RC_ASSERT(fraction > 0 && fraction <= 1);
    RC_ASSERT(narrowed.policy_.queueCapacity_ <= north->policy_.queueCapacity_);
  }));
  CHECK(accepted > 0);
}

// Guards against a node that applies each change in turn and obtains a different configuration than
// a node that starts with the latest version.
TEST_CASE("incremental compilation equals full compilation", "[config]")
{
  int accepted = 0;
  int rejected = 0;
  CHECK(rc::check([&] {
    ConfigCache cache;
    auto entities = EntitiesWith(ConfigJson::object());
    for (Version version = 1; version <= 6; ++version) {
      auto next = EntitiesWith(RandomOverlay());
      // Some entities are absent, so that references become invalid and valid again.
      for (const auto& [name, json] : EntitiesWith(ConfigJson::object())) {
        if (*rc::gen::inRange(0, 12) == 0) {
          next.erase(name);
        }
      }
      ConfigChange change;
      change.edits_ = DiffEntities(entities, next);
      RC_ASSERT(ApplyChange(entities, change).has_value());
      MarkEntitiesChanged(cache, change.edits_);
      const auto incremental = CompileConfig(cache, entities, { "south" }, version);
      const auto full = CompileConfig(entities, { "south" }, version);
      RC_ASSERT(incremental.has_value() == full.has_value());
      if (full.has_value()) {
        RC_ASSERT(*incremental.assume_value() == *full.assume_value());
      }
      ++(full.has_value() ? accepted : rejected);
    }
  }));
  CHECK(accepted > 0);
  CHECK(rejected > 0);
}

// Guards against an invalid change that is applied in part, and against changes that edit an entity
// twice or exceed the maximum size.
TEST_CASE("an invalid change leaves the entities unchanged", "[config]")
{
  const Entities before{ { "service/a", "{}" } };
  auto state = before;
  const auto failureCode = [&state](std::vector<EntityEdit> aEdits) {
    return Failure(ApplyChange(state, ChangeWith(std::move(aEdits)))).code_;
  };
  CHECK(failureCode({ { "service/b", "{}" }, { "service/c", std::nullopt } }) ==
        ErrorCode::kNotFound);
  CHECK(failureCode({ { "service/b", "{}" }, { "service/b", "{}" } }) == ErrorCode::kContradiction);
  CHECK(failureCode({ { "service/b", "{}" }, { "service/c", "[" } }) == ErrorCode::kSyntax);
  const auto large = "{\"x\":\"" + std::string(kMaxChangeBytes, 'x') + "\"}";
  CHECK(failureCode({ { "service/b", large } }) == ErrorCode::kChangeTooLarge);
  CHECK(state == before);
}

// Guards against malformed rows in the platform that crash the decoders; seed 2.
TEST_CASE("mutated rows decode or return an error", "[config]")
{
  const auto change = EncodeChange(ChangeWith({ { "service/b", "{}" }, { "x", std::nullopt } }));
  const auto snapshot = EncodeSnapshot({ 512, { { "service/b", "{}" } } });
  const auto watermark = EncodeWatermark({ { "north" }, 7, 16, { "h1" }, { "h2" }, 5 });
  CHECK(Value(DecodeWatermark(watermark)).lagging_ == std::vector<std::string>{ "h1" });
  std::mt19937_64 random(2);
  for (int i = 0; i < 3000; ++i) {
    static_cast<void>(DecodeChange(Mutate(change, random)));
    static_cast<void>(DecodeSnapshot(Mutate(snapshot, random)));
    static_cast<void>(DecodeWatermark(Mutate(watermark, random)));
    static_cast<void>(DecodeHead(Mutate(EncodeHead(17), random)));
    const Entities entities{ { Mutate("site/north", random),
                               Mutate(R"({"region":"r","overlay":{}})", random) } };
    static_cast<void>(CheckEntities(entities));
  }
  CHECK(ChangeRowKey(17) == "config/change/0000000000000017");
  CHECK(SnapshotName(256) == "config/snapshot/256");
}

// Guards against keys that are stored instead of their digests, that are granted twice or to an
// unknown account, and against withdrawing the wrong key because the given digits are ambiguous.
TEST_CASE("keys are granted and withdrawn by digest", "[keys]")
{
  const auto digest = KeyDigest("k");
  Entities entities{ { "account/mill", R"({"burst":5,"rate":5})" } };
  CHECK(Failure(GrantKey(entities, { "none" }, digest, "")).code_ == ErrorCode::kUnknownReference);
  const auto granted = Value(GrantKey(entities, { "mill" }, digest, "label"));
  entities[granted.name_] = *granted.json_;
  CHECK(Failure(GrantKey(entities, { "mill" }, digest, "")).code_ == ErrorCode::kContradiction);
  CHECK(CheckEntities(entities).has_value());
  CHECK(Value(WithdrawKey(entities, digest.substr(0, 8))) ==
        EntityEdit{ "key/" + digest, std::nullopt });
  CHECK(Failure(WithdrawKey(entities, digest.substr(0, 7))).code_ == ErrorCode::kOutOfRange);
  CHECK(Failure(WithdrawKey(entities, "00000000")).code_ == ErrorCode::kNotFound);
  auto other = digest;
  other.back() = other.back() == '0' ? '1' : '0';
  entities["key/" + other] = R"({"account":"mill","source":"file"})";
  CHECK(Failure(WithdrawKey(entities, digest.substr(0, 8))).code_ == ErrorCode::kContradiction);
  const auto withdrawn = Value(WithdrawKey(entities, other));
  REQUIRE(withdrawn.json_.has_value());
  entities[withdrawn.name_] = *withdrawn.json_;
  CHECK(Failure(WithdrawKey(entities, other)).code_ == ErrorCode::kNotFound);
  CHECK(GenerateKey() != GenerateKey());
}
