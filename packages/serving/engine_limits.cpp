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
    found = {};
    found.started_ms = started_ms;
  }
  return &found;
}

void engine_limits::Name(state& engine, double per_s, clock::time_point at) {
  if (engine.named_at && at < *engine.named_at) return;
  if (!engine.InForce()) {
    engine.permits = 0;
    engine.permits_updated = clock_.now();
  }
  engine.named_at = at;
  engine.per_s = per_s;
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
  Name(*found, notice.per_s, now - notice.named_age);
}

limit_notice engine_limits::ToNotice(const endpoint_id& id,
                                     const state& engine) const {
  limit_notice notice{id, engine.started_ms, engine.per_s,
                      clock_.now() - *engine.named_at, std::nullopt};
  if (engine.free_at) notice.free_age = clock_.now() - *engine.free_at;
  return notice;
}

std::vector<limit_notice> engine_limits::Notices() const {
  std::vector<limit_notice> notices;
  for (const auto& [id, engine] : engines_) {
    if (!engine.named_at) continue;
    const bool told =
        engine.InForce() || clock_.now() - *engine.free_at < kEndNoticePeriod;
    if (told) notices.push_back(ToNotice(id, engine));
  }
  std::sort(notices.begin(), notices.end(), [](const auto& a, const auto& b) {
    return a.named_age < b.named_age;
  });
  if (notices.size() > kMaxNotices) notices.resize(kMaxNotices);
  return notices;
}

std::optional<limit_notice> engine_limits::NoticeOf(
    const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !found->second.named_at) return std::nullopt;
  return ToNotice(engine, found->second);
}

std::optional<double> engine_limits::Limit(const endpoint_id& engine) const {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !found->second.InForce()) return std::nullopt;
  return found->second.per_s;
}

send_permit engine_limits::Take(const endpoint_id& engine, double share) {
  const auto found = engines_.find(engine);
  if (found == engines_.end() || !found->second.InForce()) return {};
  auto& state = found->second;
  const auto now = clock_.now();
  const double per_s = share * std::max(state.per_s, kMinPerSecond);
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
