#include "edge/engine_records.h"

#include <utility>

namespace bluebell::edge {
namespace {

// Number of engines of each service and version.
std::string SoftwareText(const std::vector<serving::engine_record>& records) {
  std::map<std::string, int> counts;
  for (const auto& record : records) {
    ++counts[record.service.value() + " " + record.software.value()];
  }
  std::string text;
  for (const auto& [version, count] : counts) {
    if (!text.empty()) text += ", ";
    text += version + ": " + std::to_string(count);
  }
  return text;
}

}  // namespace

void engine_records::Apply(
    const serving::store_version& version,
    std::vector<serving::engine_record> records,
    const std::map<endpoint_id, serving::store_version>& kept,
    const std::string& source, clock::time_point read_at) {
  ReadCold(records, read_at);
  view_.Apply(version, std::move(records), kept);
  OnRead(read_at);
  PublishVersions(read_at);
  Publish(source, read_at);
}

void engine_records::ReadCold(
    const std::vector<serving::engine_record>& records,
    clock::time_point read_at) {
  std::map<endpoint_id, serving::engine_record> read;
  for (const auto& record : records) {
    const bool cold = record.cold_remaining.count() > 0;
    if (!cold && !record.cold_unusable) continue;
    const auto before = read_.find(record.id);
    const bool repeated = before != read_.end() && before->second == record;
    if (!repeated) {
      cold_readings_.push_back(
          {record.id, record.started_ms,
           cold ? std::optional(record.cold_remaining) : std::nullopt,
           read_at});
    }
    read[record.id] = record;
  }
  read_ = std::move(read);
}

void engine_records::PublishVersions(clock::time_point read_at) {
  serving::stream_versions::software_by_service listed;
  for (const auto& record : view_.Records()) {
    if (record.software.value().empty()) continue;
    listed[record.service].insert(record.software);
  }
  versions_.OnEngines(listed, read_at);
}

void engine_records::OnStatement(const endpoint_id& engine,
                                 const serving::engine_statement& statement) {
  if (statement.leaving && view_.OnLeaving(engine)) {
    Publish("engine", clock_.now());
  }
}

void engine_records::Publish(const std::string& source,
                             clock::time_point known_at) {
  auto records = view_.Records();
  std::map<endpoint_id, bool> leaving;
  std::map<endpoint_id, software_version> software;
  for (const auto& record : records) {
    leaving[record.id] = record.leaving;
    software[record.id] = record.software;
  }
  const auto log = [&](const endpoint_id& engine, const char* state) {
    log_.Write("engine_state",
               {{"engine", engine.value()},
                {"state", state},
                {"software", software[engine].value()},
                {"source", source},
                {"age_ms", MillisecondText(clock_.now() - known_at)}});
  };
  // A line for each of thousands of engines would displace others.
  const bool first = leaving_.empty();
  if (first) {
    log_.Write("engines_listed", {{"engines", std::to_string(leaving.size())},
                                  {"software", SoftwareText(records)},
                                  {"source", source}});
  }
  for (const auto& [engine, leaves] : leaving) {
    const auto before = leaving_.find(engine);
    const bool is_new = before == leaving_.end();
    if ((is_new && (!first || leaves)) ||
        (!is_new && before->second != leaves)) {
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
