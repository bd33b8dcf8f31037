// Result of a quayctl command and its exit code.
#pragma once

#include "peridotquay/process/Error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace peridotquay {

// Exit codes besides 0 and those of ExitCode; docs/OPERATIONS.md lists all.
inline constexpr int kExitUsage = 1;      ///< Wrong command line.
inline constexpr int kExitNotInForce = 3; ///< Written, but not known to be in force everywhere.

/// Exit code for an error. Each error that a command is expected to return has its own; others
/// give 2.
int ExitCode(ErrorCode aCode);

/// Result of one command.
struct OperatorReport
{
  int exitCode_ = 0;
  nlohmann::json json_ = nlohmann::json::object(); ///< Output with --json.
  std::string text_;                               ///< Output without --json; lines end in '\n'.
};

/// Returns the report of a command that failed.
OperatorReport ReportError(const Error& aError);

} // namespace peridotquay
