// Error reports and exit codes of quayctl.
#include "peridotquay/process/OperatorReport.h"

namespace peridotquay {

int ExitCode(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kFileUnreadable:
      return 10;
    case ErrorCode::kSyntax:
      return 11;
    case ErrorCode::kUnknownSetting:
      return 12;
    case ErrorCode::kWrongType:
      return 13;
    case ErrorCode::kOutOfRange:
      return 14;
    case ErrorCode::kMissingSetting:
      return 15;
    case ErrorCode::kContradiction:
      return 16;
    case ErrorCode::kUnknownReference:
      return 17;
    case ErrorCode::kUnknownSite:
      return 18;
    case ErrorCode::kOverlayWidens:
      return 19;
    case ErrorCode::kChangeTooLarge:
      return 20;
    case ErrorCode::kVersionConflict:
      return 21;
    case ErrorCode::kPlatformUnavailable:
      return 22;
    case ErrorCode::kPlatformUnknown:
      return 23;
    case ErrorCode::kPlatformMalformed:
      return 24;
    case ErrorCode::kPlatformConflict:
      return 25;
    case ErrorCode::kNotFound:
      return 26;
    case ErrorCode::kTargetUnreachable:
      return 27;
    case ErrorCode::kTargetRefused:
      return 28;
    case ErrorCode::kOutcomeUnknown:
      return 29;
    default:
      return 2;
  }
}

OperatorReport ReportError(const Error& aError)
{
  OperatorReport report;
  report.exitCode_ = ExitCode(aError.code_);
  nlohmann::json error = { { "type", ErrorName(aError.code_) },
                           { "subject", aError.subject_ },
                           { "allowed", aError.allowed_ } };
  if (!aError.location_.file_.empty()) {
    error["file"] = aError.location_.file_;
    error["line"] = aError.location_.line_;
    error["column"] = aError.location_.column_;
  }
  report.json_ = { { "error", std::move(error) } };
  report.text_ = "error: " + Describe(aError) + "\n";
  return report;
}

} // namespace peridotquay
