#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "base/clock.h"
#include "serving/active_hosts.h"
#include "serving/engine_limits.h"
#include "serving/host_digest.h"

namespace bluebell::serving {

/// Selects the host that does a task for `engine`, alike at all hosts.
std::uint64_t EngineHash(const endpoint_id& engine);

/// The other hosts, as known from the store's list and from their digests; who
/// exchanges digests with whom; and the list of addresses that callers use.
///
/// Callers choose an address at random and cache the list for seconds, so the
/// list balances load between hosts. A dead host in the list delays each new
/// connection to it by a second.
///
/// In each zone the highest-ranked live hosts are active and are listed for
/// callers; the others stand by. A host that is active or still receives
/// requests is engaged. Engaged hosts exchange digests with all engaged hosts
/// and with the standby hosts of their zone; standby hosts exchange digests
/// only with the engaged hosts of their zone. The first hosts of the ranking
/// and the placement lease holder send to every host. Each host decides alone
/// from what it hears: if the active hosts of a zone fall silent, those that
/// stand by become active, and step back once enough higher-ranked ones are
/// heard again.
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
        capacity_(capacity),
        started_(source.now()) {}

  /// Replaces the hosts that the store lists.
  void OnListing(const std::vector<host_entry>& hosts);
  /// Whether the store's list was read and each host in it was heard.
  bool HeardAllListed() const;
  /// Applies a digest. Returns false if it is older than the newest one.
  bool OnDigest(const host_digest& digest, const std::string& digest_address);
  /// Recomputes whether this host is active and engaged. `in_use`: it receives
  /// requests. Returns whether either changed; the next digests then go to
  /// every host.
  bool UpdateRole(bool in_use);
  /// This host is listed for callers.
  bool active() const { return active_; }
  /// This host takes part in the exchange of all engaged hosts.
  bool engaged() const { return engaged_; }

  /// Digest addresses of the hosts that get this host's next digest, or of all
  /// known hosts.
  std::map<host_id, std::string> Recipients(bool every_host) const;

  /// Addresses for a caller in `zone`: the active hosts of that zone, or all
  /// known hosts if these are fewer than `kMinZoneAddresses`. Includes this
  /// host if `self_is_serving` and it is active or too few others are known.
  /// Hosts that reach no engine are left out while others do. At most
  /// `kMaxAddresses`, those of the zone first.
  std::vector<std::string> Addresses(const zone_id& zone, bool self_is_serving,
                                     bool self_reaches_engines = true) const;

  /// Number of hosts that may use a share of a fleet-wide limit: this one and
  /// the engaged ones that sent a digest within `kCountTimeout`; after the
  /// start at least those that the store's list suggests.
  int HostCount() const;
  /// Whether `host` is known and in the zone of this host.
  bool IsInOwnZone(const host_id& host) const;
  const std::map<host_id, peer>& peers() const { return peers_; }
  /// How much later than the quickest digests of its sender `digest` is
  /// handled: ages in it have grown by that much. Zero for the first one.
  clock::duration Lateness(const host_digest& digest);
  /// Live hosts that reach engines.
  std::vector<const peer*> PeersInContact() const;
  /// Whether the store lists a host at this IPv4 address.
  bool IsListed(const std::string& ip) const;
  /// The live host that most recently reported to hold the placement lease;
  /// null if none.
  const peer* LeaseHolder() const;
  /// Number of live hosts that rank before this one. All hosts use the same
  /// ranking, by descending capacity; the first few do work for the fleet.
  int Rank() const;
  /// One of the first `count` hosts of that ranking, selected by the random
  /// number `draw`; null if no other host is live.
  const peer* PickStoreReader(int count, std::uint64_t draw) const;
  /// The host that grants permits for the engine with hash `engine`: one of the
  /// first of that ranking. Null if it is this host; `self_may_own`: whether it
  /// is in the ranking.
  const peer* PermitOwner(std::uint64_t engine, bool self_may_own) const;
  /// This host's right to grant permits for the cold engine with hash `engine`;
  /// none if another host has it. It begins one second after the candidates for
  /// it last changed here, so that earlier owners have noticed the change too.
  std::optional<permit_tenure> PermitTenure(std::uint64_t engine,
                                            bool self_may_own);
  /// The host that grants room at the engine with hash `engine`
  /// (`room_ledger`), chosen in the same way among hosts that do.
  const peer* RoomOwner(std::uint64_t engine, bool self_may_own) const;
  /// Whether `host` asks for room at engines of brittle services.
  bool SharesRoom(const host_id& host) const;
  /// Digest addresses of up to `count` live hosts that keep this one's starts
  /// of streams. Few of them change when other hosts come or go.
  std::vector<std::string> StartKeepers(std::size_t count) const;
  /// Live fraction of the hosts that may use a share of a fleet-wide limit.
  double LiveFraction() const;
  /// Hosts whose digests are due but did not arrive for `kSilenceTimeout`, each
  /// reported once.
  std::vector<host_id> TakeSilentHosts();

