#pragma once

#include <optional>

#include "base/clock.h"
#include "fleet/fleet_timing.h"

namespace bluebell::fleet {

/// Clock of the host lease. It counts from the moment the renewal was sent and
/// leaves out only spans between two evaluations that both found an outage and
/// are at most T apart; the whole pause of a paused process is counted.
class host_lease {
 public:
  explicit host_lease(const fleet_timing& timing) : timing_(timing) {}

  /// Starts or renews the lease by a write that was sent at `sent`.
  void Grant(clock::time_point sent, clock::time_point now);
  /// Returns whether the lease is held at `now`. Once it was found expired it
  /// stays expired until the next `Grant`.
  bool Evaluate(clock::time_point now, bool outage);
  void Drop() { held_ = false; }
  bool held() const { return held_; }

 private:
  fleet_timing timing_;
  bool held_ = false;
  clock::duration counted_{0};
  clock::time_point evaluated_;
  bool outage_ = false;
};

}  // namespace bluebell::fleet
