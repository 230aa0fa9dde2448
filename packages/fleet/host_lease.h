#pragma once

#include <optional>

#include "base/clock.h"
#include "fleet/fleet_timing.h"

namespace bluebell::fleet {

/// Tracks the time used up of the host lease, from the sending of the renewal.
/// Only intervals between two consecutive evaluations that are at most T apart
/// and both in state outage are excluded; a process pause counts in full.
class host_lease {
 public:
  explicit host_lease(const fleet_timing& timing) : timing_(timing) {}

  /// Starts or renews the lease after a write that was sent at `sent`.
  void Grant(clock::time_point sent, clock::time_point now);
  /// Returns whether the lease is held at `now`. An expired lease stays expired
  /// until the next `Grant`.
  bool Evaluate(clock::time_point now, bool outage);
  void Drop() { held_ = false; }
  bool held() const { return held_; }

 private:
  fleet_timing timing_;
  bool held_ = false;
  clock::duration elapsed_{0};
  clock::time_point evaluated_at_;
  bool was_outage_ = false;
};

}  // namespace bluebell::fleet
