// Event loop of the socket thread: timers, posted functions and the Boost.Asio context.
#pragma once

#include "peridotquay/process/Time.h"

#include <cstdint>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace peridotquay {

/// Runs on one thread. All functions except Post and Stop must be called on that thread or before
/// Run.
class EventLoop
{
public:
  EventLoop();
  EventLoop(const EventLoop&) = delete;
  EventLoop& operator=(const EventLoop&) = delete;
  ~EventLoop();

  boost::asio::io_context& Context();
  /// Current time on the monotonic clock.
  TimePoint Now() const;
  /// Calls the function after the delay. Returns a number for CancelTimer, never 0.
  std::uint64_t After(Duration aDelay, std::function<void()> aFunction);
  /// Cancels a timer. No effect if it has fired or the number is 0.
  void CancelTimer(std::uint64_t aTimer);
  /// Calls the function on the loop's thread. May be called from any thread.
  void Post(std::function<void()> aFunction);
  /// Runs the loop until Stop. Can be called again afterwards.
  void Run();
  /// Ends Run. May be called from any thread.
  void Stop();

private:
  struct State;
  std::unique_ptr<State> state_;
};

} // namespace peridotquay
