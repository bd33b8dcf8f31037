// Event-driven simulation of a service graph.
#include "standins/lib/ServiceGraph.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cmath>
#include <map>
#include <memory>
#include <queue>

namespace peridotquay::standins {

namespace {

constexpr Duration kNetworkDelay = milliseconds(1);
constexpr Duration kQueueCheckInterval = milliseconds(10);

/// AdmissionSettings::lowerClassShare_ of guards that use run limits.
constexpr double kLowerClassShare = 0.25;

/// Guards that a refused call is sent to after the first one.
constexpr int kMaxOtherGuards = 4;

const TimePoint kStart{ seconds(1000) };

Duration FromSeconds(double aSeconds)
{
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(aSeconds));
}

/// End of a call as its caller sees it.
struct CallEnd
{
  bool succeeded_ = false;
  bool notRun_ = false;
  bool late_ = false; ///< The deadline passed.
  std::uint32_t retryAfterMs_ = 0;
  double overload_ = 0; ///< CallOverload of the answer.
};

using EndHandler = std::function<void(const CallEnd&)>;

struct Call
{
  std::uint64_t id_ = 0;
  std::size_t route_ = 0;
  bool fromClient_ = false;
  TimePoint arrivedAt_{};
  TimePoint startedAt_{};
  TimePoint deadline_{};
  Duration waited_{};                       ///< Time since the client's first attempt.
  std::vector<std::size_t> remainingCalls_; ///< Routes of deeper calls, the next one last.
  double sliceSeconds_ = 0;
  bool started_ = false;
  bool ended_ = false;
  std::vector<std::size_t> triedTargets_;
  EndHandler onEnd_;
};
using CallPointer = std::shared_ptr<Call>;

struct ModelTarget
{
  std::size_t service_ = 0;
  bool up_ = true;
  AdmissionState admission_;
  RunLimitState limits_;
  std::map<std::uint64_t, CallPointer> calls_;
  bool checkScheduled_ = false;
};

class Simulation
{
public:
  explicit Simulation(const GraphScene& aScene)
    : scene_(aScene)
    , random_(aScene.seed_ * 0x9E3779B97F4A7C15ULL + 1)
  {
    for (std::size_t service = 0; service < scene_.services_.size(); ++service) {
      for (std::uint32_t i = 0; i < scene_.services_[service].targets_; ++i) {
        ModelTarget target;
        target.service_ = service;
        target.admission_.settings_.adaptive_ = false;
        target.admission_.settings_.queueDeadlineFraction_ = 0.6;
        target.admission_.settings_.lowerClassShare_ = scene_.limitsRuns_ ? kLowerClassShare : 0;
        target.admission_.limit_ = scene_.services_[service].slots_;
        target.admission_.announcedSlots_ = scene_.services_[service].slots_;
        target.limits_.settings_.enabled_ = scene_.limitsRuns_;
        target.admission_.settings_.capacityScheduling_ = scene_.schedulesCapacity_;
        target.limits_.settings_.capacityScheduling_ = scene_.schedulesCapacity_;
        target.limits_.random_ += targets_.size();
        targets_.push_back(std::move(target));
      }
    }
    result_.routes_.assign(
      scene_.routes_.size(),
      std::vector<GraphSecond>(static_cast<std::size_t>(scene_.durationSeconds_)));
  }

  GraphResult Play()
  {
    for (const GraphPhase& phase : scene_.phases_) {
      At(kStart + FromSeconds(phase.atSecond_), [this, &phase] { BeginPhase(phase); });
    }
    for (std::size_t route = 0; route < scene_.routes_.size(); ++route) {
      if (scene_.routes_[route].requestsPerSecond_ > 0) {
        ScheduleArrival(route);
      }
    }
    while (!events_.empty()) {
      const Event event = events_.top();
      events_.pop();
      now_ = event.at_;
      event.run_();
    }
    return std::move(result_);
  }

private:
  struct Event
  {
    TimePoint at_{};
    std::uint64_t number_ = 0; ///< Keeps the order of events at the same time.
    std::function<void()> run_;
    bool operator<(const Event& aOther) const
    {
      return at_ != aOther.at_ ? at_ > aOther.at_ : number_ > aOther.number_;
    }
  };

