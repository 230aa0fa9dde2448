#pragma once

#include <boost/asio/io_context.hpp>
#include <boost/asio/spawn.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "base/clock.h"
#include "base/ids.h"
#include "base/result.h"
#include "gateway/endpoint_connection.h"

namespace bluebell::edge {

/// Open connections to endpoints, kept per endpoint id so that an address that
/// is used again by another endpoint never gets an old connection.
class engine_connections {
 public:
  struct lease {
    std::unique_ptr<gateway::endpoint_connection> connection;
    /// Carried another request before.
    bool reused = false;
    /// Time since that request.
    clock::duration idle{0};
  };

  engine_connections(boost::asio::io_context& context, const clock& source)
      : context_(context), clock_(source) {}

  /// Takes the connection that was used last if it was idle for less than
  /// `max_idle`, else opens one within `timeout`. Error `kUnavailable`: no
  /// connection; nothing was sent.
  result<lease> Take(const endpoint_id& engine, const std::string& address,
                     clock::duration max_idle,
                     std::chrono::milliseconds timeout,
                     boost::asio::yield_context yield);
  /// Keeps a connection for another request if it can carry one. The endpoint
  /// closes it after `lifetime` without a request.
  void Return(const endpoint_id& engine, lease used, clock::duration lifetime);
  /// Closes the idle connections to an endpoint.
  void Drop(const endpoint_id& engine) { idle_.erase(engine); }
  /// Closes connections whose endpoint is about to close them.
  void CloseExpired();

 private:
  struct idle_connection {
    std::unique_ptr<gateway::endpoint_connection> connection;
    clock::time_point since;
    clock::time_point expires;
  };

  boost::asio::io_context& context_;
  const clock& clock_;
  std::map<endpoint_id, std::vector<idle_connection>> idle_;
};

}  // namespace bluebell::edge
