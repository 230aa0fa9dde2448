#include "edge/listen_check.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include "base/address.h"

namespace bluebell::edge {
namespace {

namespace asio = boost::asio;
using asio::ip::tcp;
using asio::ip::udp;
using failure = boost::system::error_code;

failure BindTcp(asio::io_context& context, const tcp::endpoint& endpoint) {
  tcp::acceptor acceptor(context);
  failure ec;
  acceptor.open(tcp::v4(), ec);
  // Connections of an earlier process may still be closing.
  if (!ec) acceptor.set_option(tcp::acceptor::reuse_address(true), ec);
  if (!ec) acceptor.bind(endpoint, ec);
  return ec;
}

// Without `reuse_address`: two processes could share the address, and only one
// of them would get its datagrams.
failure BindUdp(asio::io_context& context, const tcp::endpoint& endpoint) {
  udp::socket socket(context);
  failure ec;
  socket.open(udp::v4(), ec);
  if (!ec) socket.bind({endpoint.address(), endpoint.port()}, ec);
  return ec;
}

}  // namespace

std::optional<std::string> UnavailableAddress(asio::io_context& context,
                                              const edge_settings& settings) {
  const struct {
    const char* key;
    const std::string& address;
    failure (*bind)(asio::io_context&, const tcp::endpoint&);
  } listeners[] = {
      {"callers", settings.callers_listen, BindTcp},
      {"ready", settings.ready_listen, BindTcp},
      {"directory", settings.directory_listen, BindTcp},
      {"metrics", settings.metrics_listen, BindTcp},
      {"digests", settings.digest_listen, BindUdp},
      {"forwards", settings.forwards_listen, BindTcp},
  };
  for (const auto& listener : listeners) {
    const auto endpoint = ParseAddress(listener.address);
    if (!endpoint) return endpoint.error().detail;
    const auto ec = listener.bind(context, *endpoint);
    if (ec) {
      return std::string("[listen] ") + listener.key + " = " +
             listener.address + ": " + ec.message();
    }
  }
  return std::nullopt;
}

}  // namespace bluebell::edge
