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

  /// Returns one of `open`, which is not empty: the endpoints that have room.
  /// `serving` holds all endpoints that serve the target, in order of ids.
  virtual const endpoint_state* Choose(const routing_request& request,
                                       const candidates& serving,
                                       const candidates& open) = 0;
};

/// Baseline: takes the endpoints of a target in turn.
class round_robin_chooser final : public endpoint_chooser {
 public:
  const endpoint_state* Choose(const routing_request& request,
                               const candidates& serving,
                               const candidates& open) override;

 private:
  std::unordered_map<std::string, std::uint64_t> next_;
};

/// Baseline: takes the endpoint with the fewest requests, ties by order.
class least_outstanding_chooser final : public endpoint_chooser {
 public:
  const endpoint_state* Choose(const routing_request& request,
                               const candidates& serving,
                               const candidates& open) override;
};

/// Takes the endpoint that holds the prompt's prefix if its load allows, and
/// otherwise the better of two random ones by estimated completion.
class estimated_completion_chooser final : public endpoint_chooser {
 public:
  explicit estimated_completion_chooser(std::uint64_t seed) : random_(seed) {}

  const endpoint_state* Choose(const routing_request& request,
                               const candidates& serving,
                               const candidates& open) override;

 private:
  std::mt19937_64 random_;
};

}  // namespace bluebell::routing
