#pragma once

#include <boost/asio/ip/tcp.hpp>

namespace bluebell::gateway {

/// What a socket has to read.
enum class socket_input { kNothing, kBytes, kEnd };

/// Looks at a socket without reading from it or waiting.
socket_input Peek(boost::asio::ip::tcp::socket& socket);

/// Whether the peer has not acknowledged all that was written; false if the
/// system does not tell.
bool HasUnsentBytes(boost::asio::ip::tcp::socket& socket);

}  // namespace bluebell::gateway
