// Commands of quayctl. Parsing of the command line is in programs/quayctl.cpp.
#pragma once

#include "peridotquay/process/ConfigStore.h"
#include "peridotquay/process/OperatorReport.h"
#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigParser.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotquay {

/// Options of all commands that write a change.
struct WriteOptions
{
  std::string operator_; ///< Operator's name in the history of changes.
  std::string summary_;  ///< Description of the change in the history.
  /// The command fails with kVersionConflict if this isn't the latest version. Empty accepts any.
  std::optional<Version> expectedVersion_;
  bool waitUntilInForce_ = false;  ///< Wait until the change is in force everywhere.
  Duration timeout_ = seconds(15); ///< Limit of that wait.
  CommitSettings commit_;
};

/// Reads and checks the configuration in a directory: base.toml, and all other *.toml files as
/// overlays. If aLocations isn't null, it receives the source location of each entity.
Result<Entities> ReadConfigDirectory(const std::string& aDirectory,
                                     EntityLocations* aLocations = nullptr);

/// "check": checks the files of a directory without the platform.
OperatorReport CheckCommand(const std::string& aDirectory);

/// "diff": compares the files of a directory with the latest version.
OperatorReport DiffCommand(Platform& aPlatform, const std::string& aDirectory);

/// "apply": writes the files of a directory as the next version.
OperatorReport ApplyCommand(Platform& aPlatform,
                            const std::string& aDirectory,
                            const WriteOptions& aOptions);

/// "history": reports the latest changes, at most aLimit, oldest first. If aOperationId isn't
/// empty, reports only the one of them with that id.
OperatorReport HistoryCommand(Platform& aPlatform,
                              std::uint32_t aLimit,
                              const std::string& aOperationId);

/// "keys grant": creates a key, writes its digest and reports the key, which isn't stored.
OperatorReport GrantKeyCommand(Platform& aPlatform,
                               const std::string& aAccount,
                               const std::string& aLabel,
                               const WriteOptions& aOptions);

/// "keys withdraw": withdraws a key, given by its digest or the beginning of it.
OperatorReport WithdrawKeyCommand(Platform& aPlatform,
                                  const std::string& aDigest,
                                  const WriteOptions& aOptions);

/// "keys list": lists all keys, or those of aAccount if it isn't empty.
OperatorReport ListKeysCommand(Platform& aPlatform, const std::string& aAccount);

/// "status" without a node: reports the latest version and where it is in force.
OperatorReport FleetStatusCommand(Platform& aPlatform);

/// "status", "explain" and "drain" of one node: sends a request to its admin address and reports
/// the answer. Errors: kTargetUnreachable (nothing was sent), kOutcomeUnknown (no answer),
/// kTargetRefused (a status other than 200 or 202).
OperatorReport NodeCommand(const Address& aNode,
                           const std::string& aMethod,
                           const std::string& aTarget,
                           Duration aTimeout);

} // namespace peridotquay
