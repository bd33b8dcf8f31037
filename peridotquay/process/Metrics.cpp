// Metrics on Boost.Accumulators.
#include "peridotquay/process/Metrics.h"

#include <boost/accumulators/accumulators.hpp>
#include <boost/accumulators/statistics/count.hpp>
#include <boost/accumulators/statistics/extended_p_square.hpp>
#include <boost/accumulators/statistics/max.hpp>
#include <boost/accumulators/statistics/mean.hpp>
#include <boost/accumulators/statistics/stats.hpp>

#include <array>
#include <cmath>
#include <cstddef>
#include <cstdio>

namespace peridotquay {

namespace {

namespace ba = boost::accumulators;

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

void Metrics::Note(Timing aTiming, Duration aDuration)
{
  state_->timings_.at(static_cast<std::size_t>(aTiming))(ToSeconds(aDuration) * 1000);
}

std::string Metrics::Text(const std::vector<std::pair<std::string_view, double>>& aGauges) const
{
  std::string text;
  for (std::size_t i = 0; i < kCounters; ++i) {
    text += "quay_" + std::string(kCounterNames.at(i)) + "_total " +
            std::to_string(state_->counters_.at(i)) + "\n";
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
