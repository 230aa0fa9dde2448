#include "serving/config_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <cstdint>
#include <limits>
#include <map>
#include <set>
#include <tuple>
#include <utility>

namespace bluebell::serving {
namespace {

// Hosts hold the limit on heads in 32 bits.
constexpr std::size_t kMaxHeaderBytes =
    std::numeric_limits<std::uint32_t>::max();

std::string Show(bool value) { return value ? "yes" : "no"; }
std::string Show(milliseconds value) {
  return fmt::format("{} ms", value.count());
}
template <class Number>
std::string Show(Number value) {
  return fmt::format("{}", value);
}
std::string ShowMb(double value) { return fmt::format("{} MB", value); }

config_entry Entry(const route& entry) { return {"route", entry.name}; }
config_entry Entry(const service& entry) {
  return {"service", entry.id.value()};
}
config_entry Entry(const account& entry) {
  return {"account", entry.id.value()};
}
config_entry Entry(const service& owner, const model_spec& entry) {
  return {"model", owner.id.value() + "/" + entry.id.value()};
}
config_entry LimitsEntry() { return {"limits", ""}; }
config_entry VersionEntry() { return {"configuration", ""}; }

/// Collects the findings of one configuration.
class checker {
 public:
  explicit checker(const serving_config& config) : config_(config) {}

  std::vector<config_finding> Check() {
    for (const auto& entry : config_.routes) CheckRoute(entry);
    for (const auto& entry : config_.services) CheckService(entry);
    CheckAccounts();
    CheckLimits();
    return std::move(findings_);
  }

 private:
  void Report(const config_entry& entry, const std::string& field,
              const std::string& reason) {
    findings_.push_back({entry, field, reason});
  }

  template <class Value>
  void RequirePositive(const config_entry& entry, const std::string& field,
                       Value value) {
    if (value > Value{}) return;
    Report(entry, field, Show(value) + ", must be above 0");
  }

  template <class Value>
  void RequireNotNegative(const config_entry& entry, const std::string& field,
                          Value value) {
    if (value >= Value{}) return;
    Report(entry, field, Show(value) + ", must not be negative");
  }

  // Differences and log lines identify entries by their names.
  void RequireNewName(const config_entry& entry) {
    if (names_.insert({entry.kind, entry.name}).second) return;
    Report(entry, "name", "another " + entry.kind + " has the same name");
  }

  void CheckRoute(const route& entry) {
    RequireNewName(Entry(entry));
    CheckPrefix(entry);
    CheckTimes(entry);
    CheckTargets(entry);
    if (entry.max_attempts >= 1) return;
    Report(Entry(entry), "max_attempts",
           Show(entry.max_attempts) + ", must be at least 1");
  }

  void CheckPrefix(const route& entry) {
    const auto& prefix = entry.path_prefix;
    if (entry.host.empty()) Report(Entry(entry), "host", "is empty");
    if (prefix.empty() || prefix.front() != '/' || prefix.back() != '/' ||
        prefix.find('?') != std::string::npos) {
      Report(Entry(entry), "path_prefix",
             "\"" + prefix +
                 "\" matches no path: it must begin and end with a slash and "
                 "have no question mark");
      return;
    }
    const auto* found = config_.FindRoute(entry.host, prefix);
    if (found == nullptr || found == &entry) return;
    Report(Entry(entry), "path_prefix",
           "never matched: route \"" + found->name +
               "\" has the same host and prefix and takes precedence");
  }

  // The timeout of a route is the deadline of its requests.
  void CheckTimes(const route& entry) {
    RequirePositive(Entry(entry), "timeout", entry.timeout);
    RequirePositive(Entry(entry), "target_latency", entry.target_latency);
    RequireNotNegative(Entry(entry), "event_gap_target",
                       entry.event_gap_target);
    CheckDeadline(entry, "target_latency", entry.target_latency);
    CheckDeadline(entry, "event_gap_target", entry.event_gap_target);
  }

  void CheckDeadline(const route& entry, const std::string& field,
                     milliseconds time) {
    if (time <= entry.timeout || entry.timeout <= milliseconds(0)) return;
    Report(Entry(entry), field,
           Show(time) + ", above the timeout of " + Show(entry.timeout));
  }

