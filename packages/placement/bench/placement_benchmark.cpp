// Measures one planning step with nothing placed yet (copies 0), with full
// memory and missing second copies (1), and with complete placement (2).
#include <benchmark/benchmark.h>

#include <random>

#include "placement/placement_planner.h"

namespace bluebell::placement {
namespace {

planning_input MakeInput(int engines, int models, int copies) {
  std::mt19937_64 random(1);
  planning_input input;
  input.max_loads = 8;
  input.max_moves = 4;
  const std::int64_t per_engine = (copies == 1 ? 110 : 300) * models / engines;
  for (int e = 0; e < engines; ++e) {
    planner_engine engine;
    engine.id = endpoint_id("e" + std::to_string(e));
    engine.zone = zone_id("z" + std::to_string(e % 3));
    engine.free = per_engine;
    engine.usable = engine.controllable = true;
    input.engines.push_back(engine);
  }
  for (int m = 0; m < models; ++m) {
    const auto size = static_cast<std::int64_t>(60 + random() % 80);
    const double demand = 1.0 / (1 + m);
    input.models.push_back({"m" + std::to_string(m), size, 1, demand, 1, 0});
    input.copies.emplace_back();
    for (int copy = 0; copy < copies; ++copy) {
      const int e = (m + copy) % engines;
      input.copies.back().push_back({e, copy_state::kResident, true});
      input.engines[e].free -= size;
    }
  }
  return input;
}

void PlanStep(benchmark::State& state) {
  const auto input = MakeInput(static_cast<int>(state.range(0)),
                               static_cast<int>(state.range(1)),
                               static_cast<int>(state.range(2)));
  priority_aware_planner planner;
  for (auto _ : state) benchmark::DoNotOptimize(planner.Plan(input));
}

BENCHMARK(PlanStep)
    ->ArgNames({"engines", "models", "copies"})
    ->Args({12, 15, 0})
    ->Args({12, 15, 1})
    ->Args({12, 15, 2})
    ->Args({48, 150, 0})
    ->Args({48, 150, 1})
    ->Args({48, 150, 2})
    ->Args({350, 1400, 0})
    ->Args({350, 1400, 1})
    ->Args({350, 1400, 2})
    ->Args({3500, 1400, 0})
    ->Args({3500, 1400, 1})
    ->Args({3500, 1400, 2})
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bluebell::placement

BENCHMARK_MAIN();
