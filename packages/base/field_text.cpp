#include "base/field_text.h"

#include <algorithm>

namespace bluebell {
namespace {

constexpr char kDelete = '\x7f';

bool IsBlank(char c) { return c == ' ' || c == '\t'; }

bool IsControl(char c) {
  return static_cast<unsigned char>(c) < ' ' || c == kDelete;
}

}  // namespace

bool IsFieldText(std::string_view text) {
  if (text.empty()) return true;
  return !IsBlank(text.front()) && !IsBlank(text.back()) &&
         std::none_of(text.begin(), text.end(),
                      [](char c) { return IsControl(c) && c != '\t'; });
}

}  // namespace bluebell
