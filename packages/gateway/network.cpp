#include "gateway/network.h"

#include <boost/lexical_cast/try_lexical_convert.hpp>
#include <cstdint>
#include <utility>

namespace bluebell::gateway {
namespace {

namespace asio = boost::asio;

// Leaves room for the larger frames of sanitizer builds. Pages that are never
// touched take no memory.
constexpr std::size_t kStackBytes = 512 * 1024;

}  // namespace

result<asio::ip::tcp::endpoint> ParseAddress(const std::string& address) {
  const std::size_t colon = address.rfind(':');
  if (colon == std::string::npos) {
    return Fail(error_code::kInvalidArgument, address + " is not IPv4:port");
  }
  boost::system::error_code failed;
  const auto ip = asio::ip::make_address_v4(address.substr(0, colon), failed);
  std::uint16_t port = 0;
  if (failed || !boost::conversion::try_lexical_convert(
                    address.substr(colon + 1), port)) {
    return Fail(error_code::kInvalidArgument, address + " is not IPv4:port");
  }
  return asio::ip::tcp::endpoint(ip, port);
}

void DisableNagle(asio::ip::tcp::socket& socket) {
  boost::system::error_code ignored;
  socket.set_option(asio::ip::tcp::no_delay(true), ignored);
}

void SpawnTask(asio::io_context& context,
               std::function<void(asio::yield_context)> task) {
  asio::spawn(
      context,
      [task = std::move(task)](asio::yield_context yield) { task(yield); },
      boost::coroutines::attributes(kStackBytes));
}

}  // namespace bluebell::gateway
