// Tests of the text of the metrics.
#include "peridotquay/process/Metrics.h"

#include <catch2/catch.hpp>

#include <sstream>

using namespace peridotquay;

namespace {

bool Has(const std::string& aText, const std::string& aLine)
{
  return aText.find(aLine + "\n") != std::string::npos;
}

} // namespace

// Guards against buckets that aren't cumulative or lose times beyond the last bound.
TEST_CASE("histograms are cumulative and count every time", "[metrics]")
{
  Metrics metrics;
  for (const int ms : { 0, 3, 4, 700, 60000 }) {
    metrics.RecordTime(Stage::kCaller, milliseconds(ms));
    metrics.RecordRouteTime("press", milliseconds(ms));
  }
  const std::string text = metrics.Text({});
  for (const std::string label : { "quay_stage_seconds_bucket{stage=\"caller\"",
                                   "quay_route_seconds_bucket{route=\"press\"" }) {
    CHECK(Has(text, label + ",le=\"0.0005\"} 1"));
    CHECK(Has(text, label + ",le=\"0.005\"} 3"));
    CHECK(Has(text, label + ",le=\"1\"} 4"));
    CHECK(Has(text, label + ",le=\"10\"} 4"));
    CHECK(Has(text, label + ",le=\"+Inf\"} 5"));
  }
  CHECK(Has(text, "quay_route_seconds_sum{route=\"press\"} 60.707"));
  CHECK(Has(text, "quay_route_seconds_count{route=\"press\"} 5"));
}

// Guards against text that a parser of the format rejects or takes for another metric.
TEST_CASE("every line is a comment or a name with one value", "[metrics]")
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
    const std::size_t place = line.rfind(' ');
    REQUIRE(place != std::string::npos);
    CHECK(line.starts_with("quay_"));
    CHECK_FALSE(line.substr(place + 1).empty());
    CHECK(line.substr(place + 1).find_first_not_of("0123456789.e+-") == std::string::npos);
  }
  CHECK(values > kCounters);
  const std::string text = metrics.Text({});
  CHECK(Has(text, "# TYPE quay_retries_total counter"));
  CHECK(Has(text, "quay_retries_total 3"));
  CHECK(text.find("route=\"a \\\"quoted\\\"\\nname\\\\\"") != std::string::npos);
}

// Guards against memory and scrapes that grow with the routes of a configuration.
TEST_CASE("routes beyond the bound are counted together", "[metrics]")
{
  Metrics metrics;
  for (std::size_t i = 0; i < 4 * kMaxRoutes; ++i) {
    metrics.RecordRouteTime("r" + std::to_string(i), milliseconds(1));
  }
  const std::string text = metrics.Text({});
  CHECK(Has(text, "quay_route_seconds_count{route=\"other\"} " + std::to_string(3 * kMaxRoutes)));
  CHECK(Has(text, "quay_route_seconds_count{route=\"r0\"} 1"));
  CHECK(text.find("route=\"r" + std::to_string(kMaxRoutes) + "\"") == std::string::npos);
}
