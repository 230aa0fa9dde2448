#pragma once

#include <boost/system/error_code.hpp>
#include <optional>

#include "base/problem.h"
#include "gateway/connection_status.h"

namespace bluebell::gateway {

/// Maps a failed read of a request to the problem sent to the caller; empty if
/// the connection is closed without a response.
std::optional<problem_code> ToProblem(const boost::system::error_code& ec);

/// Why a connection ends after a failed read. `head_read`: the head of the
/// request was read in full.
connection_cause ToCause(const boost::system::error_code& ec, bool head_read);

}  // namespace bluebell::gateway
