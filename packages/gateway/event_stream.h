#pragma once

#include <string>
#include <string_view>
#include <vector>

namespace bluebell::gateway {

/// Splits the bytes of a server-sent event stream into the data of its events.
class event_stream_parser {
 public:
  /// Appends bytes and returns the data of each event completed by them.
  std::vector<std::string> Feed(std::string_view bytes);
  /// Bytes of an event that is not complete yet.
  std::size_t pending() const { return buffer_.size(); }

 private:
  std::string buffer_;
};

/// Formats `data` as a server-sent event.
std::string ToEvent(std::string_view data);

/// Data of the event that marks the end of a stream.
constexpr std::string_view kStreamEnd = "[DONE]";

}  // namespace bluebell::gateway
