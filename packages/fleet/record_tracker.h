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

/// The host records as this host saw them, and since when each incarnation has
/// not renewed its lease.
class record_tracker {
 public:
  struct entry {
    revision version;
    /// Empty if the object cannot be read.
    std::optional<host_record> record;
    /// When this version was first seen.
    clock::time_point seen;
  };

  /// Takes in a complete list of the records, requested at `sent` and received
  /// at `now`. A list that was requested earlier than the last one is ignored.
  void Update(const std::vector<store::object>& items, clock::time_point sent,
              clock::time_point now);

  const std::map<host_id, entry>& entries() const { return entries_; }
  const entry* Find(const host_id& host) const;
  /// When the newest list was requested; empty before the first.
  std::optional<clock::time_point> updated() const { return updated_; }
  /// Since when no renewal by that incarnation took effect; empty before the
  /// first list.
  std::optional<clock::time_point> SilentSince(
      const host_id& host, const incarnation_id& incarnation) const;

 private:
  using term = std::pair<host_id, incarnation_id>;

  std::map<host_id, entry> entries_;
  std::map<term, clock::time_point> renewed_;
  std::optional<clock::time_point> first_;
  std::optional<clock::time_point> updated_;
};

}  // namespace bluebell::fleet
