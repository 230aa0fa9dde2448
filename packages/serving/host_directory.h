#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/host_digest.h"

namespace bluebell::serving {

/// The other hosts, as known from their digests, and the list of addresses that
/// callers use.
///
/// Callers choose an address at random and cache the list for seconds, so the
/// list balances load between hosts. A dead host in the list delays each new
/// connection to it by a second.
class host_directory {
 public:
  struct peer {
    host_digest newest;
    /// Address of its digests, `IPv4:port`.
    std::string digest_address;
    clock::time_point heard;
  };

  /// `capacity` is the host's CPU share in thousandths of a core.
  host_directory(const clock& source, host_id self, zone_id zone,
                 std::string front_address, int capacity)
      : clock_(source),
        self_(std::move(self)),
        zone_(std::move(zone)),
        front_address_(std::move(front_address)),
        capacity_(capacity) {}

  /// Applies a digest. Returns false if it is older than the newest one.
  bool OnDigest(const host_digest& digest, const std::string& digest_address);

  /// Addresses for a caller in `zone`: the serving hosts of that zone, or of
  /// all zones if these are fewer than `kMinZoneAddresses`. Includes this host
  /// if `self_is_serving`.
  std::vector<std::string> Addresses(const zone_id& zone,
                                     bool self_is_serving) const;

  /// Number of hosts that may use a share of a fleet-wide limit: this one and
  /// those that sent a digest within `kCountTimeout`.
  int HostCount() const;
  /// Whether `host` is known and in the zone of this host.
  bool IsInOwnZone(const host_id& host) const;
  const std::map<host_id, peer>& peers() const { return peers_; }
  /// The live host that most recently reported to hold the placement lease;
  /// null if none.
  const peer* LeaseHolder() const;
  /// Number of live hosts that rank before this one. All hosts use the same
  /// ranking, by descending capacity; the first few do work for the fleet.
  int Rank() const;
  /// One of the first `count` hosts of that ranking, selected by the random
  /// number `draw`; null if no other host is live.
  const peer* PickStoreReader(int count, std::uint64_t draw) const;
  /// Hosts without a digest for `kSilenceTimeout`, each reported once.
  std::vector<host_id> TakeSilentHosts();

 private:
  // With fewer addresses in the caller's zone, other zones are listed too.
  static constexpr std::size_t kMinZoneAddresses = 2;
  // Three missed digests in small fleets.
  static constexpr std::chrono::milliseconds kSilenceTimeout{1000};
  static constexpr std::chrono::seconds kCountTimeout{20};

  bool IsLive(const peer& other) const;

  const clock& clock_;
  host_id self_;
  zone_id zone_;
  std::string front_address_;
  int capacity_;
  std::map<host_id, peer> peers_;
  std::map<host_id, bool> reported_silent_;
};

}  // namespace bluebell::serving
