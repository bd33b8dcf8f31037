// Actor around the blocking platform client.
#include "peridotquay/process/ControlActor.h"

#include <caf/all.hpp>

namespace peridotquay {

caf::actor SpawnPlatformActor(caf::actor_system& aSystem, std::shared_ptr<Platform> aPlatform)
{
  return aSystem.spawn<caf::detached>(
    [platform = std::move(aPlatform)](caf::event_based_actor* aSelf) -> caf::behavior {
      return {
        [=](const PlatformCallRequest& aJob) {
          // The start is read before the call: what the answer says held at some time after it.
          const auto started = aSelf->clock().now();
          auto answer = RunPlatformCall(*platform, aJob.call_);
          answer.startedAt_ = started;
          answer.finishedAt_ = aSelf->clock().now();
          return answer;
        },
      };
    });
}

} // namespace peridotquay
