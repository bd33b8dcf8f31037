// Adaptive concurrency limit, weighted fair queue and early refusal of one guard.
#include "peridotquay/request/Admission.h"

#include "peridotquay/request/Random.h"

#include <algorithm>
#include <cassert>
#include <cmath>
#include <iterator>

namespace peridotquay {

namespace {

/// Weight of one service time in the moving averages.
constexpr double kServiceTimeWeight = 0.1;

/// The averages halve in this time without new samples. Without the decay a short slowdown could
/// make every call look too late, and no call would run to correct the average.
constexpr double kServiceTimeHalfLifeSeconds = 0.5;

/// Minimum length of a window in time and in calls. Shorter windows are mostly noise.
constexpr Duration kMinWindowPeriod = milliseconds(20);
constexpr std::uint32_t kMinWindowSamples = 32;

/// A mean below this fraction of the floor replaces it. A smaller decrease may be noise.
constexpr double kFloorDropRatio = 0.7;

/// The limit may grow while the ratio of window mean to floor is below this.
constexpr double kMaxGrowthRatio = 1.3;

/// Ratio of window mean to floor from which a window counts as slow.
constexpr double kMinTrialRatio = 1.7;

/// Consecutive slow windows that start a trial.
constexpr std::uint32_t kSlowWindowsBeforeTrial = 2;

/// Limit during a trial, as a fraction of the limit before. The latency of a saturated target falls
/// by the same factor.
constexpr double kTrialLimitFraction = 0.7;

/// A trial confirms the lower limit if the latency fell to this fraction or below.
constexpr double kMaxConfirmedLatencyRatio = 0.85;

/// Minimum limit after a confirmed trial, as a fraction of the limit before.
constexpr double kMinTrialResultFraction = 0.5;

/// Minimum time between trials that start without kSlowWindowsBeforeTrial slow windows.
constexpr Duration kMinTrialInterval = seconds(10);

/// Growth of the limit in one window, as a fraction of the limit.
constexpr double kGrowthFractionPerWindow = 0.1;

/// Near the limit at which the target refused within kRefusalRetention, the limit grows by this
/// many calls per second. Near means above kNearRefusalFraction of that limit.
constexpr double kSlowGrowthPerSecond = 1.0;
constexpr double kNearRefusalFraction = 0.97;
constexpr Duration kRefusalRetention = seconds(5);

/// Minimum limit after a refusal by the target, as a fraction of the limit before.
constexpr double kMinRefusalLimitFraction = 0.9;

/// Refusals lower the limit at most once in this time or in the mean service time, whichever is
/// longer, because calls that started together are refused together.
constexpr Duration kMinDecreaseInterval = milliseconds(20);

/// Ratio of refusals to answers in a window from which the limit is far too high: it then falls
/// without a pause.
constexpr double kManyRefusalsRatio = 0.25;

/// Refusals that continue for this many consecutive windows at this fraction of the original limit
/// don't depend on the limit. At 0.3, a target that announces up to three times its real slots
/// isn't mistaken for one that refuses at random.
constexpr std::uint32_t kRandomRefusalWindows = 3;
constexpr double kRandomRefusalLimitFraction = 0.3;

/// For this long, refusals at random don't lower the limit unless they reach kManyRefusalsRatio.
constexpr Duration kRandomRefusalRetention = seconds(30);

/// Decreases of the limit that are further apart don't belong to the same series of refusals.
constexpr Duration kMaxDecreaseGap = seconds(1);

/// The admission level is updated from the counts of an interval. It lasts at least
/// kMinLevelInterval and has at least kMinLevelSamples offered calls, unless it reaches
/// kMaxLevelInterval.
constexpr Duration kMinLevelInterval = milliseconds(100);
constexpr double kMinLevelSamples = 20;
constexpr Duration kMaxLevelInterval = seconds(1);

/// A class is starved, and may be closed to callers' hosts, if a smaller fraction of its offered
/// calls is started.
constexpr double kMaxStarvedFraction = 0.02;

/// Consecutive starved intervals before a class is closed. A burst of more important calls can
/// starve a class for one interval.
constexpr std::uint32_t kStarvedIntervalsToClose = 5;

/// Minimum fraction of a closed class that is sent as probes.
constexpr double kMinProbeFraction = 0.01;

/// Share of the slot time that a class of requests leaves to less important requests, with
/// capacityScheduling_. It only prevents starvation: at the share of 0.25 that requests have beside
/// critical calls, the most urgent requests lost a quarter of the capacity to less urgent ones.
constexpr double kLowerRequestShare = 0.05;

/// Slot time of a call before the first one has ended. All calls then count the same.
constexpr double kUnknownSlotSeconds = 0.01;

/// Bounds of the retry hint.
constexpr double kMinRetryAfterMs = 10;
constexpr double kMaxRetryAfterMs = 5000;

std::size_t Index(Importance aImportance)
{
  return static_cast<std::size_t>(aImportance);
}

double Weight(const WaitingCall& aCall)
{
  return aCall.weight_ > 0 ? aCall.weight_ : 1e-3;
}

double MaxLimit(const AdmissionState& aState)
{
  const std::uint32_t slots = aState.announcedSlots_ > 0
                                ? std::min(aState.settings_.maxLimit_, aState.announcedSlots_)
                                : aState.settings_.maxLimit_;
  return std::max(1.0, static_cast<double>(slots));
}

void SetLimit(AdmissionState& aState, double aLimit)
{
  const double upper = MaxLimit(aState);
  const double lower =
    std::min(upper, std::max(1.0, static_cast<double>(aState.settings_.minLimit_)));
  aState.limit_ = std::clamp(aLimit, lower, upper);
}

bool HasSlot(AdmissionState& aState, TimePoint aNow)
{
  return static_cast<double>(aState.running_) + 1 <= aState.limit_ &&
         MayStart(aState.startRate_, aState.running_, aNow);
}

double ExpectedServiceSeconds(const AdmissionState& aState, TimePoint aNow)
{
  const double age = std::max(0.0, ToSeconds(aNow - aState.lastSampleAt_));
  return aState.serviceSeconds_ * std::exp2(-age / kServiceTimeHalfLifeSeconds);
}

/// Expected service time of the call's route, or of all routes if its route has no samples.
double ExpectedRouteServiceSeconds(const AdmissionState& aState,
                                   const WaitingCall& aCall,
                                   TimePoint aNow)
{
  const auto route = aState.routes_.find(aCall.route_);
  if (route == aState.routes_.end()) {
    return ExpectedServiceSeconds(aState, aNow);
  }
  const double age = std::max(0.0, ToSeconds(aNow - route->second.lastSampleAt_));
  return route->second.seconds_ * std::exp2(-age / kServiceTimeHalfLifeSeconds);
}

/// Time that one more call of the class would wait because of the target's stated rate.
double RateWaitSeconds(const AdmissionState& aState, Importance aImportance, TimePoint aNow)
{
  const auto rate = AllowedPerSecond(aState.startRate_, aNow);
  if (!rate) {
    return 0;
  }
  std::size_t ahead = 1;
  for (std::size_t i = 0; i <= Index(aImportance); ++i) {
    ahead += aState.queues_[i].size_;
  }
  return std::max(0.0, (static_cast<double>(ahead) - aState.startRate_.tokens_) / *rate);
}

std::uint32_t RetryAfterMs(const AdmissionState& aState, Importance aImportance, TimePoint aNow)
{
  const double waiting = static_cast<double>(aState.queued_) + 1;
  const double slotSeconds = waiting * ExpectedServiceSeconds(aState, aNow) / aState.limit_;
  const double waitMs = 1000 * std::max(slotSeconds, RateWaitSeconds(aState, aImportance, aNow));
  return static_cast<std::uint32_t>(std::clamp(waitMs, kMinRetryAfterMs, kMaxRetryAfterMs));
}

/// Whether the call would end after its deadline if it started now.
bool IsTooLate(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  if (aNow >= aCall.deadline_) {
    return true;
  }
  // If nothing runs, only a started call can show the current service time.
  return aState.running_ > 0 &&
         ToSeconds(aCall.deadline_ - aNow) < ExpectedRouteServiceSeconds(aState, aCall, aNow);
}

/// Whether the call has waited longer than queueDeadlineFraction_ allows. Critical calls may wait
/// until their deadline can't be met.
bool HasWaitedTooLong(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  if (aCall.importance_ == Importance::kCritical) {
    return false;
  }
  const double allowed =
    aState.settings_.queueDeadlineFraction_ * ToSeconds(aCall.deadline_ - aCall.arrivedAt_);
  return ToSeconds(aNow - aCall.arrivedAt_) > allowed;
}

bool MustDrop(const AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  return IsTooLate(aState, aCall, aNow) || HasWaitedTooLong(aState, aCall, aNow);
}

void RefuseCall(AdmissionState& aState,
                AdmissionActions& aActions,
                const WaitingCall& aCall,
                ErrorCode aCode,
                TimePoint aNow)
{
  aState.shed_[Index(aCall.importance_)] += 1;
  aActions.refuse_.push_back({ aCall.id_, aCode, RetryAfterMs(aState, aCall.importance_, aNow) });
}

void StartCall(AdmissionState& aState,
               AdmissionActions& aActions,
               const WaitingCall& aCall,
               TimePoint aNow)
{
  ++aState.running_;
  RecordStart(aState.startRate_, aNow);
  aState.window_.peakRunning_ = std::max(aState.window_.peakRunning_, aState.running_);
  aState.admitted_[Index(aCall.importance_)] += 1;
  aActions.start_.push_back(aCall.id_);
}

/// Position in the order of an account's calls. A caller that states a wrong waited time changes
/// its position among the calls of its own account only.
TimePoint Position(const WaitingCall& aCall)
{
  return aCall.arrivedAt_ - aCall.waited_;
}

void Enqueue(AdmissionState& aState, const WaitingCall& aCall)
{
  ClassQueue& queue = aState.queues_[Index(aCall.importance_)];
  ClassQueue::AccountQueue& account = queue.accounts_[aCall.clientAccount_];
  if (account.calls_.empty()) {
    // An account that was idle starts at the current virtual time: idle time earns no credit.
    account.finishTag_ = std::max(account.finishTag_, queue.virtualTime_);
  }
  auto& calls = account.calls_;
  auto at = calls.end();
  if (aState.settings_.capacityScheduling_) {
    at = std::upper_bound(
      calls.begin(), calls.end(), aCall, [](const WaitingCall& aOne, const WaitingCall& aOther) {
        return Position(aOne) < Position(aOther);
      });
  }
  calls.insert(at, aCall);
  ++queue.size_;
  ++aState.queued_;
}

/// Updates the sizes after aCount calls left the queue. If the queue is empty, its accounts and
/// virtual time are reset.
void RecordRemovedCalls(AdmissionState& aState, ClassQueue& aQueue, std::size_t aCount)
{
  assert(aQueue.size_ >= aCount && aState.queued_ >= aCount);
  aQueue.size_ -= aCount;
  aState.queued_ -= aCount;
  if (aQueue.size_ == 0) {
    aQueue.accounts_.clear();
    aQueue.virtualTime_ = 0;
  }
}

/// The account whose next call has the lowest virtual start time.
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

/// Slot time that the next call of a queue that isn't empty is expected to take. Unlike the times
/// that decide whether a call is late, it doesn't decay: only its ratio to that of other calls
/// counts, and a class that rarely starts would otherwise seem to cost nothing.
double NextSlotSeconds(const AdmissionState& aState, ClassQueue& aQueue)
{
  const double seconds = SlotSeconds(aState, NextAccount(aQueue)->second.calls_.front().route_);
  return seconds > 0 ? seconds : kUnknownSlotSeconds;
}

/// Share of the slot time that a class leaves to the classes below it while calls of both wait.
double ShareBelow(const AdmissionState& aState, std::size_t aClass)
{
  return aClass == Index(Importance::kCritical) ? aState.settings_.lowerClassShare_
                                                : kLowerRequestShare;
}

/// The first class from aFrom on that has waiting calls; the number of classes if there is none.
std::size_t NextWaitingClass(const AdmissionState& aState, std::size_t aFrom)
{
  while (aFrom < aState.queues_.size() && aState.queues_[aFrom].size_ == 0) {
    ++aFrom;
  }
  return aFrom;
}

/// As NextQueue, with shares of the slot time. Each class that waits leaves its ShareBelow to the
/// classes below it, which divide it in the same way, so that none is starved.
ClassQueue* NextQueueBySlotTime(AdmissionState& aState)
{
  auto& queues = aState.queues_;
  std::size_t current = NextWaitingClass(aState, 0);
  if (current == queues.size()) {
    return nullptr;
  }
  std::size_t lower = NextWaitingClass(aState, current + 1);
  while (lower < queues.size()) {
    // The start of a lower call earns the share of its own time too: the share is one of all time.
    const double missing =
      (1 - ShareBelow(aState, current)) * NextSlotSeconds(aState, queues[lower]);
    if (aState.lowerClassSeconds_[current] < missing) {
      break;
    }
    current = lower;
    lower = NextWaitingClass(aState, current + 1);
  }
  return &queues[current];
}

/// Charges the slot time of a start at every boundary between classes above which calls wait. The
/// started call must still be counted in the size of its queue.
void ChargeSlotTime(AdmissionState& aState, std::size_t aClass, double aSeconds)
{
  for (std::size_t above = 0; above < aClass; ++above) {
    if (aState.queues_[above].size_ > 0) {
      aState.lowerClassSeconds_[above] -= (1 - ShareBelow(aState, above)) * aSeconds;
    }
  }
  if (NextWaitingClass(aState, aClass + 1) < aState.queues_.size()) {
    aState.lowerClassSeconds_[aClass] += ShareBelow(aState, aClass) * aSeconds;
  }
}

/// The queue whose next call starts: the most important one that isn't empty, but for the share of
/// the lower classes. Null if all are empty.
ClassQueue* NextQueue(AdmissionState& aState)
{
  if (aState.settings_.capacityScheduling_) {
    return NextQueueBySlotTime(aState);
  }
  const auto isWaiting = [](const ClassQueue& aQueue) { return aQueue.size_ > 0; };
  auto& queues = aState.queues_;
  const auto first = std::find_if(queues.begin(), queues.end(), isWaiting);
  if (first == queues.end()) {
    return nullptr;
  }
  const auto lower = std::find_if(std::next(first), queues.end(), isWaiting);
  if (first != queues.begin() || lower == queues.end()) {
    return &*first;
  }
  aState.lowerClassCredit_ += aState.settings_.lowerClassShare_;
  if (aState.lowerClassCredit_ < 1) {
    return &*first;
  }
  aState.lowerClassCredit_ -= 1;
  return &*lower;
}

/// Starts or drops the next call of a queue that isn't empty.
void StartNext(AdmissionState& aState,
               AdmissionActions& aActions,
               ClassQueue& aQueue,
               TimePoint aNow)
{
  ClassQueue::AccountQueue& account = NextAccount(aQueue)->second;
  const WaitingCall call = account.calls_.front();
  account.calls_.pop_front();
  // A dropped call doesn't use the target, so its account and its class aren't charged for it.
  if (MustDrop(aState, call, aNow)) {
    RefuseCall(aState, aActions, call, ErrorCode::kDeadlineExceeded, aNow);
  } else {
    aQueue.virtualTime_ = account.finishTag_;
    account.finishTag_ += 1 / Weight(call);
    if (aState.settings_.capacityScheduling_) {
      const double seconds = SlotSeconds(aState, call.route_);
      ChargeSlotTime(aState, Index(call.importance_), seconds > 0 ? seconds : kUnknownSlotSeconds);
    }
    StartCall(aState, aActions, call, aNow);
  }
  RecordRemovedCalls(aState, aQueue, 1);
}

/// Starts waiting calls while slots are free.
void StartWaiting(AdmissionState& aState, AdmissionActions& aActions, TimePoint aNow)
{
  while (HasSlot(aState, aNow)) {
    ClassQueue* queue = NextQueue(aState);
    if (queue == nullptr) {
      return;
    }
    StartNext(aState, aActions, *queue, aNow);
  }
}

/// Selects the call to refuse from a full queue and the new call aCall, and removes it if it waits:
/// in the least important class, the latest call of the account with the most calls for its weight.
/// With capacityScheduling_ that is the last one in the account's order.
WaitingCall RemoveCallToShed(AdmissionState& aState, const WaitingCall& aCall)
{
  std::size_t leastImportant = aState.queues_.size() - 1;
  while (leastImportant > Index(aCall.importance_) && aState.queues_[leastImportant].size_ == 0) {
    --leastImportant;
  }
  if (leastImportant == Index(aCall.importance_) && aState.queues_[leastImportant].size_ == 0) {
    return aCall;
  }
  ClassQueue& queue = aState.queues_[leastImportant];
  const bool isNewCallCandidate = leastImportant == Index(aCall.importance_);
  auto victim = queue.accounts_.end();
  double maxExcess = 0;
  const auto own = queue.accounts_.find(aCall.clientAccount_);
  if (isNewCallCandidate) {
    const std::size_t calls = own == queue.accounts_.end() ? 0 : own->second.calls_.size();
    maxExcess = (static_cast<double>(calls) + 1) / Weight(aCall);
  }
  for (auto entry = queue.accounts_.begin(); entry != queue.accounts_.end(); ++entry) {
    const auto& calls = entry->second.calls_;
    if (calls.empty() || (isNewCallCandidate && entry->first == aCall.clientAccount_)) {
      continue;
    }
    const double excess = static_cast<double>(calls.size()) / Weight(calls.back());
    if (excess > maxExcess) {
      maxExcess = excess;
      victim = entry;
    }
  }
  if (victim == queue.accounts_.end()) {
    const bool isBeforeOwn = aState.settings_.capacityScheduling_ && isNewCallCandidate &&
                             own != queue.accounts_.end() && !own->second.calls_.empty() &&
                             Position(aCall) < Position(own->second.calls_.back());
    if (!isBeforeOwn) {
      return aCall;
    }
    victim = own;
  }
  WaitingCall call = victim->second.calls_.back();
  victim->second.calls_.pop_back();
  RecordRemovedCalls(aState, queue, 1);
  return call;
}

/// Starts a trial with a lower limit. aMeanSeconds is the mean service time before it.
void BeginTrial(AdmissionState& aState, double aMeanSeconds, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.trial_ = LimitWindow::Trial::kSettling;
  window.ignoredCalls_ = std::max(1U, aState.running_);
  window.limitBeforeTrial_ = aState.limit_;
  window.latencyBeforeTrialSeconds_ = aMeanSeconds;
  window.lastTrialAt_ = aNow;
  SetLimit(aState, aState.limit_ * kTrialLimitFraction);
}

/// Ends a trial: keeps a lower limit if aMeanSeconds, the mean service time under it, confirms that
/// the latency depends on the limit.
void EndTrial(AdmissionState& aState, double aMeanSeconds, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.trial_ = LimitWindow::Trial::kNone;
  if (aMeanSeconds <= window.latencyBeforeTrialSeconds_ * kMaxConfirmedLatencyRatio) {
    aState.lastDecreaseAt_ = aNow;
    aState.slotsContradicted_ = true;
    // Calls queue inside the target, so their latency is proportional to the limit. At this
    // fraction of the limit it would be back at the floor.
    const double fraction =
      std::max(kMinTrialResultFraction, aState.floorSeconds_ / window.latencyBeforeTrialSeconds_);
    SetLimit(aState, std::min(aState.limit_, window.limitBeforeTrial_ * fraction));
    // The running calls started under the higher limit. Their latency would cause another decrease.
    window.ignoredCalls_ = aState.running_;
    return;
  }
  // A lower limit doesn't make the target faster: it became slower for another reason.
  aState.floorSeconds_ = aMeanSeconds;
  aState.floorConfirmedAt_ = aNow;
  SetLimit(aState, window.limitBeforeTrial_);
}

void GrowLimit(AdmissionState& aState, TimePoint aNow)
{
  const LimitWindow& window = aState.window_;
  const bool refusedRecently =
    window.refusedAtLimit_ > 0 && aNow - aState.lastDecreaseAt_ < kRefusalRetention;
  const double maxFastLimit =
    refusedRecently ? kNearRefusalFraction * window.refusedAtLimit_ : MaxLimit(aState);
  const double slowLimit = aState.limit_ + kSlowGrowthPerSecond * ToSeconds(aNow - window.start_);
  const double fastLimit = aState.limit_ + std::max(1.0, kGrowthFractionPerWindow * aState.limit_);
  SetLimit(aState, std::max(slowLimit, std::min(fastLimit, maxFastLimit)));
}

/// Detects refusals that don't depend on the limit, because they continue at a small fraction of
/// it, and restores the limit. Otherwise a target that refuses a few calls at random would be
/// nearly idle.
void DetectRandomRefusals(AdmissionState& aState, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  window.refusedWindows_ = window.refusals_ > 0 ? window.refusedWindows_ + 1 : 0;
  if (window.limitBeforeRefusals_ <= 0) {
    return;
  }
  if (window.refusedWindows_ >= kRandomRefusalWindows &&
      aState.limit_ <= kRandomRefusalLimitFraction * window.limitBeforeRefusals_) {
    SetLimit(aState, window.limitBeforeRefusals_);
    window.ignoreRefusalsUntil_ = aNow + kRandomRefusalRetention;
    window.limitBeforeRefusals_ = 0;
  } else if (aNow - aState.lastDecreaseAt_ > kMaxDecreaseGap) {
    window.limitBeforeRefusals_ = 0;
  }
}

/// Adapts the limit to the measurements of a finished window.
void EndWindow(AdmissionState& aState, TimePoint aNow)
{
  LimitWindow& window = aState.window_;
  DetectRandomRefusals(aState, aNow);
  const double meanSeconds = window.sumSeconds_ / window.samples_;
  if (window.trial_ == LimitWindow::Trial::kMeasuring) {
    EndTrial(aState, meanSeconds, aNow);
    return;
  }
  if (aState.floorSeconds_ <= 0) {
    aState.floorSeconds_ = meanSeconds;
    aState.floorConfirmedAt_ = aNow;
  } else if (meanSeconds < kFloorDropRatio * aState.floorSeconds_) {
    // The target became faster. The limit doesn't grow before the mean has settled.
    aState.floorSeconds_ = meanSeconds;
    aState.floorConfirmedAt_ = aNow;
    return;
  } else if (meanSeconds < aState.floorSeconds_) {
    aState.floorSeconds_ += 0.1 * (meanSeconds - aState.floorSeconds_);
    aState.floorConfirmedAt_ = aNow;
  }
  const double ratio = meanSeconds / aState.floorSeconds_;
  // The limit grows only if it was reached: that of an idle target would grow without bound.
  const bool limitReached = window.peakRunning_ + 1 >= aState.limit_;
  if (ratio < kMaxGrowthRatio) {
    window.slowWindows_ = 0;
    if (limitReached && window.refusals_ == 0) {
      GrowLimit(aState, aNow);
    }
    return;
  }
  // A single slow window is often chance. A trial after it would find a lower latency by chance too
  // and wrongly confirm the lower limit.
  window.slowWindows_ = ratio >= kMinTrialRatio ? window.slowWindows_ + 1 : 0;
  window.slowMeanSumSeconds_ =
    window.slowWindows_ > 1 ? window.slowMeanSumSeconds_ + meanSeconds : meanSeconds;
  const bool trialDue = aNow - window.lastTrialAt_ >= kMinTrialInterval;
  if (window.slowWindows_ >= kSlowWindowsBeforeTrial || trialDue) {
    const double slowMeanSeconds = window.slowMeanSumSeconds_ / std::max(1U, window.slowWindows_);
    window.slowWindows_ = 0;
    BeginTrial(aState, slowMeanSeconds, aNow);
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

void RecordRouteServiceTime(AdmissionState& aState,
                            const RouteId& aRoute,
                            double aSeconds,
                            TimePoint aNow)
{
  if (aRoute.value_.empty() ||
      (aState.routes_.size() >= kMaxServiceRoutes && !aState.routes_.contains(aRoute))) {
    return;
  }
  RouteServiceTime& route = aState.routes_[aRoute];
  route.seconds_ = route.seconds_ <= 0
                     ? aSeconds
                     : route.seconds_ + kServiceTimeWeight * (aSeconds - route.seconds_);
  route.lastSampleAt_ = aNow;
}

/// Adds a service time to the average and the window, and adapts the limit when the window ends.
void RecordServiceTime(AdmissionState& aState, const ServiceTime& aServiceTime, TimePoint aNow)
{
  const double serviceSeconds = std::max(0.0, ToSeconds(aServiceTime.total_));
  aState.serviceSeconds_ =
    aState.serviceSeconds_ <= 0
      ? serviceSeconds
      : aState.serviceSeconds_ + kServiceTimeWeight * (serviceSeconds - aState.serviceSeconds_);
  aState.lastSampleAt_ = aNow;

  if (!aState.settings_.adaptive_) {
    return;
  }
  LimitWindow& window = aState.window_;
  if (window.start_ == TimePoint{}) {
    window.start_ = aNow;
  }
  if (window.ignoredCalls_ > 0) {
    --window.ignoredCalls_;
    if (window.ignoredCalls_ == 0) {
      window.trial_ = window.trial_ == LimitWindow::Trial::kSettling
                        ? LimitWindow::Trial::kMeasuring
                        : LimitWindow::Trial::kNone;
      ResetWindow(aState, aNow);
    }
    return;
  }
  ++window.samples_;
  // Time in deeper calls isn't counted. If a deeper service is slow, a lower limit here would only
  // add a second queue in front of it.
  window.sumSeconds_ += std::max(0.0, ToSeconds(aServiceTime.own_));
  // The latency before a trial comes from kSlowWindowsBeforeTrial windows, so the trial measures as
  // many calls.
  const bool measuring = window.trial_ == LimitWindow::Trial::kMeasuring;
  const std::uint32_t minSamples = kMinWindowSamples * (measuring ? kSlowWindowsBeforeTrial : 1);
  const bool enough = window.samples_ >= minSamples && window.samples_ >= aState.limit_ / 2;
  if (enough && aNow - window.start_ >= kMinWindowPeriod) {
    EndWindow(aState, aNow);
    ResetWindow(aState, aNow);
  }
}

void RecordTargetRefusal(AdmissionState& aState, Duration aServiceTime, TimePoint aNow)
{
  if (!aState.settings_.adaptive_) {
    return;
  }
  LimitWindow& window = aState.window_;
  ++window.refusals_;
  // A call that started before the last decrease was refused under the limit before it.
  if (aNow - aServiceTime <= aState.lastDecreaseAt_) {
    return;
  }
  const double answers = std::max(window.samples_, kMinWindowSamples);
  const bool manyRefusals = window.refusals_ >= kManyRefusalsRatio * answers;
  if (!manyRefusals && aNow < window.ignoreRefusalsUntil_) {
    return;
  }
  const auto service = std::chrono::duration_cast<Duration>(
    std::chrono::duration<double>(std::min(1.0, aState.serviceSeconds_)));
  if (!manyRefusals && aNow - aState.lastDecreaseAt_ < std::max(kMinDecreaseInterval, service)) {
    return;
  }
  if (window.limitBeforeRefusals_ <= 0) {
    window.limitBeforeRefusals_ = aState.limit_;
  }
  aState.lastDecreaseAt_ = aNow;
  aState.slotsContradicted_ = true;
  // The target accepted the calls that still run, unless many of them will be refused too. A limit
  // below their number would leave slots idle.
  const double running = manyRefusals ? 0 : aState.running_;
  window.refusedAtLimit_ = std::min(aState.limit_, static_cast<double>(aState.running_) + 1);
  SetLimit(
    aState,
    std::min(aState.limit_ - 1, std::max(running, kMinRefusalLimitFraction * aState.limit_)));
}

/// Closes the lowest open class if hardly any of its calls are started, or opens the next class if
/// there is room. A class of which some calls are started stays fully open: callers' hosts don't
/// know the fair shares, so refusing a fraction there would also refuse calls of accounts below
/// their share. In bench/policy_trials.cpp this cost the worst-served account half of its share.
void UpdateOpenClasses(AdmissionState& aState)
{
  std::size_t& open = aState.openClasses_;
  const std::size_t lowest = open - 1;
  const double offered = aState.offered_[lowest];
  const bool isStarved = offered >= kMinLevelSamples &&
                         aState.admitted_[lowest] < kMaxStarvedFraction * offered &&
                         aState.shed_[lowest] > 0.5 * offered;
  aState.starvedIntervals_ = isStarved ? aState.starvedIntervals_ + 1 : 0;
  if (lowest > Index(Importance::kCritical) &&
      aState.starvedIntervals_ >= kStarvedIntervalsToClose) {
    --open;
    aState.starvedIntervals_ = 0;
    return;
  }
  if (open == aState.queues_.size()) {
    return;
  }
  // Fewer calls wait than may run at once, so the target would soon be idle.
  std::size_t waiting = 0;
  for (std::size_t i = 0; i <= open; ++i) {
    waiting += aState.queues_[i].size_;
  }
  if (static_cast<double>(waiting) < aState.limit_) {
    ++open;
    aState.starvedIntervals_ = 0;
  }
}

void UpdateAdmissionLevel(AdmissionState& aState, TimePoint aNow)
{
  const Duration age = aNow - aState.countsSince_;
  double offered = 0;
  for (const double count : aState.offered_) {
    offered += count;
  }
  if (age < kMinLevelInterval || (offered < kMinLevelSamples && age < kMaxLevelInterval)) {
    return;
  }
  UpdateOpenClasses(aState);
  aState.offered_ = {};
  aState.admitted_ = {};
  aState.shed_ = {};
  aState.countsSince_ = aNow;
}

} // namespace

double SlotSeconds(const AdmissionState& aState, const RouteId& aRoute)
{
  const auto route = aState.routes_.find(aRoute);
  return route == aState.routes_.end() ? aState.serviceSeconds_ : route->second.seconds_;
}

AdmissionActions OfferCall(AdmissionState& aState, const WaitingCall& aCall, TimePoint aNow)
{
  AdmissionActions actions;
  UpdateAdmissionLevel(aState, aNow);
  // A call that is refused starts nothing, so nothing else would update the rate until a call ends.
  UpdateStartRate(aState.startRate_, aNow);
  aState.offered_[Index(aCall.importance_)] += 1;
  if (IsTooLate(aState, aCall, aNow)) {
    RefuseCall(aState, actions, aCall, ErrorCode::kDeadlineExceeded, aNow);
    return actions;
  }
  const double maxRateWait =
    aState.settings_.maxRateWaitFraction_ * ToSeconds(aCall.deadline_ - aNow);
  if (RateWaitSeconds(aState, aCall.importance_, aNow) > maxRateWait) {
    RefuseCall(aState, actions, aCall, ErrorCode::kShed, aNow);
    return actions;
  }
  if (aState.queued_ >= aState.settings_.queueCapacity_ &&
      !(aState.queued_ == 0 && HasSlot(aState, aNow))) {
    const WaitingCall victim = RemoveCallToShed(aState, aCall);
    RefuseCall(aState, actions, victim, ErrorCode::kShed, aNow);
    if (victim.id_ == aCall.id_) {
      return actions;
    }
  }
  Enqueue(aState, aCall);
  StartWaiting(aState, actions, aNow);
  return actions;
}

AdmissionActions FinishCall(AdmissionState& aState,
                            ExecutionResult aResult,
                            const ServiceTime& aServiceTime,
                            TimePoint aNow,
                            const RouteId& aRoute)
{
  assert(aState.running_ > 0);
  aState.running_ -= aState.running_ > 0 ? 1 : 0;
  switch (aResult) {
    case ExecutionResult::kAnswered:
    case ExecutionResult::kTimedOut:
      RecordServiceTime(aState, aServiceTime, aNow);
      RecordRouteServiceTime(aState, aRoute, std::max(0.0, ToSeconds(aServiceTime.total_)), aNow);
      break;
    case ExecutionResult::kTargetRefused:
      RecordTargetRefusal(aState, aServiceTime.total_, aNow);
      break;
    case ExecutionResult::kCancelled:
      break;
  }
  AdmissionActions actions;
  UpdateAdmissionLevel(aState, aNow);
  StartWaiting(aState, actions, aNow);
  return actions;
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
        RecordRemovedCalls(aState, queue, 1);
        return true;
      }
    }
  }
  return false;
}

