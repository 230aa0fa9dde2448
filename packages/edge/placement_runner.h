#pragma once

#include <boost/asio/spawn.hpp>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "edge/digest_exchange.h"
#include "edge/edge_state.h"
#include "serving/copy_planner.h"
#include "serving/engine_inventory.h"

namespace bluebell::edge {

/// Competes for the placement lease and, while holding it, sends placement
/// orders to the engines.
///
/// Every order carries the expected count of orders that the engine has
/// accepted. A delayed order is therefore refused once another was accepted,
/// and of two orders with the same count only one is executed.
class placement_runner {
 public:
  placement_runner(edge_state& host, digest_exchange& exchange);

  /// Reads, acquires and renews the placement lease until the host stops.
  void RunLease(boost::asio::yield_context yield);
  /// Plans and sends orders while this host holds the lease.
  void RunPlanning(boost::asio::yield_context yield);
  /// Releases the lease before the process stops.
  void Resign(boost::asio::yield_context yield);

 private:
  enum class order_result {
    kAccepted,
    kDone,
    kRefused,
    kEngineGone,
    kNoAnswer
  };

  // State of the orders to one engine.
  struct engine_orders {
    std::int64_t started_ms = 0;
    serving::engine_inventory inventory;
    /// An order is planned or in progress; the engine gets no other.
    bool busy = false;
    /// An order or a report request to the engine has not been answered yet.
    bool sending = false;
    /// No order is sent before this time, because the engine refused one.
    clock::time_point refused_until;
    std::optional<model_id> loading;
  };

  bool WriteLease(boost::asio::yield_context yield);
  serving::planner_input BuildInput(const serving::service& service);
  engine_orders& OrdersOf(const endpoint_id& id);
  const serving::engine_spec* EngineSpecOf(const endpoint_id& id) const;
  bool IsFree(const engine_orders& orders) const;
  void RefreshInventory(const endpoint_id& id);
  void ExecuteOrder(serving::placement_order order,
                    boost::asio::yield_context yield);
  void AwaitCompletion(const serving::placement_order& order, double expected_s,
                       boost::asio::yield_context yield);
  order_result SendOrder(const serving::placement_order& order,
                         boost::asio::yield_context yield);
  std::optional<serving::engine_report> FetchReport(
      const endpoint_id& id, boost::asio::yield_context yield);
  void OnAdapterRequest(const serving::adapter_request& request);
  void LoadAdapter(const serving::adapter_request& request,
                   boost::asio::yield_context yield);
  std::optional<serving::placement_order> NextAdapterOrder(
      const serving::adapter_request& request);
  void PublishResidency(const endpoint_id& id, const model_id& model,
                        const adapter_id& adapter, bool present);
  double AdapterRate(const model_id& model, const adapter_id& adapter) const;
  std::vector<serving::residency_notice> RecentNotices();

  edge_state& host_;
  digest_exchange& exchange_;
  std::map<endpoint_id, engine_orders> orders_;
  std::map<model_id, double> sustained_demand_;
  clock::time_point planned_at_;
  double store_load_tokens_ = 1;
  std::set<std::pair<model_id, adapter_id>> pending_adapters_;
  /// Recent residency changes and their times, sent to the other hosts.
  std::vector<std::pair<serving::residency_notice, clock::time_point>> notices_;
  bool may_act_ = false;
};

}  // namespace bluebell::edge
