#include "idempotency/record_writer.h"

#include <algorithm>
#include <utility>

namespace bluebell::idempotency {
namespace {

// Leaves most of the platform's few hundred writes a second to other work when
// all hosts catch up after an outage.
constexpr std::size_t kMaxConcurrentWrites = 4;
constexpr auto kFirstBackoff = std::chrono::milliseconds(100);
constexpr auto kLongestBackoff = std::chrono::seconds(5);

std::size_t BodySize(const record& value) {
  return value.answer ? value.answer->body.size() : 0;
}

void OmitBody(record& value) {
  if (!value.answer) return;
  value.answer->body.clear();
  value.answer->body_omitted = true;
}

}  // namespace

record_writer::record_writer(store::object_store& store, clock& time,
                             event_log& events)
    : store_(store), clock_(time), events_(events), backoff_(kFirstBackoff) {}

void record_writer::Store(const std::string& name, record value,
                          revision expected) {
  if (value.state == record_state::kNotRun && jobs_.size() >= kMaxRecords / 2) {
    return;
  }
  // An earlier job of the same name belongs to an attempt whose record was
  // replaced since.
  Erase(name);
  if (jobs_.size() >= kMaxRecords) MakeRoom();
  if (body_bytes_ + BodySize(value) > kMaxBodyBytes) OmitBody(value);
  body_bytes_ += BodySize(value);
  jobs_[name] = job{std::move(value), expected};
  waiting_.push_back(name);
  Pump();
}

const record* record_writer::Find(const std::string& name) const {
  const auto found = jobs_.find(name);
  return found == jobs_.end() ? nullptr : &found->second.value;
}

// Drops the oldest waiting job. Its record stays pending, so that repeats of
// the request get `outcome_unknown`.
void record_writer::MakeRoom() {
  if (waiting_.empty()) return;
  const std::string oldest = waiting_.front();
  events_.Record(event_id::kAnswerNotRecorded, {{"record", oldest}});
  Erase(oldest);
}

void record_writer::Pump() {
  while (!retry_ && !waiting_.empty() && in_flight_ < kMaxConcurrentWrites) {
    const std::string name = waiting_.front();
    waiting_.pop_front();
    Write(name);
  }
}

void record_writer::Write(const std::string& name) {
  job& current = jobs_.at(name);
  ++in_flight_;
  store_.Put(name, ToJson(current.value), current.expected,
             [this, name, attempt = current.value.attempt,
              alive = std::weak_ptr<char>(alive_)](
                 const store::write_result& outcome) {
               if (alive.expired()) return;
               --in_flight_;
               OnWritten(name, attempt, outcome);
               Pump();
             });
}

void record_writer::OnWritten(const std::string& name,
                              const std::string& attempt,
                              const store::write_result& outcome) {
  const auto found = jobs_.find(name);
  if (found == jobs_.end() || found->second.value.attempt != attempt) return;
  if (outcome) {
    backoff_ = kFirstBackoff;
    Erase(name);
    return;
  }
  switch (outcome.error().cause.code) {
    case error_code::kConflict:
      OnConflict(name, outcome.error());
      return;
    case error_code::kTooLarge:
      body_bytes_ -= BodySize(found->second.value);
      OmitBody(found->second.value);
      waiting_.push_back(name);
      return;
    default:
      // If the answer was lost, the next write finds out by its conflict.
      RetryLater(name);
  }
}

void record_writer::OnConflict(const std::string& name,
                               const store::write_error& lost) {
  job& current = jobs_.at(name);
  const bool exists = lost.conflict && lost.conflict->current;
  const auto seen =
      exists ? ParseRecord(lost.conflict->current->value)
             : result<record>(Fail(error_code::kNotFound, "no record"));
  if (!seen || seen->attempt != current.value.attempt) {
    // Only an attempt that was never dispatched may lose its record.
    if (current.value.state == record_state::kCompleted) {
      events_.Record(event_id::kRecordOverwritten, {{"record", name}});
    }
    Erase(name);
    return;
  }
  if (seen->state == current.value.state) {
    Erase(name);
    return;
  }
  current.expected = lost.conflict->current->version;
  waiting_.push_back(name);
}

void record_writer::RetryLater(const std::string& name) {
  waiting_.push_back(name);
  if (retry_) return;
  retry_ = clock_.CallAfter(backoff_, [this] {
    retry_.reset();
    Pump();
  });
  backoff_ = std::min<clock::duration>(backoff_ * 2, kLongestBackoff);
}

void record_writer::Erase(const std::string& name) {
  const auto found = jobs_.find(name);
  if (found == jobs_.end()) return;
  body_bytes_ -= BodySize(found->second.value);
  jobs_.erase(found);
  waiting_.erase(std::remove(waiting_.begin(), waiting_.end(), name),
                 waiting_.end());
}

}  // namespace bluebell::idempotency
