#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/result.h"
#include "fleet/fleet_timing.h"
#include "fleet/fleet_view.h"
#include "fleet/host_record.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::fleet {

struct fleet_settings {
  host_id self;
  /// Addresses under which callers, peers and operators reach this host.
  host_addresses addresses;
  /// Peer addresses of other hosts, pinged until they answer, to find peers
  /// without the platform. Each serves as the peer id until that host reports
  /// its own id.
  std::vector<std::string> seeds;
  fleet_timing timing;
};

/// Callbacks to other components; each may be empty.
struct fleet_hooks {
  /// Latest configuration revision of this host, sent with heartbeats.
  std::function<revision()> config_revision;
  /// Load of this host, sent with heartbeats.
  std::function<double()> load;
  /// Called when a peer reports a newer configuration revision.
  std::function<void(const host_id&, revision)> on_higher_revision;
  /// Called when the peer address of a host or seed becomes known or changes.
  std::function<void(const host_id&, const std::string&)> on_peer_address;
};

/// State of one host as known locally, for operators.
struct host_report {
  host_id id;
  host_addresses addresses;
  incarnation_id incarnation;
  bool member = false;
  bool live = false;
  bool leaving = false;
  double load = 0;
  revision config_revision;
};

/// Fleet membership, the host lease and failure detection; docs/design.md,
/// section 4.1.
class fleet final : public fleet_view {
 public:
  /// Registers message handlers at `network` and schedules the periodic work on
  /// `time`. `store`, `network`, `time` and `events` must outlive the fleet.
  /// Fails with `kInvalidArgument` if the host id, the caller or peer address,
  /// or the zone is empty.
  static result<std::unique_ptr<fleet>> Create(const fleet_settings& settings,
                                               fleet_hooks hooks,
                                               store::object_store& store,
                                               peer::peer_network& network,
                                               clock& time, event_log& events);
  ~fleet() override;

  host_status status() const override;
  bool HoldsLease() const override;
  host_id self() const override;
  /// Identifies the current lease term. It changes when the lease lapses, which
  /// invalidates every right acquired under the previous incarnation: compare
  /// it, and check `HoldsLease`, before each use of a right.
  incarnation_id incarnation() const override;
  std::vector<entry_host> EntryHosts(const zone_id& zone) const override;
  std::vector<host_id> LiveHosts() const override;
  std::vector<host_id> Members() const override;
  bool MayReclaim(const host_id& host,
                  const incarnation_id& incarnation) const override;

  /// All known hosts including this one, sorted by id.
  std::vector<host_report> Hosts() const;
  /// Announces to peers and the platform that this host is draining.
  void AnnounceLeaving();
  /// Gives up the lease and leaves the member list; call it after every
  /// exclusive right has been released. `done` is called after one attempt,
  /// successful or not.
  void Release(std::function<void()> done);

 private:
  class impl;
  explicit fleet(std::unique_ptr<impl> core);

  std::unique_ptr<impl> impl_;
};

}  // namespace bluebell::fleet
