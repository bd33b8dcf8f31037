// HTTP conventions between callers, nodes and targets: header names, statuses, and the load that a
// target states. QuayDialect is the product's own; an adapter for another platform provides another
// HttpDialect.
#pragma once

#include "peridotquay/connection/HttpMessage.h"
#include "peridotquay/connection/PeerMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace peridotquay {

/// Data of a call that a guard may pass to its target in headers.
struct TargetCall
{
  const Call& call_;
  std::string_view contextToken_;
  std::string_view targetId_; ///< Incarnation of the target that must run the call, or empty.
  std::int64_t leftMs_ = 0;   ///< Time left until the deadline, at least 1.
};

/// Load that a target states in an answer, as numbers of calls.
struct TargetLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  /// Present duration of work on the target's machine in percent of the usual one; empty if the
  /// target doesn't state it.
  std::optional<std::uint32_t> workPercent_;
  bool operator==(const TargetLoad&) const = default;
};

/// What a target states about itself in an answer.
struct TargetNotice
{
  std::optional<double> maxPerSecond_; ///< Requests a second that it takes from all hosts together.
  bool leaving_ = false;               ///< It takes no new requests and ends soon.
  std::optional<Duration> coldRemaining_{}; ///< Time for which it stays cold; empty if not stated.
  bool operator==(const TargetNotice&) const = default;
};

/// Header names, properties and stateless functions of a dialect.
struct HttpDialect
{
  std::string_view keyHeader_;      ///< Header with the caller's key.
  std::string_view keyScheme_;      ///< Prefix of the key in its header, such as "Token ".
  std::string_view deadlineHeader_; ///< Header with the time left in milliseconds.
  /// Header that targets echo, so that a late answer to another request is recognized; or empty.
  std::string_view echoHeader_;
  /// Deeper calls, which a target makes while it runs another call, arrive on a separate address,
  /// name the context of the call that they serve, and share its retry budget. Otherwise they are
  /// requests on open routes.
  bool hasContexts_ = true;
  bool issuesRequestIds_ = true; ///< Hosts issue request ids and store answers for repeats.
  bool pollsTarget_ = true;      ///< The target's health and load are polled once a second.
  /// The announced slots of the target are the concurrency limit; latency doesn't adapt it.
  bool slotsAreLimit_ = false;
  /// An answer without a length is complete when its connection closes; otherwise it is truncated.
  bool allowsCloseDelimited_ = false;
  /// Prepares the headers of a caller's request for a guard. Always removes the key.
  void (*rewriteForGuard_)(HeaderList& aHeaders, const ServiceId& aOwnService);
  /// Prepares the headers of a call for the target.
  void (*rewriteForTarget_)(HeaderList& aHeaders, const TargetCall& aCall);
  /// Prepares the headers of a target's answer for the caller.
  void (*rewriteForCaller_)(HeaderList& aHeaders);
  /// Retry hint in milliseconds, 0 for none, if the answer means that the target didn't start the
  /// call; otherwise empty.
  std::optional<std::uint32_t> (*refusal_)(const HttpResponse& aResponse);
  /// Load stated in an answer; empty if there is none.
  std::optional<TargetLoad> (*load_)(const HttpResponse& aResponse);
  /// What the headers of a target's answer state about the target; null if targets state nothing.
  TargetNotice (*notice_)(const HeaderList& aHeaders) = nullptr;
  /// Whether an answer has the headers that every such answer of a target has. One without them is
  /// damaged and must not reach the caller. Null if no headers are prescribed.
  bool (*hasTargetHeaders_)(const HttpResponse& aResponse) = nullptr;
  /// Makes an HTTP answer for a failure. aRetryAfterMs of 0 means that it has no retry hint.
  HttpResponse (*failure_)(ErrorCode aCode,
                           Outcome aOutcome,
                           std::string_view aDetail,
                           std::uint32_t aRetryAfterMs);
  /// Status 504 from a target means that the target doesn't know whether its own work ran.
  bool status504IsUnknown_ = true;
};

/// The product's own interface (docs/interface.md).
const HttpDialect& QuayDialect();

} // namespace peridotquay
