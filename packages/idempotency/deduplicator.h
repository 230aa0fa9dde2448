#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <utility>
#include <variant>
#include <vector>

#include "base/ids.h"
#include "base/problem.h"

namespace bluebell::idempotency {

/// Identity of a request that may run at most once.
struct idempotent_request {
  account_id account;
  /// The caller's `Idempotency-Key`.
  std::string key;
  /// SHA-256 of method, path and body.
  std::string digest;
};

/// An endpoint's response as stored and replayed to the caller.
struct recorded_response {
  int http_status = 0;
  std::string content_type;
  std::string body;
  /// Whether the body was dropped because it was too large.
  bool body_omitted = false;
};

/// Permission to run one attempt. Ids are unique across hosts and restarts.
struct attempt {
  std::string id;
};

/// What to do with a request: run it, replay the recorded response, or refuse.
using begin_outcome = std::variant<attempt, recorded_response, problem>;

/// Ensures that every non-idempotent request runs at most once.
///
/// Call order for an attempt: `Begin`, `MarkDispatched` immediately before the
/// first byte, then one of `Complete`, `MarkNotRun` (no byte was sent) and
/// `Abandon` (sent, and no response will arrive).
class deduplicator {
 public:
  virtual ~deduplicator() = default;

  /// Creates the platform's record or finds an existing one. Calls `done`
  /// exactly once.
  virtual void Begin(const idempotent_request& request,
                     std::function<void(begin_outcome)> done) = 0;
  /// Returns whether the attempt may be sent now. After `true` it counts as
  /// possibly run; after `false` it must not be sent.
  virtual bool MarkDispatched(const attempt& current) = 0;
  /// Records that no byte reached the endpoint, so that a retry may run.
  virtual void MarkNotRun(const attempt& current) = 0;
  /// Records the response; retries in the background until it is stored.
  virtual void Complete(const attempt& current,
                        const recorded_response& response) = 0;
  virtual void Abandon(const attempt& current) = 0;
};

}  // namespace bluebell::idempotency
