#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <optional>
#include <string>
#include <vector>

#include "base/event_log.h"
#include "base/problem.h"
#include "config/config_editor.h"
#include "config/snapshot.h"
#include "config/tables.h"
#include "fleet/fleet_view.h"

namespace bluebell::admin {

struct admin_request {
  std::string method;
  /// Path without query, percent-encoded as received.
  std::string path;
  /// Part after '?', percent-encoded as received.
  std::string query;
  /// Value of the `If-Match` header: a revision, with or without quotes.
  std::optional<std::string> if_match;
  /// Key of the `Authorization: Bearer` header; empty if there is none.
  std::string operator_key;
  std::string body;
};

struct admin_response {
  int status = 200;
  std::string content_type;
  std::string body;
  /// Value of the `ETag` header including quotes; empty if there is none.
  std::string etag;
};

/// Callbacks into the daemon.
struct daemon_hooks {
  /// Starts draining; further calls have no effect.
  std::function<void()> drain;
  /// Returns additional fields of the status response.
  std::function<nlohmann::json()> status;
};

/// The admin API of docs/design.md, section 2.4, independent of the HTTP
/// transport. Errors are problem documents. The referenced objects must
/// outlive the service.
class admin_service {
 public:
  using callback = std::function<void(admin_response)>;

  /// Maximum body size of an edit, in bytes.
  static constexpr std::size_t kMaxBody = 64 * 1024;

  /// `operator_key_digests` are SHA-256 digests in lower-case hexadecimal.
  admin_service(std::vector<std::string> operator_key_digests,
                config::config_editor& editor,
                const config::snapshot& active_config,
                const fleet::fleet_view& fleet, event_log& events,
                daemon_hooks hooks);

  /// Calls `done` exactly once, at the latest when the editor completes the
  /// edit.
  void Handle(const admin_request& request, const callback& done);

 private:
  bool IsOperatorKey(const std::string& key) const;
  void HandleConfig(const admin_request& request, const std::string& rest,
                    const callback& done);
  void HandleTable(const admin_request& request,
                   const config::table_schema& table, const callback& done);
  void HandleRow(const admin_request& request,
                 const config::table_schema& table, const std::string& id,
                 const callback& done);
  void EditRow(const admin_request& request, const config::table_schema& table,
               const std::string& id, const callback& done);
  admin_response GetRow(const config::table_schema& table,
                        const std::string& id) const;
  admin_response GetStatus() const;
  admin_response GetHosts() const;
  admin_response GetTimeline(const std::string& query) const;
  admin_response Drain();

  std::vector<std::string> operator_key_digests_;
  config::config_editor& editor_;
  const config::snapshot& active_config_;
  const fleet::fleet_view& fleet_;
  event_log& events_;
  daemon_hooks hooks_;
};

}  // namespace bluebell::admin
