#pragma once

#include <deque>
#include <string>
#include <unordered_map>

#include "base/clock.h"
#include "base/event_log.h"
#include "idempotency/record.h"
#include "store/object_store.h"

namespace bluebell::idempotency {

/// Stores final records in the background and retries during platform outages,
/// with bounded memory and a bounded number of concurrent writes.
class record_writer {
 public:
  /// Maximum number of queued records; beyond it the oldest is dropped.
  static constexpr std::size_t kMaxRecords = 10'000;
  /// Maximum total size of queued bodies, in bytes; beyond it responses are
  /// stored without their body.
  static constexpr std::size_t kMaxBodyBytes = 32u << 20;

  record_writer(store::object_store& store, clock& time, event_log& events);

  /// Replaces the record at version `expected`, or at any later version that
  /// still names the same attempt. A record of state `kNotRun` is dropped
  /// while the queue is at least half full: without it, a retry queries the
  /// host.
  void Store(const std::string& name, record value, revision expected);

  /// Returns the record of `name` if it is not stored yet, else null.
  const record* Find(const std::string& name) const;
  /// Number of records that are not stored yet.
  std::size_t size() const { return jobs_.size(); }

 private:
  struct job {
    record value;
    revision expected;
  };

  void DropOldest();
  void StartWrites();
  void Write(const std::string& name);
  void OnWritten(const std::string& name, const std::string& attempt,
                 const store::write_result& outcome);
  void OnConflict(const std::string& name, const store::write_error& error);
  void RetryLater(const std::string& name);
  void Erase(const std::string& name);

  store::object_store& store_;
  clock& clock_;
  event_log& events_;
  std::unordered_map<std::string, job> jobs_;
  std::deque<std::string> queue_;
  std::size_t body_bytes_ = 0;
  std::size_t in_flight_ = 0;
  clock::duration backoff_;
  timer_handle retry_timer_;
  /// Expires with this object; late callbacks of the store check it.
  std::shared_ptr<char> alive_ = std::make_shared<char>();
};

}  // namespace bluebell::idempotency
