// Fraction of a target's recent answers that are failures.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>

namespace peridotquay {

/// Exponentially decaying counts of answers. They halve each second.
struct FailureMeter
{
  double failed_ = 0;
  double total_ = 0; ///< At least failed_.
  TimePoint updatedAt_{};
};

/// Counts an answer of the target.
void RecordAnswer(FailureMeter& aMeter, bool aFailed, TimePoint aNow);

/// Percentage of recent answers that failed; 0 if there are too few answers.
std::uint32_t FailurePercent(const FailureMeter& aMeter, TimePoint aNow);

} // namespace peridotquay
