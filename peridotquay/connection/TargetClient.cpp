// Pooled HTTP client on Boost.Beast's response parser.
#include "peridotquay/connection/TargetClient.h"

#include "peridotquay/connection/KeepAlive.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/string_body.hpp>

#include <array>
#include <coroutine>
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
constexpr std::size_t kReadBytes = std::size_t{ 16 } * 1024;

std::string RequestText(const HttpRequest& aRequest, const Address& aTarget)
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
  std::vector<std::shared_ptr<TargetConnection>> idle_; ///< The most recently used last.
  std::map<std::uint64_t, std::shared_ptr<TargetConnection>> busy_; ///< By request.
  std::uint64_t next_ = 1;

  State(EventLoop& aLoop, const TargetClientSettings& aSettings)
    : loop_(aLoop)
    , settings_(aSettings)
  {
  }
};

namespace {

// One connection; serves one request at a time.
class TargetConnection final : public std::enable_shared_from_this<TargetConnection>
{
public:
  explicit TargetConnection(const std::shared_ptr<TargetClient::State>& aClient)
    : client_(aClient)
    , loop_(aClient->loop_)
    , socket_(aClient->loop_.Context())
  {
  }

  void Begin(std::uint64_t aNumber, const HttpRequest& aRequest, TargetClient::Done aDone)
  {
    const auto client = client_.lock();
    number_ = aNumber;
    done_ = std::move(aDone);
    result_ = {};
    sent_ = false;
    written_ = false;
    answerBegan_ = false;
    allowsCloseDelimited_ = client->settings_.allowsCloseDelimited_;
    echoHeader_ = client->settings_.echoHeader_;
    echo_ = echoHeader_.empty() ? "" : FindHeader(aRequest.headers_, echoHeader_).value_or("");
    idleTimeout_ = client->settings_.idleTimeout_;
    output_ = RequestText(aRequest, client->settings_.target_);
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(client->settings_.maxHeaderBytes_));
    parser_->body_limit(client->settings_.maxBodyBytes_);
    parser_->eager(true);
    head_ = aRequest.method_ == "HEAD";
    parser_->skip(head_);
    loop_.CancelTimer(timer_);
    timer_ = 0;
    if (open_) {
      Write();
      return;
    }
    Connect(client->settings_);
  }

  // Closes without calling done_.
  void Drop()
  {
    closed_ = true;
    done_ = nullptr;
    loop_.CancelTimer(timer_);
    error_code ignored;
    socket_.close(ignored);
  }

  bool Sent() const { return sent_; }

  /// Time since the last answer; only of a kept connection.
  Duration Rest() const { return loop_.Now() - restSince_; }

  void StartIdle(Duration aTimeout)
  {
    restSince_ = loop_.Now();
    timer_ = loop_.After(aTimeout, [weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->DropIdle();
      }
    });
    // Reading on notices when the target closes a kept connection.
    Read();
  }

