#include "placement/placement_planner.h"

#include <algorithm>
#include <cmath>
#include <numeric>
#include <optional>
#include <set>
#include <utility>

namespace bluebell::placement {
namespace {

// A move needs this advantage in value, so that models of similar demand do
// not take turns.
constexpr double kMoveAdvantage = 1.5;
// Needs that cannot be met are tried up to this number per plan, which bounds
// the planning time when memory is full.
constexpr int kMaxFailures = 32;

enum class need_tier { kFirstCopy, kSecondCopy, kDemand };

struct need {
  int model;
  need_tier tier;
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
      later_.push_back(engine.leaving);
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
    std::vector<need> needs = Needs();
    int failures = 0;
    for (const auto& one : needs) {
      if (loads_left_ <= 0 || failures >= kMaxFailures) break;
      if (!Meet(one)) ++failures;
    }
    return std::move(plan_);
  }

 private:
  struct placed {
    int model;
    const planner_copy* copy;
  };

  // Copies that are missing, the most important ones first.
  std::vector<need> Needs() const {
    std::vector<need> needs;
    const auto engines = static_cast<double>(input_.engines.size());
    const int models = static_cast<int>(input_.models.size());
    for (int m = 0; m < models; ++m) {
      const int wanted = std::max(1, input_.models[m].min_copies);
      const auto distinct = Zones(m);
      if (live_[m] < wanted) {
        const auto tier =
            live_[m] == 0 ? need_tier::kFirstCopy : need_tier::kSecondCopy;
        const double waiting = input_.models[m].waiting > 0 ? 1 : 0;
        needs.push_back({m, tier, values_[m] + waiting});
      } else if (live_[m] < 2 || (distinct < 2 && zones_.size() > 1)) {
        needs.push_back({m, need_tier::kSecondCopy, values_[m]});
      } else if (follows_demand_ &&
                 live_[m] < std::ceil(values_[m] * engines)) {
        needs.push_back({m, need_tier::kDemand, values_[m] / (live_[m] + 1)});
      }
    }
    std::sort(needs.begin(), needs.end(), [this](const need& a, const need& b) {
      if (a.tier != b.tier) return a.tier < b.tier;
      if (a.value != b.value) return a.value > b.value;
      const auto size_a = input_.models[a.model].size;
      const auto size_b = input_.models[b.model].size;
      if (size_a != size_b) return size_a > size_b;
      return a.model < b.model;
    });
    return needs;
  }

  std::size_t Zones(int model) const {
    std::set<zone_id> zones;
    for (const auto& copy : input_.copies[model]) {
      if (!IsLive(copy)) continue;
      zones.insert(input_.engines[copy.engine].zone);
    }
    return zones.size();
  }

  // Whether the other copies are in different availability zones.
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

  // Loads the copy now, or makes the room for it, or waits for room that is
  // being made. Returns whether one of these was possible.
  bool Meet(const need& wanted) {
    const auto size = input_.models[wanted.model].size;
    const auto reserve = ReserveOf(wanted.tier);
    if (Revive(wanted)) return true;
    const auto candidates = Candidates(wanted);
    if (const int now = Best(candidates, size + reserve, free_); now >= 0) {
      Load(wanted.model, now, wanted.tier == need_tier::kDemand);
      return true;
    }
    std::vector<std::int64_t> total = free_;
    for (std::size_t e = 0; e < total.size(); ++e) total[e] += later_[e];
    if (const int soon = Best(candidates, size + reserve, total); soon >= 0) {
      Await(soon, size);
      return true;
    }
    if (MakeRoom(wanted, candidates, total)) return true;
    if (wanted.tier != need_tier::kFirstCopy) return false;
    if (Relocate(wanted, total)) return true;
    if (TakeTurn(wanted, candidates, total)) return true;
    plan_.unplaced.push_back(wanted.model);
    return false;
  }

  // Loads the model again where its memory still counts, unless that room is
  // set aside for another model.
  bool Revive(const need& wanted) {
    const auto size = input_.models[wanted.model].size;
    for (const auto& copy : input_.copies[wanted.model]) {
      const auto& engine = input_.engines[copy.engine];
      if (copy.state != copy_state::kReleased || !engine.controllable) continue;
      if (wanted.tier != need_tier::kFirstCopy && !AddsZone(wanted, copy)) {
        continue;
      }
      if (later_[copy.engine] < size) continue;
      later_[copy.engine] -= size;
      free_[copy.engine] += size;
      Load(wanted.model, copy.engine, false);
      return true;
    }
    return false;
  }

