#include "idempotency/record_deduplicator.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

#include "base/digest.h"

namespace bluebell::idempotency {
namespace {

constexpr auto kRetryDelay = std::chrono::milliseconds(100);
// The record must stay below the platform's 1 MB, base64 included.
constexpr std::size_t kMaxRecordedBody = 512u << 10;
// About 6 MB of memory.
constexpr std::size_t kMaxReleased = 50'000;
constexpr unsigned kSweepShards = 256;
constexpr const char* kUndecided = "an earlier attempt may have run";

const revision kAbsent{store::object_store::kAbsent};

problem OutcomeUnknown(const std::string& detail) {
  return {problem_code::kOutcomeUnknown, detail, executed::kUnknown};
}

problem KeyConflict() {
  return {problem_code::kIdempotencyConflict,
          "the key was used for a request with another method, path or body",
          executed::kNo};
}

recorded_answer Bounded(recorded_answer answer) {
  if (answer.body.size() > kMaxRecordedBody) {
    answer.body.clear();
    answer.body_omitted = true;
  }
  return answer;
}

begin_outcome OutcomeOf(const record& completed) {
  if (completed.answer) return *completed.answer;
  return OutcomeUnknown("the request was sent and no answer was recorded");
}

}  // namespace

/// One attempt of this host, from `Begin` until its outcome is known.
struct record_deduplicator::entry {
  struct waiter {
    idempotent_request request;
    callback done;
    timer_handle limit;
  };

  idempotent_request request;
  std::string name;
  std::string attempt_id;
  attempt_machine machine;
  /// Version that the next write of the pending record replaces.
  revision expected = kAbsent;
  /// Version of the confirmed pending record.
  revision confirmed;
  clock::time_point started;
  callback done;
  timer_handle limit;
  timer_handle retry;
  std::vector<std::shared_ptr<waiter>> waiters;
};

result<std::unique_ptr<record_deduplicator>> record_deduplicator::Create(
    const deduplicator_options& options, store::object_store& store,
    peer::peer_network& peers, const fleet::fleet_view& fleet, clock& time,
    event_log& events) {
  const auto shortest =
      std::min({options.begin_limit, options.query_timeout, options.wait_limit,
                options.dispatch_limit, options.sweep_interval});
  if (shortest <= clock::duration::zero()) {
    return Fail(error_code::kInvalidArgument,
                "idempotency: every duration must be positive");
  }
  if (options.retention <= 2 * options.dispatch_limit) {
    return Fail(error_code::kInvalidArgument,
                "idempotency: retention must be above twice dispatch_limit");
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
        record_query_answer answer;
        answer.never_dispatched = query &&
                                  query->incarnation == fleet_.incarnation() &&
                                  ReleaseLocal(query->attempt);
        respond(ToJson(answer));
      });
  ScheduleSweep();
}

record_deduplicator::~record_deduplicator() = default;

