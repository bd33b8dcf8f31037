// A fleet on the users' platform: the store, targets, and one quayd process beside each target.
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

#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::testing {

/// The operator's document with two services, one route of each kind and one open route.
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

/// Links between a host and what it talks to, on a thread of their own.
class HostLinks
{
public:
  HostLinks(std::uint16_t aStore, std::uint16_t aTarget)
    : store_(Link(aStore))
    , target_(Link(aTarget))
    , thread_([this] { context_.run(); })
  {
  }
  HostLinks(const HostLinks&) = delete;
  HostLinks& operator=(const HostLinks&) = delete;
  ~HostLinks()
  {
    boost::asio::post(context_, [this] {
      store_->Stop();
      target_->Stop();
      context_.stop();
    });
    thread_.join();
  }

  std::uint16_t StorePort() const { return store_->Port(); }
  std::uint16_t TargetPort() const { return target_->Port(); }
  /// Changes the faults of the link to the store or to the target (LinkSettings.h).
  void Set(bool aStore, const std::string& aJson)
  {
    const std::uint16_t control = (aStore ? store_ : target_)->ControlPort();
    const auto reply =
      standins::FetchHttp({ "127.0.0.1", control }, { "POST", "/link", {}, aJson });
    if (reply.has_error() || reply.assume_value().status_ != 200) {
      throw std::runtime_error("a link doesn't take its faults");
    }
  }

private:
  std::shared_ptr<standins::LinkRelay> Link(std::uint16_t aRemote)
  {
    standins::LinkSettings settings;
    settings.remote_ = { "127.0.0.1", aRemote };
    auto link = std::make_shared<standins::LinkRelay>(context_, settings);
    if (link->Start().has_error()) {
      throw std::runtime_error("a link can't listen");
    }
    return link;
  }

  boost::asio::io_context context_{ 1 };
  std::shared_ptr<standins::LinkRelay> store_;
  std::shared_ptr<standins::LinkRelay> target_;
  std::thread thread_;
};

/// Host i serves service i modulo 2, in data centre i modulo 4 of region i modulo 2.
class UserFleet
{
public:
  /// With links, each host reaches the store and its target through a link of its own.
  explicit UserFleet(std::size_t aHosts, bool aLinks = false)
    : links_(aLinks)
  {
    store_.Put("op", "config", UserDocument(1, { "k1", "k2" }).dump());
    for (std::size_t i = 0; i < aHosts; ++i) {
      AddHost(i);
    }
  }

  /// Every host takes clients and knows all others.
  bool WaitReady()
  {
    for (int i = 0; i < 1000; ++i) {
      bool ready = store_.RowCount("quay_hosts") == hosts_.size();
      for (std::size_t host = 0; ready && host < hosts_.size(); ++host) {
        ready = Ready(host) == 200;
      }
      if (ready) {
        // The last rows reach the other hosts after the pause between watches.
        std::this_thread::sleep_for(milliseconds(1200));
        return true;
      }
      std::this_thread::sleep_for(milliseconds(20));
    }
    return false;
  }

  unsigned Ready(std::size_t aHost)
  {
    const auto reply =
      standins::FetchHttp({ "127.0.0.1", hosts_[aHost]->ready_ }, { "GET", "/-/ready", {}, "" });
    return reply.has_value() ? reply.assume_value().status_ : 0;
  }

  /// One request at a host; status 0 if the connection ended without an answer.
  standins::FetchResponse Ask(std::size_t aHost,
                              const std::string& aPath,
                              const std::string& aId,
                              const std::string& aKey = "k1")
  {
    auto reply = standins::FetchHttp(CallersOf(aHost), Query(aPath, aId, aKey));
    return reply.has_value() ? reply.assume_value() : standins::FetchResponse{};
  }

  Address CallersOf(std::size_t aHost) const { return { "127.0.0.1", hosts_[aHost]->callers_ }; }

