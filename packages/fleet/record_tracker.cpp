#include "fleet/record_tracker.h"

#include <algorithm>
#include <string>

namespace bluebell::fleet {
namespace {

constexpr std::size_t kPrefixSize = sizeof(kHostPrefix) - 1;
// Longer than any reclaim window; an incarnation that was forgotten counts as
// silent since the first list.
constexpr clock::duration kTermRetention = std::chrono::hours(1);

}  // namespace

// A version counts as seen when the answer arrived, which is after its write
// took effect; the list vouches for absence only up to its request.
void record_tracker::Update(const std::vector<store::object>& items,
                            clock::time_point sent, clock::time_point now) {
  if (updated_ && sent <= *updated_) return;
  updated_ = sent;
  if (!first_) first_ = now;
  std::map<host_id, entry> present;
  for (const auto& item : items) {
    const host_id host(item.name.substr(kPrefixSize));
    const auto known = entries_.find(host);
    if (known != entries_.end() && known->second.version == item.version) {
      present.insert(std::move(*known));
      continue;
    }
    entry added{item.version, std::nullopt, now};
    if (auto record = ParseRecord(item.value)) {
      renewed_[{host, record->incarnation}] = now;
      added.record = std::move(*record);
    }
    present.emplace(host, std::move(added));
  }
  entries_ = std::move(present);
  for (auto next = renewed_.begin(); next != renewed_.end();) {
    const auto term = next++;
    if (now - term->second > kTermRetention) renewed_.erase(term);
  }
}

const record_tracker::entry* record_tracker::Find(const host_id& host) const {
  const auto found = entries_.find(host);
  return found == entries_.end() ? nullptr : &found->second;
}

std::optional<clock::time_point> record_tracker::SilentSince(
    const host_id& host, const incarnation_id& incarnation) const {
  if (!first_) return std::nullopt;
  auto since = *first_;
  const auto found = renewed_.find({host, incarnation});
  if (found != renewed_.end()) since = std::max(since, found->second);
  const auto* const present = Find(host);
  // An object that cannot be read may be a renewal.
  if (present && !present->record) since = std::max(since, present->seen);
  return since;
}

}  // namespace bluebell::fleet
