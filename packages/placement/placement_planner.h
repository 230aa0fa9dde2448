#pragma once

#include <cstdint>
#include <string>
#include <vector>

#include "base/ids.h"

namespace bluebell::placement {

struct planner_model {
  std::string id;
  std::int64_t size = 0;
  int min_copies = 1;
  /// Recent demand in tokens.
  double demand = 0;
  /// Purchased priority and weight.
  double purchased = 0;
  /// Requests waiting because no endpoint holds the model.
  int waiting = 0;
};

struct planner_engine {
  endpoint_id id;
  zone_id zone;
  /// Memory available to a load now; negative if overcommitted.
  std::int64_t free = 0;
  /// Memory that will become free without further orders.
  std::int64_t pending_free = 0;
  /// Memory of idle adapters.
  std::int64_t evictable = 0;
  /// Whether copies on the engine serve requests.
  bool usable = false;
  /// Whether orders may be sent to the engine now.
  bool controllable = false;
};

enum class copy_state {
  /// Ordered or loading, or resident while an earlier unload order may still
  /// take effect.
  kPending,
  kResident,
  /// An unload was ordered, or the copy is reported absent but still counts in
  /// the ledger. Loading it again takes no further memory.
  kReleased,
  /// The engine is unreachable or leaving.
  kLost,
};

struct planner_copy {
  int engine = 0;
  copy_state state = copy_state::kResident;
  /// Whether the copy was resident long enough to be moved by rebalancing.
  bool movable = false;
};

struct planning_input {
  std::vector<planner_model> models;
  std::vector<planner_engine> engines;
  /// Copies of each model, by index of the model.
  std::vector<std::vector<planner_copy>> copies;
  /// Loads that may be planned in this step.
  int max_loads = 0;
  /// Rebalancing moves allowed now; does not limit loads of required copies.
  int max_moves = 0;
  /// Memory that extra copies for demand leave free for adapters on each
  /// engine.
  std::int64_t reserve = 0;
  std::int64_t largest_adapter = 0;
};

enum class change_kind {
  kLoad,
  kUnload,
  /// Unload idle adapters of `size` bytes in total.
  kEvictAdapters,
};

struct placement_change {
  change_kind kind = change_kind::kLoad;
  int model = -1;
  int engine = 0;
  std::int64_t size = 0;
  /// Whether the change is a rebalancing move, which `max_moves` limits.
  bool is_move = false;
};

struct plan {
  std::vector<placement_change> changes;
  /// Models without a copy that no engine has or can make room for.
  std::vector<int> unplaced;
};

/// Decides which models the engines hold. A plan is one step: it contains only
/// loads that fit now and unloads that make room for later loads.
///
/// All planners keep at least one copy of each model, and two in different
/// availability zones where memory allows. The last resident copy of a model
/// is unloaded only if another model has requests waiting, no copy, and no
/// other way to get room. Models without waiting requests are then evicted, the
/// least valuable first.
class placement_planner {
 public:
  virtual ~placement_planner() = default;

  virtual plan Plan(const planning_input& input) = 0;
};

/// Baseline: places the required copies and ignores demand.
class static_planner final : public placement_planner {
 public:
  plan Plan(const planning_input& input) override;
};

/// Baseline: values a model by its recent demand only.
class recent_demand_planner final : public placement_planner {
 public:
  plan Plan(const planning_input& input) override;
};

/// Values a model by its share of recent demand plus its share of purchased
/// priority and weight, so that priority accounts that call rarely find their
/// models resident.
class priority_aware_planner final : public placement_planner {
 public:
  plan Plan(const planning_input& input) override;
};

}  // namespace bluebell::placement
