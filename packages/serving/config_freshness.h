#pragma once

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace bluebell::serving {

/// Decides whether the configuration in force is recent enough to handle
/// requests.
///
/// A key that the operator withdraws must stop working within a bound, even at
/// a host that lost its connection to the store. Any other change must be in
/// force within a bound as well; in an outage of the store, in which nothing
/// can change, requests without a key go on. What replaced the configuration
/// was accepted after the newest answered read of it was sent, so its age
/// counts from there.
///
/// Workload: a host knows of a newer version and cannot read it, because its
/// link or its processor is overloaded or the store rejects it.
class config_freshness {
 public:
  struct bounds {
    /// Time within which a withdrawn key must stop working.
    clock::duration key_withdrawal;
    /// Time within which any other change must be in force.
    clock::duration change;
  };

  config_freshness(const clock& source, bounds limits)
      : clock_(source), bounds_(limits) {}

  /// A linearizable read sent at `sent` was answered.
  void Confirm(clock::time_point sent) {
    if (!confirmed_ || sent > *confirmed_) confirmed_ = sent;
  }
  /// The read that was confirmed may have been answered by a store that had
  /// lost a newer configuration.
  void Reset() { confirmed_.reset(); }
  /// Whether a newer version than the one in force is known.
  void SetSuperseded(bool superseded) { superseded_ = superseded; }
  /// Time since the configuration was last known to be current; none if never.
  std::optional<clock::duration> Age() const {
    if (!confirmed_) return std::nullopt;
    return clock_.now() - *confirmed_;
  }
  bool AllowsKeys() const { return IsWithin(bounds_.key_withdrawal); }
  bool AllowsRequests() const {
    return !superseded_ || IsWithin(bounds_.change);
  }

 private:
  // Covers the time from the check until the request reaches the endpoint.
  static constexpr std::chrono::milliseconds kMargin{200};

  bool IsWithin(clock::duration bound) const {
    const auto age = Age();
    return age && *age + kMargin < bound;
  }

  const clock& clock_;
  bounds bounds_;
  std::optional<clock::time_point> confirmed_;
  bool superseded_ = false;
};

}  // namespace bluebell::serving
