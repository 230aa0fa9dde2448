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

/// A group of engines or plain servers that run the same kind of work.
using service_id = strong_type<struct service_tag, std::string>;

/// One target of a route and its relative weight.
struct weighted_service {
  service_id service;
  int weight = 1;
};

/// What the operator wants for the requests under one path prefix of a host.
struct route {
  std::string name;
  std::string host;
  /// Begins and ends with a slash.
  std::string path_prefix;
  bool streaming = false;
  /// A request may run more than once.
  bool repeatable = false;
  /// A broken stream may go on at another engine after its last event.
  bool resumable = false;
  /// Needs no key.
  bool open = false;
  milliseconds timeout{0};
  /// Time to the answer, or to the first event of a stream.
  milliseconds target_latency{0};
  /// Longest pause between events of a stream that is on time.
  milliseconds event_gap_target{0};
  /// Engines to which one request may be sent.
  int max_attempts = 1;
  /// 0 is the most important.
  int priority = 0;
  std::vector<weighted_service> services;
};

/// A model and the seconds to load it from each place that may hold a copy.
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
  /// Set for services of model engines.
  std::optional<engine_spec> engine;
};

/// A client account with its rate and burst in tokens; a rate of 0 stands for
/// no limit.
struct account {
  account_id id;
  /// Takes precedence over the route's priority when set.
  std::optional<int> priority;
  double tokens_per_s = 0;
  double burst_tokens = 0;
  /// Cost of a request that states no token counts.
  std::int64_t plain_tokens = 0;
};

/// Bounds on what a caller may send and on how long it may take.
struct caller_limits {
  std::size_t max_header_bytes = 16384;
  std::size_t max_body_bytes = 4194304;
  milliseconds header_timeout{3000};
  milliseconds idle_timeout{15000};
};

/// One version of the operator's configuration, in full.
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
  /// The route of `host` with the longest prefix that begins `path`.
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