  void At(TimePoint aTime, std::function<void()> aRun)
  {
    events_.push({ aTime, nextEvent_++, std::move(aRun) });
  }

  double Exponential(double aMean)
  {
    return -aMean * std::log(1 - std::min(0.999999, RandomFraction(random_)));
  }

  bool IsOver() const { return ToSeconds(now_ - kStart) >= scene_.durationSeconds_; }

  void BeginPhase(const GraphPhase& aPhase)
  {
    loadFactor_ = aPhase.loadFactor_;
    surgingRoute_ = aPhase.surgingRoute_;
    surgeFactor_ = aPhase.surgeFactor_;
    slowFactors_.clear();
    slowFactors_[aPhase.service_] = aPhase.slowFactor_;
    std::map<std::size_t, std::uint32_t> indexes;
    for (ModelTarget& target : targets_) {
      const std::uint32_t index = indexes[target.service_]++;
      const double count = scene_.services_[target.service_].targets_;
      const bool up =
        target.service_ != aPhase.service_ || index < std::lround(aPhase.targetFraction_ * count);
      if (target.up_ && !up) {
        target.up_ = false;
        const auto calls = target.calls_;
        for (const auto& [id, call] : calls) {
          Finish(
            target, call, ExecutionResult::kCancelled, { false, !call->started_, false, 0, 0 });
        }
      }
      target.up_ = up;
    }
  }

  void ScheduleArrival(std::size_t aRoute)
  {
    const double surge = static_cast<int>(aRoute) == surgingRoute_ ? surgeFactor_ : 1;
    const double rate =
      scene_.routes_[aRoute].requestsPerSecond_ * std::max(0.01, loadFactor_) * surge;
    At(now_ + FromSeconds(Exponential(1 / rate)), [this, aRoute] {
      if (IsOver()) {
        return;
      }
      GraphSecond& second =
        result_.routes_[aRoute][static_cast<std::size_t>(ToSeconds(now_ - kStart))];
      ++second.offered_;
      SendRequest(aRoute, now_, scene_.clientRetries_, second);
      ScheduleArrival(aRoute);
    });
  }

  void SendRequest(std::size_t aRoute,
                   TimePoint aFirstSentAt,
                   std::uint32_t aRetries,
                   GraphSecond& aSecond)
  {
    auto call = std::make_shared<Call>();
    call->route_ = aRoute;
    call->fromClient_ = true;
    call->waited_ = now_ - aFirstSentAt;
    const TimePoint patienceEnds = aFirstSentAt + scene_.clientDeadline_;
    call->deadline_ = std::min(patienceEnds, now_ + scene_.routes_[aRoute].timeout_);
    call->onEnd_ =
      [this, aRoute, aFirstSentAt, aRetries, &aSecond, patienceEnds](const CallEnd& aEnd) {
        if (aEnd.succeeded_) {
          const bool good = now_ - aFirstSentAt <= scene_.routes_[aRoute].objective_;
          ++(good ? aSecond.good_ : aSecond.late_);
          return;
        }
        const Duration left = patienceEnds - now_;
        if (aRetries == 0 || left <= Duration::zero()) {
          ++(aEnd.notRun_ ? aSecond.refused_ : aSecond.failed_);
          return;
        }
        const Duration wait = std::min<Duration>(milliseconds(aEnd.retryAfterMs_), left / 3);
        At(now_ + std::max<Duration>(wait, kNetworkDelay),
           [this, aRoute, aFirstSentAt, aRetries, &aSecond] {
             SendRequest(aRoute, aFirstSentAt, aRetries - 1, aSecond);
           });
      };
    SendCall(call);
  }

