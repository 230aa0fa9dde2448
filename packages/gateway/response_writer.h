#pragma once

#include <boost/asio/spawn.hpp>
#include <cstdint>
#include <functional>
#include <string_view>

#include "gateway/http_types.h"

namespace bluebell::gateway {

/// How much of a response was written to the caller's connection.
enum class response_progress { kNone, kPartial, kComplete };

/// Position of a request on its caller's connection, for logs.
struct connection_position {
  /// Unique among the connections of one listener.
  std::uint64_t connection = 0;
  /// Number of requests read from the connection, including this one.
  int requests = 0;
};

/// Writes the response to one request: a complete response or a stream.
class response_writer {
 public:
  virtual ~response_writer() = default;

  virtual void SendResponse(const http_response& response,
                            boost::asio::yield_context yield) = 0;
  /// Sends status and header fields; the body follows in chunks.
  virtual void StartStream(const http_response& head,
                           boost::asio::yield_context yield) = 0;
  virtual void SendChunk(std::string_view chunk,
                         boost::asio::yield_context yield) = 0;
  /// Marks the body as complete.
  virtual void FinishStream(boost::asio::yield_context yield) = 0;
  /// Closes the connection without marking the body as complete, so that the
  /// caller sees a transport error instead of a truncated response.
  virtual void AbortStream() = 0;

  virtual response_progress progress() const = 0;
  virtual connection_position position() const = 0;
  /// Whether anything was sent to the caller.
  virtual bool started() const = 0;
  /// Whether the caller closed its connection.
  virtual bool caller_disconnected() const = 0;
  /// Calls `callback` when the caller closes its connection. Replaces any
  /// previous callback.
  virtual void OnCallerDisconnect(std::function<void()> callback) = 0;
};

}  // namespace bluebell::gateway
