// Stand-in for an application endpoint on the users' platform: sends liveness reports to its node,
// runs requests, and records each one that it ran.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpServer.h"

#include "standins/lib/FleetHttp.h"

#include <nlohmann/json.hpp>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <stdexcept>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::review {

/// One run of a request at an endpoint.
struct Run
{
  std::string requestId_;
  std::string method_;
  std::string path_;
  std::string endpointId_;
  TimePoint startedAt_{};
};

/// An endpoint. A path that ends in "/work-N" takes N ms, any other one 5 ms. A path that ends in
/// "/bytes-N" is answered with N bytes, any other one with a few.
class Endpoint
{
public:
  Endpoint(std::string aId,
           std::string aService,
           std::string aZone,
           std::uint16_t aPort,
           std::uint16_t aControlPort,
           unsigned aSlots)
    : id_(std::move(aId))
    , service_(std::move(aService))
    , zone_(std::move(aZone))
    , port_(aPort)
    , controlPort_(aControlPort)
    , slots_(aSlots)
    , bornMs_(static_cast<std::uint64_t>(std::chrono::duration_cast<milliseconds>(
                                           std::chrono::system_clock::now().time_since_epoch())
                                           .count()))
  {
    HttpServerSettings settings;
    settings.listen_.port_ = aPort;
    auto server =
      HttpServer::Listen(loop_, settings, [this](const std::shared_ptr<HttpExchange>& aExchange) {
        OnRequest(aExchange);
      });
    if (server.has_error()) {
      throw std::runtime_error("an endpoint can't listen");
    }
    server_ = std::move(server.assume_value());
    thread_ = std::thread([this] { loop_.Run(); });
    reports_ = std::thread([this] { SendReports(); });
  }
  Endpoint(const Endpoint&) = delete;
  Endpoint& operator=(const Endpoint&) = delete;
  ~Endpoint()
  {
    stopping_ = true;
    reports_.join();
    loop_.Stop();
    thread_.join();
    server_.reset();
  }

  const std::string& Id() const { return id_; }
  std::uint16_t Port() const { return port_; }

  std::vector<Run> Runs()
  {
    const std::lock_guard lock(mutex_);
    return runs_;
  }

private:
  static unsigned NumberBehind(const std::string& aPath,
                               const std::string& aMark,
                               unsigned aDefault)
  {
    const std::size_t at = aPath.rfind(aMark);
    return at == std::string::npos
             ? aDefault
             : static_cast<unsigned>(std::atoi(aPath.c_str() + at + aMark.size()));
  }

  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
  {
    const HttpRequest& request = aExchange->request_;
    const std::string requestId(FindHeader(request.headers_, "X-Request-Id").value_or(""));
    if (request.path_ == "/health") {
      aExchange->Respond({ 200, { { "X-Instance-Id", id_ } }, "", std::nullopt });
      return;
    }
    const auto expected = FindHeader(request.headers_, "X-Expected-Instance");
    if (expected && *expected != id_) {
      aExchange->Respond(
        { 421, { { "X-Instance-Id", id_ }, { "X-Request-Id", requestId } }, "", std::nullopt });
      return;
    }
    if (running_ >= slots_) {
      aExchange->Respond(
        { 503, { { "X-Not-Executed", "1" }, { "X-Request-Id", requestId } }, "", std::nullopt });
      return;
    }
    ++running_;
    {
      const std::lock_guard lock(mutex_);
      runs_.push_back({ requestId, request.method_, request.path_, id_, loop_.Now() });
    }
    const unsigned workMs = NumberBehind(request.path_, "/work-", 5);
    const unsigned bytes = NumberBehind(request.path_, "/bytes-", 20);
    loop_.After(milliseconds(workMs), [this, aExchange, requestId, bytes] {
      --running_;
      const HeaderList headers{ { "X-Request-Id", requestId },
                                { "X-Response-Signature", id_ + "." + requestId },
                                { "X-Server-Load",
                                  std::to_string(running_) + ",0," + std::to_string(slots_) } };
      aExchange->Respond({ 200, headers, std::string(bytes, '.'), std::nullopt });
    });
  }

  void SendReports()
  {
    // The platform's tables state a report every 1.5 s.
    for (std::uint64_t sequence = 1; !stopping_; ++sequence) {
      const nlohmann::json body = {
        { "service", service_ },    { "address", "127.0.0.1:" + std::to_string(port_) },
        { "zone", zone_ },          { "version", "v1" },
        { "capacity", slots_ },     { "state", "ready" },
        { "cold_remaining_ms", 0 }, { "sequence", sequence },
        { "born", bornMs_ }
      };
      const auto reply = standins::FetchHttp({ "127.0.0.1", controlPort_ },
                                             { "POST",
                                               "/-/Instances.Heartbeat/" + id_,
                                               { { "Content-Type", "application/json" } },
                                               body.dump() });
      const bool acknowledged = reply.has_value() && reply.assume_value().status_ == 200;
      for (int i = 0; i < (acknowledged ? 30 : 6) && !stopping_; ++i) {
        std::this_thread::sleep_for(milliseconds(50));
      }
    }
  }

  std::string id_;
  std::string service_;
  std::string zone_;
  std::uint16_t port_;
  std::uint16_t controlPort_;
  unsigned slots_;
  std::uint64_t bornMs_;
  unsigned running_ = 0; ///< On the loop's thread only.
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_; ///< Guards runs_.
  std::vector<Run> runs_;
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
  std::thread reports_;
};

} // namespace peridotquay::review
