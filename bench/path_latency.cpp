// Measures the latency that two hosts add to a request. The same requests are sent at a fixed rate
// directly to a target, and through a first host and a guard. Both paths alternate in short slices,
// so that they see the same machine load. Nodes, target and callers are threads of this process and
// use the loopback interface.
#include "peridotquay/connection/HttpServer.h"
#include "peridotquay/process/Node.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <arpa/inet.h>
#include <glog/logging.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <atomic>
#include <cstdio>
#include <iostream>
#include <string>
#include <thread>
#include <unistd.h>
#include <vector>

ABSL_FLAG(double, rate, 253, "requests per second");
ABSL_FLAG(int, seconds, 10, "seconds measured for each of the two paths");
ABSL_FLAG(int, body_bytes, 200, "bytes of each request and response body");

using namespace peridotquay;

namespace {

constexpr int kConnections = 8;
constexpr Duration kSliceDuration = milliseconds(500);
const std::string kKey = "bench-key";

// Control plane that grants every request for tokens.
class GrantingControlPlane final : public ControlPlane
{
public:
  explicit GrantingControlPlane(DataPlaneCallbacks aCallbacks)
    : callbacks_(std::move(aCallbacks))
  {
  }
  void OnPeerMessage(const Hello& /*aFrom*/,
                     const Address& /*aPeer*/,
                     PeerMessage /*aMessage*/) override
  {
  }
  void OnDatagram(const Address& /*aFrom*/, PeerMessage /*aMessage*/) override {}
  void RequestTokens(ShareRequest aRequest) override
  {
    if (aRequest.wanted_ > 0) {
      callbacks_.deliverGrant_(
        { aRequest.nonce_, aRequest.clientAccount_, ++lastGrantId_, aRequest.wanted_, 1000, 0 },
        Clock::now());
    }
  }
  void AnnounceTarget(TargetState /*aState*/, std::uint32_t /*aSlots*/, double /*aLoad*/) override
  {
  }
  void AnnounceLeft(const HostId& /*aSuccessor*/) override {}
  ControlStatus Status() const override { return {}; }

  DataPlaneCallbacks callbacks_;

private:
  std::atomic<std::uint64_t> lastGrantId_{ 0 };
};

struct BenchNode
{
  GrantingControlPlane* control_ = nullptr;
  std::unique_ptr<Node> node_;
  std::thread thread_;

  BenchNode(const std::string& aHost, const std::string& aService, std::uint16_t aTargetPort)
  {
    NodeSettings settings;
    settings.host_ = { aHost };
    settings.dataCentre_ = { "dc" };
    settings.region_ = { "region" };
    settings.service_ = { aService };
    settings.target_ = { "127.0.0.1", aTargetPort };
    auto node =
      Node::Start(settings,
                  [this](const NodeSettings&,
                         Incarnation,
                         DataPlaneCallbacks aCallbacks) -> Result<std::unique_ptr<ControlPlane>> {
                    auto control = std::make_unique<GrantingControlPlane>(std::move(aCallbacks));
                    control_ = control.get();
                    return std::unique_ptr<ControlPlane>(std::move(control));
                  });
    if (node.has_error()) {
      std::cerr << Describe(node.assume_error()) << "\n";
      std::exit(1);
    }
    node_ = std::move(node.assume_value());
    thread_ = std::thread([this] { node_->Run(); });
  }
  BenchNode(const BenchNode&) = delete;
  BenchNode& operator=(const BenchNode&) = delete;
  ~BenchNode()
  {
    node_->Stop();
    thread_.join();
  }
};

int Connect(std::uint16_t aPort)
{
  const int descriptor = ::socket(AF_INET, SOCK_STREAM, 0);
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(aPort);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof(address)) != 0) {
    std::perror("connect");
    std::exit(1);
  }
  const int on = 1;
  ::setsockopt(descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return descriptor;
}

// Sends a request and reads the complete response. Returns false if the status isn't 200 or the
// connection fails.
bool Exchange(int aSocket, const std::string& aRequest, std::size_t aBodyBytes)
{
  if (::send(aSocket, aRequest.data(), aRequest.size(), MSG_NOSIGNAL) !=
      static_cast<ssize_t>(aRequest.size())) {
    return false;
  }
  std::string response;
  std::vector<char> bytes(65536);
  while (true) {
    const auto received = ::recv(aSocket, bytes.data(), bytes.size(), 0);
    if (received <= 0) {
      return false;
    }
    response.append(bytes.data(), static_cast<std::size_t>(received));
    const std::size_t end = response.find("\r\n\r\n");
    if (end != std::string::npos && response.size() >= end + 4 + aBodyBytes) {
      return response.compare(0, 12, "HTTP/1.1 200") == 0;
    }
  }
}

struct Samples
{
  std::vector<double> latenciesMs_;
  int failed_ = 0;
};

// Sends requests on one connection at a fixed interval. Latency is measured from the time of
// sending rather than from the due time, because the delay of the timer is the same on both paths
// and exceeds the added latency.
void RunConnection(std::uint16_t aPort,
                   const std::string& aRequest,
                   std::size_t aBodyBytes,
                   TimePoint aStart,
                   TimePoint aEnd,
                   Duration aInterval,
                   Samples& aSamples)
{
  const int socket = Connect(aPort);
  for (TimePoint due = aStart; due < aEnd; due += aInterval) {
    std::this_thread::sleep_until(due);
    const TimePoint sent = Clock::now();
    const bool succeeded = Exchange(socket, aRequest, aBodyBytes);
    if (succeeded) {
      aSamples.latenciesMs_.push_back(ToSeconds(Clock::now() - sent) * 1000);
    } else {
      ++aSamples.failed_;
    }
  }
  ::close(socket);
}

