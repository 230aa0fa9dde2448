#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "config/snapshot.h"
#include "fleet/fleet_view.h"
#include "placement/controller_lease.h"
#include "placement/demand_tracker.h"
#include "placement/intent_log.h"
#include "placement/load_throttle.h"
#include "placement/memory_ledger.h"
#include "placement/order_sink.h"
#include "placement/placement_planner.h"
#include "routing/endpoint_view.h"

namespace bluebell::placement {

enum class planner_kind { kStatic, kRecentDemand, kPriorityAware };

struct controller_options {
  planner_kind planner = planner_kind::kPriorityAware;
  /// Below `controller_lease::kMaxCheckGap`.
  clock::duration tick = std::chrono::milliseconds(500);
  clock::duration plan_interval = std::chrono::seconds(1);
  /// Longest time after which an order may still take effect.
  clock::duration order_lifetime = std::chrono::seconds(120);
  /// An order is resent if no report confirmed it within this time.
  clock::duration resend_after = std::chrono::seconds(5);
  /// Time for which the copies on an unreachable engine still count.
  clock::duration loss_grace = std::chrono::seconds(3);
  /// Minimum time a copy stays resident before rebalancing may move it.
  clock::duration min_residency = std::chrono::seconds(120);
  /// Rebalancing moves allowed in each `move_period`.
  int max_moves = 4;
  clock::duration move_period = std::chrono::seconds(60);
  /// Shortest time between two raises of the fencing number.
  clock::duration raise_interval = std::chrono::seconds(5);
  /// Time without use after which an adapter may be unloaded.
  clock::duration adapter_idle = std::chrono::seconds(10);
  /// Engines on which an adapter in use is loaded.
  int adapter_copies = 4;
  throttle_options throttle;
};

/// Places models and adapters on the engines of the fleet. Every host runs
/// one; only the holder of the controller lease plans and sends orders.
class controller {
 public:
  /// All references must outlive the controller; `log` may be null.
  controller(clock& source, config::snapshot& rows,
             routing::endpoint_view& endpoints, const fleet::fleet_view& fleet,
             store::object_store& store, order_sink& orders, event_log* log,
             controller_options options = {});
  ~controller();

  void Start();
  /// Stops sending orders and releases the controller lease.
  void Stop();

  /// Records the demand reported by an entry host, this one included. Used
  /// only on the host in control.
  void OnDemand(const host_id& host,
                const std::vector<routing::target_demand>& demand,
                const std::vector<routing::waiting_target>& waiting) {
    demand_.OnDemand(host, demand, waiting);
  }

  bool in_control() const { return lease_.fence() > 0 && intents_read_; }
  std::uint64_t fence() const { return lease_.fence(); }
  const memory_ledger& ledger() const { return ledger_; }
  /// Models that have no copy and that no engine has room for.
  const std::set<std::string>& unplaced() const { return unplaced_; }
  /// Model loads and unloads sent for rebalancing, limited by `max_moves`.
  std::int64_t moves() const { return moves_; }

 private:
  struct engine_state {
    /// Time at which the engine became unreachable; valid while `lost`.
    clock::time_point lost_since;
    bool lost = false;
    clock::time_point probed_at;
  };

  void Tick();
  void OnAcquired();
  void OnReport(const endpoint_id& id, const routing::endpoint_report& report,
                clock::time_point polled_at);
  void SynchroniseEngines();
  bool IsUsable(const endpoint_id& id);
  bool IsControllable(const endpoint_id& id) const;
  byte_count SizeOf(const std::string& target) const;
  bool IsAdapter(const std::string& target) const;
  bool IsRemoved(const std::string& target) const;

  void ConfirmFences();
  void RetryOrders();
  void PlanModels();
  planning_input MakeInput();
  void Execute(const planning_input& input, const plan& step);
  void ReportUnplaced(const planning_input& input, const plan& step);
  /// Copies of an adapter, and engines that could hold another one.
  struct adapter_copies {
    int count = 0;
    std::vector<endpoint_id> candidates;
  };

  void PlaceAdapters();
  bool IsWanted(const std::string& adapter) const;
  adapter_copies FindCopies(const config::adapter_row& row);
  int LoadCopies(const config::adapter_row& row, const adapter_copies& found,
                 int wanted);
  void MakeRoomForAdapter(const std::vector<endpoint_id>& holders,
                          byte_count size);
  void UnloadOrphans();
  void EvictAdapters(const endpoint_id& id, std::int64_t bytes);
  std::int64_t EvictableBytes(const endpoint_id& id) const;
  std::vector<std::string> IdleAdapters(const endpoint_id& id) const;

  void Load(const endpoint_id& id, const std::string& target);
  void Unload(const endpoint_id& id, const std::string& target);
  /// Sends a load that the ledger already counts, once its intent is stored.
  void SendLoad(const endpoint_id& id, const std::string& target);
  void SendDueLoads(const endpoint_id& id);
  void Send(const endpoint_id& id, order_operation operation,
            const std::string& target, byte_count memory);
  void OnAnswer(const endpoint_id& id, std::uint64_t fence,
                clock::time_point sent_at, const order_result& outcome);
  void Record(event_id id, std::vector<event_field> fields);

  clock& clock_;
  config::snapshot& rows_;
  routing::endpoint_view& endpoints_;
  order_sink& orders_;
  event_log* log_;
  controller_options options_;
  controller_lease lease_;
  demand_tracker demand_;
  load_throttle throttle_;
  memory_ledger ledger_;
  intent_log intents_;
  std::unique_ptr<placement_planner> planner_;

  bool stopped_ = false;
  bool intents_read_ = false;
  /// Whether this host was in control at the previous tick.
  bool was_in_control_ = false;
  clock::time_point acquired_at_;
  /// Fencing number of the acquisition. Engines that enforce it reject orders
  /// of earlier controllers.
  std::uint64_t first_fence_ = 0;
  clock::time_point next_plan_;
  /// Time of the last change of a model's placement.
  clock::time_point last_change_;
  clock::time_point next_clean_up_;
  clock::time_point raised_at_;
  std::map<endpoint_id, engine_state> engine_states_;
  std::set<std::string> unplaced_;
  clock::time_point move_period_start_;
  int moves_in_period_ = 0;
  std::int64_t moves_ = 0;
  timer_handle tick_;
  /// Callbacks hold it weakly to detect that the controller was destroyed.
  std::shared_ptr<controller*> self_;
};

}  // namespace bluebell::placement
