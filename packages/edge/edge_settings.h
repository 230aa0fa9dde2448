#pragma once

#include <chrono>
#include <optional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/ids.h"
#include "base/settings.h"
#include "serving/service_retry_budget.h"

namespace bluebell::edge {

using std::chrono::milliseconds;

/// Validated settings of an entry host on a hosted platform.
struct edge_settings {
  host_id id;
  zone_id zone;
  /// CPU share in millicores.
  int capacity = 0;
  /// Bytes of requests and answers that the host holds at once.
  std::size_t held_bytes = 25 * 1024 * 1024;
  /// Bytes of answers of the store that the host holds at once.
  std::size_t store_bytes = 12 * 1024 * 1024;
  /// Listen addresses, `IPv4:port`; the metrics and digest ports are bound on
  /// the host's own address.
  std::string callers_listen;
  std::string ready_listen;
  std::string directory_listen;
  std::string metrics_listen;
  std::string digest_listen;
  /// For requests of hosts that reach no engine.
  std::string forwards_listen;
  std::string store_address;
  milliseconds store_timeout{};
  /// Time within which a revoked key must be rejected.
  milliseconds key_withdrawal{};
  /// Time within which any other change of the configuration must be in force.
  milliseconds config_change{};
  /// Time from SIGTERM until the platform kills the process.
  milliseconds stop_grace{};
  /// Minimum time between the orders of two successive placement lease holders.
  milliseconds placement_pause{};
  /// Span over which the tokens of an account are limited to its rate times
  /// the span plus its burst.
  milliseconds quota_window{};
  /// Time within which no request reaches an evacuated zone any more; none if
  /// the deployment has no evacuations.
  std::optional<milliseconds> evacuation;
  serving::retry_limits retries;
  /// Time for which callers may cache an address answer.
  milliseconds directory_lifetime{};
  /// Requests to all services stay in this zone while it has room.
  bool prefer_own_zone = false;
  std::string log_level;
  /// Optional values that cannot be used; the defaults are in effect.
  std::vector<setting_error> ignored;

  /// Reads and validates the INI file; returns all errors found.
  static tl::expected<edge_settings, std::vector<setting_error>> Load(
      const std::string& file);
};

/// All recognized settings, for validation and for the reference in the docs.
const std::vector<setting_rule>& EdgeSettingRules();

}  // namespace bluebell::edge