 private:
  // With fewer addresses in the caller's zone, other zones are listed too.
  static constexpr std::size_t kMinZoneAddresses = 2;
  // Addresses in one answer.
  static constexpr std::size_t kMaxAddresses = 64;
  // Three missed digests in small fleets.
  static constexpr std::chrono::milliseconds kSilenceTimeout{1000};
  // Hosts that send only their regular broadcasts to this one are taken as
  // live for this long.
  static constexpr std::chrono::milliseconds kBroadcastTimeout{6500};
  // A role changes only after several missed digests: each change costs a
  // broadcast, and callers move.
  static constexpr std::chrono::milliseconds kRoleTimeout{2000};
  // After its start a host takes those that the store lists as live until they
  // could be heard, so that a fleet that starts at once does not exchange
  // digests between all pairs.
  static constexpr std::chrono::milliseconds kStartupPeriod{3000};
  static constexpr std::chrono::seconds kCountTimeout{20};
  // The first hosts of the ranking, which send their digests to every host.
  static constexpr std::size_t kPermitOwners = 3;
  // A silent host may grant permits to others for as long as a link is cut.
  static constexpr std::chrono::seconds kContestTimeout{120};
  // Hosts learn of a change of the ranking within about one digest interval.
  static constexpr std::chrono::seconds kTenureDelay{1};
  // A host that was silent for this long gets digests only if the store lists
  // it.
  static constexpr std::chrono::seconds kPeerExpiry{10};
  // A standby host that hears fewer engaged hosts sends to its whole zone.
  static constexpr int kMinEngagedPeers = 2;

  bool IsLive(const peer& other,
              clock::duration silence = kSilenceTimeout) const;
  // A host in the ranking; null for this one and for hosts that are only
  // listed.
  using candidate = std::pair<host_id, const peer*>;
  // The first of the ranking of those that were heard within `silence`.
  // `only_room`: of the hosts that share room. `with_listed`: also those that
  // the store lists and that were not heard since this host's start, which was
  // within `silence`.
  std::vector<candidate> Candidates(bool self_may_own, bool only_room,
                                    clock::duration silence,
                                    bool with_listed = false) const;
  // The candidate for the engine with hash `engine`; null if there is none.
  static const candidate* Owner(const std::vector<candidate>& candidates,
                                std::uint64_t engine);
  bool IsStarting() const { return clock_.now() - started_ < kStartupPeriod; }
  // Whether `other` sends this host each of its digests.
  bool ExchangesWith(const peer& other) const;
  bool HeardInTime(const peer& other) const;
  bool ComputeActive() const;
  void UpdateCandidates();

  const clock& clock_;
  host_id self_;
  zone_id zone_;
  std::string front_address_;
  int capacity_;
  clock::time_point started_;
  bool active_ = false;
  bool engaged_ = false;
  /// Hosts in the store's list other than this one.
  std::map<host_id, host_entry> listed_;
  bool list_read_ = false;
  /// Number of hosts that would be active if all listed ones were live.
  int listed_active_ = 0;
  std::map<host_id, peer> peers_;
  std::map<host_id, bool> reported_silent_;
  /// Candidates for permits as of the last digest or `PermitTenure`, and since
  /// when they are the same.
  std::vector<host_id> permit_candidates_;
  clock::time_point candidates_since_;
  bool self_may_own_ = true;
  /// Start of a sender by this host's clock, as its quickest digests of the
  /// last one to two windows tell; clocks drift apart over longer times.
  struct sender_start {
    std::string incarnation;
    clock::time_point window_begin;
    clock::time_point earliest;
    clock::time_point earliest_before;
  };
  static constexpr std::chrono::seconds kDriftWindow{60};
  std::map<host_id, sender_start> sender_starts_;
};

}  // namespace bluebell::serving
