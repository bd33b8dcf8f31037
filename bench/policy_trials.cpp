// Compares policies for one service behind one guard in virtual time. Same seed, same figures.
// Usage: policy_trials [--seed N] [--profile NAME] [--scene NAME] [--variant NAME]
#include "peridotquay/request/Admission.h"
#include "peridotquay/request/Random.h"
#include "peridotquay/request/RetryBudget.h"

#include <algorithm>
#include <array>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <functional>
#include <map>
#include <queue>
#include <set>
#include <string>
#include <tuple>
#include <vector>

using namespace peridotquay;

namespace {

constexpr int kAccounts = 8;
constexpr int kHosts = 4;
const TimePoint kStart{ seconds(1000) };
constexpr Duration kOneWay = milliseconds(1);
constexpr Duration kDeadline = milliseconds(1000);

/// A target of one of the two deployments. Service times are assumptions; the slots are not.
struct Profile
{
  std::string name_;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  double serviceSeconds_ = 0; ///< Mean.
};

const std::vector<Profile> kProfiles{
  { "foundry", 50, 400, 0.020 },
  { "foundry-archive", 20, 200, 0.040 },
  { "landesamt", 250, 1700, 0.040 },
  { "landesamt-lab", 40, 350, 0.100 },
};

/// Rates of the client accounts, a few of them large, and how much more than its part each offers.
constexpr std::array<double, kAccounts> kRates{ 40, 25, 15, 6, 5, 4, 3, 2 };
constexpr std::array<double, kAccounts> kEagerness{ 1.0, 1.2, 0.8, 3.0, 0.5, 0.3, 2.0, 1.0 };

/// What the target tells and does beyond its slots.
enum class Beyond
{
  kTruthful,   ///< Announces its slots.
  kQueues,     ///< Announces nothing and queues inside.
  kOverstates, ///< Announces twice its slots and refuses beyond the real ones.
};

struct Scene
{
  std::string name_;
  double load_ = 2.0; ///< Offered load, as part of the capacity.
  bool classes_ = true;
  Beyond beyond_ = Beyond::kTruthful;
  double slowFactor_ = 1; ///< From 10 s to 15 s; more than 1 makes recovery the subject.
  double seconds_ = 25;
};

const std::vector<Scene> kScenes{
  { "twice", 2.0, true, Beyond::kTruthful, 1, 25 },
  { "twice-one-class", 2.0, false, Beyond::kTruthful, 1, 25 },
  { "twice-hidden", 2.0, true, Beyond::kQueues, 1, 25 },
  { "twice-overstated", 2.0, true, Beyond::kOverstates, 1, 25 },
  { "slow5", 0.8, true, Beyond::kTruthful, 5, 30 },
  { "slow5-hidden", 0.8, true, Beyond::kQueues, 5, 30 },
};

enum class Limit
{
  kAdaptive,
  kFixedSlots,
  kFixedFour, ///< Four times the slots: a limit that was set for a larger target.
  kAimd,
  kNone
};

enum class Order
{
  kFair,
  kFifo,
  kLifo
};

struct Variant
{
  std::string name_;
  Limit limit_ = Limit::kAdaptive;
  Order order_ = Order::kFair;
  bool drop_ = true;
  bool upstream_ = true;
  double retryRatio_ = 0.1; ///< Negative: no retries.
  bool naive_ = false;
  double queueFraction_ = 0.5; ///< AdmissionSettings::queueDeadlineFraction_.
};

const std::vector<Variant> kVariants{
  { "product" },
  { "limit-fixed-slots", Limit::kFixedSlots },
  { "limit-fixed-4x", Limit::kFixedFour },
  { "limit-aimd", Limit::kAimd },
  { "order-fifo", Limit::kAdaptive, Order::kFifo },
  { "order-lifo", Limit::kAdaptive, Order::kLifo },
  { "drop-off", Limit::kAdaptive, Order::kFair, false },
  { "upstream-off", Limit::kAdaptive, Order::kFair, true, false },
  { "retry-none", Limit::kAdaptive, Order::kFair, true, true, -1 },
  { "retry-30", Limit::kAdaptive, Order::kFair, true, true, 0.3 },
  { "retry-30-upstream-off", Limit::kAdaptive, Order::kFair, true, false, 0.3 },
  { "queue-25", Limit::kAdaptive, Order::kFair, true, true, 0.1, false, 0.25 },
  { "queue-80", Limit::kAdaptive, Order::kFair, true, true, 0.1, false, 0.8 },
  { "naive", Limit::kNone, Order::kFifo, false, false, -1, true },
};

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

/// AIMD on latency: one more in each window below twice the least window mean, a tenth less above.
struct Aimd
{
  double limit_ = 16;
  double floor_ = 0;
  double sum_ = 0;
  int count_ = 0;

