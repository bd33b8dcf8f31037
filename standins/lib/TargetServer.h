// Stand-in target: an HTTP/1.1 server with a concurrency limit, faults and an execution log.
#pragma once

#include "standins/lib/TargetExecution.h"
#include "standins/lib/TargetSettings.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/message.hpp>
#include <boost/beast/http/string_body.hpp>

#include <coroutine>
#include <deque>
#include <list>
#include <memory>
#include <random>
#include <utility>

namespace peridotquay::standins {

/// Handles GET /health, GET /load, GET /executions, POST /faults and POST /drain itself (its
/// control paths); requests for any other path occupy a slot for the service time. All handlers run
/// on the single thread of the given io_context.
///
/// A deeper call is a call that the target makes through its node while it handles a request. It
/// carries the request's query parameter "tag", and the request's execution id in "from", so that
/// the call tree of a request can be rebuilt from the logs.
class TargetServer : public std::enable_shared_from_this<TargetServer>
{
public:
  TargetServer(boost::asio::io_context& aContext, TargetSettings aSettings);

  /// Opens the listening socket and starts to accept. Errors: kAddressInUse.
  Result<void> Start();

  /// Bound port.
  std::uint16_t Port() const;

  /// Refuses new requests, finishes the current ones, then closes the listening socket and all
  /// connections.
  void Drain();

  /// Closes the listening socket and all connections at once.
  void Stop();

  /// Execution log, oldest entry first.
  std::vector<TargetExecution> Executions() const;

private:
  using Socket = boost::asio::ip::tcp::socket;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  /// A request that holds a slot or waits for one.
  struct ActiveRequest
  {
    explicit ActiveRequest(boost::asio::io_context& aContext);
    /// Cancels its timers and closes the connections of its deeper calls.
    void Interrupt();

    bool cancelled_ = false; ///< The caller closed the connection.
    bool expired_ = false;   ///< The deadline passed.
    bool finished_ = false;
    bool hasSlot_ = false; ///< False while it waits in the queue.
    TimePoint deadline_ = TimePoint::max();
    boost::asio::steady_timer workTimer_; ///< Service time; cancelled to wake the request.
    boost::asio::steady_timer deadlineTimer_;
    std::vector<std::shared_ptr<Socket>> deeperSockets_;
    std::uint32_t pendingDeeperCalls_ = 0;
    unsigned worstDeeperStatus_ = 200; ///< HTTP status; 504 is worse than other errors.
    TargetExecution* logEntry_ = nullptr;
  };

  /// Result of HandleRequest.
  struct RequestResult
  {
    Response response_;
    bool cancelled_ = false; ///< No answer is sent.
    bool truncate_ = false;  ///< The answer is cut in the middle.
  };

  /// Load and state at a point in time.
  struct LoadSample
  {
    TimePoint takenAt_;
    std::uint32_t slotsInUse_;
    std::string state_;
  };

  boost::asio::awaitable<void> Accept();
  /// Serves one connection until it closes.
  boost::asio::awaitable<void> Serve(std::shared_ptr<Socket> aSocket);
  /// Waits until the fault TargetFaults::frozen_ ends.
  boost::asio::awaitable<void> WaitWhileFrozen();
  boost::asio::awaitable<RequestResult> HandleRequest(std::shared_ptr<Socket> aSocket,
                                                      const Request& aRequest);
  /// Waits for a slot, unless the request is cancelled or expires first; see hasSlot_.
  boost::asio::awaitable<void> AcquireSlot(std::shared_ptr<ActiveRequest> aActive);
  /// Passes the slot to the next waiting request or frees it.
  void ReleaseSlot();
  /// Refuses a request that was cancelled or expired in the queue.
  static RequestResult LeaveQueue(const std::shared_ptr<Socket>& aSocket,
                                  const Request& aRequest,
                                  ActiveRequest& aActive);
  boost::asio::awaitable<void> SendDeeperCall(std::shared_ptr<ActiveRequest> aActive,
                                              std::string aTarget,
                                              std::string aCallToken);
  boost::asio::awaitable<bool> WriteAnswer(Socket& aSocket, Response& aResponse, bool aTruncate);
  /// Returns and logs a refusal if the request can't be admitted; otherwise empty.
  std::optional<Response> CheckAdmission(const Request& aRequest);
  Response HandleControlRequest(const Request& aRequest);
  Response PostFaults(const Request& aRequest);
  TargetExecution& LogExecution(const Request& aRequest, ExecutionStatus aExecutionStatus);
  Duration DrawServiceTime();
  std::string State() const;
  void RecordSample();
  /// The sample that was current reportLag_ ago.
  const LoadSample& ReportedSample();
  /// An open idle connection to outbound_; null if there is none.
  std::shared_ptr<Socket> PopIdleConnection();
  void CloseIfDrained();

  boost::asio::io_context& context_;
  TargetSettings settings_;
  TargetFaults faults_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer faultChangeTimer_; ///< Cancelled when the faults change.
  std::mt19937_64 random_;
  TimePoint startedAt_{};
  bool draining_ = false;
  bool closing_ = false;                 ///< Drain was called: stops once unansweredRequests_ is 0.
  std::uint32_t unansweredRequests_ = 0; ///< Requests that were read and not yet answered.
  std::uint32_t slotsInUse_ = 0;
  std::uint64_t nextExecutionNumber_ = 1;
  std::uint64_t droppedExecutions_ = 0;
  std::deque<std::shared_ptr<ActiveRequest>> waiting_; ///< Without a slot, in order of arrival.
  std::list<TargetExecution> executions_; ///< ActiveRequest::logEntry_ points into the list.
  std::list<std::shared_ptr<Socket>> connections_;
  std::vector<std::shared_ptr<Socket>> idleConnections_; ///< To outbound_.
  std::deque<LoadSample> samples_; ///< Newest last; as far back as reportLag_ needs.
};

} // namespace peridotquay::standins
