#pragma once

#include <boost/asio/io_context.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"

namespace bluebell::gateway {

/// Response to a JSON call; `body` is a discarded value if it is not JSON.
struct json_response {
  int status = 0;
  nlohmann::json body;
};

/// Sends one HTTP request with a JSON body (null for none) over a new
/// connection and calls `done` exactly once. The whole call takes at most
/// `timeout`. Errors: `kUnavailable` (the connection was refused; nothing was
/// sent), `kTimeout` and `kOutcomeUnknown`.
void CallJson(boost::asio::io_context& context, const std::string& method,
              const std::string& address, const std::string& path,
              const nlohmann::json& body, std::chrono::milliseconds timeout,
              std::function<void(result<json_response>)> done);

}  // namespace bluebell::gateway
