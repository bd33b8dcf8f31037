// Simulates one service whose calls many hosts distribute over targets of different speeds, and
// compares variants of the choice under reports of different ages. The same seed gives the same
// results, except for the processor times that --cpu prints.
//
// Usage: even_load_trials [--seed N] [--hosts N] [--scene NAME] [--variant NAME] [--load X]
//        [--staleness SECONDS] [--seconds N] [--cpu 1] [--draws N] [--correction SECONDS]
//        [--share-time SECONDS] [--direct X] [--leave-centre X] [--leave-region X]
#include "peridotquay/request/NaivePolicy.h"
#include "peridotquay/request/Random.h"
#include "peridotquay/request/RouteChoice.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <cstdlib>
#include <deque>
#include <map>
#include <queue>
#include <string>
#include <vector>

using namespace peridotquay;

namespace {

const ServiceId kService{ "ledger" };
const TimePoint kStart{ seconds(1000) };
constexpr std::uint32_t kSlots = 72;
constexpr double kWorkSeconds = 0.22;
constexpr double kWarmUpSeconds = 3;
constexpr std::size_t kCentres = 4;
constexpr Duration kOneWay = microseconds(1400);
constexpr Duration kOneWayFar = milliseconds(20);

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

enum class Variant
{
  kCentral, ///< One queue in front of all slots.
  kNaive,
  kPresent,
  kTwoOfReports, ///< Two targets at random, the one with the lower last reported load.
  kLowestReport, ///< The target with the lowest last reported load.
  kAnswersOnly,  ///< Shares, with reports only in answers.
  kAgeIgnored,   ///< Shares, with each report taken as if it were measured on arrival.
  kOneDraw,      ///< Shares, without a comparison of two targets.
  kShares,       ///< Shares; what the product does.
  kHandOn        ///< Shares, and a guard with a queue hands a call on once to a free target.
};

const std::vector<std::pair<std::string, Variant>> kVariants{
  { "central", Variant::kCentral },        { "naive", Variant::kNaive },
  { "present", Variant::kPresent },        { "two-of-reports", Variant::kTwoOfReports },
  { "lowest", Variant::kLowestReport },    { "answers-only", Variant::kAnswersOnly },
  { "age-ignored", Variant::kAgeIgnored }, { "one-draw", Variant::kOneDraw },
  { "shares", Variant::kShares },          { "hand-on", Variant::kHandOn },
};

enum class Scene
{
  kSteady,
  kBurst,       ///< One data centre sends three times its load for 4 s.
  kSlowQuarter, ///< A quarter of the targets works at a third of its speed for the second half.
  kFalseSpeed,  ///< A tenth of the targets states a fifth of its duration of work.
  kRefusing     ///< A quarter of the targets refuses 55 % of its calls at once.
};

const std::vector<std::pair<std::string, Scene>> kScenes{ { "steady", Scene::kSteady },
                                                          { "burst", Scene::kBurst },
                                                          { "slow-quarter", Scene::kSlowQuarter },
                                                          { "false-speed", Scene::kFalseSpeed },
                                                          { "refusing", Scene::kRefusing } };

constexpr double kRefusedFraction = 0.55;

struct Options
{
  Scene scene_ = Scene::kSteady;
  Variant variant_ = Variant::kShares;
  std::size_t hosts_ = 79;
  double load_ = 0.9;
  double staleness_ = 0.3; ///< Mean age of a report when it is used.
  double seconds_ = 20;
  std::uint64_t seed_ = 1;
  LoadEstimateSettings estimate_;
};

struct SimCall
{
  std::size_t host_ = 0;
  std::size_t target_ = 0;
  TimePoint sentAt_{};
  TimePoint queuedAt_{};
  bool handedOn_ = false;
  std::vector<HostId> refusedBy_;
};

struct SimTarget
{
  double speed_ = 1;
  std::uint32_t running_ = 0;
  std::deque<std::uint32_t> queue_;
  double busySeconds_ = 0;
  TimePoint changedAt_ = kStart;
};

enum class Kind : std::uint8_t
{
  kArrival,
  kAtGuard,
  kEnd,
  kAnswer,
  kRefusal,
  kReport,
  kReported
};

struct SimEvent
{
  TimePoint at_{};
  std::uint64_t sequence_ = 0;
  Kind kind_ = Kind::kArrival;
  std::uint32_t number_ = 0;
  LoadReport report_;
  bool operator<(const SimEvent& aOther) const
  {
    return at_ != aOther.at_ ? at_ > aOther.at_ : sequence_ > aOther.sequence_;
  }
};

class Simulation
{
public:
  explicit Simulation(const Options& aOptions)
    : options_(aOptions)
    , random_(aOptions.seed_)
    , targets_(aOptions.hosts_ / 3)
    , lastReports_(targets_.size())
  {
    std::vector<Target> targets;
    double capacity = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      targets_[i].speed_ = 0.5 + 1.1 * RandomFraction(random_);
      capacity += kSlots * targets_[i].speed_ / kWorkSeconds;
      Target target;
      target.host_ = { HostName(i) };
      target.incarnation_ = 1;
      target.dataCentre_ = { "c" + std::to_string(i % kCentres) };
      target.region_ = { i % kCentres < 2 ? "r0" : "r1" };
      target.service_ = kService;
      target.slots_ = kSlots;
      target.readySince_ = kStart - seconds(60);
      targets.push_back(target);
    }
    perSecond_ = capacity * options_.load_;
    view_.targets_[kService] = std::move(targets);
    for (std::size_t i = 0; i < options_.hosts_; ++i) {
      view_.hosts_[{ HostName(i) }] = {};
      RoutingState state;
      state.dataCentre_ = { "c" + std::to_string(i % kCentres) };
      state.region_ = { i % kCentres < 2 ? "r0" : "r1" };
      state.random_ = RandomBits(random_);
      state.settings_.evenLoad_ =
        options_.variant_ < Variant::kAnswersOnly ? FeatureMode::kOff : FeatureMode::kStated;
      state.settings_.estimate_ = options_.estimate_;
      if (options_.variant_ == Variant::kOneDraw) {
        state.settings_.estimate_.comparedTargets_ = 1;
      }
      hosts_.push_back(std::move(state));
    }
    naive_.resize(options_.hosts_);
  }

