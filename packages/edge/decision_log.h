#pragma once

#include <chrono>
#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::edge {

/// Name and value of one attribute of a log line.
using log_field = std::pair<std::string_view, std::string>;

inline std::chrono::milliseconds ToMilliseconds(clock::duration span) {
  return std::chrono::duration_cast<std::chrono::milliseconds>(span);
}

/// `span` in whole milliseconds.
inline std::string MillisecondText(clock::duration span) {
  return std::to_string(ToMilliseconds(span).count());
}

/// Structured log on standard output, one JSON object per line. Never blocks:
/// lines above the rate limit, or that a full pipe does not accept, are dropped
/// and counted, and the count is logged.
class decision_log {
 public:
  /// Makes standard output non-blocking.
  decision_log(const clock& source, host_id host);

  /// Logs `event` with `fields`; all values are written as JSON strings.
  void Write(std::string_view event, std::initializer_list<log_field> fields);
  std::uint64_t dropped() const { return dropped_; }

 private:
  // Token bucket. Allows about ten times the peak request rate of a host at
  // a cost of about a hundredth of a core.
  static constexpr double kLinesPerSecond = 300;
  static constexpr double kBurstLines = 600;

  bool TakeToken();
  bool WriteLine(const std::string& line);

  const clock& clock_;
  host_id host_;
  double tokens_ = kBurstLines;
  clock::time_point refilled_at_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  std::string unsent_;
};

}  // namespace bluebell::edge
