#pragma once

#include <map>
#include <optional>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "fleet/host_record.h"
#include "store/object_store.h"

namespace bluebell::fleet {

/// Caches the host records and tracks since when each incarnation has not
/// renewed its lease.
class record_tracker {
 public:
  struct entry {
    revision version;
    /// Empty if the object cannot be read.
    std::optional<host_record> record;
    /// When this version was first seen.
    clock::time_point first_seen;
  };

  /// Applies a complete list of the records, requested at `sent` and received
  /// at `now`. A list requested no later than the last applied one is ignored.
  void Update(const std::vector<store::object>& items, clock::time_point sent,
              clock::time_point now);

  const std::map<host_id, entry>& entries() const { return entries_; }
  const entry* Find(const host_id& host) const;
  /// Request time of the last applied list; empty before the first.
  std::optional<clock::time_point> last_update_sent() const {
    return last_update_sent_;
  }
  /// Time since which no renewal by `incarnation` took effect; empty before the
  /// first list.
  std::optional<clock::time_point> UnrenewedSince(
      const host_id& host, const incarnation_id& incarnation) const;

 private:
  using term = std::pair<host_id, incarnation_id>;

  std::map<host_id, entry> entries_;
  std::map<term, clock::time_point> last_renewals_;
  std::optional<clock::time_point> first_update_;
  std::optional<clock::time_point> last_update_sent_;
};

}  // namespace bluebell::fleet
