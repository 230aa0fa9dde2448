#pragma once

#include <memory>
#include <string>

#include "ctl/admin_client.h"

namespace bluebell::ctl {

/// Returns a client that sends each request over a connection of its own. Each
/// wait is bounded: 2 s to connect, 20 s for the answer.
std::unique_ptr<admin_client> MakeHttpClient(const std::string& address,
                                             const std::string& operator_key);

}  // namespace bluebell::ctl