  void Run()
  {
    const TimePoint end = kStart + FromSeconds(options_.seconds_);
    ScheduleArrival();
    for (std::uint32_t i = 0; i < targets_.size(); ++i) {
      Schedule(
        kStart + FromSeconds(options_.staleness_ * RandomFraction(random_)), Kind::kReport, i);
    }
    while (!events_.empty() && events_.top().at_ < end) {
      const SimEvent event = events_.top();
      events_.pop();
      CountQueuedTime(event.at_);
      now_ = event.at_;
      Handle(event);
    }
    Print();
  }

private:
  static std::string HostName(std::size_t aNumber) { return "host-" + std::to_string(aNumber); }

  bool IsMeasured() const { return now_ >= kStart + FromSeconds(kWarmUpSeconds); }

  void Schedule(TimePoint aAt, Kind aKind, std::uint32_t aNumber, const LoadReport& aReport = {})
  {
    events_.push({ aAt, sequence_++, aKind, aNumber, aReport });
  }

  void ScheduleArrival()
  {
    // Arrivals of a burst are the share of the first data centre times three.
    const bool burst = options_.scene_ == Scene::kBurst && now_ >= kStart + seconds(8) &&
                       now_ < kStart + seconds(12);
    const double rate = perSecond_ * (burst ? 1.5 : 1);
    Schedule(now_ + FromSeconds(-std::log(1 - RandomFraction(random_)) / rate),
             Kind::kArrival,
             burst ? 1 : 0);
  }

  Duration OneWay(std::size_t aHost, std::size_t aTarget) const
  {
    const std::size_t from = aHost % kCentres;
    const std::size_t to = aTarget % kCentres;
    return from == to ? microseconds(200) : (from < 2) == (to < 2) ? kOneWay : kOneWayFar;
  }

