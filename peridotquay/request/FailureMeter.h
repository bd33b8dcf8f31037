// Part of a target's recent answers that are failures.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// Counts that halve each second.
struct FailureMeter
{
  double failed_ = 0;
  double total_ = 0; ///< At least failed_.
  TimePoint updated_{};
};

void RecordAnswer(FailureMeter& aMeter, bool aFailed, TimePoint aNow);

/// Per cent of recent answers that failed; 0 while there are too few to tell.
std::uint32_t FailedPercent(const FailureMeter& aMeter, TimePoint aNow);

} // namespace peridotquay
