#include "ctl/timeline.h"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <fmt/ostream.h>

#include <algorithm>
#include <chrono>
#include <fstream>
#include <map>
#include <tuple>

namespace bluebell::ctl {
namespace {

using nlohmann::json;

constexpr std::int64_t kMicrosecondsPerSecond = 1'000'000;

// Hybrid time orders events across hosts; the sequence number orders events
// of one host should their stamps be equal.
auto SortKey(const json& event) {
  return std::make_tuple(event.value("wall_us", std::int64_t{0}),
                         event.value("counter", std::uint32_t{0}),
                         event.value("host", std::string()),
                         event.value("sequence", std::uint64_t{0}));
}

std::string ToTime(std::int64_t wall_us) {
  const auto seconds =
      static_cast<std::time_t>(wall_us / kMicrosecondsPerSecond);
  return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:06}Z", fmt::gmtime(seconds),
                     wall_us % kMicrosecondsPerSecond);
}

std::string ToText(const json& fields) {
  std::string text;
  for (const auto& [name, value] : fields.items()) {
    text += (text.empty() ? "" : " ") + name + "=" + ToCell(value);
  }
  return text;
}

void PrintEvents(session& current, const json& events) {
  std::vector<std::vector<std::string>> lines = {
      {"time", "host", "level", "id", "event", "fields"}};
  for (const auto& event : events) {
    lines.push_back({ToTime(event.value("wall_us", std::int64_t{0})),
                     event.value("host", ""), event.value("level", ""),
                     std::to_string(event.value("id", 0)),
                     event.value("name", ""),
                     ToText(event.value("fields", json::object()))});
  }
  PrintTable(current.out, lines);
}

}  // namespace

json MergeTimelines(const std::vector<json>& answers) {
  std::vector<json> events;
  for (const auto& answer : answers) {
    for (json event : answer.value("events", json::array())) {
      event["host"] = answer.value("host", "");
      events.push_back(std::move(event));
    }
  }
  std::sort(events.begin(), events.end(), [](const json& a, const json& b) {
    return SortKey(a) < SortKey(b);
  });
  return events;
}

json ToTraceEvents(const json& events) {
  json trace = json::array();
  std::map<std::string, int> processes;
  for (const auto& event : events) {
    const std::string host = event.value("host", "");
    const int next = static_cast<int>(processes.size()) + 1;
    const auto [process, added] = processes.emplace(host, next);
    if (added) {
      trace.push_back({{"ph", "M"},
                       {"name", "process_name"},
                       {"pid", process->second},
                       {"tid", 0},
                       {"args", {{"name", host}}}});
    }
    trace.push_back({{"ph", "i"},
                     {"s", "p"},
                     {"name", event.value("name", "")},
                     {"cat", event.value("level", "")},
                     {"ts", event.value("wall_us", std::int64_t{0})},
                     {"pid", process->second},
                     {"tid", 0},
                     {"args", event.value("fields", json::object())}});
  }
  return {{"traceEvents", trace}, {"displayTimeUnit", "ms"}};
}

exit_code ShowTimeline(session& current, const std::string& trace_file) {
  std::vector<json> answers;
  exit_code refused = exit_code::kUnreachable;
  for (const auto& client : current.admin.hosts()) {
    const auto answer =
        client->Call({"GET", "/admin/v1/timeline?after=0", {}, ""});
    if (!answer) {
      fmt::print(current.err, "{}\n", answer.error().detail);
      continue;
    }
    auto body = Interpret(current, answer);
    if (body) {
      answers.push_back(*std::move(body));
    } else {
      refused = body.error();
    }
  }
  if (answers.empty()) return refused;
  const json events = MergeTimelines(answers);
  if (!trace_file.empty()) {
    std::ofstream file(trace_file);
    file << ToTraceEvents(events).dump() << "\n";
    if (file.flush()) return exit_code::kDone;
    fmt::print(current.err, "error: cannot write {}\n", trace_file);
    return exit_code::kFailed;
  }
  if (current.json) {
    fmt::print(current.out, "{}\n", events.dump(2));
  } else {
    PrintEvents(current, events);
  }
  return exit_code::kDone;
}

}  // namespace bluebell::ctl
