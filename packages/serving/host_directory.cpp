#include "serving/host_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <tuple>
#include <utility>

namespace bluebell::serving {
namespace {

// Order of the hosts: the strongest first, then hashed, so that the first
// ones are not all of one zone.
std::tuple<int, std::uint64_t, host_id> Place(const host_id& id, int capacity) {
  return {-capacity, XXH64(id.value().data(), id.value().size(), 0), id};
}

}  // namespace

bool host_directory::OnDigest(const host_digest& digest,
                              const std::string& digest_address) {
  if (digest.host == self_) return false;
  auto& peer = peers_[digest.host];
  const bool same_run = peer.newest.incarnation == digest.incarnation;
  if (same_run && digest.number <= peer.newest.number) return false;
  // A datagram of a former run may arrive after its successor's first.
  const bool has_heard = !peer.newest.incarnation.empty();
  if (has_heard && !same_run && digest.number > 1 &&
      peer.newest.uptime_ms < digest.uptime_ms &&
      clock_.now() - peer.heard < kSilent) {
    return false;
  }
  peer = {digest, digest_address, clock_.now()};
  reported_silent_.erase(digest.host);
  return true;
}

std::vector<std::string> host_directory::Addresses(const zone_id& zone,
                                                   bool self_serves) const {
  std::vector<std::string> near;
  std::vector<std::string> far;
  if (self_serves) (zone == zone_ ? near : far).push_back(front_address_);
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (!peer.newest.serving || peer.newest.leaving ||
        now - peer.heard > kSilent) {
      continue;
    }
    auto& group = peer.newest.zone == zone ? near : far;
    group.push_back(peer.newest.front_address);
  }
  if (near.size() < kFewest) near.insert(near.end(), far.begin(), far.end());
  return near;
}

bool host_directory::IsInOwnZone(const host_id& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.newest.zone == zone_;
}

int host_directory::HostCount() const {
  int count = 1;
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard < kCounted) ++count;
  }
  return count;
}

const host_directory::peer* host_directory::Placer() const {
  const peer* placer = nullptr;
  for (const auto& [id, peer] : peers_) {
    if (!peer.newest.places || clock_.now() - peer.heard > kSilent) continue;
    if (placer == nullptr || peer.heard > placer->heard) placer = &peer;
  }
  return placer;
}

bool host_directory::IsLive(const peer& other) const {
  return clock_.now() - other.heard <= kSilent && other.newest.serving &&
         !other.newest.leaving;
}

int host_directory::Rank() const {
  const auto own = Place(self_, capacity_);
  int before = 0;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer) && Place(id, peer.newest.capacity) < own) ++before;
  }
  return before;
}

const host_directory::peer* host_directory::Reader(int count,
                                                   std::uint64_t draw) const {
  std::vector<std::pair<decltype(Place(self_, 0)), const peer*>> live;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer)) live.push_back({Place(id, peer.newest.capacity), &peer});
  }
  if (live.empty()) return nullptr;
  std::sort(live.begin(), live.end());
  const auto readers = std::min<std::size_t>(live.size(), count);
  return live[draw % readers].second;
}

std::vector<host_id> host_directory::TakeSilent() {
  std::vector<host_id> silent;
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (now - peer.heard <= kSilent || reported_silent_.count(id)) continue;
    reported_silent_[id] = true;
    silent.push_back(id);
  }
  return silent;
}

}  // namespace bluebell::serving
