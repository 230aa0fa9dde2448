#include <CLI/CLI.hpp>
#include <boost/asio/io_context.hpp>
#include <iostream>

#include "base/asio_clock.h"
#include "standins/platform_standin.h"
#include "standins/program.h"

namespace bluebell::standins {
namespace {

// With an admin listener, an outage closes the API listener, so that
// connections are refused as during a real outage.
int Run(const std::string& address, const std::string& admin_address,
        int hosts_lag_ms) {
  boost::asio::io_context context;
  asio_clock time(context);
  platform_standin platform(time, std::chrono::milliseconds(hosts_lag_ms));
  const auto handle = [&](const std::shared_ptr<http_exchange>& exchange) {
    platform.Handle(exchange);
  };
  http_server server(context, handle);
  http_server admin(context, handle);
  platform.set_on_freeze(
      [&](const http_exchange* spared) { server.FreezeConnections(spared); });
  if (admin_address.empty()) return Serve(context, server, address);
  const auto bound = server.Listen(address);
  if (!bound) {
    std::cerr << "cannot listen on " << address << std::endl;
    return 2;
  }
  std::cout << "api on " << *bound << std::endl;
  platform.set_on_outage([&, api = *bound](bool outage) {
    if (outage) return server.Stop();
    if (!server.Listen(api)) std::cerr << "cannot listen again" << std::endl;
  });
  return Serve(context, admin, admin_address);
}

int Main(int argc, char** argv) {
  CLI::App app("Stand-in of the platform's object API");
  std::string address = "127.0.0.1:0";
  std::string admin_address;
  int hosts_lag_ms = 0;
  app.add_option("--listen", address, "IPv4:port of the API");
  app.add_option("--admin-listen", admin_address,
                 "IPv4:port of /admin/; without it, the API listener serves "
                 "/admin/ and an outage closes connections after the request");
  app.add_option("--hosts-lag-ms", hosts_lag_ms, "Lag of the host list")
      ->check(CLI::NonNegativeNumber);
  CLI11_PARSE(app, argc, argv);
  return Run(address, admin_address, hosts_lag_ms);
}

}  // namespace
}  // namespace bluebell::standins

int main(int argc, char** argv) { return bluebell::standins::Main(argc, argv); }
