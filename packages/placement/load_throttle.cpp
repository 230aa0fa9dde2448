#include "placement/load_throttle.h"

namespace bluebell::placement {

load_throttle::load_throttle(const clock& source, throttle_options options)
    : clock_(source), options_(options), next_model_load_(source.now()) {}

bool load_throttle::Begin(const endpoint_id& endpoint,
                          const std::string& target, bool is_adapter) {
  const auto now = clock_.now();
  auto& loads = is_adapter ? adapters_ : models_;
  ExpireSlots(loads);
  const key load(endpoint, target);
  const std::size_t limit = is_adapter ? options_.adapter_loads_in_flight
                                       : options_.model_loads_in_flight;
  if (loads.count(load) == 0 && loads.size() >= limit) return false;
  if (!is_adapter) {
    if (now < next_model_load_) return false;
    next_model_load_ = now + std::chrono::duration_cast<clock::duration>(
                                 std::chrono::duration<double>(
                                     1.0 / options_.model_loads_per_second));
  }
  loads[load] = now;
  return true;
}

void load_throttle::End(const endpoint_id& endpoint,
                        const std::string& target) {
  models_.erase({endpoint, target});
  adapters_.erase({endpoint, target});
}

void load_throttle::ExpireSlots(std::map<key, clock::time_point>& loads) {
  const auto limit = clock_.now() - options_.slot_timeout;
  for (auto it = loads.begin(); it != loads.end();) {
    it = it->second <= limit ? loads.erase(it) : std::next(it);
  }
}

}  // namespace bluebell::placement
