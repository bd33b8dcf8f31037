// Blocking HTTP/1.1 client for tools and tests, with or without a persistent connection.
#pragma once

#include "peridotquay/process/Error.h"
#include "peridotquay/process/Time.h"
#include "peridotquay/version/Ids.h"

#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace peridotquay::standins {

/// Answer of one exchange.
struct FetchResponse
{
  unsigned status_ = 0;
  std::map<std::string, std::string> headers_; ///< Names in lower case.
  std::string body_;
};

/// Request of one exchange.
struct FetchRequest
{
  std::string method_ = "GET";
  std::string target_ = "/"; ///< Path with query.
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  Duration timeout_ = seconds(2); ///< For the whole exchange.
};

/// A client with a persistent connection to one server.
class HttpSession
{
public:
  explicit HttpSession(const Address& aServer);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  /// Connects if there is no connection, sends a request and reads the complete answer. Closes the
  /// connection after an error, if the server asks for it, or unless aKeepAlive. Errors: those of
  /// FetchHttp.
  Result<FetchResponse> Fetch(const FetchRequest& aRequest, bool aKeepAlive = true);

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Sends a request on a new connection and reads the complete answer. Errors: kTargetUnreachable,
/// kTruncatedAnswer, kDeadlineExceeded.
Result<FetchResponse> FetchHttp(const Address& aServer, const FetchRequest& aRequest);

} // namespace peridotquay::standins
