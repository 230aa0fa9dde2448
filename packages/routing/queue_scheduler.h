#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <unordered_map>
#include <vector>

#include "base/clock.h"
#include "base/event_log.h"
#include "base/result.h"
#include "routing/endpoint_chooser.h"
#include "routing/endpoint_view.h"
#include "routing/quarantine.h"
#include "routing/request_queue.h"
#include "routing/retry_budget.h"
#include "routing/scheduler.h"

namespace bluebell::routing {

enum class chooser_kind {
  kRoundRobin,
  kLeastOutstanding,
  kEstimatedCompletion
};

enum class queue_kind { kFair, kFifo };

struct scheduler_options {
  chooser_kind chooser = chooser_kind::kEstimatedCompletion;
  queue_kind queue = queue_kind::kFair;
  /// Maximum time that a request waits for an endpoint.
  clock::duration max_wait = std::chrono::seconds(20);
  /// Maximum number of waiting requests.
  std::size_t max_waiting = 10'000;
  /// Time for which a crash counts against a fingerprint.
  clock::duration quarantine_retention = std::chrono::minutes(10);
  retry_options retries;
  /// Seed of the random endpoint choices.
  std::uint64_t seed = 1;
};

/// Demand of one client account for one target since the last `TakeDemand`.
struct target_demand {
  std::string target;
  bool is_service = false;
  account_id account;
  std::int64_t weight = 1;
  int priority = 5;
  std::int64_t requests = 0;
  token_count tokens;
};

/// A target with waiting requests that is resident at no usable endpoint.
struct waiting_target {
  std::string target;
  bool is_service = false;
  int waiting = 0;
};

/// The scheduler of an entry host: a request queue in front of the endpoint
/// view. Callbacks of `Acquire` may run before `Acquire` returns.
class queue_scheduler final : public scheduler {
 public:
  using poll_function = std::function<void(const endpoint_id&)>;

  /// The view must outlive the scheduler; `log` may be null. `notify` sends
  /// quarantine counts to the other hosts. Fails with `kInvalidArgument` if
  /// an option is out of range.
  static result<std::unique_ptr<queue_scheduler>> Create(
      clock& source, endpoint_view& view, event_log* log,
      const scheduler_options& options, quarantine::notify_function notify);

  std::uint64_t Acquire(const routing_request& request,
                        std::function<void(acquire_result)> done) override;
  void Cancel(std::uint64_t ticket) override;
  void Release(const assignment& ended, dispatch_outcome outcome,
               token_count tokens) override;
  bool TakeRetry(const account_id& account) override;

  /// Sets the function that polls an endpoint immediately. It is called after
  /// a connection failed, to find out whether the endpoint died.
  void SetPollNow(poll_function poll) { poll_now_ = std::move(poll); }
  /// Applies the crash count of another host.
  void OnQuarantineNotice(const host_id& sender, const std::string& fingerprint,
                          int crashes);

  /// Targets that need placement: requests wait, but no usable endpoint serves
  /// them.
  std::vector<waiting_target> WaitingTargets() const;
  /// Returns and resets the demand since the last call.
  std::vector<target_demand> TakeDemand();
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t in_flight() const { return in_flight_requests_.size(); }

 private:
  struct waiting_request {
    routing_request request;
    queue_entry entry;
    clock::time_point deadline;
    std::function<void(acquire_result)> done;
  };

  struct in_flight_request {
    std::string fingerprint;
    endpoint_id endpoint;
    clock::time_point started;
    /// Whether no other request of this host runs at the endpoint.
    bool exclusive = false;
    /// Whether a crash was already counted for this request.
    bool crash_counted = false;
  };

  /// A request whose connection failed, perhaps because the endpoint crashed.
  struct suspected_crash {
    std::string fingerprint;
    clock::time_point since;
  };

  queue_scheduler(clock& source, endpoint_view& view, event_log* log,
                  const scheduler_options& options,
                  quarantine::notify_function notify);

  void Subscribe();
  void OnCrash(const endpoint_id& id);
  void OnAlive(const endpoint_id& id, clock::time_point polled_at);

  void MarkReady(const endpoint_id& id);
  void MarkReadyFor(const waiting_request& waiting);
  void DispatchWaiting();
  void FillEndpoint(const endpoint_id& id);
  void Dispatch(std::uint64_t ticket, const endpoint_id& popped_for);
  bool Accepts(const endpoint_state& state, const waiting_request& waiting);
  bool ExcludesEndpoint(const endpoint_id& id, const routing_request& request);

  int CrashesOf(const std::string& fingerprint) const;
  void ReclassifyWaiting(const std::string& fingerprint);
  void UpdateReservations();
  bool Reserve(std::uint64_t ticket);

  waiting_request Extract(std::uint64_t ticket);
  void Refuse(std::uint64_t ticket, problem_code code, std::string detail);
  void RefuseQuarantined(std::uint64_t ticket);
  void ArmTimer();
  void OnTimer();

  clock& clock_;
  endpoint_view& view_;
  event_log* log_;
  scheduler_options options_;
  std::unique_ptr<endpoint_chooser> chooser_;
  std::unique_ptr<request_queue> queue_;
  quarantine quarantine_;
  retry_budget retries_;
  poll_function poll_now_;

  std::uint64_t next_id_ = 1;
  std::map<std::uint64_t, waiting_request> waiting_;
  std::map<std::uint64_t, in_flight_request> in_flight_requests_;
  /// Number of requests in flight per fingerprint and endpoint.
  std::unordered_map<std::string, std::map<endpoint_id, int>>
      endpoints_by_fingerprint_;
  std::map<endpoint_id, std::vector<suspected_crash>> suspected_crashes_;
  /// Endpoints at which a request runs exclusively.
  std::set<endpoint_id> exclusive_endpoints_;
  /// Ticket of the waiting request for which an endpoint is reserved.
  std::map<endpoint_id, std::uint64_t> reservations_;
  /// Waiting requests that must run exclusively.
  std::set<std::uint64_t> exclusive_tickets_;

  std::map<std::pair<std::string, account_id>, target_demand> demand_;
  std::set<endpoint_id> ready_;
  bool dispatching_ = false;
  timer_handle timer_;
  /// The view's listeners hold a weak pointer to it, which expires with the
  /// scheduler.
  std::shared_ptr<queue_scheduler*> self_;
};

}  // namespace bluebell::routing