  double Speed(std::size_t aTarget) const
  {
    const bool slow = options_.scene_ == Scene::kSlowQuarter && aTarget % 4 == 1 &&
                      now_ >= kStart + FromSeconds(options_.seconds_ / 2);
    return targets_[aTarget].speed_ / (slow ? 3 : 1);
  }

  LoadReport Report(std::size_t aTarget) const
  {
    const bool lies = options_.scene_ == Scene::kFalseSpeed && aTarget % 10 == 0;
    const double percent = 100 / Speed(aTarget) / (lies ? 5 : 1);
    return { targets_[aTarget].running_,
             static_cast<std::uint32_t>(targets_[aTarget].queue_.size()),
             kSlots,
             static_cast<std::uint32_t>(percent) };
  }

  std::size_t Choose(std::size_t aHost, const std::vector<HostId>& aExclude = {})
  {
    const std::size_t count = targets_.size();
    const auto load = [this](std::size_t aTarget) {
      return lastReports_[aTarget].running_ + lastReports_[aTarget].queued_;
    };
    switch (options_.variant_) {
      case Variant::kCentral:
        return 0;
      case Variant::kTwoOfReports: {
        const std::size_t one = RandomIndex(hosts_[aHost].random_, count);
        const std::size_t two = RandomIndex(hosts_[aHost].random_, count);
        return load(two) < load(one) ? two : one;
      }
      case Variant::kLowestReport: {
        std::size_t best = RandomIndex(hosts_[aHost].random_, count);
        for (std::size_t i = 0; i < count; ++i) {
          best = load(i) < load(best) ? i : best;
        }
        return best;
      }
      default:
        break;
    }
    const auto target = options_.variant_ == Variant::kNaive
                          ? ChooseNaiveTarget(naive_[aHost], view_, kService)
                          : ChooseTarget(hosts_[aHost], view_, kService, aExclude, now_);
    return static_cast<std::size_t>(std::stoul(target->host_.value_.substr(5)));
  }

  void Handle(const SimEvent& aEvent)
  {
    switch (aEvent.kind_) {
      case Kind::kArrival:
        OnArrival(aEvent.number_ == 1);
        break;
      case Kind::kAtGuard:
        if (calls_[aEvent.number_].queuedAt_ == TimePoint{}) {
          calls_[aEvent.number_].queuedAt_ = now_;
        }
        OnGuard(aEvent.number_);
        break;
      case Kind::kEnd:
        OnEnd(aEvent.number_);
        break;
      case Kind::kAnswer: {
        const SimCall& call = calls_[aEvent.number_];
        RecordCallEnded(hosts_[call.host_],
                        view_.targets_.at(kService)[call.target_],
                        AttemptResult::kAnswered,
                        now_ - call.sentAt_,
                        static_cast<double>(aEvent.report_.running_ + aEvent.report_.queued_) /
                          kSlots,
                        now_,
                        &aEvent.report_);
        break;
      }
      case Kind::kRefusal:
        OnRefusal(aEvent);
        break;
      case Kind::kReport:
        Schedule(now_ + FromSeconds(options_.staleness_ / 2),
                 Kind::kReported,
                 aEvent.number_,
                 Report(aEvent.number_));
        Schedule(now_ + FromSeconds(options_.staleness_), Kind::kReport, aEvent.number_);
        break;
      case Kind::kReported:
        lastReports_[aEvent.number_] = aEvent.report_;
        if (options_.variant_ > Variant::kAnswersOnly) {
          const Duration age = options_.variant_ == Variant::kAgeIgnored
                                 ? Duration::zero()
                                 : FromSeconds(options_.staleness_ / 2);
          for (RoutingState& host : hosts_) {
            RecordLoadReport(
              host, view_, { HostName(aEvent.number_) }, 1, aEvent.report_, now_ - age);
          }
        }
        break;
    }
  }

