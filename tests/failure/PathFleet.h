// In-process nodes with scripted targets and a static control side, for tests of the call path.
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

/// One request as the target saw it.
struct SeenRequest
{
  std::string line_; ///< Method and path.
  std::string head_;
  std::string body_;
};

inline std::string HeadValue(const std::string& aHead, const std::string& aName)
{
  const auto start = aHead.find("\r\n" + aName + ": ");
  if (start == std::string::npos) {
    return {};
  }
  const auto value = start + aName.size() + 4;
  return aHead.substr(value, aHead.find("\r\n", value) - value);
}

inline std::string HttpAnswer(int aStatus,
                              const std::string& aBody,
                              const std::string& aHeaders = {})
{
  return "HTTP/1.1 " + std::to_string(aStatus) +
         " X\r\nContent-Length: " + std::to_string(aBody.size()) + "\r\n" + aHeaders + "\r\n" +
         aBody;
}

/// A target that answers each request with the bytes that a function returns; empty bytes close the
/// connection.
class ScriptTarget
{
public:
  using Script = std::function<std::string(const SeenRequest&)>;

  explicit ScriptTarget(Script aScript)
    : script_(std::move(aScript))
    , accepting_([this] { Accept(); })
  {
  }
  ScriptTarget(const ScriptTarget&) = delete;
  ScriptTarget& operator=(const ScriptTarget&) = delete;
  ~ScriptTarget()
  {
    stopping_ = true;
    listener_.Close();
    accepting_.join();
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  std::uint16_t Port() const { return listener_.Port(); }
  std::vector<SeenRequest> Seen()
  {
    const std::lock_guard lock(mutex_);
    return seen_;
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
      SeenRequest request;
      request.head_ = aSocket.ReadUntil("\r\n\r\n");
      if (request.head_.find("\r\n\r\n") == std::string::npos) {
        return;
      }
      request.line_ = request.head_.substr(0, request.head_.find(" HTTP/1.1"));
      const std::string length = HeadValue(request.head_, "Content-Length");
      request.body_ = aSocket.ReadBytes(length.empty() ? 0 : std::stoul(length));
      if (request.line_ == "GET /health") {
        aSocket.Write(HttpAnswer(200, R"({"state":"ready"})"));
        continue;
      }
      if (request.line_ == "GET /load") {
        aSocket.Write(HttpAnswer(200, R"({"slots":50,"in_use":0})"));
        continue;
      }
      {
        const std::lock_guard lock(mutex_);
        seen_.push_back(request);
      }
      const std::string answer = script_(request);
      if (answer.empty()) {
        return;
      }
      aSocket.Write(answer);
    }
  }

  Script script_;
  RawListener listener_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_;
  std::vector<SeenRequest> seen_;
  std::vector<std::thread> threads_;
  std::thread accepting_;
};

/// Control side that grants every request for tokens and publishes what the test gives it.
class StaticControl final : public ControlPlane
{
public:
  explicit StaticControl(DataPlaneCallbacks aPort)
    : port_(std::move(aPort))
  {
  }
  void OnPeerMessage(const Hello&, const Address&, PeerMessage) override {}
  void OnDatagram(const Address&, PeerMessage) override {}
  void RequestTokens(ShareRequest aRequest) override
  {
    if (aRequest.wanted_ <= 0) {
      return;
    }
    const double tokens = tokens_ ? std::min(aRequest.wanted_, 1000.0) : 0;
    port_.deliverGrant_({ aRequest.nonce_, aRequest.clientAccount_, ++grant_, tokens, 1000, 100 },
                        Clock::now());
  }
  void AnnounceTarget(TargetState aState, std::uint32_t, double) override { state_ = aState; }
  void AnnounceLeft(const HostId& aSuccessor) override
  {
    successor_ = aSuccessor.value_;
    left_ = true;
  }
  ControlStatus Status() const override { return {}; }

  DataPlaneCallbacks port_;
  std::atomic<bool> tokens_{ true };
  std::atomic<bool> left_{ false };
  std::atomic<TargetState> state_{ TargetState::kCold };
  std::string successor_; ///< Read it after left_.

private:
  std::atomic<std::uint64_t> grant_{ 0 };
};

/// One node on its own thread.
struct RunningNode
{
  NodeSettings settings_;
  StaticControl* control_ = nullptr;
  std::unique_ptr<Node> node_;
  std::thread thread_;

  explicit RunningNode(NodeSettings aSettings)
    : settings_(std::move(aSettings))
  {
    auto node =
      Node::Start(settings_, [this](const NodeSettings&, Incarnation, DataPlaneCallbacks aPort) {
        auto control = std::make_unique<StaticControl>(std::move(aPort));
        control_ = control.get();
        return control;
      });
    REQUIRE(node.has_value());
    node_ = std::move(node.assume_value());
    thread_ = std::thread([this] { node_->Run(); });
  }
  RunningNode(const RunningNode&) = delete;
  RunningNode& operator=(const RunningNode&) = delete;
  ~RunningNode() { End(); }
  /// Ends the node without a drain.
  void End()
  {
    if (node_) {
      node_->Stop();
      thread_.join();
      node_.reset();
    }
  }
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

/// Routes /bells (repeatable), /deposits (at most once), /open, /deep, /private (of another client
/// account), all keyed but /open.
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
                                 std::uint16_t aTarget)
{
  NodeSettings settings;
  settings.host_ = { aHost };
  settings.dataCentre_ = { "dc1" };
  settings.region_ = { "r1" };
  settings.service_ = { aService };
  settings.target_ = { "127.0.0.1", aTarget };
  settings.randomSeed_ = 42;
  settings.drainTimeout_ = seconds(3);
  return settings;
}

/// Publishes a configuration, the given nodes as targets, and freshness for an hour to all nodes.
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
    node->control_->port_.publishConfig_(aConfig);
    node->control_->port_.publishTargets_(view);
    node->control_->port_.publishFreshness_(Clock::now() + std::chrono::hours(1));
  }
}

/// Answer of a node as the caller sees it.
struct SeenAnswer
{
  int status_ = 0;
  std::string head_;
  std::string body_;
  std::string Outcome() const { return HeadValue(head_, "Quay-Outcome"); }
};

/// A keep-alive caller.
class Caller
{
public:
  explicit Caller(std::uint16_t aPort)
    : socket_(aPort)
  {
  }
  SeenAnswer Ask(const std::string& aMethod,
                 const std::string& aPath,
                 const std::string& aHeaders = "Quay-Key: " + kTestKey + "\r\n",
                 const std::string& aBody = {})
  {
    socket_.Write(aMethod + " " + aPath + " HTTP/1.1\r\nHost: h\r\n" + aHeaders +
                  "Content-Length: " + std::to_string(aBody.size()) + "\r\n\r\n" + aBody);
    return Read();
  }
  SeenAnswer Read()
  {
    SeenAnswer answer;
    answer.head_ = socket_.ReadUntil("\r\n\r\n");
    if (answer.head_.size() < 12) {
      return answer;
    }
    answer.status_ = std::stoi(answer.head_.substr(9, 3));
    const std::string length = HeadValue(answer.head_, "Content-Length");
    answer.body_ = socket_.ReadBytes(length.empty() ? 0 : std::stoul(length));
    return answer;
  }

private:
  RawSocket socket_;
};

} // namespace peridotquay::testing
