#pragma once

#include <boost/asio/io_context.hpp>
#include <string>

#include "standins/http_server.h"

namespace bluebell::standins {

/// Listens and serves until SIGTERM or SIGINT. Prints "listening on ADDRESS"
/// once connections are accepted. Returns the exit code: 0, or 2 if the
/// address cannot be used.
int Serve(boost::asio::io_context& context, http_server& server,
          const std::string& address);

/// Ends the process at once with exit code 3, as a crash does.
[[noreturn]] void Crash();

}  // namespace bluebell::standins
