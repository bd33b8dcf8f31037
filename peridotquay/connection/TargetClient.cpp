// Implementation of TargetClient on Boost.Asio and Boost.Beast's response parser.
#include "peridotquay/connection/TargetClient.h"

#include "peridotquay/connection/KeepAlive.h"
#include "peridotquay/connection/MessageBytes.h"
#include "peridotquay/connection/SocketState.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <coroutine>
#include <deque>
#include <iterator>
#include <map>
#include <optional>
#include <set>
#include <utility>
#include <vector>

namespace peridotquay {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

class TargetConnection;

// Number of requests of a connection whose echo values are remembered. A target may repeat an
// earlier answer; one that is older than this many requests isn't told from an answer of its own.
constexpr std::size_t kRememberedEchoes = 32;

// Requests of up to this size fit the receive buffer of a target that doesn't read at the moment.
constexpr std::size_t kMaxBufferedRequestBytes = std::size_t{ 32 } * 1024;

// Size of the read buffer in bytes.
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

// Returns the bytes of a request as sent to the target.
std::string SerializeRequest(const HttpRequest& aRequest, const Address& aTarget)
{
  std::string text = aRequest.method_ + " " + aRequest.path_ + " HTTP/1.1\r\n";
  if (!FindHeader(aRequest.headers_, "Host")) {
    text += "Host: " + aTarget.ip_ + ":" + std::to_string(aTarget.port_) + "\r\n";
  }
  for (const auto& [name, value] : aRequest.headers_) {
    text += name;
    text += ": ";
    text += value;
    text += "\r\n";
  }
  const bool bodiless =
    aRequest.body_.empty() && (aRequest.method_ == "GET" || aRequest.method_ == "HEAD");
  if (!bodiless) {
    text += "Content-Length: " + std::to_string(aRequest.body_.size()) + "\r\n";
  }
  text += "\r\n";
  text += aRequest.body_;
  return text;
}

} // namespace

struct TargetClient::State
{
  EventLoop& loop_;
  TargetClientSettings settings_;
  /// Idle connections, the most recently used one last.
  std::vector<std::shared_ptr<TargetConnection>> idleConnections_;
  /// Connections with a running request, by request number.
  std::map<std::uint64_t, std::shared_ptr<TargetConnection>> busyConnections_;
  std::uint64_t nextRequest_ = 1;

  State(EventLoop& aLoop, const TargetClientSettings& aSettings)
    : loop_(aLoop)
    , settings_(aSettings)
  {
  }
};

namespace {

// One connection to the target. Serves one request at a time.
class TargetConnection final : public std::enable_shared_from_this<TargetConnection>
{
public:
  explicit TargetConnection(const std::shared_ptr<TargetClient::State>& aClient)
    : client_(aClient)
    , loop_(aClient->loop_)
    , socket_(aClient->loop_.Context())
    , maxHeaderBytes_(aClient->settings_.maxHeaderBytes_)
    , maxBodyBytes_(aClient->settings_.maxBodyBytes_)
    , held_(aClient->settings_.budget_, [this] { End(TargetRequestStatus::kTruncated); })
  {
  }

  void StartRequest(std::uint64_t aNumber,
                    const HttpRequest& aRequest,
                    TargetClient::CompletionHandler aHandler)
  {
    const auto client = client_.lock();
    requestNumber_ = aNumber;
    completionHandler_ = std::move(aHandler);
    result_ = {};
    writeStarted_ = false;
    writeResult_.reset();
    endAwaitsWrite_ = false;
    answerBegan_ = false;
    allowsCloseDelimited_ = client->settings_.allowsCloseDelimited_;
    echoHeader_ = client->settings_.echoHeader_;
    expectedEcho_ =
      echoHeader_.empty() ? "" : FindHeader(aRequest.headers_, echoHeader_).value_or("");
    if (!expectedEcho_.empty()) {
      earlierEchoes_.push_back(expectedEcho_);
      if (earlierEchoes_.size() > kRememberedEchoes) {
        earlierEchoes_.pop_front();
      }
    }
    idleTimeout_ = client->settings_.idleTimeout_;
    writeBuffer_ = SerializeRequest(aRequest, client->settings_.target_);
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(client->settings_.maxHeaderBytes_));
    parser_->body_limit(client->settings_.maxBodyBytes_);
    parser_->eager(true);
    isHeadRequest_ = aRequest.method_ == "HEAD";
    parser_->skip(isHeadRequest_);
    loop_.CancelTimer(timer_);
    timer_ = 0;
    if (open_) {
      Write();
      return;
    }
    Connect(client->settings_);
  }

