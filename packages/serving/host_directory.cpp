#include "serving/host_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace bluebell::serving {
namespace {

// Sort key of the host ranking: by descending capacity, then by hash, so that
// the first hosts are not all in one zone.
std::tuple<int, std::uint64_t, host_id> RankKey(const host_id& id,
                                                int capacity) {
  return {-capacity, XXH64(id.value().data(), id.value().size(), 0), id};
}

}  // namespace

bool host_directory::OnDigest(const host_digest& digest,
                              const std::string& digest_address) {
  if (digest.host == self_) return false;
  auto& peer = peers_[digest.host];
  const bool same_run = peer.newest.incarnation == digest.incarnation;
  if (same_run && digest.number <= peer.newest.number) return false;
  // A datagram of a previous process may arrive after the first one of its
  // successor.
  const bool was_known = !peer.newest.incarnation.empty();
  if (was_known && !same_run && digest.number > 1 &&
      peer.newest.uptime_ms < digest.uptime_ms &&
      clock_.now() - peer.heard < kSilenceTimeout) {
    return false;
  }
  peer = {digest, digest_address, clock_.now()};
  reported_silent_.erase(digest.host);
  return true;
}

std::vector<std::string> host_directory::Addresses(const zone_id& zone,
                                                   bool self_is_serving) const {
  std::vector<std::string> same_zone;
  std::vector<std::string> other_zones;
  if (self_is_serving) {
    (zone == zone_ ? same_zone : other_zones).push_back(front_address_);
  }
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (!peer.newest.serving || peer.newest.leaving ||
        now - peer.heard > kSilenceTimeout) {
      continue;
    }
    auto& group = peer.newest.zone == zone ? same_zone : other_zones;
    group.push_back(peer.newest.front_address);
  }
  if (same_zone.size() < kMinZoneAddresses) {
    same_zone.insert(same_zone.end(), other_zones.begin(), other_zones.end());
  }
  return same_zone;
}

bool host_directory::IsInOwnZone(const host_id& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.newest.zone == zone_;
}

int host_directory::HostCount() const {
  int count = 1;
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard < kCountTimeout) ++count;
  }
  return count;
}

const host_directory::peer* host_directory::LeaseHolder() const {
  const peer* holder = nullptr;
  for (const auto& [id, peer] : peers_) {
    if (!peer.newest.holds_placement_lease ||
        clock_.now() - peer.heard > kSilenceTimeout) {
      continue;
    }
    if (holder == nullptr || peer.heard > holder->heard) holder = &peer;
  }
  return holder;
}

bool host_directory::IsLive(const peer& other) const {
  return clock_.now() - other.heard <= kSilenceTimeout &&
         other.newest.serving && !other.newest.leaving;
}

int host_directory::Rank() const {
  const auto own = RankKey(self_, capacity_);
  int higher_ranked = 0;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer) && RankKey(id, peer.newest.capacity) < own) {
      ++higher_ranked;
    }
  }
  return higher_ranked;
}

const host_directory::peer* host_directory::PickStoreReader(
    int count, std::uint64_t draw) const {
  std::vector<std::pair<decltype(RankKey(self_, 0)), const peer*>> live;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer)) {
      live.push_back({RankKey(id, peer.newest.capacity), &peer});
    }
  }
  if (live.empty()) return nullptr;
  std::sort(live.begin(), live.end());
  const auto reader_count = std::min<std::size_t>(live.size(), count);
  return live[draw % reader_count].second;
}

std::vector<host_id> host_directory::TakeSilentHosts() {
  std::vector<host_id> silent;
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard <= kSilenceTimeout || reported_silent_.count(id)) {
      continue;
    }
    reported_silent_[id] = true;
    silent.push_back(id);
  }
  return silent;
}

}  // namespace bluebell::serving
