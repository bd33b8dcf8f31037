// Adaptive concurrency limit, fair queue and early refusal of one guard.
#include "peridotquay/request/Admission.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cassert>
#include <cmath>

namespace peridotquay {

namespace {

/// Weight of one service time in the moving average.
constexpr double kServiceWeight = 0.1;

/// Without new samples the average halves in this time. Otherwise one slow spell could make every
/// call look too late, and no call would run that could correct the average.
constexpr double kServiceHalfLife = 0.5;

/// Least length of a window in time and in calls; shorter ones are mostly noise.
constexpr Duration kLeastWindow = milliseconds(20);
constexpr std::uint32_t kLeastWindowSamples = 32;

/// A mean below this part of the floor is a real change; a smaller step down may be noise.
constexpr double kFloorChanged = 0.7;

/// Up to this ratio of window mean to floor the limit may grow.
constexpr double kGrowTolerance = 1.3;

/// From this ratio on a trial finds out whether a lower limit helps.
constexpr double kTrialTolerance = 1.7;

/// Windows in a row above it that start a trial.
constexpr std::uint32_t kSlowWindows = 2;

/// Limit during a trial, as part of the limit before. In a saturated target latency falls by the
/// same factor.
constexpr double kTrialPart = 0.7;

/// The trial confirms the lower limit if latency fell at least to this part.
constexpr double kTrialConfirmed = 0.85;

/// Least limit after a confirmed trial, as part of the limit before.
constexpr double kLeastTrialResult = 0.5;

/// Pause between trials without a new rise of latency.
constexpr Duration kTrialPause = seconds(10);

/// Growth of the limit in one window.
constexpr double kFastGrowth = 0.1;

/// Growth in one second near the limit at which the target refused lately.
constexpr double kSlowGrowth = 1.0;
constexpr double kNearRefusal = 0.97;
constexpr Duration kRefusalMemory = seconds(5);

/// Least limit after a refusal by the target, as part of the limit before.
constexpr double kRefusalDecrease = 0.9;

/// A refusal lowers the limit at most once in this time: calls that started together are refused
/// together.
constexpr Duration kLeastDecreaseInterval = milliseconds(20);

/// Refusals for each answer of a window from which the limit is far too high and falls without a
/// pause.
constexpr double kManyRefusals = 0.25;

/// Refusals that go on for these windows in a row at this part of the limit don't depend on the
/// limit. A target that announces up to three times its slots isn't taken for one that refuses at
/// random.
constexpr std::uint32_t kRandomWindows = 3;
constexpr double kRandomPart = 0.3;

/// So long such refusals don't lower the limit, unless they are many.
constexpr Duration kRandomMemory = seconds(30);

/// Decreases further apart than this are judged apart.
constexpr Duration kRefusalEpisode = seconds(1);

/// Least length of the interval of the counts behind the early refusal, and least number of offered
/// calls in it unless it lasted a second.
constexpr Duration kLevelInterval = milliseconds(100);
constexpr double kLevelSamples = 20;
constexpr Duration kLongestLevelInterval = seconds(1);

/// A class of which a smaller part is started is closed to callers' hosts.
constexpr double kClosedPart = 0.02;

/// Intervals in a row before a class is closed: a burst of more important calls starves it for one.
constexpr std::uint32_t kStarvedIntervals = 5;

/// Least fraction of a shed class that is sent as a probe.
constexpr double kProbeFraction = 0.01;

/// Bounds of the hint when to come back.
constexpr double kLeastRetryAfterMs = 10;
constexpr double kLongestRetryAfterMs = 5000;

std::size_t Index(Importance aImportance)
{
  return static_cast<std::size_t>(aImportance);
}

double Weight(const WaitingCall& aCall)
{
  return aCall.weight_ > 0 ? aCall.weight_ : 1e-3;
}

double UpperLimit(const AdmissionState& aState)
{
  const std::uint32_t most = aState.announcedSlots_ > 0
                               ? std::min(aState.settings_.maxLimit_, aState.announcedSlots_)
                               : aState.settings_.maxLimit_;
  return std::max(1.0, static_cast<double>(most));
}

void SetLimit(AdmissionState& aState, double aLimit)
{
  const double upper = UpperLimit(aState);
  const double lower =
    std::min(upper, std::max(1.0, static_cast<double>(aState.settings_.minLimit_)));
  aState.limit_ = std::clamp(aLimit, lower, upper);
}

bool HasSlot(const AdmissionState& aState)
{
  return static_cast<double>(aState.running_) + 1 <= aState.limit_;
}

double ExpectedService(const AdmissionState& aState, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aState.lastSample_));
  return aState.serviceSeconds_ * std::exp2(-age / kServiceHalfLife);
}

