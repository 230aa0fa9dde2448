#include "edge/engine_connections.h"

#include <algorithm>
#include <utility>

namespace bluebell::edge {
namespace {

// Records of engines are read again long before, unless the store is away.
constexpr std::chrono::seconds kNotAcceptedRetention{60};

}  // namespace

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
      return lease{std::move(candidate.connection), true, now - candidate.since,
                   candidate.opened_at};
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
  return lease{std::move(*opened), false, clock::duration(0), clock_.now()};
}

void engine_connections::Return(const endpoint_id& engine, lease used,
                                clock::duration lifetime) {
  if (!used.connection->reusable()) return;
  const auto now = clock_.now();
  idle_[engine].push_back(
      {std::move(used.connection), now, now + lifetime, used.opened_at});
}

bool engine_connections::WasNotAcceptedSince(const endpoint_id& engine,
                                             clock::time_point since) const {
  const auto found = not_accepted_.find(engine);
  return found != not_accepted_.end() && found->second >= since;
}

void engine_connections::CloseExpired() {
  const auto now = clock_.now();
  for (auto it = not_accepted_.begin(); it != not_accepted_.end();) {
    it = now - it->second > kNotAcceptedRetention ? not_accepted_.erase(it)
                                                  : std::next(it);
  }
  for (auto& [engine, idle] : idle_) {
    idle.erase(std::remove_if(idle.begin(), idle.end(),
                              [now](const idle_connection& entry) {
                                return now >= entry.expires;
                              }),
               idle.end());
  }
}

}  // namespace bluebell::edge
