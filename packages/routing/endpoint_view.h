#pragma once

#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/ids.h"
#include "config/snapshot.h"
#include "routing/endpoint_health.h"
#include "routing/endpoint_report.h"
#include "routing/scheduler.h"

namespace bluebell::routing {

/// State of one endpoint as known to this host.
struct endpoint_state {
  config::endpoint_row row;
  /// Whether the configuration still lists the endpoint.
  bool configured = true;
  /// Whether the platform's host list shows the endpoint as leaving.
  bool listed_leaving = false;
  endpoint_health health;
  std::optional<endpoint_report> report;
  /// Time at which the endpoint sampled the load in `report`.
  clock::time_point sampled_at;
  /// Requests of this host that are in flight at the endpoint.
  int outstanding = 0;
  /// Requests of other hosts at the endpoint, derived from the latest report.
  int remote_requests = 0;
  /// Tokens per second of one stream on an idle endpoint; 0: unknown.
  double speed = 0;
  /// Recent changes of `outstanding`, oldest first.
  std::deque<std::pair<clock::time_point, int>> history;

  /// Requests at the endpoint, those of other hosts included.
  int load() const { return outstanding + remote_requests; }
  bool HasRoom() const { return load() < row.max_concurrency; }
  /// Whether the endpoint may receive new requests.
  bool MayReceive() const {
    return configured && !listed_leaving &&
           health.state() == health_state::kHealthy;
  }
  /// Whether the model or adapter `target` is resident at the endpoint, or the
  /// endpoint is a service of the group `target`.
  bool Serves(const std::string& target, bool is_service) const;
};

/// All endpoints of the configuration with load, speed and health. The
/// snapshot must outlive the view.
class endpoint_view {
 public:
  /// `log` may be null.
  endpoint_view(const clock& source, config::snapshot& rows, event_log* log);

  /// Returns null for an unknown endpoint.
  const endpoint_state* Find(const endpoint_id& id) const;
  /// Endpoints that may receive new requests for `target`, with or without
  /// room, in order of their ids.
  std::vector<const endpoint_state*> Serving(const std::string& target,
                                             bool is_service) const;
  const std::map<endpoint_id, endpoint_state>& endpoints() const {
    return endpoints_;
  }

  /// Applies the answer to a poll that was sent at `polled_at`. A changed
  /// incarnation is reported as a crash.
  void OnReport(const endpoint_id& id, const endpoint_report& report,
                clock::time_point polled_at);
  /// The endpoint answered a poll but offers no load report.
  void OnAnswerWithoutReport(const endpoint_id& id,
                             clock::time_point polled_at);
  /// A poll failed. `kUnavailable` (connection refused) counts as a crash.
  void OnPollFailed(const endpoint_id& id, error_code cause);
  void OnPollSent(const endpoint_id& id);

  /// Sets the endpoints that the platform's host list shows as leaving.
  void SetListedLeaving(const std::set<endpoint_id>& leaving);

  void OnDispatched(const endpoint_id& id);
  /// Records the end of a request that took `elapsed` and generated `tokens`.
  void OnEnded(const endpoint_id& id, dispatch_outcome outcome,
               token_count tokens, clock::duration elapsed);

  /// Called when the process of an endpoint ended or restarted.
  void OnCrash(std::function<void(const endpoint_id&)> listener) {
    crash_listeners_.push_back(std::move(listener));
  }
  /// Called when an endpoint answered a poll sent at the given time without
  /// having restarted.
  void OnAlive(
      std::function<void(const endpoint_id&, clock::time_point)> listener) {
    alive_listeners_.push_back(std::move(listener));
  }
  /// Called when an endpoint may have become able to receive requests.
  void OnChange(std::function<void(const endpoint_id&)> listener) {
    change_listeners_.push_back(std::move(listener));
  }
  /// Called after each report.
  void OnReported(std::function<void(const endpoint_id&, const endpoint_report&,
                                     clock::time_point)>
                      listener) {
    report_listeners_.push_back(std::move(listener));
  }

 private:
  void ApplyRow(const endpoint_id& id);
  void Process(endpoint_state& state, health_event event);
  void IndexResidents(const endpoint_id& id, const endpoint_report* before,
                      const endpoint_report* after);
  void SetOutstanding(endpoint_state& state, int outstanding);
  void NotifyCrash(const endpoint_id& id);
  void NotifyChange(const endpoint_id& id);

  const clock& clock_;
  config::snapshot& rows_;
  event_log* log_;
  std::map<endpoint_id, endpoint_state> endpoints_;
  using endpoint_index = std::map<endpoint_id, const endpoint_state*>;
  std::unordered_map<std::string, endpoint_index> endpoints_by_resident_;
  std::unordered_map<std::string, endpoint_index> endpoints_by_group_;
  std::set<endpoint_id> listed_leaving_;
  std::vector<std::function<void(const endpoint_id&)>> crash_listeners_;
  std::vector<std::function<void(const endpoint_id&, clock::time_point)>>
      alive_listeners_;
  std::vector<std::function<void(const endpoint_id&)>> change_listeners_;
  std::vector<std::function<void(const endpoint_id&, const endpoint_report&,
                                 clock::time_point)>>
      report_listeners_;
  /// The snapshot's listener holds a weak pointer to it, which expires with the
  /// view.
  std::shared_ptr<endpoint_view*> self_;
};

}  // namespace bluebell::routing
