#include "serving/copy_planner.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Weight of the sustained demand relative to the recent one: models that were
// requested a while ago are likely to be requested again.
constexpr double kSustainedWeight = 0.3;
// Requests per second assumed for an unused model, so that it is placed at
// all.
constexpr double kMinDemand = 0.001;
// A copy is evicted only if the new one has this many times its demand.
constexpr double kMinSwapRatio = 2.0;
// Copies of an unused model.
constexpr int kMinCopies = 2;
// Requests per second below which a model counts as idle; its last copy may
// then be evicted for a model that cannot be served otherwise.
constexpr double kIdleDemand = 0.02;
// Penalty in seconds of load time for evicting a last copy; above that of any
// other idle copy.
constexpr double kLastCopyPenaltySeconds = 60;
// Prompts and pauses delay the requests queued behind them, so the load that an
// engine serves without queueing falls faster than its speed.
constexpr double kCapacityExponent = 1.5;
constexpr double kMinRelativeCapacity = 0.1;
// Requests per second above which a model must not be at slow engines only.
constexpr double kBusyDemand = 1;
// Penalty in seconds of load time per unit of step time ratio: a busy model
// is loaded at a fast engine even if loading takes longer there.
constexpr double kStepTimePenaltySeconds = 4;
// Penalties in seconds of load time: for an engine whose other models are at
// the target rate, and, divided by the number of remaining copies, for evicting
// a copy. An idle model loses its fifth copy before its second.
constexpr double kSharedLoadPenaltySeconds = 4;
constexpr double kFewCopiesPenaltySeconds = 5;
// Penalty in seconds of load time for copies that are all in one zone: above
// that of evicting a surplus copy, below that of evicting a last one.
constexpr double kOneZonePenaltySeconds = 20;
// Tolerance for sums of relative capacities, which are rounded fractions.
constexpr double kRoundingTolerance = 1e-6;

struct model_state {
  const model_spec* spec = nullptr;
  double demand = 0;
  int copies = 0;
  /// Number of copies in each zone that has one.
  std::map<zone_id, int> zones;
  /// Sum of the relative capacities of the engines that hold the copies.
  double capacity = 0;
  double wanted_capacity = 0;
};

class planner {
 public:
  explicit planner(const planner_input& input)
      : input_(input), store_loads_(input.store_loads) {
    for (const auto& spec : input.models) {
      auto& model = models_[spec.id];
      model.spec = &spec;
      const auto demand = input.demand.find(spec.id);
      if (demand != input.demand.end()) {
        model.demand = std::max(demand->second.recent,
                                kSustainedWeight * demand->second.sustained);
      }
      model.demand = std::max(model.demand, kMinDemand);
      if (model.demand <= kMinDemand) continue;
      model.wanted_capacity = model.demand / input.target_rate_per_copy;
      if (model.demand > kBusyDemand) {
        model.wanted_capacity = std::max(1.0, std::ceil(model.wanted_capacity));
      }
      if (demand != input.demand.end() && input.adapter_slots > 0) {
        model.wanted_capacity =
            std::max(model.wanted_capacity,
                     std::ceil(static_cast<double>(demand->second.adapters) /
                               input.adapter_slots));
      }
    }
    for (const auto& engine : input.engines) {
      for (const auto& [model, adapters] : engine.resident) {
        AddCopy(model, 1, engine);
      }
      if (engine.loading) AddCopy(*engine.loading, 1, engine);
      reserved_.push_back(false);
    }
  }

  // Plans one copy at a time for the most urgent model, so that the second copy
  // of a rarely used model comes after the first copies of a busy one.
  std::vector<placement_order> Run() {
    std::set<model_id> unplaceable;
    while (true) {
      model_state* most_urgent = nullptr;
      for (auto& [id, model] : models_) {
        if (unplaceable.count(id) ||
            HasEnoughCopies(model, SpareCapacity(model))) {
          continue;
        }
        if (most_urgent == nullptr || Urgency(model) > Urgency(*most_urgent)) {
          most_urgent = &model;
        }
      }
      if (most_urgent == nullptr) return std::move(orders_);
      if (!PlanNextCopy(*most_urgent, HasEnoughCopies(*most_urgent, 0))) {
        unplaceable.insert(most_urgent->spec->id);
      }
    }
  }

 private:
  void AddCopy(const model_id& id, int change, const planned_engine& engine) {
    const auto found = models_.find(id);
    if (found == models_.end()) return;
    if (engine.limit_per_s) {
      const double share = *engine.limit_per_s / engine.resident.size();
      found->second.capacity +=
          change * std::min(engine.RelativeCapacity(),
                            share / input_.target_rate_per_copy);
      return;
    }
    found->second.copies += change;
    auto& in_zone = found->second.zones[engine.zone];
    in_zone += change;
    if (in_zone == 0) found->second.zones.erase(engine.zone);
    found->second.capacity += change * engine.RelativeCapacity();
  }

