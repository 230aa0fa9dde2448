#pragma once

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <memory>

#include "base/byte_budget.h"

namespace bluebell::gateway {

/// Size and time limits for requests and responses on a connection.
struct http_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1024 * 1024;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  /// Wait for the next request on an open connection.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Timeout of one write to the caller.
  std::chrono::milliseconds write_timeout{30'000};
  /// Budget for what all connections hold; none: no limit over all.
  std::shared_ptr<byte_budget> memory;
  /// Connections that are open at once; 0: half of the descriptors that the
  /// process may open. Idle connections make room for new ones.
  std::size_t max_connections = 0;
};

}  // namespace bluebell::gateway
