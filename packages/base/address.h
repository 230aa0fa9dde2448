#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <string>

#include "base/result.h"

namespace bluebell {

/// Parses `IPv4:port`; port 0 stands for any free port. Error
/// `kInvalidArgument`.
result<boost::asio::ip::tcp::endpoint> ParseAddress(const std::string& text);

/// Whether `text` is `IPv4:port` with a port above 0.
bool IsAddress(const std::string& text);

}  // namespace bluebell
