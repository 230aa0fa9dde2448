#include "base/percent_encoding.h"

namespace bluebell {
namespace {

bool IsUnreserved(char c) {
  return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') ||
         (c >= '0' && c <= '9') || c == '-' || c == '.' || c == '_' || c == '~';
}

}  // namespace

std::string PercentEncode(std::string_view text, std::string_view kept) {
  constexpr char kDigits[] = "0123456789ABCDEF";
  std::string encoded;
  for (const char c : text) {
    if (IsUnreserved(c) || kept.find(c) != std::string_view::npos) {
      encoded += c;
      continue;
    }
    const auto byte = static_cast<unsigned char>(c);
    encoded += {'%', kDigits[byte / 16], kDigits[byte % 16]};
  }
  return encoded;
}

}  // namespace bluebell
