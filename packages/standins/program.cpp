#include "standins/program.h"

#include <boost/asio/signal_set.hpp>
#include <csignal>
#include <cstdlib>
#include <iostream>

namespace bluebell::standins {
namespace {

constexpr int kExitUnusableAddress = 2;
constexpr int kExitCrash = 3;

}  // namespace

int Serve(boost::asio::io_context& context, http_server& server,
          const std::string& address) {
  const auto bound = server.Listen(address);
  if (!bound) {
    std::cerr << "cannot listen on " << address << ": "
              << ToString(bound.error().code) << ": " << bound.error().detail
              << std::endl;
    return kExitUnusableAddress;
  }
  std::cout << "listening on " << *bound << std::endl;
  boost::asio::signal_set signals(context, SIGTERM, SIGINT);
  signals.async_wait([&context](auto, int) { context.stop(); });
  context.run();
  return EXIT_SUCCESS;
}

void Crash() { std::_Exit(kExitCrash); }

}  // namespace bluebell::standins