/// Service time of calls like this one; of all calls while its route has none.
double ExpectedServiceOf(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  const auto route = aState.routes_.find(aCall.route_);
  if (route == aState.routes_.end()) {
    return ExpectedService(aState, aNow);
  }
  const double age = std::max(0.0, ToSeconds(aNow - route->second.lastSample_));
  return route->second.seconds_ * std::exp2(-age / kServiceHalfLife);
}

std::uint32_t RetryAfterMs(const AdmissionState& aState, TimePoint aNow)
{
  const double waitMs = 1000 * ExpectedService(aState, aNow) *
                        (static_cast<double>(aState.queued_) + 1) / aState.limit_;
  return static_cast<std::uint32_t>(std::clamp(waitMs, kLeastRetryAfterMs, kLongestRetryAfterMs));
}

/// Whether the call would end after its deadline if it started now.
bool IsTooLate(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  if (aNow >= aCall.deadline_) {
    return true;
  }
  // With nothing running, a call is the only way to learn the present service time.
  return aState.running_ > 0 &&
         ToSeconds(aCall.deadline_ - aNow) < ExpectedServiceOf(aState, aCall, aNow);
}

/// Whether the call has spent its part of the deadline in the queue. Critical calls may wait until
/// their deadline can't be met.
bool HasWaitedTooLong(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  if (aCall.importance_ == Importance::kCritical) {
    return false;
  }
  const double allowed =
    aState.settings_.queueDeadlineFraction_ * ToSeconds(aCall.deadline_ - aCall.arrived_);
  return ToSeconds(aNow - aCall.arrived_) > allowed;
}

bool MustDrop(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  return IsTooLate(aState, aCall, aNow) || HasWaitedTooLong(aState, aCall, aNow);
}

void Refuse(AdmissionState& aState,
            AdmissionActions& aStep,
            const WaitingCall& aCall,
            ErrorCode aCode,
            TimePoint aNow)
{
  aState.shed_[Index(aCall.importance_)] += 1;
  aStep.refuse_.push_back({ aCall.id_, aCode, RetryAfterMs(aState, aNow) });
}

void Start(AdmissionState& aState, AdmissionActions& aStep, const WaitingCall& aCall)
{
  ++aState.running_;
  aState.window_.peakRunning_ = std::max(aState.window_.peakRunning_, aState.running_);
  aState.admitted_[Index(aCall.importance_)] += 1;
  aStep.start_.push_back(aCall.id_);
}

void Push(AdmissionState& aState, const WaitingCall& aCall)
{
  ClassQueue& queue = aState.queues_[Index(aCall.importance_)];
  ClassQueue::AccountQueue& account = queue.accounts_[aCall.clientAccount_];
  if (account.calls_.empty()) {
    // An account that was idle starts at the present virtual time: idle time earns no credit.
    account.finishTag_ = std::max(account.finishTag_, queue.virtualTime_);
  }
  account.calls_.push_back(aCall);
  ++queue.size_;
  ++aState.queued_;
}

/// Keeps the sizes right after calls left the queue and forgets accounts without calls or debt.
void Shrink(AdmissionState& aState, ClassQueue& aQueue, std::size_t aCount)
{
  assert(aQueue.size_ >= aCount && aState.queued_ >= aCount);
  aQueue.size_ -= aCount;
  aState.queued_ -= aCount;
  if (aQueue.size_ == 0) {
    aQueue.accounts_.clear();
    aQueue.virtualTime_ = 0;
  }
}

/// The account whose next call has the least virtual start time.
std::map<ClientAccountId, ClassQueue::AccountQueue>::iterator NextAccount(ClassQueue& aQueue)
{
  auto next = aQueue.accounts_.end();
  for (auto entry = aQueue.accounts_.begin(); entry != aQueue.accounts_.end(); ++entry) {
    if (!entry->second.calls_.empty() &&
        (next == aQueue.accounts_.end() || entry->second.finishTag_ < next->second.finishTag_)) {
      next = entry;
    }
  }
  return next;
}

