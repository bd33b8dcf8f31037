// Open-loop load on Asio coroutines: one coroutine for each request, idle connections are reused.
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

// Request ids are fetched in small batches: a batch is lost with the host that issued it.
constexpr std::uint32_t kIdBatch = 16;

// Waiting time for an answer beyond the request's deadline, so that a late "unknown" is still read.
constexpr Duration kGrace = milliseconds(300);

// Length of answers of a stand-in target when the path doesn't ask for another.
constexpr std::size_t kAnswerBytes = 64;

// Backoff of a polite caller; doubles with each attempt.
constexpr Duration kBackoff = milliseconds(50);

using Socket = std::shared_ptr<tcp::socket>;
using Message = http::request<http::string_body>;

struct Exchange
{
  bool connected_ = false; ///< A connection could be had, so bytes may have left.
  unsigned status_ = 0;
  std::string outcome_;
  std::string retryAfterMs_;
  std::string body_;
};

// Splitmix64 over a request's own random number.
std::uint64_t Next(std::uint64_t& aState)
{
  aState += 0x9E3779B97F4A7C15ULL;
  std::uint64_t value = aState;
  value = (value ^ (value >> 30U)) * 0xBF58476D1CE4E5B9ULL;
  value = (value ^ (value >> 27U)) * 0x94D049BB133111EBULL;
  return value ^ (value >> 31U);
}