  /// The less loaded of two random targets that are up and weren't tried.
  ModelTarget* ChooseTarget(const Call& aCall)
  {
    std::vector<std::size_t> usable;
    for (std::size_t i = 0; i < targets_.size(); ++i) {
      const auto& tried = aCall.triedTargets_;
      if (targets_[i].up_ && targets_[i].service_ == scene_.routes_[aCall.route_].service_ &&
          std::find(tried.begin(), tried.end(), i) == tried.end()) {
        usable.push_back(i);
      }
    }
    if (usable.empty()) {
      return nullptr;
    }
    ModelTarget& one = targets_[usable[RandomIndex(random_, usable.size())]];
    ModelTarget& two = targets_[usable[RandomIndex(random_, usable.size())]];
    const auto load = [](const ModelTarget& aTarget) {
      return aTarget.admission_.running_ + aTarget.admission_.queued_;
    };
    return load(two) < load(one) ? &two : &one;
  }

  void SendCall(const CallPointer& aCall)
  {
    At(now_ + kNetworkDelay, [this, aCall] { Offer(aCall); });
  }

  void Offer(const CallPointer& aCall)
  {
    ModelTarget* target = ChooseTarget(*aCall);
    if (target == nullptr || now_ >= aCall->deadline_) {
      EndCall(aCall, { false, true, now_ >= aCall->deadline_, 100, 1 });
      return;
    }
    aCall->triedTargets_.push_back(static_cast<std::size_t>(target - targets_.data()));
    aCall->id_ = nextCall_++;
    aCall->arrivedAt_ = now_;
    const GraphRoute& route = scene_.routes_[aCall->route_];
    if (aCall->fromClient_) {
      const RouteId id{ route.name_ };
      if (!TryBeginRun(
            target->limits_, id, now_, { "account" }, aCall->waited_ > Duration::zero())) {
        Refused(aCall, RunRetryAfterMs(target->limits_, id, route.objective_), 0);
        return;
      }
    }
    target->calls_[aCall->id_] = aCall;
    WaitingCall waiting;
    waiting.id_ = aCall->id_;
    waiting.importance_ = aCall->fromClient_ ? route.importance_ : Importance::kCritical;
    waiting.clientAccount_ = { aCall->fromClient_ ? "account" : "" };
    waiting.arrivedAt_ = now_;
    waiting.deadline_ = aCall->deadline_;
    waiting.route_ = { route.name_ };
    waiting.waited_ = aCall->waited_;
    const std::uint64_t id = aCall->id_;
    At(aCall->deadline_, [this, target, aCall, id] {
      if (aCall->id_ == id && target->calls_.contains(id)) {
        if (!aCall->started_) {
          CancelWaiting(target->admission_, id);
        }
        Finish(*target, aCall, ExecutionResult::kTimedOut, { false, !aCall->started_, true, 0, 1 });
      }
    });
    Apply(*target, OfferCall(target->admission_, waiting, now_));
    ScheduleQueueCheck(*target);
  }

  /// Sends a refused call to another guard, or ends it.
  void Refused(const CallPointer& aCall, std::uint32_t aRetryAfterMs, double aOverload)
  {
    if (aCall->triedTargets_.size() <= kMaxOtherGuards && ChooseTarget(*aCall) != nullptr) {
      SendCall(aCall);
    } else {
      EndCall(aCall, { false, true, false, aRetryAfterMs, aOverload });
    }
  }

  void Apply(ModelTarget& aTarget, const AdmissionActions& aActions)
  {
    for (const RefusedCall& refused : aActions.refuse_) {
      const CallPointer call = aTarget.calls_.at(refused.id_);
      aTarget.calls_.erase(refused.id_);
      if (call->fromClient_) {
        EndRun(aTarget.limits_,
               RouteId{ scene_.routes_[call->route_].name_ },
               RunResult::kNoResult,
               {},
               now_);
      }
      Refused(call, refused.retryAfterMs_, 1);
    }
    for (const std::uint64_t id : aActions.start_) {
      Start(aTarget, aTarget.calls_.at(id));
    }
  }

