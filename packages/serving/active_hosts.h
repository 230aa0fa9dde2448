#pragma once

#include <cstdint>
#include <set>
#include <string>
#include <tuple>
#include <vector>

#include "base/ids.h"

namespace bluebell::serving {

/// A host as it registers itself in the store.
struct host_entry {
  host_id host;
  /// Address at which it receives digests, `IPv4:port`.
  std::string digest_address;
  zone_id zone;
  /// CPU share, thousandths of a core.
  int capacity = 0;

  bool operator==(const host_entry& other) const {
    return host == other.host && digest_address == other.digest_address &&
           zone == other.zone && capacity == other.capacity;
  }
};

/// Sort key of the host ranking: by descending capacity, then by hash, so that
/// the first hosts are not all in one zone.
std::tuple<int, std::uint64_t, host_id> RankKey(const host_id& host,
                                                int capacity);

struct ranked_host {
  host_id host;
  /// CPU share, thousandths of a core.
  int capacity = 0;
};

/// Selects the hosts of one zone that serve callers; the others stand by. The
/// selection is the shortest prefix of the ranking with enough hosts and
/// processor share, so that every host that knows the same candidates selects
/// the same ones, and the loss of one host adds only the next in rank.
///
/// Load pattern: hundreds of hosts of unequal strength serve a load that a few
/// dozen can carry. Exchanging state between all pairs would cost more than the
/// requests, and divide quotas and retry budgets into shares too small to use.
std::set<host_id> SelectActive(const std::vector<ranked_host>& candidates);

}  // namespace bluebell::serving
