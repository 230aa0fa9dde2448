#include "serving/zone_evacuations.h"

#include <algorithm>
#include <utility>

namespace bluebell::serving {
namespace {

// Part of the bound for which the process may not run before its list becomes
// unknown; the rest is enough for a read after a shorter pause.
constexpr int kPauseDivisor = 2;
// Pauses below this are usual on a busy machine.
constexpr std::chrono::seconds kMinPause{1};

}  // namespace

zone_evacuations::zone_evacuations(const clock& source,
                                   std::optional<clock::duration> bound)
    : clock_(source),
      bound_(bound),
      running_at_(source.now()),
      resumed_at_(running_at_) {}

clock::duration zone_evacuations::MaxPause() const {
  return std::max<clock::duration>(*bound_ / kPauseDivisor, kMinPause);
}

bool zone_evacuations::known() const {
  if (!bound_) return true;
  return read_at_ && *read_at_ >= resumed_at_ &&
         clock_.now() - running_at_ <= MaxPause();
}

bool zone_evacuations::IsEvacuated(const zone_id& zone) const {
  if (!bound_) return false;
  // An entry without a name does not stand for engines without a zone.
  return !known() || (!zone.value().empty() && zones_.count(zone) > 0);
}

bool zone_evacuations::OnListed(std::set<zone_id> zones,
                                clock::time_point read_at) {
  if (!bound_ || read_at < resumed_at_ || (read_at_ && read_at < *read_at_)) {
    return false;
  }
  const bool was_known = known();
  read_at_ = read_at;
  const bool changed = zones != zones_;
  zones_ = std::move(zones);
  return changed || known() != was_known;
}

bool zone_evacuations::OnRunning() {
  const auto now = clock_.now();
  const bool paused = bound_ && now - running_at_ > MaxPause();
  running_at_ = now;
  if (paused) resumed_at_ = now;
  return paused;
}

std::vector<zone_change> zone_evacuations::TakeChanges(
    const std::set<zone_id>& listed) {
  std::vector<zone_change> changes;
  for (const auto& zone : zones_) {
    if (reported_.count(zone)) continue;
    if (!zone.value().empty() && listed.count(zone)) {
      reported_.insert(zone);
      changes.push_back({zone, zone_change_kind::kEvacuated});
    } else if (ignored_.insert(zone).second) {
      changes.push_back({zone, zone_change_kind::kIgnored});
    }
  }
  for (auto zone = reported_.begin(); zone != reported_.end();) {
    if (zones_.count(*zone)) {
      ++zone;
      continue;
    }
    changes.push_back({*zone, zone_change_kind::kReturned});
    zone = reported_.erase(zone);
  }
  for (auto zone = ignored_.begin(); zone != ignored_.end();) {
    zone = zones_.count(*zone) ? std::next(zone) : ignored_.erase(zone);
  }
  return changes;
}

}  // namespace bluebell::serving
