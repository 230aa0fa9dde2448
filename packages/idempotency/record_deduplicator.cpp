#include "idempotency/record_deduplicator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace bluebell::idempotency {
namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(100);
// Keeps the record below the platform's 1 MB limit, base64 overhead included.
constexpr std::size_t kMaxRecordedBodyBytes = 512u << 10;
// Takes about 6 MB of memory.
constexpr std::size_t kMaxNeverDispatched = 50'000;
constexpr unsigned kSweepShards = 256;
constexpr const char* kEarlierAttemptUnknown =
    "an earlier attempt may have run";

const revision kAbsent{store::object_store::kAbsent};

problem OutcomeUnknown(const std::string& detail) {
  return {problem_code::kOutcomeUnknown, detail, executed::kUnknown};
}

problem KeyConflict() {
  return {problem_code::kIdempotencyConflict,
          "the key was used for a request with another method, path or body",
          executed::kNo};
}

recorded_response LimitBody(recorded_response response) {
  if (response.body.size() > kMaxRecordedBodyBytes) {
    response.body.clear();
    response.body_omitted = true;
  }
  return response;
}

begin_outcome OutcomeOf(const record& completed) {
  if (completed.response) return *completed.response;
  return OutcomeUnknown("the request was sent and no answer was recorded");
}

}  // namespace

/// An attempt of this host, from `Begin` until its outcome is known.
struct record_deduplicator::local_attempt {
  struct waiting_request {
    idempotent_request request;
    callback done;
    timer_handle timeout;
  };

  idempotent_request request;
  std::string name;
  std::string attempt_id;
  attempt_state_machine machine;
  /// Version that the next write of the pending record must replace.
  revision expected = kAbsent;
  /// Version of the confirmed pending record.
  revision confirmed;
  /// Attempt that the record names while its host is queried.
  std::string queried_attempt;
  /// Whether that host replied that the outcome is still to be stored.
  bool outcome_pending = false;
  clock::time_point started;
  callback done;
  timer_handle timeout;
  timer_handle retry;
  std::vector<std::shared_ptr<waiting_request>> waiters;
};

result<std::unique_ptr<record_deduplicator>> record_deduplicator::Create(
    const deduplicator_options& options, store::object_store& store,
    peer::peer_network& peers, const fleet::fleet_view& fleet, clock& time,
    event_log& events) {
  const auto shortest = std::min(
      {options.begin_timeout, options.query_timeout, options.wait_timeout,
       options.max_dispatch_age, options.sweep_interval});
  if (shortest <= clock::duration::zero()) {
    return Fail(error_code::kInvalidArgument,
                "idempotency: every duration must be positive");
  }
  if (options.retention <= 2 * options.max_dispatch_age) {
    return Fail(error_code::kInvalidArgument,
                "idempotency: retention must exceed twice max_dispatch_age");
  }
  return std::unique_ptr<record_deduplicator>(
      new record_deduplicator(options, store, peers, fleet, time, events));
}

record_deduplicator::record_deduplicator(const deduplicator_options& options,
                                         store::object_store& store,
                                         peer::peer_network& peers,
                                         const fleet::fleet_view& fleet,
                                         clock& time, event_log& events)
    : options_(options),
      store_(store),
      peers_(peers),
      fleet_(fleet),
      clock_(time),
      events_(events),
      writer_(store, time, events) {
  peers_.SetHandler(
      record_query::kType, [this, alive = std::weak_ptr<char>(alive_)](
                               const host_id&, const nlohmann::json& body,
                               const peer::peer_network::respond& respond) {
        if (alive.expired()) return;
        const auto query = ParseRecordQuery(body);
        respond(ToJson(query ? AnswerQuery(*query) : record_query_response()));
      });
  ScheduleSweep();
}

record_deduplicator::~record_deduplicator() = default;

