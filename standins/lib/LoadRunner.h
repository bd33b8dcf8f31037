// Sends the requests of a plan to the hosts of a fleet and records the answers.
#pragma once

#include "peridotquay/version/Ids.h"

#include "standins/lib/HistoryCheck.h"
#include "standins/lib/LoadPlan.h"

#include <coroutine>
#include <functional>
#include <string>
#include <utility>
#include <vector>

namespace peridotquay::standins {

/// Result of one scheduled request over all of the caller's attempts.
struct LoadRecord
{
  Arrival arrival_;
  bool served_ = false;        ///< Complete and correct answer within the deadline.
  double latencySeconds_ = 0;  ///< From the scheduled arrival to the end of the last attempt.
  unsigned firstStatus_ = 0;   ///< Status of the first attempt; 0 without an answer.
  unsigned lastStatus_ = 0;    ///< Status of the last attempt; 0 without an answer.
  std::string firstErrorType_; ///< Error type of the first attempt; empty with status 200.
  std::uint32_t attempts_ = 0;
};

/// Everything that a run recorded.
struct LoadResult
{
  std::vector<LoadRecord> records_; ///< In order of the scheduled arrivals.
  std::vector<HistoryCall> calls_;  ///< One entry for each attempt.
  double maxStartLagSeconds_ =
    0; ///< Largest delay from the scheduled to the real start of a request.
  std::uint64_t failedIdRequests_ = 0; ///< Failed fetches of request ids.
};

/// Addresses at which the hosts of one data centre accept callers.
using DataCentreHosts = std::vector<Address>;

/// Runs the load on the calling thread and returns when every request has ended. The requests of
/// each account are spread over all data centres and hosts. aStarted is called before the first
/// request, with the point in time from which the plan's seconds count.
LoadResult RunLoad(const LoadPlan& aPlan,
                   const std::vector<DataCentreHosts>& aDataCentres,
                   const std::function<void(TimePoint)>& aStarted);

} // namespace peridotquay::standins
