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
  /// Requests that wait because no endpoint holds the model.
  int waiting = 0;
};

struct planner_engine {
  endpoint_id id;
  zone_id zone;
  /// Memory that a load may take now.
  std::int64_t free = 0;
  /// Memory that becomes free without further orders.
  std::int64_t leaving = 0;
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
  /// An unload was ordered, or the copy is gone but still counts in the
  /// ledger; loading it again takes no more memory.
  kReleased,
  /// The engine is lost or leaving.
  kLost,
};

struct planner_copy {
  int engine = 0;
  copy_state state = copy_state::kResident;
  /// Whether the copy was resident long enough to be moved for policy.
  bool settled = false;
};

struct planning_input {
  std::vector<planner_model> models;
  std::vector<planner_engine> engines;
  /// Copies of each model, by index of the model.
  std::vector<std::vector<planner_copy>> copies;
  /// Loads that the throttle admits now.
  int max_loads = 0;
  /// Moves that hysteresis admits now; needed copies are not limited by it.
  int max_moves = 0;
  /// Memory that copies for demand leave free on each engine, for adapters.
  std::int64_t reserve = 0;
  std::int64_t largest_adapter = 0;
};

enum class change_kind {
  kLoad,
  kUnload,
  /// Idle adapters of `size` bytes have to be unloaded.
  kEvictAdapters,
};

struct placement_change {
  change_kind kind = change_kind::kLoad;
  int model = -1;
  int engine = 0;
  std::int64_t size = 0;
  /// Whether the change is a move made for policy, which hysteresis limits.
  bool is_move = false;
};

struct plan {
  std::vector<placement_change> changes;
  /// Models without a copy for which no engine has room or can make room.
  std::vector<int> unplaced;
};

/// Decides which models the engines hold. A plan is one step: it holds only
/// loads that fit now and the unloads that make room for later ones.
///
/// All planners keep at least one copy of each model, and two in different
/// availability zones where memory allows. The last resident copy of a model
/// is unloaded only if another model has requests waiting, no copy, and no
/// other way to get room. Such models then take turns by demand.
class placement_planner {
 public:
  virtual ~placement_planner() = default;

  virtual plan Plan(const planning_input& input) = 0;
};

/// Baseline: places the needed copies and never moves them for demand.
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
/// priority and weight, so that a rare priority caller finds it resident.
class priority_aware_planner final : public placement_planner {
 public:
  plan Plan(const planning_input& input) override;
};

}  // namespace bluebell::placement
