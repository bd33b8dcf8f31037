// Event loop on Boost.Asio with one system timer for all timers of the loop.
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
  boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_{
    context_.get_executor()
  };
  boost::asio::steady_timer timer_{ context_ };
  using Key = std::pair<TimePoint, std::uint64_t>;
  std::map<Key, std::function<void()>> timers_;
  std::unordered_map<std::uint64_t, TimePoint> times_; ///< Key time of each timer in timers_.
  std::uint64_t next_ = 1;
  TimePoint armed_ = TimePoint::max(); ///< When timer_ fires; max if it isn't armed.

  void Arm()
  {
    if (timers_.empty() || timers_.begin()->first.first >= armed_) {
      return;
    }
    armed_ = timers_.begin()->first.first;
    timer_.expires_at(armed_);
    timer_.async_wait([this](const boost::system::error_code& aError) {
      if (!aError) {
        Fire();
      }
    });
  }

  void Fire()
  {
    armed_ = TimePoint::max();
    const TimePoint now = Clock::now();
    // Functions may add timers; those due now run in the next round, so that sockets get a turn.
    std::uint64_t last = next_;
    while (!timers_.empty() && timers_.begin()->first.first <= now) {
      auto node = timers_.begin();
      if (node->first.second >= last) {
        break;
      }
      times_.erase(node->first.second);
      auto function = std::move(node->second);
      timers_.erase(node);
      function();
    }
    Arm();
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
  const TimePoint when = Clock::now() + aDelay;
  const std::uint64_t number = state_->next_++;
  state_->timers_.emplace(State::Key{ when, number }, std::move(aFunction));
  state_->times_.emplace(number, when);
  state_->Arm();
  return number;
}

void EventLoop::CancelTimer(std::uint64_t aTimer)
{
  const auto entry = state_->times_.find(aTimer);
  if (entry != state_->times_.end()) {
    state_->timers_.erase(State::Key{ entry->second, aTimer });
    state_->times_.erase(entry);
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
