#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace bluebell::gateway {

/// Sets TCP_NODELAY, so that single tokens are sent without delay.
void DisableNagle(boost::asio::ip::tcp::socket& socket);

/// Runs `task` as a coroutine with a stack large enough for the request
/// pipeline. An exception ends the task, and is reported on standard error.
/// Throws `std::bad_alloc`, and does not run `task`, if there is no memory.
void SpawnTask(boost::asio::io_context& context,
               std::function<void(boost::asio::yield_context)> task);

}  // namespace bluebell::gateway
