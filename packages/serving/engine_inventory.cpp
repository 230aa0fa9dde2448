#include "serving/engine_inventory.h"

#include <limits>

namespace bluebell::serving {
namespace {

const model_spec* FindModel(const engine_spec& spec, const model_id& id) {
  for (const auto& model : spec.models) {
    if (model.id == id) return &model;
  }
  return nullptr;
}

}  // namespace

void engine_inventory::OnReport(const engine_report& report) {
  if (report.order_count < order_count_) return;
  order_count_ = report.order_count;
  resident_ = report.resident;
  in_memory_ = report.in_memory;
  on_disk_ = report.on_disk;
  busy_ = report.busy;
  known_ = true;
}

void engine_inventory::OnAccepted(const placement_order& order, bool done) {
  ++order_count_;
  const bool is_model = order.adapter.value().empty();
  if (order.kind == order_kind::kLoad) {
    auto& adapters = resident_[order.model];
    if (!is_model) adapters.insert(order.adapter);
    busy_ = is_model && !done;
    return;
  }
  if (!done) {
    busy_ = true;
    return;
  }
  if (is_model) {
    resident_.erase(order.model);
  } else if (const auto model = resident_.find(order.model);
             model != resident_.end()) {
    model->second.erase(order.adapter);
  }
}

int engine_inventory::adapters() const {
  int count = 0;
  for (const auto& [model, adapters] : resident_) {
    count += static_cast<int>(adapters.size());
  }
  return count;
}

double engine_inventory::UsedMb(const engine_spec& spec) const {
  double used = 0;
  for (const auto& [id, adapters] : resident_) {
    const auto* model = FindModel(spec, id);
    // The size of a model that is not in the configuration is unknown.
    if (model == nullptr) return std::numeric_limits<double>::infinity();
    used += model->weights_mb +
            model->adapter_mb * static_cast<double>(adapters.size());
  }
  return used;
}

bool engine_inventory::HasRoom(const placement_order& order,
                               const engine_spec& spec) const {
  if (order.kind == order_kind::kUnload) return true;
  const auto* model = FindModel(spec, order.model);
  if (model == nullptr) return false;
  if (order.adapter.value().empty()) {
    return UsedMb(spec) + model->weights_mb <= spec.weights_mb;
  }
  return resident_.count(order.model) && adapters() < spec.adapter_slots &&
         UsedMb(spec) + model->adapter_mb <= spec.weights_mb;
}

}  // namespace bluebell::serving
