#include "idempotency/record_writer.h"

#include <algorithm>
#include <utility>

namespace bluebell::idempotency {
namespace {

// Leaves most of the platform's capacity of a few hundred writes per second to
// other work when all hosts flush their queues after an outage.
constexpr std::size_t kMaxConcurrentWrites = 4;
constexpr auto kInitialBackoff = std::chrono::milliseconds(100);
constexpr auto kMaxBackoff = std::chrono::seconds(5);

std::size_t BodySize(const record& value) {
  return value.response ? value.response->body.size() : 0;
}

void OmitBody(record& value) {
  if (!value.response) return;
  value.response->body.clear();
  value.response->body_omitted = true;
}

}  // namespace

record_writer::record_writer(store::object_store& store, clock& time,
                             event_log& events)
    : store_(store), clock_(time), events_(events), backoff_(kInitialBackoff) {}

void record_writer::Store(const std::string& name, record value,
                          revision expected) {
  if (value.state == record_state::kNotRun && jobs_.size() >= kMaxRecords / 2) {
    return;
  }
  // An earlier job of the same name belongs to an attempt whose record has
  // been replaced.
  Erase(name);
  if (jobs_.size() >= kMaxRecords) DropOldest();
  if (body_bytes_ + BodySize(value) > kMaxBodyBytes) OmitBody(value);
  body_bytes_ += BodySize(value);
  jobs_[name] = job{std::move(value), expected};
  queue_.push_back(name);
  StartWrites();
}

const record* record_writer::Find(const std::string& name) const {
  const auto found = jobs_.find(name);
  return found == jobs_.end() ? nullptr : &found->second.value;
}

// Drops the oldest queued job. Its record stays pending, so that retries of the
// request get `outcome_unknown`.
void record_writer::DropOldest() {
  if (queue_.empty()) return;
  const std::string oldest = queue_.front();
  events_.Record(event_id::kAnswerNotRecorded, {{"record", oldest}});
  Erase(oldest);
}

void record_writer::StartWrites() {
  while (!retry_timer_ && !queue_.empty() &&
         in_flight_ < kMaxConcurrentWrites) {
    const std::string name = queue_.front();
    queue_.pop_front();
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
               StartWrites();
             });
}

void record_writer::OnWritten(const std::string& name,
                              const std::string& attempt,
                              const store::write_result& outcome) {
  const auto found = jobs_.find(name);
  if (found == jobs_.end() || found->second.value.attempt != attempt) return;
  if (outcome) {
    backoff_ = kInitialBackoff;
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
      queue_.push_back(name);
      return;
    default:
      // If the outcome is unknown and the write took effect, the next write
      // detects this by its conflict.
      RetryLater(name);
  }
}

void record_writer::OnConflict(const std::string& name,
                               const store::write_error& error) {
  job& current = jobs_.at(name);
  const bool exists = error.conflict && error.conflict->current;
  const auto stored =
      exists ? ParseRecord(error.conflict->current->value)
             : result<record>(Fail(error_code::kNotFound, "no record"));
  if (!stored || stored->attempt != current.value.attempt) {
    // Only the record of an attempt that was never dispatched may be replaced.
    if (current.value.state == record_state::kCompleted) {
      events_.Record(event_id::kRecordOverwritten, {{"record", name}});
    }
    Erase(name);
    return;
  }
  if (stored->state == current.value.state) {
    Erase(name);
    return;
  }
  current.expected = error.conflict->current->version;
  queue_.push_back(name);
}

void record_writer::RetryLater(const std::string& name) {
  queue_.push_back(name);
  if (retry_timer_) return;
  retry_timer_ = clock_.CallAfter(backoff_, [this] {
    retry_timer_.reset();
    StartWrites();
  });
  backoff_ = std::min<clock::duration>(backoff_ * 2, kMaxBackoff);
}

void record_writer::Erase(const std::string& name) {
  const auto found = jobs_.find(name);
  if (found == jobs_.end()) return;
  body_bytes_ -= BodySize(found->second.value);
  jobs_.erase(found);
  queue_.erase(std::remove(queue_.begin(), queue_.end(), name), queue_.end());
}

}  // namespace bluebell::idempotency
