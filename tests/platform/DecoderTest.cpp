// Tests of the decoders of platform/: configuration documents, heartbeats, host records, store rows
// and settings.
#include "peridotquay/process/Settings.h"

#include "platform/ConfigDecoder.h"
#include "platform/Heartbeat.h"
#include "platform/HostRecord.h"
#include "platform/PlatformSettings.h"
#include "platform/StoreClient.h"
#include "tests/version/Mutate.h"
#include "tests/version/ResultValue.h"

#include <catch2/catch.hpp>
#include <nlohmann/json.hpp>

using namespace peridotquay;
using namespace peridotquay::platform;

namespace {

const std::string kDocument = R"({"version":"r7","routes":{
  "a":{"host":"h.example","prefix":"/x/","kind":"safe","timeout_ms":1500,"latency_target_ms":900,"priority":2,
       "split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],"max_attempts":2,"public":false},
  "b":{"host":"h.example","prefix":"/x/y/","kind":"unsafe","timeout_ms":800,"priority":0,"service":"s1",
       "max_attempts":1,"public":true}},
  "services":{"s1":{"health_path":"/health","max_connections":424}},
  "limits":{"max_header_bytes":16384},
  "tenants":{"t1":{"api_keys":["k1","k2"],"priority":1,"rate_per_s":51,"burst":60},"t2":{"api_keys":[]}}})";

const std::string kHeartbeat =
  R"({"service":"s1","address":"10.0.0.1:80","zone":"z","version":"v1","capacity":54,"state":"ready",
      "cold_remaining_ms":3000,"sequence":4,"born":1700000000000})";

const std::string kRows =
  R"({"rows":[{"table":"t","part":"","key":"a","value":"bm9kZS0x","ver":412},
  {"table":"t","part":"","key":"b","ver":413,"deleted":true}],"has_more":true,"ver":530,"now_ms":51230})";

const std::string kSettings = R"([adapter]
store = "10.0.0.7:8545"
ready = "10.0.0.1:8546"
heartbeats = "10.0.0.1:8540"
heartbeat_ms = 1500
key_freshness_ms = 5000
refusal_freshness_ms = 2500
retry_ratio = 0.1
retry_cap = 1.5
retry_interval_ms = 8000
queue_deadline_fraction = 0.6
)";

HostRecord SampleRecord()
{
  HostRecord record;
  record.host_ = { "side-1" };
  record.incarnation_ = 17;
  record.peer_ = { "10.0.0.1", 7000 };
  record.dataCentre_ = { "z" };
  record.region_ = { "r" };
  record.service_ = { "s1" };
  record.targetId_ = "i-1";
  record.targetState_ = TargetState::kReady;
  record.slots_ = 54;
  return record;
}

} // namespace

// Guards against a field of the operator's document that is lost or stored under another meaning.
TEST_CASE("the fields of a configuration document reach the configuration", "[platform]")
{
  const auto config = Value(DecodeConfig(kDocument, Policy{}));
  CHECK(config->version_ == 7);
  const Route* split = FindHostRoute(*config, "h.example", "/x/1");
  const Route* longer = FindHostRoute(*config, "h.example", "/x/y/1");
  REQUIRE(split != nullptr);
  REQUIRE(longer != nullptr);
  CHECK(FindHostRoute(*config, "other.example", "/x/1") == nullptr);
  CHECK(FindHostRoute(*config, "h.example", "/x") == nullptr);
  CHECK(split->repeatable_);
  CHECK(split->maxRetries_ == 1);
  CHECK(split->deadline_ == milliseconds(1500));
  CHECK(split->latencyObjective_ == milliseconds(900));
  CHECK(split->split_ == std::vector<WeightedService>{ { { "s1" }, 90 }, { { "s2" }, 10 } });
  CHECK_FALSE(longer->repeatable_);
  CHECK(longer->open_);
  CHECK(longer->maxRetries_ == 0);
  const ClientAccount* account = FindAccountByKeyDigest(*config, KeyDigest("k2"));
  REQUIRE(account != nullptr);
  CHECK(account->id_.value_ == "t1");
  CHECK(account->ratePerSecond_ == 51);
  CHECK(account->burst_ == 60);
  CHECK(FindAccountByKeyDigest(*config, KeyDigest("k3")) == nullptr);
  CHECK(config->clientAccounts_.at({ "t2" }).ratePerSecond_ == 0);
}

