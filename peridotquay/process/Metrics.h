// Counters and latency histograms of one node, written in the text exposition format for the admin
// front.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace peridotquay {

/// What is counted since the start of the process.
enum class Counter : std::uint8_t
{
  kCallerRequests,
  kOutboundRequests,
  kOwnerCalls,
  kAnswersRan,
  kAnswersNotRun,
  kAnswersUnknown,
  kRefusedKey,
  kRefusedRate,
  kRefusedStaleConfig,
  kRefusedUpstream, ///< Refused near the caller because of a guard's admission level.
  kRefusedDraining,
  kAttempts,
  kRetries,
  kRetriesDenied, ///< Wanted, but the budget or the route's ratio was spent.
  kGuardCalls,
  kGuardRefused,
  kTargetCalls,
  kTargetRefusals,
  kTargetAnswersTruncated,
  kTargetAnswersLost,
  kDroppedAnswers,
  kFateQueries,
  kRequestIdsIssued,
  kDuplicatesAnswered
};

inline constexpr std::size_t kCounters = 24;

/// What is timed.
enum class Stage : std::uint8_t
{
  kCaller, ///< A caller's request from its last byte to its answer.
  kTarget, ///< A request at the local target.
  kQueue   ///< Waiting for admission.
};

inline constexpr std::size_t kTimings = 3;

/// Routes with a histogram of their own; bounds the text that each scrape transfers.
inline constexpr std::size_t kMaxRoutes = 48;

/// Used on the socket thread only.
class Metrics
{
public:
  Metrics();
  Metrics(const Metrics&) = delete;
  Metrics& operator=(const Metrics&) = delete;
  ~Metrics();

  void Add(Counter aCounter, std::uint64_t aCount = 1);
  std::uint64_t Get(Counter aCounter) const;
  void RecordTime(Stage aTiming, Duration aDuration);
  /// Notes a caller's request by its route. Beyond kMaxRoutes, routes are counted as "other".
  void RecordRouteTime(std::string_view aRoute, Duration aDuration);
  /// Counters, histograms by stage and by route (seconds), quantiles by stage (milliseconds) and
  /// gauges.
  std::string Text(const std::vector<std::pair<std::string_view, double>>& aGauges) const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
