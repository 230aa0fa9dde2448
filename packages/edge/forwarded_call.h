#pragma once

#include <cstdint>
#include <optional>
#include <string_view>

#include "base/ids.h"
#include "gateway/http_types.h"
#include "serving/serving_config.h"

namespace bluebell::edge {

/// What a host that reaches no engine has decided about a request before it
/// passes the request on to another host: the account, its quota and the
/// service are decided once.
struct forwarded_call {
  host_id from;
  /// Empty if the route requires none.
  account_id account;
  serving::service_id service;
  /// Configuration by which it was decided.
  std::uint64_t config_version = 0;
  /// Software version at which a resumable stream has to begin or go on. Empty
  /// for other requests, and if a build that names none passed it on.
  software_version software = software_version();
};

/// Adds the fields that carry `call` from one host to another.
void WriteForwardedCall(const forwarded_call& call,
                        gateway::http_fields& fields);
/// None if a field is missing or cannot be read.
std::optional<forwarded_call> ReadForwardedCall(
    const gateway::http_fields& fields);
/// Removes the fields that carry a call; callers may not set them.
gateway::http_request WithoutForwardedCall(gateway::http_request request);

/// Marks an answer by which the second host states that no engine has run the
/// request.
void MarkAsNotRun(gateway::http_response& answer);
bool IsMarkedAsNotRun(const gateway::http_response& answer);

}  // namespace bluebell::edge
