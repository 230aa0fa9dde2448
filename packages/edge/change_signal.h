#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace bluebell::edge {

/// Condition variable for coroutines that wait for a change of the host's
/// state.
class change_signal {
 public:
  explicit change_signal(boost::asio::io_context& context)
      : context_(context) {}

  /// Suspends the coroutine until the next `Notify`, for at most `limit`.
  void Wait(std::chrono::steady_clock::duration limit,
            boost::asio::yield_context yield) {
    boost::asio::steady_timer timer(context_, limit);
    waiting_timers_.insert(&timer);
    boost::system::error_code ec;
    timer.async_wait(yield[ec]);
    waiting_timers_.erase(&timer);
  }

  void Notify() {
    for (auto* timer : waiting_timers_) timer->cancel();
  }

 private:
  boost::asio::io_context& context_;
  std::set<boost::asio::steady_timer*> waiting_timers_;
};

}  // namespace bluebell::edge
