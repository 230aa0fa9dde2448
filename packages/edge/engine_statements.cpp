#include "edge/engine_statements.h"

#include <fmt/format.h>

#include <iterator>

namespace bluebell::edge {
namespace {

std::int64_t StartOf(const edge_state& host, const endpoint_id& engine) {
  const auto* found = host.fleet.Find(engine);
  return found == nullptr ? 0 : found->record.started_ms;
}

// Logs a change of the limit from `before`.
void LogLimit(edge_state& host, const endpoint_id& engine,
              std::optional<double> before, const std::string& source) {
  const auto limit = host.limits.Limit(engine);
  if (limit == before) return;
  host.log.Write("engine_limit",
                 {{"engine", engine.value()},
                  {"limit", limit ? fmt::format("{:.3g}", *limit) : ""},
                  {"source", source}});
  if (!limit) host.changed.Notify();
}

// Logs a change of the service's state from `before`.
void LogBrittle(edge_state& host, const serving::service_id& service,
                std::optional<double> before, const std::string& source) {
  const auto refusals = host.brittle.Refusals(service);
  if (refusals == before) return;
  host.log.Write(
      "service_brittle",
      {{"service", service.value()},
       {"refusals_per_s", refusals ? fmt::format("{:.3g}", *refusals) : ""},
       {"source", source}});
  if (!refusals) host.changed.Notify();
}

void OnBrittleStatement(edge_state& host, const endpoint_id& engine,
                        const serving::engine_statement& statement,
                        std::optional<clock::time_point> sent) {
  const auto* found = host.fleet.Find(engine);
  if (found == nullptr) return;
  const auto& service = found->record.service;
  const auto before = host.brittle.Refusals(service);
  if (statement.survived_refusals_per_s) {
    host.brittle.OnNamed(service, *statement.survived_refusals_per_s);
  } else if (sent) {
    host.brittle.OnNoneNamed(service, *sent);
  }
  LogBrittle(host, service, before, engine.value());
}

// Whether the service has model engines. Only some engines of a zone hold a
// model, and streams gain more from the choice among all of them than from a
// shorter link.
bool HasModels(const edge_state& host, const serving::service_id& service) {
  const auto* found =
      host.config == nullptr ? nullptr : host.config->FindService(service);
  return found == nullptr || found->engine.has_value();
}

void OnPaceStatement(edge_state& host, const endpoint_id& engine,
                     const serving::engine_statement& statement) {
  const auto* found = host.fleet.Find(engine);
  if (!statement.pace || found == nullptr) return;
  const auto& service = found->record.service;
  if (!host.pace.IsShared(service)) {
    host.log.Write("service_shares_machines",
                   {{"service", service.value()}, {"source", engine.value()}});
    host.fleet.SetSharesMachines(service);
    if (!HasModels(host, service)) host.fleet.SetPrefersOwnZone(service, true);
  }
  host.pace.OnStated(service, *statement.pace);
}

// Rate of requests to a cold engine; 0 if its service has none.
double ColdRate(const edge_state& host, const endpoint_id& engine) {
  const auto* found = host.fleet.Find(engine);
  if (found == nullptr || host.config == nullptr) return 0;
  const auto* service = host.config->FindService(found->record.service);
  return service == nullptr ? 0 : service->cold_per_s;
}

// Logs once for each engine that it stated a cold time which cannot be used.
void LogUnusableCold(edge_state& host, const endpoint_id& engine,
                     const std::string& source) {
  auto& logged = host.unusable_cold_times;
  if (!logged.insert(engine).second) return;
  for (auto it = logged.begin(); it != logged.end();) {
    it = host.fleet.Find(*it) == nullptr ? logged.erase(it) : std::next(it);
  }
  host.log.Write("cold_time_ignored",
                 {{"engine", engine.value()}, {"source", source}});
}

void OnColdStatement(edge_state& host, const endpoint_id& engine,
                     const serving::engine_statement& statement) {
  const double per_s = ColdRate(host, engine);
  if (per_s <= 0) return;
  if (statement.cold_unusable) LogUnusableCold(host, engine, "engine");
  if (!statement.cold_remaining) return;
  host.limits.OnCold(engine, StartOf(host, engine), per_s,
                     *statement.cold_remaining, host.time.now(), true);
  LogColdChanges(host, "engine");
}

}  // namespace

void OnColdRecords(edge_state& host) {
  if (host.config == nullptr) return;
  for (const auto& read : host.records.TakeColdReadings()) {
    const double per_s = ColdRate(host, read.engine);
    if (per_s <= 0) continue;
    if (!read.remaining) {
      LogUnusableCold(host, read.engine, "record");
      continue;
    }
    host.limits.OnCold(read.engine, read.started_ms, per_s, *read.remaining,
                       read.read_at, false);
  }
  LogColdChanges(host, "record");
}

void LogColdChanges(edge_state& host, const std::string& source) {
  for (const auto& [engine, cold] : host.limits.TakeColdChanges()) {
    host.log.Write("engine_cold", {{"engine", engine.value()},
                                   {"cold", cold ? "yes" : "no"},
                                   {"source", source}});
    if (!cold) host.changed.Notify();
  }
}

void OnBrittleNotice(edge_state& host, const std::string& sender,
                     const serving::brittle_notice& notice,
                     clock::duration late) {
  const auto before = host.brittle.Refusals(notice.service);
  host.brittle.OnNotice(notice, late);
  LogBrittle(host, notice.service, before, sender);
}

void OnEngineAnswer(edge_state& host, const endpoint_id& engine,
                    const http_response& head,
                    std::optional<clock::time_point> sent) {
  host.reach.OnContact();
  const auto statement = host.dialect.ReadStatement(head);
  const bool from_another =
      !statement.engine.value().empty() && statement.engine != engine;
  if (from_another) return;
  host.records.OnStatement(engine, statement);
  OnBrittleStatement(host, engine, statement, sent);
  OnPaceStatement(host, engine, statement);
  OnColdStatement(host, engine, statement);
  const auto before = host.limits.Limit(engine);
  if (statement.limit_per_s) {
    host.limits.OnNamed(engine, StartOf(host, engine), *statement.limit_per_s);
  } else if (sent) {
    host.limits.OnNoneNamed(engine, StartOf(host, engine), *sent);
  }
  LogLimit(host, engine, before, "answer " + std::to_string(head.status));
  if (!statement.pause) return;
  host.limits.OnPause(engine, StartOf(host, engine),
                      host.time.now() + *statement.pause);
  host.log.Write("engine_pause", {{"engine", engine.value()},
                                  {"ms", MillisecondText(*statement.pause)}});
}

void OnLimitNotice(edge_state& host, const std::string& sender,
                   const serving::limit_notice& notice, clock::duration late) {
  const auto before = host.limits.Limit(notice.engine);
  host.limits.OnNotice(notice, late);
  LogLimit(host, notice.engine, before, sender);
  if (notice.cold) LogColdChanges(host, sender);
}

serving::send_permit TakePermit(edge_state& host, const endpoint_id& engine,
                                boost::asio::yield_context yield) {
  const auto paused_for = host.limits.PausedFor(engine);
  if (paused_for > clock::duration(0)) return {false, paused_for};
  if (!host.limits.NeedsPermit(engine)) return {};
  const bool cold = host.limits.IsCold(engine);
  const auto denied_for = host.limits.DeniedFor(engine);
  if (denied_for > clock::duration(0)) {
    if (cold) host.metrics.Count("cold_permits_denied");
    return {false, denied_for};
  }
  const auto requested_at = host.time.now();
  auto permit = host.ask_permit ? host.ask_permit(engine, yield)
                                : host.limits.Take(engine, 1);
  permit.requested_at = requested_at;
  if (!permit.granted) {
    host.limits.OnDenied(engine, permit);
  } else if (!host.limits.MayUse(engine, permit)) {
    permit.granted = false;
  }
  if (cold && !permit.granted) host.metrics.Count("cold_permits_denied");
  return permit;
}

}  // namespace bluebell::edge
