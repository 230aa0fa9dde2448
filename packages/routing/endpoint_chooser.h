#pragma once

#include <cstdint>
#include <random>
#include <unordered_map>
#include <vector>

#include "routing/endpoint_view.h"
#include "routing/scheduler.h"

namespace bluebell::routing {

/// Chooses the endpoint of a request.
class endpoint_chooser {
 public:
  using candidates = std::vector<const endpoint_state*>;

  virtual ~endpoint_chooser() = default;

  /// Returns one of `available`, the endpoints that have room (not empty).
  /// `serving` holds all endpoints that serve the target, in order of ids.
  virtual const endpoint_state* Choose(const routing_request& request,
                                       const candidates& serving,
                                       const candidates& available) = 0;
};

/// Baseline: round robin over the endpoints of a target.
class round_robin_chooser final : public endpoint_chooser {
 public:
  const endpoint_state* Choose(const routing_request& request,
                               const candidates& serving,
                               const candidates& available) override;

 private:
  std::unordered_map<std::string, std::uint64_t> next_;
};

/// Baseline: the endpoint with the fewest requests; the first one on ties.
class least_outstanding_chooser final : public endpoint_chooser {
 public:
  const endpoint_state* Choose(const routing_request& request,
                               const candidates& serving,
                               const candidates& available) override;
};

/// The endpoint that the prompt's prefix hashes to if its load allows, and
/// otherwise the better of two random ones by estimated completion time.
class estimated_completion_chooser final : public endpoint_chooser {
 public:
  explicit estimated_completion_chooser(std::uint64_t seed) : random_(seed) {}

  const endpoint_state* Choose(const routing_request& request,
                               const candidates& serving,
                               const candidates& available) override;

 private:
  std::mt19937_64 random_;
};

}  // namespace bluebell::routing
