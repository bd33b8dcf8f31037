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

/// An HTTP response.
struct FetchResponse
{
  unsigned status_ = 0;
  std::map<std::string, std::string> headers_; ///< Names in lower case.
  std::string body_;
};

/// An HTTP request.
struct FetchRequest
{
  std::string method_ = "GET";
  std::string target_ = "/"; ///< Request target: path with query.
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  Duration timeout_ = seconds(2); ///< From connecting to the end of the response.
};

/// A client with a persistent connection to one server.
class HttpSession
{
public:
  explicit HttpSession(const Address& aServer);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  /// Connects if there is no connection, sends a request and reads the complete response. Closes
  /// the connection after an error, if the server asks for it, or if aKeepAlive is false. Errors:
  /// those of FetchHttp.
  Result<FetchResponse> Fetch(const FetchRequest& aRequest, bool aKeepAlive = true);
  /// Whether at least one byte of the last response was read.
  bool HasReadResponse() const;

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Sends a request on a new connection and reads the complete response. Errors: kTargetUnreachable
/// if the request can't be sent, kTruncatedAnswer, kDeadlineExceeded.
Result<FetchResponse> FetchHttp(const Address& aServer, const FetchRequest& aRequest);

} // namespace peridotquay::standins
