#pragma once

#include <boost/asio/spawn.hpp>
#include <optional>
#include <string>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Applies what an answer from the address of `engine` states about it. `sent`:
/// send time of the request, if the engine has run it; only such an answer can
/// end a limit.
void OnEngineAnswer(edge_state& host, const endpoint_id& engine,
                    const http_response& head,
                    std::optional<clock::time_point> sent = std::nullopt);

/// Applies a limit that `sender` reported `late` ago.
void OnLimitNotice(edge_state& host, const std::string& sender,
                   const serving::limit_notice& notice, clock::duration late);

/// Applies the cold periods of records that have been read; waits for the
/// configuration, which has the rates.
void OnColdRecords(edge_state& host);

/// Logs which engines have turned cold or are no longer cold, as known from
/// `source`.
void LogColdChanges(edge_state& host, const std::string& source);

/// Applies what `sender` reported of a brittle service `late` ago.
void OnBrittleNotice(edge_state& host, const std::string& sender,
                     const serving::brittle_notice& notice,
                     clock::duration late);

/// Takes a permit to send `engine` one request of any kind. May suspend the
/// coroutine for a request to the engine's permit owner.
serving::send_permit TakePermit(edge_state& host, const endpoint_id& engine,
                                boost::asio::yield_context yield);

}  // namespace bluebell::edge
