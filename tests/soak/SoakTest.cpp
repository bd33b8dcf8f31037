// Randomized soak test: quayd processes on the stand-ins of the users' platform serve clients while
// faults are injected: signals, links that are delayed, cut, silent or reset, and faults of the
// store and the targets. The environment variable SOAK_SEEDS=first-last selects other seeds.
#include "tests/failure/UserFleet.h"

#include <catch2/catch.hpp>

#include <atomic>
#include <csignal>
#include <cstdlib>
#include <random>

using namespace peridotquay;
using namespace peridotquay::testing;
using standins::UserStoreFault;

namespace {

constexpr std::size_t kHostCount = 6;
constexpr int kFaultCount = 12;
constexpr Duration kFaultDuration = milliseconds(700);

/// Response to one request as a client received it.
struct ObservedResponse
{
  unsigned status_ = 0; ///< 0 if there was no response.
  std::string body_;
};

/// Client threads that send requests until Stop is called.
class Clients
{
public:
  explicit Clients(UserFleet& aFleet, std::uint64_t aSeed)
    : fleet_(aFleet)
  {
    for (std::size_t client = 0; client < kHostCount; ++client) {
      threads_.emplace_back([this, client, aSeed] { Send(client, aSeed + client); });
    }
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;
  ~Clients() { Stop(); }

  std::map<std::string, ObservedResponse> Stop()
  {
    stopping_ = true;
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return responses_;
  }

private:
  void Send(std::size_t aClient, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    // Clients with an odd number reuse their connections; the others open one for each request.
    std::vector<std::unique_ptr<standins::HttpSession>> sessions(kHostCount);
    for (int i = 0; !stopping_; ++i) {
      const bool isWrite = random() % 2 == 0;
      const std::string id =
        (isWrite ? "w" : "r") + std::to_string(aClient) + "-" + std::to_string(i);
      const std::size_t host = random() % kHostCount;
      const auto request = UserFleet::MakeRequest(isWrite ? "/write/1" : "/read/1", id);
      auto& session = sessions[host];
      if (!session || aClient % 2 == 0) {
        session = std::make_unique<standins::HttpSession>(fleet_.CallersAddress(host));
      }
      const auto result = session->Fetch(request);
      if (result.has_error()) {
        // The process may have been restarted on other ports.
        session.reset();
      }
      const auto reply = result.has_value() ? result.assume_value() : standins::FetchResponse{};
      const std::lock_guard lock(mutex_);
      responses_[id] = { reply.status_, reply.body_ };
    }
  }

  UserFleet& fleet_;
  std::atomic<bool> stopping_{ false };
  std::mutex mutex_; ///< Guards responses_.
  std::map<std::string, ObservedResponse> responses_;
  std::vector<std::thread> threads_;
};

std::string RandomLinkFault(std::mt19937_64& aRandom)
{
  static const std::vector<std::string> kLinkFaults = {
    R"({"cut":true})",
    R"({"cut_answers":true})",
    R"({"silence_existing":true})",
    R"({"reset_existing":true})",
    R"({"delay_ms":60})",
    R"({"cut":false,"cut_answers":false,"delay_ms":0})"
  };
  return kLinkFaults[aRandom() % kLinkFaults.size()];
}

/// Injects one random fault and waits for kFaultDuration. Only a paused process is resumed at the
/// end; other faults last until they are replaced or EndFaults is called. Restarts some stopped
/// processes.
void InjectFault(UserFleet& aFleet, std::mt19937_64& aRandom, std::vector<bool>& aIsDown)
{
  const std::size_t host = aRandom() % kHostCount;
  switch (aRandom() % 10) {
    case 0:
      aFleet.ProcessOf(host).Signal(SIGKILL);
      aIsDown[host] = true;
      break;
    case 1:
      aFleet.ProcessOf(host).Signal(SIGTERM);
      aIsDown[host] = true;
      break;
    case 2:
      aFleet.ProcessOf(host).Signal(SIGSTOP);
      std::this_thread::sleep_for(kFaultDuration);
      aFleet.ProcessOf(host).Signal(SIGCONT);
      return;
    case 3:
      aFleet.ProcessOf(host).Signal(SIGHUP);
      break;
    case 4:
      aFleet.Store().SetFault(static_cast<UserStoreFault>(1 + aRandom() % 4));
      break;
    case 5:
      aFleet.Store().SetFault(UserStoreFault::kNone);
      aFleet.Store().Compact();
      break;
    case 6:
      aFleet.TargetOf(host).LoseOneAnswerIn(static_cast<unsigned>(aRandom() % 5));
      break;
    case 7:
      aFleet.TargetOf(host).SetServiceTime(milliseconds(5 + aRandom() % 400));
      break;
    default:
      aFleet.LinksOf(host).SetFaults(aRandom() % 2 == 0, RandomLinkFault(aRandom));
      break;
  }
  std::this_thread::sleep_for(kFaultDuration);
  // Restarts stopped processes at random while other faults are still active.
  for (std::size_t stoppedHost = 0; stoppedHost < kHostCount; ++stoppedHost) {
    if (aIsDown[stoppedHost] && aRandom() % 2 == 0) {
      aFleet.Restart(stoppedHost);
      aIsDown[stoppedHost] = false;
    }
  }
}

void EndFaults(UserFleet& aFleet, std::vector<bool>& aIsDown)
{
  aFleet.Store().SetFault(UserStoreFault::kNone);
  for (std::size_t host = 0; host < kHostCount; ++host) {
    for (const bool store : { true, false }) {
      aFleet.LinksOf(host).SetFaults(store, R"({"cut":false,"cut_answers":false,"delay_ms":0})");
    }
    aFleet.TargetOf(host).LoseOneAnswerIn(0);
    aFleet.TargetOf(host).SetServiceTime(milliseconds(5));
    if (aIsDown[host]) {
      aFleet.Restart(host);
    }
  }
}

/// Checks that no write ran twice, that a refused write didn't run, that responses belong to their
/// requests, and that valid keys and routes were never rejected.
void CheckResponses(const std::map<std::string, ObservedResponse>& aResponses,
                    std::map<std::string, int> aExecutionCounts)
{
  for (const auto& [id, response] : aResponses) {
    INFO(id << " status " << response.status_ << " ran " << aExecutionCounts[id]);
    const bool isWrite = id.front() == 'w';
    CHECK((!isWrite || aExecutionCounts[id] <= 1));
    const bool wasRefused = response.status_ == 503 || response.status_ == 429;
    CHECK((!isWrite || !wasRefused || aExecutionCounts[id] == 0));
    CHECK((response.status_ != 200 || response.body_ == "answer to " + id));
    CHECK(response.status_ != 401);
    CHECK(response.status_ != 404);
  }
}

void RunSeed(std::uint64_t aSeed)
{
  INFO("seed " << aSeed);
  UserFleet fleet(kHostCount, true);
  REQUIRE(fleet.WaitReady());
  std::mt19937_64 random(aSeed);
  std::vector<bool> isDown(kHostCount, false);
  Clients clients(fleet, aSeed);
  for (int i = 0; i < kFaultCount; ++i) {
    InjectFault(fleet, random, isDown);
  }
  EndFaults(fleet, isDown);
  // Every host must serve again within the recovery time that the users require.
  for (std::size_t host = 0; host < kHostCount; ++host) {
    bool served = false;
    for (int i = 0; i < 300 && !served; ++i) {
      served = fleet.SendRequest(host, "/read/1", "after").status_ == 200;
      std::this_thread::sleep_for(milliseconds(50));
    }
    INFO("host " << host);
    CHECK(served);
  }
  const auto responses = clients.Stop();
  CHECK(responses.size() > 50);
  CheckResponses(responses, fleet.ExecutionCounts());
}

} // namespace

// Guards against violations of the guarantees under overlapping and consecutive faults: a write
// that runs twice, a false refusal, a wrong response, or a host that doesn't recover.
TEST_CASE("responses stay correct and hosts recover under random faults", "[soak]")
{
  std::uint64_t first = 1;
  std::uint64_t last = 2;
  if (const char* seeds = std::getenv("SOAK_SEEDS")) {
    const std::string text = seeds;
    first = std::stoull(text);
    last = std::stoull(text.substr(text.find('-') + 1));
  }
  for (std::uint64_t seed = first; seed <= last; ++seed) {
    RunSeed(seed);
  }
}
