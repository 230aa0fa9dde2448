#include "serving/engine_view.h"

#include <utility>

namespace bluebell::serving {

void engine_view::Apply(const store_version& version,
                        std::vector<engine_record> records,
                        const std::map<endpoint_id, store_version>& kept) {
  if (version < version_) return;
  std::map<endpoint_id, engine_record> merged;
  for (auto& record : records) {
    const auto unlisted = kept.find(record.id);
    if (unlisted != kept.end() && unlisted->second < version_) {
      // This host has seen a later listing, with or without the endpoint.
      const auto own = records_.find(record.id);
      if (own == records_.end()) continue;
      record = own->second;
    }
    if (record.leaving && record.started_ms != 0) {
      leaving_[record.id] = record.started_ms;
    }
    if (IsLeaving(record)) record.leaving = true;
    merged[record.id] = std::move(record);
  }
  for (const auto& [id, record] : records_) {
    if (record.started_ms == 0 && merged.count(id) == 0) leaving_.erase(id);
  }
  records_ = std::move(merged);
  version_ = version;
}

void engine_view::Confirm(const store_version& version) {
  if (version_ < version) version_ = version;
}

bool engine_view::OnLeaving(const endpoint_id& endpoint) {
  const auto found = records_.find(endpoint);
  if (found == records_.end() || found->second.leaving) return false;
  found->second.leaving = true;
  leaving_[endpoint] = found->second.started_ms;
  return true;
}

std::vector<engine_record> engine_view::Records() const {
  std::vector<engine_record> records;
  for (const auto& [id, record] : records_) records.push_back(record);
  return records;
}

bool engine_view::IsLeaving(const engine_record& record) const {
  const auto found = leaving_.find(record.id);
  return found != leaving_.end() && found->second == record.started_ms;
}

}  // namespace bluebell::serving
