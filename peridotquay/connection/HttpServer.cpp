// Implementation of HttpServer on Boost.Asio and Boost.Beast's parser. The head of a request is
// checked as raw bytes before it is parsed, because the parser joins folded lines and merges
// repeated headers.
#include "peridotquay/connection/HttpServer.h"

#include "peridotquay/connection/KeepAlive.h"
#include "peridotquay/connection/MessageBytes.h"
#include "peridotquay/connection/RequestPipeline.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <coroutine>
#include <optional>
#include <set>
#include <utility>
#include <vector>

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

// A caller may pause for this long while it reads before its connection is ended to make room. Its
// request ran, and if it isn't repeatable, the answer can't be had again.
constexpr Duration kUnreadAnswerIdleTime = seconds(5);

// Time that a caller has to close its side of a connection that the server has closed.
constexpr Duration kCloseTimeout = milliseconds(500);

// Interval at which a caller is checked while its input isn't read. A caller that leaves must be
// noticed within 0.5 s.
constexpr Duration kCallerCheckInterval = milliseconds(100);

// Whether the other side has closed or reset a connection, whose input may be unread.
bool IsClosedByPeer(int aSocket)
{
  tcp_info info{};
  socklen_t size = sizeof(info);
  return ::getsockopt(aSocket, IPPROTO_TCP, TCP_INFO, &info, &size) == 0 &&
         (info.tcpi_state == TCP_CLOSE_WAIT || info.tcpi_state == TCP_CLOSE);
}

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
    // find_first_of would call memchr for each character, an eighth of the work on a request here.
    if (std::any_of(line.begin(), line.end(), [](char aCharacter) {
          return aCharacter == '\r' || aCharacter == '\n' || aCharacter == '\0';
        })) {
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
  PipelineCounts pipelining_;
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
  Exchange(const std::shared_ptr<Session>& aSession, std::uint64_t aNumber)
    : session_(aSession)
    , number_(aNumber)
  {
  }
  void Respond(const HttpResponse& aResponse) override;

private:
  std::weak_ptr<Session> session_;
  std::uint64_t number_; ///< In the pipeline of the session.
  bool answered_ = false;
};

// Appends an answer that keeps its connection open to an empty buffer. Returns the size of its
// head.
std::size_t WriteAnswer(std::string& aBuffer, const HttpResponse& aResponse, bool aIsHeadRequest)
{
  aBuffer = "HTTP/1.1 " + std::to_string(aResponse.status_) + " ";
  aBuffer += http::obsolete_reason(http::int_to_status(aResponse.status_));
  aBuffer += "\r\n";
  for (const auto& [name, value] : aResponse.headers_) {
    aBuffer += name;
    aBuffer += ": ";
    aBuffer += value;
    aBuffer += "\r\n";
  }
  const bool bodiless = aResponse.status_ == 204 || aResponse.status_ == 304;
  if (!bodiless || aResponse.declaredLength_) {
    aBuffer += "Content-Length: " +
               std::to_string(aResponse.declaredLength_.value_or(aResponse.body_.size())) + "\r\n";
  }
  aBuffer += "\r\n";
  const std::size_t headBytes = aBuffer.size();
  if (!aIsHeadRequest && !bodiless) {
    aBuffer += aResponse.body_;
  }
  return headBytes;
}

// What a Session keeps of a request in its pipeline.
struct Slot
{
  std::shared_ptr<Exchange> exchange_; ///< Null once it is answered, and for a rejected request.
  std::string requestId_;              ///< Empty if it isn't known.
  TimePoint readAt_{};
  std::uint32_t attempts_ = 0;   ///< Valid once it is answered.
  bool isHeadRequest_ = false;   ///< The request has the method HEAD.
  std::size_t requestBytes_ = 0; ///< Part of Session::requestBytes_.
  std::string answer_;           ///< While the answer waits for earlier ones; else empty.
  std::size_t headBytes_ = 0;    ///< Size of the head of the answer.
};

// One accepted connection.
class Session final : public std::enable_shared_from_this<Session>
{
public:
  Session(HttpServer::State& aServer, tcp::socket aSocket)
    : server_(aServer)
    , socket_(std::move(aSocket))
    , held_(aServer.settings_.budget_, [this] { EndToMakeRoom(); })
    , slots_(std::size_t{ aServer.settings_.maxPipelined_ } + 1)
  {
  }

  void Start()
  {
    StartTimer(timer_, server_.settings_.idleTimeout_, false);
    Read();
  }

