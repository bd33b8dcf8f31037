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
  /// aReports is the port on this machine at which the target's host takes heartbeats.
  UserTarget(std::string aId, std::string aService, std::uint16_t aReports);
  UserTarget(const UserTarget&) = delete;
  UserTarget& operator=(const UserTarget&) = delete;
  ~UserTarget();

  std::uint16_t Port() const;
  /// Each request takes so long.
  void SetServiceTime(Duration aWork) { work_ = aWork; }
  /// Part of answers that are lost after the request ran: one in so many; 0 for none.
  void LoseOneAnswerIn(unsigned aCount) { loseOneIn_ = aCount; }
  void SetDraining() { draining_ = true; }
  /// Requests that it began to run, in order.
  std::vector<HttpRequest> StartedRequests();

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);
  void Report();

  std::string id_;
  std::string service_;
  std::uint16_t reports_;
  EventLoop loop_;
  std::unique_ptr<HttpFront> front_;
  std::mutex mutex_; ///< Guards ran_.
  std::vector<HttpRequest> ran_;
  std::vector<std::shared_ptr<HttpExchange>> lost_;
  std::atomic<Duration> work_{ milliseconds(5) };
  std::atomic<unsigned> loseOneIn_{ 0 };
  std::atomic<bool> draining_{ false };
  std::atomic<bool> ending_{ false };
  std::thread thread_;
  std::thread reporter_;
};

} // namespace peridotquay::standins
