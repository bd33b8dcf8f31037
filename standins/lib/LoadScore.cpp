// Fair shares, percentiles and recovery time of a load run.
#include "standins/lib/LoadScore.h"

#include <algorithm>
#include <cmath>

namespace peridotquay::standins {

std::vector<double> FairShares(double aCapacity,
                               const std::vector<double>& aDemands,
                               const std::vector<double>& aWeights)
{
  std::vector<double> shares(aDemands.size(), 0);
  std::vector<bool> satisfied(aDemands.size(), false);
  double remaining = aCapacity;
  // Each round satisfies at least one entry in full, or divides the remaining capacity by weight
  // and is the last.
  for (std::size_t round = 0; round <= aDemands.size(); ++round) {
    double weights = 0;
    for (std::size_t i = 0; i < aDemands.size(); ++i) {
      weights += satisfied[i] ? 0 : aWeights[i];
    }
    if (weights <= 0) {
      break;
    }
    const double perWeight = remaining / weights;
    bool anySatisfied = false;
    for (std::size_t i = 0; i < aDemands.size(); ++i) {
      if (!satisfied[i] && aDemands[i] <= perWeight * aWeights[i]) {
        shares[i] = aDemands[i];
        remaining -= aDemands[i];
        satisfied[i] = true;
        anySatisfied = true;
      }
    }
    if (!anySatisfied) {
      for (std::size_t i = 0; i < aDemands.size(); ++i) {
        if (!satisfied[i]) {
          shares[i] = perWeight * aWeights[i];
        }
      }
      break;
    }
  }
  return shares;
}

double Percentile(std::vector<double> aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  const double count = static_cast<double>(aValues.size());
  const auto rank = static_cast<std::size_t>(std::ceil(aFraction * count));
  const std::size_t index = std::min(aValues.size(), std::max<std::size_t>(rank, 1)) - 1;
  std::nth_element(
    aValues.begin(), aValues.begin() + static_cast<std::ptrdiff_t>(index), aValues.end());
  return aValues[index];
}

double ServedFraction(const std::vector<RequestSample>& aRequests, double aFrom, double aTo)
{
  std::size_t all = 0;
  std::size_t served = 0;
  for (const RequestSample& request : aRequests) {
    if (request.scheduledAt_ >= aFrom && request.scheduledAt_ < aTo) {
      ++all;
      served += request.served_ ? 1 : 0;
    }
  }
  return all == 0 ? 1 : static_cast<double>(served) / static_cast<double>(all);
}

std::optional<double> RecoverySeconds(const std::vector<RequestSample>& aRequests,
                                      double aTriggerEnd,
                                      double aEnd,
                                      double aFractionBefore,
                                      double aMinFraction)
{
  constexpr double kStepSeconds = 0.1;
  constexpr double kWindowSeconds = 1;
  const auto steps =
    static_cast<int>(std::floor((aEnd - kWindowSeconds - aTriggerEnd) / kStepSeconds));
  std::optional<double> recovered;
  for (int step = 0; step <= steps; ++step) {
    const double from = aTriggerEnd + step * kStepSeconds;
    if (ServedFraction(aRequests, from, from + kWindowSeconds) < aMinFraction * aFractionBefore) {
      recovered.reset();
    } else if (!recovered) {
      recovered = step * kStepSeconds;
    }
  }
  return recovered;
}

} // namespace peridotquay::standins
