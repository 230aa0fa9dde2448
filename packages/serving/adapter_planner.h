#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "serving/copy_planner.h"

namespace bluebell::serving {

/// An engine with the model whose adapter is wanted.
struct adapter_candidate {
  endpoint_id id;
  resident_models resident;
  int adapter_slots = 0;
  double free_mb = 0;
  /// Time that a step takes, as a multiple of a typical engine's.
  double pace = 1;
};

/// Requests per second for an adapter.
using adapter_rate =
    std::function<double(const model_id& model, const adapter_id& adapter)>;

/// Gives the order that brings `adapter` closer to `wanted.model`'s engines:
/// its load where a place is free, else the unload of the adapter that is
/// asked for least; at a fast engine rather than at a slow one. None if it is
/// there already or nowhere possible.
///
/// Load pattern: half of the short requests name one of dozens of adapters,
/// and the engines together have about as many places as there are adapters
/// of the busy models.
std::optional<placement_order> PlanAdapter(
    const std::vector<adapter_candidate>& candidates, const model_id& model,
    const adapter_id& adapter, double adapter_mb, const adapter_rate& rate);

}  // namespace bluebell::serving
