#pragma once

#include <string>

#include "edge/edge_state.h"
#include "gateway/endpoint_connection.h"

namespace bluebell::edge {

/// Logs and counts that the connection to `peer` of `kind` (`engine`, `host`,
/// `store`, `caller`) was closed for `cause`.
void ReportCutOff(edge_state& host, const char* kind, const std::string& peer,
                  gateway::excess cause);

/// The same if `used` was cut off; it may be null.
void ReportCutOff(edge_state& host, const char* kind, const std::string& peer,
                  const gateway::endpoint_connection* used);

}  // namespace bluebell::edge
