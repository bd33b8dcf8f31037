// Implementation of HttpServer on Boost.Asio and Boost.Beast's parser. The head of a request is
// checked as raw bytes before it is parsed, because the parser joins folded lines and merges
// repeated headers.
#include "peridotquay/connection/HttpServer.h"

#include "peridotquay/connection/KeepAlive.h"
#include "peridotquay/connection/MessageBytes.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <algorithm>
#include <array>
#include <coroutine>
#include <optional>
#include <set>
#include <utility>

namespace peridotquay {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

namespace {

class Session;

// Size of the read buffer in bytes.
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

// Time after which accepting is tried again when there are too many connections or descriptors.
constexpr Duration kAcceptRetryInterval = milliseconds(20);

// Time after which a caller may repeat a request that was refused for lack of memory.
constexpr std::uint32_t kFullRetryAfterMs = 1000;

// Time that a caller has to close its side of a connection that the server has closed.
constexpr Duration kCloseTimeout = milliseconds(500);

std::string ToLower(std::string_view aText)
{
  std::string text(aText);
  std::transform(text.begin(), text.end(), text.begin(), [](char aCharacter) {
    return aCharacter >= 'A' && aCharacter <= 'Z' ? static_cast<char>(aCharacter + 32) : aCharacter;
  });
  return text;
}

// True for headers that must not be repeated, because HTTP implementations differ in which value
// they use.
bool MustBeUnique(const std::string& aLowerName)
{
  return aLowerName == "content-length" || aLowerName == "transfer-encoding" ||
         aLowerName == "host" || aLowerName == "expect" || aLowerName.starts_with("quay-");
}

// Checks a raw request head including its final empty line. Returns the error, or none if it is
// valid.
std::optional<ErrorCode> CheckHead(std::string_view aHead)
{
  std::set<std::string> seen;
  bool isRequestLine = true;
  while (!aHead.empty()) {
    const std::size_t end = aHead.find("\r\n");
    if (end == std::string_view::npos) {
      return ErrorCode::kMalformedRequest;
    }
    const std::string_view line = aHead.substr(0, end);
    aHead.remove_prefix(end + 2);
    // HTTP implementations differ in whether a single CR, LF or NUL ends a line.
    if (line.find_first_of(std::string_view("\r\n\0", 3)) != std::string_view::npos) {
      return ErrorCode::kMalformedRequest;
    }
    if (isRequestLine || line.empty()) {
      isRequestLine = false;
      continue;
    }
    const std::size_t colon = line.find(':');
    // A line that begins with a space would continue the previous line (obsolete line folding).
    if (colon == std::string_view::npos || colon == 0 ||
        line.substr(0, colon).find_first_of(" \t") != std::string_view::npos) {
      return ErrorCode::kMalformedRequest;
    }
    const std::string name = ToLower(line.substr(0, colon));
    if (MustBeUnique(name) && !seen.insert(name).second) {
      return ErrorCode::kConflictingHeaders;
    }
    // The parser accepts a list of equal lengths, which other implementations reject or misread.
    const std::size_t valueStart = std::min(line.find_first_not_of(" \t", colon + 1), line.size());
    if (name == "content-length" &&
        line.find_first_not_of("0123456789", valueStart) != std::string_view::npos) {
      return ErrorCode::kConflictingHeaders;
    }
  }
  if (seen.contains("content-length") && seen.contains("transfer-encoding")) {
    return ErrorCode::kConflictingHeaders;
  }
  return std::nullopt;
}

} // namespace

struct HttpServer::State
{
  EventLoop& loop_;
  HttpServerSettings settings_;
  Handler handler_;
  UnansweredHandler unansweredHandler_; ///< May be null.
  tcp::acceptor acceptor_;
  std::set<std::shared_ptr<Session>> sessions_;
  std::uint64_t rejectedRequests_ = 0;
  std::size_t pendingAnswers_ = 0;
  bool closeAfterAnswers_ = false;
  bool finishing_ = false; ///< Connections are closed as soon as they have no request.

