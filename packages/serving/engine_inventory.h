#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "serving/copy_planner.h"
#include "serving/engine_record.h"

namespace bluebell::serving {

/// Models and adapters at one engine and the number of orders it has accepted,
/// as known to the placement lease holder.
///
/// Every order states the number of orders that the engine has accepted. The
/// inventory is exact for that number: it starts from the engine's report and
/// applies each accepted order. If the engine accepts an order that is not
/// known here, such as a late one whose response was lost, the numbers differ,
/// the engine refuses the next order, and the inventory is read again. Memory
/// is therefore never allocated twice.
class engine_inventory {
 public:
  /// Applies a report; ignores one that is older than the inventory.
  void OnReport(const engine_report& report);
  /// The engine accepted `order`. With `done` it is complete; otherwise what it
  /// unloads stays counted until a report no longer lists it.
  void OnAccepted(const placement_order& order, bool done);
  /// An order got no response or was refused; a new report is required.
  void Invalidate() { known_ = false; }

  /// Whether orders may be based on the inventory.
  bool known() const { return known_; }
  /// The engine executes an order and refuses others until it is complete.
  bool busy() const { return busy_; }
  std::int64_t order_count() const { return order_count_; }
  const resident_models& resident() const { return resident_; }
  const std::set<model_id>& in_memory() const { return in_memory_; }
  const std::set<model_id>& on_disk() const { return on_disk_; }
  int adapters() const;
  double UsedMb(const engine_spec& spec) const;
  /// Whether the engine has memory and, for an adapter, a slot for `order`.
  bool HasRoom(const placement_order& order, const engine_spec& spec) const;

 private:
  bool known_ = false;
  bool busy_ = false;
  std::int64_t order_count_ = 0;
  resident_models resident_;
  std::set<model_id> in_memory_;
  std::set<model_id> on_disk_;
};

}  // namespace bluebell::serving
