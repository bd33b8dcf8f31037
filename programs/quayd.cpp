// The node process on each target host.
#include "peridotquay/process/Events.h"
#include "peridotquay/process/MakeControlPlane.h"
#include "peridotquay/process/Node.h"
#include "peridotquay/process/Settings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <glog/logging.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <iostream>
#include <string>
#include <thread>
#include <vector>

ABSL_FLAG(std::string, config, "", "settings file (TOML)");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

using namespace peridotquay;

namespace {

constexpr const char* kUsage =
  "Overload control node. SIGTERM drains; a second SIGTERM ends the process at once.\n"
  "Exit codes: 0 drained or settings valid, 1 usage, 3 settings file unreadable, 4 syntax error,\n"
  "5 unknown setting, 6 wrong type, 7 value out of range, 8 setting missing, 9 contradiction,\n"
  "10 address in use, 11 port file not writable, 12 ended at once, 20 other failure.";

constexpr int kExitUsage = 1;
constexpr int kExitPortFile = 11;
constexpr int kExitStopped = 12;

// Exit code of a failure to start.
int ExitCodeOf(ErrorCode aCode)
{
  switch (aCode) {
    case ErrorCode::kFileUnreadable:
      return 3;
    case ErrorCode::kSyntax:
      return 4;
    case ErrorCode::kUnknownSetting:
      return 5;
    case ErrorCode::kWrongType:
      return 6;
    case ErrorCode::kOutOfRange:
      return 7;
    case ErrorCode::kMissingSetting:
      return 8;
    case ErrorCode::kContradiction:
      return 9;
    case ErrorCode::kAddressInUse:
      return 10;
    default:
      return 20;
  }
}

sigset_t HandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGUSR1);
  return signals;
}

// Waits for signals on its own thread, so that no code runs in a signal handler.
class SignalThread
{
public:
  explicit SignalThread(Node& aNode)
    : thread_([this, &aNode] { Wait(aNode); })
  {
  }
  SignalThread(const SignalThread&) = delete;
  SignalThread& operator=(const SignalThread&) = delete;
  ~SignalThread()
  {
    ending_ = true;
    pthread_kill(thread_.native_handle(), SIGUSR1);
    thread_.join();
  }
  bool Stopped() const { return stopped_; }

private:
  void Wait(Node& aNode)
  {
    const sigset_t signals = HandledSignals();
    int received = 0;
    bool draining = false;
    while (!ending_ && sigwait(&signals, &received) == 0) {
      if (received == SIGUSR1) {
        continue;
      }
      if (draining) {
        stopped_ = true;
        aNode.Stop();
      } else {
        draining = true;
        aNode.Drain();
      }
    }
  }

  std::atomic<bool> ending_{ false };
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

int Serve(const NodeSettings& aSettings)
{
  auto node = Node::Start(aSettings, &MakeControlPlane);
  if (node.has_error()) {
    const Error& error = node.assume_error();
    const bool portFile = error.code_ == ErrorCode::kFileUnreadable;
    LogEvent(Event::kListenFailed, { { "error", Describe(error) } });
    std::cerr << "quayd: " << Describe(error) << "\n";
    return portFile ? kExitPortFile : ExitCodeOf(error.code_);
  }
  const SignalThread signals(*node.assume_value());
  node.assume_value()->Run();
  return signals.Stopped() ? kExitStopped : 0;
}

// Abseil knows flag names with underscores only; dashes in them are accepted as well.
std::vector<std::string> NormalizeFlags(int aCount, char** aArguments)
{
  std::vector<std::string> arguments(aArguments, aArguments + aCount);
  for (std::size_t i = 1; i < arguments.size(); ++i) {
    if (arguments[i].starts_with("--")) {
      const auto end =
        arguments[i].begin() +
        static_cast<std::ptrdiff_t>(std::min(arguments[i].find('='), arguments[i].size()));
      std::replace(arguments[i].begin() + 2, end, '-', '_');
    }
  }
  return arguments;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::SetProgramUsageMessage(kUsage);
  std::vector<std::string> normalized = NormalizeFlags(aCount, aArguments);
  std::vector<char*> pointers;
  pointers.reserve(normalized.size());
  for (auto& argument : normalized) {
    pointers.push_back(argument.data());
  }
  const auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
  const std::string file = absl::GetFlag(FLAGS_config);
  if (rest.size() != 1 || file.empty()) {
    std::cerr << "quayd: --config FILE is required and takes no further arguments\n";
    return kExitUsage;
  }
  const auto settings = ParseNodeSettings(file);
  const bool checkOnly = absl::GetFlag(FLAGS_check_config);
  if (settings.has_error()) {
    std::cerr << "quayd: " << Describe(settings.assume_error()) << "\n";
    if (!checkOnly) {
      FLAGS_logtostderr = true;
      google::InitGoogleLogging(aArguments[0]);
      LogEvent(Event::kSettingsRejected, { { "error", Describe(settings.assume_error()) } });
    }
    return ExitCodeOf(settings.assume_error().code_);
  }
  if (checkOnly) {
    std::cout << file << ": valid\n";
    return 0;
  }
  const std::string logDirectory = settings.assume_value().logDirectory_;
  if (logDirectory.empty()) {
    FLAGS_logtostderr = true;
  } else {
    FLAGS_log_dir = logDirectory;
  }
  google::InitGoogleLogging(aArguments[0]);
  // Threads inherit the mask, so it is set before any is started.
  const sigset_t signals = HandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  const int code = Serve(settings.assume_value());
  google::ShutdownGoogleLogging();
  return code;
}