// Guards against a retry of a request that isn't known to be safe to repeat.
TEST_CASE("requests on a route of unknown kind run at most once", "[platform]")
{
  auto text = kDocument;
  text.replace(text.find("\"safe\""), 6, "\"keyed\"");
  const auto config = Value(DecodeConfig(text, Policy{}));
  CHECK_FALSE(FindHostRoute(*config, "h.example", "/x/1")->repeatable_);
}

// Guards against a malformed document that is put in force without its malformed entries.
TEST_CASE("a malformed document is rejected as a whole and the error names the entry", "[platform]")
{
  struct Fault
  {
    const char* from_;
    const char* to_;
    const char* subject_;
  };
  for (const Fault& fault :
       { Fault{ "\"r7\"", "\"x7\"", "version" },
         Fault{ "\"r7\"", "7", "version" },
         Fault{ "\"timeout_ms\":800", "\"timeout_ms\":-1", "routes.b.timeout_ms" },
         Fault{ "\"/x/y/\"", "5", "routes.b.prefix" },
         Fault{ "\"service\":\"s1\",\n       \"max", "\"max", "routes.b" },
         Fault{ "[\"k1\",\"k2\"]", "\"k1\"", "tenants.t1.api_keys" },
         Fault{ "\"burst\":60", "\"burst\":\"60\"", "tenants.t1.burst" } }) {
    auto text = kDocument;
    INFO(fault.from_ << " -> " << fault.to_);
    REQUIRE(text.find(fault.from_) != std::string::npos);
    text.replace(text.find(fault.from_), std::string(fault.from_).size(), fault.to_);
    const Error error = Failure(DecodeConfig(text, Policy{}));
    CHECK(error.code_ == ErrorCode::kPlatformMalformed);
    CHECK(error.subject_ == fault.subject_);
  }
}

// Guards against shedding by the route's priority first, so that a less important account's
// requests are kept and a more important account's are shed.
TEST_CASE("an account's priority takes precedence over the route's", "[platform]")
{
  Config config;
  config.clientAccounts_[{ "a" }] = { { "a" }, 0, 0, 1, 0 };
  config.clientAccounts_[{ "b" }] = { { "b" }, 0, 0, 1, 2 };
  Route urgent;
  urgent.priority_ = 0;
  Route other;
  other.priority_ = 2;
  config.routes_ = { urgent, other };
  const auto& a = config.clientAccounts_.at({ "a" });
  const auto& b = config.clientAccounts_.at({ "b" });
  CHECK(ImportanceFor(config, a, other) <= ImportanceFor(config, b, urgent));
  CHECK(ImportanceFor(config, a, urgent) <= ImportanceFor(config, a, other));
  CHECK(ImportanceFor(config, a, urgent) > Importance::kCritical);
}

// Guards against a late heartbeat of an earlier start that replaces the state of the current one.
TEST_CASE("heartbeats are ordered by start time, then by sequence", "[platform]")
{
  const Heartbeat first = Value(DecodeHeartbeat("i-1", kHeartbeat));
  CHECK(first.slots_ == 54);
  CHECK_FALSE(first.draining_);
  Heartbeat next = first;
  next.sequence_ = 5;
  CHECK(IsNewer(next, first));
  CHECK_FALSE(IsNewer(first, next));
  CHECK_FALSE(IsNewer(first, first));
  Heartbeat restarted = first;
  restarted.startedMs_ += 1;
  restarted.sequence_ = 1;
  CHECK(IsNewer(restarted, next));
  CHECK_FALSE(IsNewer(next, restarted));
  Heartbeat earlier = first;
  earlier.targetId_ = "i-0";
  earlier.startedMs_ -= 1;
  earlier.sequence_ = 99;
  CHECK_FALSE(IsNewer(earlier, first));
}