  State(EventLoop& aLoop,
        const HttpServerSettings& aSettings,
        Handler aHandler,
        UnansweredHandler aUnansweredHandler)
    : loop_(aLoop)
    , settings_(aSettings)
    , handler_(std::move(aHandler))
    , unansweredHandler_(std::move(aUnansweredHandler))
    , acceptor_(aLoop.Context())
  {
  }
};

namespace {

// The exchange that a Session passes to the handler.
class Exchange final : public HttpExchange
{
public:
  explicit Exchange(const std::shared_ptr<Session>& aSession)
    : session_(aSession)
  {
  }
  void Respond(const HttpResponse& aResponse) override;

private:
  std::weak_ptr<Session> session_;
  bool answered_ = false;
};

// One accepted connection.
class Session final : public std::enable_shared_from_this<Session>
{
public:
  Session(HttpServer::State& aServer, tcp::socket aSocket)
    : server_(aServer)
    , socket_(std::move(aSocket))
    , held_(aServer.settings_.budget_, [this] { EndToMakeRoom(); })
  {
  }

  void Start()
  {
    RestartTimer(server_.settings_.idleTimeout_, false);
    Read();
  }

  // Closes the connection and calls onClosed_ of a request that has no answer yet.
  void Close(CloseReason aReason)
  {
    if (closed_) {
      return;
    }
    ReportUnanswered(aReason);
    closed_ = true;
    server_.loop_.CancelTimer(timer_);
    held_.Release();
    error_code ignored;
    socket_.close(ignored);
    if (writing_) {
      --server_.pendingAnswers_;
    }
    const auto self = shared_from_this();
    server_.sessions_.erase(self);
    if (exchange_) {
      const auto exchange = std::move(exchange_);
      if (exchange->onClosed_) {
        auto function = std::move(exchange->onClosed_);
        function();
      }
    }
  }

  void Answer(const HttpResponse& aResponse)
  {
    if (closed_) {
      return;
    }
    if (exchange_) {
      attempts_ = exchange_->attempts_;
    }
    exchange_.reset();
    const bool keep = keepAlive_ && !server_.closeAfterAnswers_;
    keepAlive_ = keep;
    writeBuffer_ = "HTTP/1.1 " + std::to_string(aResponse.status_) + " ";
    writeBuffer_ += http::obsolete_reason(http::int_to_status(aResponse.status_));
    writeBuffer_ += "\r\n";
    for (const auto& [name, value] : aResponse.headers_) {
      writeBuffer_ += name;
      writeBuffer_ += ": ";
      writeBuffer_ += value;
      writeBuffer_ += "\r\n";
    }
    const bool bodiless = aResponse.status_ == 204 || aResponse.status_ == 304;
    if (!bodiless || aResponse.declaredLength_) {
      writeBuffer_ += "Content-Length: " +
                      std::to_string(aResponse.declaredLength_.value_or(aResponse.body_.size())) +
                      "\r\n";
    }
    writeBuffer_ += keep ? "\r\n" : "Connection: close\r\n\r\n";
    if (!isHeadRequest_ && !bodiless) {
      writeBuffer_ += aResponse.body_;
    }
    held_.ReserveAlways(writeBuffer_.size() > kUncountedMessageBytes ? writeBuffer_.size() : 0);
    held_.SetNeedsOtherSide(true);
    RestartTimer(server_.settings_.writeTimeout_, false);
    writing_ = true;
    writtenBytes_ = 0;
    ++server_.pendingAnswers_;
    boost::asio::async_write(
      socket_,
      boost::asio::buffer(writeBuffer_),
      [self = shared_from_this()](const error_code& aError, std::size_t aBytes) {
        if (aBytes > self->writtenBytes_) {
          self->writtenBytes_ = aBytes;
          self->held_.Touch();
        }
        return boost::asio::transfer_all()(aError, aBytes);
      },
      [self = shared_from_this()](const error_code& aError, std::size_t /*aBytes*/) {
        self->OnWritten(aError);
      });
  }

  // True if the caller has sent a part of a request.
  bool HasUnfinishedRequest() const { return requestBegan_ && !discardsInput_; }

  // Adds what this connection holds.
  void AddContent(HttpServerContent& aContent) const
  {
    error_code error;
    const std::size_t unread = socket_.available(error);
    ++aContent.connections_;
    aContent.partlyRead_ += requestBegan_ && !discardsInput_ ? 1 : 0;
    aContent.handled_ += exchange_ ? 1 : 0;
    aContent.answering_ += writing_ ? 1 : 0;
    aContent.unreadBytes_ += error ? 0 : unread;
  }

  // Closes the sending side if the connection has no request. The pending read is cancelled first,
  // because it may already have taken bytes that OnRead hasn't got yet.
  void CloseIfIdle()
  {
    if (closed_ || discardsInput_ || !IsIdle()) {
      return;
    }
    closeRequested_ = true;
    error_code ignored;
    socket_.cancel(ignored);
  }

