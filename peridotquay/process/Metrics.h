// Counters and latency histograms of one node, and their text in the Prometheus exposition format
// for the admin endpoint.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotquay {

/// Events counted since the start of the process. The order is that of the names in Metrics.cpp.
enum class Counter : std::uint8_t
{
  kCallerRequests,     ///< Requests received from callers of the data centre.
  kOutboundRequests,   ///< Requests received from the local target.
  kOwnerCalls,         ///< Calls received because this host owns their request id.
  kAnswersRan,         ///< Requests answered with the outcome "ran".
  kAnswersNotRun,      ///< Requests answered with the outcome "not run".
  kAnswersUnknown,     ///< Requests answered with an unknown outcome.
  kRefusedKey,         ///< Requests refused because of their key, route or headers.
  kRefusedRate,        ///< Requests refused because the client account is over its rate.
  kRefusedStaleConfig, ///< Requests refused because the configuration isn't known to be fresh.
  kRefusedUpstream,    ///< Calls refused without an attempt, because of guards' admission levels.
  kRefusedRegion,      ///< Requests refused because allowed regions or evacuations leave no target.
  kRefusedDraining,    ///< Requests refused because this node drains.
  kAttempts,           ///< Attempts sent to guards, retries included.
  kRetries,            ///< Attempts after the first of a call.
  kRetriesDenied,      ///< Retries not made, because a retry budget or ratio was used up.
  kGuardCalls,         ///< Calls that reached the local guard.
  kGuardRefused,       ///< Calls that the local guard refused.
  kRunsRefused,        ///< Of these, requests that would fail in a deeper call.
  kTargetCalls,        ///< Calls sent to the local target.
  kTargetRefusals,     ///< Calls that the local target refused by itself.
  kTargetAnswersTruncated, ///< Answers of the local target that ended too early.
  kTargetAnswersLost,      ///< Calls sent to the local target without an answer.
  kDroppedAnswers,         ///< Answers of peers that no call waits for on their connection.
  kCallStatusQueries,      ///< Queries to peers about the status of lost calls.
  kRequestIdsIssued,       ///< Request ids given to callers.
  kDuplicatesAnswered,     ///< Repeated requests that got the answer of the first one.
  kRequestsAbandoned,      ///< Requests whose caller ended the connection before the whole answer.
  kRequestsUnanswered, ///< Requests whose connection this process ended before the whole answer.
  kAnswersCut,         ///< Of these two, those of which a part of the answer was sent.
  kRequestsNotBegun,   ///< Connections closed by an answer while a request waited behind it.
  kLoadReports,        ///< Loads of other hosts' targets received in rate reports.
  kAttemptsByLoad,     ///< Attempts whose target was chosen by the reported loads.
  kAttemptsByLoadFar,  ///< Of these, attempts to another data centre.
  kReturningRequests,  ///< Requests whose callers came back after a refusal.
  kRefusedForReturns   ///< New requests that the guard refused while returns were due.
};

inline constexpr std::size_t kCounterCount = 35;

/// Stages of a request whose durations are recorded.
enum class Stage : std::uint8_t
{
  kCaller, ///< From the last byte of a caller's request to its answer.
  kTarget, ///< A request at the local target.
  kQueue   ///< The wait for admission by the guard.
};

inline constexpr std::size_t kStageCount = 3;

/// Number of routes that have their own histogram. It limits the size of a scrape.
inline constexpr std::size_t kMaxRouteHistograms = 48;

/// The metrics of one node. Not thread-safe; used on the socket thread only.
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  void Add(Counter aCounter, std::uint64_t aCount = 1);
  std::uint64_t Count(Counter aCounter) const;
  /// Records the duration of one request in a stage.
  void RecordTime(Stage aStage, Duration aDuration);
  /// Records the duration of a caller's request by its route. Routes beyond kMaxRouteHistograms are
  /// recorded as "other".
  void RecordRouteTime(std::string_view aRoute, Duration aDuration);
  /// Returns all metrics in the text exposition format: counters, histograms by stage and by route
  /// in seconds, quantiles by stage in milliseconds, and the given gauges.
  std::string Text(const std::vector<std::pair<std::string_view, double>>& aGauges) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