  // Demand per unit of capacity. A model without a copy precedes all others if
  // it has demand; otherwise it follows the models whose copies are overloaded.
  double Urgency(const model_state& model) const {
    if (model.copies == 0 && model.demand <= kMinDemand) {
      return input_.target_rate_per_copy;
    }
    return DemandPerCapacity(model, 0);
  }

  // A model in use may get one copy beyond its demand in unused memory.
  static double SpareCapacity(const model_state& model) {
    return model.demand > kMinDemand ? 1 : 0;
  }

  static bool HasEnoughCopies(const model_state& model, double spare_capacity) {
    return model.copies >= kMinCopies &&
           model.capacity >=
               model.wanted_capacity + spare_capacity - kRoundingTolerance;
  }

  // Demand per unit of capacity after the capacity has changed by `change`.
  // Above every real value for a model without a copy.
  static double DemandPerCapacity(const model_state& model, double change) {
    const double capacity = model.capacity + change;
    constexpr double kNoCopyDemand = 1e9;
    return capacity <= kRoundingTolerance ? kNoCopyDemand + model.demand
                                          : model.demand / capacity;
  }

  // Penalty in seconds of load time for the engine's step time and the load of
  // its other models. Rarely used models prefer slow engines, which leaves the
  // fast ones free.
  double PlacementPenalty(const model_state& model,
                          const planned_engine& engine) const {
    if (model.demand <= kBusyDemand) return -engine.step_time_ratio;
    double load = 0;
    for (const auto& [id, adapters] : engine.resident) {
      const auto other = models_.find(id);
      if (other == models_.end() ||
          other->second.capacity <= kRoundingTolerance) {
        continue;
      }
      load += other->second.demand * engine.RelativeCapacity() /
              other->second.capacity;
    }
    return kStepTimePenaltySeconds * engine.step_time_ratio +
           kSharedLoadPenaltySeconds * load / input_.target_rate_per_copy;
  }

  // Penalty for another copy of `model` in the only zone that has copies.
  double ZonePenalty(const model_state& model,
                     const planned_engine& engine) const {
    const bool one_zone = input_.spreads_zones && model.zones.size() == 1 &&
                          model.zones.count(engine.zone);
    return one_zone ? kOneZonePenaltySeconds : 0;
  }

  // Penalty for evicting the only copy of `model` outside another zone.
  double LostZonePenalty(const model_state& model,
                         const planned_engine& engine) const {
    const auto in_zone = model.zones.find(engine.zone);
    const bool lost = input_.spreads_zones && model.zones.size() == 2 &&
                      in_zone != model.zones.end() && in_zone->second == 1;
    return lost ? kOneZonePenaltySeconds : 0;
  }

  double LoadSeconds(const planned_engine& engine,
                     const model_spec& spec) const {
    if (engine.in_memory.count(spec.id)) return spec.load_from_memory_s;
    if (engine.on_disk.count(spec.id)) return spec.load_from_disk_s;
    return spec.load_from_store_s;
  }

  static bool FromStore(const planned_engine& engine, const model_id& id) {
    return !engine.in_memory.count(id) && !engine.on_disk.count(id);
  }

  double FreeMb(const planned_engine& engine) const {
    double used = 0;
    for (const auto& [id, adapters] : engine.resident) {
      const auto model = models_.find(id);
      // The size of a model that was removed from the configuration is unknown.
      if (model == models_.end()) return 0;
      used += model->second.spec->weights_mb;
      used +=
          model->second.spec->adapter_mb * static_cast<double>(adapters.size());
    }
    return engine.weights_mb - used;
  }

