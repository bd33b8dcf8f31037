// Tests of call chains: the retry budget over all levels, compared with a naive baseline, and load
// shedding.
#include "tests/failure/PathFleet.h"

#include <catch2/catch.hpp>

#include <array>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

// A chain of services s0 to s3 with two hosts each. Each target calls the next service with the
// call context that it received and passes on the result. The targets of s3 refuse every request as
// not run.
class Chain
{
public:
  static constexpr int kDepth = 4;

  explicit Chain(bool aNaive)
  {
    for (int i = 0; i < 2 * kDepth; ++i) {
      const int level = i / 2;
      targets_.push_back(std::make_unique<ScriptedTarget>(
        [this, i, level](const ReceivedRequest& aRequest) { return Serve(i, level, aRequest); }));
      NodeSettings settings =
        TestSettings("h" + std::to_string(i), "s" + std::to_string(level), targets_.back()->Port());
      settings.naive_ = aNaive;
      nodes_.push_back(std::make_unique<RunningNode>(settings));
      outbound_.at(static_cast<std::size_t>(i)) = nodes_.back()->node_->Ports().outbound_;
    }
    auto config = TestConfig();
    config->routes_.clear();
    for (int level = 0; level < kDepth; ++level) {
      Route route;
      route.id_ = { "s" + std::to_string(level) };
      route.prefix_ = "/s" + std::to_string(level);
      route.service_ = { "s" + std::to_string(level) };
      config->routes_.push_back(route);
    }
    std::vector<RunningNode*> all;
    for (const auto& node : nodes_) {
      all.push_back(node.get());
    }
    Publish(all, all, config);
  }

  ReceivedResponse SendRequest()
  {
    Caller caller(nodes_[0]->node_->Ports().callers_);
    return caller.SendRequest("GET", "/s0");
  }
  std::size_t AttemptCount()
  {
    std::size_t count = 0;
    for (const auto& target : targets_) {
      count += target->ReceivedRequests().size();
    }
    return count;
  }

private:
  std::string Serve(int aHost, int aLevel, const ReceivedRequest& aRequest)
  {
    if (aLevel == kDepth - 1) {
      return MakeHttpResponse(503, "", "Quay-Outcome: not-run\r\n");
    }
    Caller next(outbound_.at(static_cast<std::size_t>(aHost)));
    const std::string token = HeaderValue(aRequest.head_, "Quay-Call");
    const auto answer =
      next.SendRequest("GET", "/s" + std::to_string(aLevel + 1), "Quay-Call: " + token + "\r\n");
    // Reports a failed call as not run, so that the callers retry at every level.
    return answer.status_ == 200 ? MakeHttpResponse(200, answer.body_)
                                 : MakeHttpResponse(503, "", "Quay-Outcome: not-run\r\n");
  }

  std::array<std::atomic<std::uint16_t>, 2 * kDepth> outbound_{};
  std::vector<std::unique_ptr<ScriptedTarget>> targets_;
  std::vector<std::unique_ptr<RunningNode>> nodes_;
};

} // namespace

// Guards against retries that multiply along a chain. The naive baseline, which has no retry
// budget, shows that they would multiply in this chain.
TEST_CASE("attempts for one request stay within its budget over the whole chain", "[chain]")
{
  Chain bounded(false);
  const auto answer = bounded.SendRequest();
  CHECK(answer.status_ == 503);
  // One first attempt at each of the 4 levels, and 3 retries, each of which can cause a new first
  // attempt at every level below it.
  const std::size_t attempts = bounded.AttemptCount();
  CHECK(attempts >= 4);
  CHECK(attempts <= 4 + 3 * 4);

  Chain naive(true);
  CHECK(naive.SendRequest().status_ == 503);
  CHECK(naive.AttemptCount() > 100);
}

// Guards against a host that admits more calls than its target has slots, refuses with an
// undocumented status, or reports "not-run" for a request that ran.
TEST_CASE("overload is shed as 'not run' and the target never exceeds its slots", "[chain]")
{
  std::atomic<int> running{ 0 };
  std::atomic<int> maxRunning{ 0 };
  ScriptedTarget target([&](const ReceivedRequest&) {
    const int current = ++running;
    int previousMax = maxRunning;
    while (current > previousMax && !maxRunning.compare_exchange_weak(previousMax, current)) {
    }
    std::this_thread::sleep_for(milliseconds(40));
    --running;
    return MakeHttpResponse(200, "ok");
  });
  RunningNode first(TestSettings("first", "front", 1));
  RunningNode second(TestSettings("second", "bell", target.Port()));
  Publish({ &first, &second }, { &second });
  std::atomic<int> ran{ 0 };
  std::atomic<int> shed{ 0 };
  std::atomic<int> other{ 0 };
  std::vector<std::thread> callers;
  for (int i = 0; i < 150; ++i) {
    callers.emplace_back([&] {
      Caller caller(first.node_->Ports().callers_);
      for (int k = 0; k < 10; ++k) {
        const auto answer = caller.SendRequest(
          "GET", "/bells", "Quay-Key: " + kTestKey + "\r\nQuay-Deadline-Ms: 100\r\n");
        if (answer.status_ == 200 && answer.Outcome() == "ran") {
          ++ran;
        } else if (answer.status_ == 503 && answer.Outcome() == "not-run") {
          ++shed;
        } else {
          ++other;
        }
      }
    });
  }
  for (auto& caller : callers) {
    caller.join();
  }
  INFO("ran " << ran << " shed " << shed << " other " << other);
  CHECK(maxRunning <= 50);
  CHECK(ran > 100);
  CHECK(shed > 0);
  // If the deadline passes while a request runs, its outcome is unknown.
  CHECK(other < 200);
  CHECK(static_cast<int>(target.ReceivedRequests().size()) <= ran + other);
}