void record_deduplicator::Begin(const idempotent_request& request,
                                callback done) {
  const std::string name = RecordName(request.account, request.key);
  accounts_.insert(request.account);
  if (const auto first = by_name_.find(name); first != by_name_.end()) {
    AddWaiter(first->second, request, std::move(done));
    return;
  }
  const record* unstored = writer_.Find(name);
  if (unstored && unstored->state == record_state::kCompleted) {
    done(unstored->digest == request.digest ? OutcomeOf(*unstored)
                                            : begin_outcome(KeyConflict()));
    return;
  }
  if (fleet_.status() == fleet::host_status::kIsolated) {
    done(problem{problem_code::kHostIsolated,
                 "this host has no contact to the platform and the other hosts",
                 executed::kNo});
    return;
  }
  const auto current = std::make_shared<local_attempt>();
  current->request = request;
  current->name = name;
  current->attempt_id = MakeUniqueId();
  current->started = clock_.now();
  current->done = std::move(done);
  by_name_[name] = current;
  by_attempt_[current->attempt_id] = current;
  current->timeout =
      clock_.CallAfter(options_.begin_timeout,
                       [this, weak = std::weak_ptr<local_attempt>(current)] {
                         if (const auto locked = weak.lock()) {
                           OnBeginTimeout(locked);
                         }
                       });
  Write(current);
}

void record_deduplicator::OnBeginTimeout(const local_attempt_ptr& current) {
  if (current->machine.state() == attempt_state::kQuerying) {
    EndUnconfirmed(current, OutcomeUnknown(kEarlierAttemptUnknown));
    return;
  }
  Refuse(current, problem_code::kPlatformUnavailable,
         "the platform did not confirm the record in time; this request was "
         "not run, but an earlier one with the same key may have been",
         executed::kNo);
}

// Makes a retry wait for the request in progress on this host.
void record_deduplicator::AddWaiter(const local_attempt_ptr& first,
                                    const idempotent_request& request,
                                    callback done) {
  if (first->request.digest != request.digest) {
    done(KeyConflict());
    return;
  }
  auto waiter = std::make_shared<local_attempt::waiting_request>();
  waiter->request = request;
  waiter->done = std::move(done);
  waiter->timeout = clock_.CallAfter(
      options_.wait_timeout,
      [weak_first = std::weak_ptr<local_attempt>(first),
       weak = std::weak_ptr<local_attempt::waiting_request>(waiter)] {
        const auto locked = weak.lock();
        const auto owner = weak_first.lock();
        if (!locked || !owner) return;
        auto& all = owner->waiters;
        all.erase(std::remove(all.begin(), all.end(), locked), all.end());
        locked->done(OutcomeUnknown("the first request is still in progress"));
      });
  first->waiters.push_back(std::move(waiter));
}

void record_deduplicator::Write(const local_attempt_ptr& current) {
  store_.Put(current->name,
             ToJson(MakeRecord(*current, record_state::kPending)),
             current->expected,
             [this, weak = std::weak_ptr<local_attempt>(current)](
                 const store::write_result& outcome) {
               if (const auto locked = weak.lock()) OnWritten(locked, outcome);
             });
}

void record_deduplicator::OnWritten(const local_attempt_ptr& current,
                                    const store::write_result& outcome) {
  if (current->machine.state() != attempt_state::kWriting) return;
  if (outcome) {
    Confirm(current, *outcome);
    return;
  }
  const auto& error = outcome.error();
  switch (error.cause.code) {
    case error_code::kConflict:
      if (error.conflict && error.conflict->current) {
        EvaluateStored(current, *error.conflict->current);
        return;
      }
      current->expected = kAbsent;
      Retry(current, &record_deduplicator::Write);
      return;
    case error_code::kUnavailable:
      Retry(current, &record_deduplicator::Write);
      return;
    case error_code::kOutcomeUnknown:
      current->machine.Process(attempt_event::kWriteOutcomeUnknown);
      ReadBack(current);
      return;
    default:
      Refuse(current, problem_code::kInternalError, error.cause.detail,
             executed::kNo);
  }
}

void record_deduplicator::ReadBack(const local_attempt_ptr& current) {
  store_.Get(current->name,
             [this, weak = std::weak_ptr<local_attempt>(current)](
                 const result<store::object>& found) {
               if (const auto locked = weak.lock()) OnRead(locked, found);
             });
}

