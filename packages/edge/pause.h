#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <boost/asio/steady_timer.hpp>
#include <chrono>

namespace bluebell::edge {

/// Suspends the coroutine for `span`.
inline void Pause(boost::asio::io_context& io, std::chrono::milliseconds span,
                  boost::asio::yield_context yield) {
  boost::asio::steady_timer timer(io, span);
  boost::system::error_code ignored;
  timer.async_wait(yield[ignored]);
}

}  // namespace bluebell::edge
