// Implements the metrics with Boost.Accumulators and Boost.Histogram.
#include "peridotquay/process/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>
#include <boost/histogram.hpp>

#include <algorithm>
#include <array>
#include <cmath>
#include <cstddef>
#include <cstdio>
#include <map>
#include <vector>

namespace peridotquay {

namespace {

namespace ba = boost::accumulators;
namespace bh = boost::histogram;

constexpr std::array<std::string_view, kCounterCount> kCounterNames = { "caller_requests",
                                                                        "outbound_requests",
                                                                        "owner_calls",
                                                                        "answers_ran",
                                                                        "answers_not_run",
                                                                        "answers_unknown",
                                                                        "refused_key",
                                                                        "refused_rate",
                                                                        "refused_not_fresh",
                                                                        "refused_upstream",
                                                                        "refused_region",
                                                                        "refused_draining",
                                                                        "attempts",
                                                                        "retries",
                                                                        "retries_denied",
                                                                        "guard_calls",
                                                                        "guard_refused",
                                                                        "runs_refused",
                                                                        "target_calls",
                                                                        "target_refusals",
                                                                        "target_truncated",
                                                                        "target_lost",
                                                                        "dropped_answers",
                                                                        "fates_asked",
                                                                        "request_ids_issued",
                                                                        "repeats_answered",
                                                                        "requests_abandoned",
                                                                        "requests_unanswered",
                                                                        "answers_cut",
                                                                        "requests_not_begun",
                                                                        "load_reports",
                                                                        "attempts_by_load",
                                                                        "attempts_by_load_far",
                                                                        "returning_requests",
                                                                        "refused_for_returns" };

constexpr std::array<std::string_view, kStageCount> kStageNames = { "caller", "target", "queue" };

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.9, 0.99 };

using DurationStatistics = ba::accumulator_set<
  double,
  ba::stats<ba::tag::count, ba::tag::mean, ba::tag::max, ba::tag::extended_p_square>>;

/// Upper bounds of the histogram buckets in seconds. They range from less than the latency that two
/// hosts add to a call up to the longest deadlines of routes.
const std::vector<double> kBucketBounds = { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                            0.1,    0.25,  0.5,    1,     2.5,  5,     10 };

/// Histogram and sum of the durations of one stage or route.
struct DurationHistogram
{
  using Axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
  using BucketCounts = decltype(bh::make_histogram(Axis(std::vector<double>{ 0, 1 })));

  static Axis BucketEdges()
  {
    std::vector<double> edges = { 0 };
    edges.insert(edges.end(), kBucketBounds.begin(), kBucketBounds.end());
    return Axis(edges);
  }

  BucketCounts counts_ = bh::make_histogram(BucketEdges());
  double sum_ = 0; ///< Seconds.

  void Add(double aSeconds)
  {
    counts_(aSeconds);
    sum_ += aSeconds;
  }
};

std::string EscapeLabelValue(std::string_view aText)
{
  std::string text;
  for (const char character : aText) {
    if (character == '\n') {
      text += "\\n";
      continue;
    }
    if (character == '"' || character == '\\') {
      text += '\\';
    }
    text += character;
  }
  return text;
}

void AppendHelpAndType(std::string& aText,
                       std::string_view aName,
                       std::string_view aType,
                       std::string_view aHelp)
{
  aText.append("# HELP ").append(aName).append(" ").append(aHelp).append("\n");
  aText.append("# TYPE ").append(aName).append(" ").append(aType).append("\n");
}

/// Appends the buckets, sum and count of a histogram. aLabel is the label's name and quoted value.
void AppendHistogram(std::string& aText,
                     const std::string& aName,
                     const std::string& aLabel,
                     const DurationHistogram& aHistogram)
{
  std::uint64_t total = 0;
  std::array<char, 32> bound{};
  for (std::size_t i = 0; i <= kBucketBounds.size(); ++i) {
    total += static_cast<std::uint64_t>(aHistogram.counts_.at(static_cast<int>(i)));
    const bool last = i == kBucketBounds.size();
    std::snprintf(bound.data(), bound.size(), "%g", last ? 0 : kBucketBounds[i]);
    aText.append(aName).append("_bucket{").append(aLabel).append(",le=\"");
    aText.append(last ? "+Inf" : bound.data()).append("\"} ");
    aText.append(std::to_string(total)).append("\n");
  }
  std::snprintf(bound.data(), bound.size(), "%.6g", aHistogram.sum_);
  aText.append(aName).append("_sum{").append(aLabel).append("} ").append(bound.data()).append("\n");
  aText.append(aName).append("_count{").append(aLabel).append("} ");
  aText.append(std::to_string(total)).append("\n");
}

void AppendSample(std::string& aText, const std::string& aName, double aValue)
{
  std::array<char, 64> number{};
  std::snprintf(number.data(), number.size(), "%.6g", aValue);
  aText += "quay_" + aName + " " + number.data() + "\n";
}

} // namespace

