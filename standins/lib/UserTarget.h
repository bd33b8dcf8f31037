// Stand-in for a target on the users' platform: answers requests, sends heartbeats to its host, and
// rejects requests that are addressed to another target.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpServer.h"
#include "peridotquay/connection/TargetClient.h"

#include <atomic>
#include <cstdint>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace peridotquay::standins {

/// Size of the body that a UserTarget answers to a path that ends in "/large".
inline constexpr std::size_t kLargeAnswerBytes = 600'000;

/// Bytes declared and sent of the body that a UserTarget answers to a path that ends in
/// "/unfinished". The rest never follows.
inline constexpr std::size_t kUnfinishedAnswerBytes = 768'000;
inline constexpr std::size_t kSentAnswerBytes = 700'000;

/// A request as the target worked on it.
struct TargetWork
{
  std::string id_; ///< Value of X-Request-Id.
  TimePoint startedAt_{};
  TimePoint deadline_{};   ///< By its X-Deadline-Ms; zero without one.
  TimePoint endedAt_{};    ///< Of the answer, or of the connection; zero while the target works.
  bool brokenOff_ = false; ///< The connection ended before the answer.
  bool operator==(const TargetWork&) const = default;
};

/// Serves on a free port of 127.0.0.1 and sends heartbeats from construction to destruction, each
/// on its own thread.
class UserTarget
{
public:
  /// aId is the target's instance id. aHeartbeatPort is the port on 127.0.0.1 at which the target's
  /// host receives heartbeats. A port other than 0 is bound in place of a free one.
  UserTarget(std::string aId,
             std::string aService,
             std::uint16_t aHeartbeatPort,
             std::uint16_t aPort = 0);
  UserTarget(const UserTarget&) = delete;
  UserTarget& operator=(const UserTarget&) = delete;
  ~UserTarget();

  /// Bound port.
  std::uint16_t Port() const;
  /// Sets the time from a request to its answer. A path that ends in "/work-N" takes N ms instead.
  void SetServiceTime(Duration aServiceTime) { serviceTime_ = aServiceTime; }
  /// Sets the number of requests at once that the target announces.
  void SetSlots(unsigned aSlots) { slots_ = aSlots; }
  /// Leaves every aCount-th request without an answer, although it counts as started; 0 for none.
  void LoseOneAnswerIn(unsigned aCount) { loseOneAnswerIn_ = aCount; }
  /// Makes each request first call the route aPath through the host at aHost, aCount times one
  /// after the other. The answer is 500 if one of the calls fails. Must be called before the first
  /// request.
  void CallDeeper(const Address& aHost, std::string aPath, unsigned aCount);
  /// States in each answer how many requests a second it takes; negative for none.
  void StateLimit(double aPerSecond) { statedLimit_ = aPerSecond; }
  /// Leaves the signature out of each answer.
  void OmitSignature() { omitsSignature_ = true; }
  /// States in each answer that it leaves. Its heartbeats say nothing of that.
  void StateLeaving() { statesLeaving_ = true; }
  /// States in each heartbeat that it stays cold for this long.
  void SetColdRemaining(Duration aRemaining) { coldRemaining_ = aRemaining; }
  /// Sends no more heartbeats.
  void StopHeartbeats() { heartbeatsStopped_ = true; }
  /// Body of a heartbeat, or of a leave message, of a start of this target.
  std::string ReportBody(bool aDraining, std::uint64_t aSequence, std::uint64_t aStartedMs) const;
  /// Reports the state "draining" from the next heartbeat on.
  void SetDraining() { draining_ = true; }
  /// Requests that the target started, in order.
  std::vector<HttpRequest> StartedRequests();
  /// Times at which they arrived, in the same order.
  std::vector<TimePoint> StartTimes();
  /// The work on them, in the same order.
  std::vector<TargetWork> Work();

private:
  void OnRequest(const std::shared_ptr<HttpExchange>& aExchange);
  /// Sends the rest of the deeper calls of a request, then answers it after the service time.
  void CallAndAnswer(const std::shared_ptr<HttpExchange>& aExchange,
                     std::size_t aWork,
                     unsigned aCallsLeft);
  void Answer(const std::shared_ptr<HttpExchange>& aExchange, std::size_t aWork);
  /// Time until the deadline of a request, at which its deeper calls end too.
  Duration TimeLeft(std::size_t aWork);
  Duration ServiceTime(const HttpRequest& aRequest) const;
  /// Ends work, unless it has ended already.
  void EndWork(std::size_t aIndex, bool aBrokenOff);
  /// Main function of heartbeatThread_.
  void SendHeartbeats();

  std::string id_;
  std::string service_;
  std::uint16_t heartbeatPort_;
  EventLoop loop_;
  std::unique_ptr<HttpServer> server_;
  std::unique_ptr<TargetClient> deeperCalls_; ///< Null without deeper calls.
  std::string deeperPath_;
  unsigned deeperCallCount_ = 0;
  std::mutex mutex_; ///< Guards the next three members, which tests read.
  std::vector<HttpRequest> startedRequests_;
  std::vector<TimePoint> startTimes_;
  std::vector<TargetWork> work_;
  std::vector<std::shared_ptr<HttpExchange>> lostExchanges_; ///< Kept open without an answer.
  std::atomic<Duration> serviceTime_{ milliseconds(5) };
  std::atomic<unsigned> slots_{ 50 };
  std::atomic<unsigned> loseOneAnswerIn_{ 0 };
  std::atomic<double> statedLimit_{ -1 };
  std::atomic<Duration> coldRemaining_{ Duration::zero() };
  std::atomic<bool> statesLeaving_{ false };
  std::atomic<bool> omitsSignature_{ false };
  std::atomic<bool> draining_{ false };
  std::atomic<bool> heartbeatsStopped_{ false };
  std::atomic<bool> stopping_{ false };
  std::thread thread_; ///< Runs loop_.
  std::thread heartbeatThread_;
};

} // namespace peridotquay::standins
