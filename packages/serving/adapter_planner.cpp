#include "serving/adapter_planner.h"

#include <algorithm>

namespace bluebell::serving {

std::optional<placement_order> PlanAdapter(
    const std::vector<adapter_candidate>& candidates, const model_id& model,
    const adapter_id& adapter, double adapter_mb, const adapter_rate& rate) {
  const adapter_candidate* roomy = nullptr;
  int most_free = 0;
  std::optional<placement_order> eviction;
  double least_missed = 0;
  for (const auto& engine : candidates) {
    const auto held = engine.resident.find(model);
    if (held == engine.resident.end()) continue;
    if (held->second.count(adapter)) return std::nullopt;
    int taken = 0;
    for (const auto& [id, adapters] : engine.resident) {
      taken += static_cast<int>(adapters.size());
      for (const auto& other : adapters) {
        const double missed = rate(id, other);
        if (eviction && missed >= least_missed) continue;
        eviction =
            placement_order{order_kind::kUnload,  engine.id, id, other, false,
                            rate(model, adapter), missed};
        least_missed = missed;
      }
    }
    const int free = engine.adapter_slots - taken;
    if (free > most_free && engine.free_mb >= adapter_mb) {
      roomy = &engine;
      most_free = free;
    }
  }
  if (roomy == nullptr) return eviction;
  return placement_order{order_kind::kLoad,    roomy->id, model, adapter, false,
                         rate(model, adapter), 0};
}

}  // namespace bluebell::serving
