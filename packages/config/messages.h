#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/snapshot.h"

namespace bluebell::config {

/// Peer message types; see docs/design.md, section 2.7.
inline constexpr const char* kConfigSince = "config_since";
inline constexpr const char* kConfigAnnounce = "config_announce";

/// Requests a peer's rows with versions above `after`.
struct config_since {
  revision after;
};

/// Response to `config_since`: rows in ascending order of versions.
struct config_page {
  std::vector<stored_row> rows;
  /// Revision up to which the sender holds every row of the store.
  revision through;
  /// Whether the sender has a complete configuration.
  bool complete = false;
  /// Whether the sender has more rows, above the last one of this page.
  bool more = false;
};

/// Sends newly stored rows to a peer. The response `config_applied` confirms
/// that the peer has applied these or later versions.
struct config_announce {
  std::vector<stored_row> rows;
};

struct config_applied {
  bool applied = false;
};

nlohmann::json ToJson(const config_since& message);
nlohmann::json ToJson(const config_page& message);
nlohmann::json ToJson(const config_announce& message);
nlohmann::json ToJson(const config_applied& message);

/// Parse functions fail with `kInvalidArgument`.
result<config_since> ParseConfigSince(const nlohmann::json& body);
result<config_page> ParseConfigPage(const nlohmann::json& body);
result<config_announce> ParseConfigAnnounce(const nlohmann::json& body);
result<config_applied> ParseConfigApplied(const nlohmann::json& body);

}  // namespace bluebell::config
