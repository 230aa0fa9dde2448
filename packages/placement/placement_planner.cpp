#include "placement/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace bluebell::placement {
namespace {

// Minimum ratio of value gained to value lost for a rebalancing move, so that
// models of similar demand do not replace each other repeatedly.
constexpr double kMoveAdvantage = 1.5;
// A plan stops after this many copies that cannot be placed, which bounds the
// planning time when memory is full.
constexpr int kMaxFailedCopies = 32;

enum class copy_tier { kFirstCopy, kSecondCopy, kDemand };

struct missing_copy {
  int model;
  copy_tier tier;
  double value;
};

bool IsLive(const planner_copy& copy) {
  return copy.state == copy_state::kPending ||
         copy.state == copy_state::kResident;
}

/// Computes one plan step.
class step_planner {
 public:
  step_planner(const planning_input& input, std::vector<double> values,
               bool follows_demand)
      : input_(input),
        values_(std::move(values)),
        follows_demand_(follows_demand),
        loads_left_(input.max_loads),
        moves_left_(input.max_moves) {
    for (const auto& engine : input.engines) {
      free_.push_back(engine.free);
      pending_free_.push_back(engine.pending_free);
      evictable_.push_back(engine.evictable);
      zones_.insert(engine.zone);
    }
    on_engine_.resize(input.engines.size());
    live_.resize(input.models.size(), 0);
    resident_.resize(input.models.size(), 0);
    for (std::size_t m = 0; m < input.copies.size(); ++m) {
      for (const auto& copy : input.copies[m]) {
        on_engine_[copy.engine].push_back({static_cast<int>(m), &copy});
        if (IsLive(copy)) ++live_[m];
        if (copy.state == copy_state::kResident) ++resident_[m];
      }
    }
  }

  plan Run() {
    std::vector<missing_copy> missing_copies = FindMissingCopies();
    int failures = 0;
    for (const auto& missing : missing_copies) {
      if (loads_left_ <= 0 || failures >= kMaxFailedCopies) break;
      if (!PlaceCopy(missing)) ++failures;
    }
    return std::move(plan_);
  }

 private:
  struct placed_copy {
    int model;
    const planner_copy* copy;
  };

  // Returns the missing copies in descending order of importance.
  std::vector<missing_copy> FindMissingCopies() const {
    std::vector<missing_copy> missing_copies;
    const auto engines = static_cast<double>(input_.engines.size());
    const int models = static_cast<int>(input_.models.size());
    for (int m = 0; m < models; ++m) {
      const int wanted = std::max(1, input_.models[m].min_copies);
      const auto zone_count = CountZones(m);
      if (live_[m] < wanted) {
        const auto tier =
            live_[m] == 0 ? copy_tier::kFirstCopy : copy_tier::kSecondCopy;
        const double waiting = input_.models[m].waiting > 0 ? 1 : 0;
        missing_copies.push_back({m, tier, values_[m] + waiting});
      } else if (live_[m] < 2 || (zone_count < 2 && zones_.size() > 1)) {
        missing_copies.push_back({m, copy_tier::kSecondCopy, values_[m]});
      } else if (follows_demand_ &&
                 live_[m] < std::ceil(values_[m] * engines)) {
        missing_copies.push_back(
            {m, copy_tier::kDemand, values_[m] / (live_[m] + 1)});
      }
    }
    std::sort(missing_copies.begin(), missing_copies.end(),
              [this](const missing_copy& a, const missing_copy& b) {
                if (a.tier != b.tier) return a.tier < b.tier;
                if (a.value != b.value) return a.value > b.value;
                const auto size_a = input_.models[a.model].size;
                const auto size_b = input_.models[b.model].size;
                if (size_a != size_b) return size_a > size_b;
                return a.model < b.model;
              });
    return missing_copies;
  }

  std::size_t CountZones(int model) const {
    std::set<zone_id> zones;
    for (const auto& copy : input_.copies[model]) {
      if (!IsLive(copy)) continue;
      zones.insert(input_.engines[copy.engine].zone);
    }
    return zones.size();
  }

  // Whether the resident copies other than `without` span availability zones.
  bool IsSpread(int model, const planner_copy* without) const {
    const zone_id* first = nullptr;
    for (const auto& copy : input_.copies[model]) {
      if (&copy == without || copy.state != copy_state::kResident) continue;
      const auto& zone = input_.engines[copy.engine].zone;
      if (first == nullptr) first = &zone;
      if (*first != zone) return true;
    }
    return zones_.size() < 2;
  }

