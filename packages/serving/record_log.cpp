#include "serving/record_log.h"

#include <algorithm>
#include <set>
#include <utility>

namespace bluebell::serving {

void record_log::Update(const store_version& version,
                        const std::vector<engine_record>& listed,
                        bool keep_missing) {
  version_ = version;
  std::set<endpoint_id> present;
  std::set<std::string> addresses;
  for (auto record : listed) {
    present.insert(record.id);
    addresses.insert(record.address);
    auto [found, added] = entries_.try_emplace(record.id);
    auto& entry = found->second;
    const bool same_process =
        record.started_ms != 0 && record.started_ms == entry.record.started_ms;
    if (same_process && entry.record.leaving) record.leaving = true;
    entry.listed_at = version;
    if (!added && !entry.removed && entry.record == record) continue;
    entry.record = std::move(record);
    entry.removed = false;
    entry.sequence = ++end_;
  }
  for (auto& [id, entry] : entries_) {
    if (entry.removed || present.count(id)) continue;
    // A record is dropped if another endpoint uses its address now.
    if (keep_missing && !addresses.count(entry.record.address)) continue;
    entry.removed = true;
    entry.sequence = ++end_;
  }
}

std::map<endpoint_id, store_version> record_log::Kept() const {
  std::map<endpoint_id, store_version> kept;
  for (const auto& [id, entry] : entries_) {
    if (!entry.removed && entry.listed_at < version_) {
      kept[id] = entry.listed_at;
    }
  }
  return kept;
}

record_delta record_log::Since(std::uint64_t from, std::size_t limit) const {
  record_delta delta;
  delta.log = id_;
  delta.from = from > end_ ? 0 : from;
  delta.end = end_;
  delta.version = version_;
  delta.kept = Kept();
  std::vector<const entry*> later;
  for (const auto& [id, entry] : entries_) {
    if (entry.sequence > delta.from) later.push_back(&entry);
  }
  std::sort(later.begin(), later.end(),
            [](auto* a, auto* b) { return a->sequence < b->sequence; });
  delta.to = later.size() <= limit ? end_ : later[limit - 1]->sequence;
  for (const auto* entry : later) {
    if (entry->sequence > delta.to) break;
    if (entry->removed) {
      delta.removed.push_back(entry->record.id);
    } else {
      delta.changed.push_back(entry->record);
    }
  }
  return delta;
}

std::vector<engine_record> record_log::Records() const {
  std::vector<engine_record> records;
  for (const auto& [id, entry] : entries_) {
    if (!entry.removed) records.push_back(entry.record);
  }
  return records;
}

bool record_follower::Apply(const record_delta& delta) {
  const bool restarts =
      delta.from == 0 && (delta.log != log_ || position_ == 0);
  if (restarts) {
    records_.clear();
    log_ = delta.log;
    position_ = 0;
  } else if (delta.log != log_ || delta.from > position_ ||
             delta.to < position_) {
    return false;
  }
  for (const auto& record : delta.changed) records_[record.id] = record;
  for (const auto& id : delta.removed) records_.erase(id);
  position_ = delta.to;
  return position_ == delta.end;
}

std::uint64_t record_follower::PositionIn(const std::string& log) const {
  return log == log_ ? position_ : 0;
}

std::vector<engine_record> record_follower::Records() const {
  std::vector<engine_record> records;
  for (const auto& [id, record] : records_) records.push_back(record);
  return records;
}

}  // namespace bluebell::serving
