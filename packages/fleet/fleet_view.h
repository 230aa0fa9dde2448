#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace bluebell::fleet {

/// Connectivity of this host: platform contact within 3T is known
/// (`kConnected`), a majority confirms that there is none (`kOutage`), or
/// neither (`kIsolated`).
enum class host_status { kConnected, kOutage, kIsolated };

const char* ToString(host_status status);

/// An entry host that callers may use.
struct entry_host {
  host_id id;
  /// `IPv4:port` of the caller listener.
  std::string address;
  zone_id zone;
};

/// Read-only interface of the fleet for other packages.
class fleet_view {
 public:
  virtual ~fleet_view() = default;

  virtual host_status status() const = 0;
  /// Whether this host holds its lease now. Reads the clock on each call; call
  /// it after every wait, immediately before the action that needs the lease.
  virtual bool HoldsLease() const = 0;
  virtual host_id self() const = 0;
  virtual incarnation_id incarnation() const = 0;
  /// Live hosts that are not leaving, those in `zone` first. An isolated host
  /// that reaches no peer returns all other known hosts that are not leaving.
  virtual std::vector<entry_host> EntryHosts(const zone_id& zone) const = 0;
  /// Live members, including leaving ones and this host.
  virtual std::vector<host_id> LiveHosts() const = 0;
  /// All members of the current list, including dead ones.
  virtual std::vector<host_id> Members() const = 0;
  /// Whether the rights of `incarnation` may be reclaimed now: it released its
  /// lease, or the lease was not renewed for the whole reclaim window of
  /// docs/design.md, section 4.1.
  virtual bool MayReclaim(const host_id& host,
                          const incarnation_id& incarnation) const = 0;
};

}  // namespace bluebell::fleet