  // Answers an invalid request with an error and discards further input.
  void Reject(ErrorCode aCode, std::uint32_t aRetryAfterMs = 0)
  {
    ++server_.rejectedRequests_;
    requestId_.clear();
    keepAlive_ = false;
    discardsInput_ = true;
    parser_.reset();
    unparsed_ = std::string();
    Answer(ErrorResponse(aCode, Outcome::kNotRun, "request was not accepted", aRetryAfterMs));
  }

  std::shared_ptr<Exchange> exchange_; ///< The request being handled; null if none.

private:
  using Parser = http::request_parser<http::string_body>;

  // True if the connection holds no request, read or unread, and no answer that is being sent.
  bool IsIdle() const
  {
    error_code error;
    return !exchange_ && !writing_ && !requestBegan_ && unparsed_.empty() &&
           socket_.available(error) == 0;
  }

  // Reports the request that this connection holds, if any, before the connection ends.
  void ReportUnanswered(CloseReason aReason)
  {
    const bool isRead = exchange_ || writing_;
    const bool isPartlyRead = !discardsInput_ && (requestBegan_ || !unparsed_.empty());
    if (!server_.unansweredHandler_ || (!isRead && !isPartlyRead)) {
      return;
    }
    UnansweredRequest request;
    request.reason_ = aReason;
    request.sinceRead_ = server_.loop_.Now() - requestReadAt_;
    if (isRead) {
      request.id_ = requestId_;
      request.stage_ = writing_ ? RequestStage::kAnswering : RequestStage::kHandled;
      request.attempts_ = exchange_ ? exchange_->attempts_ : attempts_;
    }
    if (writing_) {
      request.answerBytes_ = writeBuffer_.size();
      request.writtenBytes_ = writtenBytes_;
    }
    server_.unansweredHandler_(request);
  }

  // Ends the message that the caller doesn't go on to send or to read.
  void EndToMakeRoom()
  {
    if (writing_) {
      Close(CloseReason::kMemoryFull);
    } else {
      Reject(ErrorCode::kLimitReached, kFullRetryAfterMs);
    }
  }

  // Holds the bytes of the whole request once it is known to be large, so that one whose beginning
  // was accepted can be completed. Rejects the request if they don't fit.
  bool ReserveBody()
  {
    const auto length = parser_->content_length();
    const std::size_t received = parser_->get().body().size() + unparsed_.size();
    if (held_.Bytes() > 0 || (length ? *length : received) <= kUncountedMessageBytes) {
      return true;
    }
    if (!held_.Reserve(length ? static_cast<std::size_t>(*length)
                              : server_.settings_.maxBodyBytes_)) {
      Reject(ErrorCode::kLimitReached, kFullRetryAfterMs);
      return false;
    }
    held_.SetNeedsOtherSide(true);
    return true;
  }

  // Closes the sending side and discards input until the caller closes too, or for a short time.
  // Closing with unread input would reset the connection, and the caller could lose the answer.
  void StartClose()
  {
    error_code ignored;
    ReportUnanswered(CloseReason::kClosing);
    socket_.shutdown(tcp::socket::shutdown_send, ignored);
    discardsInput_ = true;
    unparsed_.clear();
    RestartTimer(kCloseTimeout, false);
    Read();
  }

  // After aTimeout, closes the connection or, if aRejectsRequest, rejects the request as too slow.
  void RestartTimer(Duration aTimeout, bool aRejectsRequest)
  {
    server_.loop_.CancelTimer(timer_);
    timer_ = server_.loop_.After(aTimeout, [weak = weak_from_this(), aRejectsRequest] {
      const auto self = weak.lock();
      if (!self || self->closed_) {
        return;
      }
      if (aRejectsRequest) {
        self->Reject(ErrorCode::kRequestTooSlow);
      } else {
        self->Close(CloseReason::kWriteTimeout);
      }
    });
  }

