#include "standins/engine_memory.h"

#include <algorithm>

namespace bluebell::standins {

engine_memory::engine_memory(clock& time, std::int64_t total, order_times times)
    : time_(time), total_(total), times_(times) {}

engine_memory::item& engine_memory::Add(const model_size& model, bool adapter) {
  auto& added = items_[model.name];
  added.bytes = model.bytes;
  added.adapter = adapter;
  used_ += model.bytes;
  peak_ = std::max(peak_, used_);
  if (used_ > total_) ++overcommits_;
  return added;
}

void engine_memory::Preload(const model_size& model) {
  if (items_.count(model.name) != 0) return;
  Add(model, false).state = residency::kReady;
}

void engine_memory::Load(const model_size& model, bool adapter) {
  if (items_.count(model.name) != 0) return;
  ++loads_;
  auto& added = Add(model, adapter);
  const auto duration = adapter ? times_.adapter_load : times_.model_load;
  added.change =
      time_.CallAfter(duration, [&added] { added.state = residency::kReady; });
}

void engine_memory::Unload(const std::string& name) {
  const auto found = items_.find(name);
  if (found == items_.end() || found->second.state == residency::kLeaving) {
    return;
  }
  found->second.state = residency::kLeaving;
  if (found->second.users == 0) StartUnload(name);
}

void engine_memory::StartUnload(const std::string& name) {
  items_.at(name).change = time_.CallAfter(times_.unload, [this, name] {
    const auto gone = items_.extract(name);
    used_ -= gone.mapped().bytes;
    ++unloads_;
  });
}

bool engine_memory::Serves(const std::string& name) const {
  const auto found = items_.find(name);
  return found != items_.end() && found->second.state == residency::kReady;
}

void engine_memory::AddUser(const std::string& name) {
  ++items_.at(name).users;
}

void engine_memory::RemoveUser(const std::string& name) {
  auto& used = items_.at(name);
  if (--used.users == 0 && used.state == residency::kLeaving) StartUnload(name);
}

std::vector<std::string> engine_memory::Ready(bool adapter) const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : items_) {
    if (entry.state == residency::kReady && entry.adapter == adapter) {
      names.push_back(name);
    }
  }
  return names;
}

std::vector<std::string> engine_memory::Loading() const {
  std::vector<std::string> names;
  for (const auto& [name, entry] : items_) {
    if (entry.state == residency::kLoading) names.push_back(name);
  }
  return names;
}

}  // namespace bluebell::standins
