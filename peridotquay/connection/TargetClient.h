// HTTP/1.1 client for one target, with a pool of idle connections.
#pragma once

#include "peridotquay/connection/ByteBudget.h"
#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridotquay {

/// Settings of a TargetClient.
struct TargetClientSettings
{
  Address target_{ "127.0.0.1", 0 };
  std::uint32_t maxConnections_ = 400;
  std::size_t maxBodyBytes_ = std::size_t{ 768 } * 1024;
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  Duration connectTimeout_ = milliseconds(500);
  Duration idleTimeout_ = seconds(30);              ///< An idle connection is closed after this.
  Duration recentlyUsedPeriod_ = milliseconds(200); ///< For ConnectionReuse::kRecentlyUsed.
  /// Header that the target copies from the request to the answer. An answer with another value
  /// belongs to an earlier request and is dropped. On a connection that has carried other requests,
  /// an answer without the header is incomplete, because it may belong to one of them. Empty for
  /// none.
  std::string echoHeader_{};
  /// True: an answer without a length is complete when the target closes the connection cleanly.
  /// False: it counts as truncated, because a complete answer can't be told from a truncated one.
  bool allowsCloseDelimited_ = false;
  /// Counts answers until their handlers return. One that doesn't fit isn't read on until there is
  /// room. Null for no limit.
  std::shared_ptr<ByteBudget> budget_{};
};

/// How a request to the target ended.
enum class TargetRequestStatus : std::uint8_t
{
  kAnswered,  ///< The answer is complete.
  kNotSent,   ///< No connection was available; no byte was sent.
  kLost,      ///< The connection ended before the answer began.
  kTruncated, ///< The answer began, and it is incomplete, malformed or too large.
};

/// Result of a request to the target.
struct TargetResult
{
  TargetRequestStatus requestStatus_ = TargetRequestStatus::kNotSent;
  HttpResponse response_;     ///< Set if requestStatus_ is kAnswered.
  Duration connectTime_{ 0 }; ///< Zero if an idle connection was reused.
};

/// Which idle connections a request may reuse.
enum class ConnectionReuse : std::uint8_t
{
  kAny,
  /// Only a connection that was used within recentlyUsedPeriod_. The target may have dropped one
  /// that was idle for longer. A request on it would be reset without showing whether it ran.
  kRecentlyUsed
};

/// Sends each request once and never retries. Used only on the loop's thread.
class TargetClient
{
public:
  /// Receives the result of a request.
  using CompletionHandler = std::function<void(TargetResult)>;

  TargetClient(EventLoop& aLoop, const TargetClientSettings& aSettings);
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;
  ~TargetClient();

  /// Sends a request and returns its number for Cancel. aHandler is called once, but not from
  /// within Send and not after Cancel.
  std::uint64_t Send(const HttpRequest& aRequest,
                     CompletionHandler aHandler,
                     ConnectionReuse aReuse = ConnectionReuse::kAny);
  /// Cancels a request by closing its connection. Returns true if a byte of it may have been sent.
  bool Cancel(std::uint64_t aRequest);
  /// Whether a part of the answer to a running request has arrived.
  bool HasAnswerBegun(std::uint64_t aRequest) const;
  /// Closes all idle connections.
  void CloseIdleConnections();
  /// Number of idle connections.
  std::size_t IdleConnectionCount() const;
  /// Number of connections, busy and idle.
  std::size_t ConnectionCount() const;

  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
