#include "serving/copy_planner.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Part of the lasting demand that counts beside the recent one: models that
// were asked for a while ago are likely to be asked for again.
constexpr double kLastingWeight = 0.3;
// A model nobody asked for keeps this demand, so that it is placed at all.
constexpr double kLeastDemand = 0.001;
// A copy makes way only if the new one is this many times as busy.
constexpr double kSwapGain = 2.0;
// Copies of a model that nobody asks for.
constexpr int kLeastCopies = 2;

struct model_state {
  const model_spec* spec = nullptr;
  double demand = 0;
  int copies = 0;
  int wanted = 1;
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
                                kLastingWeight * demand->second.lasting);
      }
      model.demand = std::max(model.demand, kLeastDemand);
      model.wanted = std::max(kLeastCopies,
                              static_cast<int>(std::ceil(
                                  model.demand / input.comfortable_per_copy)));
      if (demand != input.demand.end() && input.adapter_slots > 0) {
        const int for_adapters =
            (demand->second.adapters + input.adapter_slots - 1) /
            input.adapter_slots;
        model.wanted = std::max(model.wanted, for_adapters);
      }
    }
    for (const auto& engine : input.engines) {
      for (const auto& [model, adapters] : engine.resident) AddCopy(model, 1);
      if (engine.loading) AddCopy(*engine.loading, 1);
      used_.push_back(false);
    }
  }

  std::vector<placement_order> Run() {
    for (const auto& id : ByNeed()) PlaceCopies(models_.at(id));
    return std::move(orders_);
  }

 private:
  void AddCopy(const model_id& id, int change) {
    const auto found = models_.find(id);
    if (found != models_.end()) found->second.copies += change;
  }

  // Models without a copy first, then by demand per copy.
  std::vector<model_id> ByNeed() const {
    std::vector<model_id> ids;
    for (const auto& [id, model] : models_) {
      if (model.copies < model.wanted + Spare(model)) ids.push_back(id);
    }
    std::sort(ids.begin(), ids.end(), [this](const auto& a, const auto& b) {
      return PerCopy(models_.at(a), 0) > PerCopy(models_.at(b), 0);
    });
    return ids;
  }

  // One copy beyond the demand may use room that is free anyway.
  static int Spare(const model_state& model) {
    return model.demand > kLeastDemand ? 1 : 0;
  }

  // Demand per copy after `change` copies; without a copy it is unbounded.
  static double PerCopy(const model_state& model, int change) {
    const int copies = model.copies + change;
    constexpr double kNoCopy = 1e9;
    return copies <= 0 ? kNoCopy + model.demand : model.demand / copies;
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
      // A model that the configuration no longer names has an unknown size.
      if (model == models_.end()) return 0;
      used += model->second.spec->weights_mb;
      used +=
          model->second.spec->adapter_mb * static_cast<double>(adapters.size());
    }
    return engine.weights_mb - used;
  }

  void PlaceCopies(model_state& model) {
    while (model.copies < model.wanted + Spare(model)) {
      const bool is_spare = model.copies >= model.wanted;
      if (!PlaceOne(model, is_spare)) return;
    }
  }

  // Gives one order that brings the model closer to another copy: the load
  // where there is room, else the unload of what is missed least.
  bool PlaceOne(model_state& model, bool is_spare) {
    double best_cost = 0;
    int best = -1;
    std::optional<model_id> best_victim;
    double best_victim_load = 0;
    for (std::size_t i = 0; i < input_.engines.size(); ++i) {
      const auto& engine = input_.engines[i];
      const auto& id = model.spec->id;
      if (used_[i] || engine.busy || engine.resident.count(id)) continue;
      const bool from_store = FromStore(engine, id);
      double cost = LoadSeconds(engine, *model.spec);
      const double free = FreeMb(engine);
      std::optional<model_id> victim;
      double victim_load = 0;
      if (free < model.spec->weights_mb) {
        if (is_spare) continue;
        victim = Victim(engine, model, model.spec->weights_mb - free);
        if (!victim) continue;
        victim_load = PerCopy(models_.at(*victim), -1);
        cost += 1 + victim_load;
      }
      if (from_store && store_loads_ <= 0) continue;
      if (best < 0 || cost < best_cost) {
        best = static_cast<int>(i);
        best_cost = cost;
        best_victim = victim;
        best_victim_load = victim_load;
      }
    }
    if (best < 0) return false;
    const auto& engine = input_.engines[best];
    const bool from_store = FromStore(engine, model.spec->id);
    const double need = PerCopy(model, 0);
    used_[best] = true;
    if (from_store) --store_loads_;
    if (best_victim) {
      orders_.push_back({order_kind::kUnload,
                         engine.id,
                         *best_victim,
                         {},
                         false,
                         need,
                         best_victim_load});
      AddCopy(*best_victim, -1);
    } else {
      orders_.push_back({order_kind::kLoad,
                         engine.id,
                         model.spec->id,
                         {},
                         from_store,
                         need,
                         0});
    }
    ++model.copies;
    return true;
  }

  // The model whose copy on `engine` is missed least, if it may make way and
  // the engine's models can free `missing_mb` in total.
  std::optional<model_id> Victim(const planned_engine& engine,
                                 const model_state& wanted,
                                 double missing_mb) const {
    std::optional<model_id> victim;
    double least = 0;
    double movable_mb = 0;
    for (const auto& [id, adapters] : engine.resident) {
      const auto found = models_.find(id);
      if (found == models_.end()) return id;
      const auto& model = found->second;
      const bool urgent = PerCopy(wanted, 0) > input_.comfortable_per_copy;
      if (model.copies < 2 || (model.copies <= kLeastCopies && !urgent)) {
        continue;
      }
      const double load = PerCopy(model, -1);
      if (load * kSwapGain > PerCopy(wanted, 1) && wanted.copies > 0) continue;
      movable_mb += model.spec->weights_mb;
      if (!victim || load < least) {
        victim = id;
        least = load;
      }
    }
    if (movable_mb < missing_mb) return std::nullopt;
    return victim;
  }

  const planner_input& input_;
  int store_loads_;
  std::map<model_id, model_state> models_;
  std::vector<bool> used_;
  std::vector<placement_order> orders_;
};

}  // namespace

std::vector<placement_order> PlanCopies(const planner_input& input) {
  return planner(input).Run();
}

}  // namespace bluebell::serving
