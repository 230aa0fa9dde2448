#include "edge/edge_settings.h"

#include <boost/algorithm/string/trim.hpp>
#include <cmath>
#include <cstdlib>

namespace bluebell::edge {
namespace {

constexpr std::int64_t kMaxMilliseconds = 600'000;
constexpr std::int64_t kMillisecondsPerSecond = 1000;
constexpr std::int64_t kMaxCores = 1024;
constexpr std::int64_t kMaxRetryRatio = 100;
constexpr double kMillicoresPerCore = 1000;
constexpr std::int64_t kMaxSlack = 1'000'000;
constexpr char kMemoryVariable[] = "BLUEBELL_MEMORY_MB";
constexpr char kDefaultMemory[] = "100";
constexpr std::int64_t kMaxMemory = 1'000'000;
constexpr double kBytesPerMegabyte = 1024 * 1024;
// Part of the memory for requests and answers.
constexpr double kHeldShare = 0.2;
// Part of the memory for answers of the store; a value read from one takes
// several times its bytes.
constexpr double kStoreShare = 0.125;

setting_rule Rule(std::string section, std::string key, setting_type type,
                  std::string default_value = {}) {
  setting_rule rule;
  rule.section = std::move(section);
  rule.key = std::move(key);
  rule.type = type;
  rule.required = default_value.empty();
  rule.default_value = std::move(default_value);
  return rule;
}

setting_rule Text(std::string section, std::string key) {
  return Rule(std::move(section), std::move(key), setting_type::kText);
}

setting_rule Address(std::string section, std::string key) {
  return Rule(std::move(section), std::move(key), setting_type::kAddress);
}

setting_rule MemoryMegabytes(std::string section, std::string key) {
  auto rule = Rule(std::move(section), std::move(key), setting_type::kDecimal,
                   kDefaultMemory);
  rule.minimum = 1;
  rule.maximum = kMaxMemory;
  return rule;
}

setting_rule Milliseconds(std::string section, std::string key,
                          std::string default_value = {}) {
  auto rule = Rule(std::move(section), std::move(key),
                   setting_type::kMilliseconds, std::move(default_value));
  rule.minimum = 1;
  rule.maximum = kMaxMilliseconds;
  return rule;
}

setting_rule Decimal(std::string section, std::string key,
                     std::int64_t maximum) {
  auto rule = Rule(std::move(section), std::move(key), setting_type::kDecimal);
  rule.maximum = maximum;
  return rule;
}

// Durations that the platform states, with or without a fraction.
setting_rule DecimalMilliseconds(std::string section, std::string key) {
  return Decimal(std::move(section), std::move(key), kMaxMilliseconds);
}

setting_rule DecimalSeconds(std::string section, std::string key) {
  return Decimal(std::move(section), std::move(key),
                 kMaxMilliseconds / kMillisecondsPerSecond);
}

// A bound of a feature that the deployment may not have.
setting_rule OptionalMilliseconds(std::string section, std::string key) {
  auto rule = DecimalMilliseconds(std::move(section), std::move(key));
  rule.required = false;
  rule.may_be_empty = true;
  rule.minimum = 1;
  return rule;
}

// Memory of the process in MiB: the setting's own value or, as its default, the
// environment's. A value of the environment that cannot be used is reported in
// `ignored`.
double MemoryOfProcess(const settings& read,
                       std::vector<setting_error>& ignored) {
  const char* given = std::getenv(kMemoryVariable);
  if (read.IsSet("host", "memory_mb") || given == nullptr) {
    return read.Decimal("host", "memory_mb");
  }
  const auto rule = MemoryMegabytes("host", "memory_mb");
  if (const auto value = ToDecimal(rule, boost::trim_copy(std::string(given))))
    return *value;
  ignored.push_back(
      {"environment", "", kMemoryVariable, given,
       AllowedValues(rule) + "; in effect: " + rule.default_value});
  return read.Decimal("host", "memory_mb");
}

// Rounded down: most durations here are upper limits.
milliseconds ToWholeMilliseconds(double value) {
  return milliseconds(static_cast<std::int64_t>(std::floor(value)));
}

}  // namespace

const std::vector<setting_rule>& EdgeSettingRules() {
  static const std::vector<setting_rule> kRules = {
      Text("host", "id"),
      Text("host", "zone"),
      Decimal("host", "cores", kMaxCores),
      // Memory of the process; without it, the environment's.
      MemoryMegabytes("host", "memory_mb"),
      Address("listen", "callers"),
      Address("listen", "ready"),
      Address("listen", "directory"),
      Address("listen", "metrics"),
      Address("listen", "digests"),
      Address("listen", "forwards"),
      Address("store", "address"),
      // A call takes milliseconds; two timeouts still fit into the bounds.
      Milliseconds("store", "timeout_ms", "700"),
      DecimalMilliseconds("bounds", "key_withdrawal_ms"),
      OptionalMilliseconds("bounds", "config_change_ms"),
      DecimalSeconds("bounds", "stop_grace_s"),
      DecimalMilliseconds("bounds", "placement_pause_ms"),
      DecimalSeconds("bounds", "quota_window_s"),
      DecimalSeconds("bounds", "retry_window_s"),
      Decimal("bounds", "retry_ratio", kMaxRetryRatio),
      Decimal("bounds", "retry_slack", kMaxSlack),
      OptionalMilliseconds("bounds", "evacuation_ms"),
      // Short enough that callers leave a stopping host within its grace time
      // even if they cache an answer for three times its lifetime.
      Milliseconds("directory", "lifetime_ms", "1500"),
      {"zones",
       "prefer_own",
       setting_type::kText,
       "no",
       false,
       0,
       0,
       {"yes", "no"}},
      {"log",
       "level",
       setting_type::kText,
       "info",
       false,
       0,
       0,
       {"debug", "info", "warn", "error"}},
  };
  return kRules;
}

tl::expected<edge_settings, std::vector<setting_error>> edge_settings::Load(
    const std::string& file) {
  const auto read = settings::Load(file, EdgeSettingRules());
  if (!read) return tl::unexpected(read.error());
  edge_settings loaded;
  loaded.id = host_id(read->Text("host", "id"));
  loaded.zone = zone_id(read->Text("host", "zone"));
  loaded.capacity =
      static_cast<int>(read->Decimal("host", "cores") * kMillicoresPerCore);
  const double memory =
      MemoryOfProcess(*read, loaded.ignored) * kBytesPerMegabyte;
  loaded.held_bytes = static_cast<std::size_t>(memory * kHeldShare);
  loaded.store_bytes = static_cast<std::size_t>(memory * kStoreShare);
  loaded.callers_listen = read->Text("listen", "callers");
  loaded.ready_listen = read->Text("listen", "ready");
  loaded.directory_listen = read->Text("listen", "directory");
  loaded.metrics_listen = read->Text("listen", "metrics");
  loaded.digest_listen = read->Text("listen", "digests");
  loaded.forwards_listen = read->Text("listen", "forwards");
  loaded.store_address = read->Text("store", "address");
  loaded.store_timeout = read->Milliseconds("store", "timeout_ms");
  loaded.key_withdrawal =
      ToWholeMilliseconds(read->Decimal("bounds", "key_withdrawal_ms"));
  loaded.config_change =
      read->IsSet("bounds", "config_change_ms")
          ? ToWholeMilliseconds(read->Decimal("bounds", "config_change_ms"))
          : loaded.key_withdrawal;
  loaded.stop_grace = ToWholeMilliseconds(
      read->Decimal("bounds", "stop_grace_s") * kMillisecondsPerSecond);
  // A lower limit, so it is rounded up.
  loaded.placement_pause = ToWholeMilliseconds(
      std::ceil(read->Decimal("bounds", "placement_pause_ms")));
  loaded.quota_window = ToWholeMilliseconds(
      read->Decimal("bounds", "quota_window_s") * kMillisecondsPerSecond);
  if (read->IsSet("bounds", "evacuation_ms")) {
    loaded.evacuation =
        ToWholeMilliseconds(read->Decimal("bounds", "evacuation_ms"));
  }
  loaded.retries.window = ToWholeMilliseconds(
      read->Decimal("bounds", "retry_window_s") * kMillisecondsPerSecond);
  loaded.retries.ratio = read->Decimal("bounds", "retry_ratio");
  loaded.retries.slack = read->Decimal("bounds", "retry_slack");
  loaded.directory_lifetime = read->Milliseconds("directory", "lifetime_ms");
  loaded.prefer_own_zone = read->Text("zones", "prefer_own") == "yes";
  loaded.log_level = read->Text("log", "level");
  return loaded;
}

}  // namespace bluebell::edge
