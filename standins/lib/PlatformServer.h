// HTTP server of the platform stand-in, on one thread.
#pragma once

#include "peridotquay/version/Ids.h"

#include "standins/lib/PlatformService.h"

#include <cstdint>
#include <memory>

namespace peridotquay {

/// Serves a PlatformService over HTTP on its own thread until it is destroyed. Tests and programs
/// use it alike.
class PlatformServer
{
public:
  /// Settings of the server.
  struct Settings
  {
    Address listen_{ "127.0.0.1", 0 };
    PlatformFaults faults_;
    std::uint64_t seed_ = 1;
  };

  /// Binds and starts. Errors: kAddressInUse.
  static Result<std::unique_ptr<PlatformServer>> Start(const Settings& aSettings);

  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer();

  /// The address that it is bound to.
  Address BoundAddress() const;
  /// Replaces the faults; in force when it returns.
  void SetFaults(const PlatformFaults& aFaults);
  PlatformFaults Faults() const;
  PlatformCounts Counts() const;

private:
  struct State;
  explicit PlatformServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
