// Parses the settings file of a node with toml++.
#include "peridotquay/process/Settings.h"

#include "peridotquay/process/TomlFile.h"
#include "peridotquay/version/ConfigReader.h"

#include <boost/asio/ip/address.hpp>
#include <boost/outcome/try.hpp>

#include <algorithm>
#include <array>
#include <charconv>
#include <limits>

namespace peridotquay {

namespace {

// File descriptors kept for connections to and from peers, the platform and operators, for refused
// callers and for files.
constexpr std::uint32_t kOtherDescriptors = 256;

constexpr std::array<std::string_view, 29> kKnownKeys = { "host",
                                                          "data_centre",
                                                          "region",
                                                          "service",
                                                          "callers",
                                                          "outbound",
                                                          "peers",
                                                          "admin",
                                                          "target",
                                                          "seeds",
                                                          "platform",
                                                          "port_file",
                                                          "log_directory",
                                                          "target_connections",
                                                          "caller_connections",
                                                          "pipelined_requests",
                                                          "max_body_bytes",
                                                          "max_header_bytes",
                                                          "host_memory_mb",
                                                          "read_timeout_ms",
                                                          "drain_timeout_ms",
                                                          "seed",
                                                          "naive",
                                                          "even_load",
                                                          "room_scheduling",
                                                          "accept_while_draining_ms",
                                                          "stop_grace_s",
                                                          "target_idle_timeout_ms",
                                                          "adapter" };

// A call in flight may be ended in the last sixth of the time that a process has to stop.
constexpr Duration kDrainIntoLastSixth = milliseconds(300);

// Time that the process needs to announce its end and to exit.
constexpr Duration kStopReserve = milliseconds(500);

// Callers learn within 2 s that a host isn't ready. A request that is accepted later may be ended.
constexpr Duration kMaxDrainAcceptPeriod = milliseconds(2400);

/// A parsed settings file and its name, which errors state.
struct Document
{
  const toml::table* table_;
  const std::string* file_;
};

auto FailAt(const Document& aDocument,
            const toml::node& aNode,
            ErrorCode aCode,
            std::string_view aKey,
            std::string aAllowed)
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aCode,
           std::string(aKey),
           std::move(aAllowed),
           SourceLocationOf(aNode.source(), *aDocument.file_) });
}

Result<void> CheckKnownKeys(const Document& aDocument)
{
  for (const auto& [key, value] : *aDocument.table_) {
    if (std::find(kKnownKeys.begin(), kKnownKeys.end(), key.str()) == kKnownKeys.end()) {
      return BOOST_OUTCOME_V2_NAMESPACE::failure(
        Error{ ErrorCode::kUnknownSetting,
               std::string(key.str()),
               "a setting of docs/OPERATIONS.md",
               SourceLocationOf(key.source(), *aDocument.file_) });
    }
  }
  return Success();
}

Result<void> ReadString(const Document& aDocument, std::string_view aKey, std::string& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return Success();
  }
  const auto text = node->value_exact<std::string>();
  if (!text) {
    return FailAt(aDocument, *node, ErrorCode::kWrongType, aKey, "a string");
  }
  aOut = *text;
  return Success();
}

/// Reads a required id, which must follow the same rule as ids in the configuration.
Result<void> ReadId(const Document& aDocument, std::string_view aKey, std::string& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return BOOST_OUTCOME_V2_NAMESPACE::failure(Error{
      ErrorCode::kMissingSetting, std::string(aKey), "required", { *aDocument.file_, 0, 0 } });
  }
  BOOST_OUTCOME_TRYV(ReadString(aDocument, aKey, aOut));
  if (!IsConfigId(aOut)) {
    return FailAt(aDocument, *node, ErrorCode::kOutOfRange, aKey, std::string(kConfigIdRule));
  }
  return Success();
}

