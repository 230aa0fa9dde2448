#include "routing/endpoint_chooser.h"

#include <algorithm>

#include "base/digest.h"

namespace bluebell::routing {
namespace {

// The endpoint of a prefix is used up to this multiple of the mean utilisation.
constexpr double kLoadBound = 1.25;
// The estimate for the endpoint of a prefix may exceed that for the alternative
// by this factor, which is below the speed-up from a cached prompt.
constexpr double kMaxAffinitySlowdown = 1.5;

double Utilisation(const endpoint_state& state) {
  return static_cast<double>(state.load()) /
         std::max(1, state.row.max_concurrency);
}

// Tokens per second of one stream on the idle endpoint. Without a measurement
// it is derived from the reported total; 0 if there is none.
double SpeedOf(const endpoint_state& state) {
  if (state.speed > 0) return state.speed;
  if (!state.report || state.report->running == 0) return 0;
  return state.report->tokens_per_second / state.report->running *
         (1.0 + Utilisation(state));
}

// Relative completion time of a request sent now. An endpoint of unknown speed
// is assumed to have the speed `fallback`, so that it gets measured.
double Estimate(const endpoint_state& state, double fallback) {
  const double speed = SpeedOf(state);
  return (1.0 + Utilisation(state)) / (speed > 0 ? speed : fallback);
}

// Endpoint with the highest rendezvous weight for the prefix.
const endpoint_state* EndpointOfPrefix(
    std::uint64_t prefix_hash, const endpoint_chooser::candidates& serving) {
  const endpoint_state* best = nullptr;
  std::uint64_t best_weight = 0;
  for (const auto* state : serving) {
    const std::uint64_t weight = Hash64(state->row.id.value(), prefix_hash);
    if (best != nullptr && weight <= best_weight) continue;
    best = state;
    best_weight = weight;
  }
  return best;
}

// Whether the utilisation of `state` is at most `kLoadBound` times the mean,
// plus one request.
bool WithinLoadBound(const endpoint_state& state,
                     const endpoint_chooser::candidates& serving) {
  double load = 0;
  double limit = 0;
  for (const auto* other : serving) {
    load += other->load();
    limit += std::max(1, other->row.max_concurrency);
  }
  const double mean = load / limit;
  const double one_request = 1.0 / std::max(1, state.row.max_concurrency);
  return Utilisation(state) <= kLoadBound * mean + one_request;
}

}  // namespace

const endpoint_state* round_robin_chooser::Choose(
    const routing_request& request, const candidates&,
    const candidates& available) {
  return available[next_[request.target]++ % available.size()];
}

const endpoint_state* least_outstanding_chooser::Choose(
    const routing_request&, const candidates&, const candidates& available) {
  return *std::min_element(
      available.begin(), available.end(),
      [](const auto* a, const auto* b) { return a->load() < b->load(); });
}

const endpoint_state* estimated_completion_chooser::Choose(
    const routing_request& request, const candidates& serving,
    const candidates& available) {
  const auto* first = available[random_() % available.size()];
  const auto* second = available[random_() % available.size()];
  const double fallback = std::max({SpeedOf(*first), SpeedOf(*second), 1e-9});
  const auto* chosen =
      Estimate(*second, fallback) < Estimate(*first, fallback) ? second : first;
  if (request.prefix_hash == 0) return chosen;
  const auto* preferred = EndpointOfPrefix(request.prefix_hash, serving);
  if (preferred == nullptr || !preferred->HasRoom()) return chosen;
  if (std::find(available.begin(), available.end(), preferred) ==
      available.end()) {
    return chosen;
  }
  const bool fast = Estimate(*preferred, fallback) <=
                    kMaxAffinitySlowdown * Estimate(*chosen, fallback);
  return fast && WithinLoadBound(*preferred, serving) ? preferred : chosen;
}

}  // namespace bluebell::routing
