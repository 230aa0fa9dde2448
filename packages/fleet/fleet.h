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
  /// Peer addresses of other hosts, tried while the platform names none. Each
  /// serves as peer id until the host there has told its own.
  std::vector<std::string> seeds;
  fleet_timing timing;
};

/// Connections to other components; each may be left empty.
struct fleet_hooks {
  /// Newest configuration revision of this host, sent with heartbeats.
  std::function<revision()> config_revision;
  /// Load of this host, sent with heartbeats.
  std::function<double()> load;
  /// A peer has a newer configuration than this host.
  std::function<void(const host_id&, revision)> on_higher_revision;
  /// The peer address of a host or seed became known or changed.
  std::function<void(const host_id&, const std::string&)> on_peer_address;
};

/// One host as this host knows it, for operators.
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

/// Membership, host lease and contact with the other hosts; docs/design.md,
/// section 4.1.
class fleet final : public fleet_view {
 public:
  /// Registers its handlers at `network` and starts to work on `time`. The
  /// arguments must outlive the fleet. Fails with `kInvalidArgument` if a
  /// setting is empty.
  static result<std::unique_ptr<fleet>> Create(const fleet_settings& settings,
                                               fleet_hooks hooks,
                                               store::object_store& store,
                                               peer::peer_network& network,
                                               clock& time, event_log& events);
  ~fleet() override;

  host_status status() const override;
  bool HoldsLease() const override;
  host_id self() const override;
  /// The term of the lease. It changes when the lease lapses, and every right
  /// that was acquired under another incarnation is lost then: compare it
  /// together with `HoldsLease` before each use of a right.
  incarnation_id incarnation() const override;
  std::vector<entry_host> EntryHosts(const zone_id& zone) const override;
  std::vector<host_id> LiveHosts() const override;
  std::vector<host_id> Members() const override;
  bool MayReclaim(const host_id& host,
                  const incarnation_id& incarnation) const override;

  /// All known hosts, this one included, in the order of their ids.
  std::vector<host_report> Hosts() const;
  /// Announces to peers and the platform that this host is draining.
  void AnnounceLeaving();
  /// Gives up the lease and the membership; call it when every exclusive right
  /// was handed back. `done` is called after one attempt.
  void Release(std::function<void()> done);

 private:
  class impl;
  explicit fleet(std::unique_ptr<impl> core);

  std::unique_ptr<impl> impl_;
};

}  // namespace bluebell::fleet
