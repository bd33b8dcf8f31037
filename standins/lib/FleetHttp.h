// Blocking HTTP/1.1 exchanges, over a fresh or a kept connection, for tools and tests.
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

struct FetchResponse
{
  unsigned status_ = 0;
  std::map<std::string, std::string> headers_; ///< Names in lower case.
  std::string body_;
};

/// What is sent with one exchange.
struct FetchRequest
{
  std::string method_ = "GET";
  std::string target_ = "/";
  std::vector<std::pair<std::string, std::string>> headers_;
  std::string body_;
  Duration timeout_ = seconds(2); ///< For the whole exchange.
};

/// A client that keeps its connection until one side closes it.
class HttpSession
{
public:
  explicit HttpSession(const Address& aServer);
  HttpSession(const HttpSession&) = delete;
  HttpSession& operator=(const HttpSession&) = delete;
  ~HttpSession();

  /// Connects if there is no connection, sends a request and reads the whole answer. Errors as
  /// FetchHttp; after one the connection is closed.
  Result<FetchResponse> Fetch(const FetchRequest& aQuery, bool aKeep = true);

private:
  struct State;
  std::unique_ptr<State> state_;
};

/// Sends a request on a fresh connection and reads the whole answer. Errors: kTargetUnreachable,
/// kTruncatedAnswer, kDeadlineExceeded.
Result<FetchResponse> FetchHttp(const Address& aServer, const FetchRequest& aQuery);

} // namespace peridotquay::standins
