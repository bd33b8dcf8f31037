// Actor that runs the blocking calls of the platform client.
#include "peridotquay/process/ControlActor.h"

#include <caf/all.hpp>

namespace peridotquay {

caf::actor SpawnPlatformActor(caf::actor_system& aSystem, std::shared_ptr<Platform> aPlatform)
{
  return aSystem.spawn<caf::detached>(
    [platform = std::move(aPlatform)](caf::event_based_actor* aSelf) -> caf::behavior {
      return {
        [=](const PlatformCallRequest& aRequest) {
          // The clock is read before the call: the answer describes the platform at some time after
          // startedAt_.
          const auto started = aSelf->clock().now();
          auto answer = RunPlatformCall(*platform, aRequest.call_);
          answer.startedAt_ = started;
          answer.finishedAt_ = aSelf->clock().now();
          return answer;
        },
      };
    });
}

} // namespace peridotquay
