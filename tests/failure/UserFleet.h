// A fleet on stand-ins of the users' platform: the store, targets, and one quayd process for each
// target.
#pragma once

#include "standins/lib/FleetHttp.h"
#include "standins/lib/LinkRelay.h"
#include "standins/lib/UserStore.h"
#include "standins/lib/UserTarget.h"
#include "tests/connection/RawSocket.h"
#include "tests/failure/Process.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <nlohmann/json.hpp>

#include <algorithm>
#include <deque>
#include <fstream>
#include <functional>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <sstream>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::testing {

/// Waits up to aTimeout for a condition and returns whether it came true.
inline bool Eventually(const std::function<bool()>& aCondition, Duration aTimeout)
{
  const TimePoint end = Clock::now() + aTimeout;
  while (Clock::now() < end) {
    if (aCondition()) {
      return true;
    }
    std::this_thread::sleep_for(milliseconds(20));
  }
  return false;
}

/// The operator's configuration document: services s0 and s1, the keyed routes /read/ (repeatable)
/// and /write/ (not repeatable), and the open route /call/.
inline nlohmann::json UserDocument(int aVersion, const std::vector<std::string>& aKeys)
{
  const auto route = [](const char* aPrefix, const char* aKind, const char* aService, bool aOpen) {
    return nlohmann::json{
      { "host", "h.example" }, { "prefix", aPrefix },        { "kind", aKind },
      { "timeout_ms", 1500 },  { "latency_target_ms", 900 }, { "priority", 0 },
      { "service", aService }, { "max_attempts", 2 },        { "public", aOpen }
    };
  };
  return { { "version", "r" + std::to_string(aVersion) },
           { "routes",
             { { "read", route("/read/", "safe", "s0", false) },
               { "write", route("/write/", "unsafe", "s1", false) },
               { "call", route("/call/", "safe", "s1", true) } } },
           { "services",
             { { "s0", nlohmann::json::object() }, { "s1", nlohmann::json::object() } } },
           { "tenants", { { "t1", { { "api_keys", aKeys }, { "rate_per_s", 0 } } } } } };
}

/// Relays from a host to the store and to its target, run by a thread of their own, which can
/// inject network faults.
class HostLinks
{
public:
  HostLinks(std::uint16_t aStorePort, std::uint16_t aTargetPort)
    : storeLink_(StartLink(aStorePort))
    , targetLink_(StartLink(aTargetPort))
    , thread_([this] { context_.run(); })
  {
  }
  HostLinks(const HostLinks&) = delete;
  HostLinks& operator=(const HostLinks&) = delete;
  ~HostLinks()
  {
    boost::asio::post(context_, [this] {
      storeLink_->Stop();
      targetLink_->Stop();
      context_.stop();
    });
    thread_.join();
  }

  std::uint16_t StorePort() const { return storeLink_->Port(); }
  std::uint16_t TargetPort() const { return targetLink_->Port(); }
  /// Sets the faults of the link to the store, or of the link to the target if aStore is false. The
  /// JSON keys are those of LinkSettings.h.
  void SetFaults(bool aStore, const std::string& aJson)
  {
    const std::uint16_t control = (aStore ? storeLink_ : targetLink_)->ControlPort();
    const auto reply =
      standins::FetchHttp({ "127.0.0.1", control }, { "POST", "/link", {}, aJson });
    if (reply.has_error() || reply.assume_value().status_ != 200) {
      throw std::runtime_error("the link relay rejected its fault settings");
    }
  }

private:
  std::shared_ptr<standins::LinkRelay> StartLink(std::uint16_t aRemotePort)
  {
    standins::LinkSettings settings;
    settings.remote_ = { "127.0.0.1", aRemotePort };
    auto link = std::make_shared<standins::LinkRelay>(context_, settings);
    if (link->Start().has_error()) {
      throw std::runtime_error("the link relay can't listen on a port");
    }
    return link;
  }

  boost::asio::io_context context_{ 1 };
  std::shared_ptr<standins::LinkRelay> storeLink_;
  std::shared_ptr<standins::LinkRelay> targetLink_;
  std::thread thread_;
};

/// Host number i belongs to service i modulo 2, data centre i modulo 4 and region i modulo 2.
class UserFleet
{
public:
  /// With aHasLinks, each host reaches the store and its target through its own HostLinks. Without
  /// aHasDocument, the store has no configuration document at first. aDescriptors limits the file
  /// descriptors of each process; 0 leaves the limit of the test. The store states aStoreEra, if
  /// any, from the start. aAdapterSettings are lines for the table of the adapter.
  explicit UserFleet(std::size_t aHosts,
                     bool aHasLinks = false,
                     bool aHasDocument = true,
                     unsigned aDescriptors = 0,
                     std::optional<std::uint64_t> aStoreEra = std::nullopt,
                     std::string aAdapterSettings = "")
    : hasLinks_(aHasLinks)
    , descriptors_(aDescriptors)
    , adapterSettings_(std::move(aAdapterSettings))
  {
    if (aStoreEra) {
      store_.StateEra(*aStoreEra);
    }
    if (aHasDocument) {
      store_.Put("op", "config", UserDocument(1, { "k1", "k2" }).dump());
    }
    for (std::size_t i = 0; i < aHosts; ++i) {
      AddHost(i);
    }
  }

