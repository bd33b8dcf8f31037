// Four machines, one in each zone. One gets SIGTERM while its endpoint runs long searches. Clients
// of that machine go on sending deposits on a public route, more than 3 s after the signal too.
// Counts the deposits sent that late which an endpoint was running when the node gave an answer of
// its own, or closed the channel without one. Usage: late_in_grace REPOSITORY RECORD
#include "review/lib-3/Channel.h"
#include "review/lib-3/SmallFleet.h"

#include <csignal>
#include <iostream>

using namespace peridotquay;
using namespace peridotquay::review;

namespace {

constexpr std::size_t kSearches = 5;
// The sheet's longest search takes 6.6 s, its longest deposit 1.7 s.
constexpr const char* kSearchPath = "/search/work-4900";
constexpr const char* kDepositPath = "/deposit/work-1200";
constexpr int kDeposits = 51;
constexpr auto kBetweenDeposits = milliseconds(100);
constexpr auto kGrace = seconds(6);
/// A deposit that is sent earlier after the signal is excused.
constexpr auto kLate = seconds(3);
constexpr auto kDepositTimeout = milliseconds(1500);

nlohmann::json Document()
{
  const auto route =
    [](const char* aPrefix, const char* aKind, const char* aService, int aTimeout, bool aPublic) {
      return nlohmann::json{
        { "host", "hulo84.example" }, { "prefix", aPrefix },         { "kind", aKind },
        { "timeout_ms", aTimeout },   { "latency_target_ms", 1500 }, { "priority", 2 },
        { "service", aService },      { "max_attempts", 2 },         { "public", aPublic }
      };
    };
  return {
    { "version", "r1" },
    { "routes",
      { { "record-search", route("/search/", "safe", "arsiv", 5000, false) },
        { "deposit-confirm", route("/deposit/", "unsafe", "kasa", 1500, true) } } },
    { "services", { { "arsiv", nlohmann::json::object() }, { "kasa", nlohmann::json::object() } } },
    { "tenants", { { "parish", { { "api_keys", { "key-parish" } }, { "rate_per_s", 0 } } } } }
  };
}

std::string Request(const std::string& aPath, const std::string& aId, bool aHasKey)
{
  return (aHasKey ? "GET " : "POST ") + aPath +
         " HTTP/1.1\r\nHost: hulo84.example\r\nX-Request-Id: " + aId +
         "\r\nX-Deadline-Ms: " + (aHasKey ? "10000" : "5000") + "\r\n" +
         (aHasKey ? "Authorization: Token key-parish\r\n" : "") + "\r\n";
}

struct Deposit
{
  std::string id_;
  TimePoint sentAt_{};
  TimePoint endedAt_{};
  Got got_;
  bool refused_ = false; ///< The channel couldn't be opened.
};

std::string Ms(Duration aDuration)
{
  return std::to_string(std::chrono::duration_cast<milliseconds>(aDuration).count());
}

} // namespace

int main(int aCount, char** aArguments)
{
  if (aCount != 3) {
    return 2;
  }
  Record record(aArguments[2]);
  const bool trouble = HasTrouble();
  record.Line(trouble ? "with the trouble" : "without the trouble");
  // The first machine's endpoint runs the searches, which are sent to the same machine.
  SmallFleet fleet(aArguments[1], { { "arsiv", "kasa", "katalog", "kasa" } }, Document());
  if (!fleet.WaitReady()) {
    record.Line("the fleet isn't ready");
    return 2;
  }
  const std::uint16_t port = fleet.At(0).outboundPort_;
  // The node starts many searches at once only after its endpoint has answered some.
  for (int i = 0; i < 20; ++i) {
    Channel channel(port);
    channel.Send(Request("/search/work-5", "warm-" + std::to_string(i), true));
    channel.Receive(5);
  }
  std::vector<std::thread> clients;
  std::vector<Got> searches(kSearches);
  for (std::size_t i = 0; i < kSearches; ++i) {
    clients.emplace_back([&, i] {
      Channel channel(port);
      channel.Send(Request(kSearchPath, "search-" + std::to_string(i), true));
      searches[i] = channel.Receive(9);
    });
  }
  std::this_thread::sleep_for(milliseconds(50));
  const TimePoint signalledAt = Clock::now();
  if (trouble) {
    record.Line("SIGTERM to " + fleet.At(0).name_);
    fleet.At(0).process_.Signal(SIGTERM);
  }
  std::vector<Deposit> deposits(kDeposits);
  for (int i = 0; i < kDeposits; ++i) {
    clients.emplace_back([&, i] {
      std::this_thread::sleep_until(signalledAt + i * kBetweenDeposits);
      Deposit& deposit = deposits[i];
      deposit.id_ = "deposit-" + std::to_string(i);
      Channel channel(port);
      deposit.refused_ = !channel.IsOpen();
      deposit.sentAt_ = Clock::now();
      channel.Send(Request(kDepositPath, deposit.id_, false));
      deposit.got_ = channel.Receive(9);
      deposit.endedAt_ = Clock::now();
    });
  }
  std::this_thread::sleep_until(signalledAt + kGrace);
  if (trouble) {
    const auto status = fleet.At(0).process_.Wait(milliseconds(1));
    record.Line(status ? "the process ended within the grace time, exit status " +
                           std::to_string(*status)
                       : "SIGKILL, because the process is still there");
    fleet.At(0).process_.Signal(SIGKILL);
  }
  for (auto& client : clients) {
    client.join();
  }
  const auto runs = fleet.Runs();
  int lost = 0;
  int answered = 0;
  for (const Deposit& deposit : deposits) {
    const bool ran = runs.contains(deposit.id_);
    const bool isOwn = deposit.got_.Header("X-Response-Signature").empty();
    const bool isRefused = deposit.got_.status_ == 503 || deposit.got_.status_ == 429;
    const auto after = deposit.sentAt_ - signalledAt;
    const auto took = deposit.endedAt_ - deposit.sentAt_;
    const bool isLost = trouble && ran && isOwn && !isRefused && after > kLate &&
                        took < kDepositTimeout && after + took < kGrace + seconds(1);
    lost += isLost ? 1 : 0;
    answered += deposit.got_.status_ == 200 ? 1 : 0;
    record.Line(deposit.id_ + " sent " + Ms(after) + " ms after the signal" +
                (deposit.refused_ ? ", no channel" : "") + ": " +
                (ran ? "an endpoint ran it" : "didn't run") + ", got " +
                std::to_string(deposit.got_.status_) + (isOwn ? " (no signature)" : "") +
                " after " + Ms(took) + " ms" + (isLost ? ": LOST" : ""));
  }
  for (std::size_t i = 0; i < kSearches; ++i) {
    record.Line("search-" + std::to_string(i) + " got " + std::to_string(searches[i].status_));
  }
  record.Line("deposits answered: " + std::to_string(answered) +
              "; sent later than 3 s after the signal, passed on and cut: " + std::to_string(lost));
  std::cout << "answered " << answered << ", lost " << lost << "\n";
  if (lost > 0) {
    return 1;
  }
  return answered >= (trouble ? 1 : kDeposits) ? 0 : 2;
}
