#include "limits/lease_monitor.h"

namespace bluebell::limits {

lease_monitor::lease_monitor(const fleet::fleet_view& fleet, const clock& time,
                             event_log& events)
    : fleet_(fleet), clock_(time), events_(events), last_check_(time.now()) {}

bool lease_monitor::Check() {
  const auto now = clock_.now();
  const bool held = fleet_.HoldsLease();
  const bool lapsed =
      was_held_ && (!held || now - last_check_ >= kMaxCheckInterval);
  if (lapsed) {
    ++epoch_;
    events_.Record(event_id::kShareLapsed);
  }
  was_held_ = held;
  last_check_ = now;
  return held;
}

}  // namespace bluebell::limits
