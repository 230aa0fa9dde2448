#include "gateway/listener_probe.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>

#include "base/address.h"

namespace bluebell::gateway {

const char* ToString(listener_state state) {
  switch (state) {
    case listener_state::kAccepting:
      return "accepting";
    case listener_state::kRefusing:
      return "refusing";
    case listener_state::kSilent:
      return "silent";
  }
  return "";
}

listener_state ProbeListener(boost::asio::io_context& context,
                             const std::string& address,
                             std::chrono::milliseconds timeout,
                             boost::asio::yield_context yield) {
  const auto target = ParseAddress(address);
  if (!target) return listener_state::kSilent;
  boost::beast::tcp_stream stream(context);
  boost::system::error_code ec;
  stream.expires_after(timeout);
  stream.async_connect(*target, yield[ec]);
  if (!ec) return listener_state::kAccepting;
  const bool refused = ec == boost::asio::error::connection_refused ||
                       ec == boost::asio::error::connection_reset;
  return refused ? listener_state::kRefusing : listener_state::kSilent;
}

}  // namespace bluebell::gateway