  bool AddsZone(const need& wanted, const planner_copy& released) const {
    const auto& zone = input_.engines[released.engine].zone;
    for (const auto& copy : input_.copies[wanted.model]) {
      if (IsLive(copy) && input_.engines[copy.engine].zone == zone) {
        return false;
      }
    }
    return true;
  }

  // Memory that a copy leaves free for adapters.
  std::int64_t ReserveOf(need_tier tier) const {
    switch (tier) {
      case need_tier::kFirstCopy:
        return 0;
      case need_tier::kSecondCopy:
        return input_.largest_adapter;
      case need_tier::kDemand:
        break;
    }
    return input_.reserve;
  }

  // Engines that may take a further copy; a second copy prefers those in zones
  // that have none.
  std::vector<int> Candidates(const need& wanted) const {
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
        wanted.tier == need_tier::kSecondCopy && zones_.size() > 1;
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

  // The candidate with the most room, if that is at least `needed`. Spreading
  // the models keeps the load of engines even.
  static int Best(const std::vector<int>& candidates, std::int64_t needed,
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

  // Sets aside room that becomes free, so that it is not planned twice.
  void Await(int engine, std::int64_t size) {
    const auto from_free =
        std::min(size, std::max<std::int64_t>(0, free_[engine]));
    free_[engine] -= from_free;
    later_[engine] -= size - from_free;
  }

  // Whether a copy may be unloaded without losing a needed copy, and what that
  // costs in value.
  std::optional<double> RemovalCost(const placed& there, const need& wanted) {
    const int model = there.model;
    if (model == wanted.model) return std::nullopt;
    if (there.copy->state != copy_state::kResident) return std::nullopt;
    const int minimum = std::max(1, input_.models[model].min_copies);
    if (resident_[model] <= minimum || live_[model] <= minimum) {
      return std::nullopt;
    }
    const double cost = values_[model] / resident_[model];
    if (wanted.tier == need_tier::kFirstCopy) {
      return there.copy->settled ? cost : cost + 1;
    }
    if (!there.copy->settled || moves_left_ <= 0) return std::nullopt;
    const bool is_extra = resident_[model] > 2 && IsSpread(model, there.copy);
    if (wanted.tier == need_tier::kSecondCopy && is_extra) return cost;
    if (wanted.tier == need_tier::kDemand && !is_extra) return std::nullopt;
    if (!follows_demand_) return std::nullopt;
    if (wanted.value <= kMoveAdvantage * cost) return std::nullopt;
    return cost;
  }

  // Unloads idle adapters and surplus copies on the engine where that costs
  // least.
  bool MakeRoom(const need& wanted, const std::vector<int>& candidates,
                const std::vector<std::int64_t>& total) {
    const auto size = input_.models[wanted.model].size;
    int best = -1;
    double best_cost = 0;
    std::vector<placed> best_victims;
    for (const int e : candidates) {
      std::vector<std::pair<double, placed>> removable;
      auto room = total[e] + evictable_[e];
      for (const auto& there : on_engine_[e]) {
        const auto cost = RemovalCost(there, wanted);
        if (cost) removable.emplace_back(*cost, there);
      }
      std::sort(removable.begin(), removable.end(),
                [](const auto& a, const auto& b) { return a.first < b.first; });
      double cost = 0;
      std::vector<placed> victims;
      for (const auto& [one_cost, there] : removable) {
        if (room >= size) break;
        room += input_.models[there.model].size;
        cost += one_cost;
        victims.push_back(there);
      }
      if (room < size || (best >= 0 && cost >= best_cost)) continue;
      best = e;
      best_cost = cost;
      best_victims = std::move(victims);
    }
    if (best < 0) return false;
    std::int64_t missing = size - total[best];
    for (const auto& there : best_victims) {
      missing -= input_.models[there.model].size;
      Unload(there, best, wanted.tier != need_tier::kFirstCopy);
    }
    if (missing > 0) {
      plan_.changes.push_back(
          {change_kind::kEvictAdapters, -1, best, missing, false});
      evictable_[best] -= missing;
      later_[best] += missing;
    }
    Await(best, size);
    return true;
  }

  void Unload(const placed& there, int engine, bool is_move) {
    const auto size = input_.models[there.model].size;
    plan_.changes.push_back(
        {change_kind::kUnload, there.model, engine, size, is_move});
    later_[engine] += size;
    --live_[there.model];
    --resident_[there.model];
    auto& copies = on_engine_[engine];
    copies.erase(std::find_if(
        copies.begin(), copies.end(),
        [&](const placed& one) { return one.copy == there.copy; }));
    if (is_move) --moves_left_;
  }

  // Loads a model of some engine elsewhere, so that its copy there becomes
  // surplus and makes room in a later step. The room that is left there stays
  // set aside until then.
  bool Relocate(const need& wanted, const std::vector<std::int64_t>& total) {
    const auto size = input_.models[wanted.model].size;
    const int engines = static_cast<int>(input_.engines.size());
    for (int e = 0; e < engines; ++e) {
      if (!MayHold(wanted.model, e)) continue;
      auto room = total[e] + evictable_[e];
      for (const auto& there : on_engine_[e]) {
        if (IsBeingRelocated(there)) room += input_.models[there.model].size;
      }
      if (room < size) continue;
      Await(e, std::min(size, total[e]));
      return true;
    }
    for (int e = 0; e < engines; ++e) {
      if (!MayHold(wanted.model, e)) continue;
      for (const auto& there : on_engine_[e]) {
        if (there.copy->state != copy_state::kResident) continue;
        const auto moved = input_.models[there.model].size;
        if (total[e] + evictable_[e] + moved < size) continue;
        const need elsewhere{there.model, need_tier::kFirstCopy, 0};
        const int to = Best(Candidates(elsewhere), moved, free_);
        if (to < 0) continue;
        Load(there.model, to, false);
        Await(e, std::min(size, total[e]));
        return true;
      }
    }
    return false;
  }

  bool MayHold(int model, int engine) const {
    const auto& there = input_.engines[engine];
    if (!there.usable || !there.controllable) return false;
    const auto& copies = input_.copies[model];
    return std::none_of(copies.begin(), copies.end(), [&](const auto& copy) {
      return copy.engine == engine;
    });
  }

  // Whether a further copy of the model is on its way to another engine.
  bool IsBeingRelocated(const placed& there) const {
    return there.copy->state == copy_state::kResident &&
           live_[there.model] > resident_[there.model];
  }

  // Unloads the last copies of models that nobody waits for, in favour of a
  // model that has requests waiting and no copy.
  bool TakeTurn(const need& wanted, const std::vector<int>& candidates,
                const std::vector<std::int64_t>& total) {
    if (input_.models[wanted.model].waiting == 0) return false;
    const auto size = input_.models[wanted.model].size;
    int best = -1;
    double best_cost = 0;
    std::vector<placed> best_victims;
    for (const int e : candidates) {
      std::vector<placed> removable;
      for (const auto& there : on_engine_[e]) {
        if (there.copy->state != copy_state::kResident) continue;
        if (!there.copy->settled) continue;
        if (input_.models[there.model].waiting > 0) continue;
        removable.push_back(there);
      }
      std::sort(removable.begin(), removable.end(),
                [this](const placed& a, const placed& b) {
                  return values_[a.model] < values_[b.model];
                });
      auto room = total[e] + evictable_[e];
      double cost = 0;
      std::vector<placed> victims;
      for (const auto& there : removable) {
        if (room >= size) break;
        room += input_.models[there.model].size;
        cost += values_[there.model];
        victims.push_back(there);
      }
      if (room < size || (best >= 0 && cost >= best_cost)) continue;
      best = e;
      best_cost = cost;
      best_victims = std::move(victims);
    }
    if (best < 0) return false;
    for (const auto& there : best_victims) Unload(there, best, false);
    Await(best, size);
    return true;
  }

  const planning_input& input_;
  std::vector<double> values_;
  bool follows_demand_;
  int loads_left_;
  int moves_left_;
  std::vector<std::int64_t> free_;
  std::vector<std::int64_t> later_;
  std::vector<std::int64_t> evictable_;
  std::set<zone_id> zones_;
  std::vector<std::vector<placed>> on_engine_;
  /// Copies that serve or will serve, and those that serve now.
  std::vector<int> live_;
  std::vector<int> resident_;
  plan plan_;
};

// Shares of the total; all zero if the total is zero.
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
