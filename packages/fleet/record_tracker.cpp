#include "fleet/record_tracker.h"

#include <algorithm>
#include <string>

namespace bluebell::fleet {
namespace {

constexpr std::size_t kPrefixSize = sizeof(kHostPrefix) - 1;
// Longer than any reclaim window; an incarnation without an entry counts as not
// renewed since the first list.
constexpr clock::duration kTermRetention = std::chrono::hours(1);

}  // namespace

// A new version is dated at the arrival of the answer, which is after its write
// took effect. The list proves the absence of a newer write only up to its
// request.
void record_tracker::Update(const std::vector<store::object>& items,
                            clock::time_point sent, clock::time_point now) {
  if (last_update_sent_ && sent <= *last_update_sent_) return;
  last_update_sent_ = sent;
  if (!first_update_) first_update_ = now;
  std::map<host_id, entry> current;
  for (const auto& item : items) {
    const host_id host(item.name.substr(kPrefixSize));
    const auto known = entries_.find(host);
    if (known != entries_.end() && known->second.version == item.version) {
      current.insert(std::move(*known));
      continue;
    }
    entry added{item.version, std::nullopt, now};
    if (auto record = ParseRecord(item.value)) {
      last_renewals_[{host, record->incarnation}] = now;
      added.record = std::move(*record);
    }
    current.emplace(host, std::move(added));
  }
  entries_ = std::move(current);
  for (auto next = last_renewals_.begin(); next != last_renewals_.end();) {
    const auto term = next++;
    if (now - term->second > kTermRetention) last_renewals_.erase(term);
  }
}

const record_tracker::entry* record_tracker::Find(const host_id& host) const {
  const auto found = entries_.find(host);
  return found == entries_.end() ? nullptr : &found->second;
}

std::optional<clock::time_point> record_tracker::UnrenewedSince(
    const host_id& host, const incarnation_id& incarnation) const {
  if (!first_update_) return std::nullopt;
  auto since = *first_update_;
  const auto found = last_renewals_.find({host, incarnation});
  if (found != last_renewals_.end()) since = std::max(since, found->second);
  const auto* const current = Find(host);
  // An unreadable record may be a renewal.
  if (current && !current->record) since = std::max(since, current->first_seen);
  return since;
}

}  // namespace bluebell::fleet
