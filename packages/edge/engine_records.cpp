#include "edge/engine_records.h"

#include <fmt/format.h>

#include <optional>
#include <utility>

namespace bluebell::edge {

void engine_records::Apply(
    const serving::store_version& version,
    std::vector<serving::engine_record> records,
    const std::map<endpoint_id, serving::store_version>& kept,
    const std::string& source, clock::time_point read_at) {
  view_.Apply(version, std::move(records), kept);
  Publish(source, read_at);
}

void engine_records::OnStatement(const endpoint_id& engine, int status,
                                 const serving::engine_statement& statement) {
  const bool from_another =
      !statement.engine.value().empty() && statement.engine != engine;
  if (from_another) return;
  LogLimit(engine, status, statement);
  if (statement.leaving && view_.OnLeaving(engine)) {
    Publish("engine", clock_.now());
  }
}

void engine_records::LogLimit(const endpoint_id& engine, int status,
                              const serving::engine_statement& statement) {
  const auto logged = limits_.find(engine);
  const auto before =
      logged == limits_.end() ? std::nullopt : std::optional(logged->second);
  if (before != statement.limit_per_s) {
    log_.Write("engine_limit",
               {{"engine", engine.value()},
                {"limit", statement.limit_per_s
                              ? fmt::format("{:.3g}", *statement.limit_per_s)
                              : ""},
                {"status", std::to_string(status)}});
    if (statement.limit_per_s) {
      limits_[engine] = *statement.limit_per_s;
    } else {
      limits_.erase(engine);
    }
  }
  if (statement.pause) {
    log_.Write("engine_pause",
               {{"engine", engine.value()},
                {"ms", std::to_string(statement.pause->count())}});
  }
}

void engine_records::Publish(const std::string& source,
                             clock::time_point known_at) {
  auto records = view_.Records();
  std::map<endpoint_id, bool> leaving;
  for (const auto& record : records) leaving[record.id] = record.leaving;
  const auto log = [&](const endpoint_id& engine, const char* state) {
    log_.Write("engine_state",
               {{"engine", engine.value()},
                {"state", state},
                {"source", source},
                {"age_ms", MillisecondText(clock_.now() - known_at)}});
  };
  for (const auto& [engine, leaves] : leaving) {
    const auto before = leaving_.find(engine);
    if (before == leaving_.end() || before->second != leaves) {
      log(engine, leaves ? "leaving" : "ready");
    }
  }
  for (const auto& [engine, left] : leaving_) {
    if (leaving.count(engine) == 0) log(engine, "gone");
  }
  leaving_ = std::move(leaving);
  if (!fleet_.Replace(std::move(records))) return;
  metrics_.SetGauge("engines", static_cast<double>(fleet_.engines().size()));
  changed_.Notify();
}

}  // namespace bluebell::edge
