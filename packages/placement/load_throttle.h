#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::placement {

struct throttle_options {
  /// Model loads started per second, the most the weight store sustains.
  double model_loads_per_second = 2;
  std::size_t model_loads_in_flight = 8;
  /// Above about 65 the time of each adapter load grows proportionally.
  std::size_t adapter_loads_in_flight = 65;
  /// Time after which the slot of an unconfirmed load is freed.
  clock::duration slot_timeout = std::chrono::seconds(60);
};

/// Limits the rate and number of concurrent loads from the weight store.
class load_throttle {
 public:
  explicit load_throttle(const clock& source, throttle_options options = {});

  /// Acquires a slot for the load; returns false if a limit is reached. A
  /// retried load keeps its slot, but the rate limit on model loads still
  /// applies.
  bool Begin(const endpoint_id& endpoint, const std::string& target,
             bool is_adapter);
  void End(const endpoint_id& endpoint, const std::string& target);

 private:
  using key = std::pair<endpoint_id, std::string>;

  void ExpireSlots(std::map<key, clock::time_point>& loads);

  const clock& clock_;
  throttle_options options_;
  std::map<key, clock::time_point> models_;
  std::map<key, clock::time_point> adapters_;
  clock::time_point next_model_load_;
};

}  // namespace bluebell::placement