  // Loads the copy now, frees memory for it, or reserves memory that is about
  // to become free. Returns false if none of these is possible.
  bool PlaceCopy(const missing_copy& wanted) {
    const auto size = input_.models[wanted.model].size;
    const auto reserve = ReserveOf(wanted.tier);
    if (ReloadReleased(wanted)) return true;
    const auto candidates = Candidates(wanted);
    if (const int engine = MostFree(candidates, size + reserve, free_);
        engine >= 0) {
      Load(wanted.model, engine, wanted.tier == copy_tier::kDemand);
      return true;
    }
    std::vector<std::int64_t> total = free_;
    for (std::size_t e = 0; e < total.size(); ++e) total[e] += pending_free_[e];
    if (const int engine = MostFree(candidates, size + reserve, total);
        engine >= 0) {
      ReserveRoom(engine, size);
      return true;
    }
    if (MakeRoom(wanted, candidates, total)) return true;
    if (wanted.tier != copy_tier::kFirstCopy) return false;
    if (Relocate(wanted, total)) return true;
    if (EvictLastCopies(wanted, candidates, total)) return true;
    plan_.unplaced.push_back(wanted.model);
    return false;
  }

  // Reloads the model where its released memory still counts, unless that
  // memory is reserved for another model.
  bool ReloadReleased(const missing_copy& wanted) {
    const auto size = input_.models[wanted.model].size;
    for (const auto& copy : input_.copies[wanted.model]) {
      const auto& engine = input_.engines[copy.engine];
      if (copy.state != copy_state::kReleased || !engine.controllable) continue;
      if (wanted.tier != copy_tier::kFirstCopy && !AddsZone(wanted, copy)) {
        continue;
      }
      if (pending_free_[copy.engine] < size) continue;
      pending_free_[copy.engine] -= size;
      free_[copy.engine] += size;
      Load(wanted.model, copy.engine, false);
      return true;
    }
    return false;
  }

  bool AddsZone(const missing_copy& wanted,
                const planner_copy& released) const {
    const auto& zone = input_.engines[released.engine].zone;
    for (const auto& copy : input_.copies[wanted.model]) {
      if (IsLive(copy) && input_.engines[copy.engine].zone == zone) {
        return false;
      }
    }
    return true;
  }

  // Memory that must stay free for adapters after loading a copy of this tier.
  std::int64_t ReserveOf(copy_tier tier) const {
    switch (tier) {
      case copy_tier::kFirstCopy:
        return 0;
      case copy_tier::kSecondCopy:
        return input_.largest_adapter;
      case copy_tier::kDemand:
        break;
    }
    return input_.reserve;
  }

  // Engines that may take another copy. If all copies are in one zone, a second
  // copy goes only to engines in other zones.
  std::vector<int> Candidates(const missing_copy& wanted) const {
    std::set<int> holders;
    std::set<zone_id> zones;
    for (const auto& copy : input_.copies[wanted.model]) {
      holders.insert(copy.engine);
      if (IsLive(copy)) {
        zones.insert(input_.engines[copy.engine].zone);
      }
    }
    std::vector<int> candidates;
    const bool other_zone =
        wanted.tier == copy_tier::kSecondCopy && zones_.size() > 1;
    const int engines = static_cast<int>(input_.engines.size());
    for (int e = 0; e < engines; ++e) {
      const auto& engine = input_.engines[e];
      if (!engine.usable || !engine.controllable || holders.count(e) > 0) {
        continue;
      }
      if (other_zone && zones.count(engine.zone) > 0 &&
          static_cast<int>(zones.size()) < 2) {
        continue;
      }
      candidates.push_back(e);
    }
    return candidates;
  }

  // The candidate with the most room, or -1 if none has `needed` bytes.
  // Worst-fit placement spreads the models, which balances the load of the
  // engines.
  static int MostFree(const std::vector<int>& candidates, std::int64_t needed,
                      const std::vector<std::int64_t>& room) {
    int best = -1;
    for (const int e : candidates) {
      if (room[e] < needed) continue;
      if (best < 0 || room[e] > room[best]) best = e;
    }
    return best;
  }

  void Load(int model, int engine, bool is_move) {
    const auto size = input_.models[model].size;
    plan_.changes.push_back({change_kind::kLoad, model, engine, size, is_move});
    free_[engine] -= size;
    ++live_[model];
    --loads_left_;
  }

