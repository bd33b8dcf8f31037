// Simulates one service behind one guard in virtual time and compares variants of its overload
// control policies: concurrency limit, queue order, dropping of late calls, upstream shedding and
// retries. The same seed gives the same results.
//
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

constexpr int kAccountCount = 8;
constexpr int kHostCount = 4;
const TimePoint kStart{ seconds(1000) };
constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kDeadline = milliseconds(1000);

/// A target of one of the two deployments. The service times are assumptions; the slots are those
/// of the deployments.
struct Profile
{
  std::string name_;
  std::uint32_t slots_ = 0;
  std::uint32_t connections_ = 0;
  double meanServiceSeconds_ = 0;
};

const std::vector<Profile> kProfiles{
  { "foundry", 50, 400, 0.020 },
  { "foundry-archive", 20, 200, 0.040 },
  { "landesamt", 250, 1700, 0.040 },
  { "landesamt-lab", 40, 350, 0.100 },
};

/// Rate limits of the client accounts, a few of them large. They set the fair shares.
constexpr std::array<double, kAccountCount> kRates{ 40, 25, 15, 6, 5, 4, 3, 2 };
/// Demand of each client account relative to its rate limit.
constexpr std::array<double, kAccountCount> kDemandFactors{
  1.0, 1.2, 0.8, 3.0, 0.5, 0.3, 2.0, 1.0
};

/// What the target announces, and how it treats calls beyond its slots.
enum class OverloadBehaviour
{
  kTruthful,   ///< Announces its slots and queues further calls inside.
  kQueues,     ///< Announces no slots and queues further calls inside.
  kOverstates, ///< Announces twice its slots and refuses calls beyond its slots.
};

/// Load and behaviour of the target in a run.
struct Scene
{
  std::string name_;
  double loadFactor_ = 2.0; ///< Offered load relative to the capacity.
  bool hasImportanceClasses_ = true;
  OverloadBehaviour overloadBehaviour_ = OverloadBehaviour::kTruthful;
  /// Service time factor from 10 s to 15 s. Recovery is measured if it is above 1.
  double slowFactor_ = 1;
  double durationSeconds_ = 25;
};

const std::vector<Scene> kScenes{
  { "twice", 2.0, true, OverloadBehaviour::kTruthful, 1, 25 },
  { "twice-one-class", 2.0, false, OverloadBehaviour::kTruthful, 1, 25 },
  { "twice-hidden", 2.0, true, OverloadBehaviour::kQueues, 1, 25 },
  { "twice-overstated", 2.0, true, OverloadBehaviour::kOverstates, 1, 25 },
  { "slow5", 0.8, true, OverloadBehaviour::kTruthful, 5, 30 },
  { "slow5-hidden", 0.8, true, OverloadBehaviour::kQueues, 5, 30 },
};

enum class LimitPolicy
{
  kAdaptive,
  kFixedSlots,
  kFixedFourTimes, ///< Four times the slots: a limit set for a larger target.
  kAimd,
  kNone
};

enum class QueueOrder
{
  kFair,
  kFifo,
  kLifo
};

/// Policies of the guard and of the callers in a run.
struct Variant
{
  std::string name_;
  LimitPolicy limitPolicy_ = LimitPolicy::kAdaptive;
  QueueOrder queueOrder_ = QueueOrder::kFair;
  bool dropsLateCalls_ = true;
  bool shedsUpstream_ = true; ///< Hosts of callers shed calls by the admission level of the guard.
  double retryRatio_ = 0.1;   ///< Negative: no retries.
  bool naive_ = false;
  double queueFraction_ = 0.5; ///< AdmissionSettings::queueDeadlineFraction_.
};

const std::vector<Variant> kVariants{
  { "product" },
  { "limit-fixed-slots", LimitPolicy::kFixedSlots },
  { "limit-fixed-4x", LimitPolicy::kFixedFourTimes },
  { "limit-aimd", LimitPolicy::kAimd },
  { "order-fifo", LimitPolicy::kAdaptive, QueueOrder::kFifo },
  { "order-lifo", LimitPolicy::kAdaptive, QueueOrder::kLifo },
  { "drop-off", LimitPolicy::kAdaptive, QueueOrder::kFair, false },
  { "upstream-off", LimitPolicy::kAdaptive, QueueOrder::kFair, true, false },
  { "retry-none", LimitPolicy::kAdaptive, QueueOrder::kFair, true, true, -1 },
  { "retry-30", LimitPolicy::kAdaptive, QueueOrder::kFair, true, true, 0.3 },
  { "retry-30-upstream-off", LimitPolicy::kAdaptive, QueueOrder::kFair, true, false, 0.3 },
  { "queue-25", LimitPolicy::kAdaptive, QueueOrder::kFair, true, true, 0.1, false, 0.25 },
  { "queue-80", LimitPolicy::kAdaptive, QueueOrder::kFair, true, true, 0.1, false, 0.8 },
  { "naive", LimitPolicy::kNone, QueueOrder::kFifo, false, false, -1, true },
};

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