  /// Waits up to 20 s until every host is registered in the store and reports that it is ready. On
  /// timeout, prints the state of the hosts that aren't ready to standard error and returns false.
  bool WaitReady()
  {
    for (int i = 0; i < 1000; ++i) {
      bool ready = store_.RowCount("quay_hosts") == hosts_.size();
      for (std::size_t host = 0; ready && host < hosts_.size(); ++host) {
        ready = ReadinessStatus(host) == 200;
      }
      if (ready) {
        // The last host rows reach the other hosts only after the pause between two watches.
        std::this_thread::sleep_for(milliseconds(1200));
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    PrintUnreadyHosts();
    return false;
  }

  /// Status of the readiness endpoint, or 0 if it doesn't respond.
  unsigned ReadinessStatus(std::size_t aHost)
  {
    const auto reply = standins::FetchHttp({ "127.0.0.1", hosts_[aHost]->readyPort_ },
                                           { "GET", "/-/ready", {}, "" });
    return reply.has_value() ? reply.assume_value().status_ : 0;
  }

  /// Sends one request to a host. The status is 0 if the connection ended without a response.
  standins::FetchResponse SendRequest(std::size_t aHost,
                                      const std::string& aPath,
                                      const std::string& aId,
                                      const std::string& aKey = "k1")
  {
    auto reply = standins::FetchHttp(CallersAddress(aHost), MakeRequest(aPath, aId, aKey));
    return reply.has_value() ? reply.assume_value() : standins::FetchResponse{};
  }

  Address CallersAddress(std::size_t aHost) const
  {
    return { "127.0.0.1", hosts_[aHost]->callersPort_ };
  }

  std::uint16_t ReadyPort(std::size_t aHost) const { return hosts_[aHost]->readyPort_; }

  /// Port at which a host accepts connections of other hosts.
  std::uint16_t PeersPort(std::size_t aHost) const
  {
    return nlohmann::json::parse(ReadFile(hosts_[aHost]->portFile_))["peers"];
  }

  static standins::FetchRequest MakeRequest(const std::string& aPath,
                                            const std::string& aId,
                                            const std::string& aKey = "k1")
  {
    standins::FetchRequest httpRequest;
    httpRequest.method_ = aPath.starts_with("/write/") ? "POST" : "GET";
    httpRequest.target_ = aPath;
    httpRequest.headers_ = { { "Host", "h.example" },
                             { "X-Request-Id", aId },
                             { "X-Deadline-Ms", "2000" },
                             { "X-Caller-Service", "forged" },
                             { "X-Tenant-Id", "forged" } };
    if (!aKey.empty()) {
      httpRequest.headers_.emplace_back("Authorization", "Token " + aKey);
    }
    httpRequest.timeout_ = seconds(3);
    return httpRequest;
  }

  /// Sends a message of a host's target about itself, as its own heartbeats are sent, and returns
  /// the status of the response; 0 if there was none.
  unsigned SendTargetReport(std::size_t aHost, const std::string& aPath, const std::string& aBody)
  {
    const auto reply =
      standins::FetchHttp({ "127.0.0.1", hosts_[aHost]->heartbeatPort_ },
                          { "POST", aPath, { { "Content-Type", "application/json" } }, aBody });
    return reply.has_value() ? reply.assume_value().status_ : 0;
  }

  /// Returns how often each request id was started, summed over all targets.
  std::map<std::string, int> ExecutionCounts()
  {
    std::map<std::string, int> runs;
    for (auto& host : hosts_) {
      for (const auto& request : host->target_->StartedRequests()) {
        ++runs[std::string(FindHeader(request.headers_, "X-Request-Id").value_or(""))];
      }
    }
    return runs;
  }

  std::size_t Size() const { return hosts_.size(); }
  standins::UserStore& Store() { return store_; }
  standins::UserTarget& TargetOf(std::size_t aHost) { return *hosts_[aHost]->target_; }
  /// Valid only in a fleet with links.
  HostLinks& LinksOf(std::size_t aHost) { return *hosts_[aHost]->links_; }
  Process& ProcessOf(std::size_t aHost) { return *hosts_[aHost]->process_; }
  std::string Log(std::size_t aHost) { return ReadFile(hosts_[aHost]->logFile_); }

  /// Starts a new process for a host. The previous process is killed if it is still running. With
  /// aKeepsPeersPort, other hosts reach the new process at the previous one's port.
  void Restart(std::size_t aHost, bool aKeepsPeersPort = false)
  {
    Host& host = *hosts_[aHost];
    if (aKeepsPeersPort) {
      const std::string settings = ReadFile(host.settingsFile_);
      std::ofstream(host.settingsFile_) << "peers = \"127.0.0.1:" << PeersPort(aHost) << "\"\n"
                                        << settings;
    }
    host.process_.reset();
    ::unlink(host.portFile_.c_str());
    StartProcess(host);
  }

private:
  struct Host
  {
    std::uint16_t readyPort_ = 0;
    std::uint16_t heartbeatPort_ = 0;
    std::uint16_t callersPort_ = 0;
    std::string portFile_;
    std::string logFile_;
    std::string settingsFile_;
    std::unique_ptr<standins::UserTarget> target_;
    std::unique_ptr<HostLinks> links_; ///< Null in a fleet without links.
    std::unique_ptr<Process> process_;
  };

  static std::string HostName(std::size_t aHost) { return "h" + std::to_string(aHost); }

  /// Prints name, readiness status and end of the log of each host that isn't ready, and the number
  /// of hosts in the store. The logs are removed with the fleet. If all hosts are ready, all are
  /// printed, because it isn't known which one isn't in the store.
  void PrintUnreadyHosts()
  {
    constexpr std::size_t kLogLines = 20;
    std::vector<unsigned> statuses;
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      statuses.push_back(ReadinessStatus(host));
    }
    const bool allReady = std::all_of(
      statuses.begin(), statuses.end(), [](unsigned aStatus) { return aStatus == 200; });
    std::cerr << "fleet not ready: " << store_.RowCount("quay_hosts") << " of " << hosts_.size()
              << " hosts in the store\n";
    for (std::size_t host = 0; host < hosts_.size(); ++host) {
      if (allReady || statuses[host] != 200) {
        std::cerr << "host " << HostName(host) << ": readiness status " << statuses[host]
                  << ", end of its log:\n";
        std::istringstream log(Log(host));
        std::deque<std::string> lines;
        for (std::string line; std::getline(log, line);) {
          lines.push_back(line);
          if (lines.size() > kLogLines) {
            lines.pop_front();
          }
        }
        for (const auto& line : lines) {
          std::cerr << "  " << line << "\n";
        }
      }
    }
    std::cerr << std::flush;
  }

  void AddHost(std::size_t aIndex)
  {
    auto host = std::make_unique<Host>();
    const std::string name = HostName(aIndex);
    const std::string service = "s" + std::to_string(aIndex % 2);
    host->readyPort_ = FreePort();
    host->heartbeatPort_ = FreePort();
    host->target_ =
      std::make_unique<standins::UserTarget>("i-" + name, service, host->heartbeatPort_);
    if (hasLinks_) {
      host->links_ = std::make_unique<HostLinks>(store_.Port(), host->target_->Port());
    }
    const std::uint16_t storePort = hasLinks_ ? host->links_->StorePort() : store_.Port();
    const std::uint16_t targetPort = hasLinks_ ? host->links_->TargetPort() : host->target_->Port();
    host->portFile_ = directory_.FilePath(name + ".ports");
    directory_.FilePath(name + ".ports.tmp");
    host->logFile_ = directory_.FilePath(name + ".log");
    const auto address = [](std::uint16_t aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"\n";
    };
    host->settingsFile_ = directory_.Write(
      name + ".toml",
      "host = \"" + name + "\"\ndata_centre = \"d" + std::to_string(aIndex % 4) +
        "\"\nregion = \"r" + std::to_string(aIndex % 2) + "\"\nservice = \"" + service +
        "\"\nport_file = \"" + host->portFile_ + "\"\ntarget = " + address(targetPort) +
        "drain_timeout_ms = 5000\naccept_while_draining_ms = 1000\n[adapter]\nstore = " +
        address(storePort) + "ready = " + address(host->readyPort_) +
        "heartbeats = " + address(host->heartbeatPort_) +
        "heartbeat_ms = 500\nkey_freshness_ms = 5000\nrefusal_freshness_ms = 2500\n" +
        adapterSettings_);
    StartProcess(*host);
    hosts_.push_back(std::move(host));
  }

  void StartProcess(Host& aHost) const
  {
    std::vector<std::string> command{ PQ_BINARY_DIR "/quayd", "--config", aHost.settingsFile_ };
    if (descriptors_ > 0) {
      const std::string limit =
        "ulimit -n " + std::to_string(descriptors_) + "; exec \"$0\" \"$@\"";
      command.insert(command.begin(), { "/bin/sh", "-c", limit });
    }
    aHost.process_ = std::make_unique<Process>(command, aHost.logFile_);
    for (int i = 0; i < 500 && ReadFile(aHost.portFile_).empty(); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    aHost.callersPort_ = nlohmann::json::parse(ReadFile(aHost.portFile_))["callers"];
  }

  bool hasLinks_;
  unsigned descriptors_; ///< Limit for each process; 0: that of the test.
  std::string adapterSettings_;
  standins::UserStore store_;
  TemporaryDirectory directory_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

} // namespace peridotquay::testing
