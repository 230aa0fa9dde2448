#pragma once

#include <chrono>
#include <optional>

#include "base/clock.h"

namespace bluebell::serving {

/// Tells whether the configuration is known to be current enough to accept
/// keys.
///
/// A key that the operator takes away must stop working within a bound, also
/// at a host that lost its path to the store. The age therefore counts from
/// the moment at which the newest answered question was sent.
class key_freshness {
 public:
  /// `bound` is the time within which a withdrawn key must stop working.
  key_freshness(const clock& source, clock::duration bound)
      : clock_(source), bound_(bound) {}

  /// A linearizable answer to a question sent at `sent` has arrived.
  void Confirm(clock::time_point sent) {
    if (!confirmed_ || sent > *confirmed_) confirmed_ = sent;
  }
  /// Time since the configuration was known to be current; none if never.
  std::optional<clock::duration> Age() const {
    if (!confirmed_) return std::nullopt;
    return clock_.now() - *confirmed_;
  }
  bool AllowsKeys() const {
    const auto age = Age();
    return age && *age + kMargin < bound_;
  }

 private:
  // Covers the way of a request from the check to the endpoint.
  static constexpr std::chrono::milliseconds kMargin{200};

  const clock& clock_;
  clock::duration bound_;
  std::optional<clock::time_point> confirmed_;
};

}  // namespace bluebell::serving
