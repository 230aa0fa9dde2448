#pragma once

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace bluebell::serving {

/// Decides whether the configuration is recent enough to accept keys.
///
/// A key that the operator withdraws must stop working within a bound, even at
/// a host that lost its connection to the store. The age therefore counts from
/// the time at which the newest answered read was sent.
class key_freshness {
 public:
  /// `bound` is the time within which a withdrawn key must stop working.
  key_freshness(const clock& source, clock::duration bound)
      : clock_(source), bound_(bound) {}

  /// A linearizable read sent at `sent` was answered.
  void Confirm(clock::time_point sent) {
    if (!confirmed_ || sent > *confirmed_) confirmed_ = sent;
  }
  /// The read that was confirmed may have been answered by a store that had
  /// lost a newer configuration.
  void Reset() { confirmed_.reset(); }
  /// Time since the configuration was last known to be current; none if never.
  std::optional<clock::duration> Age() const {
    if (!confirmed_) return std::nullopt;
    return clock_.now() - *confirmed_;
  }
  bool AllowsKeys() const {
    const auto age = Age();
    return age && *age + kMargin < bound_;
  }

 private:
  // Covers the time from the check until the request reaches the endpoint.
  static constexpr std::chrono::milliseconds kMargin{200};

  const clock& clock_;
  clock::duration bound_;
  std::optional<clock::time_point> confirmed_;
};

}  // namespace bluebell::serving
