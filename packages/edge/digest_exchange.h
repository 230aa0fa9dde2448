#pragma once

#include <array>
#include <boost/asio/ip/udp.hpp>
#include <boost/asio/spawn.hpp>
#include <functional>
#include <map>
#include <string>
#include <vector>

#include "edge/edge_state.h"
#include "edge/store_sync.h"
#include "serving/host_digest.h"

namespace bluebell::edge {

/// Exchanges digests with the other hosts by datagrams, and carries the
/// questions and answers of `store_sync`.
///
/// Datagrams, not connections: a digest replaces the one before, so a lost one
/// costs nothing, and no connection can go silent. Every host sends to every
/// other one; the interval grows with the number of hosts so that the cost per
/// host stays the same up to about a hundred hosts.
class digest_exchange {
 public:
  static result<std::unique_ptr<digest_exchange>> Create(edge_state& host,
                                                         store_sync& sync);

  /// Receives digests until the process ends.
  void RunReceive(boost::asio::yield_context yield);
  /// Sends digests until the process ends.
  void RunSend(boost::asio::yield_context yield);
  /// Lists the other hosts in the store and keeps this host listed.
  void RunListing(boost::asio::yield_context yield);

  /// Tells the placement holder at once that a request waits for an adapter.
  void SendWant(const serving::adapter_request& want);
  /// Tells every host of a change as the placement holder.
  void SendNotice(const serving::residency_notice& notice);
  /// Sends a digest to every host now.
  void SendNow();

  /// What this host knows as the placement holder, for its digests.
  std::function<std::vector<serving::residency_notice>()> notices;
  /// Receives wants while this host is the placement holder.
  std::function<void(const serving::adapter_request&)> on_want;
  /// Demand of all other hosts, by host.
  const std::map<host_id, std::vector<serving::model_rate>>& demand() const {
    return demand_;
  }

 private:
  digest_exchange(edge_state& host, store_sync& sync,
                  boost::asio::ip::udp::socket socket);

  serving::host_digest Compose();
  void Receive(std::string_view bytes, const std::string& from);
  void SendTo(const std::string& address, char tag, const std::string& bytes);
  serving::host_digest Partial() const;
  std::map<host_id, std::string> Targets() const;
  milliseconds Interval() const;
  void PauseBetweenDigests(milliseconds interval,
                           boost::asio::yield_context yield);

  edge_state& host_;
  store_sync& sync_;
  boost::asio::ip::udp::socket socket_;
  std::array<char, 65536> received_;
  std::uint64_t number_ = 0;
  /// Digest addresses from the store, by host.
  std::map<host_id, std::string> listed_;
  std::map<host_id, std::vector<serving::model_rate>> demand_;
  /// When the placement holder was told of a want.
  std::map<std::pair<model_id, adapter_id>, clock::time_point> wants_told_;
};

}  // namespace bluebell::edge