  // Reserves memory that is or will become free, so that it is not planned
  // twice.
  void ReserveRoom(int engine, std::int64_t size) {
    const auto from_free =
        std::min(size, std::max<std::int64_t>(0, free_[engine]));
    free_[engine] -= from_free;
    pending_free_[engine] -= size - from_free;
  }

  // Cost in value of unloading a surplus copy; empty if the copy is required or
  // may not be moved for `wanted`.
  std::optional<double> RemovalCost(const placed_copy& placed,
                                    const missing_copy& wanted) {
    const int model = placed.model;
    if (model == wanted.model) return std::nullopt;
    if (placed.copy->state != copy_state::kResident) return std::nullopt;
    const int minimum = std::max(1, input_.models[model].min_copies);
    if (resident_[model] <= minimum || live_[model] <= minimum) {
      return std::nullopt;
    }
    const double cost = values_[model] / resident_[model];
    if (wanted.tier == copy_tier::kFirstCopy) {
      return placed.copy->movable ? cost : cost + 1;
    }
    if (!placed.copy->movable || moves_left_ <= 0) return std::nullopt;
    const bool is_extra = resident_[model] > 2 && IsSpread(model, placed.copy);
    if (wanted.tier == copy_tier::kSecondCopy && is_extra) return cost;
    if (wanted.tier == copy_tier::kDemand && !is_extra) return std::nullopt;
    if (!follows_demand_) return std::nullopt;
    if (wanted.value <= kMoveAdvantage * cost) return std::nullopt;
    return cost;
  }

