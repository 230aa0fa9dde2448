#pragma once

#include <cstdint>

#include "base/clock.h"
#include "base/event_log.h"
#include "fleet/fleet_view.h"

namespace bluebell::limits {

/// Detects every lapse of the host lease, including one that began and ended
/// between two checks.
///
/// A fraction is reclaimed at the earliest T (1 s) after the holder's lease
/// expired. If two checks less than T apart both found the lease held, then no
/// reclaim started between them. After a longer gap, as after a pause, the
/// guard assumes a lapse: rights must be confirmed by a write before use.
class lease_guard {
 public:
  /// Below T of docs/design.md, section 4.1.
  static constexpr clock::duration kLongestGap = std::chrono::milliseconds(800);

  lease_guard(const fleet::fleet_view& fleet, const clock& time,
              event_log& events);

  /// Returns whether the lease is held now. Called at least every
  /// `kLongestGap` in normal operation, and before each use of a right.
  bool Check();
  /// Number of the current span without a lapse, starting at 1. Rights that
  /// were confirmed in an earlier span are not valid.
  std::uint64_t span() const { return span_; }

 private:
  const fleet::fleet_view& fleet_;
  const clock& clock_;
  event_log& events_;
  bool held_ = false;
  clock::time_point last_check_;
  std::uint64_t span_ = 1;
};

}  // namespace bluebell::limits