void RunSlice(std::uint16_t aPort,
              const std::string& aRequest,
              std::size_t aBodyBytes,
              double aRate,
              Samples& aSamples)
{
  const auto interval =
    std::chrono::duration_cast<Duration>(std::chrono::duration<double>(kConnections / aRate));
  const TimePoint start = Clock::now() + milliseconds(5);
  std::vector<Samples> samplesByConnection(kConnections);
  std::vector<std::thread> threads;
  threads.reserve(kConnections);
  for (int i = 0; i < kConnections; ++i) {
    threads.emplace_back([&, i] {
      RunConnection(aPort,
                    aRequest,
                    aBodyBytes,
                    start + interval * i / kConnections,
                    start + kSliceDuration,
                    interval,
                    samplesByConnection.at(static_cast<std::size_t>(i)));
    });
  }
  for (auto& thread : threads) {
    thread.join();
  }
  for (const auto& connectionSamples : samplesByConnection) {
    aSamples.latenciesMs_.insert(aSamples.latenciesMs_.end(),
                                 connectionSamples.latenciesMs_.begin(),
                                 connectionSamples.latenciesMs_.end());
    aSamples.failed_ += connectionSamples.failed_;
  }
}

double Percentile(std::vector<double>& aValues, double aFraction)
{
  if (aValues.empty()) {
    return 0;
  }
  std::sort(aValues.begin(), aValues.end());
  return aValues.at(static_cast<std::size_t>(aFraction * static_cast<double>(aValues.size() - 1)));
}

void Print(const char* aName, Samples& aSamples)
{
  std::printf("%-8s requests %zu failed %d p50 %.3f ms p90 %.3f ms p99 %.3f ms\n",
              aName,
              aSamples.latenciesMs_.size(),
              aSamples.failed_,
              Percentile(aSamples.latenciesMs_, 0.5),
              Percentile(aSamples.latenciesMs_, 0.9),
              Percentile(aSamples.latenciesMs_, 0.99));
}

std::shared_ptr<Config> BenchConfig()
{
  auto config = std::make_shared<Config>();
  config->version_ = 1;
  config->clientAccounts_[{ "account" }] = { { "account" }, 100000, 100000 };
  config->keys_[KeyDigest(kKey)] = { "account" };
  Route route;
  route.id_ = { "route" };
  route.prefix_ = "/work";
  route.service_ = { "service" };
  config->routes_.push_back(route);
  return config;
}

} // namespace

int main(int aCount, char** aArguments)
{
  absl::ParseCommandLine(aCount, aArguments);
  FLAGS_minloglevel = 2;
  google::InitGoogleLogging(aArguments[0]);
  const auto bodyBytes = static_cast<std::size_t>(absl::GetFlag(FLAGS_body_bytes));
  const std::string body(bodyBytes, 'x');

  EventLoop targetLoop;
  auto target =
    HttpServer::Listen(targetLoop, {}, [&](const std::shared_ptr<HttpExchange>& aExchange) {
      const bool health = aExchange->request_.path_ == "/health";
      aExchange->Respond(
        { 200, {}, health ? std::string(R"({"state":"ready"})") : body, std::nullopt });
    });
  if (target.has_error()) {
    std::cerr << Describe(target.assume_error()) << "\n";
    return 1;
  }
  const std::uint16_t targetPort = target.assume_value()->Port();
  std::thread targetThread([&] { targetLoop.Run(); });
  Samples direct;
  Samples viaHosts;
  {
    BenchNode first("first", "front", targetPort);
    BenchNode guard("guard", "service", targetPort);
    auto view = std::make_shared<TargetView>();
    Target guarded;
    guarded.host_ = { "guard" };
    guarded.peer_ = { "127.0.0.1", guard.node_->Ports().peers_ };
    guarded.service_ = { "service" };
    view->targets_[guarded.service_] = { guarded };
    view->hosts_[guarded.host_] = guarded.peer_;
    for (const auto* node : { &first, &guard }) {
      node->control_->callbacks_.publishConfig_(BenchConfig());
      node->control_->callbacks_.publishTargets_(view);
      node->control_->callbacks_.publishFreshness_(Clock::now() + std::chrono::hours(1));
    }
    const std::string request = "POST /work HTTP/1.1\r\nHost: h\r\nQuay-Key: " + kKey +
                                "\r\nContent-Length: " + std::to_string(bodyBytes) + "\r\n\r\n" +
                                body;
    const double rate = absl::GetFlag(FLAGS_rate);
    const std::uint16_t callersPort = first.node_->Ports().callers_;
    Samples warmUp;
    RunSlice(callersPort, request, bodyBytes, rate, warmUp);
    RunSlice(targetPort, request, bodyBytes, rate, warmUp);
    const int slices =
      static_cast<int>(absl::GetFlag(FLAGS_seconds) * (seconds(1) / kSliceDuration));
    for (int i = 0; i < slices; ++i) {
      RunSlice(targetPort, request, bodyBytes, rate, direct);
      RunSlice(callersPort, request, bodyBytes, rate, viaHosts);
    }
  }
  targetLoop.Post([&] { targetLoop.Stop(); });
  targetThread.join();
  Print("direct", direct);
  Print("through", viaHosts);
  std::printf("added    p50 %.3f ms p90 %.3f ms p99 %.3f ms\n",
              Percentile(viaHosts.latenciesMs_, 0.5) - Percentile(direct.latenciesMs_, 0.5),
              Percentile(viaHosts.latenciesMs_, 0.9) - Percentile(direct.latenciesMs_, 0.9),
              Percentile(viaHosts.latenciesMs_, 0.99) - Percentile(direct.latenciesMs_, 0.99));
  return viaHosts.failed_ == 0 ? 0 : 1;
}