/// Starts waiting calls while slots are free.
void StartWaiting(AdmissionState& aState, AdmissionActions& aStep, TimePoint aNow)
{
  for (ClassQueue& queue : aState.queues_) {
    while (queue.size_ > 0 && HasSlot(aState)) {
      const auto entry = NextAccount(queue);
      ClassQueue::AccountQueue& account = entry->second;
      const WaitingCall call = account.calls_.front();
      account.calls_.pop_front();
      // A dropped call took nothing from the target, so it isn't charged to its account.
      if (MustDrop(aState, call, aNow)) {
        Refuse(aState, aStep, call, ErrorCode::kDeadlineExceeded, aNow);
      } else {
        queue.virtualTime_ = account.finishTag_;
        account.finishTag_ += 1 / Weight(call);
        Start(aState, aStep, call);
      }
      Shrink(aState, queue, 1);
    }
  }
}

/// Shed order of a full queue: the least important class first and, within it, the latest call of
/// the account that is most over its share. aCall takes part. Returns the call that must go.
WaitingCall ChooseVictim(AdmissionState& aState, const WaitingCall& aCall)
{
  std::size_t worst = aState.queues_.size() - 1;
  while (worst > Index(aCall.importance_) && aState.queues_[worst].size_ == 0) {
    --worst;
  }
  if (worst == Index(aCall.importance_) && aState.queues_[worst].size_ == 0) {
    return aCall;
  }
  ClassQueue& queue = aState.queues_[worst];
  const bool takesPart = worst == Index(aCall.importance_);
  auto victim = queue.accounts_.end();
  double most = 0;
  if (takesPart) {
    const auto own = queue.accounts_.find(aCall.clientAccount_);
    const std::size_t calls = own == queue.accounts_.end() ? 0 : own->second.calls_.size();
    most = (static_cast<double>(calls) + 1) / Weight(aCall);
  }
  for (auto entry = queue.accounts_.begin(); entry != queue.accounts_.end(); ++entry) {
    const auto& calls = entry->second.calls_;
    if (calls.empty() || (takesPart && entry->first == aCall.clientAccount_)) {
      continue;
    }
    const double over = static_cast<double>(calls.size()) / Weight(calls.back());
    if (over > most) {
      most = over;
      victim = entry;
    }
  }
  if (victim == queue.accounts_.end()) {
    return aCall;
  }
  WaitingCall call = victim->second.calls_.back();
  victim->second.calls_.pop_back();
  Shrink(aState, queue, 1);
  return call;
}

/// Starts a trial with a lower limit.
void BeginTrial(AdmissionState& aState, double aMean, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.trial_ = LimitWindow::Trial::kSettling;
  window.settling_ = std::max(1U, aState.running_);
  window.limitBefore_ = aState.limit_;
  window.latencyBefore_ = aMean;
  window.lastTrial_ = aNow;
  SetLimit(aState, aState.limit_ * kTrialPart);
}

/// Judges a trial by the mean latency under the lowered limit.
void EndTrial(AdmissionState& aState, double aMean, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.trial_ = LimitWindow::Trial::kNone;
  if (aMean <= window.latencyBefore_ * kTrialConfirmed) {
    aState.lastDecrease_ = aNow;
    aState.contradicted_ = true;
    // Calls queue inside the target. Their latency is in proportion to the limit, so this is where
    // it would be back at the floor.
    const double part = std::max(kLeastTrialResult, aState.floorSeconds_ / window.latencyBefore_);
    SetLimit(aState, std::min(aState.limit_, window.limitBefore_ * part));
    // What runs started under the higher limit; its latency would cause the next decrease.
    window.settling_ = aState.running_;
    return;
  }
  // Fewer calls at once don't make the target faster: it became slower for another reason.
  aState.floorSeconds_ = aMean;
  aState.floorSince_ = aNow;
  SetLimit(aState, window.limitBefore_);
}

void GrowLimit(AdmissionState& aState, TimePoint aNow)
{
  const LimitWindow& window = aState.window_;
  const bool lately = window.refusedAt_ > 0 && aNow - aState.lastDecrease_ < kRefusalMemory;
  const double nearRefusal = lately ? kNearRefusal * window.refusedAt_ : UpperLimit(aState);
  const double slow = aState.limit_ + kSlowGrowth * ToSeconds(aNow - window.start_);
  const double fast = aState.limit_ + std::max(1.0, kFastGrowth * aState.limit_);
  SetLimit(aState, std::max(slow, std::min(fast, nearRefusal)));
}