  void Start(ModelTarget& aTarget, const CallPointer& aCall)
  {
    const GraphRoute& route = scene_.routes_[aCall->route_];
    aCall->started_ = true;
    aCall->startedAt_ = now_;
    for (const GraphCalls& calls : route.calls_) {
      aCall->remainingCalls_.insert(aCall->remainingCalls_.end(), calls.times_, calls.route_);
    }
    const auto factor = slowFactors_.find(route.service_);
    const double slow = factor == slowFactors_.end() ? 1 : factor->second;
    const double work = route.workSeconds_ * slow * (0.5 + RandomFraction(random_));
    aCall->sliceSeconds_ = work / static_cast<double>(aCall->remainingCalls_.size() + 1);
    RunSlice(aTarget, aCall);
  }

  void RunSlice(ModelTarget& aTarget, const CallPointer& aCall)
  {
    At(now_ + FromSeconds(aCall->sliceSeconds_), [this, &aTarget, aCall] {
      if (aCall->ended_) {
        return;
      }
      if (aCall->remainingCalls_.empty()) {
        Finish(aTarget, aCall, ExecutionResult::kAnswered, { true, false, false, 0, 0 });
        return;
      }
      auto deeper = std::make_shared<Call>();
      deeper->route_ = aCall->remainingCalls_.back();
      aCall->remainingCalls_.pop_back();
      deeper->deadline_ =
        std::min(aCall->deadline_, now_ + scene_.routes_[deeper->route_].timeout_);
      deeper->onEnd_ = [this, &aTarget, aCall](const CallEnd& aEnd) {
        RecordDeeperCall(aTarget.limits_, aEnd.notRun_ || aEnd.late_ ? 1 : aEnd.overload_, now_);
        if (aCall->ended_) {
          return;
        }
        if (aEnd.succeeded_) {
          RunSlice(aTarget, aCall);
        } else {
          // The target answers with a failure.
          Finish(aTarget, aCall, ExecutionResult::kAnswered, { false, false, false, 0, 0 });
        }
      };
      SendCall(deeper);
    });
  }

  void Finish(ModelTarget& aTarget, const CallPointer& aCall, ExecutionResult aResult, CallEnd aEnd)
  {
    aCall->ended_ = true;
    aTarget.calls_.erase(aCall->id_);
    AdmissionActions actions;
    const RouteId route{ scene_.routes_[aCall->route_].name_ };
    const Duration time = now_ - aCall->startedAt_;
    if (aCall->started_) {
      actions = FinishCall(aTarget.admission_, aResult, time, now_, route);
    }
    if (aCall->fromClient_) {
      const bool isResult = aCall->started_ && aResult != ExecutionResult::kCancelled;
      EndRun(aTarget.limits_,
             route,
             !isResult         ? RunResult::kNoResult
             : aEnd.succeeded_ ? RunResult::kSucceeded
                               : RunResult::kFailed,
             time,
             now_);
    }
    aEnd.overload_ = std::max(aEnd.overload_,
                              CallOverload(static_cast<std::uint32_t>(aTarget.admission_.queued_),
                                           static_cast<std::uint32_t>(aTarget.admission_.limit_),
                                           DeeperOverload(aTarget.limits_, now_)));
    EndCall(aCall, aEnd);
    Apply(aTarget, actions);
  }

  void EndCall(const CallPointer& aCall, const CallEnd& aEnd)
  {
    aCall->ended_ = true;
    const EndHandler handler = std::move(aCall->onEnd_);
    handler(aEnd);
  }

  void ScheduleQueueCheck(ModelTarget& aTarget)
  {
    if (aTarget.checkScheduled_ || aTarget.admission_.queued_ == 0) {
      return;
    }
    aTarget.checkScheduled_ = true;
    At(now_ + kQueueCheckInterval, [this, &aTarget] {
      aTarget.checkScheduled_ = false;
      Apply(aTarget, DropLateCalls(aTarget.admission_, now_));
      ScheduleQueueCheck(aTarget);
    });
  }

