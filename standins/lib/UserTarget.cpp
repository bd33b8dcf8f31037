// Stand-in for a target, served by the product's HttpServer. Heartbeats are blocking calls on a
// thread of their own.
#include "standins/lib/UserTarget.h"

#include "standins/lib/FleetHttp.h"

#include <nlohmann/json.hpp>

#include <stdexcept>
#include <utility>

namespace peridotquay::standins {

namespace {

constexpr Duration kHeartbeatInterval = milliseconds(200);
constexpr std::uint64_t kSlots = 50;

} // namespace

UserTarget::UserTarget(std::string aId, std::string aService, std::uint16_t aHeartbeatPort)
  : id_(std::move(aId))
  , service_(std::move(aService))
  , heartbeatPort_(aHeartbeatPort)
{
  auto server = HttpServer::Listen(
    loop_, {}, [this](const std::shared_ptr<HttpExchange>& aExchange) { OnRequest(aExchange); });
  if (server.has_error()) {
    throw std::runtime_error("target stand-in: cannot listen on 127.0.0.1");
  }
  server_ = std::move(server.assume_value());
  thread_ = std::thread([this] { loop_.Run(); });
  heartbeatThread_ = std::thread([this] { SendHeartbeats(); });
}

UserTarget::~UserTarget()
{
  stopping_ = true;
  heartbeatThread_.join();
  loop_.Stop();
  thread_.join();
}

std::uint16_t UserTarget::Port() const
{
  return server_->Port();
}

std::vector<HttpRequest> UserTarget::StartedRequests()
{
  const std::lock_guard lock(mutex_);
  return startedRequests_;
}

std::vector<TimePoint> UserTarget::StartTimes()
{
  const std::lock_guard lock(mutex_);
  return startTimes_;
}

void UserTarget::OnRequest(const std::shared_ptr<HttpExchange>& aExchange)
{
  const HttpRequest& request = aExchange->request_;
  const auto expected = FindHeader(request.headers_, "X-Expected-Instance");
  if (expected && *expected != id_) {
    const std::string id(FindHeader(request.headers_, "X-Request-Id").value_or(""));
    aExchange->Respond(
      { 421, { { "X-Instance-Id", id_ }, { "X-Request-Id", id } }, "", std::nullopt });
    return;
  }
  std::size_t count = 0;
  {
    const std::lock_guard lock(mutex_);
    startedRequests_.push_back(request);
    startTimes_.push_back(loop_.Now());
    count = startedRequests_.size();
  }
  const unsigned loseOneAnswerIn = loseOneAnswerIn_;
  if (loseOneAnswerIn != 0 && count % loseOneAnswerIn == 0) {
    lostExchanges_.push_back(aExchange);
    return;
  }
  const std::string requestId(FindHeader(request.headers_, "X-Request-Id").value_or(""));
  loop_.After(serviceTime_, [this, aExchange, requestId] {
    HeaderList headers{ { "X-Request-Id", requestId },
                        { "X-Response-Signature", id_ + "." + requestId },
                        { "X-Server-Load", "1,0," + std::to_string(kSlots) } };
    if (statedLimit_ >= 0) {
      headers.emplace_back("Server-Limit", std::to_string(statedLimit_));
    }
    if (statesLeaving_) {
      headers.emplace_back("Server-Leaving", "1");
    }
    aExchange->Respond({ 200, headers, "answer to " + requestId, std::nullopt });
  });
}

void UserTarget::SendHeartbeats()
{
  for (std::uint64_t sequence = 1; !stopping_; ++sequence) {
    const nlohmann::json body = { { "service", service_ },
                                  { "address", "127.0.0.1:" + std::to_string(Port()) },
                                  { "capacity", kSlots },
                                  { "state", draining_ ? "draining" : "ready" },
                                  { "cold_remaining_ms", 0 },
                                  { "sequence", sequence },
                                  { "born", 1 } };
    // Errors are ignored: a host that is down receives a later heartbeat.
    static_cast<void>(FetchHttp({ "127.0.0.1", heartbeatPort_ },
                                { "POST",
                                  "/-/Instances.Heartbeat/" + id_,
                                  { { "Content-Type", "application/json" } },
                                  body.dump() }));
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

} // namespace peridotquay::standins
