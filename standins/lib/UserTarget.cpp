// Stand-in for a target, served by the product's HttpServer. Heartbeats are blocking calls on a
// thread of their own.
#include "standins/lib/UserTarget.h"

#include "standins/lib/FleetHttp.h"

#include <nlohmann/json.hpp>

#include <algorithm>
#include <cstdlib>
#include <stdexcept>
#include <utility>

namespace peridotquay::standins {

namespace {

constexpr Duration kHeartbeatInterval = milliseconds(200);
constexpr std::uint64_t kStartedMs = 1;

// Time of a deeper call that serves a request without a deadline.
constexpr Duration kDeeperCallTimeout = seconds(1);

// Requests with this path end get an answer larger than the buffers of a connection whose caller
// doesn't read.
constexpr std::string_view kLargePathEnd = "/large";

// Requests with this path end get an answer that stops before its declared end.
constexpr std::string_view kUnfinishedPathEnd = "/unfinished";

// Requests with a number behind this end of the path take so many milliseconds.
constexpr std::string_view kWorkPathEnd = "/work-";

} // namespace

UserTarget::UserTarget(std::string aId,
                       std::string aService,
                       std::uint16_t aHeartbeatPort,
                       std::uint16_t aPort)
  : id_(std::move(aId))
  , service_(std::move(aService))
  , heartbeatPort_(aHeartbeatPort)
{
  HttpServerSettings settings;
  settings.listen_.port_ = aPort;
  auto server =
    HttpServer::Listen(loop_, settings, [this](const std::shared_ptr<HttpExchange>& aExchange) {
      OnRequest(aExchange);
    });
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
  deeperCalls_.reset();
  // Its connections report their end to members that are declared later.
  server_.reset();
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

std::vector<TargetWork> UserTarget::Work()
{
  const std::lock_guard lock(mutex_);
  return work_;
}

void UserTarget::EndWork(std::size_t aIndex, bool aBrokenOff)
{
  const std::lock_guard lock(mutex_);
  TargetWork& work = work_[aIndex];
  if (work.endedAt_ == TimePoint{}) {
    work.endedAt_ = loop_.Now();
    work.brokenOff_ = aBrokenOff;
  }
}

Duration UserTarget::ServiceTime(const HttpRequest& aRequest) const
{
  const std::size_t at = aRequest.path_.rfind(kWorkPathEnd);
  if (at == std::string::npos) {
    return serviceTime_;
  }
  return milliseconds(std::atoi(aRequest.path_.c_str() + at + kWorkPathEnd.size()));
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
    const auto left =
      ParseNumber(FindHeader(request.headers_, "X-Deadline-Ms").value_or(""), 3'600'000);
    work_.push_back({ std::string(FindHeader(request.headers_, "X-Request-Id").value_or("")),
                      loop_.Now(),
                      left ? loop_.Now() + milliseconds(*left) : TimePoint{},
                      {},
                      false });
    count = startedRequests_.size();
  }
  const std::size_t work = count - 1;
  aExchange->onClosed_ = [this, work] { EndWork(work, true); };
  const unsigned loseOneAnswerIn = loseOneAnswerIn_;
  if (loseOneAnswerIn != 0 && count % loseOneAnswerIn == 0) {
    lostExchanges_.push_back(aExchange);
    return;
  }
  CallAndAnswer(aExchange, work, deeperCallCount_);
}

void UserTarget::CallDeeper(const Address& aHost, std::string aPath, unsigned aCount)
{
  TargetClientSettings settings;
  settings.target_ = aHost;
  deeperCalls_ = std::make_unique<TargetClient>(loop_, settings);
  deeperPath_ = std::move(aPath);
  deeperCallCount_ = aCount;
}

void UserTarget::CallAndAnswer(const std::shared_ptr<HttpExchange>& aExchange,
                               std::size_t aWork,
                               unsigned aCallsLeft)
{
  if (aCallsLeft == 0) {
    loop_.After(ServiceTime(aExchange->request_),
                [this, aExchange, aWork] { Answer(aExchange, aWork); });
    return;
  }
  const HeaderList& headers = aExchange->request_.headers_;
  const std::string requestId(FindHeader(headers, "X-Request-Id").value_or(""));
  const HttpRequest call = {
    "GET",
    deeperPath_,
    { { "Host", std::string(FindHeader(headers, "Host").value_or("")) },
      { "X-Request-Id", requestId + "-" + id_ + "-" + std::to_string(aCallsLeft) },
      { "X-Deadline-Ms", std::to_string(TimeLeft(aWork) / milliseconds(1)) } },
    ""
  };
  deeperCalls_->Send(call, [this, aExchange, aWork, aCallsLeft](const TargetResult& aResult) {
    if (aResult.requestStatus_ == TargetRequestStatus::kAnswered &&
        aResult.response_.status_ == 200) {
      CallAndAnswer(aExchange, aWork, aCallsLeft - 1);
      return;
    }
    const std::string id(FindHeader(aExchange->request_.headers_, "X-Request-Id").value_or(""));
    EndWork(aWork, false);
    aExchange->Respond({ 500, { { "X-Request-Id", id } }, "", std::nullopt });
  });
}

Duration UserTarget::TimeLeft(std::size_t aWork)
{
  const std::lock_guard lock(mutex_);
  const TimePoint deadline = work_[aWork].deadline_;
  return deadline == TimePoint{} ? kDeeperCallTimeout
                                 : std::max<Duration>(deadline - loop_.Now(), milliseconds(1));
}

void UserTarget::Answer(const std::shared_ptr<HttpExchange>& aExchange, std::size_t aWork)
{
  EndWork(aWork, false);
  const std::string requestId(
    FindHeader(aExchange->request_.headers_, "X-Request-Id").value_or(""));
  HeaderList headers{ { "X-Request-Id", requestId },
                      { "X-Response-Signature", id_ + "." + requestId },
                      { "X-Server-Load", "1,0," + std::to_string(slots_) } };
  if (statedLimit_ >= 0) {
    headers.emplace_back("Server-Limit", std::to_string(statedLimit_));
  }
  if (omitsSignature_) {
    RemoveHeader(headers, "X-Response-Signature");
  }
  if (statesLeaving_) {
    headers.emplace_back("Server-Leaving", "1");
  }
  std::string body = "answer to " + requestId;
  if (aExchange->request_.path_.ends_with(kLargePathEnd)) {
    body.resize(kLargeAnswerBytes, '.');
  }
  std::optional<std::uint64_t> declaredLength;
  if (aExchange->request_.path_.ends_with(kUnfinishedPathEnd)) {
    body.resize(kSentAnswerBytes, '.');
    declaredLength = kUnfinishedAnswerBytes;
  }
  aExchange->Respond({ 200, headers, body, declaredLength });
}

std::string UserTarget::ReportBody(bool aDraining,
                                   std::uint64_t aSequence,
                                   std::uint64_t aStartedMs) const
{
  const nlohmann::json body = {
    { "service", service_ },
    { "address", "127.0.0.1:" + std::to_string(Port()) },
    { "zone", "z0" },
    { "version", "v1" },
    { "capacity", slots_.load() },
    { "state", aDraining ? "draining" : "ready" },
    { "cold_remaining_ms",
      std::chrono::duration_cast<milliseconds>(coldRemaining_.load()).count() },
    { "sequence", aSequence },
    { "born", aStartedMs }
  };
  return body.dump();
}

void UserTarget::SendHeartbeats()
{
  for (std::uint64_t sequence = 1; !stopping_; ++sequence) {
    if (!heartbeatsStopped_) {
      // Errors are ignored: a host that is down receives a later heartbeat.
      static_cast<void>(FetchHttp({ "127.0.0.1", heartbeatPort_ },
                                  { "POST",
                                    "/-/Instances.Heartbeat/" + id_,
                                    { { "Content-Type", "application/json" } },
                                    ReportBody(draining_, sequence, kStartedMs) }));
    }
    std::this_thread::sleep_for(kHeartbeatInterval);
  }
}

} // namespace peridotquay::standins
