#include "gateway/event_stream.h"

#include <algorithm>
#include <optional>

namespace bluebell::gateway {
namespace {

constexpr std::string_view kDataField = "data:";

// Joins the data lines of one event; empty if it has only comments and other
// fields.
std::optional<std::string> EventData(std::string_view lines) {
  std::optional<std::string> data;
  while (!lines.empty()) {
    const std::size_t end = std::min(lines.find('\n'), lines.size());
    std::string_view line = lines.substr(0, end);
    lines.remove_prefix(std::min(end + 1, lines.size()));
    if (line.substr(0, kDataField.size()) != kDataField) continue;
    line.remove_prefix(kDataField.size());
    if (!line.empty() && line.front() == ' ') line.remove_prefix(1);
    if (data) {
      *data += '\n';
      data->append(line);
    } else {
      data = std::string(line);
    }
  }
  return data;
}

}  // namespace

std::vector<std::string> event_stream_parser::Feed(std::string_view bytes) {
  for (const char byte : bytes) {
    if (byte != '\r') buffer_ += byte;
  }
  std::vector<std::string> events;
  std::size_t start = 0;
  for (std::size_t end = buffer_.find("\n\n"); end != std::string::npos;
       end = buffer_.find("\n\n", start)) {
    const std::string_view lines(buffer_.data() + start, end - start);
    if (auto data = EventData(lines)) events.push_back(std::move(*data));
    start = end + 2;
  }
  buffer_.erase(0, start);
  return events;
}

std::string ToEvent(std::string_view data) {
  return "data: " + std::string(data) + "\n\n";
}

}  // namespace bluebell::gateway
