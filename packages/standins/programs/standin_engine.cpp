#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <cstdlib>

#include "base/asio_clock.h"
#include "base/settings.h"
#include "standins/engine_standin.h"
#include "standins/program.h"

namespace bluebell::standins {
namespace {

// Options as given; durations in milliseconds.
struct arguments {
  std::string address = "127.0.0.1:0";
  engine_options engine;
  std::string models;
  int load_ms = 1000;
  int adapter_load_ms = 8;
  int unload_ms = 50;
  int first_token_ms = 20;
  int report_lag_ms = 0;
};

void AddOptions(CLI::App& app, arguments& given) {
  auto& engine = given.engine;
  app.add_option("--listen", given.address, "IPv4:port");
  app.add_option("--memory-bytes", engine.memory_bytes, "Accelerator memory");
  app.add_option("--tokens-per-second", engine.tokens_per_second,
                 "Generation speed of each stream")
      ->check(CLI::PositiveNumber);
  app.add_option("--slots", engine.slots, "Streams that run at a time")
      ->check(CLI::PositiveNumber);
  app.add_flag("--checks-fencing", engine.checks_fencing,
               "Refuse orders with an old fencing number");
  app.add_option("--models", given.models,
                 "Models resident at start: name:bytes,name:bytes");
  app.add_option("--incarnation", engine.incarnation,
                 "Incarnation in the load report; default: random");
  const auto add_ms = [&app](const char* name, int& value, const char* text) {
    app.add_option(name, value, text)->check(CLI::NonNegativeNumber);
  };
  add_ms("--load-ms", given.load_ms, "Duration of a model load");
  add_ms("--adapter-load-ms", given.adapter_load_ms,
         "Duration of an adapter load");
  add_ms("--unload-ms", given.unload_ms, "Duration of an unload");
  add_ms("--first-token-ms", given.first_token_ms,
         "Time from the start of a stream to its first token");
  add_ms("--report-lag-ms", given.report_lag_ms, "Lag of the load report");
}

// Reads "name:bytes,name:bytes"; a model without a size takes no memory.
std::vector<model_size> ReadModels(const std::string& text) {
  std::vector<model_size> models;
  for (const auto& part : SplitList(text)) {
    const auto colon = part.find(':');
    model_size model;
    model.name = part.substr(0, colon);
    if (colon != std::string::npos) {
      model.bytes = static_cast<std::int64_t>(NumberOf(part.substr(colon + 1)));
    }
    models.push_back(std::move(model));
  }
  return models;
}

int Run(arguments& given) {
  auto& engine = given.engine;
  engine.models = ReadModels(given.models);
  engine.times.model_load = std::chrono::milliseconds(given.load_ms);
  engine.times.adapter_load = std::chrono::milliseconds(given.adapter_load_ms);
  engine.times.unload = std::chrono::milliseconds(given.unload_ms);
  engine.first_token = std::chrono::milliseconds(given.first_token_ms);
  engine.report_lag = std::chrono::milliseconds(given.report_lag_ms);
  boost::asio::io_context context;
  asio_clock time(context);
  engine_standin standin(time, engine);
  http_server server(context,
                     [&](const auto& exchange) { standin.Handle(exchange); });
  standin.set_on_crash(&Crash);
  standin.set_on_freeze(
      [&](const http_exchange* spared) { server.FreezeConnections(spared); });
  return Serve(context, server, given.address);
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-in of a model engine");
  arguments given;
  AddOptions(app, given);
  CLI11_PARSE(app, argc, argv);
  return Run(given);
}

}  // namespace
}  // namespace bluebell::standins

int main(int argc, char** argv) { return bluebell::standins::Main(argc, argv); }
