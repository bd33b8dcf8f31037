// Open-loop load generator with one Asio coroutine for each request. Idle connections are reused.
#include "standins/lib/LoadRunner.h"

#include "standins/lib/TargetBody.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/parser.hpp>
#include <boost/beast/http/read.hpp>
#include <boost/beast/http/string_body.hpp>
#include <boost/beast/http/write.hpp>
#include <nlohmann/json.hpp>
#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <coroutine>
#include <map>
#include <memory>
#include <optional>
#include <utility>

namespace peridotquay::standins {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using asio::ip::tcp;
using boost::system::error_code;

namespace {

// Request ids per fetch. Small, because a batch is useless once the host that issued it has died.
constexpr std::uint32_t kRequestIdBatchSize = 16;

// Time after the request's deadline in which an answer with outcome "unknown" is still read.
constexpr Duration kAnswerGracePeriod = milliseconds(300);

// Body length of an answer of a stand-in target unless the path asks for another.
constexpr std::size_t kDefaultAnswerBytes = 64;

// Delay before the first retry; doubles with each attempt. Not used with immediate retries.
constexpr Duration kInitialBackoff = milliseconds(50);

using Socket = std::shared_ptr<tcp::socket>;
using Message = http::request<http::string_body>;

// Result of one HTTP exchange.
struct Exchange
{
  bool connected_ = false; ///< Whether there was a connection, so that bytes may have been sent.
  unsigned status_ = 0;    ///< 0 without a complete answer.
  std::string outcome_;
  std::string retryAfterMs_;
  std::string body_;
};

// Splitmix64 generator.
std::uint64_t NextRandom(std::uint64_t& aState)
{
  aState += 0x9E3779B97F4A7C15ULL;
  std::uint64_t value = aState;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

// Whether an idle connection was closed, has failed or holds unexpected bytes.
bool PeerClosed(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t received = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return received >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

// State of one run.
class Runner
{
public:
  Runner(const LoadPlan& aPlan, const std::vector<DataCentreHosts>& aDataCentres)
    : plan_(aPlan)
    , dataCentres_(aDataCentres)
    , arrivals_(PlanArrivals(aPlan))
    , unusedIds_(aDataCentres.size())
  {
    result_.records_.resize(arrivals_.size());
  }

  LoadResult Run(const std::function<void(TimePoint)>& aStarted)
  {
    // Starts the clock of the run a little later, so that the first requests aren't late.
    start_ = Clock::now() + milliseconds(20);
    aStarted(start_);
    asio::co_spawn(
      context_, [this] { return StartRequests(); }, asio::detached);
    context_.run();
    return std::move(result_);
  }

private:
  TimePoint TimeAt(double aSeconds) const
  {
    return start_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
  }

  // Starts every request at its scheduled time.
  asio::awaitable<void> StartRequests()
  {
    asio::steady_timer timer(context_);
    error_code ignored;
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      const TimePoint due = TimeAt(arrivals_[i].scheduledAt_);
      if (due > Clock::now()) {
        timer.expires_at(due);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
      result_.maxStartLagSeconds_ =
        std::max(result_.maxStartLagSeconds_, ToSeconds(Clock::now() - due));
      asio::co_spawn(
        context_, [this, i] { return RunRequest(i); }, asio::detached);
    }
  }

  // Removes and returns an open idle connection, or returns nullptr if there is none.
  Socket PopIdleConnection(const Address& aServer)
  {
    auto& idle = idleConnections_[aServer];
    while (!idle.empty()) {
      Socket socket = std::move(idle.back());
      idle.pop_back();
      if (!PeerClosed(*socket)) {
        return socket;
      }
    }
    return nullptr;
  }

  // Makes one HTTP exchange that ends by aEnd. Never sends the request a second time.
  asio::awaitable<Exchange> Send(Address aServer, std::shared_ptr<Message> aMessage, TimePoint aEnd)
  {
    Exchange exchange;
    error_code failure;
    Socket socket = PopIdleConnection(aServer);
    asio::steady_timer timeoutTimer(context_, aEnd);
    const bool newConnection = !socket;
    if (newConnection) {
      socket = std::make_shared<tcp::socket>(context_);
    }
    timeoutTimer.async_wait([socket](error_code aFailure) {
      if (!aFailure) {
        error_code ignored;
        socket->close(ignored);
      }
    });
    if (newConnection) {
      const tcp::endpoint endpoint(asio::ip::make_address(aServer.ip_), aServer.port_);
      co_await socket->async_connect(endpoint, asio::redirect_error(asio::use_awaitable, failure));
      if (failure) {
        co_return exchange;
      }
      socket->set_option(tcp::no_delay(true), failure);
    }
    exchange.connected_ = true;
    co_await http::async_write(
      *socket, *aMessage, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return exchange;
    }
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    parser.body_limit(kMaxTargetBodyBytes * 2);
    co_await http::async_read(
      *socket, buffer, parser, asio::redirect_error(asio::use_awaitable, failure));
    if (failure) {
      co_return exchange;
    }
    auto& answer = parser.get();
    exchange.status_ = answer.result_int();
    exchange.outcome_ = std::string(answer["Quay-Outcome"]);
    exchange.retryAfterMs_ = std::string(answer["Quay-Retry-After-Ms"]);
    exchange.body_ = std::move(answer.body());
    timeoutTimer.cancel();
    if (answer.keep_alive() && socket->is_open()) {
      idleConnections_[aServer].push_back(socket);
    }
    co_return exchange;
  }

  // Returns a request id that a host of the data centre issued, or an empty string if all fetches
  // failed.
  asio::awaitable<std::string> AcquireRequestId(std::size_t aDataCentre,
                                                std::uint64_t aRandom,
                                                TimePoint aEnd)
  {
    auto& pool = unusedIds_[aDataCentre];
    for (int attempt = 0; attempt < 4 && pool.empty(); ++attempt) {
      const DataCentreHosts& hosts = dataCentres_[aDataCentre];
      const Address host = hosts[NextRandom(aRandom) % hosts.size()];
      const std::string target = "/quay/request-ids?count=" + std::to_string(kRequestIdBatchSize);
      auto message = std::make_shared<Message>(http::verb::post, target, 11);
      message->set(http::field::host, host.ip_);
      message->set("Quay-Key", plan_.accounts_[0].key_);
      message->prepare_payload();
      auto pendingExchange = Send(host, message, aEnd);
      const Exchange exchange = co_await std::move(pendingExchange);
      const auto json = nlohmann::json::parse(exchange.body_, nullptr, false);
      if (exchange.status_ == 200 && json.is_object() && json.contains("request_ids")) {
        for (const auto& id : json["request_ids"]) {
          pool.push_back(id.get<std::string>());
        }
      } else {
        ++result_.failedIdRequests_;
      }
    }
    std::string id;
    if (!pool.empty()) {
      id = std::move(pool.back());
      pool.pop_back();
    }
    co_return id;
  }

  std::shared_ptr<Message> MakeMessage(const Arrival& aArrival,
                                       const std::string& aTag,
                                       const std::string& aId,
                                       TimePoint aEnd) const
  {
    const LoadClass& requestClass = plan_.classes_[aArrival.class_];
    const std::string target = WithQueryParameter(requestClass.path_, "tag", aTag);
    const auto verb = requestClass.repeatable_ ? http::verb::get : http::verb::post;
    auto message = std::make_shared<Message>(verb, target, 11);
    message->set(http::field::host, "fleet");
    message->set("Quay-Key", plan_.accounts_[aArrival.account_].key_);
    message->set("Quay-Retry-Budget", std::to_string(plan_.retryBudget_));
    const auto remainingMs = std::chrono::duration_cast<milliseconds>(aEnd - Clock::now()).count();
    message->set("Quay-Deadline-Ms", std::to_string(std::max<std::int64_t>(remainingMs, 1)));
    if (!aId.empty()) {
      message->set("Quay-Request-Id", aId);
    }
    if (!requestClass.repeatable_) {
      // A retry must have the same body, so the body doesn't depend on the tag.
      message->body() = "order";
    }
    message->prepare_payload();
    return message;
  }

  // Whether the caller retries after this answer.
  bool ShouldRetry(const Exchange& aExchange, const LoadClass& aClass) const
  {
    if (plan_.immediateRetries_) {
      return true;
    }
    const bool refused = aExchange.status_ == 503 || aExchange.status_ == 429;
    return refused || (aClass.repeatable_ && (aExchange.status_ == 0 || aExchange.status_ >= 500));
  }

  // Exponential backoff with jitter, or the time that the answer asks for if that is longer.
  static Duration RetryDelay(const Exchange& aExchange,
                             std::uint32_t aAttempt,
                             std::uint64_t aRandom)
  {
    const auto shift = std::min(aAttempt, 5U);
    const double jitter = 0.5 + static_cast<double>(aRandom % 1000) / 1000;
    const auto backoff =
      std::chrono::duration_cast<Duration>(kInitialBackoff * (1U << shift) * jitter);
    const long long hint = std::atoll(aExchange.retryAfterMs_.c_str());
    return std::max<Duration>(backoff, milliseconds(std::clamp(hint, 0LL, 10'000LL)));
  }

  // Runs one scheduled request with all of its attempts.
  asio::awaitable<void> RunRequest(std::size_t aIndex)
  {
    const Arrival& arrival = arrivals_[aIndex];
    const LoadClass& requestClass = plan_.classes_[arrival.class_];
    LoadRecord& record = result_.records_[aIndex];
    record.arrival_ = arrival;
    std::uint64_t random = arrival.random_;
    const std::size_t dataCentre = NextRandom(random) % dataCentres_.size();
    const DataCentreHosts& hosts = dataCentres_[dataCentre];
    const TimePoint scheduled = TimeAt(arrival.scheduledAt_);
    const TimePoint end = scheduled + plan_.deadline_;
    std::string id;
    if (!requestClass.repeatable_) {
      auto pendingId = AcquireRequestId(dataCentre, NextRandom(random), end);
      id = co_await std::move(pendingId);
    }
    std::uint32_t connectFailures = 0;
    bool allNotRun = true;
    for (std::uint32_t attempt = 0; attempt <= plan_.callerRetries_;) {
      // A retry with a request id must be the same request, so it keeps the tag.
      const std::string tag = plan_.tagPrefix_ + "-" + std::to_string(aIndex) + "." +
                              std::to_string(id.empty() ? attempt : 0);
      const auto message = MakeMessage(arrival, tag, id, end);
      const Address host = hosts[NextRandom(random) % hosts.size()];
      auto pendingExchange = Send(host, message, end + kAnswerGracePeriod);
      const Exchange exchange = co_await std::move(pendingExchange);
      if (!exchange.connected_ && Clock::now() < end && connectFailures < 4) {
        // No byte was sent, so another host is tried as part of the same attempt.
        ++connectFailures;
        continue;
      }
      ++record.attempts_;
      const std::string_view target(message->target());
      const bool correctBody =
        exchange.status_ != 200 ||
        exchange.body_ ==
          TargetBody(target, message->body(), RequestedBodyLength(target, kDefaultAnswerBytes));
      allNotRun = allNotRun && exchange.outcome_ == "not-run";
      RecordCall({ tag, id, exchange.outcome_, exchange.status_, correctBody, plan_.retryBudget_ },
                 attempt,
                 allNotRun);
      record.lastStatus_ = exchange.status_;
      record.latencySeconds_ = ToSeconds(Clock::now() - scheduled);
      if (attempt == 0) {
        record.firstStatus_ = exchange.status_;
        record.firstErrorType_ = ErrorType(exchange);
      }
      if (exchange.status_ == 200) {
        record.served_ = correctBody && Clock::now() <= end;
        break;
      }
      if (attempt == plan_.callerRetries_ || !ShouldRetry(exchange, requestClass)) {
        break;
      }
      if (!plan_.immediateRetries_) {
        asio::steady_timer pause(context_, RetryDelay(exchange, attempt, NextRandom(random)));
        error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
      if (Clock::now() >= end) {
        break;
      }
      ++attempt;
    }
  }

  // Records an attempt for the history check. Attempts with one request id share a tag, so the
  // targets' logs don't distinguish them. Only the last attempt keeps the tag and is compared with
  // the logs, with the retry budget of all attempts. The last attempt loses the tag too if it was
  // answered "not-run" and an earlier attempt wasn't, because the earlier one may have run.
  void RecordCall(HistoryCall aCall, std::uint32_t aAttempt, bool aAllNotRun)
  {
    if (!aCall.requestId_.empty() && aAttempt > 0) {
      auto& earlier = lastCall_[aCall.requestId_];
      result_.calls_[earlier].tag_.clear();
      aCall.retryBudget_ *= aAttempt + 1;
      if (aCall.outcome_ == "not-run" && !aAllNotRun) {
        aCall.tag_.clear();
      }
    }
    if (!aCall.requestId_.empty()) {
      lastCall_[aCall.requestId_] = result_.calls_.size();
    }
    result_.calls_.push_back(std::move(aCall));
  }

  // Error type in the body of an answer. Empty with status 200; "no-answer", "no-connection" or
  // "status-N" if there is no error type.
  static std::string ErrorType(const Exchange& aExchange)
  {
    if (aExchange.status_ == 200) {
      return {};
    }
    if (aExchange.status_ == 0) {
      return aExchange.connected_ ? "no-answer" : "no-connection";
    }
    const auto json = nlohmann::json::parse(aExchange.body_, nullptr, false);
    if (json.is_object() && json.contains("error") && json["error"].is_object() &&
        json["error"].contains("type") && json["error"]["type"].is_string()) {
      return json["error"]["type"].get<std::string>();
    }
    return "status-" + std::to_string(aExchange.status_);
  }

  const LoadPlan& plan_;
  const std::vector<DataCentreHosts>& dataCentres_;
  std::vector<Arrival> arrivals_;
  asio::io_context context_{ 1 };
  TimePoint start_{};
  std::map<Address, std::vector<Socket>> idleConnections_; ///< By host.
  std::vector<std::vector<std::string>> unusedIds_;        ///< Request ids, by data centre.
  std::map<std::string, std::size_t> lastCall_;            ///< Index in calls_, by request id.
  LoadResult result_;
};

} // namespace

LoadResult RunLoad(const LoadPlan& aPlan,
                   const std::vector<DataCentreHosts>& aDataCentres,
                   const std::function<void(TimePoint)>& aStarted)
{
  Runner runner(aPlan, aDataCentres);
  return runner.Run(aStarted);
}

} // namespace peridotquay::standins
