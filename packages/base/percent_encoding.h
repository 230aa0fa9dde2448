#pragma once

#include <string>
#include <string_view>

namespace bluebell {

/// Percent-encodes each byte of `text` that is neither unreserved (RFC 3986,
/// section 2.3) nor in `kept`, so that a target holds it unchanged.
std::string PercentEncode(std::string_view text, std::string_view kept = {});

}  // namespace bluebell
