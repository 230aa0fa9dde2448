#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/event_log.h"
#include "idempotency/record.h"
#include "store/object_store.h"

namespace bluebell::idempotency {

/// Stores final records in the background, through outages of the platform,
/// within bounds on memory and on concurrent writes.
class record_writer {
 public:
  /// Records kept at most; beyond it the oldest is dropped.
  static constexpr std::size_t kMaxRecords = 10'000;
  /// Bytes of bodies kept at most; beyond it answers lose their body.
  static constexpr std::size_t kMaxBodyBytes = 32u << 20;

  record_writer(store::object_store& store, clock& time, event_log& events);

  /// Replaces the record at version `expected`, or at any later version that
  /// still names the same attempt. A record of state `kNotRun` is dropped
  /// while the queue is half full: without it a repeat still asks the host.
  void Store(const std::string& name, record value, revision expected);

  /// The record of `name` that is not stored yet, or null.
  const record* Find(const std::string& name) const;
  /// Number of records that are not stored yet.
  std::size_t size() const { return jobs_.size(); }

 private:
  struct job {
    record value;
    revision expected;
  };

  void MakeRoom();
  void Pump();
  void Write(const std::string& name);
  void OnWritten(const std::string& name, const std::string& attempt,
                 const store::write_result& outcome);
  void OnConflict(const std::string& name, const store::write_error& lost);
  void RetryLater(const std::string& name);
  void Erase(const std::string& name);

  store::object_store& store_;
  clock& clock_;
  event_log& events_;
  std::unordered_map<std::string, job> jobs_;
  std::deque<std::string> waiting_;
  std::size_t body_bytes_ = 0;
  std::size_t in_flight_ = 0;
  clock::duration backoff_;
  timer_handle retry_;
  /// Expires with this object; late answers of the store check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::idempotency
