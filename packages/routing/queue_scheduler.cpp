#include "routing/queue_scheduler.h"

#include <algorithm>
#include <utility>

#include "routing/fair_queue.h"

namespace bluebell::routing {
namespace {

// Limit on the endpoints that a fingerprint occupies and those it has crashed,
// added up.
constexpr int kMaxEndpointsAtRisk = quarantine::kCrashThreshold;
// Requests that run exclusively may take a target's endpoints divided by this.
constexpr std::size_t kReservedDivisor = 2;

// Services and models have separate namespaces, so the key includes the kind.
std::string KeyOf(const std::string& target, bool is_service) {
  return (is_service ? "s/" : "m/") + target;
}

bool ServesKey(const endpoint_state& state, const std::string& key) {
  return state.Serves(key.substr(2), key[0] == 's');
}

std::unique_ptr<endpoint_chooser> MakeChooser(
    const scheduler_options& options) {
  switch (options.chooser) {
    case chooser_kind::kRoundRobin:
      return std::make_unique<round_robin_chooser>();
    case chooser_kind::kLeastOutstanding:
      return std::make_unique<least_outstanding_chooser>();
    case chooser_kind::kEstimatedCompletion:
      break;
  }
  return std::make_unique<estimated_completion_chooser>(options.seed);
}

std::unique_ptr<request_queue> MakeQueue(queue_kind kind) {
  if (kind == queue_kind::kFifo) return std::make_unique<fifo_queue>();
  return std::make_unique<fair_queue>();
}

bool Contains(const std::vector<endpoint_id>& ids, const endpoint_id& id) {
  return std::find(ids.begin(), ids.end(), id) != ids.end();
}

}  // namespace

result<std::unique_ptr<queue_scheduler>> queue_scheduler::Create(
    clock& source, endpoint_view& view, event_log* log,
    const scheduler_options& options, quarantine::notify_function notify) {
  if (options.max_wait <= clock::duration::zero()) {
    return Fail(error_code::kInvalidArgument, "max_wait: allowed: above 0");
  }
  if (options.max_waiting == 0) {
    return Fail(error_code::kInvalidArgument, "max_waiting: allowed: above 0");
  }
  std::unique_ptr<queue_scheduler> created(
      new queue_scheduler(source, view, log, options, std::move(notify)));
  created->Subscribe();
  return created;
}

queue_scheduler::queue_scheduler(clock& source, endpoint_view& view,
                                 event_log* log,
                                 const scheduler_options& options,
                                 quarantine::notify_function notify)
    : clock_(source),
      view_(view),
      log_(log),
      options_(options),
      chooser_(MakeChooser(options)),
      queue_(MakeQueue(options.queue)),
      quarantine_(source, options.quarantine_retention, std::move(notify)),
      retries_(options.retries),
      self_(std::make_shared<queue_scheduler*>(this)) {}

void queue_scheduler::Subscribe() {
  const std::weak_ptr<queue_scheduler*> self = self_;
  view_.OnCrash([self](const endpoint_id& id) {
    if (const auto scheduler = self.lock()) (*scheduler)->OnCrash(id);
  });
  view_.OnAlive([self](const endpoint_id& id, clock::time_point polled_at) {
    if (const auto scheduler = self.lock()) {
      (*scheduler)->OnAlive(id, polled_at);
    }
  });
  view_.OnChange([self](const endpoint_id& id) {
    if (const auto scheduler = self.lock()) {
      (*scheduler)->MarkReady(id);
      (*scheduler)->DispatchWaiting();
    }
  });
}

std::uint64_t queue_scheduler::Acquire(
    const routing_request& request, std::function<void(acquire_result)> done) {
  const std::uint64_t ticket = next_id_++;
  const std::string key = KeyOf(request.target, request.is_service);
  if (request.excluded.empty()) {
    retries_.OnRequest(request.account);
    auto& demand = demand_[{key, request.account}];
    demand.target = request.target;
    demand.is_service = request.is_service;
    demand.account = request.account;
    demand.weight = request.weight;
    demand.priority = request.priority;
    ++demand.requests;
    demand.tokens += request.estimated_tokens;
  }
  waiting_request& waiting = waiting_[ticket];
  waiting.request = request;
  waiting.entry = {ticket,
                   request.account,
                   request.weight,
                   request.priority,
                   key,
                   std::max<std::int64_t>(1, request.estimated_tokens.value())};
  waiting.deadline = clock_.now() + options_.max_wait;
  waiting.done = std::move(done);
  queue_->Push(waiting.entry);

  if (quarantine_.Crashes(request.fingerprint) >= quarantine::kCrashThreshold) {
    RefuseQuarantined(ticket);
    return ticket;
  }
  if (CrashesOf(request.fingerprint) > 0) exclusive_tickets_.insert(ticket);
  MarkReadyFor(waiting);
  DispatchWaiting();
  if (waiting_.size() > options_.max_waiting) {
    const auto evicted = queue_->EvictionCandidate();
    if (evicted) {
      Refuse(*evicted, problem_code::kQueueFull,
             "too many requests wait for an endpoint");
    }
  }
  ArmTimer();
  return ticket;
}

void queue_scheduler::Cancel(std::uint64_t ticket) {
  if (waiting_.count(ticket) == 0) return;
  Extract(ticket);
  DispatchWaiting();
}

void queue_scheduler::Release(const assignment& ended, dispatch_outcome outcome,
                              token_count tokens) {
  const auto found = in_flight_requests_.find(ended.id);
  if (found == in_flight_requests_.end()) return;
  const in_flight_request released = std::move(found->second);
  in_flight_requests_.erase(found);

  const auto in_use = endpoints_by_fingerprint_.find(released.fingerprint);
  if (in_use != endpoints_by_fingerprint_.end() &&
      --in_use->second[released.endpoint] == 0) {
    in_use->second.erase(released.endpoint);
    if (in_use->second.empty()) endpoints_by_fingerprint_.erase(in_use);
  }
  if (released.exclusive) exclusive_endpoints_.erase(released.endpoint);
  if (released.exclusive && outcome == dispatch_outcome::kSucceeded) {
    quarantine_.Clear(released.fingerprint);
  }
  const bool broken = outcome == dispatch_outcome::kBroken;
  if (broken && !released.crash_counted && !released.fingerprint.empty()) {
    suspected_crashes_[released.endpoint].push_back(
        {released.fingerprint, clock_.now()});
  }
  // `OnEnded` notifies the change listener, which dispatches waiting requests,
  // so the state that decides about them must be up to date before.
  if (broken || released.exclusive) ReclassifyWaiting(released.fingerprint);
  view_.OnEnded(released.endpoint, outcome, tokens,
                clock_.now() - released.started);
  if ((broken || outcome == dispatch_outcome::kConnectFailed) && poll_now_) {
    poll_now_(released.endpoint);
  }
  DispatchWaiting();
}

bool queue_scheduler::TakeRetry(const account_id& account) {
  return retries_.Take(account);
}

void queue_scheduler::OnQuarantineNotice(const host_id& sender,
                                         const std::string& fingerprint,
                                         int crashes) {
  quarantine_.OnNotice(sender, fingerprint, crashes);
  ReclassifyWaiting(fingerprint);
  DispatchWaiting();
}

std::vector<waiting_target> queue_scheduler::WaitingTargets() const {
  std::map<std::string, waiting_target> found;
  for (const auto& [ticket, waiting] : waiting_) {
    auto& target = found[waiting.entry.target];
    target.target = waiting.request.target;
    target.is_service = waiting.request.is_service;
    ++target.waiting;
  }
  std::vector<waiting_target> unserved;
  for (const auto& [key, target] : found) {
    if (view_.Serving(target.target, target.is_service).empty()) {
      unserved.push_back(target);
    }
  }
  return unserved;
}

std::vector<target_demand> queue_scheduler::TakeDemand() {
  std::vector<target_demand> demands;
  for (auto& [key, demand] : demand_) demands.push_back(std::move(demand));
  demand_.clear();
  return demands;
}

// Counts one crash for each fingerprint that was in flight at the endpoint or
// whose connection failed since the endpoint was last known to be alive.
void queue_scheduler::OnCrash(const endpoint_id& id) {
  std::set<std::string> fingerprints;
  for (auto& [number, request] : in_flight_requests_) {
    if (request.endpoint != id || request.crash_counted) continue;
    request.crash_counted = true;
    fingerprints.insert(request.fingerprint);
  }
  const auto suspected = suspected_crashes_.find(id);
  if (suspected != suspected_crashes_.end()) {
    for (const auto& crash : suspected->second) {
      fingerprints.insert(crash.fingerprint);
    }
    suspected_crashes_.erase(suspected);
  }
  if (fingerprints.empty()) return;
  if (log_ != nullptr) {
    log_->Record(event_id::kEndpointCrashed,
                 {{"endpoint", id.value()},
                  {"requests", std::to_string(fingerprints.size())}});
  }
  for (const auto& fingerprint : fingerprints) {
    quarantine_.RecordCrash(fingerprint);
  }
  for (const auto& fingerprint : fingerprints) ReclassifyWaiting(fingerprint);
  DispatchWaiting();
}

// Clears the suspected crashes that are older than the poll, because the
// endpoint survived them.
void queue_scheduler::OnAlive(const endpoint_id& id,
                              clock::time_point polled_at) {
  const auto found = suspected_crashes_.find(id);
  if (found == suspected_crashes_.end()) return;
  std::vector<suspected_crash> unresolved;
  std::vector<std::string> cleared;
  for (auto& crash : found->second) {
    if (crash.since > polled_at) {
      unresolved.push_back(std::move(crash));
    } else {
      cleared.push_back(std::move(crash.fingerprint));
    }
  }
  if (unresolved.empty()) {
    suspected_crashes_.erase(found);
  } else {
    found->second = std::move(unresolved);
  }
  for (const auto& fingerprint : cleared) ReclassifyWaiting(fingerprint);
  DispatchWaiting();
}

void queue_scheduler::MarkReady(const endpoint_id& id) {
  if (!waiting_.empty()) ready_.insert(id);
}

void queue_scheduler::MarkReadyFor(const waiting_request& waiting) {
  const auto& request = waiting.request;
  for (const auto* state : view_.Serving(request.target, request.is_service)) {
    if (!state->HasRoom() || !Accepts(*state, waiting)) continue;
    ready_.insert(state->row.id);
    return;
  }
}

// Dispatches waiting requests to the endpoints that may have room. Callbacks of
// requests can re-enter the scheduler; the outer call then processes the
// endpoints that they added.
void queue_scheduler::DispatchWaiting() {
  if (dispatching_) return;
  dispatching_ = true;
  UpdateReservations();
  while (!ready_.empty()) {
    const endpoint_id id = *ready_.begin();
    ready_.erase(ready_.begin());
    FillEndpoint(id);
    if (ready_.empty()) UpdateReservations();
  }
  dispatching_ = false;
}

void queue_scheduler::FillEndpoint(const endpoint_id& id) {
  while (!waiting_.empty()) {
    const auto* state = view_.Find(id);
    if (state == nullptr || !state->MayReceive() || !state->HasRoom()) return;
    const auto popped = queue_->Pop(
        id, [&](const std::string& key) { return ServesKey(*state, key); },
        [&](std::uint64_t ticket) {
          return Accepts(*state, waiting_.at(ticket));
        });
    if (!popped) return;
    Dispatch(popped->ticket, id);
  }
}

// Assigns one of the available endpoints to a request that has been popped from
// the queue.
void queue_scheduler::Dispatch(std::uint64_t ticket,
                               const endpoint_id& popped_for) {
  const auto& queued = waiting_.at(ticket);
  const bool exclusive = CrashesOf(queued.request.fingerprint) > 0;
  const endpoint_state* chosen = view_.Find(popped_for);
  if (!exclusive) {
    const auto serving =
        view_.Serving(queued.request.target, queued.request.is_service);
    endpoint_chooser::candidates available;
    for (const auto* state : serving) {
      if (state->HasRoom() && Accepts(*state, queued))
        available.push_back(state);
    }
    if (!available.empty())
      chosen = chooser_->Choose(queued.request, serving, available);
  }
  const waiting_request waiting = Extract(ticket);
  assignment assigned;
  assigned.id = next_id_++;
  assigned.endpoint = chosen->row.id;
  assigned.address = chosen->row.address;
  in_flight_request& dispatched = in_flight_requests_[assigned.id];
  dispatched.fingerprint = waiting.request.fingerprint;
  dispatched.endpoint = assigned.endpoint;
  dispatched.started = clock_.now();
  dispatched.exclusive = exclusive;
  if (!dispatched.fingerprint.empty()) {
    ++endpoints_by_fingerprint_[dispatched.fingerprint][assigned.endpoint];
  }
  if (exclusive) exclusive_endpoints_.insert(assigned.endpoint);
  view_.OnDispatched(assigned.endpoint);
  waiting.done(assigned);
}

// Whether quarantine, reservations and excluded endpoints allow sending the
// request to the endpoint.
bool queue_scheduler::Accepts(const endpoint_state& state,
                              const waiting_request& waiting) {
  const auto& id = state.row.id;
  const auto reserved = reservations_.find(id);
  const bool reserved_here = reserved != reservations_.end() &&
                             reserved->second == waiting.entry.ticket;
  if (reserved != reservations_.end() && !reserved_here) return false;
  if (exclusive_endpoints_.count(id) > 0) return false;
  if (ExcludesEndpoint(id, waiting.request)) return false;
  const auto& fingerprint = waiting.request.fingerprint;
  if (fingerprint.empty()) return true;
  const int crashes = CrashesOf(fingerprint);
  const auto in_use = endpoints_by_fingerprint_.find(fingerprint);
  const int occupied = in_use == endpoints_by_fingerprint_.end()
                           ? 0
                           : static_cast<int>(in_use->second.size());
  if (crashes > 0) {
    return reserved_here && state.outstanding == 0 && occupied == 0 &&
           crashes < kMaxEndpointsAtRisk;
  }
  return occupied < kMaxEndpointsAtRisk || in_use->second.count(id) > 0;
}

// Whether the request failed at the endpoint before and another endpoint can
// serve it.
bool queue_scheduler::ExcludesEndpoint(const endpoint_id& id,
                                       const routing_request& request) {
  if (!Contains(request.excluded, id)) return false;
  const auto serving = view_.Serving(request.target, request.is_service);
  return std::any_of(serving.begin(), serving.end(), [&](const auto* state) {
    return !Contains(request.excluded, state->row.id);
  });
}

// Counted crashes plus suspected ones.
int queue_scheduler::CrashesOf(const std::string& fingerprint) const {
  if (fingerprint.empty()) return 0;
  int crashes = quarantine_.Crashes(fingerprint);
  for (const auto& [id, suspected] : suspected_crashes_) {
    crashes += std::any_of(
        suspected.begin(), suspected.end(),
        [&](const auto& crash) { return crash.fingerprint == fingerprint; });
  }
  return crashes;
}

// Applies a changed crash count to the waiting requests of the fingerprint.
void queue_scheduler::ReclassifyWaiting(const std::string& fingerprint) {
  if (fingerprint.empty()) return;
  const bool refused =
      quarantine_.Crashes(fingerprint) >= quarantine::kCrashThreshold;
  const bool exclusive = CrashesOf(fingerprint) > 0;
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, waiting] : waiting_) {
    if (waiting.request.fingerprint == fingerprint) tickets.push_back(ticket);
  }
  for (const auto ticket : tickets) {
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) continue;
    if (refused) {
      RefuseQuarantined(ticket);
    } else if (exclusive) {
      exclusive_tickets_.insert(ticket);
    } else {
      exclusive_tickets_.erase(ticket);
      MarkReadyFor(found->second);
    }
  }
}

