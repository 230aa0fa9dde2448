#include "serving/active_hosts.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <map>
#include <memory>
#include <random>
#include <set>

#include "base/manual_clock.h"
#include "serving/host_directory.h"

namespace bluebell::serving {
namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

TEST(active_hosts_test, SmallZoneIsActiveAsAWhole) {
  std::vector<ranked_host> zone;
  for (int i = 0; i < 8; ++i) {
    zone.push_back({host_id("h" + std::to_string(i)), 250});
  }
  EXPECT_EQ(SelectActive(zone).size(), 8U);
}

// Guards against a zone whose callers are sent to weak hosts while strong ones
// stand by.
TEST(active_hosts_test, StrongestHostsOfALargeZoneAreActive) {
  std::vector<ranked_host> zone;
  for (int i = 0; i < 59; ++i) {
    zone.push_back({host_id("h" + std::to_string(i)), i < 14 ? 400 : 90});
  }
  const auto active = SelectActive(zone);
  EXPECT_EQ(active.size(), 12U);
  for (const auto& host : zone) {
    if (active.count(host.host)) {
      EXPECT_EQ(host.capacity, 400);
    }
  }
}

// Guards against too little processor share where all hosts are weak.
TEST(active_hosts_test, ManyWeakHostsAreActiveTogether) {
  std::vector<ranked_host> zone;
  for (int i = 0; i < 65; ++i) {
    zone.push_back({host_id("h" + std::to_string(i)), 120});
  }
  EXPECT_EQ(SelectActive(zone).size(), 34U);
}

// A fleet that exchanges digests as `digest_exchange` does, on a clock that the
// test advances.
class simulated_fleet {
 public:
  simulated_fleet(int zones, int hosts_per_zone, double loss_rate,
                  std::uint64_t seed)
      : random_(seed), loss_rate_(loss_rate) {
    for (int z = 0; z < zones; ++z) {
      for (int i = 0; i < hosts_per_zone; ++i) {
        member host;
        host.entry = {
            host_id("z" + std::to_string(z) + "-" + std::to_string(i)), "",
            zone_id("z" + std::to_string(z)),
            i < hosts_per_zone / 4 ? 400 : 90};
        host.entry.digest_address = host.entry.host.value();
        hosts_[host.entry.host] = std::move(host);
      }
    }
    for (auto& [id, host] : hosts_) Start(host);
  }

  void Kill(const host_id& id) { hosts_[id].directory.reset(); }
  void Start(const host_id& id) { Start(hosts_[id]); }

  void Advance(milliseconds span) {
    const auto until = clock_.now() + span;
    while (clock_.now() < until) {
      clock_.Advance(kStep);
      for (auto& [id, host] : hosts_) {
        if (host.directory && clock_.now() >= host.next_send) Send(host);
      }
    }
  }

  std::set<host_id> Active(const zone_id& zone) const {
    std::set<host_id> active;
    for (const auto& [id, host] : hosts_) {
      if (host.entry.zone == zone && host.directory &&
          host.directory->active()) {
        active.insert(id);
      }
    }
    return active;
  }

  std::set<host_id> Live(const zone_id& zone) const {
    std::set<host_id> live;
    for (const auto& [id, host] : hosts_) {
      if (host.entry.zone == zone && host.directory) live.insert(id);
    }
    return live;
  }

  std::set<host_id> Expected(const zone_id& zone) const {
    std::vector<ranked_host> candidates;
    for (const auto& id : Live(zone)) {
      candidates.push_back({id, hosts_.at(id).entry.capacity});
    }
    return SelectActive(candidates);
  }

  const host_directory& directory(const host_id& id) const {
    return *hosts_.at(id).directory;
  }

  /// Digests sent since the last call.
  std::size_t TakeSent() { return std::exchange(sent_, 0); }

 private:
  static constexpr milliseconds kStep{50};
  static constexpr milliseconds kInterval{600};
  static constexpr milliseconds kBroadcastInterval{5000};

  struct member {
    host_entry entry;
    std::unique_ptr<host_directory> directory;
    int incarnation = 0;
    clock::time_point started;
    clock::time_point next_send;
    clock::time_point next_broadcast;
    int role_broadcasts = 0;
    std::uint64_t number = 0;
  };

  void Start(member& host) {
    host.directory = std::make_unique<host_directory>(
        clock_, host.entry.host, host.entry.zone, host.entry.host.value(),
        host.entry.capacity);
    ++host.incarnation;
    host.started = clock_.now();
    host.number = 0;
    host.next_send = clock_.now() + Jitter(600);
    host.next_broadcast = clock_.now() + Jitter(5000);
    std::vector<host_entry> listing;
    for (const auto& [id, other] : hosts_) listing.push_back(other.entry);
    host.directory->OnListing(listing);
  }

  milliseconds Jitter(int limit) {
    return milliseconds(static_cast<int>(random_() % limit));
  }

