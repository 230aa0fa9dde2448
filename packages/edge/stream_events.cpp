#include "edge/stream_events.h"

#include <algorithm>
#include <string_view>

namespace bluebell::edge {

std::size_t CompleteEvents(const std::string& bytes, std::size_t scanned) {
  // A terminator may begin in the bytes that were scanned before.
  constexpr std::size_t kLongestTerminator = 3;
  const std::size_t from =
      scanned < kLongestTerminator ? 0 : scanned - kLongestTerminator + 1;
  const std::string_view rest = std::string_view(bytes).substr(from);
  // The line before the blank one may end in CRLF, too.
  const auto lf_end = rest.rfind("\n\n");
  const auto crlf_end = rest.rfind("\n\r\n");
  std::size_t end = 0;
  if (lf_end != std::string_view::npos) end = from + lf_end + 2;
  if (crlf_end != std::string_view::npos) {
    end = std::max(end, from + crlf_end + 3);
  }
  return end;
}

bool HoldsPartOfEvent(const std::string& rest) {
  std::size_t line = 0;
  while (line < rest.size()) {
    const auto end = rest.find('\n', line);
    const bool whole = end != std::string::npos;
    const bool comment = whole && rest[line] == ':';
    const bool blank =
        rest[line] == '\n' || rest.compare(line, end - line, "\r") == 0;
    if (!comment && !blank) return true;
    if (!whole) break;
    line = end + 1;
  }
  return false;
}

int CountEvents(const std::string& events) {
  int count = 0;
  // Ignoring CR makes LF and CRLF line endings equivalent.
  bool line_empty = false;
  for (const char byte : events) {
    if (byte == '\r') continue;
    if (byte != '\n') {
      line_empty = false;
    } else {
      if (line_empty) ++count;
      line_empty = true;
    }
  }
  return count;
}

std::string LastEventId(const std::string& events) {
  std::string id;
  std::size_t line = 0;
  while (line < events.size()) {
    auto end = events.find('\n', line);
    if (end == std::string::npos) end = events.size();
    if (events.compare(line, 3, "id:") == 0) {
      auto value = events.find_first_not_of(' ', line + 3);
      if (value < end) id = events.substr(value, end - value);
      if (!id.empty() && id.back() == '\r') id.pop_back();
    }
    line = end + 1;
  }
  return id;
}

}  // namespace bluebell::edge
