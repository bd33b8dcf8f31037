// quayd, the node process that runs on each target's host.
#include "peridotquay/process/Events.h"
#include "peridotquay/process/LogOutput.h"
#include "peridotquay/process/MakeControlPlane.h"
#include "peridotquay/process/Node.h"
#include "peridotquay/process/Settings.h"
#include "peridotquay/process/TomlFile.h"

#include "platform/PlatformControl.h"
#include "platform/PlatformDialect.h"
#include "platform/PlatformSettings.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <boost/outcome/try.hpp>
#include <glog/logging.h>
#include <sys/stat.h>

#include <algorithm>
#include <atomic>
#include <csignal>
#include <cstdint>
#include <cstdlib>
#include <iostream>
#include <malloc.h>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

ABSL_FLAG(std::string, config, "", "settings file (TOML)");
ABSL_FLAG(bool, check_config, false, "check the settings file and exit");

using namespace peridotquay;

namespace {

constexpr const char* kUsage =
  "Overload control node. SIGTERM and SIGINT drain; a SIGINT during the drain ends the process at\n"
  "once, a SIGTERM changes nothing. SIGHUP reads the settings file again; a changed file is also\n"
  "noticed without a signal.\n"
  "Exit codes: 0 drained or settings valid, 1 usage, 3 settings file unreadable, 4 syntax error,\n"
  "5 unknown setting, 6 wrong type, 7 value out of range, 8 setting missing, 9 contradiction,\n"
  "10 address in use, 11 port file not writable, 12 ended at once, 20 other failure.";

// How often the settings file is checked for a change.
// Buffers of at least this size, in bytes, are returned to the system when they are freed.
constexpr int kMmapThresholdBytes = 64 * 1024;

constexpr timespec kSettingsCheckInterval{ 2, 0 };

constexpr int kExitUsage = 1;
constexpr int kExitPortFile = 11;
constexpr int kExitStopped = 12;

// Exit code for an error that prevents the start.
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

sigset_t MakeHandledSignals()
{
  sigset_t signals;
  sigemptyset(&signals);
  sigaddset(&signals, SIGTERM);
  sigaddset(&signals, SIGINT);
  sigaddset(&signals, SIGHUP);
  sigaddset(&signals, SIGUSR1);
  return signals;
}

/// Parsed content of the settings file.
struct FileSettings
{
  NodeSettings node_;
  std::optional<platform::PlatformSettings> platform_; ///< Set if the file has a table `adapter`.
  bool operator==(const FileSettings&) const = default;
};

Result<FileSettings> ReadSettings(const std::string& aFile)
{
  BOOST_OUTCOME_TRY(text, ReadWholeFile(aFile));
  FileSettings settings;
  BOOST_OUTCOME_TRY(node, ParseNodeSettingsText(text, aFile));
  settings.node_ = std::move(node);
  BOOST_OUTCOME_TRY(hasPlatform, platform::HasPlatformSettings(text, aFile));
  if (hasPlatform) {
    BOOST_OUTCOME_TRY(platformSettings, platform::ParsePlatformSettings(text, aFile));
    settings.platform_ = std::move(platformSettings);
  }
  return settings;
}

/// Time of the file's last modification in nanoseconds since 1970; 0 if it can't be read.
std::int64_t ModificationTimeNs(const std::string& aFile)
{
  struct stat status
  {};
  if (stat(aFile.c_str(), &status) != 0) {
    return 0;
  }
  return static_cast<std::int64_t>(status.st_mtim.tv_sec) * 1'000'000'000 + status.st_mtim.tv_nsec;
}

/// The settings file and the settings in force.
class SettingsFile
{
public:
  SettingsFile(std::string aFile, FileSettings aSettings)
    : file_(std::move(aFile))
    , modificationTimeNs_(ModificationTimeNs(file_))
    , settings_(std::move(aSettings))
  {
  }

  bool HasChanged() const { return ModificationTimeNs(file_) != modificationTimeNs_; }

