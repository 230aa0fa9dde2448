#pragma once

#include <functional>
#include <memory>
#include <nlohmann/json.hpp>
#include <optional>
#include <set>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "base/problem.h"
#include "config/snapshot.h"
#include "config/tables.h"
#include "fleet/fleet_view.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::config {

/// An edit that was written to the store.
struct stored_edit {
  stored_row row;
  /// Whether a majority of members confirmed within `kAnnounceTimeout` that
  /// they applied the row. If false, the row is stored and the members receive
  /// it later; repeating the same edit confirms it.
  bool confirmed = false;
};

/// An edit that was refused or has an unknown outcome (`executed::kUnknown`).
struct edit_error {
  problem what;
  /// On a conflict: the stored row, a tombstone if it was removed.
  std::optional<stored_row> current;
};

using edit_result = tl::expected<stored_edit, edit_error>;

/// Writes configuration rows for operators. Calls `done` exactly once per edit,
/// within `kStoreTimeout` plus `kAnnounceTimeout`. Edits are idempotent: an
/// edit of a row that already has the requested content succeeds. The
/// referenced objects must outlive the editor; destroying the editor drops
/// pending edits without calling `done`.
class config_editor {
 public:
  using callback = std::function<void(edit_result)>;

  static constexpr std::chrono::milliseconds kStoreTimeout{8'000};
  static constexpr std::chrono::milliseconds kAnnounceTimeout{5'000};

  config_editor(snapshot& active_config, store::object_store& store,
                peer::peer_network& peers, const fleet::fleet_view& fleet,
                clock& time, event_log& events);
  ~config_editor();

  /// Writes the row if its revision is `expected`; 0 creates the row.
  void Put(const table_schema& table, const std::string& id,
           const nlohmann::json& value, revision expected, callback done);
  /// Replaces the row by a tombstone if its revision is `expected`.
  void Remove(const table_schema& table, const std::string& id,
              revision expected, callback done);

 private:
  struct edit;
  using edit_ptr = std::shared_ptr<edit>;

  void StartEdit(const std::string& name, nlohmann::json value,
                 revision expected, callback done);
  void Write(const edit_ptr& current);
  void OnWritten(const edit_ptr& current, const store::write_result& answer);
  void ReadBack(const edit_ptr& current);
  void OnReadBack(const edit_ptr& current, const result<store::object>& answer);
  void OnVersionMismatch(const edit_ptr& current,
                         const std::optional<store::object>& found);
  void RetryLater(const edit_ptr& current,
                  void (config_editor::*step)(const edit_ptr&));

  void OnStored(const edit_ptr& current, revision version);
  void Announce(const edit_ptr& current);
  void AnnounceTo(const edit_ptr& current, const host_id& host);
  bool IsConfirmedByMajority(const edit& current) const;

  void Finish(const edit_ptr& current, edit_result outcome);
  void Refuse(const edit_ptr& current, problem_code code,
              const std::string& detail,
              std::optional<stored_row> found = std::nullopt);
  std::optional<problem> CheckStatus() const;

  snapshot& active_config_;
  store::object_store& store_;
  peer::peer_network& peers_;
  const fleet::fleet_view& fleet_;
  clock& clock_;
  event_log& events_;
  /// Callbacks hold weak pointers to edits, so late answers are ignored after
  /// the edit finished or the editor was destroyed.
  std::set<edit_ptr> pending_edits_;
};

}  // namespace bluebell::config
