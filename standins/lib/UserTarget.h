// Stand-in for a target on the users' platform: answers requests, sends heartbeats to its host, and
// rejects requests that are addressed to another target.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpServer.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::standins {

/// Serves on a free port of 127.0.0.1 and sends heartbeats from construction to destruction, each
/// on its own thread.
class UserTarget
{
public:
  /// aId is the target's instance id. aHeartbeatPort is the port on 127.0.0.1 at which the target's
  /// host receives heartbeats.
  UserTarget(std::string aId, std::string aService, std::uint16_t aHeartbeatPort);
  UserTarget(const UserTarget&) = delete;
  UserTarget& operator=(const UserTarget&) = delete;
  ~UserTarget();

  /// Bound port.
  std::uint16_t Port() const;
  /// Sets the time from a request to its answer.
  void SetServiceTime(Duration aServiceTime) { serviceTime_ = aServiceTime; }
  /// Leaves every aCount-th request without an answer, although it counts as started; 0 for none.
  void LoseOneAnswerIn(unsigned aCount) { loseOneAnswerIn_ = aCount; }
  /// States in each answer how many requests a second it takes; negative for none.
  void StateLimit(double aPerSecond) { statedLimit_ = aPerSecond; }
  /// States in each answer that it leaves. Its heartbeats say nothing of that.
  void StateLeaving() { statesLeaving_ = true; }
  /// Reports the state "draining" from the next heartbeat on.
  void SetDraining() { draining_ = true; }
  /// Requests that the target started, in order.
  std::vector<HttpRequest> StartedRequests();
  /// Times at which they arrived, in the same order.
  std::vector<TimePoint> StartTimes();

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// Main function of heartbeatThread_.
  void SendHeartbeats();

  std::string id_;
  std::string service_;
  std::uint16_t heartbeatPort_;
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::mutex mutex_; ///< Guards startedRequests_ and startTimes_, which tests read.
  std::vector<HttpRequest> startedRequests_;
  std::vector<TimePoint> startTimes_;
  std::vector<std::shared_ptr<HttpExchange>> lostExchanges_; ///< Kept open without an answer.
  std::atomic<Duration> serviceTime_{ milliseconds(5) };
  std::atomic<unsigned> loseOneAnswerIn_{ 0 };
  std::atomic<double> statedLimit_{ -1 };
  std::atomic<bool> statesLeaving_{ false };
  std::atomic<bool> draining_{ false };
  std::atomic<bool> stopping_{ false };
  std::thread thread_; ///< Runs loop_.
  std::thread heartbeatThread_;
};

} // namespace peridotquay::standins
