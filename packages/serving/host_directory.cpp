#include "serving/host_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bluebell::serving {

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

int host_directory::Rank() const {
  // Hashed, so that the first hosts are not all of one zone.
  const auto place = [](const host_id& id) {
    return std::make_pair(XXH64(id.value().data(), id.value().size(), 0), id);
  };
  const auto own = place(self_);
  int before = 0;
  for (const auto& [id, peer] : peers_) {
    const bool live = clock_.now() - peer.heard <= kSilent &&
                      peer.newest.serving && !peer.newest.leaving;
    if (live && place(id) < own) ++before;
  }
  return before;
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
