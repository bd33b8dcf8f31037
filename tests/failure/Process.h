// Child processes and temporary files for tests.
#pragma once

#include <sys/wait.h>

#include <chrono>
#include <fcntl.h>
#include <fstream>
#include <signal.h>
#include <spawn.h>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

extern char** environ;

namespace peridotquay::testing {

/// A child process whose standard output and error go to a file. The destructor kills the process
/// if it is still running.
class Process
{
public:
  Process(const std::vector<std::string>& aCommand, const std::string& aOutput)
  {
    std::vector<std::string> command = aCommand;
    std::vector<char*> arguments;
    for (auto& argument : command) {
      arguments.push_back(argument.data());
    }
    arguments.push_back(nullptr);
    posix_spawn_file_actions_t actions;
    posix_spawn_file_actions_init(&actions);
    posix_spawn_file_actions_addopen(
      &actions, 1, aOutput.c_str(), O_WRONLY | O_CREAT | O_TRUNC, 0600);
    posix_spawn_file_actions_adddup2(&actions, 1, 2);
    // A process that inherits the sockets of the test would keep their connections and ports open.
    posix_spawn_file_actions_addclosefrom_np(&actions, 3);
    const int result =
      posix_spawn(&pid_, arguments[0], &actions, nullptr, arguments.data(), environ);
    posix_spawn_file_actions_destroy(&actions);
    if (result != 0) {
      throw std::runtime_error("cannot start child process " + command[0]);
    }
  }
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;
  ~Process()
  {
    if (pid_ > 0) {
      ::kill(pid_, SIGKILL);
      ::waitpid(pid_, nullptr, 0);
    }
  }

  /// Process id; -1 once Wait has returned the exit code.
  pid_t Id() const { return pid_; }

  /// Has no effect once the process has ended and Wait has returned its exit code.
  void Signal(int aSignal)
  {
    // kill(-1) would signal every process of the user.
    if (pid_ > 0) {
      ::kill(pid_, aSignal);
    }
  }

  /// How the process ended, as "exit 0" or "signal 15"; empty if it is still running.
  std::string HowEnded() const
  {
    siginfo_t info{};
    if (pid_ <= 0 ||
        ::waitid(P_PID, static_cast<id_t>(pid_), &info, WEXITED | WNOHANG | WNOWAIT) != 0 ||
        info.si_pid != pid_) {
      return "";
    }
    return (info.si_code == CLD_EXITED ? "exit " : "signal ") + std::to_string(info.si_status);
  }

  /// Returns the exit code, or -1 if the process is still running after aSeconds or was ended by a
  /// signal.
  int Wait(int aSeconds = 10)
  {
    for (int i = 0; i <= 100 * aSeconds; ++i) {
      int status = 0;
      if (::waitpid(pid_, &status, WNOHANG) == pid_) {
        pid_ = -1;
        return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
      }
      std::this_thread::sleep_for(std::chrono::milliseconds(10));
    }
    return -1;
  }

private:
  pid_t pid_ = -1;
};

/// A new directory that the destructor removes together with the files registered by FilePath.
class TemporaryDirectory
{
public:
  TemporaryDirectory()
  {
    std::string pattern = "/tmp/pqtestXXXXXX";
    path_ = ::mkdtemp(pattern.data());
  }
  TemporaryDirectory(const TemporaryDirectory&) = delete;
  TemporaryDirectory& operator=(const TemporaryDirectory&) = delete;
  ~TemporaryDirectory()
  {
    for (const auto& file : files_) {
      ::unlink(file.c_str());
    }
    ::rmdir(path_.c_str());
  }
  /// Returns the full path of a file in the directory and registers the file for removal.
  std::string FilePath(const std::string& aName)
  {
    files_.push_back(path_ + "/" + aName);
    return files_.back();
  }
  /// Writes a file into the directory and returns its full path.
  std::string Write(const std::string& aName, const std::string& aText)
  {
    const std::string file = FilePath(aName);
    std::ofstream(file) << aText;
    return file;
  }

private:
  std::string path_;
  std::vector<std::string> files_;
};

inline std::string ReadFile(const std::string& aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

} // namespace peridotquay::testing