  void Note(double aSeconds)
  {
    sum_ += aSeconds;
    if (++count_ < std::max(16.0, limit_ / 2)) {
      return;
    }
    const double mean = sum_ / count_;
    floor_ = floor_ <= 0 ? mean : std::min(floor_, mean);
    limit_ = mean < 2 * floor_ ? limit_ + 1 : std::max(2.0, limit_ * 0.9);
    sum_ = 0;
    count_ = 0;
  }
};

/// One client call over all its attempts.
struct ClientCall
{
  int account_ = 0;
  Importance importance_ = Importance::kNormal;
  TimePoint arrived_{};
  TimePoint deadline_{};
  int host_ = 0;
  std::uint32_t retries_ = 0;
  std::uint64_t latest_ = 0; ///< Latest attempt.
  bool ended_ = false;
  Duration goodLatency_{}; ///< If it was answered in time, else 0.
};

struct Attempt
{
  std::size_t call_ = 0;
  TimePoint started_{};
};

/// Figures of one run.
struct Figures
{
  double goodput_ = 0;        ///< Answered in time, as part of the ideal.
  double critical_ = 0;       ///< Part of the critical calls answered in time.
  double worst_ = 0;          ///< Least account's part of its fair share.
  double refusedAtGuard_ = 0; ///< Part of sent attempts that the guard refused.
  double late_ = 0;           ///< Part of started attempts that were answered too late.
  double retries_ = 0;        ///< Retries for each first try.
  double p99Ms_ = 0;          ///< Of calls answered in time.
  double recovery_ = -1;      ///< Seconds after the slow spell; negative: not within the run.
  double least_ = 0;          ///< Least limit in the measured time.
  double limit_ = 0;          ///< At the end.
};

/// Weighted max-min shares of one class; lowers aCapacity by what is given.
void AddFairShares(const std::array<double, kAccounts>& aDemands,
                   double& aCapacity,
                   std::array<double, kAccounts>& aShares)
{
  std::set<int> open;
  for (int i = 0; i < kAccounts; ++i) {
    open.insert(i);
  }
  while (!open.empty() && aCapacity > 0) {
    double weights = 0;
    for (const int i : open) {
      weights += kRates[i];
    }
    const double level = aCapacity / weights;
    std::vector<int> satisfied;
    for (const int i : open) {
      if (aDemands[i] <= level * kRates[i]) {
        satisfied.push_back(i);
      }
    }
    if (satisfied.empty()) {
      for (const int i : open) {
        aShares[i] += level * kRates[i];
      }
      aCapacity = 0;
    }
    for (const int i : satisfied) {
      aShares[i] += aDemands[i];
      aCapacity -= aDemands[i];
      open.erase(i);
    }
  }
}

class Trial
{
public:
  Trial(const Profile& aProfile, const Scene& aScene, const Variant& aVariant, std::uint64_t aSeed)
    : profile_(aProfile)
    , scene_(aScene)
    , variant_(aVariant)
    , random_(aSeed)
  {
    guard_.settings_.queueDeadlineFraction_ = variant_.queueFraction_;
    for (ReceivedAdmissionLevel& upstream : upstream_) {
      upstream.random_ = RandomBits(random_);
    }
    if (scene_.beyond_ != Beyond::kQueues) {
      ApplyAnnouncedSlots(guard_,
                          profile_.slots_ * (scene_.beyond_ == Beyond::kOverstates ? 2 : 1));
    }
    if (variant_.limit_ == Limit::kFixedSlots || variant_.limit_ == Limit::kFixedFour) {
      guard_.announcedSlots_ = 0;
      FixLimit(profile_.slots_ * (variant_.limit_ == Limit::kFixedFour ? 4 : 1));
    } else if (variant_.limit_ == Limit::kAimd) {
      FixLimit(16);
    }
    if (variant_.order_ == Order::kLifo) {
      guard_.settings_.queueCapacity_ = 0;
    }
  }