bool PeerClosed(tcp::socket& aSocket)
{
  char byte = 0;
  const ssize_t got = ::recv(aSocket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
  return got >= 0 || (errno != EAGAIN && errno != EWOULDBLOCK);
}

class Runner
{
public:
  Runner(const LoadPlan& aPlan, const std::vector<LoadEntry>& aEntries)
    : plan_(aPlan)
    , entries_(aEntries)
    , arrivals_(PlanArrivals(aPlan))
    , ids_(aEntries.size())
  {
    result_.records_.resize(arrivals_.size());
  }

  LoadResult Run(const std::function<void(TimePoint)>& aStarted)
  {
    // A short lead lets the first arrivals start on time.
    start_ = Clock::now() + milliseconds(20);
    aStarted(start_);
    asio::co_spawn(
      context_, [this] { return Dispatch(); }, asio::detached);
    context_.run();
    return std::move(result_);
  }

private:
  TimePoint At(double aSeconds) const
  {
    return start_ + std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
  }

  asio::awaitable<void> Dispatch()
  {
    asio::steady_timer timer(context_);
    error_code ignored;
    for (std::size_t i = 0; i < arrivals_.size(); ++i) {
      const TimePoint due = At(arrivals_[i].at_);
      if (due > Clock::now()) {
        timer.expires_at(due);
        co_await timer.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
      result_.worstLagSeconds_ = std::max(result_.worstLagSeconds_, ToSeconds(Clock::now() - due));
      asio::co_spawn(
        context_, [this, i] { return Request(i); }, asio::detached);
    }
  }

  Socket TakeIdle(const Address& aServer)
  {
    auto& idle = idle_[aServer];
    while (!idle.empty()) {
      Socket socket = std::move(idle.back());
      idle.pop_back();
      if (!PeerClosed(*socket)) {
        return socket;
      }
    }
    return nullptr;
  }

  // One HTTP exchange. Nothing is sent twice.
  asio::awaitable<Exchange> Send(Address aServer, std::shared_ptr<Message> aMessage, TimePoint aEnd)
  {
    Exchange exchange;
    error_code failure;
    Socket socket = TakeIdle(aServer);
    asio::steady_timer limit(context_, aEnd);
    const bool fresh = !socket;
    if (fresh) {
      socket = std::make_shared<tcp::socket>(context_);
    }
    limit.async_wait([socket](error_code aFailure) {
      if (!aFailure) {
        error_code ignored;
        socket->close(ignored);
      }
    });
    if (fresh) {
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
    limit.cancel();
    if (answer.keep_alive() && socket->is_open()) {
      idle_[aServer].push_back(socket);
    }
    co_return exchange;
  }

  // A request id issued by a host of the data centre; empty if none could be had.
  asio::awaitable<std::string> TakeId(std::size_t aEntry, std::uint64_t aRandom, TimePoint aEnd)
  {
    auto& pool = ids_[aEntry];
    for (int attempt = 0; attempt < 4 && pool.empty(); ++attempt) {
      const LoadEntry& hosts = entries_[aEntry];
      const Address host = hosts[Next(aRandom) % hosts.size()];
      const std::string target = "/quay/request-ids?count=" + std::to_string(kIdBatch);
      auto message = std::make_shared<Message>(http::verb::post, target, 11);
      message->set(http::field::host, host.ip_);
      message->set("Quay-Key", plan_.accounts_[0].key_);
      message->prepare_payload();
      auto sending = Send(host, message, aEnd);
      const Exchange exchange = co_await std::move(sending);
      const auto json = nlohmann::json::parse(exchange.body_, nullptr, false);
      if (exchange.status_ == 200 && json.is_object() && json.contains("request_ids")) {
        for (const auto& id : json["request_ids"]) {
          pool.push_back(id.get<std::string>());
        }
      } else {
        ++result_.lostIds_;
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
    const LoadClass& kind = plan_.classes_[aArrival.class_];
    const std::string target = WithQueryParameter(kind.path_, "tag", aTag);
    const auto verb = kind.repeatable_ ? http::verb::get : http::verb::post;
    auto message = std::make_shared<Message>(verb, target, 11);
    message->set(http::field::host, "fleet");
    message->set("Quay-Key", plan_.accounts_[aArrival.account_].key_);
    message->set("Quay-Retry-Budget", std::to_string(plan_.budget_));
    const auto left = std::chrono::duration_cast<milliseconds>(aEnd - Clock::now()).count();
    message->set("Quay-Deadline-Ms", std::to_string(std::max<std::int64_t>(left, 1)));
    if (!aId.empty()) {
      message->set("Quay-Request-Id", aId);
    }
    if (!kind.repeatable_) {
      // A repeat must have the same body, so it doesn't depend on the tag.
      message->body() = "order";
    }
    message->prepare_payload();
    return message;
  }

  // Whether the caller tries again after this answer.
  bool TryAgain(const Exchange& aExchange, const LoadClass& aClass) const
  {
    if (plan_.hardRetries_) {
      return true;
    }
    const bool refused = aExchange.status_ == 503 || aExchange.status_ == 429;
    return refused || (aClass.repeatable_ && (aExchange.status_ == 0 || aExchange.status_ >= 500));
  }

  static Duration Pause(const Exchange& aExchange, std::uint32_t aAttempt, std::uint64_t aRandom)
  {
    const auto shift = std::min(aAttempt, 5U);
    const double jitter = 0.5 + static_cast<double>(aRandom % 1000) / 1000;
    const auto backoff = std::chrono::duration_cast<Duration>(kBackoff * (1U << shift) * jitter);
    const long long hint = std::atoll(aExchange.retryAfterMs_.c_str());
    return std::max<Duration>(backoff, milliseconds(std::clamp(hint, 0LL, 10'000LL)));
  }

  asio::awaitable<void> Request(std::size_t aIndex)
  {
    const Arrival& arrival = arrivals_[aIndex];
    const LoadClass& kind = plan_.classes_[arrival.class_];
    LoadRecord& record = result_.records_[aIndex];
    record.arrival_ = arrival;
    std::uint64_t random = arrival.random_;
    const std::size_t entry = Next(random) % entries_.size();
    const LoadEntry& hosts = entries_[entry];
    const TimePoint scheduled = At(arrival.at_);
    const TimePoint end = scheduled + plan_.deadline_;
    std::string id;
    if (!kind.repeatable_) {
      auto taking = TakeId(entry, Next(random), end);
      id = co_await std::move(taking);
    }
    std::uint32_t connectFailures = 0;
    bool allNotRun = true;
    for (std::uint32_t attempt = 0; attempt <= plan_.callerRetries_;) {
      // A repeat under a request id must be the same request, so it keeps the tag.
      const std::string tag =
        plan_.run_ + "-" + std::to_string(aIndex) + "." + std::to_string(id.empty() ? attempt : 0);
      const auto message = MakeMessage(arrival, tag, id, end);
      const Address host = hosts[Next(random) % hosts.size()];
      auto sending = Send(host, message, end + kGrace);
      const Exchange exchange = co_await std::move(sending);
      if (!exchange.connected_ && Clock::now() < end && connectFailures < 4) {
        // No byte was sent: another host is tried as part of the same attempt.
        ++connectFailures;
        continue;
      }
      ++record.attempts_;
      const std::string_view target(message->target());
      const bool right =
        exchange.status_ != 200 ||
        exchange.body_ ==
          TargetBody(target, message->body(), RequestedBodyLength(target, kAnswerBytes));
      allNotRun = allNotRun && exchange.outcome_ == "not-run";
      NoteCall(
        { tag, id, exchange.outcome_, exchange.status_, right, plan_.budget_ }, attempt, allNotRun);
      record.lastStatus_ = exchange.status_;
      record.seconds_ = ToSeconds(Clock::now() - scheduled);
      if (attempt == 0) {
        record.firstStatus_ = exchange.status_;
        record.firstError_ = ErrorType(exchange);
      }
      if (exchange.status_ == 200) {
        record.served_ = right && Clock::now() <= end;
        break;
      }
      if (attempt == plan_.callerRetries_ || !TryAgain(exchange, kind)) {
        break;
      }
      if (!plan_.hardRetries_) {
        asio::steady_timer pause(context_, Pause(exchange, attempt, Next(random)));
        error_code ignored;
        co_await pause.async_wait(asio::redirect_error(asio::use_awaitable, ignored));
      }
      if (Clock::now() >= end) {
        break;
      }
      ++attempt;
    }
  }

  // Repeats under a request id share one tag and so one entry in the targets' logs. Only the last
  // attempt is held against that log, and a "not run" only if every attempt said so.
  void NoteCall(HistoryCall aCall, std::uint32_t aAttempt, bool aAllNotRun)
  {
    if (!aCall.requestId_.empty() && aAttempt > 0) {
      auto& earlier = lastCall_[aCall.requestId_];
      result_.calls_[earlier].tag_.clear();
      aCall.budget_ *= aAttempt + 1;
      if (aCall.outcome_ == "not-run" && !aAllNotRun) {
        aCall.tag_.clear();
      }
    }
    if (!aCall.requestId_.empty()) {
      lastCall_[aCall.requestId_] = result_.calls_.size();
    }
    result_.calls_.push_back(std::move(aCall));
  }

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
  const std::vector<LoadEntry>& entries_;
  std::vector<Arrival> arrivals_;
  asio::io_context context_{ 1 };
  TimePoint start_{};
  std::map<Address, std::vector<Socket>> idle_;
  std::vector<std::vector<std::string>> ids_;   ///< Issued and unused, by data centre.
  std::map<std::string, std::size_t> lastCall_; ///< Index of the latest call of a request id.
  LoadResult result_;
};

} // namespace

LoadResult RunLoad(const LoadPlan& aPlan,
                   const std::vector<LoadEntry>& aEntries,
                   const std::function<void(TimePoint)>& aStarted)
{
  Runner runner(aPlan, aEntries);
  return runner.Run(aStarted);
}

} // namespace peridotquay::standins