  /// Reads the file again. A changed policy takes effect at once, other settings at the next start
  /// of the process. A file with errors is rejected as a whole.
  void Reload(Node& aNode)
  {
    modificationTimeNs_ = ModificationTimeNs(file_);
    auto read = ReadSettings(file_);
    if (read.has_error()) {
      LogEvent(Event::kSettingsRejected, { { "error", Describe(read.assume_error()) } });
      return;
    }
    const FileSettings& next = read.assume_value();
    const bool policyChanged = next.platform_ && settings_.platform_ &&
                               next.platform_->policy_ != settings_.platform_->policy_;
    FileSettings applied = settings_;
    if (policyChanged) {
      applied.platform_->policy_ = next.platform_->policy_;
      aNode.SetPolicy(next.platform_->policy_);
    }
    LogEvent(Event::kSettingsReloaded,
             { { "policy_changed", policyChanged ? "true" : "false" },
               { "needs_restart", applied == next ? "false" : "true" } });
    settings_ = std::move(applied);
  }

private:
  std::string file_;
  std::int64_t modificationTimeNs_ = 0;
  FileSettings settings_; ///< The settings in force.
};

// Handles signals on a thread of its own, so that no code runs in a signal handler. The first
// SIGTERM or SIGINT drains the node. A SIGINT during the drain, from the keyboard, stops it at
// once. A supervisor may repeat SIGTERM, which must not cut the calls that the drain waits for.
class SignalThread
{
public:
  SignalThread(Node& aNode, SettingsFile& aSettings)
    : thread_([this, &aNode, &aSettings] { Wait(aNode, aSettings); })
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
  bool WasStopped() const { return stopped_; }

private:
  void Wait(Node& aNode, SettingsFile& aSettings)
  {
    const sigset_t signals = MakeHandledSignals();
    bool draining = false;
    while (!ending_) {
      const int received = sigtimedwait(&signals, nullptr, &kSettingsCheckInterval);
      if (received == SIGHUP || (received < 0 && aSettings.HasChanged())) {
        aSettings.Reload(aNode);
      }
      if (received < 0 || received == SIGUSR1 || received == SIGHUP) {
        continue;
      }
      if (!draining) {
        draining = true;
        aNode.Drain();
      } else if (received == SIGINT) {
        stopped_ = true;
        aNode.Stop();
      }
    }
  }

  std::atomic<bool> ending_{ false };
  std::atomic<bool> stopped_{ false };
  std::thread thread_;
};

Result<std::unique_ptr<Node>> StartNode(const FileSettings& aSettings)
{
  if (!aSettings.platform_) {
    return Node::Start(aSettings.node_,
                       [](const NodeSettings& aNode,
                          Incarnation aIncarnation,
                          DataPlaneCallbacks aDataPlane) -> Result<std::unique_ptr<ControlPlane>> {
                         return MakeControlPlane(aNode, aIncarnation, std::move(aDataPlane));
                       });
  }
  return Node::Start(
    aSettings.node_,
    [&](const NodeSettings& aNode, Incarnation aIncarnation, DataPlaneCallbacks aDataPlane) {
      return platform::StartPlatformControl(
        *aSettings.platform_, aNode, aIncarnation, std::move(aDataPlane));
    },
    platform::PlatformDialect());
}

int Serve(const std::string& aFile, const FileSettings& aSettings)
{
  auto node = StartNode(aSettings);
  if (node.has_error()) {
    const Error& error = node.assume_error();
    const bool portFileFailed = error.code_ == ErrorCode::kFileUnreadable;
    LogEvent(Event::kListenFailed, { { "error", Describe(error) } });
    std::cerr << "quayd: " << Describe(error) << "\n";
    return portFileFailed ? kExitPortFile : ExitCodeOf(error.code_);
  }
  SettingsFile file(aFile, aSettings);
  const SignalThread signals(*node.assume_value(), file);
  node.assume_value()->Run();
  return signals.WasStopped() ? kExitStopped : 0;
}

// Replaces dashes in flag names by underscores, because Abseil's flag names have no dashes.
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
  // The buffers of large messages go back to the system when they are freed. Setting the threshold
  // keeps malloc from raising it and from keeping such buffers.
  mallopt(M_MMAP_THRESHOLD, kMmapThresholdBytes);
  // Threads inherit the signal mask, so the signals are blocked before any thread starts. One that
  // comes during the start is handled after it.
  const sigset_t signals = MakeHandledSignals();
  pthread_sigmask(SIG_BLOCK, &signals, nullptr);
  std::signal(SIGPIPE, SIG_IGN);
  absl::SetProgramUsageMessage(kUsage);
  std::vector<std::string> normalized = NormalizeFlags(aCount, aArguments);
  std::vector<char*> pointers;
  pointers.reserve(normalized.size());
  for (auto& argument : normalized) {
    pointers.push_back(argument.data());
  }
  const auto rest = absl::ParseCommandLine(static_cast<int>(pointers.size()), pointers.data());
  std::string file = absl::GetFlag(FLAGS_config);
  if (const char* environmentFile = std::getenv("PERIDOTQUAY_CONFIG");
      file.empty() && environmentFile != nullptr) {
    file = environmentFile;
  }
  if (rest.size() != 1 || file.empty()) {
    std::cerr
      << "quayd: --config FILE or PERIDOTQUAY_CONFIG is required, and no further arguments\n";
    return kExitUsage;
  }
  const auto settings = ReadSettings(file);
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
  const std::string logDirectory = settings.assume_value().node_.logDirectory_;
  if (logDirectory.empty()) {
    FLAGS_logtostderr = true;
  } else {
    FLAGS_log_dir = logDirectory;
  }
  google::InitGoogleLogging(aArguments[0]);
  // On the users' platform, log lines go to standard output through a writer that never blocks.
  LogOutput output(STDOUT_FILENO, settings.assume_value().node_.host_.value_);
  if (settings.assume_value().platform_) {
    SetLogOutput(&output);
  }
  const int code = Serve(file, settings.assume_value());
  SetLogOutput(nullptr);
  google::ShutdownGoogleLogging();
  return code;
}
