#pragma once

#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/ids.h"
#include "base/settings.h"
#include "limits/admission_factory.h"
#include "placement/controller.h"
#include "routing/queue_scheduler.h"

namespace bluebell::daemon {

/// Checked settings of one entry host.
struct host_settings {
  host_id id;
  zone_id zone;
  /// Listener addresses, `IPv4:port`.
  std::string listen;
  std::string admin_listen;
  std::string peer_listen;
  std::vector<std::string> platform_addresses;
  std::chrono::milliseconds platform_timeout{};
  /// Peer addresses of hosts to contact before any member is known.
  std::vector<std::string> seeds;
  /// SHA-256 digests of the operators' keys.
  std::vector<std::string> operator_key_digests;
  std::string log_level;
  routing::chooser_kind endpoint_choice{};
  routing::queue_kind queue{};
  limits::admission_policy budgets{};
  placement::planner_kind placement{};
  std::chrono::milliseconds max_queue_wait{};
  std::chrono::milliseconds drain_time{};

  /// Reads and validates the INI file; returns all errors together.
  static tl::expected<host_settings, std::vector<setting_error>> Load(
      const std::string& file);
};

/// All allowed settings, for validation and for the reference in the docs.
const std::vector<setting_rule>& HostSettingRules();

}  // namespace bluebell::daemon
