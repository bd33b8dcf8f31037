// In-process nodes with scripted targets and a static control plane, for tests of the call path.
#pragma once

#include "peridotquay/process/Node.h"

#include "tests/connection/RawSocket.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::testing {

/// One request as the target received it.
struct ReceivedRequest
{
  std::string line_; ///< Method and path.
  std::string head_; ///< Request line and header fields.
  std::string body_;
};

inline std::string HeaderValue(const std::string& aHead, const std::string& aName)
{
  const auto start = aHead.find("\r\n" + aName + ": ");
  if (start == std::string::npos) {
    return {};
  }
  const auto value = start + aName.size() + 4;
  return aHead.substr(value, aHead.find("\r\n", value) - value);
}

inline std::string MakeHttpResponse(int aStatus,
                                    const std::string& aBody,
                                    const std::string& aHeaders = {})
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" + aHeaders + "\r\n" +
         aBody;
}

/// A target that answers each request with the bytes that its handler returns, or closes the
/// connection if they are empty. Health and load queries are answered without the handler and
/// aren't recorded.
class ScriptedTarget
{
public:
  using Handler = std::function<std::string(const ReceivedRequest&)>;

  explicit ScriptedTarget(Handler aHandler)
    : handler_(std::move(aHandler))
    , acceptThread_([this] { Accept(); })
  {
  }
  ScriptedTarget(const ScriptedTarget&) = delete;
  ScriptedTarget& operator=(const ScriptedTarget&) = delete;
  ~ScriptedTarget()
  {
    stopping_ = true;
    listener_.Close();
    acceptThread_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  std::uint16_t Port() const { return listener_.Port(); }
  std::vector<ReceivedRequest> ReceivedRequests()
  {
    const std::lock_guard lock(mutex_);
    return requests_;
  }

private:
  void Accept()
  {
    while (!stopping_) {
      auto socket = std::make_shared<RawSocket>(listener_.Accept());
      if (!socket->IsOpen()) {
        return;
      }
      threads_.emplace_back([this, socket] { Serve(*socket); });
    }
  }

  void Serve(RawSocket& aSocket)
  {
    while (!stopping_) {
      ReceivedRequest request;
      request.head_ = aSocket.ReadUntil("\r\n\r\n");
      if (request.head_.find("\r\n\r\n") == std::string::npos) {
        return;
      }
      request.line_ = request.head_.substr(0, request.head_.find(" HTTP/1.1"));
      const std::string length = HeaderValue(request.head_, "Content-Length");
      request.body_ = aSocket.ReadBytes(length.empty() ? 0 : std::stoul(length));
      if (request.line_ == "GET /health") {
        aSocket.Write(MakeHttpResponse(200, R"({"state":"ready"})"));
        continue;
      }
      if (request.line_ == "GET /load") {
        aSocket.Write(MakeHttpResponse(200, R"({"slots":50,"in_use":0})"));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        requests_.push_back(request);
      }
      const std::string response = handler_(request);
      if (response.empty()) {
        return;
      }
      aSocket.Write(response);
    }
  }

  Handler handler_;
  RawListener listener_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<ReceivedRequest> requests_;
  std::vector<std::thread> threads_;
  std::thread acceptThread_;
};

/// Control plane that grants every request for tokens unless grantsTokens_ is false. The test
/// publishes configuration, targets and freshness through callbacks_.
class StaticControlPlane final : public ControlPlane
{
public:
  explicit StaticControlPlane(DataPlaneCallbacks aCallbacks)
    : callbacks_(std::move(aCallbacks))
  {
  }
  void OnPeerMessage(const Hello&, const Address&, PeerMessage) override {}
  void OnDatagram(const Address&, PeerMessage) override {}
  void RequestTokens(ShareRequest aRequest) override
  {
    if (aRequest.wanted_ <= 0) {
      return;
    }
    const double tokens = grantsTokens_ ? std::min(aRequest.wanted_, 1000.0) : 0;
    callbacks_.deliverGrant_(
      { aRequest.nonce_, aRequest.clientAccount_, ++lastGrantId_, tokens, 1000, 100 },
      Clock::now());
  }
  void AnnounceTarget(TargetState aState, std::uint32_t, double) override { state_ = aState; }
  void AnnounceLeft(const HostId& aSuccessor) override
  {
    successor_ = aSuccessor.value_;
    hasAnnouncedLeft_ = true;
  }
  ControlStatus Status() const override { return {}; }

  DataPlaneCallbacks callbacks_;
  std::atomic<bool> grantsTokens_{ true };
  std::atomic<bool> hasAnnouncedLeft_{ false };
  std::atomic<TargetState> state_{ TargetState::kCold };
  std::string successor_; ///< Valid once hasAnnouncedLeft_ is set.

private:
  std::atomic<std::uint64_t> lastGrantId_{ 0 };
};

/// A node that runs on its own thread.
struct RunningNode
{
  NodeSettings settings_;
  StaticControlPlane* control_ = nullptr;
  std::unique_ptr<Node> node_;
  std::thread thread_;

