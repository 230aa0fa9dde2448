#pragma once

#include <optional>
#include <string>

#include "base/problem.h"
#include "gateway/http_types.h"
#include "gateway/response_writer.h"

namespace bluebell::gateway {

enum class connection_phase {
  /// Waits for the first byte of a request.
  kIdle,
  /// Has read part of a request.
  kReading,
  /// The handler serves a request.
  kServing,
  /// The last response was sent, or the caller closed the connection.
  kClosing,
};

const char* ToString(connection_phase phase);

/// Why a connection ended.
enum class connection_cause {
  /// It is still open.
  kNone,
  /// Its last response was sent, and one side asked to close.
  kAnswered,
  kCallerClosed,
  kReadFailed,
  kIdleTimeout,
  kHeadTimeout,
  kBodyTimeout,
  kWriteTimeout,
  kWriteFailed,
  /// The request is malformed or larger than the limits.
  kRejected,
  kNoMemory,
  /// The handler ended the response before it was complete.
  kAborted,
  /// The handler gave no response.
  kNoAnswer,
  kException,
  /// Idle, and closed for a new connection; or incomplete, and closed for the
  /// memory of another request.
  kMadeRoom,
  /// Idle when the server stopped to accept connections.
  kStopped,
};

const char* ToString(connection_cause cause);

struct connection_status {
  connection_position position;
  connection_phase phase = connection_phase::kIdle;
  connection_cause cause = connection_cause::kNone;
  /// Error of the operating system or exception, if any.
  std::string detail;
  /// Bytes that the caller sent were not read when the connection was closed.
  bool unread = false;
  /// The request that is being served; null if there is none.
  const http_request* request = nullptr;
  /// Why the connection was closed for the size of a request.
  std::optional<problem_code> cut_off;
  /// Address of the peer, `IPv4:port`; set with `cut_off`.
  std::string peer;
};

/// Why a connection was not served at all.
enum class refusal { kNoRoom, kNoMemory, kAcceptFailed };

const char* ToString(refusal reason);

}  // namespace bluebell::gateway
