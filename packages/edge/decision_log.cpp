#include "edge/decision_log.h"

#include <fcntl.h>
#include <fmt/format.h>
#include <unistd.h>

#include <algorithm>

namespace bluebell::edge {
namespace {

void AppendQuoted(std::string& line, std::string_view text) {
  line += '"';
  for (const char c : text) {
    if (c == '"' || c == '\\') line += '\\';
    // Some values come from callers, so control characters are replaced.
    line += static_cast<unsigned char>(c) < 0x20 ? ' ' : c;
  }
  line += '"';
}

}  // namespace

decision_log::decision_log(const clock& source, host_id host)
    : clock_(source), host_(std::move(host)), refilled_at_(source.now()) {
  const int flags = fcntl(STDOUT_FILENO, F_GETFL);
  if (flags >= 0) fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
}

void decision_log::Write(std::string_view event,
                         std::initializer_list<log_field> fields) {
  if (!TakeToken()) {
    ++dropped_;
    return;
  }
  const auto wall = std::chrono::duration_cast<std::chrono::milliseconds>(
      clock_.wall_now().time_since_epoch());
  std::string line = fmt::format(R"({{"time_ms":{},"host":)", wall.count());
  AppendQuoted(line, host_.value());
  line += R"(,"event":)";
  AppendQuoted(line, event);
  for (const auto& [name, value] : fields) {
    line += ',';
    AppendQuoted(line, name);
    line += ':';
    AppendQuoted(line, value);
  }
  if (dropped_ != reported_dropped_) {
    line += fmt::format(R"(,"lines_dropped":"{}")", dropped_);
    reported_dropped_ = dropped_;
  }
  line += "}\n";
  if (!WriteLine(line)) ++dropped_;
}

bool decision_log::TakeToken() {
  const auto now = clock_.now();
  const std::chrono::duration<double> passed = now - refilled_at_;
  refilled_at_ = now;
  tokens_ = std::min(kBurstLines, tokens_ + kLinesPerSecond * passed.count());
  if (tokens_ < 1) return false;
  tokens_ -= 1;
  return true;
}

// Completes a partially written line before starting another.
bool decision_log::WriteLine(const std::string& line) {
  if (!unsent_.empty()) {
    const ssize_t sent = write(STDOUT_FILENO, unsent_.data(), unsent_.size());
    if (sent > 0) unsent_.erase(0, static_cast<std::size_t>(sent));
    if (!unsent_.empty()) return false;
  }
  const ssize_t sent = write(STDOUT_FILENO, line.data(), line.size());
  if (sent < 0) return false;
  unsent_ = line.substr(static_cast<std::size_t>(sent));
  return true;
}

}  // namespace bluebell::edge
