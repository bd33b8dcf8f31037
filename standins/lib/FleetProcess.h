// A child process that can't outlive its parent.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Owns a child process. The destructor kills it and waits for it.
class FleetProcess
{
public:
  FleetProcess() = default;
  FleetProcess(FleetProcess&& aOther) noexcept;
  FleetProcess& operator=(FleetProcess&& aOther) noexcept;
  FleetProcess(const FleetProcess&) = delete;
  FleetProcess& operator=(const FleetProcess&) = delete;
  ~FleetProcess();

  /// Starts a program; its output and error go to the file. Errors: kLimitReached.
  static Result<FleetProcess> Start(const std::vector<std::string>& aCommand,
                                    const std::string& aOutputFile);

  /// Sends a signal; does nothing if the process has ended.
  void Signal(int aSignal);

  /// Waits for the end. Returns the exit status (128 + signal if killed), or nothing after the
  /// timeout.
  std::optional<int> Wait(Duration aTimeout);

  /// Whether it runs or is stopped.
  bool Alive();

  pid_t Id() const { return id_; }

private:
  pid_t id_ = -1; ///< -1 if there is no process, or it was waited for.
  std::optional<int> status_;
};

} // namespace peridotquay::standins
