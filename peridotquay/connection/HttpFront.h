// HTTP/1.1 server for callers, for the local target's deeper calls and for operators.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpMessage.h"
#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace peridotquay {

/// Settings of one HTTP front.
struct HttpFrontSettings
{
  Address listen_{ "127.0.0.1", 0 };
  std::size_t maxBodyBytes_ = std::size_t{ 768 } * 1024;
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  std::uint32_t maxConnections_ = 4096;
  Duration readTimeout_ = seconds(5);   ///< A request must arrive whole within this.
  Duration idleTimeout_ = seconds(60);  ///< A connection between requests is closed after this.
  Duration writeTimeout_ = seconds(10); ///< An answer must be taken whole within this.
};

/// One request and the place for its answer. Used on the loop's thread only.
class HttpExchange
{
public:
  HttpExchange() = default;
  HttpExchange(const HttpExchange&) = delete;
  HttpExchange& operator=(const HttpExchange&) = delete;
  virtual ~HttpExchange() = default;

  /// Sends the answer. Only the first call has an effect, and none if the connection is gone.
  virtual void Respond(const HttpResponse& aResponse) = 0;

  HttpRequest request_;
  /// Called if the caller closes the connection before the answer. Set it in the handler.
  std::function<void()> onClosed_;
};

/// A listener and its connections. Requests of one connection are handled one after the other, in
/// order. Malformed requests are answered here and never reach the handler.
class HttpFront
{
public:
  using Handler = std::function<void(std::shared_ptr<HttpExchange>)>;

  /// Binds and starts accepting. Errors: kAddressInUse.
  static Result<std::unique_ptr<HttpFront>> Listen(EventLoop& aLoop,
                                                   const HttpFrontSettings& aSettings,
                                                   Handler aHandler);
  HttpFront(const HttpFront&) = delete;
  HttpFront& operator=(const HttpFront&) = delete;
  ~HttpFront();

  /// Port that was bound.
  std::uint16_t Port() const;
  /// Open connections.
  std::size_t ConnectionCount() const;
  /// Requests that were answered here because they were malformed, too large or too slow.
  std::uint64_t RejectedRequests() const;
  /// Answers whose last byte hasn't been handed to the system yet.
  std::size_t PendingAnswerCount() const;
  /// Answers from now on end their connection.
  void CloseAfterAnswers();

  struct State;

private:
  explicit HttpFront(std::shared_ptr<State> aState);
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
