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
// Prompts and pauses queue up behind each other, so the load that an engine
// serves without delay falls faster than its speed.
constexpr double kStrengthExponent = 1.5;
constexpr double kLeastStrength = 0.1;
// Requests per second from which a model is not left at slow engines alone.
constexpr double kBusyDemand = 1;
// Seconds of loading that a typical step's length is worth: a model that is
// asked for is loaded at a fast engine even if that takes longer.
constexpr double kPaceSeconds = 4;
// Seconds of loading that a comfortable load of the engine's other models is
// worth, and that the copies which a victim has left are worth: an idle model
// loses its fifth copy rather than its second.
constexpr double kSharedSeconds = 4;
constexpr double kLastCopySeconds = 5;
// Strengths are sums of rounded fractions.
constexpr double kRounding = 1e-6;

struct model_state {
  const model_spec* spec = nullptr;
  double demand = 0;
  int copies = 0;
  /// Sum of the strengths of the engines that hold the copies.
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
                                kLastingWeight * demand->second.lasting);
      }
      model.demand = std::max(model.demand, kLeastDemand);
      if (model.demand <= kLeastDemand) continue;
      model.wanted_capacity = model.demand / input.comfortable_per_copy;
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
      used_.push_back(false);
    }
  }

  // Places one copy at a time where the need is greatest, so that the second
  // copy of a rare model comes after the first ones of a busy one.
  std::vector<placement_order> Run() {
    std::set<model_id> unplaceable;
    while (true) {
      model_state* neediest = nullptr;
      for (auto& [id, model] : models_) {
        if (unplaceable.count(id) || IsServed(model, Spare(model))) continue;
        if (neediest == nullptr || Need(model) > Need(*neediest)) {
          neediest = &model;
        }
      }
      if (neediest == nullptr) return std::move(orders_);
      if (!PlaceOne(*neediest, IsServed(*neediest, 0))) {
        unplaceable.insert(neediest->spec->id);
      }
    }
  }

 private:
  void AddCopy(const model_id& id, int change, const planned_engine& engine) {
    const auto found = models_.find(id);
    if (found == models_.end()) return;
    found->second.copies += change;
    found->second.capacity += change * engine.Strength();
  }

  // Demand per copy. A model without a copy comes before all others if it is
  // asked for, else after those whose copies have too much to do.
  double Need(const model_state& model) const {
    if (model.copies == 0 && model.demand <= kLeastDemand) {
      return input_.comfortable_per_copy;
    }
    return PerCopy(model, 0);
  }

  // One copy beyond the demand may use room that is free anyway.
  static double Spare(const model_state& model) {
    return model.demand > kLeastDemand ? 1 : 0;
  }

  static bool IsServed(const model_state& model, double spare) {
    return model.copies >= kLeastCopies &&
           model.capacity >= model.wanted_capacity + spare - kRounding;
  }

  // Demand per copy at a typical engine after `change` of the capacity;
  // without a copy it is unbounded.
  static double PerCopy(const model_state& model, double change) {
    const double capacity = model.capacity + change;
    constexpr double kNoCopy = 1e9;
    return capacity <= kRounding ? kNoCopy + model.demand
                                 : model.demand / capacity;
  }

  // What the engine's pace and its other models are worth in seconds of
  // loading. Models that are hardly asked for leave the fast engines free.
  double PlaceSeconds(const model_state& model,
                      const planned_engine& engine) const {
    if (model.demand <= kBusyDemand) return -engine.pace;
    double load = 0;
    for (const auto& [id, adapters] : engine.resident) {
      const auto other = models_.find(id);
      if (other == models_.end() || other->second.capacity <= kRounding) {
        continue;
      }
      load += other->second.demand * engine.Strength() / other->second.capacity;
    }
    return kPaceSeconds * engine.pace +
           kSharedSeconds * load / input_.comfortable_per_copy;
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

  // Gives one order that brings the model closer to another copy: the load
  // where there is room, else the unload of what is missed least. While the
  // weight store's rate is used up, the place is only kept free.
  bool PlaceOne(model_state& model, bool is_spare) {
    double best_cost = 0;
    int best = -1;
    std::optional<model_id> best_victim;
    double best_victim_load = 0;
    for (std::size_t i = 0; i < input_.engines.size(); ++i) {
      const auto& engine = input_.engines[i];
      const auto& id = model.spec->id;
      if (used_[i] || engine.busy || engine.resident.count(id)) continue;
      double cost =
          LoadSeconds(engine, *model.spec) + PlaceSeconds(model, engine);
      const double free = FreeMb(engine);
      std::optional<model_id> victim;
      double victim_load = 0;
      if (free < model.spec->weights_mb) {
        if (is_spare) continue;
        victim = Victim(engine, model, model.spec->weights_mb - free);
        if (!victim) continue;
        victim_load = Missed(*victim, engine);
        cost += 1 + victim_load;
      }
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
    const double need = Need(model);
    used_[best] = true;
    if (from_store && store_loads_-- <= 0) {
      // The place waits for the store.
    } else if (best_victim) {
      orders_.push_back({order_kind::kUnload,
                         engine.id,
                         *best_victim,
                         {},
                         false,
                         need,
                         best_victim_load,
                         model.spec->id});
      AddCopy(*best_victim, -1, engine);
    } else {
      orders_.push_back({order_kind::kLoad,
                         engine.id,
                         model.spec->id,
                         {},
                         from_store,
                         need,
                         0});
    }
    AddCopy(model.spec->id, 1, engine);
    return true;
  }

  // How much the copy of `id` on `engine` is missed: requests per second and
  // remaining copy, and more if few copies remain. A model that the
  // configuration no longer names is not missed.
  double Missed(const model_id& id, const planned_engine& engine) const {
    const auto found = models_.find(id);
    if (found == models_.end()) return 0;
    const auto& model = found->second;
    return PerCopy(model, -engine.Strength()) +
           kLastCopySeconds / std::max(1, model.copies - 1);
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
      const bool urgent =
          PerCopy(wanted, 0) > input_.comfortable_per_copy ||
          (wanted.capacity < 1 - kRounding && wanted.demand > kBusyDemand);
      if (model.copies < 2 || (model.copies <= kLeastCopies && !urgent)) {
        continue;
      }
      const double load = PerCopy(model, -engine.Strength());
      // A model without a copy waits for a victim that is not busy itself.
      const double gain =
          wanted.copies > 0
              ? PerCopy(wanted, engine.Strength())
              : std::max(wanted.demand, input_.comfortable_per_copy);
      if (load * kSwapGain > gain) continue;
      movable_mb += model.spec->weights_mb;
      const double missed = Missed(id, engine);
      if (!victim || missed < least) {
        victim = id;
        least = missed;
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

double planned_engine::Strength() const {
  return std::clamp(std::pow(pace, -kStrengthExponent), kLeastStrength, 1.0);
}

std::vector<placement_order> PlanCopies(const planner_input& input) {
  return planner(input).Run();
}

}  // namespace bluebell::serving
