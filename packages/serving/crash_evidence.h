#pragma once

#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

/// Crash of an engine that had a suspected request.
struct engine_crash {
  endpoint_id engine;
  clock::time_point at;
  /// When the request was sent to the engine.
  clock::time_point sent_at;
};

/// The same as a host reports it to the others. Times are ages, as the clocks
/// of hosts differ.
struct reported_crash {
  endpoint_id engine;
  clock::duration age{0};
  /// Time since the request was sent to the engine.
  clock::duration sent_age{0};
};

/// Inserts a crash in order of time. Returns false if `crashes` holds it
/// already, whichever host has reported it; the later of the sends then counts.
bool InsertCrash(std::vector<engine_crash>& crashes, engine_crash added);

}  // namespace bluebell::serving
