// Stand-in target: an HTTP/1.1 server with slots, faults and an execution log.
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

/// Serves every path as work of the service, and GET /health, GET /load, GET /executions, GET and
/// POST /faults, POST /drain as its own. Runs on one thread of the io_context it is given. Requests
/// with query parameter "tag" pass it on in their deeper calls, with "from" naming their own
/// execution, so that the call tree of one request can be rebuilt from the logs.
class TargetServer : public std::enable_shared_from_this<TargetServer>
{
public:
  TargetServer(boost::asio::io_context& aContext, TargetSettings aSettings);

  /// Opens the listening socket and starts to accept. Errors: kAddressInUse.
  Result<void> Start();

  /// Port that is listened on.
  std::uint16_t Port() const;

  /// Refuses new work, finishes the calls that run, then closes the listening socket and all
  /// connections.
  void Drain();

  /// Closes everything at once.
  void Stop();

  /// The log so far, oldest first.
  std::vector<TargetExecution> Executions() const;

private:
  using Socket = boost::asio::ip::tcp::socket;
  using Request = boost::beast::http::request<boost::beast::http::string_body>;
  using Response = boost::beast::http::response<boost::beast::http::string_body>;

  /// A request that holds a slot.
  struct ActiveRequest
  {
    explicit ActiveRequest(boost::asio::io_context& aContext);
    /// Stops its work: ends its timers and closes its deeper connections.
    void Interrupt();

    bool cancelled_ = false;
    bool expired_ = false;
    bool finished_ = false;
    bool hasSlot_ = false; ///< False while it waits in the queue.
    TimePoint deadline_ = TimePoint::max();
    boost::asio::steady_timer workTimer_;
    boost::asio::steady_timer deadlineTimer_;
    std::vector<std::shared_ptr<Socket>> deeperSockets_;
    std::uint32_t pendingDeeperCalls_ = 0;
    unsigned worstDeeperStatus_ = 200; ///< Worst status of the deeper calls.
    TargetExecution* logEntry_ = nullptr;
  };

  /// Result of Work.
  struct RequestResult
  {
    Response response_;
    bool cancelled_ = false; ///< Nothing is answered.
    bool truncate_ = false;  ///< The answer is cut in the middle.
  };

  struct LoadSample
  {
    TimePoint takenAt_;
    std::uint32_t slotsInUse_;
    std::string state_;
  };

  boost::asio::awaitable<void> Accept();
  boost::asio::awaitable<void> Serve(std::shared_ptr<Socket> aSocket);
  boost::asio::awaitable<void> AwaitThaw();
  boost::asio::awaitable<RequestResult> HandleRequest(std::shared_ptr<Socket> aSocket,
                                                      const Request& aRequest);
  boost::asio::awaitable<void> AcquireSlot(std::shared_ptr<ActiveRequest> aActive);
  void ReleaseSlot();
  static RequestResult LeaveQueue(const std::shared_ptr<Socket>& aSocket,
                                  const Request& aRequest,
                                  ActiveRequest& aActive);
  boost::asio::awaitable<void> DeeperCall(std::shared_ptr<ActiveRequest> aActive,
                                          std::string aTarget,
                                          std::string aCallToken);
  boost::asio::awaitable<bool> WriteAnswer(Socket& aSocket, Response& aResponse, bool aTruncate);
  std::optional<Response> CheckAdmission(const Request& aRequest);
  Response HandleControlRequest(const Request& aRequest);
  Response PostFaults(const Request& aRequest);
  TargetExecution& LogExecution(const Request& aRequest, ExecutionStatus aEnd);
  Duration DrawServiceTime();
  std::string State() const;
  void RecordSample();
  const LoadSample& ReportedSample();
  std::shared_ptr<Socket> PopIdleConnection();
  void CloseIfDrained();

  boost::asio::io_context& context_;
  TargetSettings settings_;
  TargetFaults faults_;
  boost::asio::ip::tcp::acceptor acceptor_;
  boost::asio::steady_timer thawTimer_; ///< Cancelled when a freeze ends.
  std::mt19937_64 random_;
  TimePoint startedAt_{};
  bool draining_ = false;
  bool closing_ = false;                 ///< Stops once unansweredRequests_ is 0.
  std::uint32_t unansweredRequests_ = 0; ///< Requests read whole and not answered.
  std::uint32_t slotsInUse_ = 0;
  std::uint64_t nextExecution_ = 1;
  std::uint64_t droppedExecutions_ = 0;
  std::deque<std::shared_ptr<ActiveRequest>> waiting_; ///< First come, first served.
  std::list<TargetExecution> executions_; ///< A list, so that entries keep their address.
  std::list<std::shared_ptr<Socket>> connections_;
  std::vector<std::shared_ptr<Socket>> idleConnections_; ///< Open connections to outbound_.
  std::deque<LoadSample> samples_; ///< Newest last; only those needed for the report lag.
};

} // namespace peridotquay::standins