  Figures Run()
  {
    const double load = scene_.load_ * profile_.slots_ / profile_.serviceSeconds_;
    double total = 0;
    for (int i = 0; i < kAccounts; ++i) {
      total += kRates[i] * kEagerness[i];
    }
    for (int i = 0; i < kAccounts; ++i) {
      ScheduleArrival(i, load * kRates[i] * kEagerness[i] / total);
    }
    At(kStart + milliseconds(10), [this] { Tick(); });
    const TimePoint end = kStart + FromSeconds(scene_.seconds_ + 3);
    while (!events_.empty() && events_.top().time_ < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.action_();
    }
    return Judge();
  }

private:
  struct Event
  {
    TimePoint time_{};
    std::uint64_t order_ = 0;
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.time_, aOther.order_) < std::tie(time_, order_);
    }
  };

  void At(TimePoint aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, ++order_, std::move(aAction) });
  }

  double Exponential(double aMean) { return -aMean * std::log(1 - RandomFraction(random_)); }

  void FixLimit(std::uint32_t aLimit)
  {
    guard_.settings_.minLimit_ = guard_.settings_.maxLimit_ = aLimit;
    guard_.limit_ = aLimit;
  }

  void ScheduleArrival(int aAccount, double aPerSecond)
  {
    const TimePoint time = now_ + FromSeconds(Exponential(1 / aPerSecond));
    if (time >= kStart + FromSeconds(scene_.seconds_)) {
      return;
    }
    At(time, [this, aAccount, aPerSecond] {
      Arrive(aAccount);
      ScheduleArrival(aAccount, aPerSecond);
    });
  }

  void Arrive(int aAccount)
  {
    ClientCall call;
    call.account_ = aAccount;
    if (scene_.classes_) {
      const double part = RandomFraction(random_);
      call.importance_ = part < 0.1   ? Importance::kCritical
                         : part < 0.3 ? Importance::kHigh
                         : part < 0.8 ? Importance::kNormal
                                      : Importance::kLow;
    }
    call.arrived_ = now_;
    call.deadline_ = now_ + kDeadline;
    call.host_ = static_cast<int>(RandomIndex(random_, kHosts));
    calls_.push_back(call);
    RecordFirstAttempt(ratio_[call.host_], { .tokensPerFirstAttempt_ = variant_.retryRatio_ });
    ++firstTries_;
    Send(calls_.size() - 1);
  }

  void Send(std::size_t aCall)
  {
    ClientCall& call = calls_[aCall];
    if (variant_.upstream_ && !ShouldSendCall(upstream_[call.host_], call.importance_, now_)) {
      call.ended_ = true;
      return;
    }
    attempts_.push_back({ aCall, {} });
    const std::uint64_t id = attempts_.size();
    call.latest_ = id;
    At(now_ + kOneWay, [this, id] { ReachGuard(id); });
    if (variant_.naive_) {
      // The baseline gives each try a quarter of the deadline.
      At(now_ + kDeadline / 4, [this, id] { RetryNaive(id); });
    }
  }

  void RetryNaive(std::uint64_t aId)
  {
    const std::size_t index = attempts_[aId - 1].call_;
    ClientCall& call = calls_[index];
    if (call.ended_ || call.latest_ != aId || call.retries_ >= 3) {
      return;
    }
    ++call.retries_;
    ++retries_;
    Send(index);
  }

  WaitingCall MakeWaiting(std::uint64_t aId) const
  {
    const ClientCall& call = calls_[attempts_[aId - 1].call_];
    WaitingCall waiting;
    waiting.id_ = aId;
    waiting.importance_ = call.importance_;
    if (variant_.order_ == Order::kFair) {
      waiting.clientAccount_ = { std::to_string(call.account_) };
      waiting.weight_ = kRates[call.account_];
    }
    waiting.arrived_ = now_;
    waiting.deadline_ = variant_.drop_ ? call.deadline_ : now_ + seconds(3600);
    return waiting;
  }

  void ReachGuard(std::uint64_t aId)
  {
    ++sent_;
    if (variant_.naive_) {
      StartAtTarget(aId);
    } else if (variant_.order_ == Order::kLifo) {
      OfferLifo(aId);
    } else {
      Apply(OfferCall(guard_, MakeWaiting(aId), now_));
    }
  }

  /// The guard's queue is switched off; a stack for each class takes its place.
  void OfferLifo(std::uint64_t aId)
  {
    AdmissionActions step = OfferCall(guard_, MakeWaiting(aId), now_);
    if (!step.refuse_.empty() && step.refuse_[0].code_ == ErrorCode::kShed) {
      const auto index = static_cast<std::size_t>(calls_[attempts_[aId - 1].call_].importance_);
      stacks_[index].push_back(aId);
      step.refuse_.clear();
      std::size_t waiting = 0;
      for (const auto& stack : stacks_) {
        waiting += stack.size();
      }
      if (waiting > 1024) {
        auto worst = std::find_if(
          stacks_.rbegin(), stacks_.rend(), [](const auto& aStack) { return !aStack.empty(); });
        step.refuse_.push_back({ worst->front(), ErrorCode::kShed, 10 });
        worst->pop_front();
      }
    }
    Apply(step);
  }

  void StartLifo()
  {
    for (auto& stack : stacks_) {
      while (!stack.empty() && guard_.running_ + 1 <= guard_.limit_) {
        const std::uint64_t id = stack.back();
        stack.pop_back();
        Apply(OfferCall(guard_, MakeWaiting(id), now_));
      }
    }
  }

  void Apply(const AdmissionActions& aStep)
  {
    for (const std::uint64_t id : aStep.start_) {
      StartAtTarget(id);
    }
    for (const RefusedCall& refused : aStep.refuse_) {
      ++refused_;
      Reply(refused.id_, false);
    }
  }

  void StartAtTarget(std::uint64_t aId)
  {
    attempts_[aId - 1].started_ = now_;
    ++started_;
    const bool queues = scene_.beyond_ != Beyond::kOverstates || variant_.naive_;
    if (running_ < profile_.slots_) {
      RunAtTarget(aId);
    } else if (queues && inside_.size() + running_ < profile_.connections_) {
      inside_.push_back(aId);
    } else {
      At(now_ + microseconds(500), [this, aId] { End(aId, ExecutionResult::kTargetRefused); });
    }
  }

  void RunAtTarget(std::uint64_t aId)
  {
    ++running_;
    const bool slow = now_ >= kStart + seconds(10) && now_ < kStart + seconds(15);
    const double mean = profile_.serviceSeconds_ * (slow ? scene_.slowFactor_ : 1);
    At(now_ + FromSeconds(mean / 2 + Exponential(mean / 2)), [this, aId] {
      --running_;
      if (!inside_.empty()) {
        const std::uint64_t next = inside_.front();
        inside_.pop_front();
        RunAtTarget(next);
      }
      End(aId, ExecutionResult::kAnswered);
    });
  }

  void End(std::uint64_t aId, ExecutionResult aEnd)
  {
    if (variant_.naive_) {
      Reply(aId, aEnd == ExecutionResult::kAnswered);
      return;
    }
    const Duration service = now_ - attempts_[aId - 1].started_;
    if (variant_.limit_ == Limit::kAimd) {
      // AIMD may use the announced slots as its bound, as the product does.
      const double most = guard_.announcedSlots_ > 0 ? guard_.announcedSlots_ : 1000;
      if (aEnd == ExecutionResult::kAnswered) {
        aimd_.Note(ToSeconds(service));
      } else {
        aimd_.limit_ = std::max(2.0, aimd_.limit_ * 0.98);
      }
      aimd_.limit_ = std::min(aimd_.limit_, most);
      FixLimit(static_cast<std::uint32_t>(aimd_.limit_));
    }
    const AdmissionActions step = FinishCall(guard_, aEnd, service, now_);
    Reply(aId, aEnd == ExecutionResult::kAnswered);
    Apply(step);
    if (variant_.order_ == Order::kLifo) {
      StartLifo();
    }
  }

  void Reply(std::uint64_t aId, bool aAnswered)
  {
    const AdmissionLevel level = CurrentAdmissionLevel(guard_, now_);
    At(now_ + kOneWay, [this, aId, aAnswered, level] { ReachCaller(aId, aAnswered, level); });
  }

  void ReachCaller(std::uint64_t aId, bool aAnswered, const AdmissionLevel& aLevel)
  {
    const std::size_t index = attempts_[aId - 1].call_;
    ClientCall& call = calls_[index];
    RecordAdmissionLevel(upstream_[call.host_], aLevel, now_);
    if (aAnswered) {
      late_ += now_ > call.deadline_ ? 1 : 0;
      if (!call.ended_ && now_ <= call.deadline_) {
        call.goodLatency_ = now_ - call.arrived_;
      }
      call.ended_ = true;
      return;
    }
    if (variant_.naive_) {
      RetryNaive(aId);
      return;
    }
    if (variant_.retryRatio_ < 0 || call.retries_ >= 3 || now_ >= call.deadline_ ||
        !ConsumeRetryToken(ratio_[call.host_], {}, now_)) {
      call.ended_ = true;
      return;
    }
    ++call.retries_;
    ++retries_;
    At(now_ + FromSeconds(0.01 * (1 + RandomFraction(random_)) * call.retries_),
       [this, index] { Send(index); });
  }

  void Tick()
  {
    if (!variant_.naive_) {
      Apply(DropLateCalls(guard_, now_));
      if (variant_.order_ == Order::kLifo) {
        StartLifo();
      }
    }
    if (now_ >= kStart + seconds(5) && now_ < kStart + FromSeconds(scene_.seconds_)) {
      leastLimit_ = std::min(leastLimit_, guard_.limit_);
    }
    At(now_ + milliseconds(10), [this] { Tick(); });
  }

  Figures Judge() const
  {
    const TimePoint from = kStart + seconds(5);
    const TimePoint to = kStart + FromSeconds(scene_.seconds_);
    std::array<std::array<double, kAccounts>, kImportanceClassCount> demands{};
    std::array<double, kAccounts> served{};
    double answered = 0;
    double critical = 0;
    double criticalAnswered = 0;
    std::vector<double> latencies;
    std::map<std::int64_t, std::pair<double, double>> bins;
    for (const ClientCall& call : calls_) {
      const bool good = call.goodLatency_ > Duration::zero();
      auto& bin = bins[(call.arrived_ - kStart) / milliseconds(100)];
      bin.first += 1;
      bin.second += good ? 1 : 0;
      if (call.arrived_ < from || call.arrived_ >= to) {
        continue;
      }
      demands[static_cast<std::size_t>(call.importance_)][call.account_] += 1;
      if (call.importance_ == Importance::kCritical) {
        critical += 1;
        criticalAnswered += good ? 1 : 0;
      }
      if (good) {
        answered += 1;
        served[call.account_] += 1;
        latencies.push_back(ToSeconds(call.goodLatency_));
      }
    }
    Figures figures;
    // The ideal serves all that fits: classes in order, max-min shares within each.
    const double perSecond = profile_.slots_ / profile_.serviceSeconds_;
    double capacity = ToSeconds(to - from) * perSecond;
    if (scene_.slowFactor_ > 1) {
      // Calls that arrive during the slow spell can't be served later.
      capacity = (ToSeconds(to - from) - 5) * std::min(1.0, scene_.load_) * perSecond +
                 5 * perSecond / scene_.slowFactor_;
    }
    std::array<double, kAccounts> fair{};
    const double before = capacity;
    for (const auto& demand : demands) {
      AddFairShares(demand, capacity, fair);
    }
    figures.goodput_ = answered / (before - capacity);
    figures.critical_ = critical > 0 ? criticalAnswered / critical : 1;
    // The shares assume a capacity that doesn't change.
    figures.worst_ = scene_.slowFactor_ > 1 ? -1 : 1e9;
    for (int i = 0; i < kAccounts && scene_.slowFactor_ <= 1; ++i) {
      figures.worst_ = std::min(figures.worst_, served[i] / fair[i]);
    }
    figures.refusedAtGuard_ = static_cast<double>(refused_) / std::max<double>(1, sent_);
    figures.late_ = static_cast<double>(late_) / std::max<double>(1, started_);
    figures.retries_ = static_cast<double>(retries_) / std::max<double>(1, firstTries_);
    if (!latencies.empty()) {
      const auto at = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
      std::nth_element(latencies.begin(), at, latencies.end());
      figures.p99Ms_ = 1000 * *at;
    }
    figures.least_ = leastLimit_;
    figures.limit_ = guard_.limit_;
    figures.recovery_ = Recovery(bins);
    return figures;
  }

  /// Seconds from the end of the slow spell until 2 s of arrivals are served as well as before it.
  double Recovery(const std::map<std::int64_t, std::pair<double, double>>& aBins) const
  {
    const auto rate = [&](std::int64_t aFrom, std::int64_t aTo) {
      double offered = 0;
      double answered = 0;
      for (auto bin = aBins.lower_bound(aFrom); bin != aBins.end() && bin->first < aTo; ++bin) {
        offered += bin->second.first;
        answered += bin->second.second;
      }
      return offered > 0 ? answered / offered : 0;
    };
    const double normal = rate(50, 100);
    const auto last = static_cast<std::int64_t>(scene_.seconds_ * 10);
    for (std::int64_t bin = 150; bin + 20 <= last; ++bin) {
      bool steady = true;
      for (std::int64_t i = bin; i < bin + 20 && steady; i += 5) {
        steady = rate(i, i + 5) >= 0.98 * normal;
      }
      if (steady) {
        return static_cast<double>(bin - 150) / 10;
      }
    }
    return -1;
  }

  Profile profile_;
  Scene scene_;
  Variant variant_;
  std::uint64_t random_;
  TimePoint now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t order_ = 0;
  AdmissionState guard_;
  Aimd aimd_;
  std::array<std::deque<std::uint64_t>, kImportanceClassCount> stacks_;
  std::array<ReceivedAdmissionLevel, kHosts> upstream_;
  std::array<RetryRatio, kHosts> ratio_;
  std::vector<ClientCall> calls_;
  std::vector<Attempt> attempts_;
  std::deque<std::uint64_t> inside_; ///< Queue inside the target.
  std::uint32_t running_ = 0;        ///< Calls that occupy slots of the target.
  std::uint64_t sent_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t started_ = 0;
  std::uint64_t late_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t firstTries_ = 0;
  double leastLimit_ = 1e9;
};

