#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>
#include <set>

namespace bluebell::edge {

/// Wakes the coroutines that wait for a change of the host's picture.
class change_signal {
 public:
  explicit change_signal(boost::asio::io_context& context)
      : context_(context) {}

  /// Returns at the next `Notify`, or after `limit`.
  void Wait(std::chrono::steady_clock::duration limit,
            boost::asio::yield_context yield) {
    boost::asio::steady_timer timer(context_, limit);
    waiting_.insert(&timer);
    boost::system::error_code ended;
    timer.async_wait(yield[ended]);
    waiting_.erase(&timer);
  }

  void Notify() {
    for (auto* timer : waiting_) timer->cancel();
  }

 private:
  boost::asio::io_context& context_;
  std::set<boost::asio::steady_timer*> waiting_;
};

}  // namespace bluebell::edge
