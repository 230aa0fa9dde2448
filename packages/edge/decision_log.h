#pragma once

#include <cstdint>
#include <initializer_list>
#include <string>
#include <string_view>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::edge {

/// One attribute of a log line.
using log_field = std::pair<std::string_view, std::string>;

/// Structured log on standard output: one JSON object per line for each
/// decision. Never blocks: lines that the reader does not take, or that exceed
/// the rate, are dropped and counted, and the count is logged.
class decision_log {
 public:
  /// Makes standard output non-blocking.
  decision_log(const clock& source, host_id host);

  /// Writes a line with `event` and `fields`; values are text.
  void Write(std::string_view event, std::initializer_list<log_field> fields);
  std::uint64_t dropped() const { return dropped_; }

 private:
  // Lines per second and in a burst: about ten times the requests of a host
  // at its busiest hour, and little enough for a hundredth of a core.
  static constexpr double kLinesPerSecond = 300;
  static constexpr double kBurstLines = 600;

  bool Admit();
  bool Emit(const std::string& line);

  const clock& clock_;
  host_id host_;
  double available_ = kBurstLines;
  clock::time_point refilled_;
  std::uint64_t dropped_ = 0;
  std::uint64_t reported_dropped_ = 0;
  std::string unsent_;
};

}  // namespace bluebell::edge
