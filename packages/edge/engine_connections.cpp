#include "edge/engine_connections.h"

#include <algorithm>
#include <utility>

namespace bluebell::edge {

result<engine_connections::lease> engine_connections::Take(
    const endpoint_id& engine, const std::string& address,
    clock::duration max_idle, std::chrono::milliseconds timeout,
    boost::asio::yield_context yield) {
  auto& idle = idle_[engine];
  const auto now = clock_.now();
  while (!idle.empty()) {
    auto candidate = std::move(idle.back());
    idle.pop_back();
    if (now < candidate.expires && now - candidate.since <= max_idle &&
        candidate.connection->open_and_idle()) {
      return lease{std::move(candidate.connection), true,
                   now - candidate.since};
    }
    // The remaining connections have been idle for even longer.
    if (now - candidate.since > max_idle) break;
  }
  return Open(address, timeout, yield);
}

result<engine_connections::lease> engine_connections::Open(
    const std::string& address, std::chrono::milliseconds timeout,
    boost::asio::yield_context yield) {
  auto opened =
      gateway::endpoint_connection::Connect(context_, address, timeout, yield);
  if (!opened) return tl::unexpected(opened.error());
  return lease{std::move(*opened), false, clock::duration(0)};
}

void engine_connections::Return(const endpoint_id& engine, lease used,
                                clock::duration lifetime) {
  if (!used.connection->reusable()) return;
  const auto now = clock_.now();
  idle_[engine].push_back({std::move(used.connection), now, now + lifetime});
}

void engine_connections::CloseExpired() {
  const auto now = clock_.now();
  for (auto& [engine, idle] : idle_) {
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const idle_connection& entry) {
                                return now >= entry.expires;
                              }),
               idle.end());
  }
}

}  // namespace bluebell::edge
