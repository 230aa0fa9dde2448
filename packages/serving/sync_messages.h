#pragma once

#include <chrono>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

#include "base/ids.h"
#include "base/result.h"
#include "serving/record_log.h"

namespace bluebell::serving {

/// Question of a host that follows another's reads of the store.
struct sync_question {
  /// Returned in the answer; tells the asker when it asked.
  std::uint64_t number = 0;
  /// The asker's copy of the answerer's log.
  std::string log;
  std::uint64_t position = 0;
};

/// Answer of a host that reads the store itself.
struct sync_answer {
  std::uint64_t number = 0;
  /// Version of the configuration, and how long ago a read that confirmed it
  /// was sent. None if the answerer does not know.
  std::uint64_t config_version = 0;
  std::optional<std::chrono::milliseconds> config_age;
  record_delta records;
};

std::string EncodeQuestion(const sync_question& question);
std::string EncodeAnswer(const sync_answer& answer);
/// Errors `kInvalidArgument`.
result<sync_question> DecodeQuestion(std::string_view bytes);
result<sync_answer> DecodeAnswer(std::string_view bytes);

}  // namespace bluebell::serving
