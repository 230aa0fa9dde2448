#pragma once

#include <functional>
#include <optional>
#include <vector>

#include "serving/copy_planner.h"

namespace bluebell::serving {

/// A model engine that could load an adapter.
struct adapter_candidate {
  endpoint_id id;
  resident_models resident;
  int adapter_slots = 0;
  double free_mb = 0;
  /// Time per step as a multiple of a typical engine's.
  double step_time_ratio = 1;
};

/// Requests per second for an adapter.
using adapter_rate =
    std::function<double(const model_id& model, const adapter_id& adapter)>;

/// Plans the next order towards having `adapter` at an engine that holds
/// `model`: a load if an engine has a free slot, otherwise the unload of the
/// adapter with the lowest demand. Faster engines are preferred. Returns none
/// if the adapter is loaded already or no engine can hold it.
///
/// Workload: half of the short requests name one of dozens of adapters, and
/// the engines have about as many adapter slots in total as the busy models
/// have adapters.
std::optional<placement_order> PlanAdapter(
    const std::vector<adapter_candidate>& candidates, const model_id& model,
    const adapter_id& adapter, double adapter_mb, const adapter_rate& rate);

}  // namespace bluebell::serving
