#pragma once

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace bluebell::limits {

/// Token bucket that refills at `rate` tokens per second up to `burst` and
/// starts empty. Tokens are doubles because hosts hold fractions of a budget.
///
/// A refund restores the level that the bucket would have if the request had
/// reserved only what it used: it adds min(refund, burst - highest level since
/// the reservation), also for overlapping reservations and refunds. To do so
/// the bucket replays its steps since the oldest open reservation.
///
/// Tokens that are set aside (lent to another host, or held for a request that
/// waits for loans) stay in the bucket and count against its burst until they
/// are charged or released.
class token_bucket {
 public:
  using charge_id = std::uint64_t;

  /// Maximum number of steps kept for refunds, at most two per open
  /// reservation. Beyond it the oldest reservation counts as fully used, which
  /// bounds memory and the cost of a refund.
  static constexpr std::size_t kMaxSteps = 8192;

  explicit token_bucket(clock::time_point now) : last_(now) {}

  /// Sets rate and burst from `now` on. Tokens above the burst are dropped.
  void Configure(clock::time_point now, double rate, double burst);

  /// Tokens that can be charged or set aside now; negative if overdrawn.
  double Available(clock::time_point now) const;
  double burst() const { return burst_; }
  double set_aside() const { return set_aside_; }

  /// Removes `tokens` without checking that they are available.
  charge_id Charge(clock::time_point now, double tokens);
  /// Ends a charge and refunds its `unused` tokens. Has no effect if the charge
  /// has ended or is older than the steps kept.
  void Refund(charge_id id, double unused);

  void SetAside(double tokens) { set_aside_ += tokens; }
  void Release(double tokens) { set_aside_ -= tokens; }

 private:
  /// Effect of a time interval and the charge at its end on the level:
  /// level -> min(level + gain, limit).
  struct step {
    double gain = 0;
    double limit = 0;
    /// Tokens charged at the end of the interval.
    double tokens = 0;
    /// Whether the charge can still be refunded.
    bool open = false;

    double Apply(double level) const;
    void Prepend(const step& earlier);
  };

  double Level(clock::time_point now) const;
  void Append(clock::time_point now, double tokens, bool open);
  void Merge(std::map<charge_id, step>::iterator closed);
  void Compact();

  double rate_ = 0;
  double burst_ = 0;
  /// Level before the first step kept and after the last one.
  double base_level_ = 0;
  double level_ = 0;
  double set_aside_ = 0;
  clock::time_point last_;
  /// Ordered by id, which is also the order of time.
  std::map<charge_id, step> steps_;
  charge_id last_id_ = 0;
};

}  // namespace bluebell::limits