// Guards against a malformed heartbeat of another writer that registers a target, or brings one
// that drains back.
TEST_CASE("malformed heartbeats are rejected", "[platform]")
{
  const auto valid = nlohmann::json::parse(kHeartbeat);
  REQUIRE(DecodeHeartbeat("i-1", valid.dump()).has_value());
  const auto rejects = [](const std::string& aBody) {
    INFO(aBody);
    CHECK(Failure(DecodeHeartbeat("i-1", aBody)).code_ == ErrorCode::kMalformedRequest);
  };
  rejects("");
  rejects("[]");
  rejects("{}");
  rejects(kHeartbeat.substr(0, kHeartbeat.size() - 1));
  for (const auto& [name, value] : valid.items()) {
    for (const nlohmann::json& other : { nlohmann::json(),
                                         nlohmann::json(-1),
                                         nlohmann::json(""),
                                         nlohmann::json::array({ value }) }) {
      nlohmann::json changed = valid;
      changed[name] = other;
      rejects(changed.dump());
    }
    // The start time may be missing.
    nlohmann::json without = valid;
    without.erase(name);
    CHECK(DecodeHeartbeat("i-1", without.dump()).has_value() == (name == "born"));
  }
  for (const char* address : { "10.0.0.1", "10.0.0.1:0", "10.0.0.1:65536", "h1:80", ":80" }) {
    nlohmann::json changed = valid;
    changed["address"] = address;
    rejects(changed.dump());
  }
  nlohmann::json state = valid;
  state["state"] = "odd";
  rejects(state.dump());
  CHECK(DecodeHeartbeat("", kHeartbeat).has_error());
}

// Guards against a record field that is lost or changed between writer and reader.
TEST_CASE("a decoded host record equals the encoded one", "[platform]")
{
  CHECK(Value(DecodeRecord(EncodeRecord(SampleRecord()))) == SampleRecord());
  HostRecord unknown = SampleRecord();
  unknown.targetId_.clear();
  CHECK(Value(DecodeRecord(EncodeRecord(unknown))) == unknown);
  // Records of hosts that write no revision come before those of the same process with one.
  HostRecord revised = SampleRecord();
  revised.revision_ = 3;
  CHECK(Value(DecodeRecord(EncodeRecord(revised))) == revised);
  CHECK(IsEarlier(SampleRecord(), revised));
  CHECK_FALSE(IsEarlier(revised, revised));
  HostRecord restarted = SampleRecord();
  ++restarted.incarnation_;
  CHECK(IsEarlier(revised, restarted));
}

// Guards against an odd record of another writer that ends the process or names a host to connect
// to. A deeply nested one made the decoder overflow the stack.
TEST_CASE("an odd host record is rejected with a typed error", "[platform]")
{
  const auto packed = [](const nlohmann::json& aJson) {
    const auto bytes = nlohmann::json::to_msgpack(aJson);
    return std::string(bytes.begin(), bytes.end());
  };
  const nlohmann::json record = { 2,   "side-1", 17,    "10.0.0.1", 7000, "z",
                                  "r", "s1",     "i-1", 1,          54,   false };
  CHECK(Value(DecodeRecord(packed(record))) == SampleRecord());
  CHECK(EncodeRecord(SampleRecord()) == packed(record));
  const auto with = [&](std::size_t aIndex, const nlohmann::json& aValue) {
    nlohmann::json changed = record;
    changed[aIndex] = aValue;
    return packed(changed);
  };
  constexpr std::size_t kRowBytes = 65536;
  const std::vector<std::pair<std::string, std::string>> rows = {
    { "empty", "" },
    { "JSON", record.dump() },
    { "nested arrays", std::string(kRowBytes, '\x91') },
    { "nested arrays, complete", std::string(kRowBytes - 1, '\x91') + "\x01" },
    { "nested maps", std::string(kRowBytes, '\x81') },
    { "array of 2^32 - 1 elements", "\xdd\xff\xff\xff\xff" },
    { "text of 2^32 - 1 bytes", "\x9c\xdb\xff\xff\xff\xff" },
    { "more bytes after the record", packed(record) + "x" },
    { "another format", with(0, 3) },
    { "nested host", with(1, nlohmann::json::array({ "side-1" })) },
    { "number as host", with(1, 5) },
    { "negative incarnation", with(2, -1) },
    { "incarnation above 2^64", with(2, 1e300) },
    { "name in place of an IP address", with(3, "localhost") },
    { "port 0", with(4, 0) },
    { "port 65536", with(4, 65536) },
    { "port 2^63", with(4, std::uint64_t{ 1 } << 63U) },
    { "unknown state", with(9, 4) },
    { "slots above 2^32", with(10, std::uint64_t{ 1 } << 33U) },
    { "more slots than a target has", with(10, 4294967295U) },
    { "number as flag", with(11, 0) }
  };
  for (const auto& [name, bytes] : rows) {
    INFO(name);
    REQUIRE(DecodeRecord(bytes).has_error());
    CHECK(Failure(DecodeRecord(bytes)).code_ == ErrorCode::kPlatformMalformed);
  }
}

