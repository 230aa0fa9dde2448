#pragma once

#include "base/clock.h"

namespace bluebell::fleet {

/// Time limits of membership and leases; docs/design.md, section 4.1, derives
/// them. All hosts of a fleet must use the same values. They are parameters
/// so that tests can show that a wrong value breaks the exclusion.
struct fleet_timing {
  /// T: a peer counts as heard, and platform contact as uninterrupted, while
  /// the newest answered request was sent at most this long ago.
  clock::duration contact_bound = std::chrono::seconds(1);
  /// Interval of pings and platform probes. It is below T, so that the next
  /// answer arrives before the previous one is older than T.
  clock::duration heartbeat_interval = std::chrono::milliseconds(500);
  /// 3T: age of the newest known platform contact above which the platform
  /// counts as unreachable.
  clock::duration outage_threshold = std::chrono::seconds(3);
  /// A peer process counts towards the majority that stops the lease clock
  /// only after this uptime, because its predecessor may have known of a
  /// platform contact that the new process does not know of.
  clock::duration witness_uptime = std::chrono::seconds(3);
  /// V: a lease lasts this long from the moment its renewal was sent.
  clock::duration lease = std::chrono::seconds(15);
  /// V/3.
  clock::duration renewal_interval = std::chrono::seconds(5);
  /// V + T + margin; the margin of 1 s allows for clocks whose rates differ.
  clock::duration reclaim_window = std::chrono::seconds(17);
  /// Interval at which the records of all hosts are read.
  clock::duration record_interval = std::chrono::seconds(2);
  /// Records of hosts that are no members are removed after this time.
  clock::duration record_retention = std::chrono::minutes(10);
};

}  // namespace bluebell::fleet
