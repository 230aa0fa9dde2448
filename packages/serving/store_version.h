#pragma once

#include <cstdint>
#include <tuple>

namespace bluebell::serving {

/// Position of a read or a write in the history of the store. Versions are
/// ordered by era, then by revision: a store that is restored from an older
/// copy has a higher era and assigns revisions again.
struct store_version {
  std::uint64_t era = 0;
  std::uint64_t revision = 0;

  friend bool operator<(const store_version& a, const store_version& b) {
    return std::tie(a.era, a.revision) < std::tie(b.era, b.revision);
  }
  friend bool operator==(const store_version& a, const store_version& b) {
    return a.era == b.era && a.revision == b.revision;
  }
};

}  // namespace bluebell::serving
