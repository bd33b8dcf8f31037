// Tests of fair shares, percentiles and recovery time.
#include "standins/lib/LoadScore.h"

#include <catch2/catch.hpp>

#include <numeric>
#include <rapidcheck.h>

using namespace peridotquay::standins;

// Guards against a share above the demand, and against a division that ignores weights.
TEST_CASE("fair shares satisfy small demands and divide the rest by weight", "[score]")
{
  const auto shares = FairShares(100, { 10, 100, 100 }, { 1, 1, 2 });
  CHECK(shares[0] == Approx(10));
  CHECK(shares[1] == Approx(30));
  CHECK(shares[2] == Approx(60));
  CHECK(FairShares(100, { 10, 20 }, { 1, 1 })[1] == Approx(20));
  CHECK(FairShares(100, {}, {}).empty());
}

// Guards against shares that exceed a demand or the capacity, or that leave usable capacity unused.
TEST_CASE("fair shares use the whole capacity and exceed no demand", "[score]")
{
  CHECK(rc::check([] {
    const auto count = *rc::gen::inRange<std::size_t>(1, 9);
    std::vector<double> demands;
    std::vector<double> weights;
    for (std::size_t i = 0; i < count; ++i) {
      demands.push_back(*rc::gen::inRange(0, 1000));
      weights.push_back(*rc::gen::inRange(1, 50));
    }
    const double capacity = *rc::gen::inRange(1, 3000);
    const auto shares = FairShares(capacity, demands, weights);
    double sum = 0;
    for (std::size_t i = 0; i < count; ++i) {
      RC_ASSERT(shares[i] <= demands[i] + 1e-6);
      sum += shares[i];
    }
    const double totalDemand = std::accumulate(demands.begin(), demands.end(), 0.0);
    RC_ASSERT(std::abs(sum - std::min(totalDemand, capacity)) < 1e-6);
  }));
}

// Guards against an off-by-one error in the rank, which would shift every reported percentile.
TEST_CASE("percentiles use the nearest rank", "[score]")
{
  std::vector<double> values(100);
  std::iota(values.begin(), values.end(), 1);
  CHECK(Percentile(values, 0.99) == 99);
  CHECK(Percentile(values, 0.5) == 50);
  CHECK(Percentile(values, 1) == 100);
  CHECK(Percentile({}, 0.5) == 0);
}

// Guards against a recovery time that ends before later failures.
TEST_CASE("recovery ends when the served fraction has reached its level for good", "[score]")
{
  std::vector<RequestSample> requests;
  for (int i = 0; i < 1000; ++i) {
    const double at = i * 0.01;
    requests.push_back({ at, at < 2 || at >= 5 });
  }
  CHECK(ServedFraction(requests, 0, 2) == 1);
  CHECK(ServedFraction(requests, 20, 30) == 1);
  const auto recovery = RecoverySeconds(requests, 3, 10, 1, 0.98);
  REQUIRE(recovery.has_value());
  CHECK(*recovery == Approx(2.0).margin(0.05));
  for (auto& request : requests) {
    request.served_ = request.served_ && request.scheduledAt_ < 9;
  }
  CHECK_FALSE(RecoverySeconds(requests, 3, 10, 1, 0.98).has_value());
}
