// HTTP/1.1 server. Serves callers, the calls that the local target makes to other services, and
// operators.
#pragma once

#include "peridotquay/connection/ByteBudget.h"
#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpMessage.h"
#include "peridotquay/connection/UnansweredRequest.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridotquay {

/// Maximum number of connections of a server that few clients use: operators, health checks and the
/// local target's heartbeats. Keeps descriptors for callers, targets and peers.
inline constexpr std::uint32_t kMaxControlConnections = 64;

/// Settings of one HttpServer.
struct HttpServerSettings
{
  Address listen_{ "127.0.0.1", 0 };
  std::size_t maxBodyBytes_ = std::size_t{ 768 } * 1024;
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  std::uint32_t maxConnections_ = 4096;
  Duration readTimeout_ = seconds(5);   ///< Limits receiving a whole request.
  Duration idleTimeout_ = seconds(60);  ///< A connection without a request is closed after this.
  Duration writeTimeout_ = seconds(10); ///< Limits sending a whole answer.
  std::string requestIdHeader_; ///< Header with the id in UnansweredRequest; empty for none.
  /// Counts requests until they are answered, and answers until they are sent. A request that
  /// doesn't fit is refused with kLimitReached. Null for no limit.
  std::shared_ptr<ByteBudget> budget_{};
  /// Maximum number of requests of one connection that have begun and whose answers aren't sent
  /// yet. With 1, each request begins when the answer before it was sent.
  std::uint32_t maxPipelined_ = 1;
  /// Whether a request may run at the same time as others of its connection. Called for a request
  /// that arrives while earlier ones are outstanding, with its head only. HttpExchange::mayOverlap_
  /// tells the same of a request that came first. Null if none may.
  std::function<bool(const HttpRequest&)> mayOverlap_{};
};

/// One request and the connection to answer it on. Used only on the loop's thread.
class HttpExchange
{
public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  /// Sends the answer. No effect after the first call or after the connection has closed.
  virtual void Respond(const HttpResponse& aResponse) = 0;

  HttpRequest request_;
  std::uint32_t attempts_ = 0; ///< Attempts to pass the request on. The handler may set it.
  /// Whether requests behind this one may begin before it is answered. The handler may set it
  /// before it returns. It isn't taken from HttpServerSettings::mayOverlap_ for a request that came
  /// first, so that a connection without pipelining doesn't pay for the look-up.
  bool mayOverlap_ = false;
  /// Called if the connection closes before Respond was called. The handler may set it.
  std::function<void()> onClosed_;
};

/// What a server holds at one time.
struct HttpServerContent
{
  std::size_t connections_ = 0;
  std::size_t partlyRead_ = 0;  ///< Requests of which some bytes were read.
  std::size_t handled_ = 0;     ///< Requests that were read and have no answer yet.
  std::size_t answering_ = 0;   ///< Answers that the operating system hasn't completely accepted.
  std::size_t unreadBytes_ = 0; ///< Received by the operating system, but not read.
  bool operator==(const HttpServerContent&) const = default;
};

/// Counts of pipelined requests since the start.
struct PipelineCounts
{
  std::uint64_t begunBehind_ = 0;   ///< Requests that began before an earlier one was answered.
  std::uint64_t waitedAnswers_ = 0; ///< Answers that were ready before an earlier one.
  std::uint64_t heldForOrder_ = 0;  ///< Requests that waited because they or others can't overlap.
  std::uint64_t heldForLimit_ = 0;  ///< Requests that waited because of a limit.
  bool operator==(const PipelineCounts&) const = default;
};

/// A listening socket and its connections. Requests of one connection begin in order, several at a
/// time if the settings allow it, and are answered in order. Invalid requests are answered with an
/// error and never reach the handler.
class HttpServer
{
public:
  /// Handles one valid request.
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Receives each request that ends without a complete answer, before onClosed_ is called.
  using UnansweredHandler = std::function<void(const UnansweredRequest&)>;

  /// Listens and starts accepting connections. Errors: kOutOfRange, kAddressInUse.
  static Result<std::unique_ptr<HttpServer>> Listen(EventLoop& aLoop,
                                                    const HttpServerSettings& aSettings,
                                                    Handler aHandler,
                                                    UnansweredHandler aUnansweredHandler = nullptr);
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;
  ~HttpServer();

  /// The bound port.
  std::uint16_t Port() const;
  /// Number of open connections.
  std::size_t ConnectionCount() const;
  /// Number of requests answered with an error without calling the handler: malformed, too large,
  /// too slow, or on a connection above maxConnections_.
  std::uint64_t RejectedRequests() const;
  PipelineCounts Pipelining() const;
  /// Number of answers that the operating system hasn't completely accepted yet, including those
  /// that wait for earlier ones.
  std::size_t PendingAnswerCount() const;
  /// Size of these answers.
  std::size_t UnsentAnswerBytes() const;
  /// Number of connections on which a request has begun to arrive and isn't complete.
  std::size_t UnfinishedRequestCount() const;
  /// What the open connections hold.
  HttpServerContent Content() const;
  /// From now on, the answer of the last request that has begun ends its connection.
  void CloseAfterAnswers();
  /// Stops listening and closes each connection without a request. Requests that have arrived are
  /// handled and answered first, also those on connections that wait to be accepted. To be repeated
  /// until ConnectionCount() is 0, because a connection that had a request may become idle.
  void Finish();

  struct State;

private:
  explicit HttpServer(std::shared_ptr<State> aState);
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