/// Finds refusals that don't depend on the limit: they go on at a small part of it. Then the limit
/// returns, or a target that refuses a few calls at random would be left nearly idle.
void JudgeRefusals(AdmissionState& aState, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.refusedWindows_ = window.refusals_ > 0 ? window.refusedWindows_ + 1 : 0;
  if (window.limitBeforeRefusals_ <= 0) {
    return;
  }
  if (window.refusedWindows_ >= kRandomWindows &&
      aState.limit_ <= kRandomPart * window.limitBeforeRefusals_) {
    SetLimit(aState, window.limitBeforeRefusals_);
    window.ignoreRefusalsUntil_ = aNow + kRandomMemory;
    window.limitBeforeRefusals_ = 0;
  } else if (aNow - aState.lastDecrease_ > kRefusalEpisode) {
    window.limitBeforeRefusals_ = 0;
  }
}

/// Adapts the limit to a finished window.
void EndWindow(AdmissionState& aState, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  JudgeRefusals(aState, aNow);
  const double mean = window.sumSeconds_ / window.samples_;
  if (window.trial_ == LimitWindow::Trial::kMeasuring) {
    EndTrial(aState, mean, aNow);
    return;
  }
  if (aState.floorSeconds_ <= 0) {
    aState.floorSeconds_ = mean;
    aState.floorSince_ = aNow;
  } else if (mean < kFloorChanged * aState.floorSeconds_) {
    // The target became faster. A mean that still falls says nothing about room to grow.
    aState.floorSeconds_ = mean;
    aState.floorSince_ = aNow;
    return;
  } else if (mean < aState.floorSeconds_) {
    aState.floorSeconds_ += 0.1 * (mean - aState.floorSeconds_);
    aState.floorSince_ = aNow;
  }
  const double ratio = mean / aState.floorSeconds_;
  // Without this condition the limit of an idle target would grow without bound.
  const bool used = window.peakRunning_ + 1 >= aState.limit_;
  if (ratio < kGrowTolerance) {
    window.slowWindows_ = 0;
    if (used && window.refusals_ == 0) {
      GrowLimit(aState, aNow);
    }
    return;
  }
  // A single slow window is often chance, and the next one would seem to confirm the lower limit.
  window.slowWindows_ = ratio >= kTrialTolerance ? window.slowWindows_ + 1 : 0;
  window.slowSeconds_ = window.slowWindows_ > 1 ? window.slowSeconds_ + mean : mean;
  const bool due = aNow - window.lastTrial_ >= kTrialPause;
  if (window.slowWindows_ >= kSlowWindows || due) {
    const double before = window.slowSeconds_ / std::max(1U, window.slowWindows_);
    window.slowWindows_ = 0;
    BeginTrial(aState, before, aNow);
  }
}

void ResetWindow(AdmissionState& aState, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.start_ = aNow;
  window.samples_ = 0;
  window.sumSeconds_ = 0;
  window.refusals_ = 0;
  window.peakRunning_ = aState.running_;
}

void NoteRouteService(AdmissionState& aState,
                      const RouteId& aRoute,
                      double aSeconds,
                      TimePoint aNow)
{
  if (aRoute.value_.empty() ||
      (aState.routes_.size() >= kMaxServiceRoutes && !aState.routes_.contains(aRoute))) {
    return;
  }
  RouteService& route = aState.routes_[aRoute];
  route.seconds_ =
    route.seconds_ <= 0 ? aSeconds : route.seconds_ + kServiceWeight * (aSeconds - route.seconds_);
  route.lastSample_ = aNow;
}

/// Counts a service time and adapts the limit when the window is full.
void NoteServiceTime(AdmissionState& aState, const ServiceTime& aServiceTime, TimePoint aNow)
{
  const double service = std::max(0.0, ToSeconds(aServiceTime.total_));
  aState.serviceSeconds_ =
    aState.serviceSeconds_ <= 0
      ? service
      : aState.serviceSeconds_ + kServiceWeight * (service - aState.serviceSeconds_);
  aState.lastSample_ = aNow;

  if (!aState.settings_.adaptive_) {
    return;
  }
  LimitWindow& window = aState.window_;
  if (window.start_ == TimePoint{}) {
    window.start_ = aNow;
  }
  if (window.settling_ > 0) {
    --window.settling_;
    if (window.settling_ == 0) {
      window.trial_ = window.trial_ == LimitWindow::Trial::kSettling
                        ? LimitWindow::Trial::kMeasuring
                        : LimitWindow::Trial::kNone;
      ResetWindow(aState, aNow);
    }
    return;
  }
  ++window.samples_;
  // A deeper service that slows down says nothing about this target: a lower limit here would only
  // add a queue to the one below.
  window.sumSeconds_ += std::max(0.0, ToSeconds(aServiceTime.own_));
  // A trial compares with two windows, so it measures as many calls.
  const bool measuring = window.trial_ == LimitWindow::Trial::kMeasuring;
  const std::uint32_t least = kLeastWindowSamples * (measuring ? kSlowWindows : 1);
  const bool enough = window.samples_ >= least && window.samples_ >= aState.limit_ / 2;
  if (enough && aNow - window.start_ >= kLeastWindow) {
    EndWindow(aState, aNow);
    ResetWindow(aState, aNow);
  }
}

