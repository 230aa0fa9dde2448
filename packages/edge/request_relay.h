#pragma once

#include <boost/asio/spawn.hpp>

#include "edge/edge_state.h"
#include "gateway/response_writer.h"

namespace bluebell::edge {

/// Serves one caller's request: finds its route and account, keeps the limits,
/// chooses an engine, passes the request on and relays the answer.
///
/// A refusal (429 or 503) is sent only if no engine has run the request and
/// none will. After a byte of a request that must not be repeated was sent,
/// only the engine's own statement that it did not run it allows a refusal or
/// another engine.
void RelayRequest(edge_state& host, const http_request& received,
                  gateway::response_writer& sink,
                  boost::asio::yield_context yield);

}  // namespace bluebell::edge