  void OnArrival(bool aBurst)
  {
    ScheduleArrival();
    SimCall call;
    call.host_ = RandomIndex(random_, options_.hosts_);
    // In a burst, a third of all calls are the additional ones of the first data centre.
    if (aBurst && RandomIndex(random_, 3) == 0) {
      call.host_ = call.host_ / kCentres * kCentres;
    }
    call.sentAt_ = now_;
    call.target_ = Choose(call.host_);
    calls_.push_back(call);
    const auto number = static_cast<std::uint32_t>(calls_.size() - 1);
    if (options_.variant_ == Variant::kCentral) {
      calls_[number].queuedAt_ = now_;
      centralQueue_.push_back(number);
      StartCentral();
      return;
    }
    Send(number);
  }

  void Send(std::uint32_t aNumber)
  {
    const SimCall& call = calls_[aNumber];
    ++attempts_;
    RecordCallSent(hosts_[call.host_], view_.targets_.at(kService)[call.target_], now_);
    farCalls_ += OneWay(call.host_, call.target_) == kOneWayFar ? 1 : 0;
    Schedule(now_ + OneWay(call.host_, call.target_), Kind::kAtGuard, aNumber);
  }

  void OnRefusal(const SimEvent& aEvent)
  {
    SimCall& call = calls_[aEvent.number_];
    RecordCallEnded(hosts_[call.host_],
                    view_.targets_.at(kService)[call.target_],
                    AttemptResult::kRefused,
                    now_ - call.sentAt_,
                    static_cast<double>(aEvent.report_.running_ + aEvent.report_.queued_) / kSlots,
                    now_,
                    &aEvent.report_);
    call.refusedBy_.push_back({ HostName(call.target_) });
    call.target_ = Choose(call.host_, call.refusedBy_);
    call.sentAt_ = now_;
    Send(aEvent.number_);
  }

  void OnGuard(std::uint32_t aNumber)
  {
    SimCall& call = calls_[aNumber];
    SimTarget& target = targets_[call.target_];
    if (options_.scene_ == Scene::kRefusing && call.target_ % 4 == 1 &&
        RandomFraction(random_) < kRefusedFraction) {
      ++refusals_;
      Schedule(
        now_ + OneWay(call.host_, call.target_), Kind::kRefusal, aNumber, Report(call.target_));
      return;
    }
    if (target.running_ < kSlots) {
      StartCall(aNumber);
      return;
    }
    if (options_.variant_ == Variant::kHandOn && !call.handedOn_) {
      // The guard's host has the same reports as all others.
      std::size_t best = call.target_;
      for (std::size_t i = 0; i < targets_.size(); ++i) {
        best = lastReports_[i].running_ < lastReports_[best].running_ ? i : best;
      }
      if (lastReports_[best].running_ + kSlots / 10 < kSlots) {
        const Duration way = OneWay(call.target_, best);
        call.handedOn_ = true;
        call.target_ = best;
        ++handedOn_;
        Schedule(now_ + way, Kind::kAtGuard, aNumber);
        return;
      }
    }
    target.queue_.push_back(aNumber);
    queuedCalls_ += 1;
  }

  void StartCall(std::uint32_t aNumber)
  {
    const SimCall& call = calls_[aNumber];
    if (IsMeasured()) {
      waits_.push_back(ToSeconds(now_ - call.queuedAt_));
    }
    CountBusy(call.target_);
    ++targets_[call.target_].running_;
    const double work = -std::log(1 - RandomFraction(random_)) * kWorkSeconds;
    Schedule(now_ + FromSeconds(work / Speed(call.target_)), Kind::kEnd, aNumber);
  }

  void StartCentral()
  {
    // The fastest target with a free slot takes the first waiting call.
    while (!centralQueue_.empty()) {
      std::size_t best = targets_.size();
      for (std::size_t i = 0; i < targets_.size(); ++i) {
        if (targets_[i].running_ < kSlots &&
            (best == targets_.size() || targets_[i].speed_ > targets_[best].speed_)) {
          best = i;
        }
      }
      if (best == targets_.size()) {
        return;
      }
      calls_[centralQueue_.front()].target_ = best;
      StartCall(centralQueue_.front());
      centralQueue_.pop_front();
    }
  }

