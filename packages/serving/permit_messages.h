#pragma once

#include <cstdint>
#include <string>
#include <string_view>

#include "base/result.h"
#include "serving/engine_limits.h"

namespace bluebell::serving {

/// Requests a permit from an engine's permit owner.
struct permit_request {
  /// Returned in the response.
  std::uint64_t number = 0;
  /// The limit, in case it is new to the owner.
  limit_notice limit;
};

struct permit_response {
  std::uint64_t number = 0;
  send_permit permit;
};

std::string EncodePermitRequest(const permit_request& request);
std::string EncodePermitResponse(const permit_response& response);
/// Errors `kInvalidArgument`.
result<permit_request> DecodePermitRequest(std::string_view bytes);
result<permit_response> DecodePermitResponse(std::string_view bytes);

}  // namespace bluebell::serving