/// AIMD limit on latency. After each window the limit grows by 1 if the mean latency of the window
/// is below twice the lowest window mean, and shrinks by 10 % otherwise.
struct Aimd
{
  double limit_ = 16;
  double minWindowMean_ = 0;
  double windowSum_ = 0;
  int windowCount_ = 0;

  void RecordLatency(double aSeconds)
  {
    windowSum_ += aSeconds;
    if (++windowCount_ < std::max(16.0, limit_ / 2)) {
      return;
    }
    const double mean = windowSum_ / windowCount_;
    minWindowMean_ = minWindowMean_ <= 0 ? mean : std::min(minWindowMean_, mean);
    limit_ = mean < 2 * minWindowMean_ ? limit_ + 1 : std::max(2.0, limit_ * 0.9);
    windowSum_ = 0;
    windowCount_ = 0;
  }
};

/// A client call with all its attempts.
struct ClientCall
{
  int account_ = 0;
  Importance importance_ = Importance::kNormal;
  TimePoint arrivedAt_{};
  TimePoint deadline_{};
  int host_ = 0;
  std::uint32_t retries_ = 0;
  std::uint64_t latestAttemptId_ = 0;
  bool ended_ = false;
  Duration latencyInTime_{}; ///< 0 if the call wasn't answered before its deadline.
};

struct Attempt
{
  std::size_t call_ = 0; ///< Index into Trial::calls_.
  TimePoint startedAt_{};
};

/// Measurements of one run.
struct TrialResult
{
  double goodput_ = 0;                ///< Calls answered in time, relative to the ideal.
  double criticalFraction_ = 0;       ///< Of critical calls, those answered in time.
  double minAccountFraction_ = 0;     ///< Lowest fraction of its fair share that an account got.
  double refusedFraction_ = 0;        ///< Of sent attempts, those that the guard refused.
  double lateFraction_ = 0;           ///< Of started attempts, those answered too late.
  double retriesPerFirstAttempt_ = 0; ///< Over all client calls.
  double p99Ms_ = 0;                  ///< Latency of calls answered in time.
  double recoverySeconds_ = -1;       ///< After the slowdown; negative if not within the run.
  double minLimitInRun_ = 0;          ///< Lowest limit from 5 s to the end of arrivals.
  double limit_ = 0;                  ///< Limit at the end of the run.
};

/// Adds weighted max-min fair shares of the demands of one importance class to aShares and
/// subtracts them from aCapacity.
void AddFairShares(const std::array<double, kAccountCount>& aDemands,
                   double& aCapacity,
                   std::array<double, kAccountCount>& aShares)
{
  std::set<int> unsatisfied;
  for (int i = 0; i < kAccountCount; ++i) {
    unsatisfied.insert(i);
  }
  while (!unsatisfied.empty() && aCapacity > 0) {
    double weights = 0;
    for (const int i : unsatisfied) {
      weights += kRates[i];
    }
    const double capacityPerWeight = aCapacity / weights;
    std::vector<int> satisfied;
    for (const int i : unsatisfied) {
      if (aDemands[i] <= capacityPerWeight * kRates[i]) {
        satisfied.push_back(i);
      }
    }
    if (satisfied.empty()) {
      for (const int i : unsatisfied) {
        aShares[i] += capacityPerWeight * kRates[i];
      }
      aCapacity = 0;
    }
    for (const int i : satisfied) {
      aShares[i] += aDemands[i];
      aCapacity -= aDemands[i];
      unsatisfied.erase(i);
    }
  }
}