  static standins::FetchRequest Query(const std::string& aPath,
                                      const std::string& aId,
                                      const std::string& aKey = "k1")
  {
    standins::FetchRequest query;
    query.method_ = aPath.starts_with("/write/") ? "POST" : "GET";
    query.target_ = aPath;
    query.headers_ = { { "Host", "h.example" },
                       { "X-Request-Id", aId },
                       { "X-Deadline-Ms", "2000" },
                       { "X-Caller-Service", "forged" },
                       { "X-Tenant-Id", "forged" } };
    if (!aKey.empty()) {
      query.headers_.emplace_back("Authorization", "Token " + aKey);
    }
    query.timeout_ = seconds(3);
    return query;
  }

  /// How often each request id ran, over all targets.
  std::map<std::string, int> Runs()
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
  /// Only of a fleet with links.
  HostLinks& LinksOf(std::size_t aHost) { return *hosts_[aHost]->links_; }
  Process& ProcessOf(std::size_t aHost) { return *hosts_[aHost]->process_; }
  std::string Log(std::size_t aHost) { return ReadFile(hosts_[aHost]->output_); }

  /// Starts the process of a host again; the one before must have ended or is killed.
  void Restart(std::size_t aHost)
  {
    Host& host = *hosts_[aHost];
    host.process_.reset();
    ::unlink(host.ports_.c_str());
    StartProcess(host);
  }

private:
  struct Host
  {
    std::uint16_t ready_ = 0;
    std::uint16_t reports_ = 0;
    std::uint16_t callers_ = 0;
    std::string ports_;
    std::string output_;
    std::string settings_;
    std::unique_ptr<standins::UserTarget> target_;
    std::unique_ptr<HostLinks> links_; ///< Null in a fleet without links.
    std::unique_ptr<Process> process_;
  };

  static std::uint16_t FreePort()
  {
    const RawListener listener;
    return listener.Port();
  }

  void AddHost(std::size_t aIndex)
  {
    auto host = std::make_unique<Host>();
    const std::string name = "h" + std::to_string(aIndex);
    const std::string service = "s" + std::to_string(aIndex % 2);
    host->ready_ = FreePort();
    host->reports_ = FreePort();
    host->target_ = std::make_unique<standins::UserTarget>("i-" + name, service, host->reports_);
    if (links_) {
      host->links_ = std::make_unique<HostLinks>(store_.Port(), host->target_->Port());
    }
    const std::uint16_t store = links_ ? host->links_->StorePort() : store_.Port();
    const std::uint16_t target = links_ ? host->links_->TargetPort() : host->target_->Port();
    host->ports_ = directory_.File(name + ".ports");
    directory_.File(name + ".ports.tmp");
    host->output_ = directory_.File(name + ".log");
    const auto address = [](std::uint16_t aPort) {
      return "\"127.0.0.1:" + std::to_string(aPort) + "\"\n";
    };
    host->settings_ = directory_.Write(
      name + ".toml",
      "host = \"" + name + "\"\ndata_centre = \"d" + std::to_string(aIndex % 4) +
        "\"\nregion = \"r" + std::to_string(aIndex % 2) + "\"\nservice = \"" + service +
        "\"\nport_file = \"" + host->ports_ + "\"\ntarget = " + address(target) +
        "drain_timeout_ms = 5000\naccept_while_draining_ms = 1000\n[adapter]\nstore = " +
        address(store) + "ready = " + address(host->ready_) + "heartbeats = " +
        address(host->reports_) + "heartbeat_ms = 500\nkey_freshness_ms = 5000\n");
    StartProcess(*host);
    hosts_.push_back(std::move(host));
  }

  static void StartProcess(Host& aHost)
  {
    aHost.process_ = std::make_unique<Process>(
      std::vector<std::string>{ PQ_BINARY_DIR "/quayd", "--config", aHost.settings_ },
      aHost.output_);
    for (int i = 0; i < 500 && ReadFile(aHost.ports_).empty(); ++i) {
      std::this_thread::sleep_for(milliseconds(10));
    }
    aHost.callers_ = nlohmann::json::parse(ReadFile(aHost.ports_))["callers"];
  }

  bool links_;
  standins::UserStore store_;
  Directory directory_;
  std::vector<std::unique_ptr<Host>> hosts_;
};

} // namespace peridotquay::testing
