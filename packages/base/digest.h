#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace bluebell {

/// SHA-256 of `data` as 64 lower-case hexadecimal digits.
/// Throws `std::runtime_error` if the cryptography library fails.
std::string Sha256Hex(std::string_view data);

/// Fast non-cryptographic hash, equal on all hosts.
std::uint64_t Hash64(std::string_view data, std::uint64_t seed = 0);

/// A random identifier of 32 hexadecimal digits that does not repeat across
/// hosts and restarts.
std::string MakeUniqueId();

}  // namespace bluebell
