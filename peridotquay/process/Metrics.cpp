// Metrics on Boost.Accumulators and Boost.Histogram.
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

constexpr std::array<std::string_view, kCounters> kCounterNames = {
  "caller_requests",   "outbound_requests", "owner_calls",        "answers_ran",
  "answers_not_run",   "answers_unknown",   "refused_key",        "refused_rate",
  "refused_not_fresh", "refused_upstream",  "refused_draining",   "attempts",
  "retries",           "retries_denied",    "guard_calls",        "guard_refused",
  "target_calls",      "target_refusals",   "target_truncated",   "target_lost",
  "dropped_answers",   "fates_asked",       "request_ids_issued", "repeats_answered"
};

constexpr std::array<std::string_view, kTimings> kTimingNames = { "caller", "target", "queue" };

constexpr std::array<double, 3> kQuantiles = { 0.5, 0.9, 0.99 };

using Statistics = ba::accumulator_set<
  double,
  ba::stats<ba::tag::count, ba::tag::mean, ba::tag::max, ba::tag::extended_p_square>>;

/// Upper bounds of the buckets in seconds: from less than the time that two hosts add up to the
/// longest deadlines of today's routes.
const std::vector<double> kBounds = { 0.0005, 0.001, 0.0025, 0.005, 0.01, 0.025, 0.05,
                                      0.1,    0.25,  0.5,    1,     2.5,  5,     10 };

/// Times of one stage or route.
struct TimeHistogram
{
  using Axis = bh::axis::variable<double, bh::use_default, bh::axis::option::overflow_t>;
  using Counts = decltype(bh::make_histogram(Axis(std::vector<double>{ 0, 1 })));

  static Axis Edges()
  {
    std::vector<double> edges = { 0 };
    edges.insert(edges.end(), kBounds.begin(), kBounds.end());
    return Axis(edges);
  }

  Counts counts_ = bh::make_histogram(Edges());
  double sum_ = 0; ///< Seconds.

  void Add(double aSeconds)
  {
    counts_(aSeconds);
    sum_ += aSeconds;
  }
};

std::string Escaped(std::string_view aText)
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

void AppendHead(std::string& aText,
                std::string_view aName,
                std::string_view aType,
                std::string_view aHelp)
{
  aText.append("# HELP ").append(aName).append(" ").append(aHelp).append("\n");
  aText.append("# TYPE ").append(aName).append(" ").append(aType).append("\n");
}

/// One histogram; aLabel is the name and the quoted value of its label.
void AppendHistogram(std::string& aText,
                     const std::string& aName,
                     const std::string& aLabel,
                     const TimeHistogram& aHistogram)
{
  std::uint64_t total = 0;
  std::array<char, 32> bound{};
  for (std::size_t i = 0; i <= kBounds.size(); ++i) {
    total += static_cast<std::uint64_t>(aHistogram.counts_.at(static_cast<int>(i)));
    const bool last = i == kBounds.size();
    std::snprintf(bound.data(), bound.size(), "%g", last ? 0 : kBounds[i]);
    aText.append(aName).append("_bucket{").append(aLabel).append(",le=\"");
    aText.append(last ? "+Inf" : bound.data()).append("\"} ");
    aText.append(std::to_string(total)).append("\n");
  }
  std::snprintf(bound.data(), bound.size(), "%.6g", aHistogram.sum_);
  aText.append(aName).append("_sum{").append(aLabel).append("} ").append(bound.data()).append("\n");
  aText.append(aName).append("_count{").append(aLabel).append("} ");
  aText.append(std::to_string(total)).append("\n");
}

void AppendLine(std::string& aText, const std::string& aName, double aValue)
{
  std::array<char, 64> number{};
  std::snprintf(number.data(), number.size(), "%.6g", aValue);
  aText += "quay_" + aName + " " + number.data() + "\n";
}

} // namespace

struct Metrics::State
{
  std::array<std::uint64_t, kCounters> counters_{};
  std::array<Statistics, kTimings> timings_ = {
    Statistics(ba::extended_p_square_probabilities = kQuantiles),
    Statistics(ba::extended_p_square_probabilities = kQuantiles),
    Statistics(ba::extended_p_square_probabilities = kQuantiles)
  };
  std::array<TimeHistogram, kTimings> stages_;
  std::map<std::string, TimeHistogram, std::less<>> routes_; ///< At most kMaxRoutes and "other".
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

std::uint64_t Metrics::Get(Counter aCounter) const
{
  return state_->counters_.at(static_cast<std::size_t>(aCounter));
}

void Metrics::RecordTime(Stage aTiming, Duration aDuration)
{
  const auto stage = static_cast<std::size_t>(aTiming);
  state_->timings_.at(stage)(ToSeconds(aDuration) * 1000);
  state_->stages_.at(stage).Add(std::max(0.0, ToSeconds(aDuration)));
}

void Metrics::RecordRouteTime(std::string_view aRoute, Duration aDuration)
{
  auto& routes = state_->routes_;
  auto entry = routes.find(aRoute);
  if (entry == routes.end()) {
    entry = routes.try_emplace(routes.size() < kMaxRoutes ? std::string(aRoute) : "other").first;
  }
  entry->second.Add(std::max(0.0, ToSeconds(aDuration)));
}

std::string Metrics::Text(const std::vector<std::pair<std::string_view, double>>& aGauges) const
{
  std::string text;
  for (std::size_t i = 0; i < kCounters; ++i) {
    const std::string name = "quay_" + std::string(kCounterNames.at(i)) + "_total";
    AppendHead(text, name, "counter", "Since the start of the process.");
    text += name + " " + std::to_string(state_->counters_.at(i)) + "\n";
  }
  AppendHead(text, "quay_stage_seconds", "histogram", "Time of requests in each stage.");
  for (std::size_t i = 0; i < kTimings; ++i) {
    AppendHistogram(text,
                    "quay_stage_seconds",
                    "stage=\"" + std::string(kTimingNames.at(i)) + "\"",
                    state_->stages_.at(i));
  }
  AppendHead(text, "quay_route_seconds", "histogram", "Time of callers' requests by route.");
  for (const auto& [route, histogram] : state_->routes_) {
    AppendHistogram(text, "quay_route_seconds", "route=\"" + Escaped(route) + "\"", histogram);
  }
  for (std::size_t i = 0; i < kTimings; ++i) {
    const Statistics& statistics = state_->timings_.at(i);
    const std::string name = std::string(kTimingNames.at(i)) + "_ms";
    const std::size_t count = ba::count(statistics);
    text += "quay_" + name + "_count " + std::to_string(count) + "\n";
    AppendLine(text, name + "_mean", count == 0 ? 0 : ba::mean(statistics));
    AppendLine(text, name + "_max", count == 0 ? 0 : ba::max(statistics));
    // The estimator starts from its first five markers.
    const bool estimated = count >= 2 * kQuantiles.size() + 3;
    for (std::size_t q = 0; q < kQuantiles.size(); ++q) {
      const auto percent = std::lround(kQuantiles.at(q) * 100);
      AppendLine(text,
                 name + "_p" + std::to_string(percent),
                 estimated ? ba::extended_p_square(statistics)[static_cast<std::ptrdiff_t>(q)] : 0);
    }
  }
  for (const auto& [name, value] : aGauges) {
    AppendLine(text, std::string(name), value);
  }
  return text;
}

} // namespace peridotquay
