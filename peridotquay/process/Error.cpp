// Names and text of errors.
#include "peridotquay/process/Error.h"

namespace peridotquay {

std::string_view ErrorName(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kMalformedRequest:
      return "malformed-request";
    case ErrorCode::kConflictingHeaders:
      return "conflicting-headers";
    case ErrorCode::kRequestTooLarge:
      return "request-too-large";
    case ErrorCode::kHeadersTooLarge:
      return "headers-too-large";
    case ErrorCode::kRequestTooSlow:
      return "request-too-slow";
    case ErrorCode::kMissingKey:
      return "missing-key";
    case ErrorCode::kUnknownKey:
      return "unknown-key";
    case ErrorCode::kWithdrawnKey:
      return "withdrawn-key";
    case ErrorCode::kRouteNotAllowed:
      return "route-not-allowed";
    case ErrorCode::kNoRoute:
      return "no-route";
    case ErrorCode::kOverRate:
      return "over-rate";
    case ErrorCode::kShed:
      return "shed";
    case ErrorCode::kNoTarget:
      return "no-target";
    case ErrorCode::kDeadlineExceeded:
      return "deadline-exceeded";
    case ErrorCode::kConfigurationNotFresh:
      return "configuration-not-fresh";
    case ErrorCode::kDraining:
      return "draining";
    case ErrorCode::kBadRequestId:
      return "bad-request-id";
    case ErrorCode::kRequestIdExpired:
      return "request-id-expired";
    case ErrorCode::kDepthExceeded:
      return "depth-exceeded";
    case ErrorCode::kMissingContext:
      return "missing-context";
    case ErrorCode::kOutcomeUnknown:
      return "outcome-unknown";
    case ErrorCode::kTruncatedAnswer:
      return "truncated-answer";
    case ErrorCode::kTargetUnreachable:
      return "target-unreachable";
    case ErrorCode::kTargetRefused:
      return "target-refused";
    case ErrorCode::kCancelled:
      return "cancelled";
    case ErrorCode::kFrameTooLarge:
      return "frame-too-large";
    case ErrorCode::kFrameMalformed:
      return "frame-malformed";
    case ErrorCode::kFrameNesting:
      return "frame-nesting";
    case ErrorCode::kProtocolVersion:
      return "protocol-version";
    case ErrorCode::kFileUnreadable:
      return "file-unreadable";
    case ErrorCode::kSyntax:
      return "syntax";
    case ErrorCode::kUnknownSetting:
      return "unknown-setting";
    case ErrorCode::kWrongType:
      return "wrong-type";
    case ErrorCode::kOutOfRange:
      return "out-of-range";
    case ErrorCode::kMissingSetting:
      return "missing-setting";
    case ErrorCode::kContradiction:
      return "contradiction";
    case ErrorCode::kUnknownReference:
      return "unknown-reference";
    case ErrorCode::kUnknownSite:
      return "unknown-site";
    case ErrorCode::kOverlayWidens:
      return "overlay-widens";
    case ErrorCode::kChangeTooLarge:
      return "change-too-large";
    case ErrorCode::kVersionConflict:
      return "version-conflict";
    case ErrorCode::kPlatformUnavailable:
      return "platform-unavailable";
    case ErrorCode::kPlatformConflict:
      return "platform-conflict";
    case ErrorCode::kPlatformUnknown:
      return "platform-unknown";
    case ErrorCode::kPlatformMalformed:
      return "platform-malformed";
    case ErrorCode::kAddressInUse:
      return "address-in-use";
    case ErrorCode::kLimitReached:
      return "limit-reached";
    case ErrorCode::kNotFound:
      return "not-found";
  }
  return "unnamed-error";
}

std::string Describe(const Error& aError)
{
  std::string text;
  if (!aError.location_.file_.empty()) {
    text += aError.location_.file_ + ":" + std::to_string(aError.location_.line_) + ":" +
            std::to_string(aError.location_.column_) + ": ";
  }
  text += ErrorName(aError.code_);
  if (!aError.subject_.empty()) {
    text += ": " + aError.subject_;
  }
  if (!aError.allowed_.empty()) {
    text += " (" + aError.allowed_ + ")";
  }
  return text;
}

} // namespace peridotquay
