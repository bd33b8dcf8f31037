// A small deployment on the users' platform: the store's stand-in, endpoints, and one process of
// the deploy file for each of them, with the deploy file's settings template filled in. Every
// address is a loopback address.
#pragma once

#include "review/lib-3/Endpoint.h"
#include "standins/lib/FleetHttp.h"
#include "standins/lib/FleetProcess.h"
#include "standins/lib/UserStore.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <filesystem>
#include <fstream>
#include <map>
#include <memory>
#include <mutex>
#include <random>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

namespace peridotquay::review {

/// Whether the environment asks for the run without the disruption.
inline bool HasTrouble()
{
  const char* trouble = std::getenv("TROUBLE");
  return trouble == nullptr || std::string(trouble) != "0";
}

/// A port of 127.0.0.1 that was free a moment ago.
inline std::uint16_t FreePort()
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  socklen_t size = sizeof(address);
  const bool bound =
    ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0 &&
    ::getsockname(descriptor, reinterpret_cast<sockaddr*>(&address), &size) == 0;
  ::close(descriptor);
  if (!bound) {
    throw std::runtime_error("no free port");
  }
  return ntohs(address.sin_port);
}

inline std::string ReadWhole(const std::string& aFile)
{
  std::ifstream stream(aFile);
  return { std::istreambuf_iterator<char>(stream), {} };
}

/// Writes what was sent, answered and run to record.txt in the folder of the case.
class Record
{
public:
  explicit Record(const std::string& aFile)
    : file_(aFile)
    , startedAt_(Clock::now())
  {
  }
  void Line(const std::string& aText)
  {
    const std::lock_guard lock(mutex_);
    const auto ms = std::chrono::duration_cast<milliseconds>(Clock::now() - startedAt_).count();
    file_ << ms << " ms  " << aText << std::endl;
  }

private:
  std::mutex mutex_;
  std::ofstream file_;
  TimePoint startedAt_;
};

/// One machine of the fleet.
struct Machine
{
  std::string name_;
  std::string service_;
  std::string zone_;
  std::string region_;
  std::uint16_t outboundPort_ = 0; ///< For clients.
  std::uint16_t readyPort_ = 0;
  std::uint16_t controlPort_ = 0;
  std::uint16_t endpointPort_ = 0;
  std::string settingsFile_;
  std::string logFile_;
  std::unique_ptr<Endpoint> endpoint_;
  standins::FleetProcess process_;
};

/// Services of the machines, in order; machine i is in zone i modulo the number of zones.
struct FleetPlan
{
  std::vector<std::string> services_;
  unsigned slots_ = 54;
};

