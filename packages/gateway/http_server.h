#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "base/problem.h"
#include "base/result.h"
#include "gateway/connection_status.h"
#include "gateway/http_limits.h"
#include "gateway/http_types.h"
#include "gateway/response_writer.h"

namespace bluebell::gateway {

/// Number of descriptors that the process may open.
std::size_t DescriptorLimit();

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