struct Metrics::State
{
  std::array<std::uint64_t, kCounterCount> counters_{};
  std::array<DurationStatistics, kStageCount> stageStatistics_ = {
    DurationStatistics(ba::extended_p_square_probabilities = kQuantiles),
    DurationStatistics(ba::extended_p_square_probabilities = kQuantiles),
    DurationStatistics(ba::extended_p_square_probabilities = kQuantiles)
  };
  std::array<DurationHistogram, kStageCount> stageHistograms_;
  std::map<std::string, DurationHistogram, std::less<>>
    routeHistograms_; ///< At most kMaxRouteHistograms and "other".
};

Metrics::Metrics()
  : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::Add(Counter aCounter, std::uint64_t aCount)
{
  state_->counters_.at(static_cast<std::size_t>(aCounter)) += aCount;
}

std::uint64_t Metrics::Count(Counter aCounter) const
{
  return state_->counters_.at(static_cast<std::size_t>(aCounter));
}

void Metrics::RecordTime(Stage aStage, Duration aDuration)
{
  const auto stage = static_cast<std::size_t>(aStage);
  state_->stageStatistics_.at(stage)(ToSeconds(aDuration) * 1000);
  state_->stageHistograms_.at(stage).Add(std::max(0.0, ToSeconds(aDuration)));
}

void Metrics::RecordRouteTime(std::string_view aRoute, Duration aDuration)
{
  auto& routes = state_->routeHistograms_;
  auto entry = routes.find(aRoute);
  if (entry == routes.end()) {
    entry =
      routes.try_emplace(routes.size() < kMaxRouteHistograms ? std::string(aRoute) : "other").first;
  }
  entry->second.Add(std::max(0.0, ToSeconds(aDuration)));
}

std::string Metrics::Text(const std::vector<std::pair<std::string_view, double>>& aGauges) const
{
  std::string text;
  for (std::size_t i = 0; i < kCounterCount; ++i) {
    const std::string name = "quay_" + std::string(kCounterNames.at(i)) + "_total";
    AppendHelpAndType(text, name, "counter", "Since the start of the process.");
    text += name + " " + std::to_string(state_->counters_.at(i)) + "\n";
  }
  AppendHelpAndType(text, "quay_stage_seconds", "histogram", "Time of requests in each stage.");
  for (std::size_t i = 0; i < kStageCount; ++i) {
    AppendHistogram(text,
                    "quay_stage_seconds",
                    "stage=\"" + std::string(kStageNames.at(i)) + "\"",
                    state_->stageHistograms_.at(i));
  }
  AppendHelpAndType(text, "quay_route_seconds", "histogram", "Time of callers' requests by route.");
  for (const auto& [route, histogram] : state_->routeHistograms_) {
    AppendHistogram(
      text, "quay_route_seconds", "route=\"" + EscapeLabelValue(route) + "\"", histogram);
  }
  for (std::size_t i = 0; i < kStageCount; ++i) {
    const DurationStatistics& statistics = state_->stageStatistics_.at(i);
    const std::string name = std::string(kStageNames.at(i)) + "_ms";
    const std::size_t count = ba::count(statistics);
    text += "quay_" + name + "_count " + std::to_string(count) + "\n";
    AppendSample(text, name + "_mean", count == 0 ? 0 : ba::mean(statistics));
    AppendSample(text, name + "_max", count == 0 ? 0 : ba::max(statistics));
    // The P-square estimator needs 2 * quantiles + 3 samples before its estimates are valid.
    const bool estimated = count >= 2 * kQuantiles.size() + 3;
    for (std::size_t q = 0; q < kQuantiles.size(); ++q) {
      const auto percent = std::lround(kQuantiles.at(q) * 100);
      AppendSample(text,
                   name + "_p" + std::to_string(percent),
                   estimated ? ba::extended_p_square(statistics)[static_cast<std::ptrdiff_t>(q)]
                             : 0);
    }
  }
  for (const auto& [name, value] : aGauges) {
    AppendSample(text, std::string(name), value);
  }
  return text;
}

} // namespace peridotquay
