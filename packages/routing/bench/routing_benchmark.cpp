// Time of one endpoint choice among many, and of one push and pop of the queue.
#include <benchmark/benchmark.h>

#include "base/manual_clock.h"
#include "config/snapshot.h"
#include "routing/endpoint_chooser.h"
#include "routing/endpoint_view.h"
#include "routing/fair_queue.h"

namespace bluebell::routing {
namespace {

void ChooseEndpoint(benchmark::State& state) {
  manual_clock clock;
  config::snapshot rows;
  const int count = static_cast<int>(state.range(0));
  for (int i = 0; i < count; ++i) {
    config::endpoint_row row;
    row.id = endpoint_id("e" + std::to_string(i));
    row.address = "127.0.0.1:1";
    row.zone = zone_id("z");
    row.memory = byte_count(1);
    row.max_concurrency = 8;
    rows.Apply({"endpoints/" + row.id.value(),
                revision(static_cast<std::uint64_t>(i + 1)),
                config::ToJson(row)});
  }
  endpoint_view view(clock, rows, nullptr);
  endpoint_report report;
  report.incarnation = "1";
  report.resident = {"m"};
  report.running = 2;
  report.tokens_per_second = 100;
  for (const auto& [id, row] : rows.endpoints()) {
    view.OnReport(id, report, clock.now());
  }
  estimated_completion_chooser chooser(1);
  routing_request request;
  request.target = "m";
  for (auto _ : state) {
    request.prefix_hash += static_cast<std::uint64_t>(state.range(1));
    const auto serving = view.Serving("m", false);
    benchmark::DoNotOptimize(chooser.Choose(request, serving, serving));
  }
}
BENCHMARK(ChooseEndpoint)
    ->ArgNames({"endpoints", "prefix"})
    ->Args({12, 0})
    ->Args({3500, 0})
    ->Args({3500, 1})
    ->Unit(benchmark::kMicrosecond);

void QueueAndDequeue(benchmark::State& state) {
  fair_queue queue;
  const int accounts = static_cast<int>(state.range(0));
  std::vector<endpoint_id> endpoints;
  for (int i = 0; i < 12; ++i) {
    endpoints.emplace_back("e" + std::to_string(i));
  }
  std::uint64_t ticket = 0;
  const auto push = [&] {
    ++ticket;
    queue.Push({ticket, account_id("a" + std::to_string(ticket % accounts)), 1,
                5, "m/m", 100});
  };
  for (int i = 0; i < accounts * 4; ++i) push();
  for (auto _ : state) {
    push();
    benchmark::DoNotOptimize(queue.Pop(
        endpoints[ticket % endpoints.size()],
        [](const std::string&) { return true; },
        [](std::uint64_t) { return true; }));
  }
}
BENCHMARK(QueueAndDequeue)
    ->ArgName("accounts")
    ->Arg(5)
    ->Arg(1000)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bluebell::routing

BENCHMARK_MAIN();
