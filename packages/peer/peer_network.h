#pragma once

#include <functional>
#include <nlohmann/json.hpp>
#include <string>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"

namespace bluebell::peer {

/// Request and response messages between entry hosts.
///
/// `type` names a message of docs/design.md, section 2.7; `body` is the JSON
/// form of that message's struct and travels as CBOR.
class peer_network {
 public:
  using respond = std::function<void(nlohmann::json)>;
  /// Handles a request from `sender` and calls `answer` at most once,
  /// immediately or later.
  using handler = std::function<void(
      const host_id& sender, const nlohmann::json& body, respond answer)>;

  virtual ~peer_network() = default;

  /// Sends a request and calls `done` exactly once: with the answer, or with
  /// `kTimeout` (the peer may have handled it) or `kUnavailable` (nothing was
  /// sent).
  virtual void Request(const host_id& to, const std::string& type,
                       const nlohmann::json& body, clock::duration timeout,
                       std::function<void(result<nlohmann::json>)> done) = 0;
  virtual void SetHandler(const std::string& type, handler on_request) = 0;
};

}  // namespace bluebell::peer