  void CheckTargets(const route& entry) {
    bool has_target = false;
    for (const auto& target : entry.services) {
      const auto& name = target.service.value();
      RequireNotNegative(Entry(entry), "weight of service \"" + name + "\"",
                         target.weight);
      has_target = has_target || target.weight > 0;
      if (config_.FindService(target.service) != nullptr) continue;
      Report(Entry(entry), "services", "service \"" + name + "\" is missing");
    }
    if (has_target) return;
    Report(Entry(entry), "services", "no service has a weight above 0");
  }

  void CheckService(const service& entry) {
    RequireNewName(Entry(entry));
    RequireNotNegative(Entry(entry), "max_connections", entry.max_connections);
    RequireNotNegative(Entry(entry), "cold_per_s", entry.cold_per_s);
    if (!IsTarget(entry)) Report(Entry(entry), "name", "no route names it");
    if (entry.engine) CheckEngine(entry, *entry.engine);
  }

  bool IsTarget(const service& entry) const {
    for (const auto& route : config_.routes) {
      for (const auto& target : route.services) {
        if (target.service == entry.id) return true;
      }
    }
    return false;
  }

  void CheckEngine(const service& owner, const engine_spec& engine) {
    RequirePositive(Entry(owner), "engine memory", engine.weights_mb);
    RequireNotNegative(Entry(owner), "adapter slots", engine.adapter_slots);
    RequirePositive(Entry(owner), "loads_per_s", engine.loads_per_s);
    if (engine.models.empty()) Report(Entry(owner), "models", "has no model");
    for (const auto& model : engine.models) {
      RequireNewName(Entry(owner, model));
      if (engine.weights_mb > 0) CheckWeights(owner, engine, model);
      CheckLoadTimes(owner, model);
    }
  }

  void CheckWeights(const service& owner, const engine_spec& engine,
                    const model_spec& model) {
    const auto entry = Entry(owner, model);
    RequirePositive(entry, "weights", model.weights_mb);
    RequireNotNegative(entry, "adapter size", model.adapter_mb);
    const auto memory = ShowMb(engine.weights_mb);
    if (model.weights_mb > engine.weights_mb) {
      Report(entry, "weights",
             ShowMb(model.weights_mb) + ", no engine can hold it: each has " +
                 memory);
    } else if (model.adapter_mb > 0 && engine.adapter_slots == 0) {
      Report(entry, "adapter size", "engines have no slot for an adapter");
    } else if (model.weights_mb + model.adapter_mb > engine.weights_mb) {
      Report(entry, "adapter size",
             ShowMb(model.adapter_mb) + ", no engine can hold the model and " +
                 "one adapter: each has " + memory);
    }
  }

  void CheckLoadTimes(const service& owner, const model_spec& model) {
    const auto entry = Entry(owner, model);
    RequireNotNegative(entry, "load_from_store_s", model.load_from_store_s);
    RequireNotNegative(entry, "load_from_disk_s", model.load_from_disk_s);
    RequireNotNegative(entry, "load_from_memory_s", model.load_from_memory_s);
  }

  void CheckAccounts() {
    std::set<std::size_t> with_key;
    for (const auto& [key, index] : config_.keys) with_key.insert(index);
    for (std::size_t i = 0; i < config_.accounts.size(); ++i) {
      const auto& entry = config_.accounts[i];
      RequireNewName(Entry(entry));
      CheckRate(entry);
      if (with_key.count(i) > 0) continue;
      Report(Entry(entry), "keys", "no key leads to it");
    }
    const auto* keyless = config_.FindAccount(std::string());
    if (keyless == nullptr) return;
    Report(Entry(*keyless), "keys",
           "a key is empty: requests without a key would be accepted");
  }

