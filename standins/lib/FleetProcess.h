// A child process that ends with its parent.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

namespace peridotquay::standins {

/// Owns a child process. The destructor kills it and waits for its end.
class FleetProcess
{
public:
  FleetProcess() = default;
  FleetProcess(FleetProcess&& aOther) noexcept;
  FleetProcess& operator=(FleetProcess&& aOther) noexcept;
  FleetProcess(const FleetProcess&) = delete;
  FleetProcess& operator=(const FleetProcess&) = delete;
  ~FleetProcess();

  /// Starts a program and redirects its standard output and standard error to the file. A program
  /// that can't be executed ends with exit status 127. Errors: kLimitReached.
  static Result<FleetProcess> Start(const std::vector<std::string>& aCommand,
                                    const std::string& aOutputFile);

  /// Sends a signal; does nothing if the end of the process was observed.
  void Signal(int aSignal);

  /// Waits for the end. Returns the exit status (128 + signal number if a signal ended the
  /// process), or nothing after the timeout.
  std::optional<int> Wait(Duration aTimeout);

  /// Whether the process hasn't ended. A process that SIGSTOP paused is alive.
  bool Alive();

  pid_t Id() const { return id_; }

private:
  pid_t id_ = -1;             ///< -1 if there is no process or its end was observed.
  std::optional<int> status_; ///< Exit status, once the end was observed.
};

} // namespace peridotquay::standins
