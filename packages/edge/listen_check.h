#pragma once

#include <boost/asio/io_context.hpp>
#include <optional>
#include <string>

#include "edge/edge_settings.h"

namespace bluebell::edge {

/// Binds each listen address of the host and releases it again, without
/// accepting connections. Returns the first that cannot be bound and why, or
/// nothing.
std::optional<std::string> UnavailableAddress(boost::asio::io_context& context,
                                              const edge_settings& settings);

}  // namespace bluebell::edge