void record_deduplicator::Begin(const idempotent_request& request,
                                callback done) {
  const std::string name = RecordName(request.account, request.key);
  accounts_.insert(request.account);
  if (const auto first = by_name_.find(name); first != by_name_.end()) {
    Join(first->second, request, std::move(done));
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
  const auto current = std::make_shared<entry>();
  current->request = request;
  current->name = name;
  current->attempt_id = MakeUniqueId();
  current->started = clock_.now();
  current->done = std::move(done);
  by_name_[name] = current;
  by_attempt_[current->attempt_id] = current;
  current->limit = clock_.CallAfter(
      options_.begin_limit, [this, weak = std::weak_ptr<entry>(current)] {
        if (const auto late = weak.lock()) OnBeginLimit(late);
      });
  Write(current);
}

void record_deduplicator::OnBeginLimit(const entry_ptr& current) {
  if (current->machine.state() == attempt_state::kQuerying) {
    Conclude(current, OutcomeUnknown(kUndecided));
    return;
  }
  Refuse(current, problem_code::kPlatformUnavailable,
         "the platform did not confirm the record in time; this request was "
         "not run, but an earlier one with the same key may have been",
         executed::kNo);
}

// Lets a repeat wait for the request that is in progress on this host.
void record_deduplicator::Join(const entry_ptr& first,
                               const idempotent_request& request,
                               callback done) {
  if (first->request.digest != request.digest) {
    done(KeyConflict());
    return;
  }
  auto waiting = std::make_shared<entry::waiter>();
  waiting->request = request;
  waiting->done = std::move(done);
  waiting->limit = clock_.CallAfter(
      options_.wait_limit, [weak_first = std::weak_ptr<entry>(first),
                            weak = std::weak_ptr<entry::waiter>(waiting)] {
        const auto late = weak.lock();
        const auto owner = weak_first.lock();
        if (!late || !owner) return;
        auto& all = owner->waiters;
        all.erase(std::remove(all.begin(), all.end(), late), all.end());
        late->done(OutcomeUnknown("the first request is still in progress"));
      });
  first->waiters.push_back(std::move(waiting));
}

void record_deduplicator::Write(const entry_ptr& current) {
  store_.Put(current->name,
             ToJson(MakeRecord(*current, record_state::kPending)),
             current->expected,
             [this, weak = std::weak_ptr<entry>(current)](
                 const store::write_result& outcome) {
               if (const auto live = weak.lock()) OnWritten(live, outcome);
             });
}

void record_deduplicator::OnWritten(const entry_ptr& current,
                                    const store::write_result& outcome) {
  if (current->machine.state() != attempt_state::kWriting) return;
  if (outcome) {
    Confirm(current, *outcome);
    return;
  }
  const auto& lost = outcome.error();
  switch (lost.cause.code) {
    case error_code::kConflict:
      if (lost.conflict && lost.conflict->current) {
        Evaluate(current, *lost.conflict->current);
        return;
      }
      current->expected = kAbsent;
      Retry(current, &record_deduplicator::Write);
      return;
    case error_code::kUnavailable:
      Retry(current, &record_deduplicator::Write);
      return;
    case error_code::kOutcomeUnknown:
      current->machine.Process(attempt_event::kAnswerLost);
      ReadBack(current);
      return;
    default:
      Refuse(current, problem_code::kInternalError, lost.cause.detail,
             executed::kNo);
  }
}

void record_deduplicator::ReadBack(const entry_ptr& current) {
  store_.Get(current->name, [this, weak = std::weak_ptr<entry>(current)](
                                const result<store::object>& found) {
    if (const auto live = weak.lock()) OnRead(live, found);
  });
}

// Finds out by the attempt id whether a write with a lost answer took effect.
// If not it is repeated under the same condition, so that it takes effect once
// even if both arrive.
void record_deduplicator::OnRead(const entry_ptr& current,
                                 const result<store::object>& found) {
  if (current->machine.state() != attempt_state::kReadingBack) return;
  if (found) {
    Evaluate(current, *found);
    return;
  }
  if (found.error().code == error_code::kNotFound) {
    current->expected = kAbsent;
    current->machine.Process(attempt_event::kRewrite);
    Write(current);
    return;
  }
  Retry(current, &record_deduplicator::ReadBack);
}

void record_deduplicator::Retry(
    const entry_ptr& current,
    void (record_deduplicator::*step)(const entry_ptr&)) {
  current->retry = clock_.CallAfter(
      kRetryDelay, [this, step, weak = std::weak_ptr<entry>(current)] {
        if (const auto live = weak.lock()) (this->*step)(live);
      });
}

// Decides by the record that the platform holds.
void record_deduplicator::Evaluate(const entry_ptr& current,
                                   const store::object& found) {
  const auto held = ParseRecord(found.value);
  if (!held) {
    events_.Record(event_id::kRecordInvalid,
                   {{"record", found.name}, {"error", held.error().detail}});
    Refuse(current, problem_code::kOutcomeUnknown, "the record is not readable",
           executed::kUnknown);
    return;
  }
  if (held->attempt == current->attempt_id) {
    Confirm(current, found.version);
    return;
  }
  if (held->digest != current->request.digest) {
    Conclude(current, KeyConflict());
    return;
  }
  switch (held->state) {
    case record_state::kCompleted:
      Conclude(current, OutcomeOf(*held));
      return;
    case record_state::kNotRun:
      TakeOver(current, found.version);
      return;
    case record_state::kPending:
      current->machine.Process(attempt_event::kFoundPending);
      Query(current, *held, found.version);
  }
}

// Asks the host of a pending record whether the attempt may be replaced.
void record_deduplicator::Query(const entry_ptr& current, const record& other,
                                revision version) {
  if (other.host == fleet_.self()) {
    if (other.incarnation == fleet_.incarnation() &&
        ReleaseLocal(other.attempt)) {
      TakeOver(current, version);
    } else {
      Conclude(current, OutcomeUnknown(kUndecided));
    }
    return;
  }
  peers_.Request(
      other.host, record_query::kType,
      ToJson(record_query{other.incarnation, other.attempt}),
      options_.query_timeout,
      [this, version, weak = std::weak_ptr<entry>(current)](
          const result<nlohmann::json>& answer) {
        const auto live = weak.lock();
        if (!live || live->machine.state() != attempt_state::kQuerying) return;
        const auto parsed = answer ? ParseRecordQueryAnswer(*answer)
                                   : tl::make_unexpected(answer.error());
        if (parsed && parsed->never_dispatched) {
          TakeOver(live, version);
        } else {
          Conclude(live, OutcomeUnknown(kUndecided));
        }
      });
}

void record_deduplicator::TakeOver(const entry_ptr& current, revision version) {
  current->expected = version;
  current->machine.Process(attempt_event::kRewrite);
  Write(current);
}

void record_deduplicator::Confirm(const entry_ptr& current, revision version) {
  if (clock_.now() - current->started >= options_.begin_limit) {
    OnBeginLimit(current);
    return;
  }
  if (!current->machine.Process(attempt_event::kConfirm)) return;
  current->confirmed = version;
  current->limit.reset();
  current->retry.reset();
  if (current->expected != kAbsent) {
    events_.Record(event_id::kRecordTakenOver, {{"record", current->name}});
  }
  const auto done = std::move(current->done);
  done(attempt{current->attempt_id});
}

// Ends `Begin` without a confirmed record. The attempt is given up for good.
void record_deduplicator::Refuse(const entry_ptr& current, problem_code code,
                                 const std::string& detail, executed run) {
  Conclude(current, problem{code, detail, run});
}

void record_deduplicator::Conclude(const entry_ptr& current,
                                   const begin_outcome& outcome) {
  if (!current->machine.Process(attempt_event::kGiveUp)) return;
  RememberReleased(current->attempt_id);
  const auto* refusal = std::get_if<problem>(&outcome);
  if (refusal && refusal->code == problem_code::kPlatformUnavailable) {
    // A write may still land. The record `not_run` replaces it or, by taking
    // the version it waits for, keeps it from taking effect.
    events_.Record(event_id::kAttemptGivenUp, {{"record", current->name}});
    writer_.Store(current->name, MakeRecord(*current, record_state::kNotRun),
                  current->expected);
  }
  Remove(current);
  AnswerWaiters(*current, outcome);
  const auto done = std::move(current->done);
  done(outcome);
}

bool record_deduplicator::MarkDispatched(const attempt& current) {
  const auto found = FindAttempt(current.id);
  if (!found) return false;
  if (clock_.now() - found->started >= options_.dispatch_limit) {
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
                                   const recorded_answer& answer) {
  if (const auto found = FindAttempt(current.id)) {
    Finish(found, Bounded(answer));
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
// it begin anew.
void record_deduplicator::EndUndispatched(const entry_ptr& current,
                                          attempt_event why) {
  if (!current->machine.Process(why)) return;
  RememberReleased(current->attempt_id);
  Remove(current);
  writer_.Store(current->name, MakeRecord(*current, record_state::kNotRun),
                current->confirmed);
  const auto waiters = std::move(current->waiters);
  for (const auto& waiting : waiters) {
    Begin(waiting->request, waiting->done);
  }
}

void record_deduplicator::Finish(const entry_ptr& current,
                                 std::optional<recorded_answer> answer) {
  if (!current->machine.Process(attempt_event::kFinish)) return;
  record completed = MakeRecord(*current, record_state::kCompleted);
  completed.answer = std::move(answer);
  const begin_outcome outcome = OutcomeOf(completed);
  Remove(current);
  writer_.Store(current->name, std::move(completed), current->confirmed);
  AnswerWaiters(*current, outcome);
}

void record_deduplicator::AnswerWaiters(entry& current,
                                        const begin_outcome& outcome) {
  const auto waiters = std::move(current.waiters);
  for (const auto& waiting : waiters) waiting->done(outcome);
}

void record_deduplicator::Remove(const entry_ptr& current) {
  current->limit.reset();
  current->retry.reset();
  by_name_.erase(current->name);
  by_attempt_.erase(current->attempt_id);
}

// Returns whether the attempt of this incarnation was never dispatched, and
// then makes sure that it never will be.
bool record_deduplicator::ReleaseLocal(const std::string& attempt) {
  if (released_.count(attempt) != 0) return true;
  const auto found = FindAttempt(attempt);
  if (!found || !found->machine.Process(attempt_event::kGiveUp)) return false;
  RememberReleased(attempt);
  Remove(found);
  const auto outcome = OutcomeUnknown("a repeat of the request took its place");
  AnswerWaiters(*found, outcome);
  if (const auto done = std::move(found->done)) done(outcome);
  return true;
}

void record_deduplicator::RememberReleased(const std::string& attempt) {
  if (!released_.insert(attempt).second) return;
  released_order_.push_back(attempt);
  if (released_order_.size() <= kMaxReleased) return;
  released_.erase(released_order_.front());
  released_order_.pop_front();
}

record record_deduplicator::MakeRecord(const entry& current,
                                       record_state state) const {
  record made;
  made.digest = current.request.digest;
  made.host = fleet_.self();
  made.incarnation = fleet_.incarnation();
  made.attempt = current.attempt_id;
  made.state = state;
  made.stored_at_ms = std::chrono::duration_cast<std::chrono::milliseconds>(
                          clock_.wall_now().time_since_epoch())
                          .count();
  return made;
}

record_deduplicator::entry_ptr record_deduplicator::FindAttempt(
    const std::string& attempt) const {
  const auto found = by_attempt_.find(attempt);
  return found == by_attempt_.end() ? nullptr : found->second;
}

void record_deduplicator::ScheduleSweep() {
  sweep_ = clock_.CallAfter(options_.sweep_interval, [this] {
    ScheduleSweep();
    SweepStep();
  });
}

// Lists the next 1/256 of an account's records and removes the expired ones.
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

// An expired record is removed by its host or, if that host is no longer a
// member, by any other.
bool record_deduplicator::MaySweep(const store::object& found) const {
  const auto held = ParseRecord(found.value);
  if (!held || by_name_.count(found.name) != 0 || writer_.Find(found.name)) {
    return false;
  }
  const auto members = fleet_.Members();
  const bool orphan =
      std::find(members.begin(), members.end(), held->host) == members.end();
  const std::chrono::milliseconds stored_at(held->stored_at_ms);
  return (held->host == fleet_.self() || orphan) &&
         clock_.wall_now().time_since_epoch() - stored_at > options_.retention;
}

}  // namespace bluebell::idempotency
