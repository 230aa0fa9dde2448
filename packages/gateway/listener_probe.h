#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <string>

namespace bluebell::gateway {

enum class listener_state {
  /// The process accepts connections.
  kAccepting,
  /// The machine answers that nothing listens at the address.
  kRefusing,
  /// No answer within the timeout, or the machine cannot be reached.
  kSilent,
};

const char* ToString(listener_state state);

/// Opens a connection to `address` (`IPv4:port`) and closes it at once.
listener_state ProbeListener(boost::asio::io_context& context,
                             const std::string& address,
                             std::chrono::milliseconds timeout,
                             boost::asio::yield_context yield);

}  // namespace bluebell::gateway
