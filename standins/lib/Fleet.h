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
  bool naive_ = false; ///< Uses the naive baseline instead of the product.
  bool links_ = false; ///< Puts a link between each node and its target.
  std::uint64_t seed_ = 1;
  Duration timeout_ = seconds(40); ///< Of each condition that Start waits for.
};

/// One host: a node, its target and, with FleetSettings::links_, the link between them.
struct FleetHost
{
  std::string name_;
  std::size_t site_ = 0;    ///< Index into FleetProfile::sites_.
  std::size_t service_ = 0; ///< Index into FleetProfile::services_.
  Address callers_;         ///< Node's listener for callers.
  Address outbound_;        ///< Node's listener for calls of its own target.
  Address peers_;           ///< Node's listener for other nodes.
  Address admin_;           ///< Node's admin listener.
  Address target_;          ///< Target's listener, without the link.
  Address linkControl_;     ///< Link's listener for commands.
  FleetProcess node_;
  FleetProcess targetProcess_;
  FleetProcess link_;
  bool killed_ = false;
};

/// Result of a quayctl command.
struct CommandResult
{
  int status_ = -1;    ///< Exit status; -1 if it couldn't be started or timed out.
  std::string output_; ///< Standard output and standard error.
  double runSeconds_ = 0;
};

/// A running deployment. The destructor ends every process. It also removes the folder of the run
/// unless the environment variable QUAYLOAD_KEEP is set.
class Fleet
{
public:
  explicit Fleet(FleetSettings aSettings);
  ~Fleet();
  Fleet(const Fleet&) = delete;
  Fleet& operator=(const Fleet&) = delete;

  /// Starts all processes, applies the base configuration and waits until requests through every
  /// host succeed. Errors: kNotFound for a missing program or a process that has ended,
  /// kDeadlineExceeded for a condition that isn't met in time (named in the subject),
  /// kPlatformUnavailable if quayctl fails, and those of SetTargetFaults and FleetProcess::Start.
  Result<void> Start();

  /// Ends all processes. Nodes get SIGTERM and are killed if they still run after 10 s. Returns the
  /// number of nodes that exited with status 0; nodes that KillHost ended don't count.
  std::size_t Stop();

  const FleetSettings& Settings() const { return settings_; }
  std::vector<FleetHost>& Hosts() { return hosts_; }

  /// Kills the node and the target of a host.
  void KillHost(std::size_t aHost);
  /// Pauses or resumes the processes of the node and the target of a host.
  void SetHostPaused(std::size_t aHost, bool aPaused);
  /// Sets the faults of one target, of all targets of a service that weren't killed, of the
  /// platform, or of all links. Errors: those of FetchHttp, kOutOfRange if the faults are rejected.
  Result<void> SetTargetFaults(std::size_t aHost, const std::string& aJson);
  Result<void> SetServiceFaults(std::size_t aService, const std::string& aJson);
  Result<void> SetPlatformFaults(const std::string& aJson);
  Result<void> SetLinkFaults(const std::string& aJson);

  /// Runs quayctl with the given arguments and the platform's address, and measures its run time.
  CommandResult RunQuayctl(std::vector<std::string> aArguments, Duration aTimeout = seconds(30));

  /// Applies a base configuration with an overlay for each data centre. With aWait, waits until it
  /// is in force.
  CommandResult Apply(const std::string& aBase, bool aWait = true);

  /// Withdraws a caller's key by its digest and waits until the withdrawal is in force.
  CommandResult WithdrawKey(const std::string& aKey);

  /// Returns the merged execution logs of all targets, without those that don't answer.
  std::vector<TargetExecution> Executions() const;

  /// Returns the JSON of GET /status of a node, or an empty string if there is no answer with
  /// status 200.
  std::string Status(std::size_t aHost) const;

  /// Returns the folder with the settings and logs of this run.
  const std::string& Directory() const { return directory_; }

private:
  Result<void> StartPlatform();
  Result<void> StartTarget(FleetHost& aHost);
  Result<void> StartNode(FleetHost& aHost, const std::vector<Address>& aSeeds);
  Result<void> ReadNodeAddresses(FleetHost& aHost);
  /// Waits until two requests in a row succeed through every host.
  Result<void> AwaitServing();
  /// Waits until a process has written a JSON file and returns its text.
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
