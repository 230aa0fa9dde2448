#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "base/ids.h"

namespace bluebell::routing {

/// A waiting request as the queue sees it.
struct queue_entry {
  /// Increases in order of arrival.
  std::uint64_t ticket = 0;
  account_id account;
  std::int64_t weight = 1;
  int priority = 5;
  /// Key of the target. The same endpoints can serve all requests of a key.
  std::string target;
  /// Estimated cost in tokens, at least 1.
  std::int64_t cost = 1;
};

/// Order in which waiting requests are served.
class request_queue {
 public:
  /// Whether the endpoint can take a request for that target key now.
  using target_filter = std::function<bool(const std::string& target)>;
  /// Whether the endpoint can take that request now.
  using entry_filter = std::function<bool(std::uint64_t ticket)>;

  virtual ~request_queue() = default;

  virtual void Push(const queue_entry& entry) = 0;
  /// Removes and returns the request that `endpoint` serves next.
  virtual std::optional<queue_entry> Pop(const endpoint_id& endpoint,
                                         const target_filter& serves,
                                         const entry_filter& accepts) = 0;
  /// Removes a waiting request without charging its account.
  virtual void Remove(const queue_entry& entry) = 0;
  virtual std::size_t size() const = 0;
  /// The request to refuse when the queue is full: in the least important
  /// priority, the newest request of the account with the most waiting cost per
  /// weight. Empty if the queue is empty.
  virtual std::optional<std::uint64_t> EvictionCandidate() const = 0;
};

}  // namespace bluebell::routing
