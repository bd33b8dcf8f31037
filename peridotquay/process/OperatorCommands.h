// Commands of quayctl, apart from the command line itself.
#pragma once

#include "peridotquay/process/ConfigStore.h"
#include "peridotquay/process/OperatorReport.h"
#include "peridotquay/process/Platform.h"
#include "peridotquay/version/ConfigParser.h"

#include <cstdint>
#include <optional>
#include <string>

namespace peridotquay {

/// What all commands that write have in common.
struct WriteOptions
{
  std::string operator_; ///< Name in the audit trail.
  std::string summary_;
  /// Version that the change was written for; empty takes the latest.
  std::optional<Version> expectedVersion_;
  bool waitUntilInForce_ = false; ///< Wait until the change is in force everywhere.
  Duration timeout_ = seconds(15);
  CommitSettings commit_;
};

/// Reads base.toml and all other *.toml files of a directory, as overlays, and checks them. Places
/// are returned if aPlaces isn't null.
Result<Entities> ReadConfigDirectory(const std::string& aDirectory,
                                     EntityPlaces* aPlaces = nullptr);

/// check: checks the files of a directory without a platform.
OperatorReport CheckCommand(const std::string& aDirectory);

/// diff: compares the files of a directory with the latest version.
OperatorReport DiffCommand(Platform& aPlatform, const std::string& aDirectory);

/// apply: writes the files of a directory as the next version.
OperatorReport ApplyCommand(Platform& aPlatform,
                            const std::string& aDirectory,
                            const WriteOptions& aOptions);

/// history: the latest changes up to aLimit, oldest first, or the one with an operation id.
OperatorReport HistoryCommand(Platform& aPlatform,
                              std::uint32_t aLimit,
                              const std::string& aOperationId);

/// keys grant: makes a key, writes its digest and reports the key, this once only.
OperatorReport GrantKeyCommand(Platform& aPlatform,
                               const std::string& aAccount,
                               const std::string& aLabel,
                               const WriteOptions& aOptions);

/// keys withdraw: withdraws a key by its digest or the beginning of it.
OperatorReport WithdrawKeyCommand(Platform& aPlatform,
                                  const std::string& aDigest,
                                  const WriteOptions& aOptions);

/// keys list: all keys, or those of one client account.
OperatorReport ListKeysCommand(Platform& aPlatform, const std::string& aAccount);

/// status without a node: the latest version and where it is in force.
OperatorReport FleetStatusCommand(Platform& aPlatform);

/// status, explain and drain of one node: sends a request to its admin address and reports its
/// answer. Errors: kTargetUnreachable (nothing was sent), kOutcomeUnknown (no answer),
/// kTargetRefused (another status than 200 or 202).
OperatorReport NodeCommand(const Address& aNode,
                           const std::string& aMethod,
                           const std::string& aTarget,
                           Duration aTimeout);

} // namespace peridotquay
