#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/event_log.h"
#include "fleet/fleet_view.h"

namespace bluebell::limits {

/// Detects every lapse of the host lease, including one that began and ended
/// between two checks.
///
/// A share is reclaimed at the earliest T (1 s) after the holder's lease
/// expired. If two checks less than T apart both found the lease held, then no
/// reclaim started between them. After a longer interval, such as a process
/// pause, a lapse is assumed: shares must be confirmed by a write before use.
class lease_monitor {
 public:
  /// Must be below T (docs/design.md, section 4.1).
  static constexpr clock::duration kMaxCheckInterval =
      std::chrono::milliseconds(800);

  lease_monitor(const fleet::fleet_view& fleet, const clock& time,
                event_log& events);

  /// Returns whether the lease is held now. Must be called before each use of a
  /// share, and at least every `kMaxCheckInterval` to avoid a false lapse.
  bool Check();
  /// Lease epoch: starts at 1 and increases with each lapse. Shares confirmed
  /// in an earlier epoch are not valid.
  std::uint64_t epoch() const { return epoch_; }

 private:
  const fleet::fleet_view& fleet_;
  const clock& clock_;
  event_log& events_;
  bool was_held_ = false;
  clock::time_point last_check_;
  std::uint64_t epoch_ = 1;
};

}  // namespace bluebell::limits
