#pragma once

#include "base/clock.h"

namespace bluebell::fleet {

/// Time limits of membership and leases, derived in docs/design.md, section
/// 4.1. All hosts of a fleet must use the same values. They are parameters so
/// that tests can show that an unsafe value breaks mutual exclusion.
struct fleet_timing {
  /// T: a peer counts as reachable, and platform contact as uninterrupted,
  /// while the latest answered request was sent at most this long ago.
  clock::duration contact_bound = std::chrono::seconds(1);
  /// Interval of pings and platform probes. Below T, so that the next answer
  /// arrives before the previous one is older than T.
  clock::duration heartbeat_interval = std::chrono::milliseconds(500);
  /// 3T: the platform counts as unreachable when the most recent known contact
  /// is older than this.
  clock::duration outage_threshold = std::chrono::seconds(3);
  /// Minimum uptime of a peer process that counts towards the majority that
  /// stops the lease clock. The process before a restart may have known of a
  /// platform contact that the new one does not know of.
  clock::duration min_witness_uptime = std::chrono::seconds(3);
  /// V: lease duration, counted from the sending of the renewal.
  clock::duration lease = std::chrono::seconds(15);
  /// V/3.
  clock::duration renewal_interval = std::chrono::seconds(5);
  /// V + T + margin; the margin of 1 s allows for clock drift between hosts.
  clock::duration reclaim_window = std::chrono::seconds(17);
  /// Interval at which the records of all hosts are read.
  clock::duration record_interval = std::chrono::seconds(2);
  /// Records of hosts that are not members are removed after this time.
  clock::duration record_retention = std::chrono::minutes(10);
};

}  // namespace bluebell::fleet
