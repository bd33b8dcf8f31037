// Tests of the metrics in the text exposition format.
#include "peridotquay/process/Metrics.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace peridotquay;

namespace {

bool HasLine(const std::string& aText, const std::string& aLine)
{
  return aText.find(aLine + "\n") != std::string::npos;
}

} // namespace

// Guards against buckets that aren't cumulative, and against durations beyond the last bound that
// aren't counted.
TEST_CASE("histogram buckets are cumulative and count every duration", "[metrics]")
{
  Metrics metrics;
  for (const int ms : { 0, 3, 4, 700, 60000 }) {
    metrics.RecordTime(Stage::kCaller, milliseconds(ms));
    metrics.RecordRouteTime("press", milliseconds(ms));
  }
  const std::string text = metrics.Text({});
  for (const std::string label : { "quay_stage_seconds_bucket{stage=\"caller\"",
                                   "quay_route_seconds_bucket{route=\"press\"" }) {
    CHECK(HasLine(text, label + ",le=\"0.0005\"} 1"));
    CHECK(HasLine(text, label + ",le=\"0.005\"} 3"));
    CHECK(HasLine(text, label + ",le=\"1\"} 4"));
    CHECK(HasLine(text, label + ",le=\"10\"} 4"));
    CHECK(HasLine(text, label + ",le=\"+Inf\"} 5"));
  }
  CHECK(HasLine(text, "quay_route_seconds_sum{route=\"press\"} 60.707"));
  CHECK(HasLine(text, "quay_route_seconds_count{route=\"press\"} 5"));
}

// Guards against lines that a parser of the exposition format rejects or misreads, such as those
// with an unescaped label value.
TEST_CASE("every line is a comment or a metric name with one value", "[metrics]")
{
  Metrics metrics;
  metrics.Add(Counter::kRetries, 3);
  metrics.RecordRouteTime("a \"quoted\"\nname\\", milliseconds(1));
  std::istringstream lines(metrics.Text({ { "limit", 4 } }));
  std::string line;
  std::size_t values = 0;
  while (std::getline(lines, line)) {
    if (line.starts_with("# ")) {
      continue;
    }
    ++values;
    const std::size_t separator = line.rfind(' ');
    REQUIRE(separator != std::string::npos);
    CHECK(line.starts_with("quay_"));
    CHECK_FALSE(line.substr(separator + 1).empty());
    CHECK(line.substr(separator + 1).find_first_not_of("0123456789.e+-") == std::string::npos);
  }
  CHECK(values > kCounterCount);
  const std::string text = metrics.Text({});
  CHECK(HasLine(text, "# TYPE quay_retries_total counter"));
  CHECK(HasLine(text, "quay_retries_total 3"));
  CHECK(text.find("route=\"a \\\"quoted\\\"\\nname\\\\\"") != std::string::npos);
}

// Guards against memory use and scrapes that grow without bound with the number of routes.
TEST_CASE("routes beyond kMaxRouteHistograms are recorded as 'other'", "[metrics]")
{
  Metrics metrics;
  for (std::size_t i = 0; i < 4 * kMaxRouteHistograms; ++i) {
    metrics.RecordRouteTime("r" + std::to_string(i), milliseconds(1));
  }
  const std::string text = metrics.Text({});
  CHECK(HasLine(
    text, "quay_route_seconds_count{route=\"other\"} " + std::to_string(3 * kMaxRouteHistograms)));
  CHECK(HasLine(text, "quay_route_seconds_count{route=\"r0\"} 1"));
  CHECK(text.find("route=\"r" + std::to_string(kMaxRouteHistograms) + "\"") == std::string::npos);
}
