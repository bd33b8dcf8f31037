// Typed errors: an ErrorCode and details of the subject and location.
#pragma once

#include <boost/outcome/result.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace peridotquay {

/// Kinds of failure. Their names (ErrorName) are stable: they appear in HTTP error bodies, logs and
/// the JSON of the command line.
enum class ErrorCode : std::uint16_t
{
  // Callers' requests.
  kMalformedRequest = 1,
  kConflictingHeaders,
  kRequestTooLarge,
  kHeadersTooLarge,
  kRequestTooSlow,
  kMissingKey,
  kUnknownKey,
  kWithdrawnKey,
  kRouteNotAllowed,
  kNoRoute,
  kOverRate,
  kShed,
  kNoTarget,
  kDeadlineExceeded,
  kConfigurationNotFresh,
  kDraining,
  kBadRequestId,
  kRequestIdExpired,
  kDepthExceeded,
  kMissingContext,
  // Calls between nodes and targets.
  kOutcomeUnknown,
  kTruncatedAnswer,
  kTargetUnreachable,
  kTargetRefused,
  kCancelled,
  // Peer frames.
  kFrameTooLarge,
  kFrameMalformed,
  kFrameNesting,
  kProtocolVersion,
  // Settings and configuration.
  kFileUnreadable,
  kSyntax,
  kUnknownSetting,
  kWrongType,
  kOutOfRange,
  kMissingSetting,
  kContradiction,
  kUnknownReference,
  kUnknownSite,
  kOverlayWidens,
  kChangeTooLarge,
  kVersionConflict,
  // Platform.
  kPlatformUnavailable,
  kPlatformConflict,
  kPlatformUnknown,
  kPlatformMalformed,
  // Processes.
  kAddressInUse,
  kLimitReached,
  kNotFound,
};

/// Stable lower-case name of a code, for example "over-rate".
std::string_view ErrorName(ErrorCode aCode);

/// Location in a settings or configuration file. Line and column start at 1; 0 means unknown.
struct SourceLocation
{
  std::string file_;
  std::uint32_t line_ = 0;
  std::uint32_t column_ = 0;
  bool operator==(const SourceLocation&) const = default;
};

/// A failure: its code, its subject, and for settings their location and the allowed values.
struct Error
{
  ErrorCode code_ = ErrorCode::kMalformedRequest;
  /// The setting, header, host or entity concerned. Never holds a caller's key.
  std::string subject_;
  /// The allowed range or value, or the value found instead; empty if neither applies.
  std::string allowed_;
  /// Location in a file; empty for errors without one.
  SourceLocation location_;
  bool operator==(const Error&) const = default;
};

/// Human-readable line with location, name, subject and allowed values.
std::string Describe(const Error& aError);

/// A value or an Error.
template<typename T>
using Result = BOOST_OUTCOME_V2_NAMESPACE::result<T, Error>;

/// Success of a Result<void>.
inline Result<void> Success()
{
  return BOOST_OUTCOME_V2_NAMESPACE::success();
}

/// Failure with a code and a subject, convertible to any Result<T>.
inline auto Fail(ErrorCode aCode, std::string aSubject = {}, std::string aAllowed = {})
{
  return BOOST_OUTCOME_V2_NAMESPACE::failure(
    Error{ aCode, std::move(aSubject), std::move(aAllowed), {} });
}

} // namespace peridotquay
