#pragma once

#include <optional>
#include <set>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::serving {

enum class zone_change_kind {
  kEvacuated,
  kReturned,
  /// The entry names no zone in which an engine is listed.
  kIgnored,
};

/// A change of the evacuated zones, for the log.
struct zone_change {
  zone_id zone;
  zone_change_kind kind = zone_change_kind::kEvacuated;
};

/// The zones whose engines get no requests, as listed in the store.
///
/// A list stays in force until a later one is read, however long the store is
/// unavailable. It becomes unknown if the process did not run for a while:
/// zones may have been evacuated meanwhile. While no list is known, every zone
/// counts as evacuated.
///
/// Workload: zones are evacuated and return while hosts start, are suspended
/// or lose the store.
class zone_evacuations {
 public:
  /// `bound`: time within which an evacuation takes effect; none: the
  /// deployment has no evacuations.
  zone_evacuations(const clock& source, std::optional<clock::duration> bound);

  bool enabled() const { return bound_.has_value(); }
  /// Whether the evacuated zones are known; always, if there are none by the
  /// settings.
  bool known() const;
  bool IsEvacuated(const zone_id& zone) const;
  /// Zones of the latest list.
  const std::set<zone_id>& zones() const { return zones_; }

  /// Applies a list whose read was sent at `read_at`. Lists that are older than
  /// the latest one are ignored. Returns whether `known` or `zones` changed.
  bool OnListed(std::set<zone_id> zones, clock::time_point read_at);
  /// Must be called several times a second. Returns whether the process did not
  /// run for so long that the list became unknown.
  bool OnRunning();

  /// Changes since the last call; `listed` are the zones of the engines. A zone
  /// that is ignored is reported once, and again as evacuated if an engine of
  /// it appears.
  std::vector<zone_change> TakeChanges(const std::set<zone_id>& listed);
  /// Number of zones that were reported as evacuated and have not returned.
  std::size_t reported_count() const { return reported_.size(); }

 private:
  clock::duration MaxPause() const;

  const clock& clock_;
  std::optional<clock::duration> bound_;
  std::set<zone_id> zones_;
  /// When the read of the latest list was sent.
  std::optional<clock::time_point> read_at_;
  clock::time_point running_at_;
  /// Lists read before do not count, because the process did not run.
  clock::time_point resumed_at_;
  std::set<zone_id> reported_;
  std::set<zone_id> ignored_;
};

}  // namespace bluebell::serving
