// Sends a plan's requests to the hosts of a fleet and records what came back.
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

/// What became of one scheduled request, over all of the caller's attempts.
struct LoadRecord
{
  Arrival arrival_;
  bool served_ = false;       ///< Whole right answer within the deadline.
  double latencySeconds_ = 0; ///< From the scheduled arrival to the last answer.
  unsigned firstStatus_ = 0;  ///< Of the first attempt; 0: no answer.
  unsigned lastStatus_ = 0;
  std::string firstErrorType_; ///< Error type in the body of the first answer, if it wasn't 200.
  std::uint32_t attempts_ = 0;
};

struct LoadResult
{
  std::vector<LoadRecord> records_; ///< In order of the scheduled arrivals.
  std::vector<HistoryCall> calls_;  ///< One for each attempt.
  double maxStartLagSeconds_ = 0; ///< Largest delay between scheduled and real start of a request.
  std::uint64_t failedIdRequests_ = 0; ///< Attempts to get request ids that failed.
};

/// Hosts of one data centre that callers may use.
using DataCentreHosts = std::vector<Address>;

/// Runs on the calling thread until every request has ended. Callers of an account spread over all
/// data centres and hosts. aStarted is called with the time of second 0, before the first request.
LoadResult RunLoad(const LoadPlan& aPlan,
                   const std::vector<DataCentreHosts>& aDataCentres,
                   const std::function<void(TimePoint)>& aStarted);

} // namespace peridotquay::standins