  // Closes the connection and calls onClosed_ of the requests that have no answer yet.
  void Close(CloseReason aReason)
  {
    if (closed_) {
      return;
    }
    ReportUnanswered(aReason);
    closed_ = true;
    server_.loop_.CancelTimer(timer_);
    server_.loop_.CancelTimer(writeTimer_);
    server_.loop_.CancelTimer(callerTimer_);
    error_code ignored;
    socket_.close(ignored);
    const auto self = shared_from_this();
    server_.sessions_.erase(self);
    incomingBytes_ = 0;
    Drop(0);
  }

  // True if the request was begun, isn't answered and may still be answered.
  bool Awaits(std::uint64_t aNumber) const
  {
    const auto position = FindRequest(pipeline_, aNumber);
    return !closed_ && position && !pipeline_.requests_[*position].answered_;
  }

  // Sends the answer as soon as those before it are sent. The request must be awaited.
  void Answer(std::uint64_t aNumber, const HttpResponse& aResponse)
  {
    Slot& slot = SlotOf(aNumber);
    if (slot.exchange_) {
      slot.attempts_ = slot.exchange_->attempts_;
    }
    slot.exchange_.reset();
    requestBytes_ -= slot.requestBytes_;
    slot.requestBytes_ = 0;
    const bool waits = aNumber != pipeline_.firstNumber_;
    server_.pipelining_.waitedAnswers_ += waits ? 1 : 0;
    std::string& buffer = waits ? slot.answer_ : writeBuffer_;
    slot.headBytes_ = WriteAnswer(buffer, aResponse, slot.isHeadRequest_);
    SetAnswer(pipeline_, aNumber, buffer.size());
    ++server_.pendingAnswers_;
    if (!SendNext()) {
      UpdateHeld();
    }
  }

  // True if the caller has sent a part of a request.
  bool HasUnfinishedRequest() const { return requestBegan_ && !discardsInput_; }

  std::size_t UnsentAnswerBytes() const { return pipeline_.answerBytes_; }

