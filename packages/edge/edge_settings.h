#pragma once

#include <chrono>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/ids.h"
#include "base/settings.h"
#include "serving/service_retry_budget.h"

namespace bluebell::edge {

using std::chrono::milliseconds;

/// Checked settings of an entry host on a hosted platform.
struct edge_settings {
  host_id id;
  zone_id zone;
  /// Processor share, thousandths of a core.
  int capacity = 0;
  /// Addresses that this host listens on, `IPv4:port`; the port of the metrics
  /// and of the digests between hosts is bound on the host's own address.
  std::string callers_listen;
  std::string ready_listen;
  std::string directory_listen;
  std::string metrics_listen;
  std::string digest_listen;
  std::string store_address;
  milliseconds store_timeout{};
  /// Time within which a withdrawn key must stop working.
  milliseconds key_withdrawal{};
  /// Time from SIGTERM to the forced end of the process.
  milliseconds stop_grace{};
  /// Least time between the orders of two placement holders.
  milliseconds placement_pause{};
  serving::retry_limits retries;
  /// Longest time that callers may keep an address answer.
  milliseconds directory_lifetime{};
  std::string log_level;

  /// Reads and checks the INI file; returns every finding at once.
  static tl::expected<edge_settings, std::vector<setting_error>> Load(
      const std::string& file);
};

/// All allowed settings, for the check and for the reference in the docs.
const std::vector<setting_rule>& EdgeSettingRules();

}  // namespace bluebell::edge
