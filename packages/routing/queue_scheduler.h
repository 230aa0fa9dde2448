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
  /// Longest time that a request waits for an endpoint.
  clock::duration max_wait = std::chrono::seconds(20);
  /// Requests that may wait at the same time.
  std::size_t max_waiting = 10'000;
  /// Time for which a crash counts against a fingerprint.
  clock::duration quarantine_retention = std::chrono::minutes(10);
  retry_options retries;
  /// Seed of the random choices.
  std::uint64_t seed = 1;
};

/// Demand of one client account for one target since the last call.
struct target_demand {
  std::string target;
  bool is_service = false;
  account_id account;
  std::int64_t weight = 1;
  int priority = 5;
  std::int64_t requests = 0;
  token_count tokens;
};

/// A target that no usable endpoint holds although requests wait for it.
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

  /// Function that polls an endpoint at once. It is called after a request
  /// broke, to find out whether the endpoint died.
  void SetPollNow(poll_function poll) { poll_now_ = std::move(poll); }
  /// Takes in the crash count of another host.
  void OnQuarantineNotice(const host_id& sender, const std::string& fingerprint,
                          int crashes);

  /// Targets that need placement.
  std::vector<waiting_target> WaitingTargets() const;
  /// Demand since the last call.
  std::vector<target_demand> TakeDemand();
  std::size_t waiting() const { return waiting_.size(); }
  std::size_t in_flight() const { return flights_.size(); }

 private:
  struct waiting_request {
    routing_request request;
    queue_entry entry;
    clock::time_point deadline;
    std::function<void(acquire_result)> done;
  };

  struct flight {
    std::string fingerprint;
    endpoint_id endpoint;
    clock::time_point started;
    bool alone = false;
    /// Whether a crash was already counted for this request.
    bool crash_counted = false;
  };

  /// A broken request whose endpoint may have died.
  struct suspicion {
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
  void Pump();
  void Serve(const endpoint_id& id);
  void Dispatch(std::uint64_t ticket, const endpoint_id& popped_for);
  bool Accepts(const endpoint_state& state, const waiting_request& waiting);
  bool ExcludesEndpoint(const endpoint_id& id, const routing_request& request);

  int CrashesOf(const std::string& fingerprint) const;
  void Review(const std::string& fingerprint);
  void ReviewReservations();
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
  std::map<std::uint64_t, flight> flights_;
  /// Endpoints at which requests of a fingerprint are in flight, with counts.
  std::unordered_map<std::string, std::map<endpoint_id, int>> spread_;
  std::map<endpoint_id, std::vector<suspicion>> suspicions_;
  /// Endpoints at which a request runs alone.
  std::set<endpoint_id> exclusive_;
  /// Endpoints that are kept free for a waiting request that runs alone.
  std::map<endpoint_id, std::uint64_t> reserved_;
  /// Waiting requests that run alone and have no endpoint reserved.
  std::set<std::uint64_t> alone_;

  std::map<std::pair<std::string, account_id>, target_demand> demand_;
  std::set<endpoint_id> ready_;
  bool pumping_ = false;
  timer_handle timer_;
  /// Tells the view's listeners whether the scheduler still exists.
  std::shared_ptr<queue_scheduler*> self_;
};

}  // namespace bluebell::routing
