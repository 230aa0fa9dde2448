#include "routing/endpoint_view.h"

#include <algorithm>

namespace bluebell::routing {
namespace {

// Reports lag by less than this, so older changes of `outstanding` are dropped.
constexpr auto kHistoryRetention = std::chrono::seconds(5);
// Smoothing factor of the moving average of the measured speed.
constexpr double kSpeedSmoothing = 0.2;

// Requests of this host that were in flight at the time of a sample.
int OutstandingAt(const endpoint_state& state, clock::time_point at) {
  int outstanding = state.history.empty() ? state.outstanding : 0;
  for (const auto& [since, count] : state.history) {
    if (since > at) break;
    outstanding = count;
  }
  return outstanding;
}

// Factor by which a stream is slower at the current load than on an idle
// endpoint. The model is linear and reaches 2 at full concurrency.
double Slowdown(const endpoint_state& state) {
  const int limit = std::max(1, state.row.max_concurrency);
  return 1.0 + static_cast<double>(state.load()) / limit;
}

}  // namespace

bool endpoint_state::Serves(const std::string& target, bool is_service) const {
  const bool service = row.kind == config::endpoint_kind::kService;
  if (is_service != service) return false;
  if (service) return row.group == target;
  return report && report->resident.count(target) > 0;
}

endpoint_view::endpoint_view(const clock& source, config::snapshot& rows,
                             event_log* log)
    : clock_(source),
      rows_(rows),
      log_(log),
      self_(std::make_shared<endpoint_view*>(this)) {
  for (const auto& [id, row] : rows_.endpoints()) ApplyRow(id);
  rows_.Subscribe([self = std::weak_ptr<endpoint_view*>(self_)](
                      const config::stored_row& row) {
    const auto view = self.lock();
    constexpr std::string_view kTable = "endpoints/";
    const auto table = row.name.find(kTable);
    if (!view || table == std::string::npos) return;
    (*view)->ApplyRow(endpoint_id(row.name.substr(table + kTable.size())));
  });
}

// Applies the configuration row of `id`. A removed endpoint is kept while
// requests are in flight there.
void endpoint_view::ApplyRow(const endpoint_id& id) {
  const auto found = rows_.endpoints().find(id);
  const auto known = endpoints_.find(id);
  if (known != endpoints_.end()) {
    endpoints_by_group_[known->second.row.group].erase(id);
  }
  if (found == rows_.endpoints().end()) {
    if (known == endpoints_.end()) return;
    known->second.configured = false;
    if (known->second.outstanding > 0) return;
    if (known->second.report) {
      IndexResidents(id, &*known->second.report, nullptr);
    }
    endpoints_.erase(known);
    return;
  }
  endpoint_state& state = endpoints_[id];
  state.row = found->second;
  state.configured = true;
  state.listed_leaving = listed_leaving_.count(id) > 0;
  if (state.row.kind == config::endpoint_kind::kService) {
    endpoints_by_group_[state.row.group].emplace(id, &state);
  }
  NotifyChange(id);
}

const endpoint_state* endpoint_view::Find(const endpoint_id& id) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

std::vector<const endpoint_state*> endpoint_view::Serving(
    const std::string& target, bool is_service) const {
  std::vector<const endpoint_state*> serving;
  const auto& index = is_service ? endpoints_by_group_ : endpoints_by_resident_;
  const auto found = index.find(target);
  if (found == index.end()) return serving;
  serving.reserve(found->second.size());
  for (const auto& [id, state] : found->second) {
    if (state->MayReceive()) serving.push_back(state);
  }
  return serving;
}

void endpoint_view::OnReport(const endpoint_id& id,
                             const endpoint_report& report,
                             clock::time_point polled_at) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  endpoint_state& state = found->second;
  const bool restarted =
      state.report && state.report->incarnation != report.incarnation;
  if (state.row.kind == config::endpoint_kind::kEngine) {
    IndexResidents(id, state.report ? &*state.report : nullptr, &report);
  }
  state.report = report;
  state.sampled_at = clock_.now() - report.sampled_ago;
  const int at_endpoint = report.running + report.queued;
  state.remote_requests =
      std::max(0, at_endpoint - OutstandingAt(state, state.sampled_at));
  Process(state, report.leaving ? health_event::kAnnouncedLeaving
                                : health_event::kAnswered);
  if (restarted) {
    state.speed = 0;
    NotifyCrash(id);
  } else {
    for (const auto& listener : alive_listeners_) listener(id, polled_at);
  }
  for (const auto& listener : report_listeners_) {
    listener(id, report, polled_at);
  }
  NotifyChange(id);
}