  // Plans one order towards another copy of the model: a load if an engine has
  // room, otherwise the unload of the copy with the lowest eviction penalty.
  // Returns false if no engine is suitable. While the weight store's rate limit
  // is reached, the engine is only reserved.
  bool PlanNextCopy(model_state& model, bool is_spare) {
    double best_cost = 0;
    int best = -1;
    std::optional<model_id> best_victim;
    double best_victim_penalty = 0;
    for (std::size_t i = 0; i < input_.engines.size(); ++i) {
      const auto& engine = input_.engines[i];
      const auto& id = model.spec->id;
      if (reserved_[i] || engine.busy || engine.limit_per_s ||
          engine.resident.count(id)) {
        continue;
      }
      double cost = LoadSeconds(engine, *model.spec) +
                    PlacementPenalty(model, engine) +
                    ZonePenalty(model, engine);
      const double free = FreeMb(engine);
      std::optional<model_id> victim;
      double victim_penalty = 0;
      if (free < model.spec->weights_mb) {
        if (is_spare) continue;
        victim = SelectVictim(engine, model, model.spec->weights_mb - free);
        if (!victim) continue;
        victim_penalty = EvictionPenalty(*victim, engine);
        cost += 1 + victim_penalty;
      }
      if (best < 0 || cost < best_cost) {
        best = static_cast<int>(i);
        best_cost = cost;
        best_victim = victim;
        best_victim_penalty = victim_penalty;
      }
    }
    if (best < 0) return false;
    const auto& engine = input_.engines[best];
    const bool from_store = FromStore(engine, model.spec->id);
    const double urgency = Urgency(model);
    reserved_[best] = true;
    if (from_store && store_loads_-- <= 0) {
      // Reserved until the weight store allows another load.
    } else if (best_victim) {
      orders_.push_back({order_kind::kUnload,
                         engine.id,
                         *best_victim,
                         {},
                         false,
                         urgency,
                         best_victim_penalty,
                         model.spec->id});
      AddCopy(*best_victim, -1, engine);
    } else {
      orders_.push_back({order_kind::kLoad,
                         engine.id,
                         model.spec->id,
                         {},
                         from_store,
                         urgency,
                         0});
    }
    AddCopy(model.spec->id, 1, engine);
    return true;
  }

  // Whether a copy of `model` may be evicted for `wanted`, as far as the number
  // of its copies decides.
  bool HasCopyToSpare(const model_state& model,
                      const model_state& wanted) const {
    if (model.copies < 2) {
      return model.demand <= kIdleDemand && wanted.copies == 0 &&
             wanted.demand > kIdleDemand;
    }
    const bool urgent =
        DemandPerCapacity(wanted, 0) > input_.target_rate_per_copy ||
        (wanted.capacity < 1 - kRoundingTolerance &&
         wanted.demand > kBusyDemand);
    return model.copies > kMinCopies || urgent;
  }

  // Penalty for evicting the copy of `id` from `engine`: requests per second
  // and remaining copy, plus a term that grows as fewer copies remain. 0 for a
  // model that was removed from the configuration.
  double EvictionPenalty(const model_id& id,
                         const planned_engine& engine) const {
    const auto found = models_.find(id);
    if (found == models_.end()) return 0;
    const auto& model = found->second;
    if (model.copies < 2) return kLastCopyPenaltySeconds + model.demand;
    return DemandPerCapacity(model, -engine.RelativeCapacity()) +
           kFewCopiesPenaltySeconds / (model.copies - 1) +
           LostZonePenalty(model, engine);
  }

  // The evictable model on `engine` with the lowest eviction penalty; none if
  // all evictable models together free less than `missing_mb`.
  std::optional<model_id> SelectVictim(const planned_engine& engine,
                                       const model_state& wanted,
                                       double missing_mb) const {
    std::optional<model_id> victim;
    double lowest_penalty = 0;
    double evictable_mb = 0;
    for (const auto& [id, adapters] : engine.resident) {
      const auto found = models_.find(id);
      if (found == models_.end()) return id;
      const auto& model = found->second;
      if (!HasCopyToSpare(model, wanted)) continue;
      const double load =
          model.copies < 2
              ? model.demand
              : DemandPerCapacity(model, -engine.RelativeCapacity());
      // A model without a copy must not displace a busy one.
      const double wanted_demand =
          wanted.copies > 0
              ? DemandPerCapacity(wanted, engine.RelativeCapacity())
              : std::max(wanted.demand, input_.target_rate_per_copy);
      if (load * kMinSwapRatio > wanted_demand) continue;
      evictable_mb += model.spec->weights_mb;
      const double penalty = EvictionPenalty(id, engine);
      if (!victim || penalty < lowest_penalty) {
        victim = id;
        lowest_penalty = penalty;
      }
    }
    if (evictable_mb < missing_mb) return std::nullopt;
    return victim;
  }

  const planner_input& input_;
  int store_loads_;
  std::map<model_id, model_state> models_;
  std::vector<bool> reserved_;
  std::vector<placement_order> orders_;
};

}  // namespace

double planned_engine::RelativeCapacity() const {
  return std::clamp(std::pow(step_time_ratio, -kCapacityExponent),
                    kMinRelativeCapacity, 1.0);
}

std::vector<placement_order> PlanCopies(const planner_input& input) {
  return planner(input).Run();
}

}  // namespace bluebell::serving
