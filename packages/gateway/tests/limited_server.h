#pragma once

#include <sys/types.h>

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <cstdint>
#include <functional>
#include <string>
#include <vector>

#include "gateway/http_server.h"

namespace bluebell::gateway {

/// A server in a child process with limits of its own. Each request is answered
/// after `delay`.
class limited_server {
 public:
  /// `restrict_process` runs in the child before the server is created.
  limited_server(const std::function<void()>& restrict_process,
                 std::chrono::milliseconds delay, const http_limits& limits);
  ~limited_server();
  limited_server(const limited_server&) = delete;
  limited_server& operator=(const limited_server&) = delete;

  std::uint16_t port() const { return port_; }
  bool running();

 private:
  pid_t pid_ = -1;
  std::uint16_t port_ = 0;
};

/// Limits the data of this process to what it has now and `bytes` more.
void LimitData(std::size_t bytes);
void LimitDescriptors(std::size_t count);
/// Raises the limit on descriptors of this process to what is allowed.
void RaiseDescriptorLimit();

/// A caller with a blocking socket.
class blocking_caller {
 public:
  explicit blocking_caller(std::uint16_t port);

  void Send(const std::string& bytes);
  /// Reads one answer without a body. Returns its status, or 0 if the
  /// connection ended or `limit` has passed before.
  int ReadStatus(std::chrono::milliseconds limit = std::chrono::seconds(20));

 private:
  boost::asio::io_context io_;
  boost::asio::ip::tcp::socket socket_;
};

inline const char kPlainRequest[] = "GET / HTTP/1.1\r\nHost: h\r\n\r\n";

}  // namespace bluebell::gateway
