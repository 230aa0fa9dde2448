#pragma once

#include <cstddef>
#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>

#include "base/result.h"

namespace bluebell::peer {

/// Largest frame that a host sends or accepts.
constexpr std::size_t kMaxFrameBytes = 2'000'000;

/// One message between hosts: a request when `type` is set, else an answer.
struct frame {
  /// Matches an answer to its request on the same connection.
  std::uint64_t correlation = 0;
  std::string type;
  nlohmann::json body;
};

/// CBOR form of `message`. Fails with `kTooLarge` above `kMaxFrameBytes`.
result<std::string> EncodeFrame(const frame& message);

/// Fails with `kInvalidArgument` if `data` is not a frame: not CBOR, nested
/// too deeply, text that is not UTF-8, or a wrong field.
result<frame> DecodeFrame(const std::string& data);

}  // namespace bluebell::peer