  const GraphScene& scene_;
  std::uint64_t random_;
  TimePoint now_ = kStart;
  std::priority_queue<Event> events_;
  std::uint64_t nextEvent_ = 0;
  std::uint64_t nextCall_ = 1;
  double loadFactor_ = 1;
  int surgingRoute_ = -1;
  double surgeFactor_ = 1;
  std::map<std::size_t, double> slowFactors_; ///< By service.
  std::vector<ModelTarget> targets_;          ///< Not resized after the constructor.
  GraphResult result_;
};

/// Mean time of a run without queues, with its deeper calls.
double RunSeconds(const GraphScene& aScene, std::size_t aRoute, const GraphPhase& aPhase)
{
  const GraphRoute& route = aScene.routes_[aRoute];
  double total = route.workSeconds_ * (route.service_ == aPhase.service_ ? aPhase.slowFactor_ : 1);
  for (const GraphCalls& calls : route.calls_) {
    total += calls.times_ * RunSeconds(aScene, calls.route_, aPhase);
  }
  return total;
}

/// Slots of the phase's service that the runs of a route keep busy, with those of the calls below
/// it, at aRate runs per second.
double BusySlots(const GraphScene& aScene,
                 std::size_t aRoute,
                 double aRate,
                 const GraphPhase& aPhase)
{
  const GraphRoute& route = aScene.routes_[aRoute];
  double slots = route.service_ == aPhase.service_ ? aRate * RunSeconds(aScene, aRoute, aPhase) : 0;
  for (const GraphCalls& calls : route.calls_) {
    slots += BusySlots(aScene, calls.route_, aRate * calls.times_, aPhase);
  }
  return slots;
}

} // namespace

GraphSecond GraphResult::Sum(int aRoute, std::size_t aFrom, std::size_t aTo) const
{
  GraphSecond sum;
  for (std::size_t route = 0; route < routes_.size(); ++route) {
    if (aRoute >= 0 && route != static_cast<std::size_t>(aRoute)) {
      continue;
    }
    for (std::size_t i = aFrom; i < std::min(aTo, routes_[route].size()); ++i) {
      const GraphSecond& second = routes_[route][i];
      sum.offered_ += second.offered_;
      sum.good_ += second.good_;
      sum.late_ += second.late_;
      sum.refused_ += second.refused_;
      sum.failed_ += second.failed_;
    }
  }
  return sum;
}

GraphResult PlayScene(const GraphScene& aScene)
{
  return Simulation(aScene).Play();
}

double AllowedFraction(const GraphScene& aScene, const GraphPhase& aPhase)
{
  double needed = 0;
  for (std::size_t route = 0; route < aScene.routes_.size(); ++route) {
    const double surge = static_cast<int>(route) == aPhase.surgingRoute_ ? aPhase.surgeFactor_ : 1;
    const double rate = aScene.routes_[route].requestsPerSecond_ * aPhase.loadFactor_ * surge;
    needed += BusySlots(aScene, route, rate, aPhase);
  }
  const GraphService& service = aScene.services_[aPhase.service_];
  const double capacity = std::round(aPhase.targetFraction_ * service.targets_) * service.slots_;
  return std::min(1.0, capacity / needed);
}