void NoteTargetRefusal(AdmissionState& aState, Duration aServiceTime, TimePoint aNow)
{
  if (!aState.settings_.adaptive_) {
    return;
  }
  LimitWindow& window = aState.window_;
  ++window.refusals_;
  // A call that started before the last decrease says nothing about the limit since then.
  if (aNow - aServiceTime <= aState.lastDecrease_) {
    return;
  }
  const double answers = std::max(window.samples_, kLeastWindowSamples);
  const bool many = window.refusals_ >= kManyRefusals * answers;
  if (!many && aNow < window.ignoreRefusalsUntil_) {
    return;
  }
  const auto service = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(1.0, aState.serviceSeconds_)));
  if (!many && aNow - aState.lastDecrease_ < std::max(kLeastDecreaseInterval, service)) {
    return;
  }
  if (window.limitBeforeRefusals_ <= 0) {
    window.limitBeforeRefusals_ = aState.limit_;
  }
  aState.lastDecrease_ = aNow;
  aState.contradicted_ = true;
  // What still runs is what the target could take, unless many of those calls will be refused too.
  // A larger step down would leave slots idle.
  const double running = many ? 0 : aState.running_;
  window.refusedAt_ = std::min(aState.limit_, static_cast<double>(aState.running_) + 1);
  SetLimit(aState,
           std::min(aState.limit_ - 1, std::max(running, kRefusalDecrease * aState.limit_)));
}

/// Closes the lowest open class if hardly any of it is started, or opens the next class if there is
/// room. A class of which a part is started stays open as a whole: callers' hosts don't know the
/// fair shares, so that a part refused there would fall on accounts below their share as well. In
/// the policy trials that cost the worst account half of its share.
void UpdateOpenClasses(AdmissionState& aState)
{
  std::size_t& open = aState.openClasses_;
  const std::size_t lowest = open - 1;
  const double offered = aState.offered_[lowest];
  const bool starved = offered >= kLevelSamples &&
                       aState.admitted_[lowest] < kClosedPart * offered &&
                       aState.shed_[lowest] > 0.5 * offered;
  aState.starvedIntervals_ = starved ? aState.starvedIntervals_ + 1 : 0;
  if (lowest > Index(Importance::kCritical) && aState.starvedIntervals_ >= kStarvedIntervals) {
    --open;
    aState.starvedIntervals_ = 0;
    return;
  }
  if (open == aState.queues_.size()) {
    return;
  }
  // Less work waits than the target takes at once, so that it would soon be idle.
  std::size_t waiting = 0;
  for (std::size_t i = 0; i <= open; ++i) {
    waiting += aState.queues_[i].size_;
  }
  if (static_cast<double>(waiting) < aState.limit_) {
    ++open;
    aState.starvedIntervals_ = 0;
  }
}

void UpdateUpstream(AdmissionState& aState, TimePoint aNow)
{
  const Duration age = aNow - aState.countsSince_;
  double offered = 0;
  for (const double count : aState.offered_) {
    offered += count;
  }
  if (age < kLevelInterval || (offered < kLevelSamples && age < kLongestLevelInterval)) {
    return;
  }
  UpdateOpenClasses(aState);
  aState.offered_ = {};
  aState.admitted_ = {};
  aState.shed_ = {};
  aState.countsSince_ = aNow;
}

} // namespace

