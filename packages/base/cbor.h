#pragma once

#include <nlohmann/json.hpp>
#include <string_view>

namespace bluebell {

/// Parses a CBOR document from another process. Throws
/// `nlohmann::json::exception` if it is malformed, or nested deeper than any
/// message of this program: the parser recurses at each level.
nlohmann::json ParseCbor(std::string_view bytes);

}  // namespace bluebell
