#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <utility>

#include "base/clock.h"

namespace bluebell {

/// A clock that stands still until `Advance` is called. Callbacks run inside
/// `Advance`, in order of their due time and then of their registration.
class manual_clock final : public clock {
 public:
  manual_clock();
  ~manual_clock() override;

  time_point now() const override;
  wall_time_point wall_now() const override;
  [[nodiscard]] timer_handle CallAfter(duration delay,
                                       std::function<void()> callback) override;

  /// Moves time forward and runs each callback at its due time.
  void Advance(duration step);
  /// Moves time forward without running callbacks, as a paused process sees
  /// it; the overdue callbacks run at the next `Advance`.
  void Jump(duration step);

  struct schedule;

 private:
  std::shared_ptr<schedule> schedule_;
};

}  // namespace bluebell
