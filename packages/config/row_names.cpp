#include "config/row_names.h"

#include <algorithm>

namespace bluebell::config {
namespace {

constexpr std::size_t kMaxLength = 256;
constexpr std::size_t kDigestLength = 64;

bool IsNameCharacter(char c) {
  const bool letter = (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z');
  const bool digit = c >= '0' && c <= '9';
  return letter || digit || std::string("._:@+-").find(c) != std::string::npos;
}

}  // namespace

bool IsName(const std::string& text) {
  return !text.empty() && text.size() <= kMaxLength &&
         std::all_of(text.begin(), text.end(), IsNameCharacter);
}

bool IsRowId(const std::string& text) {
  if (text.size() > kMaxLength) return false;
  std::size_t begin = 0;
  while (true) {
    const std::size_t slash = text.find('/', begin);
    const std::string part = text.substr(begin, slash - begin);
    if (!IsName(part) || part == "." || part == "..") return false;
    if (slash == std::string::npos) return true;
    begin = slash + 1;
  }
}

bool IsKeyDigest(const std::string& text) {
  return text.size() == kDigestLength &&
         text.find_first_not_of("0123456789abcdef") == std::string::npos;
}

std::string PrintableName(const std::string& name) {
  const std::string keys = "keys/";
  if (name.compare(0, keys.size(), keys) != 0) return name;
  return IsKeyDigest(name.substr(keys.size())) ? name : keys + "(not a digest)";
}

}  // namespace bluebell::config
