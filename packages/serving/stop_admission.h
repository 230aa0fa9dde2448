#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "base/clock.h"

namespace bluebell::serving {

/// A request that was answered in full.
struct completed_request {
  /// From its arrival to the answer or the first event.
  clock::duration first_answer{0};
  /// From there to its end.
  clock::duration rest{0};
  /// Maximum number of output tokens that the caller stated.
  std::optional<std::int64_t> output_tokens;
};

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

  void OnCompleted(const std::string& route, const completed_request& request);
  /// The host stops now, and its process ends at `process_end`.
  void Begin(clock::time_point process_end);
  /// When the host began to stop; none while it does not.
  std::optional<clock::time_point> begun() const { return begun_; }
  /// Whether a request that arrives now is accepted. `time_limit`: when its
  /// time ends, counted from now. `longest_open`: age of the oldest request on
  /// its route that has not ended.
  bool Accepts(const std::string& route, clock::duration time_limit,
               std::optional<std::int64_t> output_tokens,
               clock::duration longest_open) const;

 private:
  // Requests that may outlast the process are accepted for this long. Beyond 3
  // seconds the platform expects every accepted request to be answered, and the
  // stop signal may be handled late.
  static constexpr std::chrono::milliseconds kUncertainPeriod{2000};
  // Margin on the longest time expected.
  static constexpr double kMargin = 1.25;
  static constexpr std::chrono::seconds kMaxSampleAge{30};
  static constexpr std::size_t kMaxSamples = 128;
  // With fewer comparable requests, or a shorter history, the time is unknown.
  static constexpr int kMinSamples = 8;
  static constexpr std::chrono::seconds kMinHistory{2};

  struct sample {
    clock::time_point at;
    completed_request request;
  };
  struct route_history {
    /// Time of the first sample.
    clock::time_point since;
    std::deque<sample> samples;
  };

  // Longest time that a request is expected to take, from those on its route
  // that stated at least half of its tokens; none if these are too few.
  std::optional<clock::duration> ExpectedTime(
      const std::string& route,
      std::optional<std::int64_t> output_tokens) const;

  const clock& clock_;
  std::map<std::string, route_history> routes_;
  std::optional<clock::time_point> begun_;
  clock::time_point process_end_;
};

}  // namespace bluebell::serving
