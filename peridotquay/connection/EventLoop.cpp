// Implementation of EventLoop on Boost.Asio. One Asio timer serves all timers of the loop.
#include "peridotquay/connection/EventLoop.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>

#include <map>
#include <unordered_map>
#include <utility>

namespace peridotquay {

struct EventLoop::State
{
  boost::asio::io_context context_{ 1 };
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> workGuard_{
    context_.get_executor()
  };
  boost::asio::steady_timer systemTimer_{ context_ };
  // Due time and number of a timer. The number keeps timers with equal due time apart and in order.
  using TimerKey = std::pair<TimePoint, std::uint64_t>;
  std::map<TimerKey, std::function<void()>> timers_;
  std::unordered_map<std::uint64_t, TimePoint> dueTimes_; ///< Due time of each timer, by number.
  std::uint64_t nextNumber_ = 1;
  TimePoint armedFor_ = TimePoint::max(); ///< When systemTimer_ fires; max if not armed.

  void ArmSystemTimer()
  {
    if (timers_.empty() || timers_.begin()->first.first >= armedFor_) {
      return;
    }
    armedFor_ = timers_.begin()->first.first;
    systemTimer_.expires_at(armedFor_);
    systemTimer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        RunDueTimers();
      }
    });
  }

  void RunDueTimers()
  {
    armedFor_ = TimePoint::max();
    const TimePoint now = Clock::now();
    // Timers that the called functions add run in a later call, so that socket events are handled
    // in between.
    std::uint64_t endNumber = nextNumber_;
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      auto earliest = timers_.begin();
      if (earliest->first.second >= endNumber) {
        break;
      }
      dueTimes_.erase(earliest->first.second);
      auto function = std::move(earliest->second);
      timers_.erase(earliest);
      function();
    }
    ArmSystemTimer();
  }
};

EventLoop::EventLoop()
  : state_(std::make_unique<State>())
{
}

EventLoop::~EventLoop() = default;

boost::asio::io_context& EventLoop::Context()
{
  return state_->context_;
}

TimePoint EventLoop::Now() const
{
  return Clock::now();
}

std::uint64_t EventLoop::After(Duration aDelay, std::function<void()> aFunction)
{
  const TimePoint dueAt = Clock::now() + aDelay;
  const std::uint64_t number = state_->nextNumber_++;
  state_->timers_.emplace(State::TimerKey{ dueAt, number }, std::move(aFunction));
  state_->dueTimes_.emplace(number, dueAt);
  state_->ArmSystemTimer();
  return number;
}

void EventLoop::CancelTimer(std::uint64_t aTimer)
{
  const auto entry = state_->dueTimes_.find(aTimer);
  if (entry != state_->dueTimes_.end()) {
    state_->timers_.erase(State::TimerKey{ entry->second, aTimer });
    state_->dueTimes_.erase(entry);
  }
}

void EventLoop::Post(std::function<void()> aFunction)
{
  boost::asio::post(state_->context_, std::move(aFunction));
}

void EventLoop::Run()
{
  state_->context_.restart();
  state_->context_.run();
}

void EventLoop::Stop()
{
  state_->context_.stop();
}

} // namespace peridotquay
