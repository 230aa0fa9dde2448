#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"

namespace bluebell::serving {

/// What an endpoint states of itself in any of its answers. It is more recent
/// than its stored record.
struct engine_statement {
  /// The endpoint that answered; empty if not stated.
  endpoint_id engine;
  /// Will end soon and must get no more requests.
  bool leaving = false;
  /// Refusals per second that the engine survives, while its service is
  /// brittle.
  std::optional<double> survived_refusals_per_s;
  /// Requests that run and wait there.
  std::optional<int> load;
  /// Time that work takes at this moment, as a multiple of its usual time; none
  /// if the engine does not share its machine.
  std::optional<double> pace;
  /// Requests per second that it accepts from all hosts together; none without
  /// a limit.
  std::optional<double> limit_per_s;
  /// Requested time without requests from this host.
  std::optional<std::chrono::milliseconds> pause;
  /// Time for which it stays cold, 0 if it is not cold; none if not stated.
  std::optional<std::chrono::milliseconds> cold_remaining;
  /// It states a time for that which cannot be used.
  bool cold_unusable = false;
};

}  // namespace bluebell::serving