// Determines by the attempt id whether a write with an unknown outcome took
// effect. If not, the write is retried with the same expected version, so that
// it takes effect once even if both arrive.
void record_deduplicator::OnRead(const local_attempt_ptr& current,
                                 const result<store::object>& found) {
  if (current->machine.state() != attempt_state::kReadingBack) return;
  if (found) {
    EvaluateStored(current, *found);
    return;
  }
  if (found.error().code == error_code::kNotFound) {
    current->expected = kAbsent;
    current->machine.Process(attempt_event::kRetryWrite);
    Write(current);
    return;
  }
  Retry(current, &record_deduplicator::ReadBack);
}

void record_deduplicator::Retry(
    const local_attempt_ptr& current,
    void (record_deduplicator::*step)(const local_attempt_ptr&)) {
  current->retry = clock_.CallAfter(
      kRetryDelay, [this, step, weak = std::weak_ptr<local_attempt>(current)] {
        if (const auto locked = weak.lock()) (this->*step)(locked);
      });
}

// Decides by the record stored on the platform.
void record_deduplicator::EvaluateStored(const local_attempt_ptr& current,
                                         const store::object& found) {
  const auto stored = ParseRecord(found.value);
  if (!stored) {
    events_.Record(event_id::kRecordInvalid,
                   {{"record", found.name}, {"error", stored.error().detail}});
    Refuse(current, problem_code::kOutcomeUnknown, "the record is not readable",
           executed::kUnknown);
    return;
  }
  if (stored->attempt == current->attempt_id) {
    Confirm(current, found.version);
    return;
  }
  if (stored->digest != current->request.digest) {
    EndUnconfirmed(current, KeyConflict());
    return;
  }
  switch (stored->state) {
    case record_state::kCompleted:
      EndUnconfirmed(current, OutcomeOf(*stored));
      return;
    case record_state::kNotRun:
      TakeOver(current, found.version);
      return;
    case record_state::kPending:
      current->machine.Process(attempt_event::kFoundPending);
      QueryOwner(current, *stored, found.version);
  }
}

// Asks the host of a pending record whether its attempt may be replaced and
// whether its outcome is still to be stored.
void record_deduplicator::QueryOwner(const local_attempt_ptr& current,
                                     const record& other, revision version) {
  if (other.host == fleet_.self()) {
    if (other.incarnation == fleet_.incarnation() &&
        EnsureNeverDispatched(other.attempt)) {
      TakeOver(current, version);
    } else {
      EndUnconfirmed(current, OutcomeUnknown(kEarlierAttemptUnknown));
    }
    return;
  }
  current->queried_attempt = other.attempt;
  current->outcome_pending = false;
  peers_.Request(
      other.host, record_query::kType,
      ToJson(record_query{other.incarnation, other.attempt, current->name}),
      options_.query_timeout,
      [this, version, weak = std::weak_ptr<local_attempt>(current)](
          const result<nlohmann::json>& response) {
        const auto locked = weak.lock();
        if (!locked || locked->machine.state() != attempt_state::kQuerying) {
          return;
        }
        const auto parsed = response ? ParseRecordQueryResponse(*response)
                                     : tl::make_unexpected(response.error());
        if (parsed && parsed->never_dispatched) {
          TakeOver(locked, version);
          return;
        }
        locked->outcome_pending = parsed && parsed->outcome_pending;
        ReadAgain(locked);
      });
}

// Reads the record after its host was queried. The host may have stored the
// outcome since the record was read; once it replies that nothing is left to be
// stored, one read is sufficient.
void record_deduplicator::ReadAgain(const local_attempt_ptr& current) {
  store_.Get(current->name,
             [this, weak = std::weak_ptr<local_attempt>(current)](
                 const result<store::object>& found) {
               if (const auto locked = weak.lock()) OnReadAgain(locked, found);
             });
}

void record_deduplicator::OnReadAgain(const local_attempt_ptr& current,
                                      const result<store::object>& found) {
  if (current->machine.state() != attempt_state::kQuerying) return;
  if (found) {
    const auto stored = ParseRecord(found->value);
    const bool unchanged = stored && stored->state == record_state::kPending &&
                           stored->attempt == current->queried_attempt;
    if (!unchanged) {
      EvaluateStored(current, *found);
      return;
    }
  }
  const bool read_failed =
      !found && found.error().code != error_code::kNotFound;
  if (read_failed || (found && current->outcome_pending)) {
    Retry(current, &record_deduplicator::ReadAgain);
    return;
  }
  EndUnconfirmed(current, OutcomeUnknown(kEarlierAttemptUnknown));
}