  // Unloads idle adapters and surplus copies on the engine with the lowest
  // cost.
  bool MakeRoom(const missing_copy& wanted, const std::vector<int>& candidates,
                const std::vector<std::int64_t>& total) {
    const auto size = input_.models[wanted.model].size;
    int best = -1;
    double best_cost = 0;
    std::vector<placed_copy> best_victims;
    for (const int e : candidates) {
      std::vector<std::pair<double, placed_copy>> removable;
      auto room = total[e] + evictable_[e];
      for (const auto& placed : on_engine_[e]) {
        const auto cost = RemovalCost(placed, wanted);
        if (cost) removable.emplace_back(*cost, placed);
      }
      std::sort(removable.begin(), removable.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
      double cost = 0;
      std::vector<placed_copy> victims;
      for (const auto& [one_cost, placed] : removable) {
        if (room >= size) break;
        room += input_.models[placed.model].size;
        cost += one_cost;
        victims.push_back(placed);
      }
      if (room < size || (best >= 0 && cost >= best_cost)) continue;
      best = e;
      best_cost = cost;
      best_victims = std::move(victims);
    }
    if (best < 0) return false;
    std::int64_t missing = size - total[best];
    for (const auto& placed : best_victims) {
      missing -= input_.models[placed.model].size;
      Unload(placed, best, wanted.tier != copy_tier::kFirstCopy);
    }
    if (missing > 0) {
      plan_.changes.push_back(
          {change_kind::kEvictAdapters, -1, best, missing, false});
      evictable_[best] -= missing;
      pending_free_[best] += missing;
    }
    ReserveRoom(best, size);
    return true;
  }

  void Unload(const placed_copy& placed, int engine, bool is_move) {
    const auto size = input_.models[placed.model].size;
    plan_.changes.push_back(
        {change_kind::kUnload, placed.model, engine, size, is_move});
    pending_free_[engine] += size;
    --live_[placed.model];
    --resident_[placed.model];
    auto& copies = on_engine_[engine];
    copies.erase(std::find_if(
        copies.begin(), copies.end(),
        [&](const placed_copy& other) { return other.copy == placed.copy; }));
    if (is_move) --moves_left_;
  }

  // Loads a model resident on one engine onto another, so that its old copy
  // becomes surplus and can be unloaded in a later step. The free memory of the
  // old engine stays reserved until then.
  bool Relocate(const missing_copy& wanted,
                const std::vector<std::int64_t>& total) {
    const auto size = input_.models[wanted.model].size;
    const int engines = static_cast<int>(input_.engines.size());
    for (int e = 0; e < engines; ++e) {
      if (!MayHold(wanted.model, e)) continue;
      auto room = total[e] + evictable_[e];
      for (const auto& placed : on_engine_[e]) {
        if (IsBeingRelocated(placed)) room += input_.models[placed.model].size;
      }
      if (room < size) continue;
      ReserveRoom(e, std::min(size, total[e]));
      return true;
    }
    for (int e = 0; e < engines; ++e) {
      if (!MayHold(wanted.model, e)) continue;
      for (const auto& placed : on_engine_[e]) {
        if (placed.copy->state != copy_state::kResident) continue;
        const auto moved_size = input_.models[placed.model].size;
        if (total[e] + evictable_[e] + moved_size < size) continue;
        const missing_copy relocated{placed.model, copy_tier::kFirstCopy, 0};
        const int destination =
            MostFree(Candidates(relocated), moved_size, free_);
        if (destination < 0) continue;
        Load(placed.model, destination, false);
        ReserveRoom(e, std::min(size, total[e]));
        return true;
      }
    }
    return false;
  }

  bool MayHold(int model, int engine) const {
    const auto& candidate = input_.engines[engine];
    if (!candidate.usable || !candidate.controllable) return false;
    const auto& copies = input_.copies[model];
    return std::none_of(copies.begin(), copies.end(), [&](const auto& copy) {
      return copy.engine == engine;
    });
  }

  // Whether another copy of the model is being loaded.
  bool IsBeingRelocated(const placed_copy& placed) const {
    return placed.copy->state == copy_state::kResident &&
           live_[placed.model] > resident_[placed.model];
  }

  // Unloads the last copies of models without waiting requests, in favour of a
  // model that has requests waiting and no copy.
  bool EvictLastCopies(const missing_copy& wanted,
                       const std::vector<int>& candidates,
                       const std::vector<std::int64_t>& total) {
    if (input_.models[wanted.model].waiting == 0) return false;
    const auto size = input_.models[wanted.model].size;
    int best = -1;
    double best_cost = 0;
    std::vector<placed_copy> best_victims;
    for (const int e : candidates) {
      std::vector<placed_copy> removable;
      for (const auto& placed : on_engine_[e]) {
        if (placed.copy->state != copy_state::kResident) continue;
        if (!placed.copy->movable) continue;
        if (input_.models[placed.model].waiting > 0) continue;
        removable.push_back(placed);
      }
      std::sort(removable.begin(), removable.end(),
                [this](const placed_copy& a, const placed_copy& b) {
                  return values_[a.model] < values_[b.model];
                });
      auto room = total[e] + evictable_[e];
      double cost = 0;
      std::vector<placed_copy> victims;
      for (const auto& placed : removable) {
        if (room >= size) break;
        room += input_.models[placed.model].size;
        cost += values_[placed.model];
        victims.push_back(placed);
      }
      if (room < size || (best >= 0 && cost >= best_cost)) continue;
      best = e;
      best_cost = cost;
      best_victims = std::move(victims);
    }
    if (best < 0) return false;
    for (const auto& placed : best_victims) Unload(placed, best, false);
    ReserveRoom(best, size);
    return true;
  }

  const planning_input& input_;
  std::vector<double> values_;
  bool follows_demand_;
  int loads_left_;
  int moves_left_;
  std::vector<std::int64_t> free_;
  std::vector<std::int64_t> pending_free_;
  std::vector<std::int64_t> evictable_;
  std::set<zone_id> zones_;
  std::vector<std::vector<placed_copy>> on_engine_;
  /// Pending and resident copies of each model, and resident copies alone.
  std::vector<int> live_;
  std::vector<int> resident_;
  plan plan_;
};

// Each model's share of the total of `field`; all zero if the total is zero.
std::vector<double> Shares(const std::vector<planner_model>& models,
                           double planner_model::*field) {
  double total = 0;
  for (const auto& model : models) total += model.*field;
  std::vector<double> shares;
  shares.reserve(models.size());
  for (const auto& model : models) {
    shares.push_back(total > 0 ? model.*field / total : 0);
  }
  return shares;
}

}  // namespace

plan static_planner::Plan(const planning_input& input) {
  std::vector<double> values(input.models.size(), 0);
  return step_planner(input, std::move(values), false).Run();
}

plan recent_demand_planner::Plan(const planning_input& input) {
  auto values = Shares(input.models, &planner_model::demand);
  return step_planner(input, std::move(values), true).Run();
}

plan priority_aware_planner::Plan(const planning_input& input) {
  auto values = Shares(input.models, &planner_model::demand);
  const auto purchased = Shares(input.models, &planner_model::purchased);
  for (std::size_t m = 0; m < values.size(); ++m) {
    values[m] = (values[m] + purchased[m]) / 2;
  }
  return step_planner(input, std::move(values), true).Run();
}

}  // namespace bluebell::placement
