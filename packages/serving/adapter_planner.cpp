#include "serving/adapter_planner.h"

#include <algorithm>

namespace bluebell::serving {
namespace {

// Minimum requests per second assumed for every adapter, so that of two unused
// adapters the one at the faster engine is unloaded.
constexpr double kMinRate = 0.01;

}  // namespace

std::optional<placement_order> PlanAdapter(
    const std::vector<adapter_candidate>& candidates, const model_id& model,
    const adapter_id& adapter, double adapter_mb, const adapter_rate& rate) {
  const adapter_candidate* with_free_slot = nullptr;
  double most_free_slots = 0;
  std::optional<placement_order> eviction;
  double lowest_demand = 0;
  for (const auto& engine : candidates) {
    const auto resident_model = engine.resident.find(model);
    if (resident_model == engine.resident.end()) continue;
    if (resident_model->second.count(adapter)) return std::nullopt;
    int used_slots = 0;
    for (const auto& [id, adapters] : engine.resident) {
      used_slots += static_cast<int>(adapters.size());
      for (const auto& other : adapters) {
        const double weighted_demand =
            std::max(kMinRate, rate(id, other)) * engine.step_time_ratio;
        if (eviction && weighted_demand >= lowest_demand) continue;
        auto& order = eviction.emplace();
        order.kind = order_kind::kUnload;
        order.engine = engine.id;
        order.model = id;
        order.adapter = other;
        order.demand_per_copy = rate(model, adapter);
        order.displaced_per_copy = weighted_demand;
        lowest_demand = weighted_demand;
      }
    }
    const double free_slots =
        (engine.adapter_slots - used_slots) / engine.step_time_ratio;
    if (free_slots > most_free_slots && engine.free_mb >= adapter_mb) {
      with_free_slot = &engine;
      most_free_slots = free_slots;
    }
  }
  if (with_free_slot == nullptr) return eviction;
  return placement_order{order_kind::kLoad,
                         with_free_slot->id,
                         model,
                         adapter,
                         false,
                         rate(model, adapter),
                         0};
}

}  // namespace bluebell::serving
