// Stand-in for a target on the users' platform: runs requests, reports to its host, and checks that
// a request was meant for it.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpFront.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::standins {

/// Serves and reports on its own threads from construction to destruction.
class UserTarget
{
public:
  /// aHeartbeatPort is the port on this machine at which the target's host takes heartbeats.
  UserTarget(std::string aId, std::string aService, std::uint16_t aHeartbeatPort);
  UserTarget(const UserTarget&) = delete;
  UserTarget& operator=(const UserTarget&) = delete;
  ~UserTarget();

  std::uint16_t Port() const;
  /// Each request takes so long.
  void SetServiceTime(Duration aServiceTime) { serviceTime_ = aServiceTime; }
  /// Part of answers that are lost after the request ran: one in so many; 0 for none.
  void LoseOneAnswerIn(unsigned aCount) { loseOneAnswerIn_ = aCount; }
  void SetDraining() { draining_ = true; }
  /// Requests that it began to run, in order.
  std::vector<HttpRequest> StartedRequests();

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);
  void SendHeartbeats();

  std::string id_;
  std::string service_;
  std::uint16_t heartbeatPort_;
  EventLoop loop_;
  std::unique_ptr<HttpFront> front_;
  std::mutex mutex_; ///< Guards startedRequests_.
  std::vector<HttpRequest> startedRequests_;
  std::vector<std::shared_ptr<HttpExchange>> lostExchanges_;
  std::atomic<Duration> serviceTime_{ milliseconds(5) };
  std::atomic<unsigned> loseOneAnswerIn_{ 0 };
  std::atomic<bool> draining_{ false };
  std::atomic<bool> stopping_{ false };
  std::thread thread_;
  std::thread heartbeatThread_;
};

} // namespace peridotquay::standins
