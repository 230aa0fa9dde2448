#include "fleet/host_lease.h"

namespace bluebell::fleet {

void host_lease::Grant(clock::time_point sent, clock::time_point now) {
  held_ = true;
  counted_ = now - sent;
  evaluated_ = now;
  outage_ = false;
}

bool host_lease::Evaluate(clock::time_point now, bool outage) {
  if (!held_) return false;
  const auto span = now - evaluated_;
  const bool stopped = outage_ && outage && span <= timing_.contact_bound;
  if (!stopped) counted_ += span;
  evaluated_ = now;
  outage_ = outage;
  held_ = counted_ < timing_.lease;
  return held_;
}

}  // namespace bluebell::fleet