  // A rate of 0 means no limit, so the burst has no effect.
  void CheckRate(const account& entry) {
    RequireNotNegative(Entry(entry), "tokens_per_s", entry.tokens_per_s);
    RequireNotNegative(Entry(entry), "plain_tokens", entry.plain_tokens);
    const auto request = std::max<std::int64_t>(1, entry.plain_tokens);
    if (entry.tokens_per_s <= 0 ||
        entry.burst_tokens >= static_cast<double>(request)) {
      return;
    }
    Report(Entry(entry), "burst_tokens",
           fmt::format("{} tokens, below the {} of one request without token "
                       "counts",
                       entry.burst_tokens, request));
  }

  void CheckLimits() {
    const auto& limits = config_.limits;
    RequirePositive(LimitsEntry(), "max_header_bytes", limits.max_header_bytes);
    if (limits.max_header_bytes > kMaxHeaderBytes) {
      Report(LimitsEntry(), "max_header_bytes",
             fmt::format("{}, must be at most {}", limits.max_header_bytes,
                         kMaxHeaderBytes));
    }
    RequirePositive(LimitsEntry(), "max_body_bytes", limits.max_body_bytes);
    RequirePositive(LimitsEntry(), "header_timeout", limits.header_timeout);
    RequirePositive(LimitsEntry(), "idle_timeout", limits.idle_timeout);
  }

