#include "serving/room_ledger.h"

#include <algorithm>
#include <cmath>

namespace bluebell::serving {
namespace {

// Matches the grant or the request `number` of `holder`.
auto IsOf(const std::string& holder, std::uint64_t number) {
  return [&holder, number](const auto& entry) {
    return entry.holder == holder && entry.number == number;
  };
}

}  // namespace

bool room_ledger::HasRoom(state& engine) const {
  const auto now = clock_.now();
  auto& refusals = engine.refusals;
  while (!refusals.empty() &&
         now - refusals.front() > std::chrono::seconds(1)) {
    refusals.pop_front();
  }
  // Half of what it survives is left to requests that are not granted here.
  const auto allowed = std::max(1.0, engine.room.refusals_per_s / 2);
  if (static_cast<double>(refusals.size()) >= allowed) return false;
  const bool took_over = now - engine.owned_since < kTakeover;
  // Its next answer tells whether the load that others cause has ended.
  if (engine.grants.empty() && !took_over) return true;
  const int unknown =
      std::max(engine.room.others,
               static_cast<int>(std::lround(engine.unknown_load.value_or(0))));
  const int used = static_cast<int>(engine.grants.size()) + unknown;
  const int in_flight = took_over ? engine.room.in_flight : 0;
  return std::max(used, in_flight) < engine.room.slots;
}

void room_ledger::Grant(state& engine, const room_request& request) const {
  auto& grants = engine.grants;
  grants.push_back({request.holder, request.number, clock_.now(), 0});
  for (auto& grant : grants) {
    grant.peak = std::max(grant.peak, grants.size());
  }
}

std::optional<room_answer> room_ledger::Find(const state& engine,
                                             const room_request& request) {
  const auto is_same = IsOf(request.holder, request.number);
  if (std::any_of(engine.grants.begin(), engine.grants.end(), is_same)) {
    return room_answer::kGranted;
  }
  const bool waits = std::any_of(
      engine.queue.begin(), engine.queue.end(),
      [&](const auto& entry) { return is_same(entry.second.request); });
  return waits ? std::optional(room_answer::kQueued) : std::nullopt;
}

room_answer room_ledger::Ask(const room_request& request,
                             const engine_room& room) {
  const auto now = clock_.now();
  auto [entry, is_new] = engines_.try_emplace(request.engine);
  auto& engine = entry->second;
  if (is_new) engine.owned_since = now;
  engine.room = room;
  engine.asked_at = now;
  if (const auto known = Find(engine, request)) return *known;
  if (engine.queue.empty() && HasRoom(engine)) {
    Grant(engine, request);
    return room_answer::kGranted;
  }
  const auto ahead = std::distance(engine.queue.begin(),
                                   engine.queue.upper_bound(request.urgency));
  const auto expected =
      room.service_time * (ahead + 1) / std::max(1, room.slots);
  if (request.wait <= clock::duration(0) || expected > request.wait ||
      engine.queue.size() >= kMaxQueue) {
    return room_answer::kDenied;
  }
  engine.queue.emplace(request.urgency,
                       waiting_request{request, now + request.wait});
  return room_answer::kQueued;
}

void room_ledger::Release(const endpoint_id& engine, const std::string& holder,
                          std::uint64_t number, const room_outcome& outcome) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return;
  auto& state = found->second;
  if (outcome.refused) state.refusals.push_back(clock_.now());
  const auto has_ended = IsOf(holder, number);
  for (auto it = state.queue.begin(); it != state.queue.end();) {
    it = has_ended(it->second.request) ? state.queue.erase(it) : std::next(it);
  }
  const auto grant =
      std::find_if(state.grants.begin(), state.grants.end(), has_ended);
  if (grant == state.grants.end()) return;
  if (outcome.load) {
    const auto beyond =
        std::max(0, *outcome.load - static_cast<int>(grant->peak));
    const double before = state.unknown_load.value_or(0);
    state.unknown_load = before + kLoadWeight * (beyond - before);
  }
  state.grants.erase(grant);
}

std::vector<std::pair<room_request, room_answer>> room_ledger::TakeDecided() {
  const auto now = clock_.now();
  std::vector<std::pair<room_request, room_answer>> decided;
  for (auto& [id, engine] : engines_) {
    for (auto it = engine.queue.begin(); it != engine.queue.end();) {
      const auto& waiting = it->second;
      if (now >= waiting.until) {
        decided.emplace_back(waiting.request, room_answer::kDenied);
      } else if (HasRoom(engine)) {
        Grant(engine, waiting.request);
        decided.emplace_back(waiting.request, room_answer::kGranted);
      } else {
        ++it;
        continue;
      }
      it = engine.queue.erase(it);
    }
  }
  for (auto it = engines_.begin(); it != engines_.end();) {
    const auto& engine = it->second;
    const bool unused = engine.grants.empty() && engine.queue.empty() &&
                        now - engine.asked_at > kRetention;
    it = unused ? engines_.erase(it) : std::next(it);
  }
  return decided;
}

void room_ledger::OnInFlight(const std::string& holder,
                             const std::map<endpoint_id, int>& in_flight) {
  const auto before = clock_.now() - kDigestAge;
  for (auto& [id, engine] : engines_) {
    const auto reported = in_flight.find(id);
    int used = reported == in_flight.end() ? 0 : reported->second;
    auto& grants = engine.grants;
    grants.erase(std::remove_if(grants.begin(), grants.end(),
                                [&](const auto& grant) {
                                  return grant.holder == holder &&
                                         grant.at < before && used-- <= 0;
                                }),
                 grants.end());
  }
}

void room_ledger::OnHolderGone(const std::string& holder) {
  for (auto& [id, engine] : engines_) {
    auto& grants = engine.grants;
    grants.erase(std::remove_if(
                     grants.begin(), grants.end(),
                     [&](const auto& grant) { return grant.holder == holder; }),
                 grants.end());
  }
}

int room_ledger::Held(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  return found == engines_.end()
             ? 0
             : static_cast<int>(found->second.grants.size());
}

bool room_ledger::HasQueue() const {
  return std::any_of(engines_.begin(), engines_.end(), [](const auto& entry) {
    return !entry.second.queue.empty();
  });
}

}  // namespace bluebell::serving