void record_deduplicator::TakeOver(const local_attempt_ptr& current,
                                   revision version) {
  current->expected = version;
  current->machine.Process(attempt_event::kRetryWrite);
  Write(current);
}

void record_deduplicator::Confirm(const local_attempt_ptr& current,
                                  revision version) {
  if (clock_.now() - current->started >= options_.begin_timeout) {
    OnBeginTimeout(current);
    return;
  }
  if (!current->machine.Process(attempt_event::kConfirm)) return;
  current->confirmed = version;
  current->timeout.reset();
  current->retry.reset();
  if (current->expected != kAbsent) {
    events_.Record(event_id::kRecordTakenOver, {{"record", current->name}});
  }
  const auto done = std::move(current->done);
  done(attempt{current->attempt_id});
}

// Ends `Begin` without a confirmed record and gives up the attempt permanently.
void record_deduplicator::Refuse(const local_attempt_ptr& current,
                                 problem_code code, const std::string& detail,
                                 executed run) {
  EndUnconfirmed(current, problem{code, detail, run});
}

void record_deduplicator::EndUnconfirmed(const local_attempt_ptr& current,
                                         const begin_outcome& outcome) {
  if (!current->machine.Process(attempt_event::kGiveUp)) return;
  RememberNeverDispatched(current->attempt_id);
  const auto* refusal = std::get_if<problem>(&outcome);
  if (refusal && refusal->code == problem_code::kPlatformUnavailable) {
    // A write may still take effect later. The `not_run` record overwrites it
    // or, by replacing the version it expects, makes it fail with a conflict.
    events_.Record(event_id::kAttemptGivenUp, {{"record", current->name}});
    writer_.Store(current->name, MakeRecord(*current, record_state::kNotRun),
                  current->expected);
  }
  Remove(current);
  NotifyWaiters(*current, outcome);
  const auto done = std::move(current->done);
  done(outcome);
}

bool record_deduplicator::MarkDispatched(const attempt& current) {
  const auto found = FindAttempt(current.id);
  if (!found) return false;
  if (clock_.now() - found->started >= options_.max_dispatch_age) {
    EndUndispatched(found, attempt_event::kNotRun);
    return false;
  }
  return found->machine.Process(attempt_event::kDispatch);
}

void record_deduplicator::MarkNotRun(const attempt& current) {
  if (const auto found = FindAttempt(current.id)) {
    EndUndispatched(found, attempt_event::kNotRun);
  }
}

void record_deduplicator::Complete(const attempt& current,
                                   const recorded_response& response) {
  if (const auto found = FindAttempt(current.id)) {
    Finish(found, LimitBody(response));
  }
}

void record_deduplicator::Abandon(const attempt& current) {
  const auto found = FindAttempt(current.id);
  if (!found) return;
  if (found->machine.state() == attempt_state::kConfirmed) {
    EndUndispatched(found, attempt_event::kNotRun);
  } else {
    Finish(found, std::nullopt);
  }
}

// Ends a confirmed attempt of which no byte was sent. Requests that waited for
// it call `Begin` again.
void record_deduplicator::EndUndispatched(const local_attempt_ptr& current,
                                          attempt_event event) {
  if (!current->machine.Process(event)) return;
  RememberNeverDispatched(current->attempt_id);
  Remove(current);
  writer_.Store(current->name, MakeRecord(*current, record_state::kNotRun),
                current->confirmed);
  const auto waiters = std::move(current->waiters);
  for (const auto& waiter : waiters) {
    Begin(waiter->request, waiter->done);
  }
}

void record_deduplicator::Finish(const local_attempt_ptr& current,
                                 std::optional<recorded_response> response) {
  if (!current->machine.Process(attempt_event::kFinish)) return;
  record completed = MakeRecord(*current, record_state::kCompleted);
  completed.response = std::move(response);
  const begin_outcome outcome = OutcomeOf(completed);
  Remove(current);
  writer_.Store(current->name, std::move(completed), current->confirmed);
  NotifyWaiters(*current, outcome);
}

void record_deduplicator::NotifyWaiters(local_attempt& current,
                                        const begin_outcome& outcome) {
  const auto waiters = std::move(current.waiters);
  for (const auto& waiter : waiters) waiter->done(outcome);
}

