#include "gateway/network.h"

#include <exception>
#include <iostream>
#include <utility>

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;

// Sized for the larger stack frames of sanitizer builds. Untouched pages use
// no memory.
constexpr std::size_t kStackBytes = 512 * 1024;

}  // namespace

void DisableNagle(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void SpawnTask(asio::io_context& context,
               std::function<void(asio::yield_context)> task) {
  asio::spawn(
      context,
      [task = std::move(task)](asio::yield_context yield) {
        try {
          task(yield);
        } catch (const std::exception& failure) {
          std::cerr << "task ended by an exception: " << failure.what()
                    << std::endl;
        }
      },
      boost::coroutines::attributes(kStackBytes));
}

}  // namespace bluebell::gateway
