#pragma once

#include <string>

#include "fleet/fleet_view.h"
#include "peer/peer_network.h"
#include "routing/queue_scheduler.h"

namespace bluebell::daemon {

/// Exchanges crash counts with the live hosts.
class quarantine_exchange {
 public:
  /// The arguments must outlive the exchange.
  quarantine_exchange(peer::peer_network& peers, const fleet::fleet_view& fleet)
      : peers_(peers), fleet_(fleet) {}

  /// Sends a crash count to every live host. Lost notices are not sent again,
  /// because the next crash causes a new one.
  void Broadcast(const std::string& fingerprint, int crashes);
  /// Passes received crash counts to the scheduler, which must outlive the peer
  /// network.
  void HandleNotices(routing::queue_scheduler& scheduler);

 private:
  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
};

}  // namespace bluebell::daemon