private:
  void Connect(const TargetClientSettings& aSettings)
  {
    error_code error;
    const auto ip = boost::asio::ip::make_address(aSettings.target_.ip_, error);
    started_ = loop_.Now();
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
                            self->result_.connectTime_ = self->loop_.Now() - self->started_;
                            error_code ignored;
                            self->socket_.set_option(tcp::no_delay(true), ignored);
                            SetKeepAlive(self->socket_.native_handle());
                            self->Write();
                          });
  }

  void Write()
  {
    sent_ = true;
    boost::asio::async_write(socket_,
                             boost::asio::buffer(output_),
                             [self = shared_from_this()](const error_code& aError, std::size_t) {
                               // A failed write also fails the read, which then ends the request;
                               // the target may have answered before it stopped reading.
                               self->written_ = !aError;
                             });
    Read();
  }

  void Read()
  {
    if (reading_ || closed_) {
      return;
    }
    reading_ = true;
    socket_.async_read_some(
      boost::asio::buffer(chunk_),
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
    if (!done_) {
      // Bytes or an end on a kept connection: it can't be used again.
      DropIdle();
      return;
    }
    if (aError == boost::asio::error::eof && allowsCloseDelimited_ && parser_->is_header_done() &&
        parser_->need_eof()) {
      error_code error;
      parser_->put_eof(error);
      if (!error && parser_->is_done()) {
        Finish();
        return;
      }
    }
    if (aError) {
      End(answerBegan_ ? TargetRequestStatus::kTruncated : TargetRequestStatus::kLost);
      return;
    }
    answerBegan_ = true;
    input_.append(chunk_.data(), aBytes);
    std::size_t used = 0;
    error_code error;
    while (!parser_->is_done() && used < input_.size()) {
      const std::size_t taken =
        parser_->put(boost::asio::buffer(input_.data() + used, input_.size() - used), error);
      used += taken;
      if (error == http::error::need_more) {
        error = {};
        break;
      }
      if (error || taken == 0) {
        break;
      }
    }
    input_.erase(0, used);
    if (error) {
      End(TargetRequestStatus::kTruncated);
      return;
    }
    if (!parser_->is_done()) {
      Read();
      return;
    }
    if (IsOfEarlierRequest()) {
      NextAnswer();
      return;
    }
    // Interim answers (1xx) come before the one that counts.
    if (parser_->get().result_int() / 100 == 1 && parser_->get().result_int() != 101) {
      NextAnswer();
      return;
    }
    Finish();
  }

  // Whether the answer names another request than the one that waits.
  bool IsOfEarlierRequest() const
  {
    if (echo_.empty()) {
      return false;
    }
    const auto field = parser_->get().find(echoHeader_);
    return field != parser_->get().end() &&
           std::string_view(field->value().data(), field->value().size()) != echo_;
  }

  // The target says for how many whole seconds it keeps an unused connection.
  void ReadKeepAlive()
  {
    constexpr std::string_view kName = "timeout=";
    const auto field = parser_->get().find(http::field::keep_alive);
    if (field == parser_->get().end()) {
      return;
    }
    const std::string_view text(field->value().data(), field->value().size());
    const std::size_t place = text.find(kName);
    if (place == std::string_view::npos) {
      return;
    }
    const std::string_view rest = text.substr(place + kName.size());
    const auto stated = ParseNumber(rest.substr(0, rest.find_first_not_of("0123456789")), 3600);
    if (stated) {
      // A request that is sent as the target closes would be lost.
      idleTimeout_ = std::min<Duration>(idleTimeout_, milliseconds(*stated * 700));
    }
  }

  void NextAnswer()
  {
    const auto client = client_.lock();
    if (!client) {
      return;
    }
    parser_.emplace();
    parser_->header_limit(static_cast<std::uint32_t>(client->settings_.maxHeaderBytes_));
    parser_->body_limit(client->settings_.maxBodyBytes_);
    parser_->eager(true);
    parser_->skip(head_);
    const std::string rest = std::move(input_);
    input_.clear();
    if (rest.empty()) {
      Read();
      return;
    }
    const std::size_t bytes = std::min(rest.size(), chunk_.size());
    std::copy_n(rest.begin(), bytes, chunk_.begin());
    input_ = rest.substr(bytes);
    OnRead({}, bytes);
  }

  void Finish()
  {
    const auto length = parser_->content_length();
    // A request that isn't written whole would go on into the next one.
    const bool keep = parser_->keep_alive() && !parser_->need_eof() && input_.empty() && written_;
    ReadKeepAlive();
    auto message = parser_->release();
    HttpResponse& response = result_.response_;
    response.status_ = static_cast<std::uint16_t>(message.result_int());
    for (const auto& field : message) {
      response.headers_.emplace_back(std::string(field.name_string()), std::string(field.value()));
    }
    RemoveHopByHopHeaders(response.headers_);
    RemoveHeader(response.headers_, "Content-Length");
    response.body_ = std::move(message.body());
    if (head_ || response.status_ == 304) {
      response.declaredLength_ = length ? std::optional<std::uint64_t>(*length) : std::nullopt;
    }
    open_ = keep;
    End(TargetRequestStatus::kAnswered);
  }

  // Ends the request and keeps the connection if it is still good.
  void End(TargetRequestStatus aEnd)
  {
    const auto client = client_.lock();
    auto done = std::move(done_);
    done_ = nullptr;
    const auto self = shared_from_this();
    if (client) {
      client->busy_.erase(number_);
    }
    result_.requestStatus_ = aEnd;
    TargetResult result = std::move(result_);
    if (aEnd == TargetRequestStatus::kAnswered && open_ && client) {
      client->idle_.push_back(self);
      StartIdle(idleTimeout_);
    } else {
      Drop();
    }
    if (done) {
      done(std::move(result));
    }
  }

  void DropIdle()
  {
    if (const auto client = client_.lock()) {
      std::erase(client->idle_, shared_from_this());
    }
    Drop();
  }

  std::weak_ptr<TargetClient::State> client_;
  EventLoop& loop_;
  tcp::socket socket_;
  std::array<char, kReadBytes> chunk_;
  std::string input_;
  std::string output_;
  std::optional<http::response_parser<http::string_body>> parser_;
  TargetClient::Done done_; ///< Set while a request is under way.
  TargetResult result_;
  TimePoint started_{};
  TimePoint restSince_{};
  std::uint64_t number_ = 0;
  std::uint64_t timer_ = 0;
  bool open_ = false;
  bool sent_ = false;
  bool written_ = false; ///< The whole request is with the system.
  bool allowsCloseDelimited_ = false;
  std::string echoHeader_;
  std::string echo_; ///< Value that the answer must repeat; empty for any.
  Duration idleTimeout_{};
  bool answerBegan_ = false;
  bool reading_ = false;
  bool head_ = false;
  bool closed_ = false;
};

} // namespace

