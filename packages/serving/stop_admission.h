#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace bluebell::serving {

/// Decides which requests a stopping host still accepts.
///
/// Load pattern: hosts are stopped one after the other under load, while
/// callers use open connections and cached addresses for some seconds more.
/// Requests take from milliseconds to longer than the stop. One that is refused
/// at once is served by another host; one that is accepted and does not end
/// before the process is lost.
class stop_admission {
 public:
  /// Time from the stop signal for which requests are accepted.
  static constexpr std::chrono::milliseconds kAcceptPeriod{3200};

  explicit stop_admission(const clock& source) : clock_(source) {}

  /// Records a request on `route` that has ended. `first_answer`: from its
  /// arrival to the answer or the first event; `rest`: from there to its end.
  /// `output_tokens`: the maximum that the caller stated, if any.
  void OnEnded(const std::string& route, clock::duration first_answer,
               clock::duration rest, std::optional<std::int64_t> output_tokens);
  /// The host stops now, and its process ends at `process_end`.
  void Begin(clock::time_point process_end);
  /// When the host began to stop; none while it does not.
  std::optional<clock::time_point> begun() const { return begun_; }
  /// Whether a request that arrives now is accepted. `time_limit`: when its
  /// time ends, counted from now.
  bool Accepts(const std::string& route, clock::duration time_limit,
               std::optional<std::int64_t> output_tokens) const;

 private:
  // Requests that may outlast the process are accepted for this long, which
  // covers the callers whose cached addresses have not expired.
  static constexpr std::chrono::milliseconds kUncertainPeriod{2500};
  // Margin on the longest time expected.
  static constexpr double kMargin = 1.25;
  // The longest times of the last one to two windows are known.
  static constexpr std::chrono::seconds kWindow{15};

  // Longest times of recent requests on one route.
  struct longest_times {
    clock::duration first_answer{0};
    clock::duration rest{0};
    /// `rest` per output token, of requests that state their tokens.
    clock::duration rest_per_token{0};
  };
  struct route_history {
    clock::time_point window_begin;
    longest_times current;
    longest_times previous;
  };

  // Longest time that a request is expected to take; none if there was none on
  // its route recently.
  std::optional<clock::duration> ExpectedTime(
      const std::string& route,
      std::optional<std::int64_t> output_tokens) const;

  const clock& clock_;
  std::map<std::string, route_history> routes_;
  std::optional<clock::time_point> begun_;
  clock::time_point process_end_;
};

}  // namespace bluebell::serving
