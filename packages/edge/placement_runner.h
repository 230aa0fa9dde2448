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

/// Holds the placement duty when it can get it, and then gives orders to the
/// engines.
///
/// Every order names the number of orders that its engine has accepted, so an
/// order that got no answer and is carried out late is refused once another
/// order was accepted; of two with the same number only one takes place.
class placement_runner {
 public:
  placement_runner(edge_state& host, digest_exchange& exchange);

  /// Reads, renews and releases the duty until the process ends.
  void RunDuty(boost::asio::yield_context yield);
  /// Plans and sends orders while this host holds the duty.
  void RunPlanning(boost::asio::yield_context yield);
  /// Releases the duty before the process stops.
  void Resign(boost::asio::yield_context yield);

 private:
  enum class order_result { kAccepted, kDone, kRefused, kGone, kNoAnswer };

  // The orders to one engine.
  struct engine_work {
    std::int64_t started_ms = 0;
    serving::engine_inventory ledger;
    /// An order is planned or under way that keeps the engine from others.
    bool busy = false;
    /// An order or a question is on its way to the engine.
    bool sending = false;
    /// The engine refused an order; it gets none until then.
    clock::time_point refused_until;
    std::optional<model_id> loading;
  };

  bool WriteDuty(boost::asio::yield_context yield);
  serving::planner_input BuildInput(const serving::service& service);
  engine_work& WorkOf(const endpoint_id& id);
  const serving::engine_spec* SpecOf(const endpoint_id& id) const;
  bool IsFree(const engine_work& work) const;
  void ReadLedger(const endpoint_id& id);
  void CarryOut(serving::placement_order order,
                boost::asio::yield_context yield);
  void AwaitEnd(const serving::placement_order& order, double expected_s,
                boost::asio::yield_context yield);
  order_result Send(const serving::placement_order& order,
                    boost::asio::yield_context yield);
  std::optional<serving::engine_report> Report(
      const endpoint_id& id, boost::asio::yield_context yield);
  void OnWant(const serving::adapter_request& want);
  void LoadAdapter(const serving::adapter_request& want,
                   boost::asio::yield_context yield);
  std::optional<serving::placement_order> NextAdapterOrder(
      const serving::adapter_request& want);
  void Publish(const endpoint_id& id, const model_id& model,
               const adapter_id& adapter, bool present);
  double AdapterRate(const model_id& model, const adapter_id& adapter) const;
  std::vector<serving::residency_notice> Notices();

  edge_state& host_;
  digest_exchange& exchange_;
  std::map<endpoint_id, engine_work> work_;
  std::map<model_id, double> lasting_;
  clock::time_point planned_;
  double store_loads_ = 1;
  std::set<std::pair<model_id, adapter_id>> wanted_;
  /// Recent changes, told to the other hosts.
  std::vector<std::pair<serving::residency_notice, clock::time_point>> notices_;
  bool acting_ = false;
};

}  // namespace bluebell::edge