TargetClient::TargetClient(EventLoop& aLoop, const TargetClientSettings& aSettings)
  : state_(std::make_shared<State>(aLoop, aSettings))
{
}

TargetClient::~TargetClient()
{
  for (const auto& connection : state_->idle_) {
    connection->Drop();
  }
  for (const auto& [number, connection] : state_->busy_) {
    connection->Drop();
  }
  state_->idle_.clear();
  state_->busy_.clear();
}

std::uint64_t TargetClient::Send(const HttpRequest& aRequest, Done aDone, ConnectionReuse aReuse)
{
  const std::uint64_t number = state_->next_++;
  const TargetClientSettings& settings = state_->settings_;
  auto& idle = state_->idle_;
  std::shared_ptr<TargetConnection> connection;
  // The last one has rested the shortest.
  if (!idle.empty() &&
      (aReuse == ConnectionReuse::kAny || idle.back()->Rest() <= settings.longestRest_)) {
    connection = idle.back();
    idle.pop_back();
  } else if (state_->busy_.size() < settings.maxConnections_) {
    if (!idle.empty() && state_->busy_.size() + idle.size() >= settings.maxConnections_) {
      idle.front()->Drop();
      idle.erase(idle.begin());
    }
    connection = std::make_shared<TargetConnection>(state_);
  } else {
    state_->loop_.Post([done = std::move(aDone)] { done(TargetResult{}); });
    return number;
  }
  state_->busy_.emplace(number, connection);
  connection->Begin(number, aRequest, std::move(aDone));
  return number;
}

bool TargetClient::Cancel(std::uint64_t aRequest)
{
  const auto entry = state_->busy_.find(aRequest);
  if (entry == state_->busy_.end()) {
    return false;
  }
  const auto connection = entry->second;
  state_->busy_.erase(entry);
  const bool sent = connection->Sent();
  connection->Drop();
  return sent;
}

void TargetClient::DropIdle()
{
  for (const auto& connection : state_->idle_) {
    connection->Drop();
  }
  state_->idle_.clear();
}

std::size_t TargetClient::IdleConnectionCount() const
{
  return state_->idle_.size();
}

std::size_t TargetClient::ConnectionCount() const
{
  return state_->idle_.size() + state_->busy_.size();
}

} // namespace peridotquay
