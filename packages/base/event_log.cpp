#include "base/event_log.h"

#include <spdlog/spdlog.h>

#include <nlohmann/json.hpp>

namespace bluebell {
namespace {

spdlog::level::level_enum ToSpdlog(event_level level) {
  switch (level) {
    case event_level::kDebug:
      return spdlog::level::debug;
    case event_level::kInfo:
      return spdlog::level::info;
    case event_level::kWarning:
      return spdlog::level::warn;
    case event_level::kError:
      return spdlog::level::err;
  }
  return spdlog::level::err;
}

// One JSON object per line, so that log collectors need no pattern.
std::string ToLine(const host_id& host, const event& entry) {
  nlohmann::ordered_json line;
  line["event"] = static_cast<int>(entry.id);
  line["name"] = std::string(Describe(entry.id).name);
  line["host"] = host.value();
  line["time_us"] = entry.time.wall_us;
  for (const auto& [name, value] : entry.fields) line[name] = value;
  return line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

}  // namespace

event_log::event_log(const clock& source, host_id host)
    : host_(std::move(host)), time_(source) {}

void event_log::Record(event_id id, std::vector<event_field> fields) {
  const auto level = ToSpdlog(Describe(id).level);
  ring_.push_back({next_sequence_++, time_.Now(), id, std::move(fields)});
  if (ring_.size() > kCapacity) ring_.pop_front();
  if (spdlog::should_log(level)) {
    spdlog::log(level, "{}", ToLine(host_, ring_.back()));
  }
}

std::vector<event> event_log::After(std::uint64_t after) const {
  std::vector<event> found;
  for (const auto& entry : ring_) {
    if (entry.sequence > after) found.push_back(entry);
  }
  return found;
}

}  // namespace bluebell
