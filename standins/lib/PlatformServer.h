// HTTP server of the platform stand-in.
#pragma once

#include "peridotquay/version/Ids.h"

#include "standins/lib/PlatformService.h"

#include <cstdint>
#include <memory>

namespace peridotquay {

/// Serves a PlatformService over HTTP on its own thread until it is destroyed. Used by tests and by
/// the program standin_platform.
class PlatformServer
{
public:
  struct Settings
  {
    Address listen_{ "127.0.0.1", 0 };
    PlatformFaults faults_;
    std::uint64_t seed_ = 1; ///< Decides which answers are lost.
  };

  /// Binds the listening socket and starts the thread. Errors: kAddressInUse.
  static Result<std::unique_ptr<PlatformServer>> Start(const Settings& aSettings);

  PlatformServer(const PlatformServer&) = delete;
  PlatformServer& operator=(const PlatformServer&) = delete;
  ~PlatformServer();

  /// Address of the listening socket, with the port that the kernel chose.
  Address BoundAddress() const;
  /// Replaces the faults, which are in force when the call returns.
  void SetFaults(const PlatformFaults& aFaults);
  PlatformFaults Faults() const;
  PlatformCounts Counts() const;

private:
  struct State;
  explicit PlatformServer(std::unique_ptr<State> aState);
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
