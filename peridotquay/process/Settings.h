// Settings of a node, read from a TOML file.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/request/FeatureMode.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotquay {

/// Settings of one quayd process. All come from the file; nothing is read from the environment.
struct NodeSettings
{
  HostId host_;
  DataCentreId dataCentre_;
  RegionId region_;
  ServiceId service_;
  Address callers_{ "127.0.0.1", 0 };      ///< HTTP for callers of the data centre.
  Address outbound_{ "127.0.0.1", 0 };     ///< HTTP for calls that the local target makes.
  Address peers_{ "127.0.0.1", 0 };        ///< TCP for frames and UDP for probes of peers.
  Address admin_{ "127.0.0.1", 0 };        ///< HTTP for status, metrics and drain.
  Address target_{ "127.0.0.1", 0 };       ///< The local target's HTTP address.
  std::vector<Address> seedPeers_;         ///< Peer addresses of hosts to contact at start.
  std::vector<Address> platformAddresses_; ///< HTTP addresses of the platform.
  std::string portFile_; ///< If set, the bound ports are written there as JSON once all are open.
  std::string logDirectory_;                  ///< If empty, logs go to standard error.
  std::uint32_t maxTargetConnections_ = 400;  ///< Simultaneous connections to the local target.
  std::uint32_t maxCallerConnections_ = 4096; ///< Simultaneous connections of callers.
  std::uint32_t pipelinedRequests_ = 8;       ///< Simultaneous requests of a caller's connection.
  /// Maximum size of a request or answer body. A body is sent in one frame of at most 1 MiB.
  std::size_t maxBodyBytes_ = std::size_t{ 768 } * 1024;
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  /// Memory of the host that the process may use, in MiB. The messages of all its connections
  /// together get kMessageMemoryFraction of it. The default is that of the smallest hosts.
  std::uint32_t hostMemoryMb_ = 160;
  Duration readTimeout_ = seconds(5);   ///< Time within which a whole request must arrive.
  Duration drainTimeout_ = seconds(30); ///< After this time a drain abandons the calls in flight.
  /// For this long after the start of a drain, new requests are still accepted, because callers may
  /// not know of the drain yet. The target is announced as draining after half of this time.
  Duration drainAcceptPeriod_{};
  Duration targetIdleTimeout_ = seconds(30); ///< Closes connections to the target unused this long.
  std::uint64_t randomSeed_ = 0; ///< Seed of all random choices; 0 takes one from the system.
  /// Runs the baseline that the product is compared with: round robin, three retries at every hop,
  /// a token bucket for each process, no load shedding.
  bool naive_ = false;
  FeatureMode evenLoad_ = FeatureMode::kStated; ///< Services whose calls are distributed by load.
  /// Scheduling of insufficient capacity. It needs a target that states the duration of its work.
  FeatureMode roomScheduling_ = FeatureMode::kStated;
  bool operator==(const NodeSettings&) const = default;
};

/// Sets how long a drain lasts and accepts requests, so that the process ends within aGrace after
/// SIGTERM and ends calls in flight only in the last sixth of that time, where it is long enough.
void SetDrainTimes(NodeSettings& aSettings, Duration aGrace);

/// Returns how many connections of callers a process with aDescriptors file descriptors accepts: at
/// most the setting, and so few that its target, its peers and the platform can still be reached.
/// Callers get half of the descriptors at least.
std::uint32_t MaxCallerConnections(const NodeSettings& aSettings, std::uint64_t aDescriptors);

/// Reads, parses and checks a settings file. Errors hold file, line, column, key and allowed range.
Result<NodeSettings> ParseNodeSettings(const std::string& aFile);

/// Parses and checks settings text. aFile only names the file in errors.
Result<NodeSettings> ParseNodeSettingsText(std::string_view aText, const std::string& aFile);

} // namespace peridotquay
