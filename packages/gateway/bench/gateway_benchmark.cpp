// CPU time per relayed stream token, without socket I/O: splitting the stream,
// parsing the event, writing the event and updating the metrics.
#include <benchmark/benchmark.h>

#include <nlohmann/json.hpp>
#include <string>

#include "gateway/event_stream.h"
#include "gateway/gateway_metrics.h"

namespace bluebell::gateway {
namespace {

void RelayToken(benchmark::State& state) {
  const std::string text(static_cast<std::size_t>(state.range(0)), 'x');
  const std::string event =
      ToEvent(nlohmann::json{{"index", 100}, {"text", text}}.dump());
  event_stream_parser parser;
  gateway_metrics metrics;
  for (auto _ : state) {
    for (const std::string& data : parser.Feed(event)) {
      benchmark::DoNotOptimize(nlohmann::json::parse(data, nullptr, false));
      metrics.RecordTokenGap(std::chrono::milliseconds(10));
      metrics.RecordTokens(token_count(1));
      benchmark::DoNotOptimize(ToEvent(data));
    }
  }
}
BENCHMARK(RelayToken)
    ->ArgName("text_bytes")
    ->Arg(6)
    ->Arg(400)
    ->Unit(benchmark::kMicrosecond);

}  // namespace
}  // namespace bluebell::gateway

BENCHMARK_MAIN();
