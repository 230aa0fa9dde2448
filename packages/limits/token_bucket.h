#pragma once

#include <cstdint>
#include <map>

#include "base/clock.h"

namespace bluebell::limits {

/// A bucket that fills with `rate` tokens per second up to `burst`, and starts
/// empty. Tokens are doubles, because shares of a budget are fractions.
///
/// A refund restores what the bucket would hold if the request had reserved
/// its actual use from the start: min(refund, burst - highest level since the
/// reservation), also with several reservations and refunds that overlap. For
/// this the bucket replays its steps since the oldest open reservation.
///
/// Tokens that are set aside (lent to another host, or waiting for a loan to
/// complete them) stay inside the bucket and count against its burst until
/// they are charged or released.
class token_bucket {
 public:
  using charge_id = std::uint64_t;

  /// Steps kept for refunds, at most two for each open reservation. Beyond it
  /// the oldest reservation counts as used in full, which bounds memory and the
  /// work of a refund.
  static constexpr std::size_t kMaxSteps = 8192;

  explicit token_bucket(clock::time_point now) : last_(now) {}

  /// Sets rate and burst from `now` on. Tokens above the burst are lost.
  void Configure(clock::time_point now, double rate, double burst);

  /// Tokens that can be charged or set aside now; negative in debt.
  double Available(clock::time_point now) const;
  double burst() const { return burst_; }
  double set_aside() const { return set_aside_; }

  /// Takes `tokens` out, also beyond what is available; the caller checks.
  charge_id Charge(clock::time_point now, double tokens);
  /// Ends a charge of which `unused` tokens are given back. Ignores a charge
  /// that has ended or is older than the steps kept.
  void Refund(charge_id id, double unused);

  void SetAside(double tokens) { set_aside_ += tokens; }
  void Release(double tokens) { set_aside_ -= tokens; }

 private:
  /// Effect of a span of time and the charge at its end on the level:
  /// level -> min(level + gain, limit).
  struct step {
    double gain = 0;
    double limit = 0;
    /// Tokens charged at the end.
    double tokens = 0;
    /// Whether a refund may still change the charge.
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
  double base_ = 0;
  double level_ = 0;
  double set_aside_ = 0;
  clock::time_point last_;
  /// In order of time, which is the order of ids.
  std::map<charge_id, step> steps_;
  charge_id last_id_ = 0;
};

}  // namespace bluebell::limits
