// What a command of quayctl reports, and its exit codes.
#pragma once

#include "peridotquay/process/Error.h"

#include <nlohmann/json.hpp>

#include <string>

namespace peridotquay {

// Exit codes beside those of errors; docs/OPERATIONS.md lists all.
inline constexpr int kExitUsage = 1;      ///< Wrong command line.
inline constexpr int kExitNotInForce = 3; ///< Written, but not in force everywhere in time.

/// Exit code of a failure; distinct for each code that a command can end with.
int ExitCode(ErrorCode aCode);

/// Result of one command.
struct OperatorReport
{
  int exitCode_ = 0;
  nlohmann::json json_ = nlohmann::json::object(); ///< Printed with --json.
  std::string text_;                               ///< Printed without; lines end in '\n'.
};

/// Report of a command that failed.
OperatorReport ReportError(const Error& aError);

} // namespace peridotquay