/// Simulation of one profile, scene and variant.
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
    for (ReceivedAdmissionLevel& received : receivedLevels_) {
      received.random_ = RandomBits(random_);
    }
    if (scene_.overloadBehaviour_ != OverloadBehaviour::kQueues) {
      ApplyAnnouncedSlots(guard_,
                          profile_.slots_ *
                            (scene_.overloadBehaviour_ == OverloadBehaviour::kOverstates ? 2 : 1));
    }
    if (variant_.limitPolicy_ == LimitPolicy::kFixedSlots ||
        variant_.limitPolicy_ == LimitPolicy::kFixedFourTimes) {
      guard_.announcedSlots_ = 0;
      FixLimit(profile_.slots_ * (variant_.limitPolicy_ == LimitPolicy::kFixedFourTimes ? 4 : 1));
    } else if (variant_.limitPolicy_ == LimitPolicy::kAimd) {
      FixLimit(16);
    }
    if (variant_.queueOrder_ == QueueOrder::kLifo) {
      guard_.settings_.queueCapacity_ = 0;
    }
  }

  TrialResult Run()
  {
    const double offeredPerSecond =
      scene_.loadFactor_ * profile_.slots_ / profile_.meanServiceSeconds_;
    double totalDemand = 0;
    for (int i = 0; i < kAccountCount; ++i) {
      totalDemand += kRates[i] * kDemandFactors[i];
    }
    for (int i = 0; i < kAccountCount; ++i) {
      ScheduleArrival(i, offeredPerSecond * kRates[i] * kDemandFactors[i] / totalDemand);
    }
    Schedule(kStart + milliseconds(10), [this] { RunPeriodicTasks(); });
    const TimePoint end = kStart + FromSeconds(scene_.durationSeconds_ + 3);
    while (!events_.empty() && events_.top().time_ < end) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.time_;
      event.action_();
    }
    return Evaluate();
  }

