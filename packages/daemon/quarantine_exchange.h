#pragma once

#include <string>

#include "fleet/fleet_view.h"
#include "peer/peer_network.h"
#include "routing/queue_scheduler.h"

namespace bluebell::daemon {

/// Sends this host's crash counts to the live hosts and takes in theirs.
class quarantine_exchange {
 public:
  /// The arguments must outlive the exchange.
  quarantine_exchange(peer::peer_network& peers, const fleet::fleet_view& fleet)
      : peers_(peers), fleet_(fleet) {}

  /// Sends a count to every live host; lost notices are not repeated, because
  /// the next crash is announced again.
  void Announce(const std::string& fingerprint, int crashes);
  /// Passes received counts to the scheduler, which must outlive the network.
  void Deliver(routing::queue_scheduler& scheduler);

 private:
  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
};

}  // namespace bluebell::daemon