std::vector<GraphScene> GraphScenes()
{
  // Two entry services over a middle one, which makes five calls in turn to the last one, and a
  // route that is served by the last one directly. At a load of 1 the last service is used by 0.6.
  GraphScene base;
  base.services_ = {
    { "catalogue", 4, 109 }, { "bidding", 4, 109 }, { "photos", 4, 109 }, { "clock", 4, 46 }
  };
  base.routes_ = {
    { "read", 0, 0.22, { { 4, 1 } }, milliseconds(1500), seconds(2), 260, Importance::kLow },
    { "bid", 1, 0.29, { { 5, 1 } }, milliseconds(1500), seconds(2), 90, Importance::kHigh },
    { "photo", 2, 0.26, {}, milliseconds(1500), milliseconds(800), 27, Importance::kNormal },
    { "watch", 3, 0.088, {}, milliseconds(800), milliseconds(400), 64, Importance::kNormal },
    { "credit", 1, 0.015, { { 5, 1 } }, milliseconds(1200), seconds(1) },
    { "grower", 2, 0.015, { { 6, 5 } }, milliseconds(1200), seconds(1) },
    { "state", 3, 0.055, {}, milliseconds(700), seconds(1) },
  };
  constexpr std::size_t kLast = 3;
  const auto scene = [&base](const std::string& aName, std::vector<GraphPhase> aPhases) {
    GraphScene made = base;
    made.name_ = aName;
    made.phases_ = std::move(aPhases);
    return made;
  };
  std::vector<GraphScene> scenes{
    scene("lasting-1.2", { { 0, 1, kLast }, { 8, 2, kLast } }),
    scene("lasting-2", { { 0, 1, kLast }, { 8, 3.4, kLast } }),
    scene("lasting-5", { { 0, 1, kLast }, { 8, 8.4, kLast } }),
    scene("burst-3s", { { 0, 1, kLast }, { 8, 4, kLast }, { 11, 1, kLast } }),
    scene("half-gone", { { 0, 1, kLast }, { 8, 1.2, kLast, 0.5 }, { 20, 1, kLast } }),
    scene("slow-2", { { 0, 1, kLast }, { 8, 1, kLast, 1, 2 }, { 18, 1, kLast } }),
    scene("middle-gone", { { 0, 1, 2 }, { 8, 1.2, 2, 0.25, 1 }, { 18, 1, 2 } }),
    scene("retries-3", { { 0, 1, kLast }, { 8, 2.2, kLast }, { 16, 1, kLast } }),
  };
  scenes.back().clientRetries_ = 3;
  return scenes;
}

std::vector<GraphScene> TopUpScenes()
{
  GraphScene base;
  base.services_ = {
    { "accounts", 6, 72 }, { "payments", 4, 103 }, { "tariffs", 5, 78 }, { "receipts", 4, 49 }
  };
  base.routes_ = {
    { "balance",
      0,
      0.22,
      { { 4, 1 } },
      seconds(5),
      milliseconds(1500),
      156,
      Importance::kCritical },
    { "topup", 1, 0.29, { { 5, 2 } }, seconds(5), seconds(2), 50, Importance::kHigh },
    { "price", 1, 0.55, {}, seconds(6), milliseconds(1500), 53, Importance::kHigh },
    { "history", 3, 0.88, {}, seconds(10), seconds(5), 27, Importance::kNormal },
    { "ledger", 2, 0.015, { { 5, 1 } }, milliseconds(2500), seconds(1) },
    { "tariff", 2, 0.015, { { 6, 4 } }, seconds(2), milliseconds(800) },
    { "receipt", 3, 0.055, {}, milliseconds(700), milliseconds(300) },
  };
  base.clientDeadline_ = seconds(5);
  constexpr std::size_t kReceipts = 3;
  constexpr int kHistory = 3;
  const auto scene = [&base](const std::string& aName, std::vector<GraphPhase> aPhases) {
    GraphScene made = base;
    made.name_ = aName;
    made.phases_ = std::move(aPhases);
    return made;
  };
  // Without a surge the receipts service is used by 0.4.
  std::vector<GraphScene> scenes{
    scene("history-triple",
          { { 0, 1, kReceipts }, { 8, 1, kReceipts, 1, 2, kHistory, 3 }, { 18, 1, kReceipts } }),
    scene("capacity-0.7",
          { { 0, 1.6, kReceipts }, { 8, 1.6, kReceipts, 1, 2 }, { 18, 1.6, kReceipts } }),
    scene("retries-4",
          { { 0, 1, kReceipts }, { 8, 2.6, kReceipts, 1, 1.5 }, { 18, 1, kReceipts } }),
  };
  scenes.back().clientRetries_ = 4;
  return scenes;
}

} // namespace peridotquay::standins
