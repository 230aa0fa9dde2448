#include "serving/active_hosts.h"

#include <xxhash.h>

#include <algorithm>

namespace bluebell::serving {
namespace {

// Active hosts of a zone; callers also lose fewer connections to a failed host
// if there are many.
constexpr std::size_t kMinActiveHosts = 12;
// Processor share of the active hosts of a zone, thousandths of a core.
constexpr int kMinActiveCapacity = 4000;

}  // namespace

std::tuple<int, std::uint64_t, host_id> RankKey(const host_id& host,
                                                int capacity) {
  return {-capacity, XXH64(host.value().data(), host.value().size(), 0), host};
}

std::set<host_id> SelectActive(const std::vector<ranked_host>& candidates) {
  std::vector<decltype(RankKey({}, 0))> ranking;
  ranking.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    ranking.push_back(RankKey(candidate.host, candidate.capacity));
  }
  std::sort(ranking.begin(), ranking.end());
  std::set<host_id> active;
  int capacity = 0;
  for (const auto& [negative_capacity, hash, host] : ranking) {
    if (active.size() >= kMinActiveHosts && capacity >= kMinActiveCapacity) {
      break;
    }
    active.insert(host);
    capacity -= negative_capacity;
  }
  return active;
}

}  // namespace bluebell::serving
