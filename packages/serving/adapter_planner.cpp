#include "serving/adapter_planner.h"

#include <algorithm>

namespace bluebell::serving {
namespace {

// Requests per second that every adapter counts for at least, so that of two
// that nobody asks for the one at the faster engine makes way.
constexpr double kLeastRate = 0.01;

}  // namespace

std::optional<placement_order> PlanAdapter(
    const std::vector<adapter_candidate>& candidates, const model_id& model,
    const adapter_id& adapter, double adapter_mb, const adapter_rate& rate) {
  const adapter_candidate* roomy = nullptr;
  double most_free = 0;
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
        const double missed =
            std::max(kLeastRate, rate(id, other)) * engine.pace;
        if (eviction && missed >= least_missed) continue;
        eviction =
            placement_order{order_kind::kUnload,  engine.id, id, other, false,
                            rate(model, adapter), missed};
        least_missed = missed;
      }
    }
    const double free = (engine.adapter_slots - taken) / engine.pace;
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