AdmissionActions DropLateCalls(AdmissionState& aState, TimePoint aNow)
{
  AdmissionActions actions;
  for (ClassQueue& queue : aState.queues_) {
    std::size_t dropped = 0;
    for (auto& entry : queue.accounts_) {
      dropped += std::erase_if(entry.second.calls_, [&](const WaitingCall& aCall) {
        if (!MustDrop(aState, aCall, aNow)) {
          return false;
        }
        RefuseCall(aState, actions, aCall, ErrorCode::kDeadlineExceeded, aNow);
        return true;
      });
    }
    RecordRemovedCalls(aState, queue, dropped);
  }
  UpdateAdmissionLevel(aState, aNow);
  StartWaiting(aState, actions, aNow);
  return actions;
}

void ApplyAnnouncedSlots(AdmissionState& aState, std::uint32_t aSlots)
{
  const bool isNew = aSlots > 0 && aSlots != aState.announcedSlots_;
  aState.announcedSlots_ = aSlots;
  // Growing from the initial limit takes seconds, in which a surge of calls would be refused
  // although slots are free. Announced slots are therefore trusted until slotsContradicted_.
  SetLimit(aState, isNew && !aState.slotsContradicted_ ? aSlots : aState.limit_);
}

std::uint32_t EffectiveLimit(const AdmissionState& aState, TimePoint aNow)
{
  const auto rate = AllowedPerSecond(aState.startRate_, aNow);
  // By Little's law, calls at this rate occupy that many slots.
  const double atRate = rate ? *rate * aState.serviceSeconds_ : aState.limit_;
  return static_cast<std::uint32_t>(std::max(1.0, std::min(aState.limit_, atRate)));
}

AdmissionLevel CurrentAdmissionLevel(AdmissionState& aState, TimePoint aNow)
{
  UpdateAdmissionLevel(aState, aNow);
  return { static_cast<Importance>(aState.openClasses_ - 1), 1.0 };
}

void RecordAdmissionLevel(ReceivedAdmissionLevel& aReceived,
                          const AdmissionLevel& aLevel,
                          TimePoint aNow)
{
  aReceived.level_ = aLevel;
  aReceived.receivedAt_ = aNow;
}

bool ShouldSendCall(ReceivedAdmissionLevel& aReceived, Importance aImportance, TimePoint aNow)
{
  const bool known =
    aReceived.receivedAt_ != TimePoint{} && aNow - aReceived.receivedAt_ < kAdmissionLevelLifetime;
  if (!known || aImportance == Importance::kCritical ||
      aImportance < aReceived.level_.minAdmittedImportance_) {
    return true;
  }
  const double fraction = aImportance == aReceived.level_.minAdmittedImportance_
                            ? std::max(kMinProbeFraction, aReceived.level_.admittedFraction_)
                            : kMinProbeFraction;
  return fraction >= 1 || RandomFraction(aReceived.random_) < fraction;
}

} // namespace peridotquay
