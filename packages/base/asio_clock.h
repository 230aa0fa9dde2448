#pragma once

#include <boost/asio/io_context.hpp>
#include <functional>

#include "base/clock.h"

namespace bluebell {

/// The real clock; callbacks run on the given `io_context`.
class asio_clock final : public clock {
 public:
  explicit asio_clock(boost::asio::io_context& context) : context_(context) {}

  time_point now() const override;
  wall_time_point wall_now() const override;
  [[nodiscard]] timer_handle CallAfter(duration delay,
                                       std::function<void()> callback) override;

 private:
  boost::asio::io_context& context_;
};

}  // namespace bluebell