private:
  struct Event
  {
    TimePoint time_{};
    std::uint64_t sequence_ = 0; ///< Orders events with equal times.
    std::function<void()> action_;
    bool operator<(const Event& aOther) const
    {
      return std::tie(aOther.time_, aOther.sequence_) < std::tie(time_, sequence_);
    }
  };

  void Schedule(TimePoint aTime, std::function<void()> aAction)
  {
    events_.push({ aTime, ++lastSequence_, std::move(aAction) });
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
    if (time >= kStart + FromSeconds(scene_.durationSeconds_)) {
      return;
    }
    Schedule(time, [this, aAccount, aPerSecond] {
      AddClientCall(aAccount);
      ScheduleArrival(aAccount, aPerSecond);
    });
  }

  void AddClientCall(int aAccount)
  {
    ClientCall call;
    call.account_ = aAccount;
    if (scene_.hasImportanceClasses_) {
      const double fraction = RandomFraction(random_);
      call.importance_ = fraction < 0.1   ? Importance::kCritical
                         : fraction < 0.3 ? Importance::kHigh
                         : fraction < 0.8 ? Importance::kNormal
                                          : Importance::kLow;
    }
    call.arrivedAt_ = now_;
    call.deadline_ = now_ + kDeadline;
    call.host_ = static_cast<int>(RandomIndex(random_, kHostCount));
    calls_.push_back(call);
    RecordFirstAttempt(retryRatios_[call.host_],
                       { .tokensPerFirstAttempt_ = variant_.retryRatio_ });
    ++firstAttempts_;
    SendAttempt(calls_.size() - 1);
  }

  void SendAttempt(std::size_t aCall)
  {
    ClientCall& call = calls_[aCall];
    if (variant_.shedsUpstream_ &&
        !ShouldSendCall(receivedLevels_[call.host_], call.importance_, now_)) {
      call.ended_ = true;
      return;
    }
    attempts_.push_back({ aCall, {} });
    const std::uint64_t id = attempts_.size();
    call.latestAttemptId_ = id;
    Schedule(now_ + kNetworkDelay, [this, id] { ArriveAtGuard(id); });
    if (variant_.naive_) {
      // The naive baseline retries an attempt after a quarter of the deadline.
      Schedule(now_ + kDeadline / 4, [this, id] { RetryNaive(id); });
    }
  }

  void RetryNaive(std::uint64_t aId)
  {
    const std::size_t index = attempts_[aId - 1].call_;
    ClientCall& call = calls_[index];
    if (call.ended_ || call.latestAttemptId_ != aId || call.retries_ >= 3) {
      return;
    }
    ++call.retries_;
    ++retries_;
    SendAttempt(index);
  }

  WaitingCall MakeWaiting(std::uint64_t aId) const
  {
    const ClientCall& call = calls_[attempts_[aId - 1].call_];
    WaitingCall waiting;
    waiting.id_ = aId;
    waiting.importance_ = call.importance_;
    if (variant_.queueOrder_ == QueueOrder::kFair) {
      waiting.clientAccount_ = { std::to_string(call.account_) };
      waiting.weight_ = kRates[call.account_];
    }
    waiting.arrivedAt_ = now_;
    waiting.deadline_ = variant_.dropsLateCalls_ ? call.deadline_ : now_ + seconds(3600);
    return waiting;
  }

  void ArriveAtGuard(std::uint64_t aId)
  {
    ++sentAttempts_;
    if (variant_.naive_) {
      StartAtTarget(aId);
    } else if (variant_.queueOrder_ == QueueOrder::kLifo) {
      OfferLifo(aId);
    } else {
      Apply(OfferCall(guard_, MakeWaiting(aId), now_));
    }
  }

  /// Replaces the guard's queue, whose capacity is 0, by one stack for each importance class, with
  /// at most 1024 calls in total.
  void OfferLifo(std::uint64_t aId)
  {
    AdmissionActions actions = OfferCall(guard_, MakeWaiting(aId), now_);
    if (!actions.refuse_.empty() && actions.refuse_[0].code_ == ErrorCode::kShed) {
      const auto index = static_cast<std::size_t>(calls_[attempts_[aId - 1].call_].importance_);
      stacks_[index].push_back(aId);
      actions.refuse_.clear();
      std::size_t waiting = 0;
      for (const auto& stack : stacks_) {
        waiting += stack.size();
      }
      if (waiting > 1024) {
        auto lowestStack = std::find_if(
          stacks_.rbegin(), stacks_.rend(), [](const auto& aStack) { return !aStack.empty(); });
        actions.refuse_.push_back({ lowestStack->front(), ErrorCode::kShed, 10 });
        lowestStack->pop_front();
      }
    }
    Apply(actions);
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

  void Apply(const AdmissionActions& aActions)
  {
    for (const std::uint64_t id : aActions.start_) {
      StartAtTarget(id);
    }
    for (const RefusedCall& refused : aActions.refuse_) {
      ++refusedAttempts_;
      SendReply(refused.id_, false);
    }
  }

  void StartAtTarget(std::uint64_t aId)
  {
    attempts_[aId - 1].startedAt_ = now_;
    ++startedAttempts_;
    const bool targetQueues =
      scene_.overloadBehaviour_ != OverloadBehaviour::kOverstates || variant_.naive_;
    if (running_ < profile_.slots_) {
      RunAtTarget(aId);
    } else if (targetQueues && targetQueue_.size() + running_ < profile_.connections_) {
      targetQueue_.push_back(aId);
    } else {
      Schedule(now_ + microseconds(500),
               [this, aId] { FinishAttempt(aId, ExecutionResult::kTargetRefused); });
    }
  }

  void RunAtTarget(std::uint64_t aId)
  {
    ++running_;
    const bool slow = now_ >= kStart + seconds(10) && now_ < kStart + seconds(15);
    const double mean = profile_.meanServiceSeconds_ * (slow ? scene_.slowFactor_ : 1);
    Schedule(now_ + FromSeconds(mean / 2 + Exponential(mean / 2)), [this, aId] {
      --running_;
      if (!targetQueue_.empty()) {
        const std::uint64_t next = targetQueue_.front();
        targetQueue_.pop_front();
        RunAtTarget(next);
      }
      FinishAttempt(aId, ExecutionResult::kAnswered);
    });
  }

  void FinishAttempt(std::uint64_t aId, ExecutionResult aExecutionResult)
  {
    if (variant_.naive_) {
      SendReply(aId, aExecutionResult == ExecutionResult::kAnswered);
      return;
    }
    const Duration service = now_ - attempts_[aId - 1].startedAt_;
    if (variant_.limitPolicy_ == LimitPolicy::kAimd) {
      // AIMD uses the announced slots as its maximum, as the adaptive limit does.
      const double maxLimit = guard_.announcedSlots_ > 0 ? guard_.announcedSlots_ : 1000;
      if (aExecutionResult == ExecutionResult::kAnswered) {
        aimd_.RecordLatency(ToSeconds(service));
      } else {
        aimd_.limit_ = std::max(2.0, aimd_.limit_ * 0.98);
      }
      aimd_.limit_ = std::min(aimd_.limit_, maxLimit);
      FixLimit(static_cast<std::uint32_t>(aimd_.limit_));
    }
    const AdmissionActions actions = FinishCall(guard_, aExecutionResult, service, now_);
    SendReply(aId, aExecutionResult == ExecutionResult::kAnswered);
    Apply(actions);
    if (variant_.queueOrder_ == QueueOrder::kLifo) {
      StartLifo();
    }
  }

  void SendReply(std::uint64_t aId, bool aAnswered)
  {
    const AdmissionLevel level = CurrentAdmissionLevel(guard_, now_);
    Schedule(now_ + kNetworkDelay,
             [this, aId, aAnswered, level] { ArriveAtCaller(aId, aAnswered, level); });
  }

  void ArriveAtCaller(std::uint64_t aId, bool aAnswered, const AdmissionLevel& aLevel)
  {
    const std::size_t index = attempts_[aId - 1].call_;
    ClientCall& call = calls_[index];
    RecordAdmissionLevel(receivedLevels_[call.host_], aLevel, now_);
    if (aAnswered) {
      lateAttempts_ += now_ > call.deadline_ ? 1 : 0;
      if (!call.ended_ && now_ <= call.deadline_) {
        call.latencyInTime_ = now_ - call.arrivedAt_;
      }
      call.ended_ = true;
      return;
    }
    if (variant_.naive_) {
      RetryNaive(aId);
      return;
    }
    if (variant_.retryRatio_ < 0 || call.retries_ >= 3 || now_ >= call.deadline_ ||
        !ConsumeRetryToken(retryRatios_[call.host_], {}, now_)) {
      call.ended_ = true;
      return;
    }
    ++call.retries_;
    ++retries_;
    Schedule(now_ + FromSeconds(0.01 * (1 + RandomFraction(random_)) * call.retries_),
             [this, index] { SendAttempt(index); });
  }

  void RunPeriodicTasks()
  {
    if (!variant_.naive_) {
      Apply(DropLateCalls(guard_, now_));
      if (variant_.queueOrder_ == QueueOrder::kLifo) {
        StartLifo();
      }
    }
    if (now_ >= kStart + seconds(5) && now_ < kStart + FromSeconds(scene_.durationSeconds_)) {
      minLimitSoFar_ = std::min(minLimitSoFar_, guard_.limit_);
    }
    Schedule(now_ + milliseconds(10), [this] { RunPeriodicTasks(); });
  }

  TrialResult Evaluate() const
  {
    const TimePoint from = kStart + seconds(5);
    const TimePoint to = kStart + FromSeconds(scene_.durationSeconds_);
    std::array<std::array<double, kAccountCount>, kImportanceClassCount> demands{};
    std::array<double, kAccountCount> served{};
    double answered = 0;
    double critical = 0;
    double criticalAnswered = 0;
    std::vector<double> latencies;
    std::map<std::int64_t, std::pair<double, double>> bins;
    for (const ClientCall& call : calls_) {
      const bool isInTime = call.latencyInTime_ > Duration::zero();
      auto& bin = bins[(call.arrivedAt_ - kStart) / milliseconds(100)];
      bin.first += 1;
      bin.second += isInTime ? 1 : 0;
      if (call.arrivedAt_ < from || call.arrivedAt_ >= to) {
        continue;
      }
      demands[static_cast<std::size_t>(call.importance_)][call.account_] += 1;
      if (call.importance_ == Importance::kCritical) {
        critical += 1;
        criticalAnswered += isInTime ? 1 : 0;
      }
      if (isInTime) {
        answered += 1;
        served[call.account_] += 1;
        latencies.push_back(ToSeconds(call.latencyInTime_));
      }
    }
    TrialResult result;
    // The ideal serves as much as the capacity allows: classes in order of importance, with max-min
    // fair shares within each class.
    const double perSecond = profile_.slots_ / profile_.meanServiceSeconds_;
    double capacity = ToSeconds(to - from) * perSecond;
    if (scene_.slowFactor_ > 1) {
      // Calls that arrive during the slowdown can't be served later.
      capacity = (ToSeconds(to - from) - 5) * std::min(1.0, scene_.loadFactor_) * perSecond +
                 5 * perSecond / scene_.slowFactor_;
    }
    std::array<double, kAccountCount> fair{};
    const double capacityBefore = capacity;
    for (const auto& demand : demands) {
      AddFairShares(demand, capacity, fair);
    }
    result.goodput_ = answered / (capacityBefore - capacity);
    result.criticalFraction_ = critical > 0 ? criticalAnswered / critical : 1;
    // Fair shares are only comparable if the capacity is constant.
    result.minAccountFraction_ = scene_.slowFactor_ > 1 ? -1 : 1e9;
    for (int i = 0; i < kAccountCount && scene_.slowFactor_ <= 1; ++i) {
      result.minAccountFraction_ = std::min(result.minAccountFraction_, served[i] / fair[i]);
    }
    result.refusedFraction_ =
      static_cast<double>(refusedAttempts_) / std::max<double>(1, sentAttempts_);
    result.lateFraction_ =
      static_cast<double>(lateAttempts_) / std::max<double>(1, startedAttempts_);
    result.retriesPerFirstAttempt_ =
      static_cast<double>(retries_) / std::max<double>(1, firstAttempts_);
    if (!latencies.empty()) {
      const auto at = latencies.begin() + static_cast<std::ptrdiff_t>(latencies.size() * 99 / 100);
      std::nth_element(latencies.begin(), at, latencies.end());
      result.p99Ms_ = 1000 * *at;
    }
    result.minLimitInRun_ = minLimitSoFar_;
    result.limit_ = guard_.limit_;
    result.recoverySeconds_ = RecoverySeconds(bins);
    return result;
  }

  /// Returns the seconds from the end of the slowdown to the first 2 s of arrivals in which every
  /// half second reaches 98 % of the served fraction before the slowdown, or -1 without such 2 s.
  /// A bin holds the offered and the served calls of 0.1 s.
  double RecoverySeconds(const std::map<std::int64_t, std::pair<double, double>>& aBins) const
  {
    const auto servedFraction = [&](std::int64_t aFrom, std::int64_t aTo) {
      double offered = 0;
      double answered = 0;
      for (auto bin = aBins.lower_bound(aFrom); bin != aBins.end() && bin->first < aTo; ++bin) {
        offered += bin->second.first;
        answered += bin->second.second;
      }
      return offered > 0 ? answered / offered : 0;
    };
    const double fractionBefore = servedFraction(50, 100);
    const auto last = static_cast<std::int64_t>(scene_.durationSeconds_ * 10);
    for (std::int64_t bin = 150; bin + 20 <= last; ++bin) {
      bool recovered = true;
      for (std::int64_t i = bin; i < bin + 20 && recovered; i += 5) {
        recovered = servedFraction(i, i + 5) >= 0.98 * fractionBefore;
      }
      if (recovered) {
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
  std::uint64_t lastSequence_ = 0;
  AdmissionState guard_;
  Aimd aimd_;
  /// Waiting attempts by importance, newest last; only for QueueOrder::kLifo.
  std::array<std::deque<std::uint64_t>, kImportanceClassCount> stacks_;
  std::array<ReceivedAdmissionLevel, kHostCount> receivedLevels_; ///< By host of the caller.
  std::array<RetryRatio, kHostCount> retryRatios_;
  std::vector<ClientCall> calls_;
  std::vector<Attempt> attempts_;
  std::deque<std::uint64_t> targetQueue_; ///< Calls queued inside the target.
  std::uint32_t running_ = 0;             ///< Calls that occupy slots of the target.
  std::uint64_t sentAttempts_ = 0;
  std::uint64_t refusedAttempts_ = 0;
  std::uint64_t startedAttempts_ = 0;
  std::uint64_t lateAttempts_ = 0;
  std::uint64_t retries_ = 0;
  std::uint64_t firstAttempts_ = 0;
  double minLimitSoFar_ = 1e9;
};

void Print(const TrialResult& aResult, bool aMeasuresRecovery, bool aHasLimit)
{
  std::printf("%.3f | %.3f | ", aResult.goodput_, aResult.criticalFraction_);
  if (aResult.minAccountFraction_ < 0) {
    std::printf("- | ");
  } else {
    std::printf("%.3f | ", aResult.minAccountFraction_);
  }
  std::printf("%.3f | %.3f | %.3f | %.0f | ",
              aResult.refusedFraction_,
              aResult.lateFraction_,
              aResult.retriesPerFirstAttempt_,
              aResult.p99Ms_);
  if (!aMeasuresRecovery) {
    std::printf("- | ");
  } else if (aResult.recoverySeconds_ < 0) {
    std::printf("never | ");
  } else {
    std::printf("%.1f | ", aResult.recoverySeconds_);
  }
  if (aHasLimit) {
    std::printf("%.0f | %.0f |\n", aResult.minLimitInRun_, aResult.limit_);
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