  // Closes the connection without calling completionHandler_.
  void Close()
  {
    closed_ = true;
    completionHandler_ = nullptr;
    held_.Release();
    loop_.CancelTimer(timer_);
    error_code ignored;
    socket_.close(ignored);
  }

  bool WriteStarted() const { return writeStarted_; }
  /// Whether the operating system has accepted all bytes of the request.
  bool IsFullyWritten() const { return writeResult_ && !*writeResult_; }
  bool HasAnswerBegun() const { return answerBegan_; }

  // Whether an earlier request had this echo value. An answer to it that the target writes once
  // more couldn't be told from the answer to the next request with it.
  bool HasCarried(const std::string& aEcho) const
  {
    return std::find(earlierEchoes_.begin(), earlierEchoes_.end(), aEcho) != earlierEchoes_.end();
  }

  // Time since the last answer. Valid only for an idle connection.
  Duration IdleTime() const { return loop_.Now() - idleSince_; }

  void StartIdle(Duration aTimeout)
  {
    idleSince_ = loop_.Now();
    timer_ = loop_.After(aTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->CloseIdle();
      }
    });
    // A pending read detects that the target closes the idle connection.
    Read();
  }

private:
  void Connect(const TargetClientSettings& aSettings)
  {
    error_code error;
    const auto ip = boost::asio::ip::make_address(aSettings.target_.ip_, error);
    connectStartedAt_ = loop_.Now();
    timer_ = loop_.After(aSettings.connectTimeout_, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->End(TargetRequestStatus::kNotSent);
      }
    });
    socket_.async_connect(tcp::endpoint(ip, aSettings.target_.port_),
                          [self = shared_from_this()](const error_code& aError) {
                            if (self->closed_) {
                              return;
                            }
                            if (aError) {
                              self->End(TargetRequestStatus::kNotSent);
                              return;
                            }
                            self->loop_.CancelTimer(self->timer_);
                            self->timer_ = 0;
                            self->open_ = true;
                            self->result_.connectTime_ =
                              self->loop_.Now() - self->connectStartedAt_;
                            error_code ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            SetKeepAlive(self->socket_.native_handle());
                            self->Write();
                          });
  }

  void Write()
  {
    writeStarted_ = true;
    const bool limited = writeBuffer_.size() <= kMaxBufferedRequestBytes;
    if (limited != unacknowledgedTimeLimited_) {
      unacknowledgedTimeLimited_ = limited;
      LimitUnacknowledgedTime(socket_.native_handle(), limited);
    }
    boost::asio::async_write(socket_,
                             boost::asio::buffer(writeBuffer_),
                             [self = shared_from_this()](const error_code& aError, std::size_t) {
                               self->OnWritten(aError);
                             });
    Read();
  }

  // A failed write doesn't end the request: an answer that the target sent early can still arrive,
  // and the read ends the request after it.
  void OnWritten(const error_code& aError)
  {
    writeResult_ = aError;
    if (endAwaitsWrite_ && !closed_ && completionHandler_) {
      endAwaitsWrite_ = false;
      OnStreamEnd();
    }
  }

  void Read()
  {
    if (reading_ || closed_) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
      boost::asio::buffer(readBuffer_),
      [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
        self->reading_ = false;
        self->OnRead(aError, aBytes);
      });
  }

  void OnRead(const error_code& aError, std::size_t aBytes)
  {
    if (closed_) {
      return;
    }
    if (!completionHandler_) {
      // An idle connection that received bytes, an end of stream or an error can't be reused.
      CloseIdle();
      return;
    }
    if (aError == boost::asio::error::eof) {
      OnStreamEnd();
      return;
    }
    if (aError) {
      EndIncomplete();
      return;
    }
    answerBegan_ = true;
    unparsed_.append(readBuffer_.data(), aBytes);
    const ParseStatus status = ParseBytes(*parser_, unparsed_, maxHeaderBytes_);
    if (HasInvalidStatus()) {
      End(TargetRequestStatus::kTruncated);
      return;
    }
    if (status == ParseStatus::kNeedsMore) {
      held_.Touch();
      ReadOnIfRoom();
      return;
    }
    if (status != ParseStatus::kComplete) {
      End(TargetRequestStatus::kTruncated);
      return;
    }
    if (AnswersOtherRequest()) {
      ParseNextAnswer();
      return;
    }
    if (MayAnswerOtherRequest()) {
      End(TargetRequestStatus::kTruncated);
      return;
    }
    // Interim answers precede the final one.
    if (parser_->get().result_int() / 100 == 1) {
      ParseNextAnswer();
      return;
    }
    FinishAnswer();
  }

  // Handles an end of the stream, which completes an answer without a length if the target caused
  // it.
  void OnStreamEnd()
  {
    if (!allowsCloseDelimited_ || !parser_->is_header_done() || !parser_->need_eof()) {
      EndIncomplete();
      return;
    }
    switch (FindStreamEnd()) {
      case StreamEnd::kAwaitsWrite:
        endAwaitsWrite_ = true;
        return;
      case StreamEnd::kByReset:
        EndIncomplete();
        return;
      case StreamEnd::kByTarget:
        break;
    }
    error_code error;
    parser_->put_eof(error);
    if (error || !parser_->is_done()) {
      EndIncomplete();
      return;
    }
    FinishLastAnswer();
  }

  enum class StreamEnd : std::uint8_t
  {
    kByTarget,   ///< The target ended its stream after all of its bytes.
    kByReset,    ///< The connection was reset or given up; bytes may be missing.
    kAwaitsWrite ///< The result of the write will tell.
  };

  // Tells what ended the stream. The operating system reports a reset once: if the write gets the
  // error, the read sees an ordinary end of stream. A write that fails after the target's own end
  // of stream gets EPIPE instead, also if a reset followed that end.
  StreamEnd FindStreamEnd()
  {
    if (!writeResult_) {
      // The write of a closed connection fails soon, while a target that has only ended its stream
      // may leave it pending for long.
      return IsConnectionClosed(socket_.native_handle()) ? StreamEnd::kAwaitsWrite
                                                         : StreamEnd::kByTarget;
    }
    const bool endedFirst = !*writeResult_ || *writeResult_ == boost::asio::error::broken_pipe;
    return endedFirst ? StreamEnd::kByTarget : StreamEnd::kByReset;
  }

  void EndIncomplete()
  {
    End(answerBegan_ ? TargetRequestStatus::kTruncated : TargetRequestStatus::kLost);
  }

  // True if the head of an answer has arrived and its status is none that an answer may have. The
  // parser accepts any three digits. Status 101 would end HTTP on this connection, which no request
  // asks for.
  bool HasInvalidStatus() const
  {
    const unsigned status = parser_->get().result_int();
    return parser_->is_header_done() && (status < 100 || status > 599 || status == 101);
  }

  // Reads on once the bytes of the whole answer are held, if it is known to be large. Until then
  // the operating system's flow control stops the target.
  void ReadOnIfRoom()
  {
    if (!parser_->is_header_done()) {
      Read();
      return;
    }
    const auto length = parser_->content_length();
    const std::size_t received = parser_->get().body().size() + unparsed_.size();
    if (held_.Bytes() > 0 || (length ? *length : received) <= kUncountedMessageBytes) {
      Read();
      return;
    }
    const std::size_t bytes = length ? static_cast<std::size_t>(*length) : maxBodyBytes_;
    // A target may be silent while it works, so its answer isn't ended to make room.
    if (held_.ReserveOrWait(bytes, [this] { Read(); })) {
      Read();
    }
  }

  // Finishes an answer that ended with its connection, unless it belongs to an earlier request. The
  // answer to the current one can't follow then.
  void FinishLastAnswer()
  {
    if (AnswersOtherRequest() || MayAnswerOtherRequest()) {
      End(TargetRequestStatus::kTruncated);
      return;
    }
    FinishAnswer();
  }

  // True if the echo header of the answer names another request than the current one.
  bool AnswersOtherRequest() const
  {
    if (expectedEcho_.empty()) {
      return false;
    }
    const auto field = parser_->get().find(echoHeader_);
    return field != parser_->get().end() &&
           std::string_view(field->value().data(), field->value().size()) != expectedEcho_;
  }

  // True if the answer names no request although the connection has carried others.
  bool MayAnswerOtherRequest() const
  {
    return !expectedEcho_.empty() && earlierEchoes_.size() > 1 &&
           parser_->get().result_int() / 100 != 1 &&
           parser_->get().find(echoHeader_) == parser_->get().end();
  }

  // Limits idleTimeout_ to less than the timeout that the target's Keep-Alive header states.
  void ReadKeepAliveTimeout()
  {
    constexpr std::string_view kName = "timeout=";
    const auto field = parser_->get().find(http::field::keep_alive);
    if (field == parser_->get().end()) {
      return;
    }
    const std::string_view text(field->value().data(), field->value().size());
    const std::size_t position = text.find(kName);
    if (position == std::string_view::npos) {
      return;
    }
    const std::string_view rest = text.substr(position + kName.size());
    const auto statedSeconds =
      ParseNumber(rest.substr(0, rest.find_first_not_of("0123456789")), 3600);
    if (statedSeconds) {
      // The connection is closed after 70% of the timeout, because a request sent while the target
      // closes it would be lost.
      idleTimeout_ = std::min<Duration>(idleTimeout_, milliseconds(*statedSeconds * 700));
    }
  }

  // Parses the answer that follows a skipped one.
  void ParseNextAnswer()
  {
    const auto client = client_.lock();
    if (!client) {
      return;
    }
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(client->settings_.maxHeaderBytes_));
    parser_->body_limit(client->settings_.maxBodyBytes_);
    parser_->eager(true);
    parser_->skip(isHeadRequest_);
    held_.Release();
    const std::string rest = std::move(unparsed_);
    unparsed_.clear();
    if (rest.empty()) {
      Read();
      return;
    }
    const std::size_t bytes = std::min(rest.size(), readBuffer_.size());
    std::copy_n(rest.begin(), bytes, readBuffer_.begin());
    unparsed_ = rest.substr(bytes);
    OnRead({}, bytes);
  }

  void FinishAnswer()
  {
    const auto length = parser_->content_length();
    // The rest of a request that isn't completely written would precede the next request.
    const bool keep =
      parser_->keep_alive() && !parser_->need_eof() && unparsed_.empty() && IsFullyWritten();
    ReadKeepAliveTimeout();
    auto message = parser_->release();
    HttpResponse& response = result_.response_;
    response.status_ = static_cast<std::uint16_t>(message.result_int());
    for (const auto& field : message) {
      response.headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    RemoveHopByHopHeaders(response.headers_);
    RemoveHeader(response.headers_, "Content-Length");
    response.body_ = std::move(message.body());
    if (isHeadRequest_ || response.status_ == 304) {
      response.declaredLength_ = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }
    open_ = keep;
    End(TargetRequestStatus::kAnswered);
  }

  // Ends the request, and keeps the connection as idle if it can be reused.
  void End(TargetRequestStatus aStatus)
  {
    const auto client = client_.lock();
    auto handler = std::move(completionHandler_);
    completionHandler_ = nullptr;
    const auto self = shared_from_this();
    if (client) {
      client->busyConnections_.erase(requestNumber_);
    }
    held_.SetNeedsOtherSide(false);
    writeBuffer_ = std::string();
    result_.requestStatus_ = aStatus;
    TargetResult result = std::move(result_);
    if (aStatus == TargetRequestStatus::kAnswered && open_ && client) {
      client->idleConnections_.push_back(self);
      StartIdle(idleTimeout_);
    } else {
      Close();
    }
    if (handler) {
      handler(std::move(result));
    }
    held_.Release();
  }

  void CloseIdle()
  {
    if (const auto client = client_.lock()) {
      std::erase(client->idleConnections_, shared_from_this());
    }
    Close();
  }

  std::weak_ptr<TargetClient::State> client_;
  EventLoop& loop_;
  tcp::socket socket_;
  std::array<char, kReadBytes> readBuffer_;
  std::string unparsed_; ///< Received bytes that parser_ hasn't taken; bounded by ParseBytes.
  std::size_t maxHeaderBytes_ = 0;
  std::size_t maxBodyBytes_ = 0;
  HeldBytes held_; ///< Bytes of the answer.
  std::string writeBuffer_;
  std::optional<http::response_parser<http::string_body>> parser_;
  TargetClient::CompletionHandler completionHandler_; ///< Set while a request is running.
  TargetResult result_;
  TimePoint connectStartedAt_{};
  TimePoint idleSince_{};
  std::uint64_t requestNumber_ = 0;
  std::uint64_t timer_ = 0;
  bool open_ = false;
  bool writeStarted_ = false;
  std::optional<error_code> writeResult_; ///< Of the request; empty while it is being written.
  bool endAwaitsWrite_ = false;           ///< The stream ended, and writeResult_ will tell how.
  bool allowsCloseDelimited_ = false;
  std::string echoHeader_;
  /// Echo values of the last requests, the current one included, oldest first.
  std::deque<std::string> earlierEchoes_;
  std::string expectedEcho_; ///< Echo header value that the answer must have; empty for any.
  Duration idleTimeout_{};
  bool answerBegan_ = false;
  bool reading_ = false;
  bool isHeadRequest_ = false;
  bool closed_ = false;
  bool unacknowledgedTimeLimited_ = false; ///< LimitUnacknowledgedTime is in force.
};

} // namespace