  void OnEnd(std::uint32_t aNumber)
  {
    const SimCall call = calls_[aNumber];
    SimTarget& target = targets_[call.target_];
    CountBusy(call.target_);
    --target.running_;
    if (options_.variant_ == Variant::kCentral) {
      StartCentral();
      return;
    }
    if (!target.queue_.empty()) {
      const std::uint32_t next = target.queue_.front();
      target.queue_.pop_front();
      queuedCalls_ -= 1;
      StartCall(next);
    }
    Schedule(now_ + OneWay(call.host_, call.target_), Kind::kAnswer, aNumber, Report(call.target_));
  }

  void CountBusy(std::size_t aTarget)
  {
    SimTarget& target = targets_[aTarget];
    const TimePoint from = std::max(target.changedAt_, kStart + FromSeconds(kWarmUpSeconds));
    if (now_ > from) {
      target.busySeconds_ += ToSeconds(now_ - from) * target.running_ / kSlots;
    }
    target.changedAt_ = now_;
  }

  /// Adds the time until aUntil if a target queues while another has a tenth of its slots free.
  /// Sampled every 5 ms.
  void CountQueuedTime(TimePoint aUntil)
  {
    if (!IsMeasured() || aUntil < nextSample_) {
      return;
    }
    nextSample_ = aUntil + milliseconds(5);
    ++samples_;
    std::uint32_t least = kSlots;
    for (const SimTarget& target : targets_) {
      least = std::min(least, target.running_);
    }
    uneven_ += queuedCalls_ > 0 && least < kSlots - kSlots / 10 ? 1 : 0;
    idle_ += queuedCalls_ > 0 && least == 0 ? 1 : 0;
  }

  void Print()
  {
    double sum = 0;
    double highest = 0;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      CountBusy(i);
      sum += targets_[i].busySeconds_;
      highest = std::max(highest, targets_[i].busySeconds_);
    }
    std::sort(waits_.begin(), waits_.end());
    const auto quantile = [&](double aFraction) {
      return waits_.empty() ? 0
                            : 1000 * waits_[static_cast<std::size_t>(
                                       aFraction * static_cast<double>(waits_.size() - 1))];
    };
    double mean = 0;
    for (const double wait : waits_) {
      mean += wait / static_cast<double>(waits_.size());
    }
    std::printf("%.2f | %.0f | %.0f | %.0f | %.1f | %.1f | %.1f | %.1f | %.1f |\n",
                highest * static_cast<double>(targets_.size()) / sum,
                quantile(0.5),
                quantile(0.99),
                mean * 1000,
                100.0 * uneven_ / std::max(1, samples_),
                100.0 * idle_ / std::max(1, samples_),
                100.0 * farCalls_ / static_cast<double>(calls_.size()),
                100.0 * handedOn_ / static_cast<double>(calls_.size()),
                100.0 * refusals_ / std::max(1, attempts_));
    std::fflush(stdout);
  }

  Options options_;
  std::uint64_t random_;
  std::vector<SimTarget> targets_;
  std::vector<LoadReport> lastReports_; ///< As every host knows them.
  TargetView view_;
  double perSecond_ = 0;
  std::vector<RoutingState> hosts_;
  std::vector<NaiveState> naive_;
  std::vector<SimCall> calls_;
  std::deque<std::uint32_t> centralQueue_;
  std::priority_queue<SimEvent> events_;
  std::uint64_t sequence_ = 0;
  TimePoint now_ = kStart;
  TimePoint nextSample_ = kStart;
  std::vector<double> waits_;
  int queuedCalls_ = 0;
  int samples_ = 0;
  int uneven_ = 0;
  int idle_ = 0;
  int farCalls_ = 0;
  int handedOn_ = 0;
  int attempts_ = 0;
  int refusals_ = 0;
};

