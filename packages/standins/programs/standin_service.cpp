#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>

#include "base/asio_clock.h"
#include "standins/program.h"
#include "standins/service_standin.h"

namespace bluebell::standins {
namespace {

int Run(const std::string& address, const service_options& options) {
  boost::asio::io_context context;
  asio_clock time(context);
  service_standin standin(time, options);
  http_server server(context,
                     [&](const auto& exchange) { standin.Handle(exchange); });
  standin.set_on_crash(&Crash);
  standin.set_on_freeze(
      [&](const http_exchange* spared) { server.FreezeConnections(spared); });
  return Serve(context, server, address);
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-in of a plain service for orders and bookings");
  std::string address = "127.0.0.1:0";
  service_options options;
  int run_ms = 20;
  app.add_option("--listen", address, "IPv4:port");
  app.add_option("--run-ms", run_ms, "Duration of a run")
      ->check(CLI::NonNegativeNumber);
  app.add_option("--slots", options.slots, "Runs at a time")
      ->check(CLI::PositiveNumber);
  app.add_option("--incarnation", options.incarnation,
                 "Incarnation in the load report; default: random");
  CLI11_PARSE(app, argc, argv);
  options.run = std::chrono::milliseconds(run_ms);
  return Run(address, options);
}

}  // namespace
}  // namespace bluebell::standins

int main(int argc, char** argv) { return bluebell::standins::Main(argc, argv); }