  // Adds what this connection holds.
  void AddContent(HttpServerContent& aContent) const
  {
    error_code error;
    const std::size_t unread = socket_.available(error);
    ++aContent.connections_;
    aContent.partlyRead_ += requestBegan_ && !discardsInput_ ? 1 : 0;
    for (const PipelinedRequest& request : pipeline_.requests_) {
      aContent.handled_ += request.answered_ ? 0 : 1;
      aContent.answering_ += request.answered_ ? 1 : 0;
    }
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

  // Answers an invalid request with an error, after the requests before it, and discards further
  // input. Only discards it if the answer that closes the connection was chosen already.
  void Reject(ErrorCode aCode, std::uint32_t aRetryAfterMs = 0)
  {
    discardsInput_ = true;
    parser_.reset();
    unparsed_ = std::string();
    incomingBytes_ = 0;
    held_.SetNeedsOtherSide(pipeline_.sending_, kUnreadAnswerIdleTime);
    if (pipeline_.closing_) {
      // timer_ may be the one that ends a closing connection.
      UpdateHeld();
      return;
    }
    StopTimer(timer_);
    ++server_.rejectedRequests_;
    const std::uint64_t number = BeginRequest(pipeline_, false, true);
    Slot& slot = SlotOf(number);
    slot.requestId_.clear();
    slot.readAt_ = requestReadAt_;
    slot.attempts_ = 0;
    slot.isHeadRequest_ = false;
    Answer(number,
           ErrorResponse(aCode, Outcome::kNotRun, "request was not accepted", aRetryAfterMs));
  }

private:
  using Parser = http::request_parser<http::string_body>;

  Slot& SlotOf(std::uint64_t aNumber) { return slots_[aNumber % slots_.size()]; }

  // True if the connection holds no request, read or unread, and no answer that is being sent.
  bool IsIdle() const
  {
    error_code error;
    return pipeline_.requests_.empty() && !requestBegan_ && unparsed_.empty() &&
           socket_.available(error) == 0;
  }

  // Reports the requests that this connection holds before it ends. Input that didn't begin as a
  // request is reported only if nothing else is, and not if it is only line ends, which are ignored
  // before a request.
  void ReportUnanswered(CloseReason aReason)
  {
    if (!server_.unansweredHandler_) {
      return;
    }
    if (!pipeline_.requests_.empty()) {
      ReportRequests(aReason, 0);
    } else if (!discardsInput_ &&
               (requestBegan_ || unparsed_.find_first_not_of("\r\n") != std::string::npos)) {
      UnansweredRequest request;
      request.reason_ = aReason;
      request.sinceRead_ = server_.loop_.Now() - requestReadAt_;
      server_.unansweredHandler_(request);
    }
  }

  // Reports the requests in the pipeline behind the first aSkipped ones.
  void ReportRequests(CloseReason aReason, std::size_t aSkipped)
  {
    for (std::size_t i = aSkipped; i < pipeline_.requests_.size(); ++i) {
      const Slot& slot = SlotOf(pipeline_.firstNumber_ + i);
      const bool isSent = i == 0 && pipeline_.sending_;
      UnansweredRequest request;
      request.id_ = slot.requestId_;
      request.reason_ = aReason;
      request.stage_ =
        pipeline_.requests_[i].answered_ ? RequestStage::kAnswering : RequestStage::kHandled;
      request.attempts_ = slot.exchange_ ? slot.exchange_->attempts_ : slot.attempts_;
      request.sinceRead_ = server_.loop_.Now() - slot.readAt_;
      request.answerBytes_ = isSent ? writeBuffer_.size() : slot.answer_.size();
      request.writtenBytes_ = isSent ? writtenBytes_ : 0;
      request.before_ = i;
      server_.unansweredHandler_(request);
    }
  }

  // Drops the requests behind the first aKept ones, gives their bytes back and calls onClosed_ of
  // those without an answer. These calls may close the connection.
  void Drop(std::size_t aKept)
  {
    std::vector<std::shared_ptr<Exchange>> exchanges;
    for (std::size_t i = aKept; i < pipeline_.requests_.size(); ++i) {
      Slot& slot = SlotOf(pipeline_.firstNumber_ + i);
      server_.pendingAnswers_ -= pipeline_.requests_[i].answered_ ? 1 : 0;
      requestBytes_ -= slot.requestBytes_;
      slot.requestBytes_ = 0;
      slot.answer_ = std::string();
      if (slot.exchange_) {
        exchanges.push_back(std::move(slot.exchange_));
      }
    }
    DropRequests(pipeline_, aKept);
    if (closed_) {
      held_.Release();
    } else {
      UpdateHeld();
    }
    for (const auto& exchange : exchanges) {
      if (exchange->onClosed_) {
        const auto function = std::move(exchange->onClosed_);
        function();
      }
    }
  }

  // The caller closed its sending side while an answer is being sent. It may still read the answers
  // that are ready, but waits for no other.
  void OnCallerClosed()
  {
    const std::size_t kept = CountDeliverable(pipeline_);
    if (server_.unansweredHandler_) {
      ReportRequests(CloseReason::kCallerClosed, kept);
    }
    Drop(kept);
  }

  // Updates the bytes that the connection holds. Small answers aren't counted.
  void UpdateHeld()
  {
    const std::size_t answers = pipeline_.answerBytes_;
    const bool counted = answers > kUncountedMessageBytes;
    held_.SetWaitsBehind(counted && !pipeline_.requests_.front().answered_);
    held_.ReserveAlways(incomingBytes_ + requestBytes_ + (counted ? answers : 0));
  }

  // Starts to send the next answer if it is ready and no other is being sent. Returns whether it
  // did.
  bool SendNext()
  {
    const auto next = StartNextAnswer(pipeline_, server_.closeAfterAnswers_);
    if (!next) {
      return false;
    }
    Slot& slot = SlotOf(next->number_);
    if (!slot.answer_.empty()) {
      writeBuffer_ = std::move(slot.answer_);
      slot.answer_ = std::string();
    }
    if (next->closes_) {
      StopTimer(timer_);
      writeBuffer_.insert(slot.headBytes_ - 2, "Connection: close\r\n");
    }
    UpdateHeld();
    held_.SetNeedsOtherSide(true, kUnreadAnswerIdleTime);
    StartTimer(writeTimer_, server_.settings_.writeTimeout_, false);
    writtenBytes_ = 0;
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
    return true;
  }

  // Ends the message that the caller doesn't go on to send or to read, or the connection if its
  // answers wait behind an unanswered request: they can't be sent without the answer before them.
  void EndToMakeRoom()
  {
    if (pipeline_.sending_ || incomingBytes_ == 0) {
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
    if (incomingBytes_ > 0 || (length ? *length : received) <= kUncountedMessageBytes) {
      return true;
    }
    const std::size_t bytes =
      length ? static_cast<std::size_t>(*length) : server_.settings_.maxBodyBytes_;
    // The caller has just sent bytes, so this connection must not be ended to make room for itself.
    held_.Touch();
    if (!held_.Reserve(held_.Bytes() + bytes)) {
      Reject(ErrorCode::kLimitReached, kFullRetryAfterMs);
      return false;
    }
    incomingBytes_ = bytes;
    held_.SetNeedsOtherSide(true, pipeline_.sending_ ? kUnreadAnswerIdleTime : kIdleTime);
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
    parser_.reset();
    incomingBytes_ = 0;
    UpdateHeld();
    held_.SetNeedsOtherSide(false);
    StartTimer(timer_, kCloseTimeout, false);
    Read();
  }

  void StopTimer(std::uint64_t& aTimer)
  {
    if (aTimer != 0) {
      server_.loop_.CancelTimer(aTimer);
      aTimer = 0;
    }
  }

  // After aTimeout, closes the connection or, if aRejectsRequest, rejects the request as too slow.
  void StartTimer(std::uint64_t& aTimer, Duration aTimeout, bool aRejectsRequest)
  {
    StopTimer(aTimer);
    aTimer = server_.loop_.After(aTimeout, [weak = weak_from_this(), aRejectsRequest] {
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
    // Reading continues while requests are handled, to detect that the caller closes the
    // connection. Requests that must wait are buffered up to kUncountedMessageBytes.
    if (reading_ || closed_) {
      return;
    }
    if (unparsed_.size() > MaxInputBytes()) {
      if (server_.settings_.maxPipelined_ > 1) {
        CheckCallerLater();
      }
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

  // While input isn't read, its end isn't seen. The state of the socket tells instead that the
  // caller has left, so that its requests don't run on.
  void CheckCallerLater()
  {
    if (callerTimer_ != 0) {
      return;
    }
    callerTimer_ = server_.loop_.After(kCallerCheckInterval, [weak = weak_from_this()] {
      const auto self = weak.lock();
      if (!self || self->closed_) {
        return;
      }
      self->callerTimer_ = 0;
      if (self->reading_) {
        return;
      }
      if (!IsClosedByPeer(self->socket_.native_handle())) {
        self->CheckCallerLater();
      } else if (self->pipeline_.sending_) {
        self->OnCallerClosed();
      } else {
        self->Close(CloseReason::kCallerClosed);
      }
    });
  }

  std::size_t MaxInputBytes() const
  {
    return waits_ ? kUncountedMessageBytes
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
      if (pipeline_.sending_ && aError == boost::asio::error::eof) {
        OnCallerClosed();
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
    if (!pipeline_.sending_) {
      held_.Touch();
    }
    unparsed_.append(readBuffer_.data(), aBytes);
    Parse();
    Read();
  }

  // Returns whether the next request of the connection must wait for earlier ones.
  bool MustWait(bool aMayOverlap)
  {
    const auto& settings = server_.settings_;
    const PipelineWait wait =
      WaitOf(pipeline_,
             aMayOverlap,
             { settings.maxPipelined_ },
             { server_.closeAfterAnswers_,
               settings.budget_ && settings.budget_->used_ > settings.budget_->requestLimit_ });
    waits_ = wait != PipelineWait::kNone;
    if (waits_ && !waitCounted_ && settings.maxPipelined_ > 1 && wait != PipelineWait::kClosing) {
      waitCounted_ = true;
      ++(wait == PipelineWait::kOverlap ? server_.pipelining_.heldForOrder_
                                        : server_.pipelining_.heldForLimit_);
    }
    return waits_;
  }

  // Begins the requests that have arrived and don't have to wait for earlier ones.
  void Parse()
  {
    while (ParseNext()) {
    }
  }

  // Returns whether a request began.
  bool ParseNext()
  {
    if (closed_ || discardsInput_) {
      return false;
    }
    const bool isNew = !parser_;
    if (isNew && !ParseNextHead()) {
      return false;
    }
    if (headWaits_) {
      if (MustWait(nextMayOverlap_)) {
        StopTimer(timer_);
        return false;
      }
      headWaits_ = false;
      if (timer_ == 0) {
        StartTimer(timer_, server_.settings_.readTimeout_, true);
      }
      // For a request without a body, unparsed_ begins with the next request.
      if (!parser_->is_done() && !ReserveBody()) {
        return false;
      }
      if (expectsContinue_ && !parser_->is_done()) {
        SendContinue();
      }
    }
    return ParseBody(isNew);
  }

  // Parses the head of the next request. Returns false if it is incomplete, invalid, or may not be
  // parsed yet.
  bool ParseNextHead()
  {
    if (unparsed_.empty() || (!requestBegan_ && MustWait(true))) {
      return false;
    }
    // Empty lines before a request line are ignored, as RFC 9112 recommends.
    const std::size_t start = std::min(unparsed_.find_first_not_of("\r\n"), unparsed_.size());
    unparsed_.erase(0, start);
    if (unparsed_.empty()) {
      return false;
    }
    if (!requestBegan_) {
      requestBegan_ = true;
      requestReadAt_ = server_.loop_.Now();
      StartTimer(timer_, server_.settings_.readTimeout_, true);
    }
    const std::size_t end = unparsed_.find("\r\n\r\n");
    const std::size_t headBytes = end == std::string::npos ? unparsed_.size() : end + 4;
    if (headBytes > server_.settings_.maxHeaderBytes_) {
      Reject(ErrorCode::kHeadersTooLarge);
      return false;
    }
    if (end == std::string::npos || !ParseHead(std::string_view(unparsed_).substr(0, headBytes))) {
      return false;
    }
    unparsed_.erase(0, headBytes);
    headWaits_ = true;
    isBehind_ = !pipeline_.requests_.empty();
    nextMayOverlap_ = isBehind_ && MayOverlap();
    return true;
  }

  // Whether the request in parser_, whose head is complete, may overlap with earlier ones. The
  // caller of one that expects "100 Continue" must not get it before the earlier answers.
  bool MayOverlap() const
  {
    const auto& message = parser_->get();
    if (expectsContinue_ || message.version() == 10 || !server_.settings_.mayOverlap_) {
      return false;
    }
    HttpRequest request;
    request.method_ = std::string(message.method_string());
    request.path_ = std::string(message.target());
    request.headers_ = headers_;
    RemoveHopByHopHeaders(request.headers_);
    return server_.settings_.mayOverlap_(request);
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
    // The pipeline is empty, so no other write is running and the bytes can't interleave.
    static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
    boost::asio::async_write(socket_,
                             boost::asio::buffer(kContinue.data(), kContinue.size()),
                             [self = shared_from_this()](const error_code&, std::size_t) {});
  }

  // Returns whether the request is complete and began. aIsNew: its head was parsed just now.
  bool ParseBody(bool aIsNew)
  {
    switch (ParseBytes(*parser_, unparsed_, server_.settings_.maxHeaderBytes_)) {
      case ParseStatus::kComplete:
        // The configuration may have changed since the head arrived.
        if (!aIsNew && nextMayOverlap_ && !pipeline_.requests_.empty()) {
          nextMayOverlap_ = MayOverlap();
        }
        // A limit may have been reached while the body arrived. The caller has sent its part, so
        // the request isn't ended to make room.
        if (MustWait(nextMayOverlap_)) {
          StopTimer(timer_);
          held_.SetNeedsOtherSide(pipeline_.sending_, kUnreadAnswerIdleTime);
          return false;
        }
        Dispatch();
        return true;
      case ParseStatus::kNeedsMore:
        ReserveBody();
        return false;
      case ParseStatus::kBodyTooLarge:
        Reject(ErrorCode::kRequestTooLarge);
        return false;
      case ParseStatus::kMalformed:
        Reject(ErrorCode::kMalformedRequest);
        return false;
    }
    return false;
  }

  void Dispatch()
  {
    auto message = parser_->release();
    parser_.reset();
    requestBegan_ = false;
    waitCounted_ = false;
    held_.SetNeedsOtherSide(pipeline_.sending_, kUnreadAnswerIdleTime);
    const std::size_t reservedBytes = std::exchange(incomingBytes_, 0);
    const std::size_t requestBytes = std::min(reservedBytes, message.body().size());
    requestBytes_ += requestBytes;
    if (requestBytes != reservedBytes) {
      UpdateHeld();
    }
    ShrinkIfEmpty(unparsed_);
    StopTimer(timer_);
    requestReadAt_ = server_.loop_.Now();
    server_.pipelining_.begunBehind_ += pipeline_.requests_.empty() ? 0 : 1;
    // Pipelining over HTTP/1.0 is undefined, so such a request behind others is the last.
    const bool isLast = !message.keep_alive() || (isBehind_ && message.version() == 10);
    const std::uint64_t number = BeginRequest(pipeline_, nextMayOverlap_, isLast);
    Slot& slot = SlotOf(number);
    slot.requestId_ = FindHeader(headers_, server_.settings_.requestIdHeader_).value_or("");
    slot.readAt_ = requestReadAt_;
    slot.attempts_ = 0;
    slot.isHeadRequest_ = message.method() == http::verb::head;
    slot.requestBytes_ = requestBytes;
    const auto exchange = std::make_shared<Exchange>(shared_from_this(), number);
    slot.exchange_ = exchange;
    exchange->mayOverlap_ = nextMayOverlap_;
    HttpRequest& request = exchange->request_;
    request.method_ = std::string(message.method_string());
    request.path_ = std::string(message.target());
    request.headers_ = std::move(headers_);
    RemoveHopByHopHeaders(request.headers_);
    RemoveHeader(request.headers_, "Content-Length");
    request.body_ = std::move(message.body());
    server_.handler_(exchange);
    if (const auto position = FindRequest(pipeline_, number)) {
      pipeline_.requests_[*position].mayOverlap_ = exchange->mayOverlap_ && message.version() != 10;
    }
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
    --server_.pendingAnswers_;
    writeBuffer_.clear();
    ShrinkIfEmpty(writeBuffer_);
    StopTimer(writeTimer_);
    const bool closes = FinishAnswer(pipeline_);
    if (!SendNext()) {
      UpdateHeld();
      // Also if nothing is held yet: a later answer may be held while this connection waits for the
      // handler.
      held_.SetNeedsOtherSide(incomingBytes_ > 0);
    }
    if (closes) {
      StartClose();
      return;
    }
    if (pipeline_.requests_.empty() && !requestBegan_) {
      StartTimer(timer_, server_.settings_.idleTimeout_, false);
    }
    Parse();
    Read();
  }

  HttpServer::State& server_;
  tcp::socket socket_;
  std::array<char, kReadBytes> readBuffer_;
  std::string unparsed_;         ///< Received bytes that no parser has taken.
  std::string writeBuffer_;      ///< The answer that is being sent.
  std::optional<Parser> parser_; ///< Set from the head of a request until the request begins.
  HeaderList headers_;           ///< Headers of the request in parser_.
  HeldBytes
    held_; ///< Bytes of requests until they are answered, and of answers until they're sent.
  std::size_t incomingBytes_ = 0; ///< Held for the request in parser_.
  std::size_t requestBytes_ = 0;  ///< Held for requests that have begun and aren't answered.
  RequestPipeline pipeline_;
  std::vector<Slot> slots_;      ///< Of the requests in pipeline_, by number modulo the size.
  std::uint64_t timer_ = 0;      ///< Limits an idle connection, a request that arrives, or a close.
  std::uint64_t writeTimer_ = 0; ///< Set while an answer is being sent.
  std::uint64_t callerTimer_ = 0; ///< Set while input isn't read, see CheckCallerLater.
  TimePoint requestReadAt_{};     ///< Last byte of the request; first one while it is incomplete.
  std::size_t writtenBytes_ = 0;  ///< Bytes of writeBuffer_ that the operating system has accepted.
  bool requestBegan_ = false;     ///< The first byte of a request has arrived; it hasn't begun yet.
  bool reading_ = false;
  bool expectsContinue_ = false; ///< The caller waits before it sends the body of the request.
  bool headWaits_ = false;       ///< The request in parser_ may still have to wait for its body.
  bool isBehind_ = false;        ///< It arrived while earlier ones were outstanding.
  bool nextMayOverlap_ = false;  ///< It may overlap with these.
  bool waits_ = false;           ///< The next request must wait for earlier ones.
  bool waitCounted_ = false;     ///< This is in PipelineCounts.
  bool discardsInput_ = false;   ///< Further input is read and discarded.
  bool closeRequested_ = false;  ///< The pending read is cancelled to close an idle connection.
  bool closed_ = false;
};

void Exchange::Respond(const HttpResponse& aResponse)
{
  const auto session = session_.lock();
  if (answered_ || !session || !session->Awaits(number_)) {
    return;
  }
  answered_ = true;
  onClosed_ = nullptr;
  session->Answer(number_, aResponse);
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

PipelineCounts HttpServer::Pipelining() const
{
  return state_->pipelining_;
}

std::size_t HttpServer::PendingAnswerCount() const
{
  return state_->pendingAnswers_;
}

std::size_t HttpServer::UnsentAnswerBytes() const
{
  std::size_t bytes = 0;
  for (const auto& session : state_->sessions_) {
    bytes += session->UnsentAnswerBytes();
  }
  return bytes;
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
