#pragma once

#include <boost/asio/spawn.hpp>
#include <functional>
#include <set>
#include <string>
#include <string_view>

#include "edge/edge_state.h"

namespace bluebell::edge {

/// Reports the streams that begin here to a few hosts, and asks all for the
/// starts of streams that the store may have lost (`serving::stream_versions`).
///
/// Load pattern: reports go to a fixed number of hosts at any fleet size; after
/// the loss of hosts, queries of many callers share one datagram per host.
class start_exchange {
 public:
  explicit start_exchange(edge_state& host) : host_(host) {}

  /// Sends reports and queries until the process ends.
  void Run(boost::asio::yield_context yield);
  /// Queries the version at which the stream of `attempt` began. A report that
  /// arrives signals `edge_state::versions_changed`.
  void Ask(const request_id& attempt) { wanted_.insert(attempt); }

  void HandleReport(std::string_view bytes, const std::string& from);
  void HandleQuery(std::string_view bytes, const std::string& from);

  /// Send a datagram to an address.
  std::function<void(const std::string& address, const std::string& bytes)>
      send_report;
  std::function<void(const std::string& address, const std::string& bytes)>
      send_query;

 private:
  void SendReports();
  void SendQueries();

  edge_state& host_;
  std::set<request_id> wanted_;
};

}  // namespace bluebell::edge
