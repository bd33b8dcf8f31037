// Starts and stops a whole deployment on one machine: platform, targets and nodes.
#pragma once

#include "standins/lib/FleetHttp.h"
#include "standins/lib/FleetProcess.h"
#include "standins/lib/FleetProfile.h"
#include "standins/lib/TargetExecution.h"

#include <cstdint>
#include <string>
#include <vector>

namespace peridotquay::standins {

struct FleetSettings
{
  std::string binaries_; ///< Folder with quayd, quayctl and the stand-ins.
  FleetProfile profile_;
  bool naive_ = false;
  bool links_ = false; ///< Puts a link between each node and its target.
  std::uint64_t seed_ = 1;
  Duration timeout_ = seconds(40); ///< For each condition that the start waits for.
};

/// One host: a node, its target and, if asked for, the link between them.
struct FleetHost
{
  std::string name_;
  std::size_t site_ = 0;
  std::size_t service_ = 0;
  Address callers_;
  Address outbound_;
  Address peers_;
  Address admin_;
  Address target_;
  Address linkControl_;
  FleetProcess node_;
  FleetProcess targetProcess_;
  FleetProcess link_;
  bool killed_ = false;
};

/// What a command of quayctl gave.
struct CommandResult
{
  int status_ = -1; ///< Exit status; -1 if it did not end in time.
  std::string output_;
  double seconds_ = 0;
};

/// A running deployment. The destructor ends every process and removes its folder, unless the
/// environment variable QUAYLOAD_KEEP is set.
class Fleet
{
public:
  explicit Fleet(FleetSettings aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts everything, applies the base configuration and waits until a whole request succeeds
  /// through every host. Errors: kNotFound for a missing program, kDeadlineExceeded for a condition
  /// that did not come true; the subject says which.
  Result<void> Start();

  /// Ends everything: nodes first by SIGTERM, then by force. Returns the number of nodes that
  /// exited with status 0 by themselves.
  std::size_t Stop();

  const FleetSettings& Settings() const { return settings_; }
  std::vector<FleetHost>& Hosts() { return hosts_; }

  /// Kills node and target of a host.
  void KillHost(std::size_t aHost);
  /// Pauses or resumes node and target of a host.
  void SetHostPaused(std::size_t aHost, bool aPaused);
  /// Sets faults of one target, of all targets of a service, of the platform, or of all links.
  Result<void> SetTargetFaults(std::size_t aHost, const std::string& aJson);
  Result<void> SetServiceFaults(std::size_t aService, const std::string& aJson);
  Result<void> SetPlatformFaults(const std::string& aJson);
  Result<void> SetLinkFaults(const std::string& aJson);

  /// Runs quayctl with the platform's address added, and measures its time.
  CommandResult RunQuayctl(std::vector<std::string> aArguments, Duration aTimeout = seconds(30));

  /// Applies a base configuration with all overlays and, if asked, waits until it is in force.
  CommandResult Apply(const std::string& aBase, bool aWait = true);

  /// Withdraws a caller's key by its digest.
  CommandResult WithdrawKey(const std::string& aKey);

  /// The logs of all targets that still run, merged.
  std::vector<TargetExecution> Executions() const;

  /// JSON of GET /status of a node; empty if it doesn't answer.
  std::string Status(std::size_t aHost) const;

  /// Folder with the settings and logs of this run.
  const std::string& Directory() const { return directory_; }

private:
  Result<void> StartPlatform();
  Result<void> StartTarget(FleetHost& aHost);
  Result<void> StartNode(FleetHost& aHost, const std::vector<Address>& aSeeds);
  Result<void> ReadNodeAddresses(FleetHost& aHost);
  Result<void> AwaitServing();
  Result<std::string> AwaitFile(const std::string& aName, FleetProcess& aProcess) const;
  std::string ProgramPath(const std::string& aName) const;
  std::string FilePath(const std::string& aName) const;

  FleetSettings settings_;
  std::string directory_;
  FleetProcess platform_;
  Address platformAddress_;
  std::vector<FleetHost> hosts_;
  std::uint64_t commandCount_ = 0;
};

} // namespace peridotquay::standins
