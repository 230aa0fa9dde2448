#pragma once

#include "base/result.h"

namespace bluebell {

/// Error `kOutcomeUnknown` if no response can have `status`: only 100 to 599
/// exist (RFC 9110, section 15), and 101 answers a request to change the
/// protocol, which no reader here sends. Such a response proves nothing, and
/// its connection must not be used again.
result<void> CheckStatus(int status);

}  // namespace bluebell
