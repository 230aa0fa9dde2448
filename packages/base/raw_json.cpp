#include "base/raw_json.h"

#include <string>

#include "base/nested_json.h"

namespace bluebell {
namespace {

// Calls `visit` with the position of each byte of JSON text that is not within
// a string. Reads no values, so that it accepts what no reader does.
template <class Visitor>
void VisitOutsideStrings(std::string_view text, Visitor visit) {
  bool in_string = false;
  for (std::size_t i = 0; i < text.size(); ++i) {
    const char byte = text[i];
    if (in_string) {
      if (byte == '\\') ++i;
      if (byte == '"') in_string = false;
      continue;
    }
    if (byte == '"') in_string = true;
    visit(i);
  }
}

bool Opens(char byte) { return byte == '{' || byte == '['; }
bool Closes(char byte) { return byte == '}' || byte == ']'; }

std::string_view TrimSpace(std::string_view text) {
  constexpr std::string_view kSpace = " \t\r\n";
  const auto begin = text.find_first_not_of(kSpace);
  if (begin == std::string_view::npos) return {};
  return text.substr(begin, text.find_last_not_of(kSpace) - begin + 1);
}

// The members of an object, or the elements of an array.
std::vector<std::string_view> Parts(std::string_view text) {
  std::vector<std::string_view> parts;
  int depth = 0;
  std::size_t begin = 0;
  VisitOutsideStrings(text, [&](std::size_t i) {
    const char byte = text[i];
    if (Opens(byte) && ++depth == 1) begin = i + 1;
    if (depth == 1 && (byte == ',' || Closes(byte))) {
      const auto part = TrimSpace(text.substr(begin, i - begin));
      if (!part.empty()) parts.push_back(part);
      begin = i + 1;
    }
    if (Closes(byte)) --depth;
  });
  return parts;
}

}  // namespace

std::vector<std::string_view> RawElements(std::string_view text) {
  text = TrimSpace(text);
  if (text.empty() || text.front() != '[') return {};
  return Parts(text);
}

std::string_view RawMember(std::string_view text, std::string_view key) {
  text = TrimSpace(text);
  if (text.empty() || text.front() != '{') return {};
  const std::string quoted = '"' + std::string(key) + '"';
  for (const auto member : Parts(text)) {
    if (member.substr(0, quoted.size()) != quoted) continue;
    const auto rest = TrimSpace(member.substr(quoted.size()));
    if (!rest.empty() && rest.front() == ':') return TrimSpace(rest.substr(1));
  }
  return {};
}

nlohmann::json ReadMember(std::string_view text, std::string_view key) {
  const auto member = RawMember(text, key);
  return member.empty() ? nlohmann::json() : ParseJson(member);
}

std::optional<std::uint64_t> ReadUnsigned(std::string_view text,
                                          std::string_view key) {
  const auto number = ReadMember(text, key);
  if (!number.is_number_unsigned()) return std::nullopt;
  return number.get<std::uint64_t>();
}

}  // namespace bluebell