/// Reads the host id. It can't hold a dot, because dots separate the parts of request ids.
Result<void> ReadHost(const Document& aDocument, std::string& aOut)
{
  BOOST_OUTCOME_TRYV(ReadId(aDocument, "host", aOut));
  if (aOut.find('.') != std::string::npos) {
    const auto* node = aDocument.table_->get("host");
    return FailAt(
      aDocument, *node, ErrorCode::kOutOfRange, "host", "1 to 64 letters, digits, '-' or '_'");
  }
  return Success();
}

template<typename T>
Result<void> ReadInteger(const Document& aDocument,
                         std::string_view aKey,
                         std::int64_t aMin,
                         std::int64_t aMax,
                         T& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return Success();
  }
  const auto number = node->value_exact<std::int64_t>();
  if (!number) {
    return FailAt(aDocument, *node, ErrorCode::kWrongType, aKey, "an integer");
  }
  if (*number < aMin || *number > aMax) {
    return FailAt(aDocument,
                  *node,
                  ErrorCode::kOutOfRange,
                  aKey,
                  std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  aOut = static_cast<T>(*number);
  return Success();
}

Result<void> ReadMilliseconds(const Document& aDocument,
                              std::string_view aKey,
                              std::int64_t aMin,
                              std::int64_t aMax,
                              Duration& aOut)
{
  auto number = std::chrono::duration_cast<milliseconds>(aOut).count();
  BOOST_OUTCOME_TRYV(ReadInteger(aDocument, aKey, aMin, aMax, number));
  aOut = milliseconds(number);
  return Success();
}

/// Reads seconds with or without a fraction, to the millisecond.
Result<void> ReadSeconds(const Document& aDocument,
                         std::string_view aKey,
                         double aMin,
                         double aMax,
                         Duration& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return Success();
  }
  const auto number = node->value<double>();
  if (!number || !node->is_number()) {
    return FailAt(aDocument, *node, ErrorCode::kWrongType, aKey, "a number");
  }
  if (!(*number >= aMin && *number <= aMax)) {
    return FailAt(aDocument,
                  *node,
                  ErrorCode::kOutOfRange,
                  aKey,
                  std::to_string(aMin) + " to " + std::to_string(aMax));
  }
  aOut = std::chrono::duration_cast<milliseconds>(std::chrono::duration<double>(*number));
  return Success();
}

Result<void> ReadBool(const Document& aDocument, std::string_view aKey, bool& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return Success();
  }
  const auto boolean = node->value_exact<bool>();
  if (!boolean) {
    return FailAt(aDocument, *node, ErrorCode::kWrongType, aKey, "true or false");
  }
  aOut = *boolean;
  return Success();
}

Result<void> ReadFeatureMode(const Document& aDocument, std::string_view aKey, FeatureMode& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return Success();
  }
  const auto text = node->value_exact<std::string>();
  if (text == "stated") {
    aOut = FeatureMode::kStated;
  } else if (text == "always") {
    aOut = FeatureMode::kAlways;
  } else if (text == "off") {
    aOut = FeatureMode::kOff;
  } else {
    return FailAt(aDocument,
                  *node,
                  text ? ErrorCode::kOutOfRange : ErrorCode::kWrongType,
                  aKey,
                  R"("stated", "always" or "off")");
  }
  return Success();
}

Result<Address> ReadAddressNode(const Document& aDocument,
                                const toml::node& aNode,
                                std::string_view aKey)
{
  const auto text = aNode.value_exact<std::string>();
  if (!text) {
    return FailAt(aDocument, aNode, ErrorCode::kWrongType, aKey, "a string \"ip:port\"");
  }
  const auto address = ParseAddress(*text);
  if (!address) {
    return FailAt(aDocument,
                  aNode,
                  ErrorCode::kOutOfRange,
                  aKey,
                  "ip:port with an IP number and port 0 to 65535");
  }
  return *address;
}