AdmissionActions OfferCall(AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  AdmissionActions step;
  UpdateUpstream(aState, aNow);
  aState.offered_[Index(aCall.importance_)] += 1;
  if (IsTooLate(aState, aCall, aNow)) {
    Refuse(aState, step, aCall, ErrorCode::kDeadlineExceeded, aNow);
    return step;
  }
  if (aState.queued_ >= aState.settings_.queueCapacity_ &&
      !(aState.queued_ == 0 && HasSlot(aState))) {
    const WaitingCall victim = ChooseVictim(aState, aCall);
    Refuse(aState, step, victim, ErrorCode::kShed, aNow);
    if (victim.id_ == aCall.id_) {
      return step;
    }
  }
  Push(aState, aCall);
  StartWaiting(aState, step, aNow);
  return step;
}

AdmissionActions FinishCall(AdmissionState& aState,
                            ExecutionResult aEnd,
                            const ServiceTime& aServiceTime,
                            TimePoint aNow,
                            const RouteId& aRoute)
{
  assert(aState.running_ > 0);
  aState.running_ -= aState.running_ > 0 ? 1 : 0;
  switch (aEnd) {
    case ExecutionResult::kAnswered:
    case ExecutionResult::kTimedOut:
      NoteServiceTime(aState, aServiceTime, aNow);
      NoteRouteService(aState, aRoute, std::max(0.0, ToSeconds(aServiceTime.total_)), aNow);
      break;
    case ExecutionResult::kTargetRefused:
      NoteTargetRefusal(aState, aServiceTime.total_, aNow);
      break;
    case ExecutionResult::kCancelled:
      break;
  }
  AdmissionActions step;
  UpdateUpstream(aState, aNow);
  StartWaiting(aState, step, aNow);
  return step;
}

bool CancelWaiting(AdmissionState& aState, std::uint64_t aId)
{
  for (ClassQueue& queue : aState.queues_) {
    for (auto& entry : queue.accounts_) {
      auto& calls = entry.second.calls_;
      const auto call = std::find_if(
        calls.begin(), calls.end(), [aId](const WaitingCall& aCall) { return aCall.id_ == aId; });
      if (call != calls.end()) {
        calls.erase(call);
        Shrink(aState, queue, 1);
        return true;
      }
    }
  }
  return false;
}

AdmissionActions DropLateCalls(AdmissionState& aState, TimePoint aNow)
{
  AdmissionActions step;
  for (ClassQueue& queue : aState.queues_) {
    std::size_t dropped = 0;
    for (auto& entry : queue.accounts_) {
      dropped += std::erase_if(entry.second.calls_, [&](const WaitingCall& aCall) {
        if (!MustDrop(aState, aCall, aNow)) {
          return false;
        }
        Refuse(aState, step, aCall, ErrorCode::kDeadlineExceeded, aNow);
        return true;
      });
    }
    Shrink(aState, queue, dropped);
  }
  UpdateUpstream(aState, aNow);
  StartWaiting(aState, step, aNow);
  return step;
}

void ApplyAnnouncedSlots(AdmissionState& aState, std::uint32_t aSlots)
{
  const bool isNew = aSlots > 0 && aSlots != aState.announcedSlots_;
  aState.announcedSlots_ = aSlots;
  // Growing from the initial limit takes seconds, in which a surge would be refused although slots
  // are free. Announced slots are believed until the target's behaviour contradicts them.
  SetLimit(aState, isNew && !aState.contradicted_ ? aSlots : aState.limit_);
}

AdmissionLevel CurrentAdmissionLevel(AdmissionState& aState, TimePoint aNow)
{
  UpdateUpstream(aState, aNow);
  return { static_cast<Importance>(aState.openClasses_ - 1), 1.0 };
}

void RecordAdmissionLevel(ReceivedAdmissionLevel& aUpstream,
                          const AdmissionLevel& aLevel,
                          TimePoint aNow)
{
  aUpstream.level_ = aLevel;
  aUpstream.receivedAt_ = aNow;
}

bool ShouldSendCall(ReceivedAdmissionLevel& aUpstream, Importance aImportance, TimePoint aNow)
{
  const bool known =
    aUpstream.receivedAt_ != TimePoint{} && aNow - aUpstream.receivedAt_ < kAdmissionLevelLifetime;
  if (!known || aImportance == Importance::kCritical ||
      aImportance < aUpstream.level_.minAdmittedImportance_) {
    return true;
  }
  const double fraction = aImportance == aUpstream.level_.minAdmittedImportance_
                            ? std::max(kProbeFraction, aUpstream.level_.admittedFraction_)
                            : kProbeFraction;
  return fraction >= 1 || RandomFraction(aUpstream.random_) < fraction;
}

} // namespace peridotquay
