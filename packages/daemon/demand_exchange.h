#pragma once

#include <memory>
#include <vector>

#include "base/clock.h"
#include "fleet/fleet_view.h"
#include "peer/peer_network.h"
#include "placement/controller.h"
#include "routing/queue_scheduler.h"
#include "store/object_store.h"

namespace bluebell::daemon {

/// Reports this host's demand to the host that controls the placement and
/// passes received reports to the local controller.
class demand_exchange {
 public:
  /// The arguments must outlive the exchange.
  demand_exchange(peer::peer_network& peers, store::object_store& store,
                  const fleet::fleet_view& fleet,
                  routing::queue_scheduler& scheduler,
                  placement::controller& controller, clock& time);

  void Start();

 private:
  void Tick();
  void FindController();
  void Report();

  peer::peer_network& peers_;
  store::object_store& store_;
  const fleet::fleet_view& fleet_;
  routing::queue_scheduler& scheduler_;
  placement::controller& controller_;
  clock& time_;
  /// Host that held the controller lease when it was last read.
  host_id controller_host_;
  int ticks_ = 0;
  /// Whether the last report was empty.
  bool last_report_empty_ = false;
  timer_handle next_;
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

/// Encodes the peer message `demand_report`.
nlohmann::json ToJson(const std::vector<routing::target_demand>& demand,
                      const std::vector<routing::waiting_target>& waiting);

/// Parses a `demand_report`; returns false and leaves the arguments in an
/// unspecified state if the message is malformed.
bool FromJson(const nlohmann::json& body,
              std::vector<routing::target_demand>& demand,
              std::vector<routing::waiting_target>& waiting);

}  // namespace bluebell::daemon
