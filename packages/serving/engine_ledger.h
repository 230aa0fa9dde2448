#pragma once

#include <cstdint>
#include <map>
#include <utility>

#include "serving/copy_planner.h"
#include "serving/engine_record.h"

namespace bluebell::serving {

/// What one engine holds and which orders it has accepted, as the placement
/// holder knows it.
///
/// Every order names the number of orders that the engine has accepted. The
/// ledger is exact for that number: it starts from the engine's report and
/// adds each accepted order. If another order slips in, such as one without an
/// answer that is carried out late, the number differs, the engine refuses the
/// next order, and the ledger is read anew. Memory is therefore never ordered
/// twice.
class engine_ledger {
 public:
  /// Takes in a report; older ones than the ledger are ignored.
  void OnReport(const engine_report& report);
  /// The engine accepted `order`. With `done` it is carried out already, else
  /// what it unloads stays counted until a report shows that it is gone.
  void OnAccepted(const placement_order& order, bool done);
  /// An order got no answer or was refused; the next report is needed.
  void OnUncertain() { known_ = false; }

  /// Whether orders may be based on the ledger.
  bool known() const { return known_; }
  /// The engine carries out an order that makes it refuse others.
  bool busy() const { return busy_; }
  std::int64_t order_count() const { return order_count_; }
  const resident_models& resident() const { return resident_; }
  const std::set<model_id>& in_memory() const { return in_memory_; }
  const std::set<model_id>& on_disk() const { return on_disk_; }
  int adapters() const;
  double UsedMb(const engine_spec& spec) const;
  /// Whether the engine has room for what `order` loads.
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