  explicit RunningNode(NodeSettings aSettings)
    : settings_(std::move(aSettings))
  {
    auto node = Node::Start(
      settings_, [this](const NodeSettings&, Incarnation, DataPlaneCallbacks aCallbacks) {
        auto control = std::make_unique<StaticControlPlane>(std::move(aCallbacks));
        control_ = control.get();
        return control;
      });
    REQUIRE(node.has_value());
    node_ = std::move(node.assume_value());
    thread_ = std::thread([this] { node_->Run(); });
  }
  RunningNode(const RunningNode&) = delete;
  RunningNode& operator=(const RunningNode&) = delete;
  ~RunningNode() { StopWithoutDrain(); }
  /// Stops the node without a drain and releases it.
  void StopWithoutDrain()
  {
    if (node_) {
      node_->Stop();
      thread_.join();
      node_.reset();
    }
  }
  /// Returns the target that other nodes see for this node.
  Target AsTarget() const
  {
    Target target;
    target.host_ = settings_.host_;
    target.peer_ = { "127.0.0.1", node_->Ports().peers_ };
    target.dataCentre_ = settings_.dataCentre_;
    target.region_ = settings_.region_;
    target.service_ = settings_.service_;
    target.slots_ = 50;
    return target;
  }
};

/// The key of client account "acc" in the test configuration.
inline const std::string kTestKey = "secret-key-of-acc";

/// Routes /bells (repeatable), /deposits (not repeatable), /deep (service "archive"), /private (of
/// another client account) and /open. All routes except /open require a key.
inline std::shared_ptr<Config> TestConfig()
{
  auto config = std::make_shared<Config>();
  config->version_ = 1;
  config->clientAccounts_[{ "acc" }] = { { "acc" }, 1000, 1000 };
  config->keys_[KeyDigest(kTestKey)] = { "acc" };
  const auto add = [&](const std::string& aPrefix, const std::string& aService) -> Route& {
    Route route;
    route.id_ = { aPrefix.substr(1) };
    route.prefix_ = aPrefix;
    route.service_ = { aService };
    config->routes_.push_back(route);
    return config->routes_.back();
  };
  add("/deposits", "bell").repeatable_ = false;
  add("/private", "bell").clientAccounts_ = { { "other" } };
  add("/bells", "bell");
  add("/deep", "archive");
  add("/open", "bell").open_ = true;
  return config;
}

inline NodeSettings TestSettings(const std::string& aHost,
                                 const std::string& aService,
                                 std::uint16_t aTargetPort)
{
  NodeSettings settings;
  settings.host_ = { aHost };
  settings.dataCentre_ = { "dc1" };
  settings.region_ = { "r1" };
  settings.service_ = { aService };
  settings.target_ = { "127.0.0.1", aTargetPort };
  settings.randomSeed_ = 42;
  settings.drainTimeout_ = seconds(3);
  return settings;
}

/// Publishes the configuration, aTargets as targets and a freshness of one hour to aNodes.
inline void Publish(const std::vector<RunningNode*>& aNodes,
                    const std::vector<RunningNode*>& aTargets,
                    std::shared_ptr<const Config> aConfig = TestConfig())
{
  auto view = std::make_shared<TargetView>();
  for (const auto* node : aNodes) {
    view->hosts_[node->settings_.host_] = { "127.0.0.1", node->node_->Ports().peers_ };
  }
  for (const auto* node : aTargets) {
    view->targets_[node->settings_.service_].push_back(node->AsTarget());
  }
  for (const auto* node : aNodes) {
    node->control_->callbacks_.publishConfig_(aConfig);
    node->control_->callbacks_.publishTargets_(view);
    node->control_->callbacks_.publishFreshness_(Clock::now() + std::chrono::hours(1));
  }
}

/// Response of a node as the caller received it.
struct ReceivedResponse
{
  int status_ = 0;   ///< 0 if there was no response.
  std::string head_; ///< Status line and header fields.
  std::string body_;
  std::string Outcome() const { return HeaderValue(head_, "Quay-Outcome"); }
};

/// A client with one keep-alive connection.
class Caller
{
public:
  explicit Caller(std::uint16_t aPort)
    : socket_(aPort)
  {
  }
  ReceivedResponse SendRequest(const std::string& aMethod,
                               const std::string& aPath,
                               const std::string& aHeaders = "Quay-Key: " + kTestKey + "\r\n",
                               const std::string& aBody = {})
  {
    socket_.Write(aMethod + " " + aPath + " HTTP/1.1\r\nHost: h\r\n" + aHeaders +
                  "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    return ReadResponse();
  }
  ReceivedResponse ReadResponse()
  {
    ReceivedResponse response;
    response.head_ = socket_.ReadUntil("\r\n\r\n");
    if (response.head_.size() < 12) {
      return response;
    }
    response.status_ = std::stoi(response.head_.substr(9, 3));
    const std::string length = HeaderValue(response.head_, "Content-Length");
    response.body_ = socket_.ReadBytes(length.empty() ? 0 : std::stoul(length));
    return response;
  }

private:
  RawSocket socket_;
};

} // namespace peridotquay::testing
