// How callers, targets and this node speak HTTP: header names, statuses and what a target
// announces. The node's own dialect is QuayDialect; an adapter for another platform provides its
// own value.
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

/// What a guard may tell its target with a call.
struct TargetCall
{
  const Call& call_;
  std::string_view contextToken_;
  std::string_view targetId_; ///< Incarnation of the target that the call is meant for, or empty.
  std::int64_t leftMs_ = 0;   ///< Time left, at least 1.
};

/// Load that a target states in an answer.
struct TargetLoad
{
  std::uint32_t running_ = 0;
  std::uint32_t waiting_ = 0;
  std::uint32_t slots_ = 0;
  bool operator==(const TargetLoad&) const = default;
};

/// A plain table of names and functions. None of the functions keeps state.
struct HttpDialect
{
  std::string_view keyHeader_;
  std::string_view keyScheme_; ///< Text before the key in its header.
  std::string_view deadlineHeader_;
  /// Header that targets echo, by which a late answer to another request is told apart; or empty.
  std::string_view echoHeader_;
  /// Deeper calls come with the context of the call that they serve, on an address of their own,
  /// and lend their retries from it. Otherwise they are requests on open routes.
  bool hasContexts_ = true;
  bool issuesRequestIds_ = true; ///< Hosts issue request ids and keep the answers for repeats.
  bool pollsTarget_ = true;      ///< The target's health and load are asked for once a second.
  /// The slots that the target announces are the limit; latency doesn't adapt it.
  bool slotsAreLimit_ = false;
  /// An answer without a length ends with its connection; otherwise it counts as truncated.
  bool endsByClose_ = false;
  /// Makes the headers of a caller's request fit to be sent to a guard. Never leaves a key in them.
  void (*rewriteForGuard_)(HeaderList& aHeaders, const ServiceId& aOwnService);
  /// Completes the headers of a call for the target.
  void (*rewriteForTarget_)(HeaderList& aHeaders, const TargetCall& aCall);
  /// Makes the headers of a target's answer fit for the caller.
  void (*rewriteForCaller_)(HeaderList& aHeaders);
  /// If the answer says that the target didn't start the call: its hint in milliseconds, 0 for
  /// none.
  std::optional<std::uint32_t> (*refusal_)(const HttpResponse& aResponse);
  std::optional<TargetLoad> (*load_)(const HttpResponse& aResponse);
  /// The node's own answer; a hint of 0 ms gives none.
  HttpResponse (*failure_)(ErrorCode aCode,
                           Outcome aOutcome,
                           std::string_view aDetail,
                           std::uint32_t aRetryAfterMs);
  /// Whether the status is the target's word that it doesn't know whether its own work ran.
  bool status504IsUnknown_ = true;
};

/// The product's own interface (docs/interface.md).
const HttpDialect& QuayDialect();

} // namespace peridotquay
