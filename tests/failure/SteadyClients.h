// Clients that load a fleet while a test changes it.
#pragma once

#include "tests/failure/UserFleet.h"

#include <atomic>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::testing {

/// Clients that send requests to hosts at a steady rate each, until they are destroyed.
class SteadyClients
{
public:
  SteadyClients(UserFleet& aFleet, const std::vector<std::size_t>& aHosts, Duration aInterval)
  {
    for (const std::size_t host : aHosts) {
      threads_.emplace_back([this, &aFleet, host, aInterval] {
        for (int i = 0; !stopping_; ++i) {
          const std::string id = std::to_string(host) + "-" + std::to_string(i);
          const auto reply = aFleet.SendRequest(host, "/read/1", id);
          served_ += reply.status_ == 200 ? 1 : 0;
          ++sent_;
          if (reply.headers_.contains("server-leaving")) {
            const std::lock_guard lock(mutex_);
            toldOfLeaving_.emplace(host, i);
          }
          std::this_thread::sleep_for(aInterval);
        }
      });
    }
  }
  SteadyClients(const SteadyClients&) = delete;
  SteadyClients& operator=(const SteadyClients&) = delete;
  ~SteadyClients()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      thread.join();
    }
  }

  int Sent() const { return sent_; }
  int Served() const { return served_; }
  /// Number of the first request of each host whose answer stated that its target leaves.
  std::map<std::size_t, int> ToldOfLeaving() const
  {
    const std::lock_guard lock(mutex_);
    return toldOfLeaving_;
  }

private:
  std::atomic<bool> stopping_{ false };
  std::atomic<int> sent_{ 0 };
  std::atomic<int> served_{ 0 };
  mutable std::mutex mutex_; ///< Guards toldOfLeaving_.
  std::map<std::size_t, int> toldOfLeaving_;
  std::vector<std::thread> threads_;
};

} // namespace peridotquay::testing
