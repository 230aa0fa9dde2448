#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>

namespace bluebell::gateway {

/// Sends small writes at once, as tokens need.
void DisableNagle(boost::asio::ip::tcp::socket& socket);

/// Runs `task` as a coroutine with a stack that suits the request pipeline.
void SpawnTask(boost::asio::io_context& context,
               std::function<void(boost::asio::yield_context)> task);

}  // namespace bluebell::gateway
