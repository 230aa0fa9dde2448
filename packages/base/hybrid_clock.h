#pragma once

#include <cstdint>
#include <string>

#include "base/clock.h"

namespace bluebell {

/// Hybrid logical time: microseconds of calendar time and a counter that
/// orders events within one microsecond and across hosts.
struct hybrid_time {
  std::int64_t wall_us = 0;
  std::uint32_t counter = 0;

  friend bool operator<(const hybrid_time& a, const hybrid_time& b) {
    return a.wall_us != b.wall_us ? a.wall_us < b.wall_us
                                  : a.counter < b.counter;
  }
  friend bool operator==(const hybrid_time& a, const hybrid_time& b) {
    return a.wall_us == b.wall_us && a.counter == b.counter;
  }
};

/// Stamps events so that an event that is caused by a message from another
/// host sorts after the sending of that message.
class hybrid_clock {
 public:
  explicit hybrid_clock(const clock& source) : source_(source) {}

  /// Returns a stamp later than every stamp returned or observed before.
  hybrid_time Now();
  /// Takes in the stamp of a received message.
  void Observe(const hybrid_time& remote);

 private:
  const clock& source_;
  hybrid_time last_;
};

}  // namespace bluebell