Result<void> ReadAddress(const Document& aDocument, std::string_view aKey, Address& aOut)
{
  if (const auto* node = aDocument.table_->get(aKey)) {
    BOOST_OUTCOME_TRY(address, ReadAddressNode(aDocument, *node, aKey));
    aOut = std::move(address);
  }
  return Success();
}

/// Reads a list of addresses to connect to, for which port 0 is invalid.
Result<void> ReadAddresses(const Document& aDocument,
                           std::string_view aKey,
                           std::vector<Address>& aOut)
{
  const auto* node = aDocument.table_->get(aKey);
  if (node == nullptr) {
    return Success();
  }
  const auto* list = node->as_array();
  if (list == nullptr) {
    return FailAt(aDocument, *node, ErrorCode::kWrongType, aKey, "a list of \"ip:port\"");
  }
  if (list->size() > 64) {
    return FailAt(aDocument, *node, ErrorCode::kOutOfRange, aKey, "at most 64 addresses");
  }
  for (const auto& element : *list) {
    BOOST_OUTCOME_TRY(address, ReadAddressNode(aDocument, element, aKey));
    if (address.port_ == 0) {
      return FailAt(aDocument, element, ErrorCode::kOutOfRange, aKey, "port 1 to 65535");
    }
    aOut.push_back(std::move(address));
  }
  return Success();
}

Result<void> CheckListenersDiffer(const Document& aDocument, const NodeSettings& aSettings)
{
  const std::array<std::pair<std::string_view, const Address*>, 4> listeners = {
    { { "callers", &aSettings.callers_ },
      { "outbound", &aSettings.outbound_ },
      { "peers", &aSettings.peers_ },
      { "admin", &aSettings.admin_ } }
  };
  for (std::size_t i = 0; i < listeners.size(); ++i) {
    for (std::size_t j = 0; j < i; ++j) {
      const bool same =
        listeners[i].second->port_ != 0 && *listeners[i].second == *listeners[j].second;
      const auto* node = aDocument.table_->get(listeners[i].first);
      if (same && node != nullptr) {
        return FailAt(aDocument,
                      *node,
                      ErrorCode::kContradiction,
                      listeners[i].first,
                      "another address than " + std::string(listeners[j].first));
      }
    }
  }
  return Success();
}

