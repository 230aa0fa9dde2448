#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "base/ids.h"

namespace bluebell::serving {

using std::chrono::milliseconds;

/// A group of engines or plain servers that serve the same kind of request.
using service_id = strong_type<struct service_tag, std::string>;

/// One target of a route and its relative weight.
struct weighted_service {
  service_id service;
  int weight = 1;
};

/// The operator's settings for requests under one path prefix of a host.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  bool streaming = false;
  /// A request may be executed more than once.
  bool repeatable = false;
  /// A broken stream may be resumed at another engine after its last event.
  bool resumable = false;
  /// Requires no key.
  bool open = false;
  milliseconds timeout{0};
  /// Target time to the response, or to the first event of a stream.
  milliseconds target_latency{0};
  /// Maximum time between two events of a stream that meets its target.
  milliseconds event_gap_target{0};
  /// Number of engines to which one request may be sent.
  int max_attempts = 1;
  /// 0 is the highest priority.
  int priority = 0;
  std::vector<weighted_service> services;
};

/// A model and its load time in seconds from each source of weights.
struct model_spec {
  model_id id;
  double weights_mb = 0;
  double load_from_store_s = 0;
  double load_from_disk_s = 0;
  double load_from_memory_s = 0;
  double adapter_mb = 0;
};

/// Properties that all model engines of a service share.
struct engine_spec {
  double weights_mb = 0;
  int adapter_slots = 0;
  /// Loads per second that the weight store allows over all engines.
  double loads_per_s = 0;
  std::vector<model_spec> models;
};

struct service {
  service_id id;
  /// Connections that one endpoint accepts from all hosts together.
  int max_connections = 0;
  /// Requests per second that a cold endpoint accepts from all hosts together;
  /// 0 if endpoints do not turn cold.
  double cold_per_s = 0;
  /// Set for services of model engines.
  std::optional<engine_spec> engine;
};

/// A client account with its rate and burst in tokens; a rate of 0 means no
/// limit.
struct account {
  account_id id;
  /// Takes precedence over the route's priority when set.
  std::optional<int> priority;
  double tokens_per_s = 0;
  double burst_tokens = 0;
  /// Cost of a request that states no token counts.
  std::int64_t plain_tokens = 0;
};

/// Limits on the size and duration of caller requests.
struct caller_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One complete version of the operator's configuration.
struct serving_config {
  std::uint64_t version = 0;
  std::vector<route> routes;
  std::vector<service> services;
  std::vector<account> accounts;
  /// Account index by key.
  std::unordered_map<std::string, std::size_t> keys;
  caller_limits limits;

  /// Builds the lookup tables; call once after the fields are filled.
  void Index();
  /// The route of `host` with the longest matching prefix of `path`.
  const route* FindRoute(std::string_view host, std::string_view path) const;
  const account* FindAccount(const std::string& key) const;
  const account* FindAccount(const account_id& id) const;
  const service* FindService(const service_id& id) const;

 private:
  // Route index by host, then by prefix.
  std::unordered_map<std::string, std::unordered_map<std::string, std::size_t>>
      by_prefix_;
};

}  // namespace bluebell::serving
