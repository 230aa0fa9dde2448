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

/// Connection pool for endpoints, keyed by endpoint id: an endpoint that reuses
/// the address of another never gets that endpoint's connections.
class engine_connections {
 public:
  struct lease {
    std::unique_ptr<gateway::endpoint_connection> connection;
    /// The connection has carried a request before.
    bool reused = false;
    /// Time since the last request.
    clock::duration idle{0};
    /// When it was opened; it leads to the process that ran then.
    clock::time_point opened_at;
  };

  engine_connections(boost::asio::io_context& context, const clock& source)
      : context_(context), clock_(source) {}

  /// Returns the most recently used connection if it was idle for at most
  /// `max_idle`, else opens one within `timeout`. Error `kUnavailable`: no
  /// connection; nothing was sent.
  result<lease> Take(const endpoint_id& engine, const std::string& address,
                     clock::duration max_idle,
                     std::chrono::milliseconds timeout,
                     boost::asio::yield_context yield);
  /// Opens a connection that has carried no request, for exchanges whose answer
  /// does not name its request: an endpoint may write an earlier answer again
  /// where the next is due. Errors as for `Take`.
  result<lease> Open(const std::string& address,
                     std::chrono::milliseconds timeout,
                     boost::asio::yield_context yield);
  /// Returns a connection to the pool if it is reusable. The endpoint closes it
  /// after `lifetime` without a request.
  void Return(const endpoint_id& engine, lease used, clock::duration lifetime);
  /// An endpoint accepted no connection: its process may have ended.
  void OnNotAccepted(const endpoint_id& engine) {
    not_accepted_[engine] = clock_.now();
  }
  bool WasNotAcceptedSince(const endpoint_id& engine,
                           clock::time_point since) const;
  /// Closes the idle connections to an endpoint.
  void CloseIdle(const endpoint_id& engine) { idle_.erase(engine); }
  /// Closes connections whose idle lifetime has expired.
  void CloseExpired();

 private:
  struct idle_connection {
    std::unique_ptr<gateway::endpoint_connection> connection;
    clock::time_point since;
    clock::time_point expires;
    clock::time_point opened_at;
  };

  boost::asio::io_context& context_;
  const clock& clock_;
  std::map<endpoint_id, std::vector<idle_connection>> idle_;
  // When each endpoint accepted no connection last; dropped after a while.
  std::map<endpoint_id, clock::time_point> not_accepted_;
};

}  // namespace bluebell::edge