Result<NodeSettings> ReadSettings(const Document& aDocument)
{
  NodeSettings settings;
  BOOST_OUTCOME_TRYV(CheckKnownKeys(aDocument));
  BOOST_OUTCOME_TRYV(ReadHost(aDocument, settings.host_.value_));
  BOOST_OUTCOME_TRYV(ReadId(aDocument, "data_centre", settings.dataCentre_.value_));
  BOOST_OUTCOME_TRYV(ReadId(aDocument, "region", settings.region_.value_));
  BOOST_OUTCOME_TRYV(ReadId(aDocument, "service", settings.service_.value_));
  BOOST_OUTCOME_TRYV(ReadAddress(aDocument, "callers", settings.callers_));
  BOOST_OUTCOME_TRYV(ReadAddress(aDocument, "outbound", settings.outbound_));
  BOOST_OUTCOME_TRYV(ReadAddress(aDocument, "peers", settings.peers_));
  BOOST_OUTCOME_TRYV(ReadAddress(aDocument, "admin", settings.admin_));
  BOOST_OUTCOME_TRYV(ReadAddress(aDocument, "target", settings.target_));
  BOOST_OUTCOME_TRYV(ReadAddresses(aDocument, "seeds", settings.seedPeers_));
  BOOST_OUTCOME_TRYV(ReadAddresses(aDocument, "platform", settings.platformAddresses_));
  BOOST_OUTCOME_TRYV(ReadString(aDocument, "port_file", settings.portFile_));
  BOOST_OUTCOME_TRYV(ReadString(aDocument, "log_directory", settings.logDirectory_));
  BOOST_OUTCOME_TRYV(
    ReadInteger(aDocument, "target_connections", 1, 65535, settings.maxTargetConnections_));
  BOOST_OUTCOME_TRYV(
    ReadInteger(aDocument, "caller_connections", 1, 65535, settings.maxCallerConnections_));
  BOOST_OUTCOME_TRYV(
    ReadInteger(aDocument, "pipelined_requests", 1, 64, settings.pipelinedRequests_));
  // A body and its headers are sent in one frame of at most 1 MiB, so the sum of both limits is
  // below that.
  BOOST_OUTCOME_TRYV(ReadInteger(
    aDocument, "max_body_bytes", 0, std::int64_t{ 960 } * 1024, settings.maxBodyBytes_));
  BOOST_OUTCOME_TRYV(ReadInteger(
    aDocument, "max_header_bytes", 1024, std::int64_t{ 48 } * 1024, settings.maxHeaderBytes_));
  BOOST_OUTCOME_TRYV(ReadInteger(aDocument, "host_memory_mb", 32, 1 << 20, settings.hostMemoryMb_));
  BOOST_OUTCOME_TRYV(
    ReadMilliseconds(aDocument, "read_timeout_ms", 10, 600000, settings.readTimeout_));
  BOOST_OUTCOME_TRYV(
    ReadMilliseconds(aDocument, "drain_timeout_ms", 0, 3600000, settings.drainTimeout_));
  BOOST_OUTCOME_TRYV(ReadInteger(
    aDocument, "seed", 0, std::numeric_limits<std::int64_t>::max(), settings.randomSeed_));
  BOOST_OUTCOME_TRYV(ReadBool(aDocument, "naive", settings.naive_));
  BOOST_OUTCOME_TRYV(ReadFeatureMode(aDocument, "even_load", settings.evenLoad_));
  BOOST_OUTCOME_TRYV(ReadFeatureMode(aDocument, "room_scheduling", settings.roomScheduling_));
  BOOST_OUTCOME_TRYV(ReadMilliseconds(
    aDocument, "accept_while_draining_ms", 0, 600000, settings.drainAcceptPeriod_));
  Duration grace{};
  BOOST_OUTCOME_TRYV(ReadSeconds(aDocument, "stop_grace_s", 0, 3600, grace));
  if (grace > Duration::zero()) {
    SetDrainTimes(settings, grace);
  }
  BOOST_OUTCOME_TRYV(ReadMilliseconds(
    aDocument, "target_idle_timeout_ms", 100, 600000, settings.targetIdleTimeout_));
  BOOST_OUTCOME_TRYV(CheckListenersDiffer(aDocument, settings));
  return settings;
}

} // namespace

void SetDrainTimes(NodeSettings& aSettings, Duration aGrace)
{
  aSettings.drainTimeout_ =
    std::min<Duration>(aGrace * 5 / 6 + kDrainIntoLastSixth, aGrace - kStopReserve);
  aSettings.drainAcceptPeriod_ = std::min<Duration>(kMaxDrainAcceptPeriod, aGrace * 2 / 5);
}

std::uint32_t MaxCallerConnections(const NodeSettings& aSettings, std::uint64_t aDescriptors)
{
  const std::uint64_t reserved =
    std::min<std::uint64_t>(aSettings.maxTargetConnections_ + kOtherDescriptors, aDescriptors / 2);
  const std::uint64_t left = std::max<std::uint64_t>(aDescriptors - reserved, 1);
  return static_cast<std::uint32_t>(std::min<std::uint64_t>(aSettings.maxCallerConnections_, left));
}

Result<NodeSettings> ParseNodeSettings(const std::string& aFile)
{
  BOOST_OUTCOME_TRY(text, ReadWholeFile(aFile));
  return ParseNodeSettingsText(text, aFile);
}

Result<NodeSettings> ParseNodeSettingsText(std::string_view aText, const std::string& aFile)
{
  BOOST_OUTCOME_TRY(table, ParseToml(aText, aFile));
  return ReadSettings({ &table, &aFile });
}

} // namespace peridotquay
