#include "routing/queue_scheduler.h"

#include <algorithm>
#include <utility>

#include "routing/fair_queue.h"

namespace bluebell::routing {
namespace {

// Endpoints that one fingerprint may occupy or crash, taken together.
constexpr int kMaxEndpointsAtRisk = quarantine::kRefusedFrom;
// Part of a target's endpoints that requests running alone may take.
constexpr std::size_t kReservedDivisor = 2;

// Services and models have separate names, so the key carries the kind.
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
      (*scheduler)->Pump();
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

  if (quarantine_.Crashes(request.fingerprint) >= quarantine::kRefusedFrom) {
    RefuseQuarantined(ticket);
    return ticket;
  }
  if (CrashesOf(request.fingerprint) > 0) alone_.insert(ticket);
  MarkReadyFor(waiting);
  Pump();
  if (waiting_.size() > options_.max_waiting) {
    const auto victim = queue_->Victim();
    if (victim) {
      Refuse(*victim, problem_code::kQueueFull,
             "too many requests wait for an endpoint");
    }
  }
  ArmTimer();
  return ticket;
}

void queue_scheduler::Cancel(std::uint64_t ticket) {
  if (waiting_.count(ticket) == 0) return;
  Extract(ticket);
  Pump();
}

void queue_scheduler::Release(const assignment& ended, dispatch_outcome outcome,
                              token_count tokens) {
  const auto found = flights_.find(ended.id);
  if (found == flights_.end()) return;
  const flight done = std::move(found->second);
  flights_.erase(found);

  const auto spread = spread_.find(done.fingerprint);
  if (spread != spread_.end() && --spread->second[done.endpoint] == 0) {
    spread->second.erase(done.endpoint);
    if (spread->second.empty()) spread_.erase(spread);
  }
  if (done.alone) exclusive_.erase(done.endpoint);
  if (done.alone && outcome == dispatch_outcome::kSucceeded) {
    quarantine_.Clear(done.fingerprint);
  }
  const bool broken = outcome == dispatch_outcome::kBroken;
  if (broken && !done.crash_counted && !done.fingerprint.empty()) {
    suspicions_[done.endpoint].push_back({done.fingerprint, clock_.now()});
  }
  // The endpoint's change runs the queue, so everything that decides about
  // waiting requests is up to date before.
  if (broken || done.alone) Review(done.fingerprint);
  view_.OnEnded(done.endpoint, outcome, tokens, clock_.now() - done.started);
  if ((broken || outcome == dispatch_outcome::kConnectFailed) && poll_now_) {
    poll_now_(done.endpoint);
  }
  Pump();
}

bool queue_scheduler::TakeRetry(const account_id& account) {
  return retries_.Take(account);
}

void queue_scheduler::OnQuarantineNotice(const host_id& sender,
                                         const std::string& fingerprint,
                                         int crashes) {
  quarantine_.OnNotice(sender, fingerprint, crashes);
  Review(fingerprint);
  Pump();
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
  std::vector<target_demand> taken;
  for (auto& [key, demand] : demand_) taken.push_back(std::move(demand));
  demand_.clear();
  return taken;
}

// Counts one crash for each fingerprint that was in flight at the endpoint or
// broke there since it was last known to be alive.
void queue_scheduler::OnCrash(const endpoint_id& id) {
  std::set<std::string> fingerprints;
  for (auto& [number, in_flight] : flights_) {
    if (in_flight.endpoint != id || in_flight.crash_counted) continue;
    in_flight.crash_counted = true;
    fingerprints.insert(in_flight.fingerprint);
  }
  const auto suspected = suspicions_.find(id);
  if (suspected != suspicions_.end()) {
    for (const auto& one : suspected->second) {
      fingerprints.insert(one.fingerprint);
    }
    suspicions_.erase(suspected);
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
  for (const auto& fingerprint : fingerprints) Review(fingerprint);
  Pump();
}

// Drops the suspicions that are older than the poll: the endpoint survived.
void queue_scheduler::OnAlive(const endpoint_id& id,
                              clock::time_point polled_at) {
  const auto found = suspicions_.find(id);
  if (found == suspicions_.end()) return;
  std::vector<suspicion> open;
  std::vector<std::string> cleared;
  for (auto& one : found->second) {
    if (one.since > polled_at) {
      open.push_back(std::move(one));
    } else {
      cleared.push_back(std::move(one.fingerprint));
    }
  }
  if (open.empty()) {
    suspicions_.erase(found);
  } else {
    found->second = std::move(open);
  }
  for (const auto& fingerprint : cleared) Review(fingerprint);
  Pump();
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

// Serves the endpoints that may have room. Callbacks of requests can call back
// into the scheduler; the outer call then continues with what they changed.
void queue_scheduler::Pump() {
  if (pumping_) return;
  pumping_ = true;
  ReviewReservations();
  while (!ready_.empty()) {
    const endpoint_id id = *ready_.begin();
    ready_.erase(ready_.begin());
    Serve(id);
    if (ready_.empty()) ReviewReservations();
  }
  pumping_ = false;
}

void queue_scheduler::Serve(const endpoint_id& id) {
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

// Gives the request, which has left the queue, one of the endpoints that are
// open to it now.
void queue_scheduler::Dispatch(std::uint64_t ticket,
                               const endpoint_id& popped_for) {
  const auto& queued = waiting_.at(ticket);
  const bool alone = CrashesOf(queued.request.fingerprint) > 0;
  const endpoint_state* chosen = view_.Find(popped_for);
  if (!alone) {
    const auto serving =
        view_.Serving(queued.request.target, queued.request.is_service);
    endpoint_chooser::candidates open;
    for (const auto* state : serving) {
      if (state->HasRoom() && Accepts(*state, queued)) open.push_back(state);
    }
    if (!open.empty()) chosen = chooser_->Choose(queued.request, serving, open);
  }
  const waiting_request waiting = Extract(ticket);
  assignment given;
  given.id = next_id_++;
  given.endpoint = chosen->row.id;
  given.address = chosen->row.address;
  flight& started = flights_[given.id];
  started.fingerprint = waiting.request.fingerprint;
  started.endpoint = given.endpoint;
  started.started = clock_.now();
  started.alone = alone;
  if (!started.fingerprint.empty()) {
    ++spread_[started.fingerprint][given.endpoint];
  }
  if (alone) exclusive_.insert(given.endpoint);
  view_.OnDispatched(given.endpoint);
  waiting.done(given);
}

// Whether the request may be sent to the endpoint as far as quarantine and
// excluded endpoints are concerned.
bool queue_scheduler::Accepts(const endpoint_state& state,
                              const waiting_request& waiting) {
  const auto& id = state.row.id;
  const auto reserved = reserved_.find(id);
  const bool reserved_here =
      reserved != reserved_.end() && reserved->second == waiting.entry.ticket;
  if (reserved != reserved_.end() && !reserved_here) return false;
  if (exclusive_.count(id) > 0) return false;
  if (ExcludesEndpoint(id, waiting.request)) return false;
  const auto& fingerprint = waiting.request.fingerprint;
  if (fingerprint.empty()) return true;
  const int crashes = CrashesOf(fingerprint);
  const auto spread = spread_.find(fingerprint);
  const int occupied =
      spread == spread_.end() ? 0 : static_cast<int>(spread->second.size());
  if (crashes > 0) {
    return reserved_here && state.outstanding == 0 && occupied == 0 &&
           crashes < kMaxEndpointsAtRisk;
  }
  return occupied < kMaxEndpointsAtRisk || spread->second.count(id) > 0;
}

// Whether the request failed at the endpoint before and has an alternative.
bool queue_scheduler::ExcludesEndpoint(const endpoint_id& id,
                                       const routing_request& request) {
  if (!Contains(request.excluded, id)) return false;
  const auto serving = view_.Serving(request.target, request.is_service);
  return std::any_of(serving.begin(), serving.end(), [&](const auto* state) {
    return !Contains(request.excluded, state->row.id);
  });
}

// Counted crashes plus breaks that may turn out to be crashes.
int queue_scheduler::CrashesOf(const std::string& fingerprint) const {
  if (fingerprint.empty()) return 0;
  int crashes = quarantine_.Crashes(fingerprint);
  for (const auto& [id, suspected] : suspicions_) {
    crashes += std::any_of(
        suspected.begin(), suspected.end(),
        [&](const auto& one) { return one.fingerprint == fingerprint; });
  }
  return crashes;
}

// Applies a changed crash count to the waiting requests of the fingerprint.
void queue_scheduler::Review(const std::string& fingerprint) {
  if (fingerprint.empty()) return;
  const bool refused =
      quarantine_.Crashes(fingerprint) >= quarantine::kRefusedFrom;
  const bool alone = CrashesOf(fingerprint) > 0;
  std::vector<std::uint64_t> tickets;
  for (const auto& [ticket, waiting] : waiting_) {
    if (waiting.request.fingerprint == fingerprint) tickets.push_back(ticket);
  }
  for (const auto ticket : tickets) {
    const auto found = waiting_.find(ticket);
    if (found == waiting_.end()) continue;
    if (refused) {
      RefuseQuarantined(ticket);
    } else if (alone) {
      alone_.insert(ticket);
    } else {
      alone_.erase(ticket);
      MarkReadyFor(found->second);
    }
  }
}

// Keeps endpoints free for the requests that run alone, and gives up the
// reservations that have no purpose any more.
void queue_scheduler::ReviewReservations() {
  for (auto it = reserved_.begin(); it != reserved_.end();) {
    const auto* state = view_.Find(it->first);
    const bool usable = state != nullptr && state->MayReceive();
    const bool needed = alone_.count(it->second) > 0;
    if (usable && needed) {
      ++it;
      continue;
    }
    if (usable) ready_.insert(it->first);
    it = reserved_.erase(it);
  }
  std::set<std::uint64_t> holding;
  for (const auto& [id, ticket] : reserved_) holding.insert(ticket);
  for (const auto ticket : alone_) {
    if (holding.count(ticket) == 0) Reserve(ticket);
  }
}

// Reserves the least loaded endpoint for a request that runs alone, as long as
// half of the target's endpoints remain for the others.
bool queue_scheduler::Reserve(std::uint64_t ticket) {
  const auto& request = waiting_.at(ticket).request;
  if (spread_.count(request.fingerprint) > 0) return false;
  if (CrashesOf(request.fingerprint) >= kMaxEndpointsAtRisk) return false;
  const auto serving = view_.Serving(request.target, request.is_service);
  const endpoint_state* best = nullptr;
  std::size_t taken = 0;
  for (const auto* state : serving) {
    const auto& id = state->row.id;
    if (reserved_.count(id) > 0 || exclusive_.count(id) > 0) {
      ++taken;
      continue;
    }
    if (ExcludesEndpoint(id, request)) continue;
    if (best == nullptr || state->outstanding < best->outstanding) best = state;
  }
  const std::size_t allowed =
      std::max<std::size_t>(1, serving.size() / kReservedDivisor);
  if (best == nullptr || taken >= allowed) return false;
  reserved_[best->row.id] = ticket;
  ready_.insert(best->row.id);
  return true;
}

queue_scheduler::waiting_request queue_scheduler::Extract(
    std::uint64_t ticket) {
  const auto found = waiting_.find(ticket);
  waiting_request taken = std::move(found->second);
  waiting_.erase(found);
  queue_->Remove(taken.entry);
  alone_.erase(ticket);
  for (auto it = reserved_.begin(); it != reserved_.end(); ++it) {
    if (it->second != ticket) continue;
    ready_.insert(it->first);
    reserved_.erase(it);
    break;
  }
  return taken;
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

// Requests all wait equally long, so the oldest ticket is the next to expire.
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
  Pump();
  ArmTimer();
}

}  // namespace bluebell::routing