void record_deduplicator::Remove(const local_attempt_ptr& current) {
  current->timeout.reset();
  current->retry.reset();
  by_name_.erase(current->name);
  by_attempt_.erase(current->attempt_id);
}

record_query_response record_deduplicator::AnswerQuery(
    const record_query& query) {
  record_query_response response;
  response.never_dispatched = query.incarnation == fleet_.incarnation() &&
                              EnsureNeverDispatched(query.attempt);
  if (response.never_dispatched) return response;
  const record* unstored = writer_.Find(query.record_name);
  response.outcome_pending = FindAttempt(query.attempt) ||
                             (unstored && unstored->attempt == query.attempt);
  return response;
}

// Returns whether the attempt of this incarnation was never dispatched; if so,
// prevents a later dispatch.
bool record_deduplicator::EnsureNeverDispatched(const std::string& attempt) {
  if (never_dispatched_.count(attempt) != 0) return true;
  const auto found = FindAttempt(attempt);
  if (!found || !found->machine.Process(attempt_event::kGiveUp)) return false;
  RememberNeverDispatched(attempt);
  Remove(found);
  const auto outcome = OutcomeUnknown("a repeat of the request took its place");
  NotifyWaiters(*found, outcome);
  if (const auto done = std::move(found->done)) done(outcome);
  return true;
}

void record_deduplicator::RememberNeverDispatched(const std::string& attempt) {
  if (!never_dispatched_.insert(attempt).second) return;
  never_dispatched_order_.push_back(attempt);
  if (never_dispatched_order_.size() <= kMaxNeverDispatched) return;
  never_dispatched_.erase(never_dispatched_order_.front());
  never_dispatched_order_.pop_front();
}

record record_deduplicator::MakeRecord(const local_attempt& current,
                                       record_state state) const {
  record value;
  value.digest = current.request.digest;
  value.host = fleet_.self();
  value.incarnation = fleet_.incarnation();
  value.attempt = current.attempt_id;
  value.state = state;
  value.stored_at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                           clock_.wall_now().time_since_epoch())
                           .count();
  return value;
}

record_deduplicator::local_attempt_ptr record_deduplicator::FindAttempt(
    const std::string& attempt) const {
  const auto found = by_attempt_.find(attempt);
  return found == by_attempt_.end() ? nullptr : found->second;
}

void record_deduplicator::ScheduleSweep() {
  sweep_timer_ = clock_.CallAfter(options_.sweep_interval, [this] {
    ScheduleSweep();
    SweepStep();
  });
}

// Lists the next 1/256 of an account's records and removes expired ones.
void record_deduplicator::SweepStep() {
  if (accounts_.empty() || fleet_.status() != fleet::host_status::kConnected) {
    return;
  }
  if (sweep_shard_ == 0) {
    auto next = accounts_.upper_bound(sweep_account_);
    if (next == accounts_.end()) next = accounts_.begin();
    sweep_account_ = *next;
  }
  const std::string prefix = fmt::format("idempotency/{}/{:02x}",
                                         sweep_account_.value(), sweep_shard_);
  sweep_shard_ = (sweep_shard_ + 1) % kSweepShards;
  store_.List(prefix, [this, alive = std::weak_ptr<char>(alive_)](
                          const result<store::object_list>& found) {
    if (alive.expired() || !found) return;
    for (const auto& item : found->items) {
      if (MaySweep(item)) store_.Remove(item.name, item.version, [](auto) {});
    }
  });
}

// An expired record is removed by the host that wrote it or, if that host is no
// longer a member, by any other.
bool record_deduplicator::MaySweep(const store::object& found) const {
  const auto stored = ParseRecord(found.value);
  if (!stored || by_name_.count(found.name) != 0 || writer_.Find(found.name)) {
    return false;
  }
  const auto members = fleet_.Members();
  const bool orphaned =
      std::find(members.begin(), members.end(), stored->host) == members.end();
  const std::chrono::milliseconds stored_at(stored->stored_at_ms);
  return (stored->host == fleet_.self() || orphaned) &&
         clock_.wall_now().time_since_epoch() - stored_at > options_.retention;
}

}  // namespace bluebell::idempotency
