// Calculations over the requests of a load run: fair shares, percentiles and recovery time.
#pragma once

#include <cstddef>
#include <optional>
#include <vector>

namespace peridotquay::standins {

/// Divides a capacity by weighted max-min fairness: no share exceeds its demand, and capacity that
/// one entry doesn't need is divided among the others by weight.
std::vector<double> FairShares(double aCapacity,
                               const std::vector<double>& aDemands,
                               const std::vector<double>& aWeights);

/// Returns the smallest value that at least aFraction (0 to 1) of the values don't exceed (nearest
/// rank), or 0 if there are no values.
double Percentile(std::vector<double> aValues, double aFraction);

/// A request for the calculation of the recovery time.
struct RequestSample
{
  double scheduledAt_ = 0; ///< Scheduled arrival in seconds of the run.
  bool served_ = false;
};

/// Returns the served fraction of the requests that arrived in [aFrom, aTo), or 1 if none arrived.
double ServedFraction(const std::vector<RequestSample>& aRequests, double aFrom, double aTo);

/// Returns the seconds from aTriggerEnd until the served fraction has recovered. The fraction is
/// taken over one-second windows that start every 100 ms. It has recovered at the start of the
/// first window from which on every window until aEnd reaches at least aMinFraction of
/// aFractionBefore. Empty if it doesn't recover.
std::optional<double> RecoverySeconds(const std::vector<RequestSample>& aRequests,
                                      double aTriggerEnd,
                                      double aEnd,
                                      double aFractionBefore,
                                      double aMinFraction);

} // namespace peridotquay::standins
