#pragma once

#include <boost/asio/spawn.hpp>

#include "edge/edge_state.h"
#include "gateway/response_writer.h"

namespace bluebell::edge {

/// Serves one caller's request: finds its route and account, enforces the
/// limits, chooses an engine, forwards the request and relays the answer.
///
/// A refusal (429 or 503) is sent only if no engine has run the request and
/// none will. Once a byte of a non-repeatable request was sent, a refusal or
/// another engine is allowed only if the engine states that it did not run it.
void RelayRequest(edge_state& host, const http_request& received,
                  gateway::response_writer& sink,
                  boost::asio::yield_context yield);

/// Serves a request that a host without engines passes on, and that it has
/// admitted. Only hosts that the store lists are accepted; a refusal is marked
/// as not run, so that the sender may ask another host.
void RelayForwarded(edge_state& host, const http_request& received,
                    gateway::response_writer& sink,
                    boost::asio::yield_context yield);

/// Ends every open request because the process stops: one without an answer yet
/// is answered as failed, a stream is broken off.
void EndOpenRequests(edge_state& host);

}  // namespace bluebell::edge
