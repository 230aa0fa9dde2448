#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "base/byte_budget.h"
#include "base/problem.h"
#include "base/result.h"
#include "gateway/http_types.h"
#include "gateway/response_writer.h"

namespace bluebell::gateway {

/// Size and time limits for requests and responses on a connection.
struct http_limits {
  std::uint32_t max_header_bytes = 16 * 1024;
  std::uint64_t max_body_bytes = 1024 * 1024;
  std::chrono::milliseconds header_timeout{10'000};
  std::chrono::milliseconds body_timeout{30'000};
  /// Wait for the next request on an open connection.
  std::chrono::milliseconds idle_timeout{60'000};
  /// Timeout of one write to the caller.
  std::chrono::milliseconds write_timeout{30'000};
  /// Budget for what all connections hold; none: no limit over all.
  std::shared_ptr<byte_budget> memory;
  /// Connections that are open at once; 0: half of the descriptors that the
  /// process may open. Idle connections make room for new ones.
  std::size_t max_connections = 0;
};

/// Number of descriptors that the process may open.
std::size_t DescriptorLimit();

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

/// HTTP/1.1 listener. A coroutine reads each request and calls the handler;
/// a connection that waits for the first byte of a request holds none.
class http_server {
 public:
  using handler = std::function<void(const http_request&, response_writer&,
                                     boost::asio::yield_context)>;
  /// Creates the response to a request that cannot be read.
  using error_handler =
      std::function<http_response(problem_code, std::string detail)>;

  /// Listens on `address` (`IPv4:port`). Errors: `kInvalidArgument`,
  /// `kUnavailable` (the address is in use or not local).
  static result<std::unique_ptr<http_server>> Listen(
      boost::asio::io_context& context, const std::string& address,
      http_limits limits, handler on_request, error_handler on_request_error);

  ~http_server();

  /// Port in use; differs from the requested one if that was 0.
  std::uint16_t port() const;
  /// Requests in progress.
  std::size_t open_requests() const;
  std::size_t open_connections() const;
  std::vector<connection_status> Connections() const;
  /// Sets a function that is called with the last status of each connection
  /// that ends. The request in it is valid during the call.
  void OnConnectionEnd(std::function<void(const connection_status&)> callback);
  /// Sets a function that is called for each connection that is closed, or not
  /// accepted, for want of descriptors or memory.
  void OnRefusal(
      std::function<void(refusal reason, const std::string& detail)> callback);

  /// Replaces the limits for subsequent requests.
  void SetLimits(const http_limits& limits);
  /// Adds `Connection: close` to subsequent responses.
  void CloseAfterResponses();
  /// Stops accepting connections and closes those that are idle for `linger`;
  /// requests in progress continue.
  void StopAccepting(std::chrono::milliseconds linger);

  struct state;

 private:
  explicit http_server(std::shared_ptr<state> shared);

  std::shared_ptr<state> state_;
};

}  // namespace bluebell::gateway
