// Child processes with fork and exec.
#include "standins/lib/FleetProcess.h"

#include <sys/prctl.h>
#include <sys/wait.h>

#include <fcntl.h>
#include <signal.h>
#include <thread>
#include <unistd.h>
#include <utility>

namespace peridotquay::standins {

FleetProcess::FleetProcess(FleetProcess&& aOther) noexcept
  : id_(std::exchange(aOther.id_, -1))
  , status_(std::exchange(aOther.status_, std::nullopt))
{
}

FleetProcess& FleetProcess::operator=(FleetProcess&& aOther) noexcept
{
  std::swap(id_, aOther.id_);
  std::swap(status_, aOther.status_);
  return *this;
}

FleetProcess::~FleetProcess()
{
  if (id_ > 0) {
    ::kill(id_, SIGKILL);
    ::waitpid(id_, nullptr, 0);
  }
}

Result<FleetProcess> FleetProcess::Start(const std::vector<std::string>& aCommand,
                                         const std::string& aOutputFile)
{
  std::vector<char*> arguments;
  arguments.reserve(aCommand.size() + 1);
  for (const std::string& argument : aCommand) {
    arguments.push_back(const_cast<char*>(argument.c_str()));
  }
  arguments.push_back(nullptr);
  const pid_t parent = ::getpid();
  const pid_t child = ::fork();
  if (child < 0) {
    return Fail(ErrorCode::kLimitReached, aCommand.front(), "fork failed");
  }
  if (child == 0) {
    // The kernel kills the child when the parent dies. The check of getppid below detects a parent
    // that died before this call.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(aOutputFile.c_str(), O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, 0644);
    if (::getppid() != parent || output < 0) {
      ::_exit(127);
    }
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execv(arguments.front(), arguments.data());
    ::_exit(127);
  }
  FleetProcess process;
  process.id_ = child;
  return process;
}

void FleetProcess::Signal(int aSignal)
{
  if (id_ > 0) {
    ::kill(id_, aSignal);
  }
}

std::optional<int> FleetProcess::Wait(Duration aTimeout)
{
  const TimePoint end = Clock::now() + aTimeout;
  while (id_ > 0) {
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) == id_) {
      id_ = -1;
      status_ = WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status);
      break;
    }
    if (Clock::now() >= end) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(milliseconds(2));
  }
  return status_;
}

bool FleetProcess::Alive()
{
  return id_ > 0 && !Wait(Duration::zero());
}

} // namespace peridotquay::standins
