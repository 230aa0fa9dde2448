#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/host_digest.h"

namespace bluebell::serving {

/// The other hosts, as heard from their digests, and the answer to callers
/// who ask which addresses to use.
///
/// Callers choose at random among the listed addresses and keep the answer for
/// seconds, so the list is the load balancing between hosts, and a listed host
/// that is dead costs each new connection a second.
class host_directory {
 public:
  struct peer {
    host_digest newest;
    /// Address of its digests, `IPv4:port`.
    std::string digest_address;
    clock::time_point heard;
  };

  /// `capacity` is the host's processor share in thousandths of a core.
  host_directory(const clock& source, host_id self, zone_id zone,
                 std::string front_address, int capacity)
      : clock_(source),
        self_(std::move(self)),
        zone_(std::move(zone)),
        front_address_(std::move(front_address)),
        capacity_(capacity) {}

  /// Takes in a digest; false if it is older than one already heard.
  bool OnDigest(const host_digest& digest, const std::string& digest_address);

  /// Addresses for a caller in `zone`: the serving hosts of that zone, or all
  /// if these are fewer than `kFewest`. `self_serves` lists this host.
  std::vector<std::string> Addresses(const zone_id& zone,
                                     bool self_serves) const;

  /// Hosts that may hold a share of a common bound, this one included: those
  /// heard within `kCounted`.
  int HostCount() const;
  /// Whether another host that was heard is in the zone of this one.
  bool IsInOwnZone(const host_id& host) const;
  const std::map<host_id, peer>& peers() const { return peers_; }
  /// The host that was last heard to give orders to engines.
  const peer* Placer() const;
  /// Live hosts that come before this one in an order that every host sees
  /// alike, the strongest first: the first few have duties for all.
  int Rank() const;
  /// One of the first `count` hosts of that order, chosen by `draw`; null if
  /// no other host is live.
  const peer* Reader(int count, std::uint64_t draw) const;
  /// Hosts that have said nothing for `kSilent`, each reported once.
  std::vector<host_id> TakeSilent();

 private:
  // Fewest addresses of the caller's zone that are listed alone.
  static constexpr std::size_t kFewest = 2;
  // Three digests missed in small fleets.
  static constexpr std::chrono::milliseconds kSilent{1000};
  static constexpr std::chrono::seconds kCounted{20};

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
