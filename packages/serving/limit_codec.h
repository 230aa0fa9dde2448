#pragma once

#include <nlohmann/json.hpp>

#include "serving/engine_limits.h"

namespace bluebell::serving {

/// `limit_notice` in datagrams between hosts. Ages are rounded up to whole
/// milliseconds, because a limit must not appear newer than it is.
nlohmann::json EncodeLimit(const limit_notice& notice);
/// Throws `nlohmann::json::exception` if `row` is no notice.
limit_notice DecodeLimit(const nlohmann::json& row);

}  // namespace bluebell::serving