// Guards against JSON of another writer that ends the process by its depth or by a number that no
// type holds.
TEST_CASE("deeply nested JSON and numbers out of range have no effect", "[platform]")
{
  const std::string nested = std::string(200'000, '[') + "1e999" + std::string(200'000, ']');
  for (const std::string& value : { nested, std::string("1e999"), std::string(400, '9') }) {
    const std::string body =
      R"({"service":"s","state":"ready","sequence":1,"capacity":)" + value + "}";
    CHECK(DecodeHeartbeat("i-1", body).has_error());
    CHECK(ParseLeaveStart("{\"born\":" + value + "}") == 0);
    CHECK(DecodeConfig(R"({"version":"r1","routes":{"a":)" + value + "}}", Policy{}).has_error());
    const auto rows = ParseRows(R"({"rows":[{"key":"a","ver":)" + value + "}]}");
    CHECK((rows.has_error() || rows.assume_value().rows_.front().position_.version_ == 0));
  }
}

// Guards against requests that are routed to targets which left or were never reported.
TEST_CASE("the target view has only targets that are known and haven't left", "[platform]")
{
  std::map<std::string, HostEntry> records;
  records["side-1"] = { SampleRecord(), { 0, 1 }, {} };
  records["side-2"] = { SampleRecord(), { 0, 1 }, {} };
  records["side-2"].record_.host_ = { "side-2" };
  records["side-2"].record_.targetState_ = TargetState::kLeft;
  records["side-3"] = { SampleRecord(), { 0, 1 }, {} };
  records["side-3"].record_.host_ = { "side-3" };
  records["side-3"].record_.targetId_.clear();
  const TargetView view = BuildTargetView(records);
  REQUIRE(view.targets_.at({ "s1" }).size() == 1);
  CHECK(view.targets_.at({ "s1" }).front().host_.value_ == "side-1");
  CHECK(view.hosts_.size() == 3);
}

// Guards against conditional writes and watches that use a wrong row version.
TEST_CASE("store rows are decoded with their versions", "[platform]")
{
  const StoreRows rows = Value(ParseRows(kRows));
  CHECK(rows.position_ == StorePosition{ 0, 530 });
  CHECK(rows.hasMore_);
  REQUIRE(rows.rows_.size() == 2);
  CHECK(rows.rows_[0] == StoreRow{ "a", "node-1", { 0, 412 }, false });
  CHECK(rows.rows_[1] == StoreRow{ "b", "", { 0, 413 }, true });
}

// Guards against wrong padding, which would add or drop bytes of a row's value.
TEST_CASE("base64 decoding restores inputs of every length", "[platform]")
{
  for (std::size_t length = 0; length < 20; ++length) {
    std::string bytes(length, '\0');
    for (std::size_t i = 0; i < length; ++i) {
      bytes[i] = static_cast<char>(i * 37);
    }
    const auto decoded = DecodeBase64(EncodeBase64(bytes));
    REQUIRE(decoded.has_value());
    CHECK(*decoded == bytes);
  }
  CHECK_FALSE(DecodeBase64("abc").has_value());
  CHECK_FALSE(DecodeBase64("ab!=").has_value());
}

// Guards against wrong settings that are accepted, and errors that don't name the file.
TEST_CASE("wrong adapter settings are rejected with their file", "[platform]")
{
  const PlatformSettings settings = Value(ParsePlatformSettings(kSettings, "node.toml"));
  CHECK(settings.storeAddress_ == Address{ "10.0.0.7", 8545 });
  CHECK(settings.policy_.keyFreshnessBound_ == milliseconds(5000));
  CHECK(settings.policy_.refusalFreshnessBound_ == milliseconds(2500));
  CHECK(settings.policy_.retryRatio_ == 0.1);
  struct Fault
  {
    const char* from_;
    const char* to_;
    ErrorCode code_;
  };
  for (const Fault& fault :
       { Fault{ "store = \"10.0.0.7:8545\"\n", "", ErrorCode::kMissingSetting },
         Fault{ "ratio = 0.1", "ratio = 1.5", ErrorCode::kOutOfRange },
         Fault{ "1500", "\"1500\"", ErrorCode::kWrongType },
         Fault{ "retry_cap", "retry_cup", ErrorCode::kUnknownSetting },
         Fault{ "[adapter]", "[adapter", ErrorCode::kSyntax } }) {
    auto text = kSettings;
    text.replace(text.find(fault.from_), std::string(fault.from_).size(), fault.to_);
    INFO(fault.to_);
    const Error error = Failure(ParsePlatformSettings(text, "node.toml"));
    CHECK(error.code_ == fault.code_);
    CHECK(error.location_.file_ == "node.toml");
  }
}

// Guards against a crash on malformed input, and against decoders that accept anything.
TEST_CASE("mutated input decodes to a value or a typed error", "[platform]")
{
  std::mt19937_64 random(20261204);
  std::size_t rejectedCount = 0;
  for (int i = 0; i < 4000; ++i) {
    rejectedCount += DecodeConfig(Mutate(kDocument, random), Policy{}).has_error() ? 1 : 0;
    rejectedCount += DecodeHeartbeat("i-1", Mutate(kHeartbeat, random)).has_error() ? 1 : 0;
    rejectedCount += DecodeRecord(Mutate(EncodeRecord(SampleRecord()), random)).has_error() ? 1 : 0;
    rejectedCount += ParseRows(Mutate(kRows, random)).has_error() ? 1 : 0;
    rejectedCount += ParsePlatformSettings(Mutate(kSettings, random), "f").has_error() ? 1 : 0;
  }
  CHECK(rejectedCount > 1000);
}

// Guards against allowed regions that are lost or ignored because they are malformed, and against a
// document without the new fields that no longer decodes as before.
TEST_CASE("allowed regions and cold starts of a document are decoded", "[platform]")
{
  const auto plain = Value(DecodeConfig(kDocument, Policy{}));
  CHECK(plain->coldStarts_.empty());
  CHECK(plain->routes_.front().allowedRegions_.empty());
  CHECK(plain->clientAccounts_.at({ "t1" }).allowedRegions_.empty());

  auto json = nlohmann::json::parse(kDocument);
  json["routes"]["a"]["allowed_regions"] = { "r1", "r2" };
  json["tenants"]["t1"]["allowed_regions"] = { "r2" };
  json["tenants"]["t2"]["allowed_regions"] = nlohmann::json::array();
  json["services"]["s1"]["cold_start_s"] = 7.5;
  json["services"]["s1"]["cold_per_s"] = 12;
  json["services"]["s2"]["cold_per_s"] = 0;
  const auto config = Value(DecodeConfig(json.dump(), Policy{}));
  const Route* route = FindHostRoute(*config, "h.example", "/x/1");
  REQUIRE(route != nullptr);
  CHECK(route->allowedRegions_ == std::vector<RegionId>{ { "r1" }, { "r2" } });
  CHECK(config->clientAccounts_.at({ "t1" }).allowedRegions_ == std::vector<RegionId>{ { "r2" } });
  CHECK(config->clientAccounts_.at({ "t2" }).allowedRegions_.empty());
  CHECK(config->coldStarts_ ==
        std::map<ServiceId, ColdStart>{ { { "s1" }, { milliseconds(7500), 12 } } });

  for (const nlohmann::json& malformed : { nlohmann::json("r1"), nlohmann::json({ "r1", 2 }) }) {
    auto broken = json;
    broken["routes"]["a"]["allowed_regions"] = malformed;
    CHECK(DecodeConfig(broken.dump(), Policy{}).has_error());
    broken = json;
    broken["tenants"]["t1"]["allowed_regions"] = malformed;
    CHECK(DecodeConfig(broken.dump(), Policy{}).has_error());
  }
}
