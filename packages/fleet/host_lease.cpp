#include "fleet/host_lease.h"

namespace bluebell::fleet {

void host_lease::Grant(clock::time_point sent, clock::time_point now) {
  held_ = true;
  elapsed_ = now - sent;
  evaluated_at_ = now;
  was_outage_ = false;
}

bool host_lease::Evaluate(clock::time_point now, bool outage) {
  if (!held_) return false;
  const auto interval = now - evaluated_at_;
  const bool clock_stopped =
      was_outage_ && outage && interval <= timing_.contact_bound;
  if (!clock_stopped) elapsed_ += interval;
  evaluated_at_ = now;
  was_outage_ = outage;
  held_ = elapsed_ < timing_.lease;
  return held_;
}

}  // namespace bluebell::fleet
