#include "base/digest.h"

#include <fmt/format.h>
#include <openssl/evp.h>
#include <openssl/rand.h>
#include <xxhash.h>

#include <array>
#include <stdexcept>

namespace bluebell {
namespace {

std::string ToHex(const unsigned char* bytes, std::size_t size) {
  std::string text;
  text.reserve(size * 2);
  for (std::size_t i = 0; i < size; ++i) {
    fmt::format_to(std::back_inserter(text), "{:02x}", bytes[i]);
  }
  return text;
}

}  // namespace

std::string Sha256Hex(std::string_view data) {
  std::array<unsigned char, EVP_MAX_MD_SIZE> digest{};
  unsigned int size = 0;
  if (EVP_Digest(data.data(), data.size(), digest.data(), &size, EVP_sha256(),
                 nullptr) != 1) {
    throw std::runtime_error("SHA-256 failed");
  }
  return ToHex(digest.data(), size);
}

std::uint64_t Hash64(std::string_view data, std::uint64_t seed) {
  return XXH64(data.data(), data.size(), seed);
}

std::string MakeUniqueId() {
  std::array<unsigned char, 16> bytes{};
  if (RAND_bytes(bytes.data(), static_cast<int>(bytes.size())) != 1) {
    throw std::runtime_error("no random bytes");
  }
  return ToHex(bytes.data(), bytes.size());
}

}  // namespace bluebell
