#pragma once

#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "serving/engine_record.h"

namespace bluebell::serving {

enum class order_kind { kLoad, kUnload };

/// One order to an engine; with an adapter it concerns only that.
struct placement_order {
  order_kind kind = order_kind::kLoad;
  endpoint_id engine;
  model_id model;
  adapter_id adapter;
  /// The load reads from the weight store, whose rate is limited.
  bool from_store = false;
  /// Requests per second and copy of the model before the order, and of the
  /// models that make way: the gain that the order expects.
  double demand_per_copy = 0;
  double displaced_per_copy = 0;
  /// For the unload of a model: the model that gets its room.
  std::optional<model_id> makes_room_for = std::nullopt;
};

/// An engine as the planner sees it.
struct planned_engine {
  endpoint_id id;
  double weights_mb = 0;
  resident_models resident;
  std::set<model_id> in_memory;
  std::set<model_id> on_disk;
  /// An order is under way, so the engine takes no other.
  bool busy = false;
  /// The model that is being loaded, or for which room is being made; counts
  /// as a copy.
  std::optional<model_id> loading;
  /// Time that a step takes, as a multiple of a typical engine's.
  double pace = 1;

  /// Part of a typical engine's load that this one serves without delay.
  double Strength() const;
};

/// Demand for one model over all hosts, requests per second.
struct model_demand {
  /// Over about a second: what must be served now.
  double recent = 0;
  /// Over tens of seconds: what is likely to be asked for again.
  double lasting = 0;
  /// Adapters of the model that were asked for recently.
  int adapters = 0;
};

struct planner_input {
  std::vector<model_spec> models;
  std::vector<planned_engine> engines;
  std::map<model_id, model_demand> demand;
  /// Requests per second that one copy serves without delay.
  double comfortable_per_copy = 10;
  /// Adapters that one engine holds.
  int adapter_slots = 0;
  /// Loads from the weight store that may start now.
  int store_loads = 0;
};

/// Decides which copies of models to load and unload.
///
/// Every model gets two copies where there is room, so that one that is asked
/// for suddenly, or whose engine crashes, is there at once. Further copies
/// follow the demand of seconds and the number of adapters in use; the copy
/// that is missed least makes way, never the last one of a model. A copy at a
/// slow engine counts for a part only, so that busy models come to fast ones.
/// Loads from an engine's own memory or disk go before loads from the weight
/// store.
///
/// Load pattern: a few models receive most requests, which these are changes
/// every ten seconds, a third of the engines is slow, engines crash and come
/// back empty, and rare models are asked for at once.
std::vector<placement_order> PlanCopies(const planner_input& input);

}  // namespace bluebell::serving
