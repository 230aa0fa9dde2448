#include "base/utf8.h"

#include <cstddef>

namespace bluebell {
namespace {

struct sequence {
  std::size_t length = 0;
  /// Range of the second byte.
  unsigned char low = 0x80;
  unsigned char high = 0xBF;
};

sequence SequenceOf(unsigned char first) {
  if (first < 0x80) return {1};
  if (first >= 0xC2 && first <= 0xDF) return {2};
  if (first == 0xE0) return {3, 0xA0};
  if (first == 0xED) return {3, 0x80, 0x9F};
  if (first >= 0xE1 && first <= 0xEF) return {3};
  if (first == 0xF0) return {4, 0x90};
  if (first >= 0xF1 && first <= 0xF3) return {4};
  if (first == 0xF4) return {4, 0x80, 0x8F};
  return {};
}

}  // namespace

bool IsUtf8(std::string_view text) {
  for (std::size_t i = 0; i < text.size();) {
    const auto expected = SequenceOf(static_cast<unsigned char>(text[i]));
    if (expected.length == 0 || i + expected.length > text.size()) return false;
    for (std::size_t k = 1; k < expected.length; ++k) {
      const auto byte = static_cast<unsigned char>(text[i + k]);
      const unsigned char low = k == 1 ? expected.low : 0x80;
      const unsigned char high = k == 1 ? expected.high : 0xBF;
      if (byte < low || byte > high) return false;
    }
    i += expected.length;
  }
  return true;
}

}  // namespace bluebell
