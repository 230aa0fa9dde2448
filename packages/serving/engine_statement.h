#pragma once

#include <chrono>
#include <optional>

#include "base/ids.h"

namespace bluebell::serving {

/// What an endpoint states of itself in any of its answers. It is more recent
/// than its stored record.
struct engine_statement {
  /// The endpoint that answered; empty if it does not say.
  endpoint_id engine;
  /// Will end soon and must get no more requests.
  bool leaving = false;
  /// Requests per second that it takes from all hosts together; none if it
  /// names no limit.
  std::optional<double> limit_per_s;
  /// It wants nothing from this host for so long.
  std::optional<std::chrono::milliseconds> pause;
};

}  // namespace bluebell::serving
