#include "serving/host_directory.h"

#include <xxhash.h>

#include <algorithm>
#include <utility>

namespace bluebell::serving {

void host_directory::OnListing(const std::vector<host_entry>& hosts) {
  listed_.clear();
  list_read_ = true;
  std::map<zone_id, std::vector<ranked_host>> zones;
  zones[zone_].push_back({self_, capacity_});
  for (const auto& entry : hosts) {
    if (entry.host == self_) continue;
    listed_[entry.host] = entry;
    zones[entry.zone].push_back({entry.host, entry.capacity});
  }
  listed_active_ = 0;
  for (const auto& [zone, candidates] : zones) {
    listed_active_ += static_cast<int>(SelectActive(candidates).size());
  }
}

bool host_directory::HeardAllListed() const {
  return list_read_ &&
         std::all_of(listed_.begin(), listed_.end(), [this](const auto& entry) {
           return peers_.count(entry.first) > 0;
         });
}

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
  UpdateCandidates();
  return true;
}

clock::duration host_directory::Lateness(const host_digest& digest) {
  const auto now = clock_.now();
  const auto start = now - std::chrono::milliseconds(digest.uptime_ms);
  auto& known = sender_starts_[digest.host];
  if (known.incarnation != digest.incarnation) {
    known = {digest.incarnation, now, start, start};
  } else if (now - known.window_begin >= kDriftWindow) {
    known = {digest.incarnation, now, start, known.earliest};
  }
  known.earliest = std::min(known.earliest, start);
  return start - std::min(known.earliest, known.earliest_before);
}

bool host_directory::UpdateRole(bool in_use) {
  const bool was_active = active_;
  const bool was_engaged = engaged_;
  active_ = ComputeActive();
  engaged_ = active_ || in_use;
  return active_ != was_active || engaged_ != was_engaged;
}

bool host_directory::ComputeActive() const {
  const auto now = clock_.now();
  std::vector<ranked_host> candidates = {{self_, capacity_}};
  for (const auto& [id, peer] : peers_) {
    const auto& digest = peer.newest;
    const bool may_serve =
        (digest.serving && !digest.engines_lost) ||
        std::chrono::milliseconds(digest.uptime_ms) < kStartupPeriod;
    if (digest.zone == zone_ && may_serve && !digest.leaving &&
        now - peer.heard <= kRoleTimeout) {
      candidates.push_back({id, digest.capacity});
    }
  }
  if (IsStarting()) {
    for (const auto& [id, entry] : listed_) {
      if (entry.zone == zone_ && !peers_.count(id)) {
        candidates.push_back({id, entry.capacity});
      }
    }
  }
  return SelectActive(candidates).count(self_) > 0;
}

bool host_directory::ExchangesWith(const peer& other) const {
  if (other.newest.zone == zone_) return engaged_ || other.newest.engaged;
  return engaged_ && other.newest.engaged;
}

bool host_directory::HeardInTime(const peer& other) const {
  const auto timeout =
      ExchangesWith(other) ? kSilenceTimeout : kBroadcastTimeout;
  return clock_.now() - other.heard <= timeout;
}

std::map<host_id, std::string> host_directory::Recipients(
    bool every_host) const {
  const auto now = clock_.now();
  std::map<host_id, std::string> targets;
  int engaged_in_zone = 0;
  for (const auto& [id, peer] : peers_) {
    const auto age = now - peer.heard;
    if (peer.newest.zone == zone_ && peer.newest.engaged &&
        age <= kRoleTimeout) {
      ++engaged_in_zone;
    }
    if (age < kPeerExpiry && (every_host || ExchangesWith(peer))) {
      targets[id] = peer.digest_address;
    }
  }
  const bool whole_zone = engaged_ || engaged_in_zone < kMinEngagedPeers;
  for (const auto& [id, entry] : listed_) {
    if (every_host || (whole_zone && entry.zone == zone_)) {
      targets.emplace(id, entry.digest_address);
    }
  }
  return targets;
}

std::vector<std::string> host_directory::Addresses(
    const zone_id& zone, bool self_is_serving,
    bool self_reaches_engines) const {
  const bool some_reach = self_reaches_engines || !PeersInContact().empty();
  std::vector<std::string> preferred;
  std::vector<std::string> others;
  const auto add = [&](const zone_id& host_zone, bool is_active, bool reaches,
                       const std::string& address) {
    if (some_reach && !reaches) return;
    (host_zone == zone && is_active ? preferred : others).push_back(address);
  };
  if (self_is_serving) {
    add(zone_, active_, self_reaches_engines, front_address_);
  }
  for (const auto& [id, peer] : peers_) {
    const auto& digest = peer.newest;
    if (digest.serving && !digest.leaving && HeardInTime(peer)) {
      add(digest.zone, digest.active, !digest.engines_lost,
          digest.front_address);
    }
  }
  if (preferred.size() < kMinZoneAddresses) {
    preferred.insert(preferred.end(), others.begin(), others.end());
  }
  if (preferred.size() > kMaxAddresses) preferred.resize(kMaxAddresses);
  return preferred;
}

bool host_directory::IsInOwnZone(const host_id& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.newest.zone == zone_;
}

int host_directory::HostCount() const {
  int count = 1;
  const auto now = clock_.now();
  for (const auto& [id, peer] : peers_) {
    if (peer.newest.engaged && now - peer.heard < kCountTimeout) ++count;
  }
  return IsStarting() ? std::max(count, listed_active_) : count;
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

std::vector<const host_directory::peer*> host_directory::PeersInContact()
    const {
  std::vector<const peer*> reaching;
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer) && peer.newest.has_engine_contact) {
      reaching.push_back(&peer);
    }
  }
  return reaching;
}

