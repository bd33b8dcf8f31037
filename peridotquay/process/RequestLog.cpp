// Limits the log lines of requests.
#include "peridotquay/process/RequestLog.h"

#include <algorithm>

namespace peridotquay {

namespace {

// FNV-1a; must give the same hash on every host.
std::uint32_t HashId(std::string_view aId)
{
  std::uint32_t hash = 2166136261U;
  for (const char character : aId) {
    hash = (hash ^ static_cast<unsigned char>(character)) * 16777619U;
  }
  return hash;
}

// Sets the threshold from the successes of the last second and starts a new second.
void BeginSecond(RequestLogState& aState, TimePoint aNow)
{
  const double successes = std::max(1U, aState.successes_);
  const double fraction = std::min(1.0, aState.settings_.successesPerSecond_ / successes);
  aState.hashThreshold_ = static_cast<std::uint32_t>(fraction * UINT32_MAX);
  aState.secondStartedAt_ = aNow;
  aState.failures_ = 0;
  aState.successes_ = 0;
  aState.successesWritten_ = 0;
}

} // namespace

bool AllowRequestLine(RequestLogState& aState,
                      std::string_view aRequestId,
                      bool aFailed,
                      TimePoint aNow,
                      std::uint64_t& aLeftOut)
{
  if (aNow - aState.secondStartedAt_ >= seconds(1)) {
    BeginSecond(aState, aNow);
  }
  bool allowed = false;
  if (aFailed) {
    allowed = ++aState.failures_ <= aState.settings_.failuresPerSecond_;
  } else {
    ++aState.successes_;
    // The second condition limits a surge until the threshold is adapted in the next second.
    allowed = HashId(aRequestId) <= aState.hashThreshold_ &&
              aState.successesWritten_ < 2 * aState.settings_.successesPerSecond_;
    aState.successesWritten_ += allowed ? 1 : 0;
  }
  if (!allowed) {
    ++aState.leftOut_;
    return false;
  }
  aLeftOut = aState.leftOut_;
  aState.leftOut_ = 0;
  return true;
}

} // namespace peridotquay
