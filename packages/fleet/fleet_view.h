#pragma once

#include <string>
#include <vector>

#include "base/ids.h"

namespace bluebell::fleet {

/// Relation of this host to the platform and to the other hosts.
enum class host_status { kConnected, kOutage, kIsolated };

const char* ToString(host_status status);

/// An entry host that callers may use.
struct entry_host {
  host_id id;
  /// `IPv4:port` of the caller listener.
  std::string address;
  zone_id zone;
};

/// What other packages need to know of the fleet.
class fleet_view {
 public:
  virtual ~fleet_view() = default;

  virtual host_status status() const = 0;
  /// Whether this host holds its lease now. Evaluates the clock at the call;
  /// check it after every wait, immediately before the act that needs it.
  virtual bool HoldsLease() const = 0;
  virtual host_id self() const = 0;
  virtual incarnation_id incarnation() const = 0;
  /// Live hosts that are not leaving, those of `zone` first.
  virtual std::vector<entry_host> EntryHosts(const zone_id& zone) const = 0;
  /// Live members, leaving ones and this host included.
  virtual std::vector<host_id> LiveHosts() const = 0;
  /// Members of the list in force, dead ones included.
  virtual std::vector<host_id> Members() const = 0;
  /// Whether the rights of that incarnation may be reclaimed now: its lease
  /// was seen unchanged for the whole window of docs/design.md, section 4.1.
  virtual bool MayReclaim(const host_id& host,
                          const incarnation_id& incarnation) const = 0;
};

}  // namespace bluebell::fleet
