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
/// Lists `config/` once, then watches it; every call is bounded by a timer of
/// its own. Answers `config_since` and `config_announce`. The referenced
/// objects must outlive the watcher.
class config_watcher {
 public:
  config_watcher(snapshot& in_force, store::object_store& store,
                 peer::peer_network& peers, clock& time, event_log& events);

  /// Starts the list and the watch. Call once.
  void Start();

  /// Takes in the configuration revision of a peer's heartbeat, which is
  /// `snapshot::newest()` there. Asks that peer for rows if this host may lack
  /// some of them.
  void OnPeerRevision(const host_id& peer, revision heard);

  /// This host holds every row that the store held at this revision. May be
  /// below `snapshot::newest()`, because announced rows arrive out of order.
  revision through() const { return through_; }

 private:
  /// Last request for rows to one peer.
  struct peer_state {
    revision answered;
    clock::time_point asked_at;
  };
  /// Rows being taken from one peer, page by page.
  struct pull;

  void CallStore();
  void OnStoreAnswer(std::uint64_t call, bool empty_is_early,
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

  snapshot& in_force_;
  store::object_store& store_;
  peer::peer_network& peers_;
  clock& clock_;
  event_log& events_;

  revision through_;
  std::uint64_t call_ = 0;
  int failures_ = 0;
  timer_handle call_deadline_;
  timer_handle retry_;
  std::shared_ptr<pull> pull_;
  std::map<host_id, peer_state> asked_;
  /// Callbacks hold this weakly, because they may run after destruction.
  std::shared_ptr<int> alive_ = std::make_shared<int>();
};

}  // namespace bluebell::config
