// Randomized soak: real quayd processes on the stand-ins of the users' platform, with faults
// injected from outside while clients send requests: signals, links that delay, cut, silence or
// reset, a store and targets that misbehave. SOAK_SEEDS=first-last runs other seeds by hand.
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

constexpr std::size_t kHosts = 6;
constexpr int kFaults = 12;
constexpr Duration kFaultTime = milliseconds(700);

/// What a client saw of one request.
struct Seen
{
  unsigned status_ = 0; ///< 0: no answer.
  std::string body_;
};

/// Clients that send until they are told to end.
class Clients
{
public:
  explicit Clients(UserFleet& aFleet, std::uint64_t aSeed)
    : fleet_(aFleet)
  {
    for (std::size_t client = 0; client < kHosts; ++client) {
      threads_.emplace_back([this, client, aSeed] { Send(client, aSeed + client); });
    }
  }
  Clients(const Clients&) = delete;
  Clients& operator=(const Clients&) = delete;
  ~Clients() { End(); }

  std::map<std::string, Seen> End()
  {
    ending_ = true;
    for (auto& thread : threads_) {
      if (thread.joinable()) {
        thread.join();
      }
    }
    return seen_;
  }

private:
  void Send(std::size_t aClient, std::uint64_t aSeed)
  {
    std::mt19937_64 random(aSeed);
    // Half of the clients keep their connection for as long as it lives.
    std::vector<std::unique_ptr<standins::HttpSession>> sessions(kHosts);
    for (int i = 0; !ending_; ++i) {
      const bool write = random() % 2 == 0;
      const std::string id =
        (write ? "w" : "r") + std::to_string(aClient) + "-" + std::to_string(i);
      const std::size_t host = random() % kHosts;
      const auto query = UserFleet::Query(write ? "/write/1" : "/read/1", id);
      auto& session = sessions[host];
      if (!session || aClient % 2 == 0) {
        session = std::make_unique<standins::HttpSession>(fleet_.CallersOf(host));
      }
      const auto result = session->Fetch(query);
      if (result.has_error()) {
        // The process may have come back on other ports.
        session.reset();
      }
      const auto reply = result.has_value() ? result.assume_value() : standins::FetchResponse{};
      const std::lock_guard lock(mutex_);
      seen_[id] = { reply.status_, reply.body_ };
    }
  }

  UserFleet& fleet_;
  std::atomic<bool> ending_{ false };
  std::mutex mutex_; ///< Guards seen_.
  std::map<std::string, Seen> seen_;
  std::vector<std::thread> threads_;
};

std::string LinkFault(std::mt19937_64& aRandom)
{
  static const std::vector<std::string> kFaults = {
    R"({"cut":true})",
    R"({"cut_answers":true})",
    R"({"silence_existing":true})",
    R"({"reset_existing":true})",
    R"({"delay_ms":60})",
    R"({"cut":false,"cut_answers":false,"delay_ms":0})"
  };
  return kFaults[aRandom() % kFaults.size()];
}

/// Injects one fault, lets it last, and ends it. Faults follow one another without a pause.
void Inject(UserFleet& aFleet, std::mt19937_64& aRandom, std::vector<bool>& aDown)
{
  const std::size_t host = aRandom() % kHosts;
  switch (aRandom() % 10) {
    case 0:
      aFleet.ProcessOf(host).Signal(SIGKILL);
      aDown[host] = true;
      break;
    case 1:
      aFleet.ProcessOf(host).Signal(SIGTERM);
      aDown[host] = true;
      break;
    case 2:
      aFleet.ProcessOf(host).Signal(SIGSTOP);
      std::this_thread::sleep_for(kFaultTime);
      aFleet.ProcessOf(host).Signal(SIGCONT);
      return;
    case 3:
      aFleet.ProcessOf(host).Signal(SIGHUP);
      break;
    case 4:
      aFleet.Store().SetFault(static_cast<UserStoreFault>(1 + aRandom() % 3));
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
      // Links misbehave until the end of the next fault of the same link, or of the run.
      aFleet.LinksOf(host).Set(aRandom() % 2 == 0, LinkFault(aRandom));
      break;
  }
  std::this_thread::sleep_for(kFaultTime);
  // Processes come back while other faults go on.
  for (std::size_t down = 0; down < kHosts; ++down) {
    if (aDown[down] && aRandom() % 2 == 0) {
      aFleet.Restart(down);
      aDown[down] = false;
    }
  }
}

void EndFaults(UserFleet& aFleet, std::vector<bool>& aDown)
{
  aFleet.Store().SetFault(UserStoreFault::kNone);
  for (std::size_t host = 0; host < kHosts; ++host) {
    for (const bool store : { true, false }) {
      aFleet.LinksOf(host).Set(store, R"({"cut":false,"cut_answers":false,"delay_ms":0})");
    }
    aFleet.TargetOf(host).LoseOneAnswerIn(0);
    aFleet.TargetOf(host).SetServiceTime(milliseconds(5));
    if (aDown[host]) {
      aFleet.Restart(host);
    }
  }
}

void CheckPromises(const std::map<std::string, Seen>& aSeen, std::map<std::string, int> aRuns)
{
  for (const auto& [id, seen] : aSeen) {
    INFO(id << " status " << seen.status_ << " ran " << aRuns[id]);
    const bool write = id.front() == 'w';
    CHECK((!write || aRuns[id] <= 1));
    const bool promised = seen.status_ == 503 || seen.status_ == 429;
    CHECK((!write || !promised || aRuns[id] == 0));
    CHECK((seen.status_ != 200 || seen.body_ == "answer to " + id));
    CHECK(seen.status_ != 401);
    CHECK(seen.status_ != 404);
  }
}

void RunSeed(std::uint64_t aSeed)
{
  INFO("seed " << aSeed);
  UserFleet fleet(kHosts, true);
  REQUIRE(fleet.WaitReady());
  std::mt19937_64 random(aSeed);
  std::vector<bool> down(kHosts, false);
  Clients clients(fleet, aSeed);
  for (int i = 0; i < kFaults; ++i) {
    Inject(fleet, random, down);
  }
  EndFaults(fleet, down);
  // Every host serves again, with all keys, within the time that the users give for recovery.
  for (std::size_t host = 0; host < kHosts; ++host) {
    bool served = false;
    for (int i = 0; i < 300 && !served; ++i) {
      served = fleet.Ask(host, "/read/1", "after").status_ == 200;
      std::this_thread::sleep_for(milliseconds(50));
    }
    INFO("host " << host);
    CHECK(served);
  }
  const auto seen = clients.End();
  CHECK(seen.size() > 50);
  CheckPromises(seen, fleet.Runs());
}

} // namespace

// Guards the promises of the users' rules under faults that overlap and come in series.
TEST_CASE("promises hold under random faults", "[soak]")
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