// Reserves endpoints for the requests that run exclusively, and releases the
// reservations that are no longer needed.
void queue_scheduler::UpdateReservations() {
  for (auto it = reservations_.begin(); it != reservations_.end();) {
    const auto* state = view_.Find(it->first);
    const bool usable = state != nullptr && state->MayReceive();
    const bool needed = exclusive_tickets_.count(it->second) > 0;
    if (usable && needed) {
      ++it;
      continue;
    }
    if (usable) ready_.insert(it->first);
    it = reservations_.erase(it);
  }
  std::set<std::uint64_t> holding;
  for (const auto& [id, ticket] : reservations_) holding.insert(ticket);
  for (const auto ticket : exclusive_tickets_) {
    if (holding.count(ticket) == 0) Reserve(ticket);
  }
}

// Reserves the least loaded endpoint for a request that runs exclusively,
// unless half of the target's endpoints (but at least one) are taken already.
bool queue_scheduler::Reserve(std::uint64_t ticket) {
  const auto& request = waiting_.at(ticket).request;
  if (endpoints_by_fingerprint_.count(request.fingerprint) > 0) return false;
  if (CrashesOf(request.fingerprint) >= kMaxEndpointsAtRisk) return false;
  const auto serving = view_.Serving(request.target, request.is_service);
  const endpoint_state* best = nullptr;
  std::size_t unavailable = 0;
  for (const auto* state : serving) {
    const auto& id = state->row.id;
    if (reservations_.count(id) > 0 || exclusive_endpoints_.count(id) > 0) {
      ++unavailable;
      continue;
    }
    if (ExcludesEndpoint(id, request)) continue;
    if (best == nullptr || state->outstanding < best->outstanding) best = state;
  }
  const std::size_t allowed =
      std::max<std::size_t>(1, serving.size() / kReservedDivisor);
  if (best == nullptr || unavailable >= allowed) return false;
  reservations_[best->row.id] = ticket;
  ready_.insert(best->row.id);
  return true;
}