class SmallFleet
{
public:
  /// aRepository is the root of the repository, in which the deploy file's command is run.
  SmallFleet(const std::string& aRepository,
             const FleetPlan& aPlan,
             const nlohmann::json& aDocument)
    : repository_(aRepository)
    , network_("127." + std::to_string(RandomByte()) + "." + std::to_string(RandomByte()) + ".")
  {
    std::string name = (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
    if (::mkdtemp(name.data()) == nullptr) {
      throw std::runtime_error("no temporary folder");
    }
    directory_ = name;
    store_.Put("op", "config", aDocument.dump());
    // Processes are started before the endpoints, whose sockets they would inherit.
    for (std::size_t i = 0; i < aPlan.services_.size(); ++i) {
      AddMachine(i, aPlan);
    }
    for (auto& machine : machines_) {
      machine->endpoint_ = std::make_unique<Endpoint>("i-" + machine->name_,
                                                      machine->service_,
                                                      machine->zone_,
                                                      machine->endpointPort_,
                                                      machine->controlPort_,
                                                      aPlan.slots_);
    }
  }
  SmallFleet(const SmallFleet&) = delete;
  SmallFleet& operator=(const SmallFleet&) = delete;
  ~SmallFleet()
  {
    machines_.clear();
    std::error_code ignored;
    std::filesystem::remove_all(directory_, ignored);
  }

  /// Waits until all machines say that they are ready and have found each other.
  bool WaitReady()
  {
    for (int i = 0; i < 1000; ++i) {
      bool ready = store_.RowCount("quay_hosts") == machines_.size();
      for (std::size_t machine = 0; ready && machine < machines_.size(); ++machine) {
        ready = IsReady(machine);
      }
      if (ready) {
        std::this_thread::sleep_for(seconds(4));
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  bool IsReady(std::size_t aMachine)
  {
    const auto reply = standins::FetchHttp({ "127.0.0.1", machines_[aMachine]->readyPort_ },
                                           { "GET", "/-/ready", {}, "" });
    return reply.has_value() && reply.assume_value().status_ == 200;
  }

  standins::UserStore& Store() { return store_; }
  Machine& At(std::size_t aMachine) { return *machines_[aMachine]; }
  std::size_t Size() const { return machines_.size(); }

  /// All runs of all endpoints, by request id.
  std::multimap<std::string, Run> Runs()
  {
    std::multimap<std::string, Run> runs;
    for (auto& machine : machines_) {
      for (const Run& run : machine->endpoint_->Runs()) {
        runs.emplace(run.requestId_, run);
      }
    }
    return runs;
  }

  /// A line of /proc/PID/status of a machine's process, such as "VmHWM".
  std::string ProcessStatus(std::size_t aMachine, const std::string& aField)
  {
    std::ifstream status("/proc/" + std::to_string(machines_[aMachine]->process_.Id()) + "/status");
    for (std::string line; std::getline(status, line);) {
      if (line.starts_with(aField)) {
        return line;
      }
    }
    return aField + ": unknown";
  }

private:
  static int RandomByte()
  {
    std::random_device random;
    return 20 + static_cast<int>(random() % 200);
  }

  void AddMachine(std::size_t aIndex, const FleetPlan& aPlan)
  {
    static const std::vector<std::pair<std::string, std::string>> kZones = {
      { "marmara-a", "marmara" },
      { "anatolia-a", "anatolia" },
      { "marmara-b", "marmara" },
      { "anatolia-b", "anatolia" }
    };
    auto machine = std::make_unique<Machine>();
    const auto& [zone, region] = kZones[aIndex % kZones.size()];
    machine->name_ = "sidecar-" + zone + "-" + std::to_string(aIndex / kZones.size() + 1);
    machine->service_ = aPlan.services_[aIndex];
    machine->zone_ = zone;
    machine->region_ = region;
    machine->outboundPort_ = FreePort();
    machine->readyPort_ = FreePort();
    machine->controlPort_ = FreePort();
    machine->endpointPort_ = FreePort();
    machine->settingsFile_ = directory_ + "/" + machine->name_ + ".toml";
    machine->logFile_ = directory_ + "/" + machine->name_ + ".log";
    std::ofstream(machine->settingsFile_) << Settings(*machine, aIndex);
    Start(*machine);
    machines_.push_back(std::move(machine));
  }

  /// Fills in deploy/settings.toml.in as the platform does.
  std::string Settings(const Machine& aMachine, std::size_t aIndex)
  {
    const auto local = [](std::uint16_t aPort) { return "127.0.0.1:" + std::to_string(aPort); };
    const std::map<std::string, std::string> values = {
      { "node_name", aMachine.name_ },
      { "zone", aMachine.zone_ },
      { "region", aMachine.region_ },
      { "service", aMachine.service_ },
      { "ip", network_ + std::to_string(aIndex + 1) },
      { "port_range.0", "7000" },
      { "port_range.1", "7001" },
      { "listen.outbound", local(aMachine.outboundPort_) },
      { "listen.ready", local(aMachine.readyPort_) },
      { "listen.control", local(aMachine.controlPort_) },
      { "app_addr", local(aMachine.endpointPort_) },
      { "platform.address", local(store_.Port()) },
      { "heartbeat_ms", "1500" },
      { "bounds.grace_s", "6" },
      { "bounds.revoke_ms", "5000" },
      { "bounds.config_apply_ms", "2500" }
    };
    std::istringstream text(ReadWhole(repository_ + "/deploy/settings.toml.in"));
    std::string settings;
    bool isLeftOut = false; // Within a section for a value that this deployment doesn't have.
    for (std::string line; std::getline(text, line);) {
      if (line.find("{{#") != std::string::npos) {
        isLeftOut = true;
      } else if (line.find("{{/") != std::string::npos) {
        isLeftOut = false;
      } else if (!isLeftOut) {
        for (const auto& [name, value] : values) {
          const std::string placeholder = "{{" + name + "}}";
          for (std::size_t at = line.find(placeholder); at != std::string::npos;
               at = line.find(placeholder)) {
            line.replace(at, placeholder.size(), value);
          }
        }
        settings += line + "\n";
      }
    }
    if (settings.find("{{") != std::string::npos) {
      throw std::runtime_error("the settings template has an unknown placeholder");
    }
    return settings;
  }

  void Start(Machine& aMachine) const
  {
    // The command of the deploy file; the platform passes the settings file in the environment.
    ::setenv("PERIDOTQUAY_CONFIG", aMachine.settingsFile_.c_str(), 1);
    auto process =
      standins::FleetProcess::Start({ repository_ + "/target/quayd" }, aMachine.logFile_);
    ::unsetenv("PERIDOTQUAY_CONFIG");
    if (process.has_error()) {
      throw std::runtime_error("target/quayd can't be started");
    }
    aMachine.process_ = std::move(process.assume_value());
  }

  std::string repository_;
  std::string network_;
  std::string directory_;
  standins::UserStore store_;
  std::vector<std::unique_ptr<Machine>> machines_;
};

} // namespace peridotquay::review
