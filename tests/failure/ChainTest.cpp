// Chains of calls: attempts within the budget, the naive baseline, overload.
#include "tests/failure/PathFleet.h"

#include <catch2/catch.hpp>

#include <array>

using namespace peridotquay;
using namespace peridotquay::testing;

namespace {

// A chain of services s0 to s3, each with two hosts. Each target calls the next service with the
// context it was given and passes on the result; the targets of s3 refuse without starting.
class Chain
{
public:
  static constexpr int kDepth = 4;

  explicit Chain(bool aNaive)
  {
    for (int i = 0; i < 2 * kDepth; ++i) {
      const int level = i / 2;
      targets_.push_back(std::make_unique<ScriptTarget>(
        [this, i, level](const SeenRequest& aRequest) { return Serve(i, level, aRequest); }));
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

  SeenAnswer Ask()
  {
    Caller caller(nodes_[0]->node_->Ports().callers_);
    return caller.Ask("GET", "/s0");
  }
  std::size_t Attempts()
  {
    std::size_t count = 0;
    for (const auto& target : targets_) {
      count += target->Seen().size();
    }
    return count;
  }

private:
  std::string Serve(int aHost, int aLevel, const SeenRequest& aRequest)
  {
    if (aLevel == kDepth - 1) {
      return HttpAnswer(503, "", "Quay-Outcome: not-run\r\n");
    }
    Caller deeper(outbound_.at(static_cast<std::size_t>(aHost)));
    const std::string token = HeadValue(aRequest.head_, "Quay-Call");
    const auto answer =
      deeper.Ask("GET", "/s" + std::to_string(aLevel + 1), "Quay-Call: " + token + "\r\n");
    // A target that can't do its work refuses it, which makes its callers try again.
    return answer.status_ == 200 ? HttpAnswer(200, answer.body_)
                                 : HttpAnswer(503, "", "Quay-Outcome: not-run\r\n");
  }

  std::array<std::atomic<std::uint16_t>, 2 * kDepth> outbound_{};
  std::vector<std::unique_ptr<ScriptTarget>> targets_;
  std::vector<std::unique_ptr<RunningNode>> nodes_;
};

} // namespace

// Guards against retries that multiply along a chain. The baseline shows that the chain does make
// them multiply when nothing bounds them.
TEST_CASE("attempts for one request stay within its budget over the whole chain", "[chain]")
{
  Chain bounded(false);
  const auto answer = bounded.Ask();
  CHECK(answer.status_ == 503);
  // First attempts at each of the 4 levels, and 3 retries at any level, each of which can lead to
  // new first attempts below it.
  const std::size_t attempts = bounded.Attempts();
  CHECK(attempts >= 4);
  CHECK(attempts <= 4 + 3 * 4);

  Chain naive(true);
  CHECK(naive.Ask().status_ == 503);
  CHECK(naive.Attempts() > 100);
}

// Guards against a guard that admits more than its target's slots, refuses with another status, or
// claims "not run" for a request that ran.
TEST_CASE("overload is shed as 'not run' and the target is never over its slots", "[chain]")
{
  std::atomic<int> running{ 0 };
  std::atomic<int> most{ 0 };
  ScriptTarget target([&](const SeenRequest&) {
    const int now = ++running;
    int seen = most;
    while (now > seen && !most.compare_exchange_weak(seen, now)) {
    }
    std::this_thread::sleep_for(milliseconds(40));
    --running;
    return HttpAnswer(200, "ok");
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
        const auto answer =
          caller.Ask("GET", "/bells", "Quay-Key: " + kTestKey + "\r\nQuay-Deadline-Ms: 100\r\n");
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
  CHECK(most <= 50);
  CHECK(ran > 100);
  CHECK(shed > 0);
  // The deadline can pass while a request runs; then its outcome is unknown.
  CHECK(other < 200);
  CHECK(static_cast<int>(target.Seen().size()) <= ran + other);
}