/// Measures the processor time of one choice with its records, where calls are aGap apart.
double NanosecondsPerChoice(FeatureMode aMode, std::size_t aTargets, Duration aGap)
{
  TargetView view;
  RoutingState state;
  state.dataCentre_ = { "c0" };
  state.region_ = { "r0" };
  state.settings_.evenLoad_ = aMode;
  for (std::size_t i = 0; i < aTargets; ++i) {
    Target target;
    target.host_ = { "topups-host-" + std::to_string(1000 + i) };
    target.incarnation_ = 1;
    target.dataCentre_ = { "c" + std::to_string(i % kCentres) };
    target.region_ = { i % kCentres < 2 ? "r0" : "r1" };
    target.service_ = kService;
    target.slots_ = kSlots;
    view.targets_[kService].push_back(target);
    view.hosts_[target.host_] = {};
  }
  constexpr int kRounds = 20000;
  TimePoint now = kStart;
  const LoadReport report{ 50, 0, kSlots, 100 };
  const auto begin = std::chrono::steady_clock::now();
  for (int i = 0; i < kRounds; ++i) {
    now += aGap;
    const Target target = *ChooseTarget(state, view, kService, {}, now, milliseconds(1500));
    RecordCallSent(state, target, now);
    RecordCallEnded(state, target, AttemptResult::kAnswered, milliseconds(220), 0.7, now, &report);
  }
  return std::chrono::duration<double, std::nano>(std::chrono::steady_clock::now() - begin)
           .count() /
         kRounds;
}

} // namespace

int main(int aCount, char** aArguments)
{
  std::map<std::string, std::string> given;
  for (int i = 1; i + 1 < aCount; i += 2) {
    given[aArguments[i]] = aArguments[i + 1];
  }
  const auto number = [&](const std::string& aName, double aDefault) {
    return given.contains(aName) ? std::atof(given[aName].c_str()) : aDefault;
  };
  if (given.contains("--cpu")) {
    std::printf("| targets | ms between calls | present ns | shares ns |\n|---|---|---|---|\n");
    for (const std::size_t targets : { 4U, 26U, 333U }) {
      for (const int gap : { 1, 70 }) {
        std::printf("| %zu | %d | %.0f | %.0f |\n",
                    targets,
                    gap,
                    NanosecondsPerChoice(FeatureMode::kOff, targets, milliseconds(gap)),
                    NanosecondsPerChoice(FeatureMode::kStated, targets, milliseconds(gap)));
      }
    }
    return 0;
  }
  std::printf(
    "| scene | variant | hosts | load | age s | max/mean | wait p50 ms | p99 ms | mean ms | "
    "queue beside 10 %% free, %% of time | queue beside idle, %% | other region %% | "
    "handed on %% | refused attempts %% "
    "|\n|---|---|---|---|---|---|---|---|---|---|---|---|---|---|\n");
  for (const auto& [sceneName, scene] : kScenes) {
    for (const auto& [variantName, variant] : kVariants) {
      if ((given.contains("--scene") && given["--scene"] != sceneName) ||
          (given.contains("--variant") && given["--variant"] != variantName)) {
        continue;
      }
      Options options;
      options.scene_ = scene;
      options.variant_ = variant;
      options.hosts_ = static_cast<std::size_t>(number("--hosts", 79));
      options.load_ = number("--load", scene == Scene::kSteady ? 0.9 : 0.65);
      options.staleness_ = number("--staleness", 0.3);
      options.seconds_ = number("--seconds", 20);
      options.seed_ = static_cast<std::uint64_t>(number("--seed", 1));
      LoadEstimateSettings& estimate = options.estimate_;
      estimate.comparedTargets_ =
        static_cast<std::uint32_t>(number("--draws", estimate.comparedTargets_));
      estimate.correctionTime_ =
        FromSeconds(number("--correction", ToSeconds(estimate.correctionTime_)));
      estimate.shareTime_ = FromSeconds(number("--share-time", ToSeconds(estimate.shareTime_)));
      estimate.leaveUtilisation_ = { number("--leave-centre", estimate.leaveUtilisation_[0]),
                                     number("--leave-region", estimate.leaveUtilisation_[1]) };
      estimate.directShare_ = number("--direct", estimate.directShare_);
      std::printf("| %s | %s | %zu | %.2f | %.2f | ",
                  sceneName.c_str(),
                  variantName.c_str(),
                  options.hosts_,
                  options.load_,
                  options.staleness_);
      Simulation(options).Run();
    }
  }
  return 0;
}
