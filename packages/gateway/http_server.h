#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <chrono>
#include <functional>
#include <memory>
#include <string>

#include "base/problem.h"
#include "base/result.h"
#include "gateway/answer_sink.h"
#include "gateway/http_types.h"

namespace bluebell::gateway {

/// Bounds on what a caller may send and how long it may take.
struct http_limits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 1024 * 1024;
  std::chrono::milliseconds header_time{10'000};
  std::chrono::milliseconds body_time{30'000};
  /// Wait for the next request on an open connection.
  std::chrono::milliseconds idle_time{60'000};
  /// Wait for the caller to take bytes of an answer.
  std::chrono::milliseconds write_time{30'000};
};

/// HTTP/1.1 listener. Each connection is a coroutine that reads one request,
/// calls the handler and goes on until either side closes.
class http_server {
 public:
  using handler = std::function<void(const http_request&, answer_sink&,
                                     boost::asio::yield_context)>;
  /// Turns a request that cannot be read into the answer for the caller.
  using refuse = std::function<http_answer(problem_code, std::string detail)>;

  /// Listens on `address` (`IPv4:port`). Errors: `kInvalidArgument`,
  /// `kUnavailable` (the address is in use or not local).
  static result<std::unique_ptr<http_server>> Listen(
      boost::asio::io_context& context, const std::string& address,
      http_limits limits, handler on_request, refuse on_unreadable);

  ~http_server();

  /// Port in use; differs from the requested one if that was 0.
  std::uint16_t port() const;
  /// Requests that have started and not ended.
  std::size_t open_requests() const;
  /// Open connections.
  std::size_t open_connections() const;

  /// Replaces the limits for the requests that come from now on.
  void SetLimits(const http_limits& limits);
  /// Answers carry `Connection: close` from now on.
  void CloseAfterAnswers();
  /// Accepts no further connections and closes those that stay without a
  /// request for `linger`; open requests go on.
  void StopAccepting(std::chrono::milliseconds linger);

  struct state;

 private:
  explicit http_server(std::shared_ptr<state> shared);

  std::shared_ptr<state> state_;
};

}  // namespace bluebell::gateway
