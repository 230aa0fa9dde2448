#pragma once

#include <string_view>

namespace bluebell {

/// Whether `text` is valid UTF-8 (RFC 3629), which JSON strings must be.
bool IsUtf8(std::string_view text);

}  // namespace bluebell