bool host_directory::IsListed(const std::string& ip) const {
  return std::any_of(listed_.begin(), listed_.end(), [&ip](const auto& entry) {
    return entry.second.digest_address.compare(0, ip.size() + 1, ip + ":") == 0;
  });
}

bool host_directory::IsLive(const peer& other, clock::duration silence) const {
  return clock_.now() - other.heard <= silence && other.newest.serving &&
         !other.newest.leaving;
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

std::uint64_t EngineHash(const endpoint_id& engine) {
  return XXH64(engine.value().data(), engine.value().size(), 0);
}

const host_directory::peer* host_directory::PermitOwner(
    std::uint64_t engine, bool self_may_own) const {
  const auto candidates = Candidates(self_may_own, false, kSilenceTimeout);
  const auto* owner = Owner(candidates, engine);
  return owner == nullptr ? nullptr : owner->second;
}

std::optional<permit_tenure> host_directory::PermitTenure(std::uint64_t engine,
                                                          bool self_may_own) {
  self_may_own_ = self_may_own;
  UpdateCandidates();
  const auto live = Candidates(self_may_own, false, kSilenceTimeout);
  const auto* owner = Owner(live, engine);
  if (owner == nullptr || owner->first != self_) return std::nullopt;
  const auto known = Candidates(self_may_own, false, kContestTimeout, true);
  return permit_tenure{candidates_since_ + kTenureDelay,
                       Owner(known, engine)->first != self_};
}

void host_directory::UpdateCandidates() {
  std::vector<host_id> ids;
  for (const auto& [id, peer] :
       Candidates(self_may_own_, false, kSilenceTimeout)) {
    ids.push_back(id);
  }
  if (ids == permit_candidates_) return;
  permit_candidates_ = std::move(ids);
  candidates_since_ = clock_.now();
}

const host_directory::peer* host_directory::RoomOwner(std::uint64_t engine,
                                                      bool self_may_own) const {
  const auto candidates = Candidates(self_may_own, true, kSilenceTimeout);
  const auto* owner = Owner(candidates, engine);
  return owner == nullptr ? nullptr : owner->second;
}

bool host_directory::SharesRoom(const host_id& host) const {
  const auto found = peers_.find(host);
  return found != peers_.end() && found->second.newest.shares_room;
}

std::vector<host_directory::candidate> host_directory::Candidates(
    bool self_may_own, bool only_room, clock::duration silence,
    bool with_listed) const {
  std::vector<std::pair<decltype(RankKey(self_, 0)), candidate>> ranking;
  if (self_may_own) {
    ranking.push_back({RankKey(self_, capacity_), {self_, nullptr}});
  }
  for (const auto& [id, peer] : peers_) {
    if (IsLive(peer, silence) && (!only_room || peer.newest.shares_room)) {
      ranking.push_back({RankKey(id, peer.newest.capacity), {id, &peer}});
    }
  }
  if (with_listed && clock_.now() - started_ <= silence) {
    for (const auto& [id, entry] : listed_) {
      if (peers_.count(id)) continue;
      ranking.push_back({RankKey(id, entry.capacity), {id, nullptr}});
    }
  }
  std::sort(ranking.begin(), ranking.end());
  if (ranking.size() > kPermitOwners) ranking.resize(kPermitOwners);
  std::vector<candidate> first;
  for (auto& [rank, entry] : ranking) first.push_back(std::move(entry));
  return first;
}

const host_directory::candidate* host_directory::Owner(
    const std::vector<candidate>& candidates, std::uint64_t engine) {
  // The highest combined hash, so that a change of the ranking moves only the
  // engines of the hosts that come or go.
  const candidate* owner = nullptr;
  std::uint64_t highest = 0;
  for (const auto& entry : candidates) {
    const auto& id = entry.first;
    const auto hash = XXH64(id.value().data(), id.value().size(), engine);
    if (hash < highest) continue;
    highest = hash;
    owner = &entry;
  }
  return owner;
}

std::vector<std::string> host_directory::StartKeepers(std::size_t count) const {
  const auto own = XXH64(self_.value().data(), self_.value().size(), 0);
  std::vector<std::pair<std::uint64_t, std::string>> live;
  for (const auto& [id, peer] : peers_) {
    if (!IsLive(peer)) continue;
    live.emplace_back(XXH64(id.value().data(), id.value().size(), own),
                      peer.digest_address);
  }
  std::sort(live.begin(), live.end());
  if (live.size() > count) live.resize(count);
  std::vector<std::string> addresses;
  for (auto& [hash, address] : live) addresses.push_back(std::move(address));
  return addresses;
}

double host_directory::LiveFraction() const {
  int live = 1;
  int known = 1;
  for (const auto& [id, peer] : peers_) {
    if (!peer.newest.engaged || peer.newest.leaving ||
        clock_.now() - peer.heard >= kCountTimeout) {
      continue;
    }
    ++known;
    if (HeardInTime(peer)) ++live;
  }
  if (IsStarting()) known = std::max(known, listed_active_);
  return static_cast<double>(live) / known;
}

std::vector<host_id> host_directory::TakeSilentHosts() {
  std::vector<host_id> silent;
  for (const auto& [id, peer] : peers_) {
    if (HeardInTime(peer) || reported_silent_.count(id)) continue;
    reported_silent_[id] = true;
    silent.push_back(id);
  }
  return silent;
}

}  // namespace bluebell::serving