  const serving_config& config_;
  std::set<std::pair<std::string, std::string>> names_;
  std::vector<config_finding> findings_;
};

using field_values = std::vector<std::pair<std::string, std::string>>;

/// An entry as text. All entries of a kind have the same fields in the same
/// order.
struct described_entry {
  config_entry entry;
  field_values fields;
  /// Compared, but never shown.
  std::set<std::string> keys;
};

std::string ShowTargets(const route& entry) {
  std::string text;
  for (const auto& target : entry.services) {
    if (!text.empty()) text += ", ";
    text +=
        fmt::format("{} (weight {})", target.service.value(), target.weight);
  }
  return text;
}

described_entry Describe(const route& entry) {
  return {Entry(entry),
          {{"host", entry.host},
           {"path_prefix", entry.path_prefix},
           {"streaming", Show(entry.streaming)},
           {"repeatable", Show(entry.repeatable)},
           {"resumable", Show(entry.resumable)},
           {"open", Show(entry.open)},
           {"timeout", Show(entry.timeout)},
           {"target_latency", Show(entry.target_latency)},
           {"event_gap_target", Show(entry.event_gap_target)},
           {"max_attempts", Show(entry.max_attempts)},
           {"priority", Show(entry.priority)},
           {"services", ShowTargets(entry)}},
          {}};
}

described_entry Describe(const service& entry) {
  const auto engine = entry.engine.value_or(engine_spec{});
  return {Entry(entry),
          {{"max_connections", Show(entry.max_connections)},
           {"cold_per_s", Show(entry.cold_per_s)},
           {"model engines", Show(entry.engine.has_value())},
           {"engine memory", ShowMb(engine.weights_mb)},
           {"adapter slots", Show(engine.adapter_slots)},
           {"loads_per_s", Show(engine.loads_per_s)}},
          {}};
}

described_entry Describe(const service& owner, const model_spec& entry) {
  return {Entry(owner, entry),
          {{"weights", ShowMb(entry.weights_mb)},
           {"adapter size", ShowMb(entry.adapter_mb)},
           {"load_from_store_s", Show(entry.load_from_store_s)},
           {"load_from_disk_s", Show(entry.load_from_disk_s)},
           {"load_from_memory_s", Show(entry.load_from_memory_s)}},
          {}};
}

described_entry Describe(const account& entry) {
  return {Entry(entry),
          {{"priority", entry.priority ? Show(*entry.priority) : "none"},
           {"tokens_per_s", Show(entry.tokens_per_s)},
           {"burst_tokens", Show(entry.burst_tokens)},
           {"plain_tokens", Show(entry.plain_tokens)}},
          {}};
}

described_entry Describe(const caller_limits& limits) {
  return {LimitsEntry(),
          {{"max_header_bytes", Show(limits.max_header_bytes)},
           {"max_body_bytes", Show(limits.max_body_bytes)},
           {"header_timeout", Show(limits.header_timeout)},
           {"idle_timeout", Show(limits.idle_timeout)}},
          {}};
}

std::vector<described_entry> Describe(const serving_config& config) {
  std::vector<described_entry> entries;
  entries.push_back({VersionEntry(), {{"version", Show(config.version)}}, {}});
  for (const auto& route : config.routes) entries.push_back(Describe(route));
  for (const auto& service : config.services) {
    entries.push_back(Describe(service));
    if (!service.engine) continue;
    for (const auto& model : service.engine->models) {
      entries.push_back(Describe(service, model));
    }
  }
  const auto first_account = entries.size();
  for (const auto& entry : config.accounts) entries.push_back(Describe(entry));
  for (const auto& [key, index] : config.keys) {
    entries[first_account + index].keys.insert(key);
  }
  entries.push_back(Describe(config.limits));
  return entries;
}

// Kind, name, and number of the entry among those with the same name.
using entry_id = std::tuple<std::string, std::string, int>;

std::vector<entry_id> Identify(const std::vector<described_entry>& entries) {
  std::vector<entry_id> ids;
  std::map<std::pair<std::string, std::string>, int> counts;
  for (const auto& [entry, fields, keys] : entries) {
    ids.emplace_back(entry.kind, entry.name,
                     counts[{entry.kind, entry.name}]++);
  }
  return ids;
}

void CompareKeys(const std::set<std::string>& before,
                 const std::set<std::string>& after,
                 std::vector<field_change>& changes) {
  const auto kept =
      std::count_if(after.begin(), after.end(),
                    [&](const auto& key) { return before.count(key) > 0; });
  const auto added = after.size() - kept;
  const auto removed = before.size() - kept;
  if (added + removed == 0) return;
  changes.push_back(
      {"keys", Show(before.size()),
       fmt::format("{} ({} added, {} removed)", after.size(), added, removed)});
}

std::vector<field_change> CompareFields(const described_entry& before,
                                        const described_entry& after) {
  std::vector<field_change> changes;
  for (std::size_t i = 0; i < after.fields.size(); ++i) {
    const auto& [name, value] = after.fields[i];
    const auto& old_value = before.fields[i].second;
    if (value != old_value) changes.push_back({name, old_value, value});
  }
  CompareKeys(before.keys, after.keys, changes);
  return changes;
}

}  // namespace

const char* ToString(entry_change change) {
  switch (change) {
    case entry_change::kAdded:
      return "added";
    case entry_change::kRemoved:
      return "removed";
    case entry_change::kChanged:
      return "changed";
  }
  return "unknown";
}

std::vector<config_finding> CheckConfig(const serving_config& config) {
  return checker(config).Check();
}

std::vector<config_finding> CheckVersion(const serving_config& before,
                                         const serving_config& after) {
  if (after.version > before.version) return {};
  if (after.version == before.version && CompareConfigs(before, after).empty())
    return {};
  return {{VersionEntry(), "version",
           fmt::format("{}, must be above {}, the version in force",
                       after.version, before.version)}};
}

std::vector<config_difference> CompareConfigs(const serving_config& before,
                                              const serving_config& after) {
  const auto old_entries = Describe(before);
  const auto new_entries = Describe(after);
  const auto old_ids = Identify(old_entries);
  const auto new_ids = Identify(new_entries);
  std::map<entry_id, const described_entry*> removed;
  for (std::size_t i = 0; i < old_ids.size(); ++i) {
    removed[old_ids[i]] = &old_entries[i];
  }
  std::vector<config_difference> differences;
  for (std::size_t i = 0; i < new_ids.size(); ++i) {
    const auto& entry = new_entries[i];
    const auto old = removed.find(new_ids[i]);
    if (old == removed.end()) {
      differences.push_back({entry_change::kAdded, entry.entry, {}});
      continue;
    }
    auto changes = CompareFields(*old->second, entry);
    removed.erase(old);
    if (changes.empty()) continue;
    differences.push_back(
        {entry_change::kChanged, entry.entry, std::move(changes)});
  }
  for (const auto& [id, entry] : removed) {
    differences.push_back({entry_change::kRemoved, entry->entry, {}});
  }
  return differences;
}

}  // namespace bluebell::serving
