#include "edge/stream_events.h"

#include <algorithm>

namespace bluebell::edge {

std::size_t CompleteEvents(const std::string& bytes) {
  const auto lf_end = bytes.rfind("\n\n");
  const auto crlf_end = bytes.rfind("\r\n\r\n");
  std::size_t end = 0;
  if (lf_end != std::string::npos) end = lf_end + 2;
  if (crlf_end != std::string::npos) end = std::max(end, crlf_end + 4);
  return end;
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
