#pragma once

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Crash of an engine that had a suspected request, as a host reports it to the
/// others. Times are ages, as the clocks of hosts differ.
struct reported_crash {
  endpoint_id engine;
  clock::duration age{0};
  /// Time since the request was sent to the engine.
  clock::duration sent_age{0};
};

}  // namespace bluebell::serving
