#pragma once

#include <boost/asio/spawn.hpp>
#include <optional>
#include <string>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Applies what an answer from the address of `engine` states of it. `sent`:
/// when its request was sent, if the engine has run it; only such an answer
/// shows that the engine takes any number of requests again.
void OnEngineAnswer(edge_state& host, const endpoint_id& engine,
                    const http_response& head,
                    std::optional<clock::time_point> sent = std::nullopt);

/// Applies what `sender` has heard of the limit of an engine, and sent `late`
/// ago.
void OnLimitNotice(edge_state& host, const std::string& sender,
                   const serving::limit_notice& notice, clock::duration late);

/// Takes a permit to send `engine` one request of any kind. May suspend the
/// coroutine while the engine's permit owner is asked.
serving::send_permit TakePermit(edge_state& host, const endpoint_id& engine,
                                boost::asio::yield_context yield);

}  // namespace bluebell::edge
