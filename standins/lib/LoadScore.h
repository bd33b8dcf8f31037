// Measures of a load run: fair shares, percentiles, recovery.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace peridotquay::standins {

/// Weighted max-min fair division of a capacity: no entry gets more than its demand, and what one
/// leaves is divided among the others by weight.
std::vector<double> FairShares(double aCapacity,
                               const std::vector<double>& aDemands,
                               const std::vector<double>& aWeights);

/// The value that aFraction (0 to 1) of the values don't exceed, by nearest rank; 0 for no values.
double Percentile(std::vector<double> aValues, double aFraction);

/// One request as far as recovery is concerned.
struct RequestSample
{
  double scheduledAt_ = 0; ///< Scheduled arrival after the start of the run.
  bool served_ = false;
};

/// Part of the requests that arrived in [aFrom, aTo) and were served; 1 if none arrived.
double ServedFraction(const std::vector<RequestSample>& aRequests, double aFrom, double aTo);

/// Seconds from aTriggerEnd to the first 100 ms step from which on the served part over the next
/// second is at least aMinFraction of aFractionBefore and stays so until aEnd. Empty if that
/// doesn't happen.
std::optional<double> RecoverySeconds(const std::vector<RequestSample>& aRequests,
                                      double aTriggerEnd,
                                      double aEnd,
                                      double aFractionBefore,
                                      double aMinFraction);

} // namespace peridotquay::standins
