#include "limits/lease_guard.h"

namespace bluebell::limits {

lease_guard::lease_guard(const fleet::fleet_view& fleet, const clock& time,
                         event_log& events)
    : fleet_(fleet), clock_(time), events_(events), last_check_(time.now()) {}

bool lease_guard::Check() {
  const auto now = clock_.now();
  const bool holds = fleet_.HoldsLease();
  const bool lapsed = held_ && (!holds || now - last_check_ >= kLongestGap);
  if (lapsed) {
    ++span_;
    events_.Record(event_id::kShareLapsed);
  }
  held_ = holds;
  last_check_ = now;
  return holds;
}

}  // namespace bluebell::limits
