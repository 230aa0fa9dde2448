#pragma once

#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "base/ids.h"
#include "base/result.h"
#include "config/snapshot.h"

namespace bluebell::config {

/// Types of the peer messages of docs/design.md, section 2.7.
inline constexpr const char* kConfigSince = "config_since";
inline constexpr const char* kConfigAnnounce = "config_announce";

/// Asks a peer for its rows above a revision.
struct config_since {
  revision after;
};

/// Answer to `config_since`: rows in order of their versions.
struct config_page {
  std::vector<stored_row> rows;
  /// The sender holds every row that the store held at this revision.
  revision through;
  /// Whether the sender has a complete configuration.
  bool complete = false;
  /// Whether rows above the last one of this page follow.
  bool more = false;
};

/// Tells a peer of rows that were just stored. The answer `config_applied`
/// confirms that these or later versions are in force at the peer.
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
