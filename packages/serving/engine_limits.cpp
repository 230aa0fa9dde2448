#include "serving/engine_limits.h"

#include <algorithm>

namespace bluebell::serving {
namespace {

clock::duration ToDuration(double seconds) {
  return std::chrono::duration_cast<clock::duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace

engine_limits::state* engine_limits::Find(const endpoint_id& engine,
                                          std::int64_t started_ms) {
  auto& found = engines_[engine];
  if (started_ms < found.started_ms) return nullptr;
  if (started_ms > found.started_ms) {
    const bool cold_reported = found.cold_reported;
    found = {};
    found.started_ms = started_ms;
    found.cold_reported = cold_reported;
  }
  return &found;
}

void engine_limits::Name(state& engine, double per_s, clock::time_point at) {
  if (engine.named_at && at < *engine.named_at) return;
  if (!engine.InForce()) StartPermits(engine);
  engine.named_at = at;
  engine.per_s = per_s;
}

void engine_limits::SetCold(state& engine, cold_period read) {
  if (engine.cold) {
    const auto& known = *engine.cold;
    const auto longer = std::max(read.until, known.until);
    if (read.read_at < known.read_at) {
      if (known.stated) return;
      read = known;
      read.until = longer;
    } else if (!read.stated) {
      read.until = longer;
    }
  }
  if (!IsCold(engine)) StartPermits(engine);
  engine.cold = read;
}

void engine_limits::StartPermits(state& engine) {
  // Only the first of two limits starts without permits.
  if (engine.InForce() || IsCold(engine)) return;
  engine.permits = 0;
  engine.permits_updated = clock_.now();
}

void engine_limits::OnCold(const endpoint_id& engine, std::int64_t started_ms,
                           double per_s, clock::duration remaining,
                           clock::time_point read_at, bool stated) {
  auto* found = Find(engine, started_ms);
  if (found == nullptr) return;
  SetCold(*found, {per_s, read_at, read_at + remaining, stated});
}

void engine_limits::OnNamed(const endpoint_id& engine, std::int64_t started_ms,
                            double per_s) {
  auto* found = Find(engine, started_ms);
  if (found == nullptr) return;
  Name(*found, per_s, clock_.now());
}

void engine_limits::OnNoneNamed(const endpoint_id& engine,
                                std::int64_t started_ms,
                                clock::time_point sent) {
  const auto known = engines_.find(engine);
  if (known == engines_.end()) return;
  auto* found = Find(engine, started_ms);
  if (found == nullptr) return;
  found->free_at = std::max(found->free_at.value_or(sent), sent);
}

void engine_limits::OnPause(const endpoint_id& engine, std::int64_t started_ms,
                            clock::time_point until) {
  auto* found = Find(engine, started_ms);
  if (found == nullptr) return;
  found->paused_until = std::max(found->paused_until, until);
}

clock::duration engine_limits::PausedFor(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return clock::duration(0);
  return std::max(clock::duration(0),
                  found->second.paused_until - clock_.now());
}

void engine_limits::OnNotice(const limit_notice& notice, clock::duration late) {
  auto* found = Find(notice.engine, notice.started_ms);
  if (found == nullptr) return;
  const auto now = clock_.now() - late;
  if (notice.free_age) {
    const auto sent = now - *notice.free_age;
    found->free_at = std::max(found->free_at.value_or(sent), sent);
  }
  if (notice.named_age) Name(*found, notice.per_s, now - *notice.named_age);
  if (notice.cold) {
    const auto& cold = *notice.cold;
    SetCold(*found, {cold.per_s, now - cold.age, now + cold.remaining, false});
  }
}

limit_notice engine_limits::ToNotice(const endpoint_id& id,
                                     const state& engine) const {
  const auto now = clock_.now();
  limit_notice notice{id, engine.started_ms, engine.per_s, {}, {}, {}};
  if (engine.named_at) notice.named_age = now - *engine.named_at;
  if (engine.free_at) notice.free_age = now - *engine.free_at;
  if (IsCold(engine)) {
    notice.cold = {engine.cold->per_s, engine.cold->until - now,
                   now - engine.cold->read_at};
  }
  return notice;
}

std::vector<limit_notice> engine_limits::Notices() const {
  std::vector<limit_notice> notices;
  for (const auto& [id, engine] : engines_) {
    const auto now = clock_.now();
    const bool named =
        engine.named_at &&
        (engine.InForce() || now - *engine.free_at < kEndNoticePeriod);
    if (named || IsCold(engine)) notices.push_back(ToNotice(id, engine));
  }
  const auto age = [](const limit_notice& notice) {
    const auto cold_age =
        notice.cold ? notice.cold->age : clock::duration::max();
    return std::min(notice.named_age.value_or(cold_age), cold_age);
  };
  std::sort(notices.begin(), notices.end(),
            [&](const auto& a, const auto& b) { return age(a) < age(b); });
  if (notices.size() > kMaxNotices) notices.resize(kMaxNotices);
  return notices;
}

std::optional<limit_notice> engine_limits::NoticeOf(
    const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return std::nullopt;
  if (!found->second.named_at && !IsCold(found->second)) return std::nullopt;
  return ToNotice(engine, found->second);
}

std::optional<double> engine_limits::Limit(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !found->second.InForce()) return std::nullopt;
  return found->second.per_s;
}

bool engine_limits::IsCold(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  return found != engines_.end() && IsCold(found->second);
}

bool engine_limits::MayUse(const endpoint_id& engine,
                           const send_permit& permit) const {
  if (!IsCold(engine)) return true;
  return permit.requested_at &&
         clock_.now() - *permit.requested_at <= kMaxColdPermitAge;
}

send_permit engine_limits::Take(const endpoint_id& engine, double share,
                                const permit_tenure& tenure) {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return {};
  auto& state = found->second;
  const bool cold = IsCold(state);
  if (!state.InForce() && !cold) return {};
  const auto now = clock_.now();
  double limit = state.InForce() ? state.per_s : state.cold->per_s;
  if (cold) {
    limit = std::min(limit, state.cold->per_s);
    if (tenure.from > now) return {false, tenure.from - now};
    if (tenure.from > state.permits_updated) {
      state.permits = 0;
      state.permits_updated = tenure.from;
    }
  }
  double per_s = share * std::max(limit, kMinPerSecond);
  if (cold && tenure.contested) {
    per_s = std::min(per_s, kMaxContestedPerSecond);
  }
  const double elapsed_s =
      std::chrono::duration<double>(now - state.permits_updated).count();
  state.permits =
      std::min(1 + kBurstSeconds * per_s, state.permits + per_s * elapsed_s);
  state.permits_updated = now;
  if (state.permits < 1) {
    const auto at = std::max(
        now + ToDuration((1 - state.permits) / per_s),
        std::min<clock::time_point>(state.next_return, now + kMaxWait));
    state.next_return = at + ToDuration(1 / per_s);
    return {false, at - now};
  }
  state.permits -= 1;
  return {};
}

std::vector<std::pair<endpoint_id, bool>> engine_limits::TakeColdChanges() {
  std::vector<std::pair<endpoint_id, bool>> changes;
  for (auto& [id, engine] : engines_) {
    if (IsCold(engine) == engine.cold_reported) continue;
    engine.cold_reported = !engine.cold_reported;
    changes.emplace_back(id, engine.cold_reported);
  }
  return changes;
}

void engine_limits::OnDenied(const endpoint_id& engine,
                             const send_permit& denied) {
  engines_[engine].denied_until = clock_.now() + denied.wait;
}

clock::duration engine_limits::DeniedFor(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end()) return clock::duration(0);
  return std::max(clock::duration(0),
                  found->second.denied_until - clock_.now());
}

}  // namespace bluebell::serving
