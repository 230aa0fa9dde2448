#pragma once

#include <memory>

namespace bluebell::idempotency {

/// Life of one attempt to run a non-repeatable request.
enum class attempt_state {
  /// A write of the pending record is in flight or about to be retried.
  kWriting,
  /// The answer to a write was lost; the record is read back.
  kReadingBack,
  /// Another attempt holds the record; its host is asked whether it ran.
  kQuerying,
  /// The record names this attempt; the request may be dispatched.
  kConfirmed,
  /// A byte may have reached the endpoint.
  kDispatched,
  /// Final: the attempt was not and will never be dispatched.
  kGivenUp,
  /// Final: the attempt was dispatched and its outcome goes to the record.
  kFinished,
};

enum class attempt_event {
  kConfirm,
  kAnswerLost,
  kRewrite,
  kFoundPending,
  kDispatch,
  kFinish,
  kNotRun,
  kGiveUp,
};

/// Decides which step of an attempt is allowed. An event that the current
/// state does not allow changes nothing, so that a late answer of the platform
/// cannot revive an attempt that was given up.
class attempt_machine {
 public:
  attempt_machine();
  ~attempt_machine();

  /// Returns whether the event was allowed.
  bool Process(attempt_event what);
  attempt_state state() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace bluebell::idempotency
