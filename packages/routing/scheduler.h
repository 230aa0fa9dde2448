#pragma once

#include <cstdint>
#include <functional>
#include <string>
#include <tl/expected.hpp>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/problem.h"

namespace bluebell::routing {

/// A request that waits for an endpoint.
struct routing_request {
  account_id account;
  std::int64_t weight = 1;
  int priority = 5;
  /// Model or adapter id for engines, group name for plain services.
  std::string target;
  bool is_service = false;
  /// Hash of the prompt's prefix for cache affinity; 0 for none.
  std::uint64_t prefix_hash = 0;
  token_count estimated_tokens;
  /// Account and body digest, for quarantine.
  std::string fingerprint;
  /// Endpoints that failed this request before.
  std::vector<endpoint_id> excluded;
};

/// Permission to send one request to one endpoint.
struct assignment {
  std::uint64_t id = 0;
  endpoint_id endpoint;
  /// `IPv4:port`.
  std::string address;
};

/// Outcome of the request that used an assignment.
enum class dispatch_outcome {
  kSucceeded,
  /// The connection was refused; no byte was sent.
  kConnectFailed,
  /// The connection failed or timed out after bytes were sent.
  kBroken,
  /// The endpoint answered with an error of its own.
  kEndpointError,
  /// The caller disconnected.
  kCancelled,
};

/// Queues requests and assigns an endpoint to each.
class scheduler {
 public:
  using acquire_result = tl::expected<assignment, problem>;

  virtual ~scheduler() = default;

  /// Calls `done` exactly once: with an assignment as soon as an endpoint that
  /// holds the target has room, or with a problem after the queue limit.
  /// Returns a ticket for `Cancel`.
  virtual std::uint64_t Acquire(const routing_request& request,
                                std::function<void(acquire_result)> done) = 0;
  /// Removes a waiting request; its callback is not called.
  virtual void Cancel(std::uint64_t ticket) = 0;
  /// Ends an assignment. `tokens` is the number of tokens that the endpoint
  /// generated.
  virtual void Release(const assignment& ended, dispatch_outcome outcome,
                       token_count tokens) = 0;
  /// Takes one retry from the account's budget. Returns whether a failed
  /// repeatable request may be sent to another endpoint now.
  virtual bool TakeRetry(const account_id& account) = 0;
};

}  // namespace bluebell::routing
