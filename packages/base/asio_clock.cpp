#include "base/asio_clock.h"

#include <time.h>

#include <boost/asio/steady_timer.hpp>
#include <memory>
#include <utility>

namespace bluebell {
namespace {

class asio_timer final : public timer {
 public:
  asio_timer(boost::asio::io_context& context, clock::duration delay,
             std::function<void()> callback)
      : alive_(std::make_shared<bool>(true)), timer_(context, delay) {
    // The flag covers a callback that is already queued when the handle is
    // destroyed, which cancelling the timer does not stop.
    timer_.async_wait(
        [alive = std::weak_ptr<bool>(alive_), callback = std::move(callback)](
            const boost::system::error_code& failure) {
          if (!failure && !alive.expired()) callback();
        });
  }

 private:
  std::shared_ptr<bool> alive_;
  boost::asio::steady_timer timer_;
};

}  // namespace

// CLOCK_BOOTTIME goes on while the machine is suspended; the steady clock does
// not, so a lease measured by it would outlive a suspended holder.
clock::time_point asio_clock::now() const {
  timespec reading{};
  clock_gettime(CLOCK_BOOTTIME, &reading);
  return time_point(std::chrono::seconds(reading.tv_sec) +
                    std::chrono::nanoseconds(reading.tv_nsec));
}

clock::wall_time_point asio_clock::wall_now() const {
  return std::chrono::system_clock::now();
}

timer_handle asio_clock::CallAfter(duration delay,
                                   std::function<void()> callback) {
  return std::make_unique<asio_timer>(context_, delay, std::move(callback));
}

}  // namespace bluebell