queue_scheduler::waiting_request queue_scheduler::Extract(
    std::uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  waiting_request extracted = std::move(found->second);
  waiting_.erase(found);
  queue_->Remove(extracted.entry);
  exclusive_tickets_.erase(ticket);
  for (auto it = reservations_.begin(); it != reservations_.end(); ++it) {
    if (it->second != ticket) continue;
    ready_.insert(it->first);
    reservations_.erase(it);
    break;
  }
  return extracted;
}

void queue_scheduler::Refuse(std::uint64_t ticket, problem_code code,
                             std::string detail) {
  const waiting_request refused = Extract(ticket);
  refused.done(
      tl::unexpected<problem>({code, std::move(detail), executed::kNo}));
}

void queue_scheduler::RefuseQuarantined(std::uint64_t ticket) {
  if (log_ != nullptr) {
    const auto& request = waiting_.at(ticket).request;
    log_->Record(event_id::kRequestQuarantined,
                 {{"account", request.account.value()},
                  {"target", request.target},
                  {"fingerprint", request.fingerprint}});
  }
  Refuse(ticket, problem_code::kRequestQuarantined,
         "endpoints died while they ran this request");
}

// All requests have the same maximum wait, so the oldest ticket expires first.
void queue_scheduler::ArmTimer() {
  if (timer_ || waiting_.empty()) return;
  const auto delay = waiting_.begin()->second.deadline - clock_.now();
  timer_ = clock_.CallAfter(delay, [this] { OnTimer(); });
}

void queue_scheduler::OnTimer() {
  const timer_handle fired = std::move(timer_);
  while (!waiting_.empty() &&
         waiting_.begin()->second.deadline <= clock_.now()) {
    const auto& request = waiting_.begin()->second.request;
    if (view_.Serving(request.target, request.is_service).empty()) {
      Refuse(waiting_.begin()->first, problem_code::kNoEndpoint,
             "no usable endpoint holds the target");
    } else {
      Refuse(waiting_.begin()->first, problem_code::kQueueTimeout,
             "no endpoint had room in time");
    }
  }
  DispatchWaiting();
  ArmTimer();
}

}  // namespace bluebell::routing
