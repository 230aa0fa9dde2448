#pragma once

#include <map>
#include <string>
#include <utility>

#include "base/clock.h"
#include "base/ids.h"

namespace bluebell::placement {

struct throttle_options {
  /// Model loads started per second; the weight store sustains no more.
  double model_loads_per_second = 2;
  std::size_t model_loads_in_flight = 8;
  /// Above about 65 the time of each adapter load grows in proportion.
  std::size_t adapter_loads_in_flight = 65;
  /// Time after which a load that was never confirmed frees its place.
  clock::duration forget_after = std::chrono::seconds(60);
};

/// Limits the load on the weight store.
class load_throttle {
 public:
  explicit load_throttle(const clock& source, throttle_options options = {});

  /// Takes a place for the load; a repeated load keeps its place, but model
  /// loads are limited in rate in either case.
  bool Begin(const endpoint_id& endpoint, const std::string& target,
             bool is_adapter);
  void End(const endpoint_id& endpoint, const std::string& target);

 private:
  using key = std::pair<endpoint_id, std::string>;

  void Forget(std::map<key, clock::time_point>& loads);

  const clock& clock_;
  throttle_options options_;
  std::map<key, clock::time_point> models_;
  std::map<key, clock::time_point> adapters_;
  clock::time_point next_model_load_;
};

}  // namespace bluebell::placement