  void Send(member& host) {
    auto& directory = *host.directory;
    host.next_send = clock_.now() + kInterval;
    if (directory.UpdateRole(false)) host.role_broadcasts = 2;
    bool every_host = directory.Rank() < 4;
    if (host.role_broadcasts > 0) {
      --host.role_broadcasts;
      every_host = true;
    }
    if (directory.engaged() && clock_.now() >= host.next_broadcast) {
      host.next_broadcast = clock_.now() + kBroadcastInterval;
      every_host = true;
    }
    host_digest digest;
    digest.host = host.entry.host;
    digest.incarnation = std::to_string(host.incarnation);
    digest.zone = host.entry.zone;
    digest.front_address = host.entry.host.value();
    digest.capacity = host.entry.capacity;
    digest.uptime_ms =
        std::chrono::duration_cast<milliseconds>(clock_.now() - host.started)
            .count();
    digest.number = ++host.number;
    digest.serving = true;
    digest.active = directory.active();
    digest.engaged = directory.engaged();
    for (const auto& [id, address] : directory.Recipients(every_host)) {
      ++sent_;
      auto& receiver = hosts_.at(id);
      if (!receiver.directory) continue;
      if (std::uniform_real_distribution<double>(0, 1)(random_) < loss_rate_) {
        continue;
      }
      receiver.directory->OnDigest(digest, digest.host.value());
    }
  }

  std::mt19937_64 random_;
  double loss_rate_;
  manual_clock clock_;
  std::map<host_id, member> hosts_;
  std::size_t sent_ = 0;
};

// Guards against an exchange whose cost grows with the square of the fleet:
// 340 hosts that send to all others in every interval send 565 digests a second
// each.
TEST(active_hosts_fleet, DigestsPerHostStayBoundedAt340Hosts) {
  simulated_fleet fleet(5, 68, 0, 1);
  fleet.Advance(seconds(8));
  fleet.TakeSent();
  fleet.Advance(seconds(10));
  EXPECT_LT(fleet.TakeSent() / 10.0 / 340, 80);
}

// Guards against hosts that disagree on who is active, which would leave a zone
// without hosts or send its callers to all of them.
TEST(active_hosts_fleet, HostsOfAZoneAgreeAfterTheStartAndAfterLosses) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    simulated_fleet fleet(3, 40, 0.01, seed);
    fleet.Advance(seconds(5));
    const zone_id zone("z0");
    EXPECT_EQ(fleet.Active(zone), fleet.Expected(zone)) << "seed " << seed;
    std::mt19937_64 random(seed);
    for (const auto& id : fleet.Live(zone)) {
      if (random() % 3 == 0) fleet.Kill(id);
    }
    fleet.Advance(seconds(8));
    EXPECT_EQ(fleet.Active(zone), fleet.Expected(zone)) << "seed " << seed;
  }
}

// Guards against a zone that no host serves after all active ones were lost at
// once, and against directory answers without any of the hosts that took over.
TEST(active_hosts_fleet, StandbyHostsTakeOverWhenAllActiveOnesAreLost) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    simulated_fleet fleet(3, 40, 0.01, seed);
    fleet.Advance(seconds(10));
    const zone_id zone("z1");
    const auto lost = fleet.Active(zone);
    ASSERT_FALSE(lost.empty());
    for (const auto& id : lost) fleet.Kill(id);
    fleet.Advance(seconds(3));
    const auto active = fleet.Active(zone);
    EXPECT_FALSE(active.empty()) << "seed " << seed;
    fleet.Advance(seconds(4));
    EXPECT_EQ(fleet.Active(zone), fleet.Expected(zone)) << "seed " << seed;
    for (const auto& id : fleet.Live(zone)) {
      EXPECT_GE(fleet.directory(id).Addresses(zone, true).size(), 6U);
    }
  }
}

// All hosts restart at the same moment with the list in the store as their only
// knowledge: the same hosts must be active again within the next intervals.
TEST(active_hosts_fleet, AllHostsRestartAtOnce) {
  simulated_fleet fleet(3, 40, 0.01, 7);
  fleet.Advance(seconds(10));
  const zone_id zone("z2");
  const auto before = fleet.Active(zone);
  for (const char* name : {"z0", "z1", "z2"}) {
    for (const auto& id : fleet.Live(zone_id(name))) fleet.Kill(id);
  }
  fleet.Advance(seconds(1));
  for (int z = 0; z < 3; ++z) {
    for (int i = 0; i < 40; ++i) {
      fleet.Start(host_id("z" + std::to_string(z) + "-" + std::to_string(i)));
    }
  }
  fleet.Advance(seconds(2));
  EXPECT_EQ(fleet.Active(zone), before);
}

// Engaged hosts divide quotas and retry budgets among themselves, so each must
// count all of them.
TEST(active_hosts_fleet, EngagedHostsCountEachOther) {
  simulated_fleet fleet(4, 30, 0.01, 3);
  fleet.Advance(seconds(10));
  std::size_t engaged = 0;
  for (int z = 0; z < 4; ++z) {
    engaged += fleet.Active(zone_id("z" + std::to_string(z))).size();
  }
  for (const auto& id : fleet.Active(zone_id("z3"))) {
    EXPECT_EQ(fleet.directory(id).HostCount(), static_cast<int>(engaged));
  }
}

}  // namespace
}  // namespace bluebell::serving
