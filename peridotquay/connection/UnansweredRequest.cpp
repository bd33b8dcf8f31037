// Names of the reasons and stages for log lines.
#include "peridotquay/connection/UnansweredRequest.h"

#include <array>

namespace peridotquay {

namespace {

// By value of the enumerations.
constexpr std::array<std::string_view, 7> kReasonNames = { "caller_closed", "caller_reset",
                                                           "write_failed",  "write_timeout",
                                                           "closing",       "server_ended",
                                                           "memory_full" };
constexpr std::array<std::string_view, 3> kStageNames = { "partly_read", "handled", "answering" };

} // namespace

bool IsClosedByCaller(CloseReason aReason)
{
  return aReason == CloseReason::kCallerClosed || aReason == CloseReason::kCallerReset ||
         aReason == CloseReason::kWriteFailed;
}

std::string_view CloseReasonName(CloseReason aReason)
{
  return kReasonNames.at(static_cast<std::size_t>(aReason));
}

std::string_view RequestStageName(RequestStage aStage)
{
  return kStageNames.at(static_cast<std::size_t>(aStage));
}

} // namespace peridotquay
