// HTTP client for the one local target, with a pool of kept connections.
#pragma once

#include "peridotquay/connection/EventLoop.h"
#include "peridotquay/connection/HttpMessage.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace peridotquay {

struct TargetClientSettings
{
  Address target_{ "127.0.0.1", 0 };
  std::uint32_t maxConnections_ = 400;
  std::size_t maxBodyBytes_ = std::size_t{ 768 } * 1024;
  std::size_t maxHeaderBytes_ = std::size_t{ 16 } * 1024;
  Duration connectTimeout_ = milliseconds(500);
  Duration idleTimeout_ = seconds(30);              ///< An unused connection is closed after this.
  Duration recentlyUsedPeriod_ = milliseconds(200); ///< For requests with Reuse::kRecentlyUsed.
  /// Header that answers repeat from their request. An answer with another value is late, belongs
  /// to an earlier request and is dropped. Empty for none.
  std::string echoHeader_{};
  /// An answer without a length is whole when its connection ends in order; otherwise it counts as
  /// truncated, because a whole answer can't be told from a cut one.
  bool allowsCloseDelimited_ = false;
};

/// How a request to the target ended.
enum class TargetRequestStatus : std::uint8_t
{
  kAnswered,  ///< The whole answer is here.
  kNotSent,   ///< No connection could be had; no byte was sent.
  kLost,      ///< The connection ended before the answer began.
  kTruncated, ///< The answer began and its end can't be proved, or it is malformed or too large.
};

struct TargetResult
{
  TargetRequestStatus requestStatus_ = TargetRequestStatus::kNotSent;
  HttpResponse response_;     ///< With kAnswered.
  Duration connectTime_{ 0 }; ///< Zero on a kept connection.
};

/// Which kept connections a request may use.
enum class ConnectionReuse : std::uint8_t
{
  kAny,
  /// Only one that was used within recentlyUsedPeriod_. A target may have forgotten a connection
  /// that rested, and a request that is reset on it can't be told from one that ran.
  kRecentlyUsed
};

/// Sends each request once.
class TargetClient
{
public:
  using Done = std::function<void(TargetResult)>;

  TargetClient(EventLoop& aLoop, const TargetClientSettings& aSettings);
  TargetClient(const TargetClient&) = delete;
  TargetClient& operator=(const TargetClient&) = delete;
  ~TargetClient();

  /// Sends a request. aDone is called once, never from within Send, unless Cancel comes first.
  /// Returns a number for Cancel.
  std::uint64_t Send(const HttpRequest& aRequest,
                     Done aDone,
                     ConnectionReuse aReuse = ConnectionReuse::kAny);
  /// Ends a request by closing its connection. Returns true if a byte of it may have been sent.
  bool Cancel(std::uint64_t aRequest);
  /// Closes all kept connections that aren't in use.
  void DropIdle();
  /// Kept connections that aren't in use.
  std::size_t IdleConnectionCount() const;
  /// Connections in use or kept.
  std::size_t ConnectionCount() const;

  struct State;

private:
  std::shared_ptr<State> state_;
};

} // namespace peridotquay
