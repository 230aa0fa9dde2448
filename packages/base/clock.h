#pragma once

#include <chrono>
#include <functional>
#include <memory>

namespace bluebell {

/// A pending callback; destroying it cancels the callback.
class timer {
 public:
  virtual ~timer() = default;
};

using timer_handle = std::unique_ptr<timer>;

/// The runtime's source of time. The daemon uses `asio_clock`; tests use
/// `manual_clock`, which stands still until it is advanced.
class clock {
 public:
  using duration = std::chrono::steady_clock::duration;
  using time_point = std::chrono::steady_clock::time_point;
  using wall_time_point = std::chrono::system_clock::time_point;

  virtual ~clock() = default;

  /// Monotonic time that includes the time a machine was suspended, for every
  /// interval and deadline.
  virtual time_point now() const = 0;
  /// Calendar time, only for output, stored times and the hybrid logical
  /// clock.
  virtual wall_time_point wall_now() const = 0;
  /// Calls `callback` once, `delay` from now, unless the handle is destroyed
  /// before. A callback may destroy its own handle.
  [[nodiscard]] virtual timer_handle CallAfter(
      duration delay, std::function<void()> callback) = 0;
};

}  // namespace bluebell
