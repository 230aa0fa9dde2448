#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "config/messages.h"
#include "config/snapshot.h"
#include "peer/peer_network.h"
#include "store/object_store.h"

namespace bluebell::config {

/// Keeps the snapshot up to date from the platform and from other hosts.
///
/// Lists `config/` until it succeeds, then watches it; every call has a local
/// timeout. Answers `config_since` and `config_announce`. The referenced
/// objects must outlive the watcher.
class config_watcher {
 public:
  config_watcher(snapshot& active_config, store::object_store& store,
                 peer::peer_network& peers, clock& time, event_log& events);

  /// Starts the list and the watch. Call once.
  void Start();

  /// Handles the configuration revision from a peer's heartbeat, which is the
  /// peer's `snapshot::newest()`. Requests rows from that peer if this host may
  /// lack some.
  void OnPeerRevision(const host_id& peer, revision reported);

  /// Revision up to which this host holds every row of the store. May be below
  /// `snapshot::newest()`, because announced rows arrive out of order.
  revision synced_revision() const { return synced_revision_; }

 private:
  /// Last completed request for rows to one peer.
  struct peer_state {
    revision answered;
    clock::time_point requested_at;
  };
  /// A paged transfer of rows from one peer.
  struct pull;

  void CallStore();
  void OnStoreAnswer(std::uint64_t call, bool answered_early,
                     const result<store::object_list>& answer);
  void OnStoreFailure(const std::string& cause);
  void RetryLater();
  void ApplyList(const store::object_list& list);
  void MarkComplete(const std::string& source);

  void RequestPage(const std::shared_ptr<pull>& current);
  void OnPage(const std::shared_ptr<pull>& current,
              const result<nlohmann::json>& answer);
  config_page MakePage(revision after) const;
  void ReportIfInvalid(const stored_row& row);

  snapshot& active_config_;
  store::object_store& store_;
  peer::peer_network& peers_;
  clock& clock_;
  event_log& events_;

  revision synced_revision_;
  std::uint64_t call_ = 0;
  int failures_ = 0;
  timer_handle call_deadline_;
  timer_handle retry_;
  std::shared_ptr<pull> pull_;
  std::map<host_id, peer_state> last_requests_;
  /// Callbacks hold a weak pointer, because they may run after destruction.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace bluebell::config