void Print(const Figures& aFigures, bool aRecovers, bool aLimited)
{
  std::printf("%.3f | %.3f | ", aFigures.goodput_, aFigures.critical_);
  if (aFigures.worst_ < 0) {
    std::printf("- | ");
  } else {
    std::printf("%.3f | ", aFigures.worst_);
  }
  std::printf("%.3f | %.3f | %.3f | %.0f | ",
              aFigures.refusedAtGuard_,
              aFigures.late_,
              aFigures.retries_,
              aFigures.p99Ms_);
  if (!aRecovers) {
    std::printf("- | ");
  } else if (aFigures.recovery_ < 0) {
    std::printf("never | ");
  } else {
    std::printf("%.1f | ", aFigures.recovery_);
  }
  if (aLimited) {
    std::printf("%.0f | %.0f |\n", aFigures.least_, aFigures.limit_);
  } else {
    std::printf("- | - |\n");
  }
  std::fflush(stdout);
}

} // namespace

int main(int aCount, char** aArguments)
{
  std::map<std::string, std::string> options{ { "--seed", "1" } };
  for (int i = 1; i + 1 < aCount; i += 2) {
    options[aArguments[i]] = aArguments[i + 1];
  }
  const auto selected = [&](const std::string& aOption, const std::string& aName) {
    return !options.contains(aOption) || options[aOption] == aName;
  };
  const std::uint64_t seed = std::strtoull(options["--seed"].c_str(), nullptr, 10);
  std::printf("| profile | scene | variant | goodput | critical | worst account | refused at guard "
              "| late | retries | p99 ms | recovery s | least limit | limit |\n"
              "|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const Profile& profile : kProfiles) {
    for (const Scene& scene : kScenes) {
      for (const Variant& variant : kVariants) {
        if (selected("--profile", profile.name_) && selected("--scene", scene.name_) &&
            selected("--variant", variant.name_)) {
          std::printf(
            "| %s | %s | %s | ", profile.name_.c_str(), scene.name_.c_str(), variant.name_.c_str());
          Print(Trial(profile, scene, variant, seed).Run(), scene.slowFactor_ > 1, !variant.naive_);
        }
      }
    }
  }
  return 0;
}
