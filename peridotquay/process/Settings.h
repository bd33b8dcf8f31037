// Settings of a node, read from a TOML file.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotquay {

/// Settings of one quayd process. Compared and checked as a whole; nothing is read from the
/// environment.
struct NodeSettings
{
  HostId host_;
  DataCentreId dataCentre_;
  RegionId region_;
  ServiceId service_;
  Address callers_{ "127.0.0.1", 0 };  ///< HTTP for callers of the data centre.
  Address outbound_{ "127.0.0.1", 0 }; ///< HTTP for the local target's deeper calls.
  Address peers_{ "127.0.0.1", 0 };    ///< TCP for frames and UDP for probes.
  Address admin_{ "127.0.0.1", 0 };    ///< HTTP for status, metrics and drain.
  Address target_{ "127.0.0.1", 0 };   ///< The local target's HTTP address.
  std::vector<Address> seeds_;         ///< Peer addresses of other hosts, tried at start.
  std::vector<Address> platform_;      ///< Platform HTTP addresses.
  std::string portFile_; ///< If set, the bound ports are written there as JSON once all are open.
  std::string logDirectory_;                 ///< Empty logs to standard error.
  std::uint32_t maxTargetConnections_ = 400; ///< Most connections to the local target.
  std::uint32_t callerConnections_ = 4096;   ///< Most open connections of callers.
  std::size_t maxBodyBytes_ =
    std::size_t{ 768 } * 1024; ///< Largest request or answer body; a frame holds at most 1 MiB.
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  Duration readTimeout_ = seconds(5); ///< A request must arrive whole within this.
  Duration drainTimeout_ = seconds(30);
  /// After SIGTERM new requests are still taken so long, for callers that haven't noticed yet.
  Duration acceptWhileDraining_{};
  Duration targetIdleTimeout_ = seconds(30); ///< Unused connections to the target are closed then.
  std::uint64_t randomSeed_ = 0; ///< Seed of all random choices; 0 takes one from the system.
  bool naive_ = false; ///< Baseline: round robin, three retries at every hop, a token bucket for
                       ///< each process, no shedding.
  bool operator==(const NodeSettings&) const = default;
};

/// Parses and checks a settings file. Errors carry file, line, column, key and the allowed range.
Result<NodeSettings> ParseNodeSettings(const std::string& aFile);

/// Parses settings from text; aFile is used in errors only.
Result<NodeSettings> ParseNodeSettingsText(std::string_view aText, const std::string& aFile);

} // namespace peridotquay
