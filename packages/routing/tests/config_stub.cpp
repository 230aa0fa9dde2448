// Holds rows for the tests of this package until the configuration package
// provides its own snapshot.
#include "config/snapshot.h"

namespace bluebell::config {

bool snapshot::Apply(const stored_row& row) {
  const auto slash = row.name.find('/');
  const std::string table = row.name.substr(0, slash);
  const std::string id = row.name.substr(slash + 1);
  const auto& value = row.value;
  const bool deleted = value.value("deleted", false);
  if (table == "endpoints") {
    endpoints_.erase(endpoint_id(id));
    if (!deleted) {
      endpoint_row parsed;
      parsed.id = endpoint_id(id);
      parsed.address = value.value("address", "127.0.0.1:1");
      parsed.zone = zone_id(value.value("zone", "z"));
      parsed.kind = value.value("kind", "engine") == "service"
                        ? endpoint_kind::kService
                        : endpoint_kind::kEngine;
      parsed.group = value.value("group", "");
      parsed.memory = byte_count(value.value("memory_bytes", 0L));
      parsed.checks_fencing = value.value("checks_fencing", false);
      parsed.max_concurrency = value.value("max_concurrency", 1);
      endpoints_.emplace(parsed.id, parsed);
    }
  } else if (table == "models") {
    models_.erase(model_id(id));
    if (!deleted) {
      models_[model_id(id)] = {model_id(id),
                               byte_count(value.value("memory_bytes", 0L)),
                               value.value("min_copies", 1)};
    }
  } else if (table == "adapters") {
    adapters_.erase(adapter_id(id));
    if (!deleted) {
      adapters_[adapter_id(id)] = {adapter_id(id),
                                   model_id(value.value("model", "")),
                                   byte_count(value.value("memory_bytes", 0L))};
    }
  }
  newest_ = std::max(newest_, row.version);
  for (const auto& listener : listeners_) listener(row);
  return true;
}

void snapshot::Subscribe(std::function<void(const stored_row&)> listener) {
  listeners_.push_back(std::move(listener));
}

const adapter_row* snapshot::FindAdapter(const adapter_id& id) const {
  const auto found = adapters_.find(id);
  return found == adapters_.end() ? nullptr : &found->second;
}

const model_row* snapshot::FindModel(const model_id& id) const {
  const auto found = models_.find(id);
  return found == models_.end() ? nullptr : &found->second;
}

const endpoint_row* snapshot::FindEndpoint(const endpoint_id& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

}  // namespace bluebell::config