void endpoint_view::OnAnswerWithoutReport(const endpoint_id& id,
                                          clock::time_point polled_at) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  Process(found->second, health_event::kAnswered);
  for (const auto& listener : alive_listeners_) listener(id, polled_at);
  NotifyChange(id);
}

void endpoint_view::OnPollFailed(const endpoint_id& id, error_code cause) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  const bool refused = cause == error_code::kUnavailable;
  Process(found->second,
          refused ? health_event::kRefused : health_event::kMissed);
  if (refused) NotifyCrash(id);
}

void endpoint_view::OnPollSent(const endpoint_id& id) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  Process(found->second, health_event::kProbeSent);
}

void endpoint_view::SetListedLeaving(const std::set<endpoint_id>& leaving) {
  listed_leaving_ = leaving;
  for (auto& [id, state] : endpoints_) {
    const bool was = state.listed_leaving;
    state.listed_leaving = leaving.count(id) > 0;
    if (was && !state.listed_leaving) NotifyChange(id);
  }
}

void endpoint_view::OnDispatched(const endpoint_id& id) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  SetOutstanding(found->second, found->second.outstanding + 1);
}

void endpoint_view::OnEnded(const endpoint_id& id, dispatch_outcome outcome,
                            token_count tokens, clock::duration elapsed) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) return;
  endpoint_state& state = found->second;
  const double seconds = std::chrono::duration<double>(elapsed).count();
  if (outcome == dispatch_outcome::kSucceeded && seconds > 0) {
    const double units =
        std::max(1.0, static_cast<double>(tokens.value())) * Slowdown(state);
    const double speed = units / seconds;
    state.speed = state.speed == 0
                      ? speed
                      : state.speed + kSpeedSmoothing * (speed - state.speed);
  }
  SetOutstanding(state, std::max(0, state.outstanding - 1));
  if (outcome == dispatch_outcome::kBroken ||
      outcome == dispatch_outcome::kConnectFailed) {
    Process(state, health_event::kRequestBroken);
  }
  if (!state.configured) {
    ApplyRow(id);
    return;
  }
  NotifyChange(id);
}

void endpoint_view::Process(endpoint_state& state, health_event event) {
  const health_state before = state.health.state();
  if (!state.health.Process(event) || log_ == nullptr) return;
  const health_state after = state.health.state();
  if (before == health_state::kDown && after == health_state::kProbing) return;
  if (before == health_state::kProbing && after == health_state::kDown) return;
  log_->Record(event_id::kEndpointHealthChanged,
               {{"endpoint", state.row.id.value()},
                {"from", ToString(before)},
                {"to", ToString(after)}});
}

// Updates the index from models and adapters to endpoints after a report.
void endpoint_view::IndexResidents(const endpoint_id& id,
                                   const endpoint_report* before,
                                   const endpoint_report* after) {
  if (before != nullptr) {
    for (const auto& name : before->resident) {
      if (after != nullptr && after->resident.count(name) > 0) continue;
      const auto entry = endpoints_by_resident_.find(name);
      if (entry == endpoints_by_resident_.end()) continue;
      entry->second.erase(id);
      if (entry->second.empty()) endpoints_by_resident_.erase(entry);
    }
  }
  if (after == nullptr) return;
  for (const auto& name : after->resident) {
    if (before != nullptr && before->resident.count(name) > 0) continue;
    endpoints_by_resident_[name].emplace(id, &endpoints_.at(id));
  }
}

void endpoint_view::SetOutstanding(endpoint_state& state, int outstanding) {
  const auto now = clock_.now();
  auto& history = state.history;
  if (history.empty()) {
    history.emplace_back(clock::time_point::min(), state.outstanding);
  }
  state.outstanding = outstanding;
  history.emplace_back(now, outstanding);
  while (history.size() > 1 && history[1].first < now - kHistoryRetention) {
    history.pop_front();
  }
}

void endpoint_view::NotifyCrash(const endpoint_id& id) {
  for (const auto& listener : crash_listeners_) listener(id);
}

void endpoint_view::NotifyChange(const endpoint_id& id) {
  for (const auto& listener : change_listeners_) listener(id);
}

}  // namespace bluebell::routing
