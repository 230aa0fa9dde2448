#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "serving/engine_record.h"

namespace bluebell::serving {

enum class order_kind { kLoad, kUnload };

/// One order to an engine. Concerns the adapter if one is set, otherwise the
/// model.
struct placement_order {
  order_kind kind = order_kind::kLoad;
  endpoint_id engine;
  model_id model;
  adapter_id adapter;
  /// The load reads from the weight store, whose rate is limited.
  bool from_store = false;
  /// Expected gain of the order: requests per second and copy of the model
  /// before the order, and of the model that is evicted.
  double demand_per_copy = 0;
  double displaced_per_copy = 0;
  /// For the unload of a model: the model that gets its memory.
  std::optional<model_id> evicted_for = std::nullopt;
};

/// An engine as the planner sees it.
struct planned_engine {
  endpoint_id id;
  zone_id zone;
  double weights_mb = 0;
  resident_models resident;
  std::set<model_id> in_memory;
  std::set<model_id> on_disk;
  /// An order is in progress, so the engine accepts no other.
  bool busy = false;
  /// The model that is being loaded, or for which another one is being
  /// unloaded; counts as a copy.
  std::optional<model_id> loading;
  /// Time per step as a multiple of a typical engine's.
  double step_time_ratio = 1;
  /// Requests per second that it takes for all its models, if it names a limit.
  /// Such an engine gets no orders, and its copies do not count as copies.
  std::optional<double> limit_per_s;

  /// Load that this engine serves without queueing, as a fraction of a typical
  /// engine's.
  double RelativeCapacity() const;
};

/// Demand for one model over all hosts, requests per second.
struct model_demand {
  /// Averaged over about a second: current load.
  double recent = 0;
  /// Averaged over tens of seconds: predicts repeated use.
  double sustained = 0;
  /// Number of the model's adapters that were requested recently.
  int adapters = 0;
};

struct planner_input {
  std::vector<model_spec> models;
  std::vector<planned_engine> engines;
  std::map<model_id, model_demand> demand;
  /// Requests per second that one copy serves without queueing.
  double target_rate_per_copy = 10;
  /// Adapters that one engine can hold.
  int adapter_slots = 0;
  /// Loads from the weight store that may start now.
  int store_loads = 0;
  /// Whether the copies of a model should be in several zones.
  bool spreads_zones = false;
};

/// Decides which copies of models to load and unload.
///
/// Every model gets two copies where memory allows, so that it stays available
/// on a sudden request or after an engine crash. Further copies follow the
/// demand of the last seconds and the number of adapters in use. The copy with
/// the lowest eviction penalty is evicted. The last copy of a model is evicted
/// only if the model is idle and another one is asked for that has no copy. A
/// copy at a slow engine counts as a fraction, so that busy models are placed
/// at fast engines. Loads from an engine's own memory or disk are preferred to
/// loads from the weight store. Where copies should be in several zones, a
/// model whose copies are all in one zone gets the next one in another zone if
/// there is room, or a copy to spare, and a copy is rather kept if the others
/// are all in another zone.
///
/// Workload: a few models receive most requests, the set of these changes
/// every ten seconds, a third of the engines is slow, engines crash and
/// restart empty, and rarely used models are requested without warning. There
/// may be more models than places for copies.
std::vector<placement_order> PlanCopies(const planner_input& input);

}  // namespace bluebell::serving
