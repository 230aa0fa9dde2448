#pragma once

#include "base/ids.h"

namespace bluebell::serving {

/// What an endpoint states of itself in any of its answers. It is more recent
/// than its stored record.
struct engine_statement {
  /// The endpoint that answered; empty if it does not say.
  endpoint_id engine;
  /// Will end soon and must get no more requests.
  bool leaving = false;
};

}  // namespace bluebell::serving
