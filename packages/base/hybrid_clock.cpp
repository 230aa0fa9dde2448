#include "base/hybrid_clock.h"

namespace bluebell {

hybrid_time hybrid_clock::Now() {
  const std::int64_t wall_us =
      std::chrono::duration_cast<std::chrono::microseconds>(
          source_.wall_now().time_since_epoch())
          .count();
  if (wall_us > last_.wall_us) {
    last_ = {wall_us, 0};
  } else {
    ++last_.counter;
  }
  return last_;
}

void hybrid_clock::Observe(const hybrid_time& remote) {
  if (last_ < remote) last_ = remote;
}

}  // namespace bluebell