TargetClient::TargetClient(EventLoop& aLoop, const TargetClientSettings& aSettings)
  : state_(std::make_shared<State>(aLoop, aSettings))
{
}

TargetClient::~TargetClient()
{
  for (const auto& connection : state_->idleConnections_) {
    connection->Close();
  }
  for (const auto& [number, connection] : state_->busyConnections_) {
    connection->Close();
  }
  state_->idleConnections_.clear();
  state_->busyConnections_.clear();
}

std::uint64_t TargetClient::Send(const HttpRequest& aRequest,
                                 CompletionHandler aHandler,
                                 ConnectionReuse aReuse)
{
  const std::uint64_t number = state_->nextRequest_++;
  const TargetClientSettings& settings = state_->settings_;
  auto& idle = state_->idleConnections_;
  std::shared_ptr<TargetConnection> connection;
  const std::string echo(settings.echoHeader_.empty()
                           ? ""
                           : FindHeader(aRequest.headers_, settings.echoHeader_).value_or(""));
  // The last idle connection is the most recently used one.
  const auto reusable = std::find_if(idle.rbegin(), idle.rend(), [&](const auto& aIdle) {
    return echo.empty() || !aIdle->HasCarried(echo);
  });
  if (reusable != idle.rend() && (aReuse == ConnectionReuse::kAny ||
                                  (*reusable)->IdleTime() <= settings.recentlyUsedPeriod_)) {
    connection = *reusable;
    idle.erase(std::next(reusable).base());
  } else if (state_->busyConnections_.size() < settings.maxConnections_) {
    if (!idle.empty() &&
        state_->busyConnections_.size() + idle.size() >= settings.maxConnections_) {
      idle.front()->Close();
      idle.erase(idle.begin());
    }
    connection = std::make_shared<TargetConnection>(state_);
  } else {
    state_->loop_.Post([handler = std::move(aHandler)] { handler(TargetResult{}); });
    return number;
  }
  state_->busyConnections_.emplace(number, connection);
  connection->StartRequest(number, aRequest, std::move(aHandler));
  return number;
}

bool TargetClient::Cancel(std::uint64_t aRequest)
{
  const auto entry = state_->busyConnections_.find(aRequest);
  if (entry == state_->busyConnections_.end()) {
    return false;
  }
  const auto connection = entry->second;
  state_->busyConnections_.erase(entry);
  const bool writeStarted = connection->WriteStarted();
  connection->Close();
  return writeStarted;
}

bool TargetClient::HasAnswerBegun(std::uint64_t aRequest) const
{
  const auto entry = state_->busyConnections_.find(aRequest);
  return entry != state_->busyConnections_.end() && entry->second->HasAnswerBegun();
}

void TargetClient::CloseIdleConnections()
{
  for (const auto& connection : state_->idleConnections_) {
    connection->Close();
  }
  state_->idleConnections_.clear();
}

std::size_t TargetClient::IdleConnectionCount() const
{
  return state_->idleConnections_.size();
}

std::size_t TargetClient::ConnectionCount() const
{
  return state_->idleConnections_.size() + state_->busyConnections_.size();
}

} // namespace peridotquay