  void Read()
  {
    // Reading continues while a request is handled, to detect that the caller closes the
    // connection. Pipelined requests are buffered up to kUncountedMessageBytes.
    if (reading_ || closed_ || unparsed_.size() > MaxInputBytes()) {
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

  std::size_t MaxInputBytes() const
  {
    return exchange_ || writing_
             ? kUncountedMessageBytes
             : server_.settings_.maxBodyBytes_ + server_.settings_.maxHeaderBytes_;
  }

  void OnRead(const error_code& aError, std::size_t aBytes)
  {
    if (closed_) {
      return;
    }
    if (aError == boost::asio::error::operation_aborted && closeRequested_) {
      closeRequested_ = false;
      if (IsIdle()) {
        StartClose();
      } else {
        Read();
      }
      return;
    }
    if (aError) {
      // If the caller closed only its sending side, the current answer can still be delivered.
      if (writing_ && aError == boost::asio::error::eof) {
        keepAlive_ = false;
        return;
      }
      Close(aError == boost::asio::error::eof ? CloseReason::kCallerClosed
                                              : CloseReason::kCallerReset);
      return;
    }
    if (discardsInput_) {
      Read();
      return;
    }
    if (!writing_) {
      held_.Touch();
    }
    unparsed_.append(readBuffer_.data(), aBytes);
    Parse();
    Read();
  }

  void Parse()
  {
    if (closed_ || exchange_ || writing_ || unparsed_.empty()) {
      return;
    }
    if (!parser_) {
      // Empty lines before a request line are ignored, as RFC 9112 recommends.
      const std::size_t start = std::min(unparsed_.find_first_not_of("\r\n"), unparsed_.size());
      unparsed_.erase(0, start);
      if (unparsed_.empty()) {
        return;
      }
      if (!requestBegan_) {
        requestBegan_ = true;
        requestReadAt_ = server_.loop_.Now();
        RestartTimer(server_.settings_.readTimeout_, true);
      }
      const std::size_t end = unparsed_.find("\r\n\r\n");
      const std::size_t headBytes = end == std::string::npos ? unparsed_.size() : end + 4;
      if (headBytes > server_.settings_.maxHeaderBytes_) {
        Reject(ErrorCode::kHeadersTooLarge);
        return;
      }
      if (end == std::string::npos) {
        return;
      }
      if (!ParseHead(std::string_view(unparsed_).substr(0, headBytes))) {
        return;
      }
      unparsed_.erase(0, headBytes);
      if (!ReserveBody()) {
        return;
      }
      if (expectsContinue_ && !parser_->is_done()) {
        SendContinue();
      }
    }
    ParseBody();
  }

  bool ParseHead(std::string_view aHead)
  {
    if (const auto errorCode = CheckHead(aHead)) {
      Reject(*errorCode);
      return false;
    }
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(server_.settings_.maxHeaderBytes_));
    parser_->body_limit(server_.settings_.maxBodyBytes_);
    error_code error;
    parser_->put(boost::asio::buffer(aHead.data(), aHead.size()), error);
    if (error == http::error::body_limit) {
      Reject(ErrorCode::kRequestTooLarge);
      return false;
    }
    if ((error && error != http::error::need_more) || !parser_->is_header_done()) {
      Reject(ErrorCode::kMalformedRequest);
      return false;
    }
    const auto& message = parser_->get();
    const auto target = message.target();
    const auto transferEncoding = message.find(http::field::transfer_encoding);
    const bool unsupportedEncoding =
      transferEncoding != message.end() &&
      ToLower(std::string_view(transferEncoding->value().data(),
                               transferEncoding->value().size())) != "chunked";
    const bool http10 = message.version() == 10;
    const auto version = message.version();
    const std::size_t hostCount = message.count(http::field::host);
    if (target.empty() || target.front() != '/' || unsupportedEncoding ||
        (http10 && transferEncoding != message.end()) || (version != 10 && version != 11) ||
        (version == 11 && hostCount != 1) || message.method() == http::verb::connect) {
      Reject(ErrorCode::kMalformedRequest);
      return false;
    }
    const auto length = parser_->content_length();
    if (length && *length > server_.settings_.maxBodyBytes_) {
      Reject(ErrorCode::kRequestTooLarge);
      return false;
    }
    const auto expect = message.find(http::field::expect);
    if (expect != message.end()) {
      if (ToLower(std::string_view(expect->value().data(), expect->value().size())) !=
          "100-continue") {
        Reject(ErrorCode::kMalformedRequest);
        return false;
      }
    }
    expectsContinue_ = expect != message.end();
    // Headers are copied before the body is parsed, because the parser later adds the trailers of a
    // chunked body to the same list.
    headers_.clear();
    for (const auto& field : message) {
      headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    parser_->eager(true);
    return true;
  }

  void SendContinue()
  {
    // No other write is running while a request arrives, so the bytes can't interleave.
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(socket_,
                             boost::asio::buffer(kContinue.data(), kContinue.size()),
                             [self = shared_from_this()](const error_code&, std::size_t) {});
  }

  void ParseBody()
  {
    switch (ParseBytes(*parser_, unparsed_, server_.settings_.maxHeaderBytes_)) {
      case ParseStatus::kComplete:
        Dispatch();
        return;
      case ParseStatus::kNeedsMore:
        ReserveBody();
        return;
      case ParseStatus::kBodyTooLarge:
        Reject(ErrorCode::kRequestTooLarge);
        return;
      case ParseStatus::kMalformed:
        Reject(ErrorCode::kMalformedRequest);
        return;
    }
  }

  void Dispatch()
  {
    auto message = parser_->release();
    parser_.reset();
    requestBegan_ = false;
    held_.SetNeedsOtherSide(false);
    if (held_.Bytes() > message.body().size()) {
      held_.ReserveAlways(message.body().size());
    }
    ShrinkIfEmpty(unparsed_);
    server_.loop_.CancelTimer(timer_);
    timer_ = 0;
    keepAlive_ = message.keep_alive();
    isHeadRequest_ = message.method() == http::verb::head;
    requestReadAt_ = server_.loop_.Now();
    requestId_ = FindHeader(headers_, server_.settings_.requestIdHeader_).value_or("");
    attempts_ = 0;
    exchange_ = std::make_shared<Exchange>(shared_from_this());
    HttpRequest& request = exchange_->request_;
    request.method_ = std::string(message.method_string());
    request.path_ = std::string(message.target());
    request.headers_ = std::move(headers_);
    RemoveHopByHopHeaders(request.headers_);
    RemoveHeader(request.headers_, "Content-Length");
    request.body_ = std::move(message.body());
    server_.handler_(exchange_);
  }

  void OnWritten(const error_code& aError)
  {
    if (closed_) {
      return;
    }
    if (aError) {
      Close(CloseReason::kWriteFailed);
      return;
    }
    writing_ = false;
    --server_.pendingAnswers_;
    writeBuffer_.clear();
    ShrinkIfEmpty(writeBuffer_);
    held_.Release();
    if (!keepAlive_) {
      StartClose();
      return;
    }
    RestartTimer(server_.settings_.idleTimeout_, false);
    Parse();
    Read();
  }

  HttpServer::State& server_;
  tcp::socket socket_;
  std::array<char, kReadBytes> readBuffer_;
  std::string unparsed_; ///< Received bytes that no parser has taken.
  std::string writeBuffer_;
  std::optional<Parser> parser_; ///< Set while the body of a request is being received.
  HeaderList headers_;           ///< Headers of the request in parser_.
  HeldBytes held_;               ///< Bytes of the request until it is answered, then of the answer.
  std::uint64_t timer_ = 0;
  TimePoint requestReadAt_{};    ///< Last byte of the request; first one while it is incomplete.
  std::string requestId_;        ///< Of the last complete request; empty if it isn't known.
  std::uint32_t attempts_ = 0;   ///< Of the request that is being answered.
  std::size_t writtenBytes_ = 0; ///< Bytes of writeBuffer_ that the operating system has accepted.
  bool requestBegan_ = false;    ///< The first byte of a request has arrived.
  bool reading_ = false;
  bool writing_ = false;
  bool keepAlive_ = true;
  bool isHeadRequest_ = false;   ///< The current request has the method HEAD.
  bool expectsContinue_ = false; ///< The caller waits before it sends the body of the request.
  bool discardsInput_ = false;   ///< Further input is read and discarded.
  bool closeRequested_ = false;  ///< The pending read is cancelled to close an idle connection.
  bool closed_ = false;
};

void Exchange::Respond(const HttpResponse& aResponse)
{
  const auto session = session_.lock();
  if (answered_ || !session || session->exchange_.get() != this) {
    return;
  }
  answered_ = true;
  onClosed_ = nullptr;
  session->Answer(aResponse);
}

void AddSession(HttpServer::State& aState, tcp::socket aSocket)
{
  error_code ignored;
  aSocket.set_option(tcp::no_delay(true), ignored);
  SetKeepAlive(aSocket.native_handle());
  const auto session = std::make_shared<Session>(aState, std::move(aSocket));
  aState.sessions_.insert(session);
  session->Start();
  if (aState.sessions_.size() > aState.settings_.maxConnections_) {
    session->Reject(ErrorCode::kLimitReached);
  }
}

// Number of connections up to which further ones are accepted in order to refuse them. The rest
// waits until some have ended, because refused connections hold descriptors too.
std::size_t MaxOpenConnections(const HttpServerSettings& aSettings)
{
  return aSettings.maxConnections_ + aSettings.maxConnections_ / 8 + 1;
}

void Accept(const std::shared_ptr<HttpServer::State>& aState);

void AcceptLater(HttpServer::State& aState, const std::weak_ptr<HttpServer::State>& aWeak)
{
  aState.loop_.After(kAcceptRetryInterval, [aWeak] {
    const auto owner = aWeak.lock();
    if (owner && owner->acceptor_.is_open()) {
      Accept(owner);
    }
  });
}

void Accept(const std::shared_ptr<HttpServer::State>& aState)
{
  if (aState->sessions_.size() >= MaxOpenConnections(aState->settings_)) {
    AcceptLater(*aState, aState);
    return;
  }
  aState->acceptor_.async_accept(
    [weak = std::weak_ptr(aState)](const error_code& aError, tcp::socket aSocket) {
      const auto state = weak.lock();
      if (!state || aError == boost::asio::error::operation_aborted) {
        return;
      }
      if (aError) {
        // Without free file descriptors, accepting again immediately would loop without pause.
        AcceptLater(*state, weak);
        return;
      }
      AddSession(*state, std::move(aSocket));
      Accept(state);
    });
}

// Accepts the connections that wait to be accepted, then closes the listening socket, which would
// reset those that still wait.
void AcceptWaiting(HttpServer::State& aState)
{
  error_code error;
  aState.acceptor_.non_blocking(true, error);
  while (!error) {
    tcp::socket socket(aState.loop_.Context());
    aState.acceptor_.accept(socket, error);
    if (!error) {
      AddSession(aState, std::move(socket));
    }
  }
  aState.acceptor_.close(error);
}

} // namespace

Result<std::unique_ptr<HttpServer>> HttpServer::Listen(EventLoop& aLoop,
                                                       const HttpServerSettings& aSettings,
                                                       Handler aHandler,
                                                       UnansweredHandler aUnansweredHandler)
{
  auto state =
    std::make_shared<State>(aLoop, aSettings, std::move(aHandler), std::move(aUnansweredHandler));
  const std::string text = aSettings.listen_.ip_ + ":" + std::to_string(aSettings.listen_.port_);
  error_code error;
  const auto ip = boost::asio::ip::make_address(aSettings.listen_.ip_, error);
  if (error) {
    return Fail(ErrorCode::kOutOfRange, text, "IP address");
  }
  const tcp::endpoint endpoint(ip, aSettings.listen_.port_);
  state->acceptor_.open(endpoint.protocol(), error);
  if (!error) {
    state->acceptor_.set_option(tcp::acceptor::reuse_address(true), error);
    state->acceptor_.bind(endpoint, error);
  }
  if (!error) {
    state->acceptor_.listen(tcp::acceptor::max_listen_connections, error);
  }
  if (error) {
    return Fail(ErrorCode::kAddressInUse, text, error.message());
  }
  Accept(state);
  return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> aState)
  : state_(std::move(aState))
{
}

HttpServer::~HttpServer()
{
  error_code ignored;
  state_->acceptor_.close(ignored);
  while (!state_->sessions_.empty()) {
    (*state_->sessions_.begin())->Close(CloseReason::kServerEnded);
  }
}

std::uint16_t HttpServer::Port() const
{
  return state_->acceptor_.local_endpoint().port();
}

std::size_t HttpServer::ConnectionCount() const
{
  return state_->sessions_.size();
}

std::uint64_t HttpServer::RejectedRequests() const
{
  return state_->rejectedRequests_;
}

std::size_t HttpServer::PendingAnswerCount() const
{
  return state_->pendingAnswers_;
}

std::size_t HttpServer::UnfinishedRequestCount() const
{
  return static_cast<std::size_t>(
    std::count_if(state_->sessions_.begin(), state_->sessions_.end(), [](const auto& aSession) {
      return aSession->HasUnfinishedRequest();
    }));
}

HttpServerContent HttpServer::Content() const
{
  HttpServerContent content;
  for (const auto& session : state_->sessions_) {
    session->AddContent(content);
  }
  return content;
}

void HttpServer::Finish()
{
  state_->closeAfterAnswers_ = true;
  if (!state_->finishing_) {
    state_->finishing_ = true;
    AcceptWaiting(*state_);
  }
  for (const auto& session : state_->sessions_) {
    session->CloseIfIdle();
  }
}

void HttpServer::CloseAfterAnswers()
{
  state_->closeAfterAnswers_ = true;
}

} // namespace peridotquay
