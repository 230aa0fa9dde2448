#pragma once

#include <memory>

namespace bluebell::idempotency {

/// State of one attempt to run a non-idempotent request.
enum class attempt_state {
  /// A write of the pending record is in flight or scheduled for a retry.
  kWriting,
  /// The outcome of a write is unknown; the record is being read back.
  kReadingBack,
  /// The record names another attempt; its host is asked whether that ran.
  kQuerying,
  /// The record names this attempt; the request may be dispatched.
  kConfirmed,
  /// Bytes of the request may have reached the endpoint.
  kDispatched,
  /// Final: the attempt was not and will never be dispatched.
  kGivenUp,
  /// Final: the attempt was dispatched and its outcome is written to the
  /// record.
  kFinished,
};

enum class attempt_event {
  kConfirm,
  kWriteOutcomeUnknown,
  kRetryWrite,
  kFoundPending,
  kDispatch,
  kFinish,
  kNotRun,
  kGiveUp,
};

/// State machine of an attempt. An event without a transition from the current
/// state is ignored, so a late platform response cannot reactivate an attempt
/// that was given up.
class attempt_state_machine {
 public:
  attempt_state_machine();
  ~attempt_state_machine();

  /// Returns whether the current state has a transition for the event.
  bool Process(attempt_event event);
  attempt_state state() const;

 private:
  struct implementation;
  std::unique_ptr<implementation> implementation_;
};

}  // namespace bluebell::idempotency
