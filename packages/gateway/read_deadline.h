#pragma once

#include <boost/asio/ip/tcp.hpp>
#include <chrono>
#include <memory>

namespace bluebell::gateway {

/// Cancels pending reads at a deadline but leaves the socket open, so that an
/// error response can be sent; the timeout of `tcp_stream` closes the socket.
class read_deadline {
 public:
  read_deadline(boost::asio::ip::tcp::socket& socket,
                std::chrono::milliseconds limit);
  /// Disarms a timer handler that is already queued.
  ~read_deadline();
  read_deadline(const read_deadline&) = delete;
  read_deadline& operator=(const read_deadline&) = delete;

  bool expired() const;

  /// Maps the error of a read cancelled by the deadline to a timeout.
  boost::system::error_code Translate(
      const boost::system::error_code& ec) const;

 private:
  struct state;

  static void Arm(const std::shared_ptr<state>& armed,
                  std::chrono::milliseconds wait);

  std::shared_ptr<state> state_;
};

}  // namespace bluebell::gateway
